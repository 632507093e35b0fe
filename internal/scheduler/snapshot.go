// Package scheduler decides what runs where: GREEN's order (see docs/design.md),
// filling, the stops of a round, and which machines to rent. All of it is pure:
// a snapshot goes in, decisions come out, and the same snapshot always gives
// the same decisions.
package scheduler

// Type is a machine type as the planner needs it.
type Type struct {
	Name             string
	Size             Need
	Price, SpotPrice float64
	Zones            []string
	BootS            float64
	FetchGBPerS      float64
}

// Machine is a machine with its free room. Booting ones are whole.
type Machine struct {
	ID   string
	Type *Type
	Zone string
	Spot bool
	Free Need
	Room int // further tasks that its record can hold
	// ReservedFor names the job that tasks were stopped for here: nobody else may take
	// the room meanwhile, or the stops would be made again at each round.
	ReservedFor string
	Images      map[string]bool
	Fetching    map[string]bool
	Booting     bool
	Used        bool // holds or was given something
	// Changed: a decision has changed it since whoever keeps it last looked.
	Changed bool
	// ImageSet is the same for machines that have the same images; 0: not known.
	ImageSet int
	position int // among the machines: equal scores go to the first
	Running  []RunningTask
}

// RunningTask is a task on a machine, as a candidate for being stopped.
type RunningTask struct {
	Job    *Job
	Index  int
	SinceS float64 // for how long
}

// Snapshot is what the decisions are made from. Decisions update it.
type Snapshot struct {
	Machines []*Machine
	Jobs     []*Job
	Quotas   map[string]*Quota
	UpperCap float64 // share of the fleet
	// Moving: replicas are on their way from one machine to others, whose room
	// batches must not take meanwhile.
	Moving   bool
	Capacity Need // of ready machines
	// reserveAcceleratorCores: plain batches leave the cores that free accelerators need, whatever
	// else is full.
	reserveAcceleratorCores bool
	Looked                  int // machines looked at so far: the work done, in place of a time
	// gangMachinesExamined counts those that a round looked at for gangs.
	gangMachinesExamined int
	// taskMachinesExamined counts those that it looked at for single tasks.
	taskMachinesExamined int
	// withRoom are the machines with any room: with cores, and with accelerators.
	// Most of a busy fleet is full. Nil: to be found anew.
	withRoom [2][]*Machine
	// Fleet has the machines in order, if somebody keeps it; nil: it is made anew.
	Fleet *Fleet
	// index finds machines without looking at all; nil: all are looked at.
	index          *machineIndex
	search         indexSearch
	machinesByZone map[string]int // machines by zone, for a plan
	// price is the sum over so many machines.
	price          float64
	pricedMachines int
	// preemptible are what a round may stop.
	preemptible *preemptibleTasks
	// headroom is how much room for expected tasks there is, once Emptied asked.
	headroom      int
	headroomKnown bool
}
