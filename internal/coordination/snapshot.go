package coordination

import (
	"math"

	"claybarrow/internal/ledger"
	"claybarrow/internal/protocol"
	"claybarrow/internal/sched"
)

func shareOf(j *ledger.Job, capacity sched.Need) float64 { return sched.Share(j.Need, capacity) }

// capacity is what the ready machines hold, or one of each if there are none.
func (r *term) capacity() sched.Need {
	var n sched.Need
	for _, m := range r.Machines {
		if m.Up && !m.Returning {
			n = n.Plus(m.Size)
		}
	}
	if n.Cores == 0 {
		for _, t := range r.c.types {
			n = n.Plus(t.Size)
		}
	}
	return n
}

// schedJob is a job as the scheduler sees it, without its tasks.
func schedJob(j *ledger.Job) *sched.Job {
	sj := &sched.Job{}
	describe(sj, j)
	return sj
}

// describe has a view be of a job as it is now, without its tasks.
func describe(sj *sched.Job, j *ledger.Job) {
	s := j.Spec
	*sj = sched.Job{ID: s.UID, Class: s.Class, Team: s.Team, Image: s.Image, ImageGB: s.ImageGB, Service: s.Service,
		Priority: int(s.Priority), Submitted: j.Submitted, Need: j.Need, SaveS: s.SaveS, Spot: s.Spot, Types: j.Types,
		Zone: s.Zone, OneZone: s.OneZone, Spread: s.Spread, Tasks: s.Tasks,
		Held: j.HeldTotal, Upper: j.Scale.Upper && !s.Service, Slots: j.Scale.Slots,
		Attained: j.Scale.Attained, Degradation: j.Scale.Degr}
	if j.Gang != nil {
		// Gangs skip the upper queue, with degradation 1, and have no slots.
		sj.Gang, sj.Upper, sj.Slots, sj.Degradation = true, false, s.Tasks, 1
	}
}

// mostWaiting bounds how many waiting tasks of a job are looked at in one go.
const mostWaiting = 512

// waitingTasks lists what waits of a job now; the first of them, as many as it says, were
// interrupted.
func (r *term) waitingTasks(j *ledger.Job) (waiting []int, resume int) {
	waiting, resume = j.Waiting(mostWaiting)
	return r.mayStart(j, waiting, resume)
}

// mayStart is what may be started now of the tasks that wait: nothing for a while after
// failures, and one at a time while it is tried whether the job still fails.
func (r *term) mayStart(j *ledger.Job, waiting []int, resume int) ([]int, int) {
	c := r.c
	if j.Cancelling || j.Finishing || c.now < j.NotBefore {
		waiting, resume = nil, 0
	}
	if j.Failures.Probing() && j.Gang == nil && len(waiting) > 1 {
		waiting, resume = waiting[:1], min(resume, 1)
	}
	if j.HeldTotal > 0 || j.Cancelling || j.Finishing {
		j.WaitingSince = 0
	} else if j.WaitingSince == 0 {
		j.WaitingSince = c.now
	}
	return waiting, resume
}

// liveClaims counts the tasks that machines are kept for, by job, and drops what is over.
func (r *term) liveClaims() map[string]int {
	claims := map[string]int{}
	for id, cl := range r.claims {
		if j := r.Jobs[cl.job]; j == nil || j.Cancelling || r.c.now >= cl.until || r.Machines[id] == nil {
			delete(r.claims, id)
		} else {
			claims[cl.job] += cl.tasks
		}
	}
	return claims
}

// viewJob has a view be of a job as it is now, but for its places by zone.
func (r *term) viewJob(sj *sched.Job, j *ledger.Job, waiting []int, resume, claims int) {
	c := r.c
	describe(sj, j)
	sj.Waiting, sj.Resume = waiting, resume
	sj.AimS = r.aimOf(j.Spec.Class)
	sj.Plain = sj.IsPlain(c.types)
	sj.LeftS, sj.Late = r.timeLeft(j)
	sj.Patient = float64(c.wall-j.Submitted)/1000 > 2*c.bootS()
	sj.Avoid = j.Failures.Avoid(c.now, c.cfg.Cancel())
	sj.Starved = j.WaitingSince > 0 && c.now > j.WaitingSince+seconds(c.bootS())
	sj.Claims = min(claims, len(sj.Waiting))
}

