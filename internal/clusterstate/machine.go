package clusterstate

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"claybarrow/internal/scheduler"
)

// Machine is a machine and all that may be on it.
type Machine struct {
	ID, Type, Zone, Addr string
	Spot                 bool
	Size                 scheduler.Need
	Attempts             map[AttemptKey]*Attempt
	sortedAttempts       []*Attempt // kept by Sorted
	Exited               map[AttemptKey]*ExitedTask
	Used                 scheduler.Need
	// startingAttempts counts the attempts that may still need their image.
	startingAttempts int
	// UnknownTasks are tasks of jobs that the ledger does not have, with the time of the
	// last halt.
	UnknownTasks map[AttemptKey]time.Duration

	AgentState
	// DrainUntil: its replicas are being moved, nothing new comes meanwhile.
	DrainUntil time.Duration
	Faults     MachineFaults

	// RedirectedAt is when it was told to report to a controller of its zone, RedirectedProcess
	// which process that was; until NoRedirectUntil it reports to the leader itself,
	// longer with each time that it came back from there.
	RedirectedAt, NoRedirectUntil time.Duration
	RedirectedProcess             string
	RedirectedTo                  string // and its label
	FailedRedirects               int

	SpotNotice  bool
	ReclaimedBy time.Duration
	// Images are those it is believed to have, see UseImage.
	Images       map[string]bool
	imageUses    map[string]imageUse
	lastImageUse uint64
	// imageSet names the images that it has, see ImageSet; 0: not known yet.
	imageSet int
	// revision changes with what is on the machine, see Revision.
	revision uint64

	// ExistedAt is when it surely existed; a list surely younger without it
	// proves that it is gone.
	ExistedAt     time.Duration
	LaunchedAt    time.Duration // when the rental was asked for, as far as known
	Up            bool          // has reported at some time
	Listed        bool          // the cloud calls it running
	Releasing     bool          // to be deleted
	ReleaseStored bool          // the mark is durable, the deletion may leave
	IdleSince     time.Duration
	Recorded      bool

	// The direct link: one call in flight.
	CallInFlight bool
	FailedCalls  int
	// ConnectionFailed: with the last call not even a connection could be made; LastFailedCallAt is
	// when that call left.
	ConnectionFailed bool
	LastFailedCallAt time.Duration
	NextCall         time.Duration
	Probed           bool
}

// AddMachine returns the machine, made if need be.
func (s *State) AddMachine(id string) *Machine {
	m := s.Machines[id]
	if m == nil {
		m = &Machine{ID: id, Attempts: map[AttemptKey]*Attempt{}, Exited: map[AttemptKey]*ExitedTask{}, Images: map[string]bool{}}
		s.Machines[id] = m
		s.sortedMachines = nil
	}
	return m
}

// Revision changes whenever an attempt comes, goes or changes its state, or an image comes or
// goes. It serves those who keep a view of the machine.
func (m *Machine) Revision() uint64 { return m.revision }

// Starting says whether any task on the machine may still need its image.
func (m *Machine) Starting() bool { return m.startingAttempts > 0 }

// RemoveMachine takes a machine out of the ledger.
func (s *State) RemoveMachine(m *Machine) {
	delete(s.Machines, m.ID)
	s.sortedMachines = nil
}

// SortedMachines lists the machines by name. The list is kept until a machine
// comes or goes, as it is asked for at every tick, and is never changed: who
// goes through it may add and remove machines meanwhile.
func (s *State) SortedMachines() []*Machine {
	if s.sortedMachines == nil {
		s.sortedMachines = slices.Collect(maps.Values(s.Machines))
		slices.SortFunc(s.sortedMachines, func(x, y *Machine) int { return strings.Compare(x.ID, y.ID) })
	}
	return s.sortedMachines
}

// Sorted lists the machine's attempts in a fixed order, so runs replay. The list is kept until
// an attempt comes or goes, and is never changed: who goes through it may drop attempts
// meanwhile.
func (m *Machine) Sorted() []*Attempt {
	if m.sortedAttempts == nil && len(m.Attempts) > 0 {
		m.sortedAttempts = slices.Collect(maps.Values(m.Attempts))
		slices.SortFunc(m.sortedAttempts, func(x, y *Attempt) int {
			return cmp.Or(cmp.Compare(x.Number, y.Number), cmp.Compare(x.Index, y.Index)) // a gang's have one number
		})
	}
	return m.sortedAttempts
}
