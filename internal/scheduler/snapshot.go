package scheduler

import (
	"maps"
	"math"
)

// Type is a machine type that the cloud rents out.
type Type struct {
	Name             string
	Size             Resources
	Price, SpotPrice float64 // per machine and unit of time, in the cloud's currency
	Zones            []string
	BootS            float64 // seconds from the rental request until the machine is ready
	FetchGBPerS      float64 // gigabytes of an image fetched per second
}

// Machine is a machine with its free resources. Those of a booting machine are all free.
type Machine struct {
	ID           string
	Type         *Type
	Zone         string
	Spot         bool
	Free         Resources
	TaskCapacity int // further tasks that its stored record can hold
	// ReservedFor names the job that tasks were preempted for here. No other job may take the
	// freed room, or each round would stop the same tasks again. Empty: not reserved.
	ReservedFor string
	Images      map[string]bool
	Fetching    map[string]bool
	Booting     bool
	Used        bool // holds tasks, or was assigned one in this snapshot
	// Dirty is set by each decision that changes the machine. Whoever keeps the machine
	// between snapshots clears it.
	Dirty bool
	// ImageSet is the same number for machines that have the same images; 0: not known.
	ImageSet int
	// position is the machine's place in the snapshot's list. Of equal scores the lowest wins.
	position int
	Running  []RunningTask
}

// RunningTask is a task on a machine, as a candidate for preemption.
type RunningTask struct {
	Job      *Job
	Index    int
	RunningS float64 // seconds since it was assigned to the machine
}

// Snapshot is what the decisions of a pass are made from. Each decision updates it, so that the
// next one counts with it.
type Snapshot struct {
	Machines      []*Machine
	Jobs          []*Job
	Quotas        map[string]*Quota // by team
	UpperQueueCap float64           // share of the ready fleet that the upper queue may take
	// Draining is set while replicas of drained machines move to others. Batches don't start
	// meanwhile, as they would take the replicas' room.
	Draining bool
	Capacity Resources // of ready machines
	// MachinesExamined counts the machines that were examined so far. It measures the work of a pass
	// where a time would make decisions depend on the speed of the host.
	MachinesExamined int
	// Fleet keeps the machines in order from one snapshot to the next; nil: the first pass
	// builds an index of its own.
	Fleet *Fleet

	// reserveAcceleratorCores makes plain batches leave the cores that free accelerators need.
	reserveAcceleratorCores bool
	// gangMachinesExamined and taskMachinesExamined count the machines that a round examined
	// for gangs and for single tasks.
	gangMachinesExamined int
	taskMachinesExamined int
	// withRoom caches the machines with free cores and those with free accelerators, as most of a
	// busy fleet is full. Nil: to be collected anew.
	withRoom [2][]*Machine
	// index finds the best machine without scoring all; nil: all are scored.
	index *machineIndex
	// search is the memory that one index search leaves to the next.
	search indexSearch
	// totalPrice is the sum over the first pricedMachines machines, see IsExpensive.
	totalPrice     float64
	pricedMachines int
	// headroom is for how many expected tasks there is room, once WithoutMachine has counted.
	headroom      int
	headroomKnown bool
}

// AddMachine adds a machine that was not in the snapshot before.
func (s *Snapshot) AddMachine(m *Machine) {
	s.useIndex()
	m.position = math.MaxInt/2 + len(s.Machines) // behind all that were there
	s.Machines = append(s.Machines, m)
	s.withRoom = [2][]*Machine{}
	s.machineChanged(m)
}

// assign gives the job's first waiting task its place on a machine.
func (s *Snapshot) assign(j *Job, m *Machine) {
	j.Waiting = j.Waiting[1:]
	j.Interrupted = max(0, j.Interrupted-1)
	j.Assigned++
	if j.InZone == nil {
		j.InZone = map[string]int{}
	}
	j.InZone[m.Zone]++
	if quota := s.Quotas[j.Team]; quota != nil {
		quota.Used = quota.Used.Plus(j.Request)
	}
	m.Free = m.Free.Minus(j.Request)
	m.TaskCapacity--
	m.Used = true
	if !m.Images[j.Image] && j.Image != "" {
		if m.Fetching == nil {
			m.Fetching = map[string]bool{}
		}
		m.Fetching[j.Image] = true
	}
	s.machineChanged(m)
}

// removeTask takes a running task off its machine.
func (s *Snapshot) removeTask(m *Machine, task RunningTask) {
	m.Free = m.Free.Plus(task.Job.Request)
	s.withRoom = [2][]*Machine{}
	s.machineChanged(m)
	if quota := s.Quotas[task.Job.Team]; quota != nil {
		quota.Used = quota.Used.Minus(task.Job.Request)
	}
	if task.Job.InZone != nil { // nil for jobs without waiting tasks
		task.Job.InZone[m.Zone]--
	}
	task.Job.Assigned--
	m.Running = without(m.Running, task)
}

// without returns a new list that lacks one task: callers may still read the old one.
func without(list []RunningTask, removed RunningTask) []RunningTask {
	var rest []RunningTask
	for _, task := range list {
		if task.Job != removed.Job || task.Index != removed.Index {
			rest = append(rest, task)
		}
	}
	return rest
}

// machineChanged must be called after each change of a machine, so that the index follows it.
func (s *Snapshot) machineChanged(m *Machine) {
	m.Dirty = true
	if s.index != nil {
		s.index.update(m)
	}
}

// useIndex takes the fleet's index, or builds one if there is no fleet.
func (s *Snapshot) useIndex() {
	switch {
	case s.index != nil:
	case s.Fleet != nil:
		s.index = s.Fleet.index
	default:
		s.index = newMachineIndex(s.Machines)
	}
}

// machinesWithRoom lists the machines that may have room for a task that needs accelerators, or
// cores. Machines that have filled up since the list was collected stay in it; whatever frees
// room or adds a machine drops the list.
func (s *Snapshot) machinesWithRoom(accel, cores bool) []*Machine {
	if !accel && !cores {
		return s.Machines // the task needs memory alone
	}
	list := &s.withRoom[0]
	if accel {
		list = &s.withRoom[1]
	}
	if *list == nil {
		*list = make([]*Machine, 0, len(s.Machines))
		for _, m := range s.Machines {
			if m.TaskCapacity > 0 && (accel && m.Free.Accel > eps || !accel && m.Free.Cores > eps) {
				*list = append(*list, m)
			}
		}
	}
	return *list
}

// clone copies what placing tasks changes, leaving out the machine with the given ID. The copy has
// neither jobs nor quotas nor an index.
func (s *Snapshot) clone(withoutID string) *Snapshot {
	out := &Snapshot{UpperQueueCap: s.UpperQueueCap, Capacity: s.Capacity, Quotas: map[string]*Quota{}}
	for _, m := range s.Machines {
		if m.ID != withoutID {
			c := *m
			c.Fetching = maps.Clone(m.Fetching)
			out.Machines = append(out.Machines, &c)
		}
	}
	return out
}
