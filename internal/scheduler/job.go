package scheduler

import (
	"cmp"
	"slices"
	"strings"
)

// Job is a job with its waiting tasks.
type Job struct {
	ID, Class, Team, Image string
	ImageGB                float64
	StartObjectiveS        float64 // the users' shortest objective for a start, in seconds; 0: none
	Service                bool
	Gang                   bool // all its tasks are placed, or none
	Priority               int
	Submitted              int64
	Request                Resources       // of one task
	Spot                   bool            // may run on spot machines
	SaveS                  float64         // seconds that its tasks need to save when stopped
	Types                  map[string]bool // machine types that it may use; nil: any
	AvoidMachines          map[string]bool // IDs of machines where it failed
	Zone                   string          // that it must run in; empty: any
	OneZone, Spread        bool            // all tasks in one zone; no more than half of them in one
	Tasks                  int
	Waiting                []int          // indices of the tasks that wait
	InZone                 map[string]int // tasks on machines, by zone
	Assigned               int            // tasks on machines
	InUpperQueue           bool           // in GREEN's upper queue
	Slots                  int            // tasks that it may run before spare room is shared out
	Attained, Degradation  float64        // see Scale
	// IsHeadroom: its tasks are expected, not submitted. They hold room for replicas to come.
	IsHeadroom bool
	// UntilDeadlineS is the time left until its deadline in seconds, infinite if it has none.
	UntilDeadlineS float64
	// DeadlineMissed: it can't meet its deadline any more.
	DeadlineMissed bool
	// Interrupted is how many of the waiting tasks, listed first, ran before and were interrupted by
	// their machine's end rather than by rank.
	Interrupted int
	// Reserved is for how many of its tasks others were preempted and have not all gone yet.
	Reserved int
	// Images are the images that expected tasks may need, with the share of each.
	Images []ImageShare
	// AvoidsAccelerators: a batch for machines without accelerators, see CanAvoidAccelerators.
	AvoidsAccelerators bool
	// WaitedTwoBoots: it has waited so long that no rented machine will come.
	WaitedTwoBoots bool
	// Starved: it has had no task anywhere for longer than a boot.
	Starved bool

	missingShares map[int]float64 // by image set, see missingShare
	rankPosition  int             // among the jobs of a round, by rank
}

// ImageShare is the share of expected tasks that need an image.
type ImageShare struct {
	Image string
	Share float64
}

// Rank is attained service over degradation: the lowest goes first.
func (j *Job) Rank() float64 { return j.Attained / j.Degradation }

// Classes of jobs in the order of ranks.
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

// Order sorts by rank: services first (by priority, then age), then the expected replicas, then
// the upper queue first come first served, then the lower queue by Rank. Jobs that are in order
// already cost little.
func Order(jobs []*Job) { slices.SortFunc(jobs, compareRanks) }

// compareRanks is a total order, as IDs differ.
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

// AllowedOn says whether the job's own constraints allow this type, zone and kind.
func (j *Job) AllowedOn(typ, zone string, spot bool) bool {
	return (!spot || j.Spot) && (j.Zone == "" || j.Zone == zone) && (j.Types == nil || j.Types[typ])
}

// MayRunOn says whether the job may have a task on the machine, if there is room.
func (j *Job) MayRunOn(m *Machine) bool {
	return j.AllowedOn(m.Type.Name, m.Zone, m.Spot) && j.ZoneOpen(m.Zone) && !j.AvoidMachines[m.ID]
}

// ZoneOpen says whether one more task may go to the zone, given where the others are.
func (j *Job) ZoneOpen(zone string) bool {
	if j.OneZone {
		for z, n := range j.InZone {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return !j.Spread || j.InZone[zone] < (j.Tasks+1)/2
}
