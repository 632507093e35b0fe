package clusterstate

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"claybarrow/internal/scheduler"
)

// Machine is a machine and all attempts that may be on it. Its identity, its attempts and Releasing are stored
// in a MachineRecord; the other fields are kept in memory only and are reset at a failover. All times are on the
// leader's monotonic clock.
type Machine struct {
	ID, Type, Zone, Addr string
	// Spot is set for a spot machine, which the cloud may reclaim.
	Spot bool
	// Size is the machine's total resources, Used the sum of the requests of the attempts on it.
	Size, Used scheduler.Resources
	// Attempts are the attempts that may be on the machine. Add and remove them with State.AddAttempt and
	// State.RemoveAttempt.
	Attempts map[AttemptKey]*Attempt
	// Exited are the exited attempts that the agent still reports.
	Exited map[AttemptKey]*ExitedTask
	// UnknownTasks are reported tasks of jobs that the cluster state does not contain, with the time of the last
	// stop command.
	UnknownTasks map[AttemptKey]time.Duration

	// Faults is the evidence that the machine is faulty.
	Faults MachineFaults
	// DrainUntil is the end of the machine's drain. Until then its replicas are moved to other machines and
	// nothing new is placed on it.
	DrainUntil time.Duration

	AgentState
	DirectCallState
	RedirectState
	RentalState
	SpotReclaim
	ImageCache

	sortedAttempts []*Attempt // cached by SortedAttempts; nil if the attempts have changed since
	// startingAttempts counts the attempts whose image the agent may still have to fetch.
	startingAttempts int
	revision         uint64 // see Revision
}

// DirectCallState is the state of the leader's direct calls to the agent. At most one call is in flight.
type DirectCallState struct {
	CallInFlight bool
	// FailedCalls counts the consecutive calls that were not answered with status 200 or 409.
	FailedCalls int
	// ConnectionFailed is set if no connection could be established for the last failed call.
	ConnectionFailed bool
	// LastFailedCallAt is the time at which the last failed call was sent.
	LastFailedCallAt time.Duration
	// NextCallAt is the earliest time at which the next call may be sent.
	NextCallAt time.Duration
	// CommandToken is the fencing token of messages to the agent, once it was raised above that of the election; 0
	// before. StartToken is the token of the last message that carried a start command; 0: none in this leader's term.
	CommandToken, StartToken uint64
	// Probed is set when a call is sent. It is cleared when a call fails or is rejected by the agent, and when
	// the agent's lease expires.
	Probed bool
}

// RedirectState is the state of the agent's redirect. A redirected agent sends its heartbeats to a controller in
// its own zone instead of the leader.
type RedirectState struct {
	// RedirectedAt is the time at which the agent was last redirected; 0 once it has returned to the leader.
	// Until NoRedirectUntil the agent sends its heartbeats to the leader. This back-off grows with each failed
	// redirect.
	RedirectedAt, NoRedirectUntil time.Duration
	// RedirectedIncarnation is the incarnation of the controller that the agent was redirected to, RedirectedTo is
	// that controller's label.
	RedirectedIncarnation string
	RedirectedTo          string
	// FailedRedirects counts the consecutive redirects from which the agent returned to the leader soon.
	FailedRedirects int
}

// RentalState is the state of the machine's rental in the cloud.
type RentalState struct {
	// KnownToExistAt is the latest time at which the machine is known to have existed. A cloud listing that is
	// certainly more recent and does not contain the machine proves that the machine no longer exists.
	KnownToExistAt time.Duration
	// LaunchedAt is the latest time at which the rental can have been requested. It is the time of the request if
	// this leader sent it, otherwise the time at which this leader learned of the machine. It is lowered if the
	// machine's age in the cloud's list shows an earlier time.
	LaunchedAt time.Duration
	// EverReported is set once the agent has sent a heartbeat to this leader, or if a loaded record of the machine
	// has an attempt, which shows a heartbeat to an earlier leader.
	EverReported bool
	// ListedRunning is set if the cloud lists the machine as running.
	ListedRunning bool
	// Releasing is set once the deletion of the machine is decided.
	Releasing bool
	// ReleaseStored is set once Releasing is stored. Only then may the delete request be sent.
	ReleaseStored bool
	// IdleSince is the time since which the machine counts as idle; 0 if it is not known yet.
	IdleSince time.Duration
	// HasRecord is set if a record of the machine is in the state service, or was rendered to be written there.
	HasRecord bool
}

// SpotReclaim is the cloud's notice that it reclaims a spot machine.
type SpotReclaim struct {
	// ReclaimNotice is set once the cloud has given the notice.
	ReclaimNotice bool
	// ReclaimedBy is the latest time by which the cloud reclaims the machine.
	ReclaimedBy time.Duration
}

// AddMachine returns the machine with the ID. It adds the machine if the state does not contain it.
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

// RemoveMachine removes a machine that no longer exists.
func (s *State) RemoveMachine(m *Machine) {
	delete(s.Machines, m.ID)
	s.sortedMachines = nil
}

// SortedMachines returns the machines sorted by ID. It is called at every tick, so the list is cached until a
// machine is added or removed. The list is never changed in place: the caller may add and remove machines while
// it iterates.
func (s *State) SortedMachines() []*Machine {
	if s.sortedMachines == nil {
		s.sortedMachines = slices.SortedFunc(maps.Values(s.Machines), func(x, y *Machine) int {
			return strings.Compare(x.ID, y.ID)
		})
	}
	return s.sortedMachines
}

// addAttempt updates the machine's counts for an attempt that State.AddAttempt adds.
func (m *Machine) addAttempt(a *Attempt) {
	m.Attempts[a.Key()], m.sortedAttempts = a, nil
	m.Used = m.Used.Plus(a.Job.Request)
	m.startingAttempts++ // the state of a new attempt is empty
	m.revision++
}

// removeAttempt updates the machine's counts for an attempt that State.RemoveAttempt removes. RemoveAttempt has
// reset the attempt's state to empty before.
func (m *Machine) removeAttempt(a *Attempt) {
	delete(m.Attempts, a.Key())
	m.sortedAttempts = nil
	m.Used = m.Used.Minus(a.Job.Request)
	m.startingAttempts--
	m.revision++
}

// Revision changes whenever an attempt is added, removed or changes its state, and whenever an image is added or
// evicted. Data derived from the machine stays valid while the revision is the same.
func (m *Machine) Revision() uint64 { return m.revision }

// HasStartingAttempts reports whether an attempt on the machine may still need its image.
func (m *Machine) HasStartingAttempts() bool { return m.startingAttempts > 0 }

// SortedAttempts returns the machine's attempts in a fixed order, so that simulated runs are reproducible. The
// list is cached until an attempt is added or removed. It is never changed in place: the caller may remove
// attempts while it iterates.
func (m *Machine) SortedAttempts() []*Attempt {
	if m.sortedAttempts == nil && len(m.Attempts) > 0 {
		// slices.SortedFunc would allocate three times more, and the list is sorted again after each start and
		// end of a task.
		m.sortedAttempts = slices.Collect(maps.Values(m.Attempts))
		slices.SortFunc(m.sortedAttempts, func(x, y *Attempt) int {
			// The tasks of a gang share one attempt number.
			return cmp.Or(cmp.Compare(x.Number, y.Number), cmp.Compare(x.Index, y.Index))
		})
	}
	return m.sortedAttempts
}
