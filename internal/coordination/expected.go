package coordination

import (
	"cmp"
	"slices"

	"claybarrow/internal/ledger"
	"claybarrow/internal/sched"
)

// arrivals are a class's recent arrivals, for the room kept free: added up by the second,
// oldest first.
type arrivals struct {
	seconds []arrivalSecond
}

// arrivalSecond is what arrived within a second of the time of day.
type arrivalSecond struct {
	at     int64 // s
	tasks  int
	images map[string]int // tasks by image
	sample *ledger.Job    // the last one
	// services is what the replicas among them need, by team.
	services map[string]sched.Need
}

// mostArrivalSeconds bounds what is kept of a class. Room is kept for four boots' worth.
const mostArrivalSeconds = 3600

func (r *term) noteArrival(j *ledger.Job) {
	a := r.arrivals[j.Spec.Class]
	if a == nil {
		a = &arrivals{}
		r.arrivals[j.Spec.Class] = a
	}
	a.add(j)
	r.warnOfFetch(j)
}

// add notes a job's arrival. After a take-over they come in no order.
func (a *arrivals) add(j *ledger.Job) {
	at := j.Submitted / 1000
	i, found := slices.BinarySearchFunc(a.seconds, at, func(s arrivalSecond, at int64) int { return cmp.Compare(s.at, at) })
	if !found {
		a.seconds = slices.Insert(a.seconds, i, arrivalSecond{at: at, images: map[string]int{}, services: map[string]sched.Need{}})
		if len(a.seconds) > mostArrivalSeconds {
			a.seconds = a.seconds[1:]
			if i--; i < 0 {
				return // older than all that is kept
			}
		}
	}
	s := &a.seconds[i]
	s.tasks += j.Spec.Tasks
	s.images[j.Spec.Image] += j.Spec.Tasks
	s.sample = j
	if j.Spec.Service {
		s.services[j.Spec.Team] = s.services[j.Spec.Team].Plus(j.Need.Times(float64(j.Spec.Tasks)))
	}
}

// recent is what arrived from a second of the time of day on.
func (a *arrivals) recent(from int64) []arrivalSecond {
	i, _ := slices.BinarySearchFunc(a.seconds, from, func(s arrivalSecond, from int64) int { return cmp.Compare(s.at, from) })
	return a.seconds[i:]
}

// since adds up what arrived from a moment on.
func (a *arrivals) since(from int64) (tasks int, images map[string]float64, sample *ledger.Job) {
	images = map[string]float64{}
	for _, s := range a.recent(from) {
		tasks += s.tasks
		for image, n := range s.images {
			images[image] += float64(n)
		}
		sample = s.sample
	}
	return tasks, images, sample
}

// doubles stand for the replicas on machines that are overdue, so that their
// next machines boot while the proof that they are gone is still awaited.
func (r *term) doubles() []*sched.Job {
	var out []*sched.Job
	for _, m := range r.machines() {
		if !r.overdue(m) {
			continue
		}
		for _, a := range m.Sorted() {
			if a.Job.Spec.Service && !a.Job.Cancelling && !a.Halt {
				j := schedJob(a.Job)
				j.ID, j.Phantom, j.Spread, j.OneZone = "^"+a.Key().Task, true, false, false
				j.Waiting = []int{a.Index}
				out = append(out, j)
			}
		}
	}
	return out
}

// expected are phantom tasks for what arrives while a machine would boot, for
// classes whose aims are shorter than that.
func (r *term) expected() []*sched.Job {
	c := r.c
	boot := c.bootS()
	window := 4 * boot
	var out []*sched.Job
	for _, class := range sortedKeys(r.arrivals) {
		aim := r.aimOf(class)
		if aim <= 0 || aim > 2*boot {
			continue
		}
		tasks, images, sample := r.arrivals[class].since((c.wall - int64(window*1000)) / 1000)
		if sample == nil || !sample.Spec.Service {
			continue
		}
		expect := float64(tasks) / window * boot * c.cfg.Operator.Fleet.Headroom
		k := int(expect + 0.5)
		if k < 1 {
			k = 1
		}
		sp := sample.Spec
		j := &sched.Job{ID: "~" + class, Class: class, Service: true, Need: sample.Need, Spot: sp.Spot, Types: sample.Types,
			Spread: false, Tasks: k, Phantom: true, Degradation: 1, Priority: int(sp.Priority), Images: imageShares(images, tasks), ImageGB: sp.ImageGB, AimS: aim}
		for i := range k {
			j.Waiting = append(j.Waiting, i)
		}
		out = append(out, j)
	}
	return out
}

// imageShares tells which images the tasks need, in a fixed order, so runs replay.
func imageShares(tasksByImage map[string]float64, tasks int) []sched.ImageShare {
	var out []sched.ImageShare
	for _, image := range sortedKeys(tasksByImage) {
		out = append(out, sched.ImageShare{Image: image, Share: tasksByImage[image] / float64(tasks)})
	}
	return out
}

// bootS is the longest usual boot time.
func (c *Core) bootS() float64 {
	boot := 0.0
	for _, t := range c.types {
		boot = max(boot, t.BootS)
	}
	return boot
}
