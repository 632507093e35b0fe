package controller

import (
	"slices"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/scheduler"
	"claybarrow/internal/statestore"
)

// taskScheduler starts and preempts tasks: it runs the fills and rounds of the scheduler.
type taskScheduler struct {
	accounting     *serviceAccounting
	attemptNumbers *attemptNumbers
	attempts       *attemptTracker
	cache          *schedulerCache
	catalog        *machineCatalog
	consolidator   *consolidator
	dispatcher     *commandDispatcher
	env            *environment
	failures       *failureTracker
	forecast       *demandForecast
	health         *machineHealth
	lease          *leaderLease
	machines       *machineRegistry
	partitions     *partitionDetector
	scaler         *autoscaler
	state          *clusterstate.State
	summary        *fleetSummary
	userRequests   *userRequests

	fillPending  bool
	fillAt       time.Duration
	planAt       time.Duration
	summaryAt    time.Duration
	roundAt      time.Duration
	countersAt   time.Duration
	reservations map[string]reservation // by machine
	// searchedJobs are the jobs that bounded rounds could stop nothing for, see sched.Snapshot.Stops.
	searchedJobs map[string]bool
}

func newTaskScheduler(env *environment) *taskScheduler {
	green := env.cfg.Operator.Green
	return &taskScheduler{
		reservations: map[string]reservation{},
		searchedJobs: map[string]bool{},
		roundAt:      env.now + seconds(green.RoundS),
		fillAt:       env.now + seconds(green.FillS),
		countersAt:   env.now + seconds(green.CountersS),
	}
}

// runScheduling is called at every tick.
func (t *taskScheduler) runScheduling() {
	g := t.env.cfg.Operator.Green
	t.accounting.accrueService()
	t.userRequests.dropAbandonedSubmissions()
	if t.env.now >= t.fillAt {
		t.fillAt = t.env.now + seconds(g.FillS)
		t.fillPending = true
	}
	if t.env.now >= t.roundAt && t.health.fleetReported() {
		t.roundAt = t.env.now + seconds(g.RoundS)
		t.runRound()
		t.consolidator.consolidate()
		t.cache.verify()
	}
	if t.env.now >= t.countersAt {
		t.countersAt = t.env.now + seconds(g.CountersS)
		t.accounting.writeCounters()
	}
	if t.env.now >= t.summaryAt {
		t.summaryAt = t.env.now + t.env.cfg.Lease()
		t.summary.logFleetSummary()
	}
	if t.env.now >= t.planAt {
		t.partitions.detectPartitions()
		t.scaler.watchBootTimes()
		t.planAt = t.env.now + t.env.cfg.LeaderTTL()*2/3
		t.fillPending = true // delays of failing jobs and set-aside machines end with time
		t.scaler.planScaling()
	}
}

// runFill starts what waits, as rank and room allow. Starts leave only once they
// are in the ledger of the state service.
func (t *taskScheduler) runFill() {
	t.fillPending = false
	if !t.lease.holdsLease() || len(t.catalog.types) == 0 || !t.attemptNumbers.enough() {
		return
	}
	s := t.cache.snapshotForFill()
	if s == nil {
		return
	}
	if slices.ContainsFunc(s.Jobs, func(j *scheduler.Job) bool { return !j.Service }) {
		// Room is kept from batches; replicas go before it.
		s.Jobs = append(s.Jobs, t.forecast.forecastDemand()...)
		s.Jobs = append(s.Jobs, t.forecast.forecastReplacements()...)
	}
	tries := map[*clusterstate.Job]uint64{} // a gang's tasks have one number
	for _, p := range s.Fill() {
		j := t.state.Jobs[p.Job.ID]
		switch {
		case j.Gang != nil && tries[j] != 0:
		case j.Gang != nil && j.Gang.State == clusterstate.GangGathering:
			tries[j] = j.Gang.Number // it replaces a lost task while the others gather
		default:
			tries[j] = t.attemptNumbers.take()
		}
		t.startTask(j, p.Index, t.state.Machines[p.Machine.ID], tries[j])
	}
	for j := range tries {
		if j.Gang != nil {
			t.dropReservations(j.Spec.UID) // it has its whole room, wherever that is
		}
	}
}

