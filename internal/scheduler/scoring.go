package scheduler

import "math"

// Parts of a score. Their values only define an order of preferences, from the strongest to the weakest: a ready
// machine rather than a booting one, no accelerators blocked by tasks that don't use them, a machine that has the
// image, a spot machine for jobs that may use one, a tight fit, and a used machine rather than an empty one, so that
// empty machines can be returned.
const (
	bootingScore             = 1000
	blocksAcceleratorsScore  = 400
	missingImageScore        = 60 // multiplied by Job.fetchWeight
	notSpotScore             = 50
	fetchInProgressScore     = 40 // for each other image that the machine is fetching
	unneededAcceleratorScore = 30
	looseFitScore            = 25 // multiplied by the share of the machine that stays free
	fetchingImageScore       = 20
	unusedScore              = 15
)

// acceleratorCoreReserve is the part of its proportional share of the cores that each free accelerator reserves, so
// that batches without accelerators don't take these cores (docs/design.md, exception 16).
const acceleratorCoreReserve = 0.75

// accepts reports whether a task of the job can be assigned to the machine now.
func (s *Snapshot) accepts(j *Job, m *Machine) bool {
	return (m.ReservedFor == "" || m.ReservedFor == j.ID) && m.TaskCapacity > 0 && j.Request.Fits(m.Free) && j.MayRunOn(m) &&
		(!s.reserveAcceleratorCores || !j.AvoidsAccelerators || !j.blocksAccelerators(m))
}

// blocksAccelerators reports whether a task without accelerators would take cores that the free accelerators of the
// machine need.
func (j *Job) blocksAccelerators(m *Machine) bool {
	if j.Request.Accelerators > 0 || m.Type.Size.Accelerators <= 0 {
		return false
	}
	remaining := m.Free.Minus(j.Request)
	return remaining.Cores < acceleratorCoreReserve*m.Type.Size.Cores*m.Free.Accelerators/m.Type.Size.Accelerators
}

// score returns the score of a machine for a task of the job. Lower is better.
func (s *Snapshot) score(j *Job, m *Machine) float64 {
	score := 0.0
	if m.Booting {
		score += bootingScore
	}
	switch {
	case j.IsHeadroom && len(j.Images) > 0:
		// Headroom for expected replicas is preferred on machines that have their images. On other machines each
		// replica would start by fetching its image.
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
	if j.Request.Accelerators == 0 && m.Type.Size.Accelerators > 0 {
		if j.blocksAccelerators(m) {
			score += blocksAcceleratorsScore
		}
		score += unneededAcceleratorScore
	}
	freeShare := Share(m.Free.Minus(j.Request), m.Type.Size)
	if j.Request.Accelerators == 0 {
		freeShare = (m.Free.Cores - j.Request.Cores) / math.Max(m.Type.Size.Cores, roundingTolerance)
	}
	score += looseFitScore * freeShare
	if !m.InUse {
		score += unusedScore
	}
	return score
}

// missingShare returns the share of expected tasks whose image the machine does not have.
func (j *Job) missingShare(m *Machine) float64 {
	if share, cached := j.missingShares[m.ImageSet]; cached {
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

// Bounds of Job.fetchWeight. The upper bound keeps a missing image from outweighing a booting machine, and the lower
// bound keeps it from being ignored.
const (
	minFetchWeight = 0.25
	maxFetchWeight = 4
)

// fetchWeight returns the weight of a missing image on a machine type: the duration of the fetch divided by the
// start-time objective. On a machine type with low bandwidth, fetching even a small image misses an objective of one
// second, which a more expensive type meets.
func (j *Job) fetchWeight(t *MachineType) float64 {
	if j.StartObjectiveS <= 0 || t.FetchGBPerS <= 0 {
		return 1
	}
	return min(maxFetchWeight, max(minFetchWeight, j.ImageGB/t.FetchGBPerS/j.StartObjectiveS))
}
