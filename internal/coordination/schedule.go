package coordination

import (
	"slices"
	"time"

	"claybarrow/internal/ledger"
	"claybarrow/internal/sched"
	"claybarrow/internal/statestore"
)

// schedule is called at every tick.
func (r *term) schedule() {
	c := r.c
	g := c.cfg.Operator.Green
	r.accrue()
	r.users.dropStale()
	if c.now >= r.fillAt {
		r.fillAt = c.now + seconds(g.FillS)
		r.fillDirty = true
	}
	if c.now >= r.roundAt && r.heardAll() {
		r.roundAt = c.now + seconds(g.RoundS)
		r.round()
		r.consolidate()
		r.standing.check()
	}
	if c.now >= r.countersAt {
		r.countersAt = c.now + seconds(g.CountersS)
		r.writeCounters()
	}
	if c.now >= r.overviewAt {
		r.overviewAt = c.now + c.cfg.Lease()
		r.overview()
	}
	if c.now >= r.planAt {
		r.findPartitions()
		r.watchBoots()
		r.planAt = c.now + c.cfg.LeaderTTL()*2/3
		r.fillDirty = true // delays of failing jobs and set-aside machines end with time
		r.plan()
	}
}

// fill starts what waits, as rank and room allow. Starts leave only once they
// are in the ledger of the state service.
func (r *term) fill() {
	r.fillDirty = false
	if !r.certain() || len(r.c.types) == 0 || !r.attempts.enough() {
		return
	}
	s := r.standing.forFill()
	if s == nil {
		return
	}
	if slices.ContainsFunc(s.Jobs, func(j *sched.Job) bool { return !j.Service }) {
		// Room is kept from batches; replicas go before it.
		s.Jobs = append(s.Jobs, r.expected()...)
		s.Jobs = append(s.Jobs, r.doubles()...)
	}
	tries := map[*ledger.Job]uint64{} // a gang's tasks have one number
	for _, p := range s.Fill() {
		j := r.Jobs[p.Job.ID]
		switch {
		case j.Gang != nil && tries[j] != 0:
		case j.Gang != nil && j.Gang.State == ledger.GangGathering:
			tries[j] = j.Gang.Try // it replaces a lost task while the others gather
		default:
			tries[j] = r.nextTry()
		}
		r.start(j, p.Index, r.Machines[p.Machine.ID], tries[j])
	}
	for j := range tries {
		if j.Gang != nil {
			r.dropClaims(j.Spec.UID) // it has its whole room, wherever that is
		}
	}
}

func (r *term) start(j *ledger.Job, index int, m *ledger.Machine, try uint64) {
	c := r.c
	if cl := r.claims[m.ID]; cl.job == j.Spec.UID {
		if cl.tasks--; cl.tasks > 0 {
			r.claims[m.ID] = cl
		} else {
			delete(r.claims, m.ID)
		}
	}
	a := r.Put(m, j, index, try, c.now)
	r.retried(j)
	c.log.Debug("start", "task", a.Key().Task, "try", a.Try, "machine", m.ID)
	priority := statestore.Start
	if j.Spec.Service {
		priority = statestore.Replica
	}
	r.record(m, priority, func() {
		if m.Attempts[a.Key()] != a {
			return
		}
		a.Durable = true
		if a.Halt {
			r.gone(a, neverSent)
			return
		}
		r.dispatch(m)
		r.startGang(j)
	})
}

// claim keeps a machine for the job that tasks were stopped for, until as many
// of its tasks have started there.
type claim struct {
	job   string
	tasks int
	until time.Duration
}

