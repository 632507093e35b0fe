package scheduler

import (
	"cmp"
	"slices"
	"strings"
)

// Job is a job as the scheduler sees it, with its waiting tasks.
type Job struct {
	ID, Class, Team, Image string
	ImageGB                float64
	StartObjectiveS        float64 // shortest start-time objective of its users, in seconds; 0: none
	Service                bool
	Gang                   bool // its tasks are placed all together or not at all
	Priority               int
	Submitted              int64
	Request                Resources       // of one task
	Spot                   bool            // may run on spot machines
	SaveS                  float64         // seconds that its tasks need to save their state when stopped
	Types                  map[string]bool // machine types that it may use; nil: any
	AvoidMachines          map[string]bool // IDs of machines on which its tasks failed
	Zone                   string          // the only zone that it may use; empty: any
	OneZone, Spread        bool            // OneZone: all tasks in one zone; Spread: at most half (rounded up) in a zone
	Tasks                  int
	Waiting                []int          // indices of the waiting tasks
	InZone                 map[string]int // tasks on machines, by zone
	Assigned               int            // tasks on machines
	InUpperQueue           bool           // in GREEN's upper queue
	Slots                  int            // number of tasks on machines up to which the pass withinSlots starts more
	Attained, Degradation  float64        // see ScaleUp
	// IsHeadroom is set if its tasks are expected rather than submitted. They reserve room for future replicas.
	IsHeadroom bool
	// UntilDeadlineS is the time left until its deadline in seconds, infinite if it has none.
	UntilDeadlineS float64
	// DeadlineMissed is set if the job can no longer meet its deadline.
	DeadlineMissed bool
	// Interrupted is the number of waiting tasks that were interrupted, for example by the loss of their machine, and
	// not preempted. They come first in Waiting.
	Interrupted int
	// Reserved is the number of its tasks for which other tasks were preempted that have not all stopped yet.
	Reserved int
	// Images lists the images that expected tasks may need, with the share of each.
	Images []ImageShare
	// AvoidsAccelerators is set for a batch that should run on machines without accelerators, see CanAvoidAccelerators.
	AvoidsAccelerators bool
	// WaitedTwoBoots is set once the job has waited for so long that no machine can be expected to be rented for it.
	WaitedTwoBoots bool
	// Starved is set once the job has had no task on any machine for longer than a machine takes to boot.
	Starved bool

	missingShares map[int]float64 // by image set, see missingShare
	rankPosition  int             // position among the jobs of a round, by rank
}

// ImageShare is the share of expected tasks that need an image.
type ImageShare struct {
	Image string
	Share float64
}

// Rank returns the attained service divided by the degradation. Jobs with a low rank go first.
func (j *Job) Rank() float64 { return j.Attained / j.Degradation }

// Classes of jobs, in the order in which they are scheduled.
const (
	rankService = iota
	rankHeadroom
	rankUpper
	rankLower
)

func (j *Job) rankClass() int {
	switch {
	case j.Service && !j.IsHeadroom:
		return rankService
	case j.IsHeadroom:
		return rankHeadroom
	case j.InUpperQueue:
		return rankUpper
	}
	return rankLower
}

// SortByRank sorts jobs by rank: services by priority and then age, expected replicas, the upper queue first come,
// first served, and the lower queue by Rank. Sorting jobs that are already in order is cheap.
func SortByRank(jobs []*Job) { slices.SortFunc(jobs, compareRanks) }

// compareRanks defines the order of jobs. It is a total order, because IDs are unique.
func compareRanks(x, y *Job) int {
	class := x.rankClass()
	if c := cmp.Compare(class, y.rankClass()); c != 0 {
		return c
	}
	if x.Service && x.Priority != y.Priority {
		return cmp.Compare(y.Priority, x.Priority)
	}
	if class == rankLower {
		if c := cmp.Compare(x.Rank(), y.Rank()); c != 0 {
			return c
		}
	}
	if c := cmp.Compare(x.Submitted, y.Submitted); c != 0 {
		return c
	}
	return strings.Compare(x.ID, y.ID)
}

// AllowedOn reports whether the job's constraints allow machines of the type, in the zone, spot or not.
func (j *Job) AllowedOn(typ, zone string, spot bool) bool {
	return (!spot || j.Spot) && (j.Zone == "" || j.Zone == zone) && (j.Types == nil || j.Types[typ])
}

// MayRunOn reports whether the job's constraints allow one more task on the machine. It does not check for room.
func (j *Job) MayRunOn(m *Machine) bool {
	return j.AllowedOn(m.Type.Name, m.Zone, m.Spot) && j.AllowsZone(m.Zone) && !j.AvoidMachines[m.ID]
}

// AllowsZone reports whether OneZone and Spread allow one more task in the zone, given the zones of the other tasks.
func (j *Job) AllowsZone(zone string) bool {
	if j.OneZone {
		for z, n := range j.InZone {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return !j.Spread || j.InZone[zone] < (j.Tasks+1)/2
}
