package scheduler

import (
	"cmp"
	"slices"
	"strings"
)

// Job is a job with the tasks that wait.
type Job struct {
	ID, Class, Team, Image string
	ImageGB, AimS          float64 // AimS: the users' shortest aim for a start, 0: none
	Service                bool
	Gang                   bool // all its tasks are placed, or none
	Priority               int
	Submitted              int64
	Need                   Need
	Spot                   bool
	SaveS                  float64         // time to save when stopped
	Types                  map[string]bool // nil: any
	Avoid                  map[string]bool // machines where it failed
	Zone                   string
	OneZone, Spread        bool
	Tasks                  int
	Waiting                []int
	InZone                 map[string]int
	Held                   int
	Upper                  bool
	Slots                  int
	Attained, Degradation  float64
	Headroom               bool
	// LeftS is the time left until its deadline, infinite if it has none; Late:
	// it can't be met any more.
	LeftS float64
	Late  bool
	// Resume is how many of the waiting tasks, listed first, ran before and were
	// interrupted by their machine's end rather than by rank.
	Resume int
	// Reserved is for how many of its tasks others were stopped and have not all
	// gone yet.
	Reserved int
	// Images are the images that expected tasks may need, with the share of each; missing
	// is what share of them machines of an image set lack, as far as asked.
	Images        []ImageShare
	missingShares map[int]float64
	// Plain: a batch for machines without accelerators, see IsPlain.
	Plain bool
	// Patient: it has waited so long that no rented machine will come.
	Patient      bool
	rankPosition int // of the jobs in a round, by rank
	// Starved: it has had no task anywhere for longer than a boot.
	Starved bool
}

// ImageShare is the share of expected tasks that need an image.
type ImageShare struct {
	Image string
	Share float64
}

// Rank is attained service over degradation: the least goes first.
func (j *Job) Rank() float64 { return j.Attained / j.Degradation }

// Classes of jobs in the order of ranks.
const (
	rankService = iota
	rankExpected
	rankUpper
	rankLower
)

func (j *Job) rankClass() int {
	switch {
	case j.Service && !j.Headroom:
		return rankService
	case j.Headroom:
		return rankExpected
	case j.Upper:
		return rankUpper
	}
	return rankLower
}

// Order sorts by rank: services first (by priority, then age), then the room
// kept for expected ones, then the upper queue first come first served, then
// the lower queue by Rank. Jobs that are in order already cost little.
func Order(jobs []*Job) { slices.SortFunc(jobs, compareRanks) }

// compareRanks is total, as names differ.
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

// AllowedOn says whether the job's own words allow this type, zone and kind.
func (j *Job) AllowedOn(typ, zone string, spot bool) bool {
	return (!spot || j.Spot) && (j.Zone == "" || j.Zone == zone) && (j.Types == nil || j.Types[typ])
}

// MayRunOn says whether the job may have a task on the machine, room apart.
func (j *Job) MayRunOn(m *Machine) bool {
	return j.AllowedOn(m.Type.Name, m.Zone, m.Spot) && j.ZoneOpen(m.Zone) && !j.Avoid[m.ID]
}

// ZoneOpen says whether one more task may go to the zone, given the others.
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

// missingShare is the share of expected tasks whose image the machine lacks.
func (j *Job) missingShare(m *Machine) float64 {
	if share, known := j.missingShares[m.ImageSet]; known {
		return share
	}
	share := 0.0
	for _, expected := range j.Images {
		if !m.Images[expected.Image] {
			share += expected.Share
		}
	}
	if m.ImageSet == 0 {
		return share
	}
	if j.missingShares == nil {
		j.missingShares = map[int]float64{}
	}
	j.missingShares[m.ImageSet] = share
	return share
}

// fetchWeight is how much a missing image matters on a type: its fetch by the
// time that the users give a start. Small images on slow machines miss an aim of
// a second, while a dearer machine has them at once.
func (j *Job) fetchWeight(t *Type) float64 {
	if j.AimS <= 0 || t.FetchGBPerS <= 0 {
		return 1
	}
	return min(4, max(0.25, j.ImageGB/t.FetchGBPerS/j.AimS))
}
