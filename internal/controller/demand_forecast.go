package controller

import (
	"cmp"
	"slices"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/scheduler"
)

// demandForecast predicts the tasks that will arrive while a machine boots, and describes them to the scheduler as
// headroom jobs: jobs that keep capacity free and are never started. It owns the recent arrivals by class. A new leader
// records the arrivals again while it loads the stored jobs.
type demandForecast struct {
	catalog  *machineCatalog
	env      *environment
	health   *machineHealth
	machines *machineRegistry
	views    *schedulerViews

	arrivals map[string]*arrivalHistory
}

// Prefixes of the ids of headroom jobs, which distinguish them from the ids of users' jobs.
const (
	demandIDPrefix      = "~" // followed by the class whose arrivals are expected
	replacementIDPrefix = "^" // followed by the key of the task that may need a replacement
)

// Limits of the forecast, in boot times of the slowest machine type.
const (
	// arrivalWindowBoots is the length of the window of recent arrivals on which the forecast is based.
	arrivalWindowBoots = 4
	// maxHeadroomObjectiveBoots is the longest wait objective of a class with headroom. Tasks that may wait longer
	// start in time on machines that are launched when they arrive.
	maxHeadroomObjectiveBoots = 2
)

// recordArrival counts a job among the recent arrivals of its class.
func (f *demandForecast) recordArrival(j *clusterstate.Job) {
	history := f.arrivals[j.Spec.Class]
	if history == nil {
		history = &arrivalHistory{}
		f.arrivals[j.Spec.Class] = history
	}
	history.add(j)
	f.warnOfSlowFetch(j)
}

// appendHeadroom appends all headroom jobs to a list of jobs.
func (f *demandForecast) appendHeadroom(jobs []*scheduler.Job) []*scheduler.Job {
	jobs = append(jobs, f.forecastDemand()...)
	return append(jobs, f.forecastReplacements()...)
}

// forecastDemand returns headroom jobs for the tasks that are expected to arrive while a machine boots. It covers the
// classes of services whose wait objective is too short to launch machines when the tasks arrive.
func (f *demandForecast) forecastDemand() []*scheduler.Job {
	bootS := f.catalog.longestBootS()
	windowS, from := f.arrivalWindow()
	var jobs []*scheduler.Job
	for _, class := range sortedKeys(f.arrivals) {
		objective := f.views.waitObjective(class)
		if objective <= 0 || objective > maxHeadroomObjectiveBoots*bootS {
			continue
		}
		tasks, images, sample := f.arrivals[class].totalSince(from)
		if sample == nil || !sample.Spec.Service {
			continue
		}
		expected := float64(tasks) / windowS * bootS * f.env.cfg.Operator.Fleet.Headroom
		job := newDemandJob(class, sample, max(1, int(expected+0.5)))
		job.Images, job.StartObjectiveS = imageShares(images, tasks), objective
		jobs = append(jobs, job)
	}
	return jobs
}

// forecastReplacements returns headroom jobs for the replicas on overdue machines, so that replacement machines boot
// before it is proved that these replicas have ended.
func (f *demandForecast) forecastReplacements() []*scheduler.Job {
	var jobs []*scheduler.Job
	for _, m := range f.machines.sortedMachines() {
		if !f.health.isOverdue(m) {
			continue
		}
		for _, a := range m.SortedAttempts() {
			if a.Job.Spec.Service && !a.Job.Cancelling && !a.StopRequested {
				jobs = append(jobs, newReplacementJob(a))
			}
		}
	}
	return jobs
}

// arrivalWindow is the window of recent arrivals on which the forecast is based: its length in seconds, and the Unix
// time in seconds at which it begins.
func (f *demandForecast) arrivalWindow() (lengthS float64, from int64) {
	lengthS = arrivalWindowBoots * f.catalog.longestBootS()
	return lengthS, (f.env.wall - int64(lengthS*1000)) / 1000
}

