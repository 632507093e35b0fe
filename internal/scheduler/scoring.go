package scheduler

import "math"

// Parts of a score. They only order preferences: a ready machine before a booting one, then no
// accelerators blocked by tasks that have no use for them, the image there, spot for jobs that may
// use it, a tight fit, and machines in use before empty ones, so that these can be returned.
const (
	bootingScore             = 1000
	blocksAcceleratorsScore  = 400
	missingImageScore        = 60 // times Job.fetchWeight
	notSpotScore             = 50
	fetchInProgressScore     = 40 // for each other image that the machine is fetching
	unneededAcceleratorScore = 30
	looseFitScore            = 25 // times the share of the machine that stays free
	fetchingImageScore       = 20
	unusedScore              = 15
)

// acceleratorCoreReserve is the part of its share of the cores that a free accelerator keeps from
// plain batches (docs/design.md, exception 16).
const acceleratorCoreReserve = 0.75

// accepts says whether the machine may be given a task of the job now.
func (s *Snapshot) accepts(j *Job, m *Machine) bool {
	return (m.ReservedFor == "" || m.ReservedFor == j.ID) && m.TaskCapacity > 0 && j.Request.Fits(m.Free) && j.MayRunOn(m) &&
		(!s.reserveAcceleratorCores || !j.AvoidsAccelerators || !j.blocksAccelerators(m))
}

// blocksAccelerators says whether a task without accelerators would take cores that the machine's
// free accelerators need.
func (j *Job) blocksAccelerators(m *Machine) bool {
	if j.Request.Accel > 0 || m.Type.Size.Accel <= 0 {
		return false
	}
	left := m.Free.Minus(j.Request)
	return left.Cores < acceleratorCoreReserve*m.Type.Size.Cores*m.Free.Accel/m.Type.Size.Accel
}

// score rates a machine for a task of the job: lower is better.
func (s *Snapshot) score(j *Job, m *Machine) float64 {
	score := 0.0
	if m.Booting {
		score += bootingScore
	}
	switch {
	case j.IsHeadroom && len(j.Images) > 0:
		// Expected replicas get room where their images are: elsewhere each replica began with
		// a fetch.
		score += missingImageScore * j.fetchWeight(m.Type) * j.missingShare(m)
	case j.Image == "" || m.Images[j.Image]:
	case m.Fetching[j.Image]:
		score += fetchingImageScore
	default:
		score += missingImageScore*j.fetchWeight(m.Type) + fetchInProgressScore*float64(len(m.Fetching))
	}
	if j.Spot && !m.Spot {
		score += notSpotScore
	}
	if j.Request.Accel == 0 && m.Type.Size.Accel > 0 {
		if j.blocksAccelerators(m) {
			score += blocksAcceleratorsScore
		}
		score += unneededAcceleratorScore
	}
	left := Share(m.Free.Minus(j.Request), m.Type.Size)
	if j.Request.Accel == 0 {
		left = (m.Free.Cores - j.Request.Cores) / math.Max(m.Type.Size.Cores, eps)
	}
	score += looseFitScore * left
	if !m.Used {
		score += unusedScore
	}
	return score
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

// Bounds of Job.fetchWeight: an image neither outweighs a booting machine nor counts for nothing.
const (
	minFetchWeight = 0.25
	maxFetchWeight = 4
)

// fetchWeight is how much a missing image matters on a machine type: the time of its fetch over
// the time in which users want the task started. Small images on slow machines miss a start
// within a second, while a more expensive machine has them at once.
func (j *Job) fetchWeight(t *Type) float64 {
	if j.StartObjectiveS <= 0 || t.FetchGBPerS <= 0 {
		return 1
	}
	return min(maxFetchWeight, max(minFetchWeight, j.ImageGB/t.FetchGBPerS/j.StartObjectiveS))
}
