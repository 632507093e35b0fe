package scheduler

import (
	"maps"
	"math"
)

// MachineType is a machine type that can be rented from the cloud.
type MachineType struct {
	Name             string
	Size             Resources
	Price, SpotPrice float64 // per machine and unit of time, in the cloud's currency
	Zones            []string
	BootS            float64 // seconds from the rental request until the machine is ready
	FetchGBPerS      float64 // bandwidth for fetching images, in gigabytes per second
}

// Machine is a machine with its free resources. All resources of a booting machine are free.
type Machine struct {
	ID           string
	Type         *MachineType
	Zone         string
	Spot         bool
	Free         Resources
	TaskCapacity int // number of further tasks that its stored record can hold
	// ReservedFor is the ID of the job for which tasks were preempted on this machine. No other job may use the freed
	// resources: otherwise each round would stop the same tasks again. It is empty if the machine is not reserved.
	ReservedFor string
	Images      map[string]bool
	Fetching    map[string]bool
	Booting     bool
	InUse       bool // holds tasks, or was assigned one in this snapshot
	OnProbation bool // see Snapshot.Probation
	// SingleProbe is set if a machine on probation gets one probe at a time. Otherwise each job may probe it.
	SingleProbe bool
	// ProbingJobs are the jobs of the machine's probes whose outcome is not known yet.
	ProbingJobs map[string]bool
	// Dirty is set by each decision that changes the machine. A caller that reuses the machine in later snapshots must
	// clear it.
	Dirty bool
	// ImageSet identifies the set of images that the machine has: machines with the same images have the same number.
	// 0 means unknown.
	ImageSet int
	// position is the machine's position in the snapshot's list. Among equal scores, the lowest position wins.
	position int
	Running  []RunningTask
}

// RunningTask is a task on a machine, as a candidate for preemption.
type RunningTask struct {
	Job      *Job
	Index    int
	RunningS float64 // seconds since it was assigned to the machine
}

// Snapshot is the state on which a pass bases its decisions. Each decision updates the snapshot, so that later
// decisions take it into account.
type Snapshot struct {
	Machines []*Machine
	// Probation lists machines that may be faulty. They are not among Machines, and get probes: single tasks of jobs
	// that find no room on these, or a whole gang.
	Probation     []*Machine
	Jobs          []*Job
	Quotas        map[string]*Quota // by team
	UpperQueueCap float64           // share of the ready fleet that the upper queue may use
	// Draining is set while replicas of drained machines move to other machines. A fill then starts only services,
	// starved batches and starved gangs, because other batches would take the room that the replicas need.
	Draining bool
	Capacity Resources // total resources of the ready machines
	// MachinesExamined counts the machines examined so far. Limits on the work of a pass use this count rather than
	// elapsed time, which would make decisions depend on the speed of the host.
	MachinesExamined int
	// Fleet keeps the machine index from one snapshot to the next. If it is nil, the first pass builds an index for
	// this snapshot.
	Fleet *Fleet

	// probationAdmitted is set while the machines on probation are among Machines and in the index.
	probationAdmitted bool
	// reserveAcceleratorCores is set while batches with AvoidsAccelerators must leave free the cores that free
	// accelerators need.
	reserveAcceleratorCores bool
	// gangMachinesExamined and taskMachinesExamined count the machines that a round has examined for gangs and for
	// single tasks.
	gangMachinesExamined int
	taskMachinesExamined int
	// withRoom caches the list of machines with free cores and the list of those with free accelerators, because most
	// machines of a busy fleet are full. A nil list is collected at the next use.
	withRoom [2][]*Machine
	// index finds the best machine without scoring all machines. If it is nil, all machines are scored.
	index *machineIndex
	// search is the memory that successive index searches reuse.
	search indexSearch
	// totalPrice caches the sum of the prices of the first pricedMachines machines, see IsExpensive.
	totalPrice     float64
	pricedMachines int
	// headroom caches the number of expected tasks for which there is room. It is valid if headroomKnown is set.
	headroom      int
	headroomKnown bool
}

// AddMachine adds a machine that was not in the snapshot before.
func (s *Snapshot) AddMachine(m *Machine) {
	s.useIndex()
	m.position = math.MaxInt/2 + len(s.Machines) // after all existing machines
	s.Machines = append(s.Machines, m)
	s.withRoom = [2][]*Machine{}
	s.machineChanged(m)
}

// assign assigns the job's first waiting task to a machine.
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
	m.InUse = true
	if !m.Images[j.Image] && j.Image != "" {
		if m.Fetching == nil {
			m.Fetching = map[string]bool{}
		}
		m.Fetching[j.Image] = true
	}
	s.machineChanged(m)
}

// removeTask removes a running task from its machine.
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
	m.Running = withoutTask(m.Running, task)
}

// withoutTask returns a copy of the list without one task. The original list stays unchanged, because callers may still
// read it.
func withoutTask(list []RunningTask, removed RunningTask) []RunningTask {
	var remaining []RunningTask
	for _, task := range list {
		if task.Job != removed.Job || task.Index != removed.Index {
			remaining = append(remaining, task)
		}
	}
	return remaining
}

// machineChanged updates the index. It must be called after each change of a machine.
func (s *Snapshot) machineChanged(m *Machine) {
	m.Dirty = true
	if s.index != nil && (!m.OnProbation || s.probationAdmitted) {
		s.index.update(m)
	}
}

// useIndex sets index to the index of Fleet, or builds a new one if there is no Fleet.
func (s *Snapshot) useIndex() {
	switch {
	case s.index != nil:
	case s.Fleet != nil:
		s.index = s.Fleet.index
	default:
		s.index = newMachineIndex(s.Machines)
	}
}

// machinesWithRoom lists the machines that may have room for a task that needs accelerators or cores. Machines that
// have become full since the list was collected stay in it. The list is dropped when resources are freed or a machine
// is added.
func (s *Snapshot) machinesWithRoom(accelerators, cores bool) []*Machine {
	if !accelerators && !cores {
		return s.Machines // the task requests only memory
	}
	list := &s.withRoom[0]
	if accelerators {
		list = &s.withRoom[1]
	}
	if *list == nil {
		*list = make([]*Machine, 0, len(s.Machines))
		for _, m := range s.Machines {
			if m.TaskCapacity > 0 && (accelerators && m.Free.Accelerators > roundingTolerance || !accelerators && m.Free.Cores > roundingTolerance) {
				*list = append(*list, m)
			}
		}
	}
	return *list
}

// clone copies the state that placing tasks changes, without the machine with the given ID. The copy has neither jobs
// nor quotas nor an index.
func (s *Snapshot) clone(withoutID string) *Snapshot {
	copied := &Snapshot{UpperQueueCap: s.UpperQueueCap, Capacity: s.Capacity, Quotas: map[string]*Quota{}}
	for _, m := range s.Machines {
		if m.ID != withoutID {
			c := *m
			c.Fetching = maps.Clone(m.Fetching)
			copied.Machines = append(copied.Machines, &c)
		}
	}
	return copied
}