// boots is the type of a machine that will most probably be up soon; nil: it won't.
func (r *term) boots(m *ledger.Machine) *sched.Type {
	if m.Up || m.Returning || r.isPartitioned(m.Zone) {
		return nil
	}
	if t := r.c.typeOf(m.Type); t != nil && r.c.now < m.Rented+seconds(t.BootS*usualBoots) {
		return t
	}
	return nil
}

// machineView is a machine as the scheduler sees it, without what is on it.
func (r *term) machineView(m *ledger.Machine, t *sched.Type) sched.Machine {
	entries := r.c.cfg.ValueBytes() / ledger.EntryBytes
	return sched.Machine{ID: m.ID, Type: t, Zone: m.Zone, Spot: m.Spot, Free: m.Size.Minus(m.Used),
		Room: entries - len(m.Attempts), Used: len(m.Attempts) > 0, For: r.claims[m.ID].job, ImageSet: r.ImageSet(m)}
}

// showImages tells which images a machine has, and which it is fetching.
func showImages(sm *sched.Machine, m *ledger.Machine) {
	sm.Images = m.Images
	if !m.Starting() {
		return
	}
	for _, a := range m.Sorted() {
		image := a.Job.Spec.Image
		if a.State != "" && a.State != protocol.Pulling || m.Images[image] {
			continue
		}
		if sm.Fetching == nil {
			sm.Fetching = map[string]bool{}
		}
		sm.Fetching[image] = true
	}
}

// runningOn adds a machine's tasks that may be stopped for others to a list.
func (r *term) runningOn(list []sched.Held, m *ledger.Machine, jobs map[*ledger.Job]*sched.Job) []sched.Held {
	for _, a := range m.Sorted() {
		if sj := jobs[a.Job]; sj != nil && !a.Halt {
			list = append(list, sched.Held{Job: sj, Index: a.Index, SinceS: (r.c.now - a.Since).Seconds()})
		}
	}
	return list
}

// keepLimits leaves a little of each team's limit to its services: as much as
// arrives in three rounds. Batches that fill a limit to the brim make each new
// replica wait for a round's stop and a save, and some aims are a second.
func (r *term) keepLimits(teams map[string]*sched.Team) {
	window := 4 * r.c.bootS()
	if window == 0 {
		return
	}
	from := (r.c.wall - int64(window*1000)) / 1000
	rounds := 3 * r.c.cfg.Operator.Green.RoundS / window
	for _, a := range r.arrivals {
		for _, second := range a.recent(from) {
			for team, need := range second.services {
				if t := teams[team]; t != nil {
					t.Kept = t.Kept.Plus(need.Times(rounds))
				}
			}
		}
	}
}

// aimOf is the shortest waiting time that the users aim at for a class.
func (r *term) aimOf(class string) float64 {
	aim := 0.0
	for _, o := range r.c.cfg.Cluster.Objectives {
		if o.Kind == "wait" && o.Class == class && (aim == 0 || o.WithinS < aim) {
			aim = o.WithinS
		}
	}
	return aim
}

// timeLeft is what a batch with a deadline has left until the next of the
// times that the users aim at, with its tasks started now and running for half
// of what their owner says, as estimates are often wrong by half. Infinite: it
// has no deadline, or late: none of those times can be met any more.
func (r *term) timeLeft(j *ledger.Job) (left float64, late bool) {
	left = math.Inf(1)
	if j.Spec.Service || j.Spec.DeadlineS <= 0 {
		return left, false
	}
	end := float64(r.c.wall-j.Submitted)/1000 + j.Spec.EstimateS/2
	late = true
	for _, times := range r.deadlines(j.Spec.Class) {
		if due := j.Spec.DeadlineS * times; end <= due {
			left, late = min(left, due-end), false
		}
	}
	return left, late
}

// deadlines are the multiples of a class's deadlines that the users aim at.
func (r *term) deadlines(class string) []float64 {
	out := []float64{1}
	for _, o := range r.c.cfg.Cluster.Objectives {
		if o.Kind == "deadline" && o.Class == class && o.Times > 0 {
			out = append(out, o.Times)
		}
	}
	return out
}
