package controller

import (
	"slices"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/scheduler"
	"claybarrow/internal/statestore"
)

// runScheduling is called at every tick.
func (l *leadership) runScheduling() {
	g := l.controller.env.cfg.Operator.Green
	l.accrueService()
	l.userRequests.dropAbandonedSubmissions()
	if l.controller.env.now >= l.fillAt {
		l.fillAt = l.controller.env.now + seconds(g.FillS)
		l.fillPending = true
	}
	if l.controller.env.now >= l.roundAt && l.fleetReported() {
		l.roundAt = l.controller.env.now + seconds(g.RoundS)
		l.runRound()
		l.consolidate()
		l.cache.verify()
	}
	if l.controller.env.now >= l.countersAt {
		l.countersAt = l.controller.env.now + seconds(g.CountersS)
		l.writeCounters()
	}
	if l.controller.env.now >= l.summaryAt {
		l.summaryAt = l.controller.env.now + l.controller.env.cfg.Lease()
		l.logFleetSummary()
	}
	if l.controller.env.now >= l.planAt {
		l.detectPartitions()
		l.watchBootTimes()
		l.planAt = l.controller.env.now + l.controller.env.cfg.LeaderTTL()*2/3
		l.fillPending = true // delays of failing jobs and set-aside machines end with time
		l.planScaling()
	}
}

// runFill starts what waits, as rank and room allow. Starts leave only once they
// are in the ledger of the state service.
func (l *leadership) runFill() {
	l.fillPending = false
	if !l.holdsLease() || len(l.controller.catalog.types) == 0 || !l.attemptNumbers.enough() {
		return
	}
	s := l.cache.snapshotForFill()
	if s == nil {
		return
	}
	if slices.ContainsFunc(s.Jobs, func(j *scheduler.Job) bool { return !j.Service }) {
		// Room is kept from batches; replicas go before it.
		s.Jobs = append(s.Jobs, l.forecastDemand()...)
		s.Jobs = append(s.Jobs, l.forecastReplacements()...)
	}
	tries := map[*clusterstate.Job]uint64{} // a gang's tasks have one number
	for _, p := range s.Fill() {
		j := l.state.Jobs[p.Job.ID]
		switch {
		case j.Gang != nil && tries[j] != 0:
		case j.Gang != nil && j.Gang.State == clusterstate.GangGathering:
			tries[j] = j.Gang.Number // it replaces a lost task while the others gather
		default:
			tries[j] = l.attemptNumbers.take()
		}
		l.startTask(j, p.Index, l.state.Machines[p.Machine.ID], tries[j])
	}
	for j := range tries {
		if j.Gang != nil {
			l.dropReservations(j.Spec.UID) // it has its whole room, wherever that is
		}
	}
}

func (l *leadership) startTask(j *clusterstate.Job, index int, m *clusterstate.Machine, try uint64) {
	if cl := l.reservations[m.ID]; cl.job == j.Spec.UID {
		if cl.tasks--; cl.tasks > 0 {
			l.reservations[m.ID] = cl
		} else {
			delete(l.reservations, m.ID)
		}
	}
	a := l.state.AddAttempt(m, j, index, try, l.controller.env.now)
	l.noteProbingStart(j)
	l.controller.env.log.Debug("start", "task", a.Key().Task, "try", a.Number, "machine", m.ID)
	priority := statestore.Start
	if j.Spec.Service {
		priority = statestore.Replica
	}
	l.storeMachine(m, priority, func() {
		if m.Attempts[a.Key()] != a {
			return
		}
		a.Durable = true
		if a.StopRequested {
			l.removeAttempt(a, neverSent)
			return
		}
		l.dispatchCommands(m)
		l.startGang(j)
	})
}

// reservation keeps a machine for the job that tasks were stopped for, until as many
// of its tasks have started there.
type reservation struct {
	job   string
	tasks int
	until time.Duration
}

