package clusterstate

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"claybarrow/internal/scheduler"
)

// Machine is a machine and all attempts that may be on it. Its identity, its attempts and Releasing are
// stored in a MachineRecord; the rest is kept in memory and starts afresh at a failover. All times are on
// the leader's clock (Controller.now).
type Machine struct {
	ID, Type, Zone, Addr string
	// Spot: the cloud may reclaim the machine.
	Spot bool
	// Size is the machine's resources, Used what the attempts on it need.
	Size, Used scheduler.Resources
	// Attempts are those that may be there. Add and remove them with State.AddAttempt and
	// State.RemoveAttempt.
	Attempts map[AttemptKey]*Attempt
	// Exited are the exited attempts that the agent still reports.
	Exited map[AttemptKey]*ExitedTask
	// UnknownTasks are reported tasks of jobs that the cluster state does not have, with the time of
	// the last stop command.
	UnknownTasks map[AttemptKey]time.Duration

	// Faults is the evidence that the machine is faulty.
	Faults MachineFaults
	// DrainUntil is until when its replicas are being moved away, and nothing new is placed on it.
	DrainUntil time.Duration

	AgentState
	DirectCallState
	RedirectState
	RentalState
	SpotReclaim
	ImageCache

	sortedAttempts []*Attempt // nil: not sorted since the attempts changed; see Sorted
	// startingAttempts counts the attempts whose image the agent may still have to fetch.
	startingAttempts int
	revision         uint64 // see Revision
}

// DirectCallState is the state of the leader's direct calls to the agent. There is at most one call in
// flight.
type DirectCallState struct {
	CallInFlight bool
	// FailedCalls counts the calls in a row that were not answered with status 200 or 409.
	FailedCalls int
	// ConnectionFailed: for the last failed call not even a connection could be made.
	ConnectionFailed bool
	// LastFailedCallAt is when that call was sent.
	LastFailedCallAt time.Duration
	// NextCallAt is the earliest time for the next call.
	NextCallAt time.Duration
	// Probed: a call was sent, and has neither failed nor found another epoch than expected since.
	Probed bool
}

// RedirectState tells whether the agent was redirected to send its heartbeats to a controller in its own
// zone.
type RedirectState struct {
	// RedirectedAt is when the agent was last redirected; 0 once it has come back to the leader.
	// Until NoRedirectUntil it sends its heartbeats to the leader; the time grows with each
	// redirect that failed.
	RedirectedAt, NoRedirectUntil time.Duration
	// RedirectedProcess is the incarnation of the controller that it was redirected to, RedirectedTo
	// that controller's label.
	RedirectedProcess string
	RedirectedTo      string
	// FailedRedirects counts the redirects in a row from which the agent came back soon.
	FailedRedirects int
}

// RentalState is the state of the machine's rental in the cloud.
type RentalState struct {
	// KnownToExistAt is the latest time at which the machine is known to have existed. A listing that is
	// surely younger and does not have the machine proves that it is gone.
	KnownToExistAt time.Duration
	// LaunchedAt is when the rental was requested, as far as that is known.
	LaunchedAt time.Duration
	// EverReported: the agent has sent a heartbeat at some time, to this leader or an earlier one.
	EverReported bool
	// ListedRunning: the cloud lists the machine as running.
	ListedRunning bool
	// Releasing: the machine is to be deleted.
	Releasing bool
	// ReleaseStored: Releasing is stored, so the deletion may be sent.
	ReleaseStored bool
	// IdleSince is since when the machine counts as idle; 0: not known yet.
	IdleSince time.Duration
	// HasRecord: the machine has a record in the state service, or one was rendered for it.
	HasRecord bool
}

// SpotReclaim is the cloud's notice that it reclaims a spot machine.
type SpotReclaim struct {
	// ReclaimNotice: the notice was given.
	ReclaimNotice bool
	// ReclaimedBy is when the machine will be gone at the latest.
	ReclaimedBy time.Duration
}

// AddMachine returns the machine with the ID, and adds it if there is none.
func (s *State) AddMachine(id string) *Machine {
	m := s.Machines[id]
	if m == nil {
		m = &Machine{
			ID:         id,
			Attempts:   map[AttemptKey]*Attempt{},
			Exited:     map[AttemptKey]*ExitedTask{},
			ImageCache: ImageCache{Images: map[string]bool{}},
		}
		s.Machines[id] = m
		s.sortedMachines = nil
	}
	return m
}

// RemoveMachine removes a machine that is gone.
func (s *State) RemoveMachine(m *Machine) {
	delete(s.Machines, m.ID)
	s.sortedMachines = nil
}

// SortedMachines lists the machines by ID. The list is kept until a machine is added or removed, as it
// is asked for at every tick, and is never changed in place: the caller may add and remove machines
// while it iterates.
func (s *State) SortedMachines() []*Machine {
	if s.sortedMachines == nil {
		s.sortedMachines = slices.SortedFunc(maps.Values(s.Machines), func(x, y *Machine) int {
			return strings.Compare(x.ID, y.ID)
		})
	}
	return s.sortedMachines
}

// addAttempt keeps the machine's counts in step with an attempt that State.AddAttempt adds.
func (m *Machine) addAttempt(a *Attempt) {
	m.Attempts[a.Key()], m.sortedAttempts = a, nil
	m.Used = m.Used.Plus(a.Job.Need)
	m.startingAttempts++ // its state is empty
	m.revision++
}

// removeAttempt keeps the machine's counts in step with an attempt that State.RemoveAttempt removes, and
// whose state it has emptied.
func (m *Machine) removeAttempt(a *Attempt) {
	delete(m.Attempts, a.Key())
	m.sortedAttempts = nil
	m.Used = m.Used.Minus(a.Job.Need)
	m.startingAttempts--
	m.revision++
}

// Revision changes whenever an attempt is added, removed or changes its state, and whenever an image is
// added or dropped. A cache of the machine is current while the revision is the same.
func (m *Machine) Revision() uint64 { return m.revision }

// HasStartingAttempts reports whether an attempt on the machine may still need its image.
func (m *Machine) HasStartingAttempts() bool { return m.startingAttempts > 0 }

// SortedAttempts lists the machine's attempts in a fixed order, so that runs replay. The list is kept until an
// attempt is added or removed, and is never changed in place: the caller may remove attempts while it
// iterates.
func (m *Machine) SortedAttempts() []*Attempt {
	if m.sortedAttempts == nil && len(m.Attempts) > 0 {
		// slices.SortedFunc would allocate three times more, after each start and end of a task.
		m.sortedAttempts = slices.Collect(maps.Values(m.Attempts))
		slices.SortFunc(m.sortedAttempts, func(x, y *Attempt) int {
			// A gang's tasks have the same number.
			return cmp.Or(cmp.Compare(x.Number, y.Number), cmp.Compare(x.Index, y.Index))
		})
	}
	return m.sortedAttempts
}