// round is GREEN's: jobs gain slots, and tasks ranked past capacity stop.
func (r *term) round() {
	c := r.c
	for _, j := range r.Jobs {
		if !j.Spec.Service && j.Gang == nil {
			j.Scale.Round(j.Done, j.Spec.Tasks, c.cfg.Operator.Green.Gamma)
		}
	}
	if !r.certain() {
		return
	}
	s := r.standing.forRound()
	defer r.standing.endRound()
	// Room that a fill keeps from what waits is no room here either: a gang was once
	// taken to fit into it, round after round, and waited for a boot.
	s.Jobs = append(s.Jobs, r.expected()...)
	s.Jobs = append(s.Jobs, r.doubles()...)
	s.Fill() // what finds room needs no stop
	preemption := s.Stops(max(c.cfg.Cluster.State.TxnOps, len(s.Machines)/4), r.searched)
	patience := map[string]time.Duration{} // by job: until its victims must be gone
	for _, st := range preemption.Stops {
		patience[st.For.ID] = max(patience[st.For.ID], r.stopTime(st.Victim.Job))
		r.preempt(st)
	}
	for _, kept := range preemption.Kept {
		cl := r.claims[kept.Machine.ID]
		cl.job = kept.Job.ID
		cl.until = c.now + c.cfg.Lease() + patience[kept.Job.ID]
		cl.tasks += kept.Tasks
		r.claims[kept.Machine.ID] = cl
	}
}

// stopTime is how long a task may take to end in good order.
func (r *term) stopTime(victim *sched.Job) time.Duration {
	if victim.Gang {
		return seconds(victim.SaveS) + r.c.cfg.GangPeer()
	}
	return seconds(victim.SaveS)
}

// preempt has a task stopped for a job that ranks before it.
func (r *term) preempt(st sched.Stop) {
	m := r.Machines[st.Machine.ID]
	for _, a := range m.Sorted() {
		if a.Job.Spec.UID == st.Victim.Job.ID && a.Index == st.Victim.Index {
			r.c.log.Info("stopping", "task", a.Key().Task, "machine", m.ID, "for", st.For.ID)
			a.Yielded = true
			r.halt(a, a.Job.Spec.SaveS, "a round's stop")
		}
	}
}

// dropClaims gives up the room that is kept for a job.
func (r *term) dropClaims(uid string) {
	for id, cl := range r.claims {
		if cl.job == uid {
			delete(r.claims, id)
		}
	}
}

// One plan rents a few machines at a time, so that what comes up meanwhile is used first: 64, or
// a thirty-second of the fleet. A fleet of any size is rented within 32 plans.
const (
	leastNewMachines   = 64
	fleetShareOfRental = 32
)

func (r *term) mostNewMachines() int {
	return max(leastNewMachines, r.c.cfg.FleetSize()/fleetShareOfRental)
}

// plan rents what waiting and expected work needs, and returns what it doesn't.
func (r *term) plan() {
	c := r.c
	if len(c.types) == 0 || !r.pool.HasList() || !r.certain() {
		return
	}
	s := r.standing.forPlan()
	s.Jobs = append(s.Jobs, r.expected()...)
	s.Jobs = append(s.Jobs, r.doubles()...)
	inFlight := map[sched.Pool]int{}
	for _, q := range r.pool.Renting() {
		inFlight[q.Pool] += q.Count
		if t := c.typeOf(q.Type); t != nil {
			for range q.Count {
				s.Bring(&sched.Machine{Type: t, Zone: q.Zone, Spot: q.Spot, Free: t.Size, Room: 1 << 20, Booting: true})
			}
		}
	}
	// What boots in a zone that is cut off can't be heard, and costs all the same.
	blocked := func(p sched.Pool) bool { return r.isPartitioned(p.Zone) || r.pool.IsShort(p) || inFlight[p] > 0 }
	for _, want := range s.Plan(c.types, blocked, r.mostNewMachines()) {
		if !c.cloud.Has(c.now, 1) {
			break
		}
		r.pool.Rent(want.Pool, want.Count)
	}
	needed := map[string]bool{}
	for _, m := range s.Machines {
		needed[m.ID] = m.Used
	}
	r.standing.endPlan(s)
	r.review(needed)
}