// runRound is GREEN's: jobs gain slots, and tasks ranked past capacity stop.
func (l *leadership) runRound() {
	for _, j := range l.state.Jobs {
		if !j.Spec.Service && j.Gang == nil {
			j.Scale.Round(j.Done, j.Spec.Tasks, l.controller.env.cfg.Operator.Green.Gamma)
		}
	}
	if !l.holdsLease() {
		return
	}
	s := l.cache.snapshotForRound()
	defer l.cache.endRound()
	// Room that a fill keeps from what waits is no room here either: a gang was once
	// taken to fit into it, round after round, and waited for a boot.
	s.Jobs = append(s.Jobs, l.forecastDemand()...)
	s.Jobs = append(s.Jobs, l.forecastReplacements()...)
	s.Fill() // what finds room needs no stop
	preemption := s.Stops(max(l.controller.env.cfg.Cluster.State.TxnOps, len(s.Machines)/4), l.searchedJobs)
	patience := map[string]time.Duration{} // by job: until its victims must be gone
	for _, st := range preemption.Stops {
		patience[st.For.ID] = max(patience[st.For.ID], l.stopDuration(st.Victim.Job))
		l.preempt(st)
	}
	for _, kept := range preemption.Reservations {
		cl := l.reservations[kept.Machine.ID]
		cl.job = kept.Job.ID
		cl.until = l.controller.env.now + l.controller.env.cfg.Lease() + patience[kept.Job.ID]
		cl.tasks += kept.Tasks
		l.reservations[kept.Machine.ID] = cl
	}
}

// stopDuration is how long a task may take to end in good order.
func (l *leadership) stopDuration(victim *scheduler.Job) time.Duration {
	if victim.Gang {
		return seconds(victim.SaveS) + l.controller.env.cfg.GangPeer()
	}
	return seconds(victim.SaveS)
}

// preempt has a task stopped for a job that ranks before it.
func (l *leadership) preempt(st scheduler.Stop) {
	m := l.state.Machines[st.Machine.ID]
	for _, a := range m.Sorted() {
		if a.Job.Spec.UID == st.Victim.Job.ID && a.Index == st.Victim.Index {
			l.controller.env.log.Info("stopping", "task", a.Key().Task, "machine", m.ID, "for", st.For.ID)
			a.Preempted = true
			l.requestStop(a, a.Job.Spec.SaveS, "a round's stop")
		}
	}
}

// dropReservations gives up the room that is kept for a job.
func (l *leadership) dropReservations(uid string) {
	for id, cl := range l.reservations {
		if cl.job == uid {
			delete(l.reservations, id)
		}
	}
}

// One plan rents a few machines at a time, so that what comes up meanwhile is used first: 64, or
// a thirty-second of the fleet. A fleet of any size is rented within 32 plans.
const (
	minLaunches        = 64
	fleetShareOfLaunch = 32
)

func (l *leadership) maxLaunches() int {
	return max(minLaunches, l.controller.env.cfg.FleetSize()/fleetShareOfLaunch)
}

// planScaling rents what waiting and expected work needs, and returns what it doesn't.
func (l *leadership) planScaling() {
	if len(l.controller.catalog.types) == 0 || !l.pool.HasList() || !l.holdsLease() {
		return
	}
	s := l.cache.snapshotForPlan()
	s.Jobs = append(s.Jobs, l.forecastDemand()...)
	s.Jobs = append(s.Jobs, l.forecastReplacements()...)
	inFlight := map[scheduler.Pool]int{}
	for _, q := range l.pool.Launching() {
		inFlight[q.Pool] += q.Count
		if t := l.controller.catalog.machineType(q.Type); t != nil {
			for range q.Count {
				s.AddMachine(&scheduler.Machine{Type: t, Zone: q.Zone, Spot: q.Spot, Free: t.Size, Room: 1 << 20, Booting: true})
			}
		}
	}
	// What boots in a zone that is cut off can't be heard, and costs all the same.
	blocked := func(p scheduler.Pool) bool { return l.isPartitioned(p.Zone) || l.pool.IsShort(p) || inFlight[p] > 0 }
	for _, want := range s.Plan(l.controller.catalog.types, blocked, l.maxLaunches()) {
		if !l.controller.outbox.cloudRequests.Has(l.controller.env.now, 1) {
			break
		}
		l.pool.Launch(want.Pool, want.Count)
	}
	needed := map[string]bool{}
	for _, m := range s.Machines {
		needed[m.ID] = m.Used
	}
	l.cache.endPlan(s)
	l.scaleIn(needed)
}
