package controller

import (
	"cmp"
	"slices"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/scheduler"
)

// demandForecast predicts the tasks that will arrive while a machine boots, from recent arrivals.
type demandForecast struct {
	catalog  *machineCatalog
	env      *environment
	health   *machineHealth
	machines *machineRegistry
	views    *schedulerViews

	arrivals map[string]*arrivalHistory
}

// arrivalHistory are a class's recent arrivals, for the room kept free: added up by the second,
// oldest first.
type arrivalHistory struct {
	seconds []arrivalSecond
}

// arrivalSecond is what arrived within a second of the time of day.
type arrivalSecond struct {
	at     int64 // s
	tasks  int
	images map[string]int    // tasks by image
	sample *clusterstate.Job // the last one
	// services is what the replicas among them need, by team.
	services map[string]scheduler.Need
}

// arrivalHistorySeconds bounds what is kept of a class. Room is kept for four boots' worth.
const arrivalHistorySeconds = 3600

func (f *demandForecast) recordArrival(j *clusterstate.Job) {
	a := f.arrivals[j.Spec.Class]
	if a == nil {
		a = &arrivalHistory{}
		f.arrivals[j.Spec.Class] = a
	}
	a.add(j)
	f.warnOfSlowFetch(j)
}

// add notes a job's arrival. After a take-over they come in no order.
func (h *arrivalHistory) add(j *clusterstate.Job) {
	at := j.Submitted / 1000
	i, found := slices.BinarySearchFunc(h.seconds, at, func(s arrivalSecond, at int64) int { return cmp.Compare(s.at, at) })
	if !found {
		h.seconds = slices.Insert(h.seconds, i, arrivalSecond{at: at, images: map[string]int{}, services: map[string]scheduler.Need{}})
		if len(h.seconds) > arrivalHistorySeconds {
			h.seconds = h.seconds[1:]
			if i--; i < 0 {
				return // older than all that is kept
			}
		}
	}
	s := &h.seconds[i]
	s.tasks += j.Spec.Tasks
	s.images[j.Spec.Image] += j.Spec.Tasks
	s.sample = j
	if j.Spec.Service {
		s.services[j.Spec.Team] = s.services[j.Spec.Team].Plus(j.Need.Times(float64(j.Spec.Tasks)))
	}
}

// recent is what arrived from a second of the time of day on.
func (h *arrivalHistory) recent(from int64) []arrivalSecond {
	i, _ := slices.BinarySearchFunc(h.seconds, from, func(s arrivalSecond, from int64) int { return cmp.Compare(s.at, from) })
	return h.seconds[i:]
}

// since adds up what arrived from a moment on.
func (h *arrivalHistory) since(from int64) (tasks int, images map[string]float64, sample *clusterstate.Job) {
	images = map[string]float64{}
	for _, s := range h.recent(from) {
		tasks += s.tasks
		for image, n := range s.images {
			images[image] += float64(n)
		}
		sample = s.sample
	}
	return tasks, images, sample
}

// forecastReplacements stand for the replicas on machines that are overdue, so that their
// next machines boot while the proof that they are gone is still awaited.
func (f *demandForecast) forecastReplacements() []*scheduler.Job {
	var out []*scheduler.Job
	for _, m := range f.machines.sortedMachines() {
		if !f.health.isOverdue(m) {
			continue
		}
		for _, a := range m.Sorted() {
			if a.Job.Spec.Service && !a.Job.Cancelling && !a.StopRequested {
				j := newJobView(a.Job)
				j.ID, j.Headroom, j.Spread, j.OneZone = "^"+a.Key().Task, true, false, false
				j.Waiting = []int{a.Index}
				out = append(out, j)
			}
		}
	}
	return out
}

// forecastDemand are phantom tasks for what arrives while a machine would boot, for
// classes whose aims are shorter than that.
func (f *demandForecast) forecastDemand() []*scheduler.Job {
	boot := f.catalog.longestBootS()
	window := 4 * boot
	var out []*scheduler.Job
	for _, class := range sortedKeys(f.arrivals) {
		aim := f.views.waitObjective(class)
		if aim <= 0 || aim > 2*boot {
			continue
		}
		tasks, images, sample := f.arrivals[class].since((f.env.wall - int64(window*1000)) / 1000)
		if sample == nil || !sample.Spec.Service {
			continue
		}
		expect := float64(tasks) / window * boot * f.env.cfg.Operator.Fleet.Headroom
		k := int(expect + 0.5)
		if k < 1 {
			k = 1
		}
		sp := sample.Spec
		j := &scheduler.Job{ID: "~" + class, Class: class, Service: true, Need: sample.Need, Spot: sp.Spot, Types: sample.Types,
			Spread: false, Tasks: k, Headroom: true, Degradation: 1, Priority: int(sp.Priority), Images: imageShares(images, tasks), ImageGB: sp.ImageGB, AimS: aim}
		for i := range k {
			j.Waiting = append(j.Waiting, i)
		}
		out = append(out, j)
	}
	return out
}

// imageShares tells which images the tasks need, in a fixed order, so runs replay.
func imageShares(tasksByImage map[string]float64, tasks int) []scheduler.ImageShare {
	var out []scheduler.ImageShare
	for _, image := range sortedKeys(tasksByImage) {
		out = append(out, scheduler.ImageShare{Image: image, Share: tasksByImage[image] / float64(tasks)})
	}
	return out
}
