package coordination

import (
	"claybarrow/internal/ledger"
	"claybarrow/internal/sched"
)

// arrivals are a class's recent arrivals, for the room kept free.
type arrivals struct {
	last []arrival
}

type arrival struct {
	at  int64 // ms, time of day
	job *ledger.Job
}

func (r *term) noteArrival(j *ledger.Job) {
	a := r.arrivals[j.Spec.Class]
	if a == nil {
		a = &arrivals{}
		r.arrivals[j.Spec.Class] = a
	}
	a.last = append(a.last, arrival{j.Submitted, j})
	if len(a.last) > 200 {
		a.last = a.last[1:]
	}
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
		a := r.arrivals[class]
		tasks := 0
		images := map[string]float64{}
		var sample *ledger.Job
		from := c.wall - int64(window*1000)
		for _, x := range a.last {
			if x.at >= from {
				tasks += x.job.Spec.Tasks
				images[x.job.Spec.Image] += float64(x.job.Spec.Tasks)
				sample = x.job
			}
		}
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