// newDemandJob returns a headroom job with the expected number of tasks of a class, each like the tasks of a sample
// job.
func newDemandJob(class string, sample *clusterstate.Job, tasks int) *scheduler.Job {
	spec := sample.Spec
	job := &scheduler.Job{
		ID: demandIDPrefix + class, Class: class, Priority: int(spec.Priority),
		Service: true, IsHeadroom: true, Tasks: tasks, Degradation: 1,
		Request: sample.Request, ImageGB: spec.ImageGB, Spot: spec.Spot, Types: sample.Types,
	}
	for i := range tasks {
		job.Waiting = append(job.Waiting, i)
	}
	return job
}

// newReplacementJob returns a headroom job for the task of an attempt that is probably lost.
func newReplacementJob(a *clusterstate.Attempt) *scheduler.Job {
	job := newJobView(a.Job)
	job.ID, job.IsHeadroom, job.Spread, job.OneZone = replacementIDPrefix+a.Key().Task, true, false, false
	job.Waiting = []int{a.Index}
	return job
}

// imageShares returns the share of the tasks that need each image. The order is fixed so that runs can be replayed.
func imageShares(tasksByImage map[string]float64, tasks int) []scheduler.ImageShare {
	var shares []scheduler.ImageShare
	for _, image := range sortedKeys(tasksByImage) {
		shares = append(shares, scheduler.ImageShare{Image: image, Share: tasksByImage[image] / float64(tasks)})
	}
	return shares
}

// arrivalHistory holds the recent arrivals of a class, summed up per second, oldest first.
type arrivalHistory struct {
	seconds []arrivalSecond
}

// arrivalSecond is the sum of the arrivals within one second.
type arrivalSecond struct {
	at     int64 // Unix time, s
	tasks  int
	images map[string]int    // tasks by image
	sample *clusterstate.Job // the job that was added last
	// services is the total need of the replicas among the tasks, by team.
	services map[string]scheduler.Resources
}

// arrivalHistorySeconds limits the number of entries in the history of a class. It is far larger than the window of
// arrivalWindowBoots boot times.
const arrivalHistorySeconds = 3600

// add counts the arrival of a job. Arrivals are not in order of time while a new leader loads the stored jobs.
func (h *arrivalHistory) add(j *clusterstate.Job) {
	s := h.entryAt(j.Submitted / 1000)
	if s == nil {
		return
	}
	s.tasks += j.Spec.Tasks
	s.images[j.Spec.Image] += j.Spec.Tasks
	s.sample = j
	if j.Spec.Service {
		s.services[j.Spec.Team] = s.services[j.Spec.Team].Plus(j.Request.Times(float64(j.Spec.Tasks)))
	}
}

// entryAt returns the entry of a second, and adds one if there is none. It returns nil if the history is full and the
// second is older than all of its entries.
func (h *arrivalHistory) entryAt(at int64) *arrivalSecond {
	i, found := h.search(at)
	if found {
		return &h.seconds[i]
	}
	h.seconds = slices.Insert(h.seconds, i, arrivalSecond{at: at, images: map[string]int{}, services: map[string]scheduler.Resources{}})
	if len(h.seconds) > arrivalHistorySeconds {
		h.seconds = h.seconds[1:]
		i--
	}
	if i < 0 {
		return nil
	}
	return &h.seconds[i]
}

// search returns the index at which a second is or would be inserted.
func (h *arrivalHistory) search(at int64) (i int, found bool) {
	return slices.BinarySearchFunc(h.seconds, at, func(s arrivalSecond, at int64) int { return cmp.Compare(s.at, at) })
}

// entriesSince returns the entries from a second on.
func (h *arrivalHistory) entriesSince(from int64) []arrivalSecond {
	i, _ := h.search(from)
	return h.seconds[i:]
}

// totalSince sums up the arrivals from a second on. sample is the latest job, or nil if none arrived.
func (h *arrivalHistory) totalSince(from int64) (tasks int, images map[string]float64, sample *clusterstate.Job) {
	images = map[string]float64{}
	for _, s := range h.entriesSince(from) {
		tasks += s.tasks
		for image, n := range s.images {
			images[image] += float64(n)
		}
		sample = s.sample
	}
	return tasks, images, sample
}
