package ledger

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"claybarrow/internal/sched"
)

// Machine is a machine and all that may be on it.
type Machine struct {
	ID, Type, Zone, Addr string
	Spot                 bool
	Size                 sched.Need
	Attempts             map[Key]*Attempt
	sorted               []*Attempt // kept by Sorted
	Exited               map[Key]*ExitedTask
	Used                 sched.Need
	// starting counts the attempts that may still need their image.
	starting int
	// UnknownTasks are tasks of jobs that the ledger does not have, with the time of the
	// last halt.
	UnknownTasks map[Key]time.Duration

	WorkerSession
	// DrainUntil: its replicas are being moved, nothing new comes meanwhile.
	DrainUntil time.Duration
	Faults     MachineFaults

	// SentAway is when it was told to report to a controller of its zone, SentTo
	// which process that was; until DirectUntil it reports to the leader itself,
	// longer with each time that it came back from there.
	SentAway, DirectUntil time.Duration
	SentTo                string
	SentLabel             string // and its label
	Bounces               int

	Notice   bool
	NoticeBy time.Duration
	// Images are those it is believed to have, see UseImage.
	Images    map[string]bool
	imageUses map[string]imageUse
	lastUse   uint64
	// imageSet names the images that it has, see ImageSet; 0: not known yet.
	imageSet int
	// revision changes with what is on the machine, see Revision.
	revision uint64

	// Exists is when it surely existed; a list surely younger without it
	// proves that it is gone.
	Exists    time.Duration
	Rented    time.Duration // when the rental was asked for, as far as known
	Up        bool          // has reported at some time
	Listed    bool          // the cloud calls it running
	Returning bool          // to be deleted
	Returned  bool          // the mark is durable, the deletion may leave
	IdleSince time.Duration
	Recorded  bool

	// The direct link: one call in flight.
	Calling   bool
	CallFails int
	// NoConn: with the last call not even a connection could be made; FailedAt is
	// when that call left.
	NoConn   bool
	FailedAt time.Duration
	NextCall time.Duration
	Probed   bool
}

// AddMachine returns the machine, made if need be.
func (b *Ledger) AddMachine(id string) *Machine {
	m := b.Machines[id]
	if m == nil {
		m = &Machine{ID: id, Attempts: map[Key]*Attempt{}, Exited: map[Key]*ExitedTask{}, Images: map[string]bool{}}
		b.Machines[id] = m
		b.sorted = nil
	}
	return m
}

// Revision changes whenever an attempt comes, goes or changes its state, or an image comes or
// goes. It serves those who keep a view of the machine.
func (m *Machine) Revision() uint64 { return m.revision }

// Starting says whether any task on the machine may still need its image.
func (m *Machine) Starting() bool { return m.starting > 0 }

// RemoveMachine takes a machine out of the ledger.
func (b *Ledger) RemoveMachine(m *Machine) {
	delete(b.Machines, m.ID)
	b.sorted = nil
}

// SortedMachines lists the machines by name. The list is kept until a machine
// comes or goes, as it is asked for at every tick, and is never changed: who
// goes through it may add and remove machines meanwhile.
func (b *Ledger) SortedMachines() []*Machine {
	if b.sorted == nil {
		b.sorted = slices.Collect(maps.Values(b.Machines))
		slices.SortFunc(b.sorted, func(x, y *Machine) int { return strings.Compare(x.ID, y.ID) })
	}
	return b.sorted
}

// Sorted lists the machine's attempts in a fixed order, so runs replay. The list is kept until
// an attempt comes or goes, and is never changed: who goes through it may drop attempts
// meanwhile.
func (m *Machine) Sorted() []*Attempt {
	if m.sorted == nil && len(m.Attempts) > 0 {
		m.sorted = slices.Collect(maps.Values(m.Attempts))
		slices.SortFunc(m.sorted, func(x, y *Attempt) int {
			return cmp.Or(cmp.Compare(x.Try, y.Try), cmp.Compare(x.Index, y.Index)) // a gang's have one number
		})
	}
	return m.sorted
}