func (t *taskScheduler) startTask(j *clusterstate.Job, index int, m *clusterstate.Machine, try uint64) {
	if cl := t.reservations[m.ID]; cl.job == j.Spec.UID {
		if cl.tasks--; cl.tasks > 0 {
			t.reservations[m.ID] = cl
		} else {
			delete(t.reservations, m.ID)
		}
	}
	a := t.state.AddAttempt(m, j, index, try, t.env.now)
	t.failures.noteProbingStart(j)
	t.env.log.Debug("task placed", "task", a.Key().Task, "attempt", a.Number, "machine", m.ID)
	priority := statestore.Start
	if j.Spec.Service {
		priority = statestore.Replica
	}
	t.machines.storeMachine(m, priority, func() {
		if m.Attempts[a.Key()] != a {
			return
		}
		a.Durable = true
		if a.StopRequested {
			t.attempts.removeAttempt(a, neverSent)
			return
		}
		t.dispatcher.dispatchCommands(m)
		t.attempts.startGang(j)
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
func (t *taskScheduler) runRound() {
	for _, j := range t.state.Jobs {
		if !j.Spec.Service && j.Gang == nil {
			j.Scale.Round(j.Done, j.Spec.Tasks, t.env.cfg.Operator.Green.Gamma)
		}
	}
	if !t.lease.holdsLease() {
		return
	}
	s := t.cache.snapshotForRound()
	defer t.cache.endRound()
	// Room that a fill keeps from what waits is no room here either: a gang was once
	// taken to fit into it, round after round, and waited for a boot.
	s.Jobs = append(s.Jobs, t.forecast.forecastDemand()...)
	s.Jobs = append(s.Jobs, t.forecast.forecastReplacements()...)
	s.Fill() // what finds room needs no stop
	preemption := s.Stops(max(t.env.cfg.Cluster.State.TxnOps, len(s.Machines)/4), t.searchedJobs)
	patience := map[string]time.Duration{} // by job: until its victims must be gone
	for _, st := range preemption.Stops {
		patience[st.For.ID] = max(patience[st.For.ID], t.stopDuration(st.Victim.Job))
		t.preempt(st)
	}
	for _, kept := range preemption.Reservations {
		cl := t.reservations[kept.Machine.ID]
		cl.job = kept.Job.ID
		cl.until = t.env.now + t.env.cfg.Lease() + patience[kept.Job.ID]
		cl.tasks += kept.Tasks
		t.reservations[kept.Machine.ID] = cl
	}
}

// stopDuration is how long a task may take to end in good order.
func (t *taskScheduler) stopDuration(victim *scheduler.Job) time.Duration {
	if victim.Gang {
		return seconds(victim.SaveS) + t.env.cfg.GangPeer()
	}
	return seconds(victim.SaveS)
}

// preempt has a task stopped for a job that ranks before it.
func (t *taskScheduler) preempt(st scheduler.Stop) {
	m := t.state.Machines[st.Machine.ID]
	for _, a := range m.Sorted() {
		if a.Job.Spec.UID == st.Victim.Job.ID && a.Index == st.Victim.Index {
			t.env.log.Info("preempting task", "task", a.Key().Task, "machine", m.ID, "preemptor", st.For.ID)
			a.Preempted = true
			t.attempts.requestStop(a, a.Job.Spec.SaveS, stopPreempted)
		}
	}
}

// dropReservations gives up the room that is kept for a job.
func (t *taskScheduler) dropReservations(uid string) {
	for id, cl := range t.reservations {
		if cl.job == uid {
			delete(t.reservations, id)
		}
	}
}
