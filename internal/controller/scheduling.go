package controller

import (
	"slices"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/scheduler"
	"claybarrow/internal/statestore"
)

// taskScheduler starts and preempts tasks. It runs the scheduler's fills, which place waiting tasks in free room,
// and its rounds, which preempt tasks where there is none, and calls what else is due at regular intervals.
// It owns the times at which these are next due, the reservations, and the memory of the bounded search for
// preemptions. All of it is lost at a failover: the next leader's first round preempts and reserves anew.
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

	// fillPending: something has changed that a fill may place tasks by. The fill itself runs after the event that
	// is being handled, as soon as no transaction is under way.
	fillPending bool
	// Times at which each periodic duty is next due.
	fillAt     time.Duration
	roundAt    time.Duration
	countersAt time.Duration
	summaryAt  time.Duration
	planAt     time.Duration

	// reservations are the machines that are kept for a job, by machine id.
	reservations map[string]reservation
	// searchedJobs are the jobs, by id, that rounds of bounded work have found no preemption for;
	// see scheduler.Snapshot.Preempt.
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

// runScheduling runs what is due of the scheduling. It is called at every tick.
func (t *taskScheduler) runScheduling() {
	cfg, green := t.env.cfg, t.env.cfg.Operator.Green
	t.accounting.accrueService()
	t.userRequests.dropAbandonedSubmissions()
	if t.isDue(&t.fillAt, seconds(green.FillS)) {
		t.fillPending = true
	}
	// A round that is due before the fleet has reported stays due.
	if t.env.now >= t.roundAt && t.health.fleetReported() {
		t.roundAt = t.env.now + seconds(green.RoundS)
		t.runRound()
		t.consolidator.consolidate()
		t.cache.verify()
	}
	if t.isDue(&t.countersAt, seconds(green.CountersS)) {
		t.accounting.writeCounters()
	}
	if t.isDue(&t.summaryAt, cfg.WorkerLease()) {
		t.summary.logFleetSummary()
	}
	if t.isDue(&t.planAt, cfg.LeaderLease()*2/3) {
		t.partitions.detectPartitions()
		t.scaler.watchBootTimes()
		t.fillPending = true // the retry delays of failed jobs and the quarantine of machines end with time alone
		t.scaler.planScaling()
	}
}

// isDue says whether the time of a periodic duty has come, and if so sets when it is due next.
func (t *taskScheduler) isDue(at *time.Duration, interval time.Duration) bool {
	if t.env.now < *at {
		return false
	}
	*at = t.env.now + interval
	return true
}

// runFill starts waiting tasks as rank and free room allow. A start is sent to its worker only once it is durable
// in the state service.
func (t *taskScheduler) runFill() {
	t.fillPending = false
	if !t.lease.holdsLease() || len(t.catalog.types) == 0 || !t.attemptNumbers.enough() {
		return
	}
	snapshot := t.cache.snapshotForFill()
	if snapshot == nil {
		return
	}
	if slices.ContainsFunc(snapshot.Jobs, func(j *scheduler.Job) bool { return !j.Service }) {
		// Headroom is kept from batch jobs only: replicas rank before it.
		snapshot.Jobs = t.forecast.appendHeadroom(snapshot.Jobs)
	}
	t.startPlacements(snapshot.Fill())
}

// startPlacements starts the tasks that a fill has placed, and ends the reservations of the gangs among them.
func (t *taskScheduler) startPlacements(placements []scheduler.Placement) {
	numbers := map[*clusterstate.Job]uint64{} // of each job's latest attempt: all tasks of a gang share one
	for _, p := range placements {
		j := t.state.Jobs[p.Job.ID]
		switch {
		case j.Gang != nil && numbers[j] != 0:
		case j.Gang != nil && j.Gang.State == clusterstate.GangGathering:
			numbers[j] = j.Gang.Number // this task replaces a lost one while the others wait at the gang barrier
		default:
			numbers[j] = t.attemptNumbers.take()
		}
		t.startTask(j, p.Index, t.state.Machines[p.Machine.ID], numbers[j])
	}
	for j := range numbers {
		if j.Gang != nil {
			t.dropReservations(j.Spec.UID) // the whole gang is placed, on the reserved machines or elsewhere
		}
	}
}

// startTask adds an attempt to the cluster state and has it stored. The worker gets its start once the machine's
// record is durable; an attempt that was requested to stop before then is removed without having been sent.
func (t *taskScheduler) startTask(j *clusterstate.Job, index int, m *clusterstate.Machine, number uint64) {
	t.useReservation(m.ID, j.Spec.UID)
	a := t.state.AddAttempt(m, j, index, number, t.env.now)
	t.failures.noteProbingStart(j)
	t.env.log.Debug("task placed", "task", a.Key().Task, "attempt", a.Number, "machine", m.ID)
	priority := statestore.PriorityBatch
	if j.Spec.Service {
		priority = statestore.PriorityReplica
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

// preemptionFleetDivisor bounds the preemptions of a round by the fleet's size: one for each four machines.
const preemptionFleetDivisor = 4

// runRound is a round of GREEN: jobs gain slots for their progress, and tasks that rank past the capacity are
// preempted for tasks that rank before them.
func (t *taskScheduler) runRound() {
	for _, j := range t.state.Jobs {
		if !j.Spec.Service && j.Gang == nil {
			j.Scale.EndRound(j.CompletedTasks, j.Spec.Tasks, t.env.cfg.Operator.Green.Gamma)
		}
	}
	if !t.lease.holdsLease() {
		return
	}
	snapshot := t.cache.snapshotForRound()
	defer t.cache.endRound()
	// Headroom that a fill keeps from waiting tasks must not count as room here either: rounds once
	// took a gang to fit into it, one after the other, and the gang waited for a machine to boot.
	snapshot.Jobs = t.forecast.appendHeadroom(snapshot.Jobs)
	snapshot.Fill() // a task that finds room needs no preemption
	most := max(t.env.cfg.Cluster.State.TxnOps, len(snapshot.Machines)/preemptionFleetDivisor)
	preemption := snapshot.Preempt(most, t.searchedJobs)
	stopTimes := map[string]time.Duration{} // by job: how long the slowest of the tasks preempted for it may take
	for _, stop := range preemption.Stops {
		stopTimes[stop.For.ID] = max(stopTimes[stop.For.ID], t.stopDuration(stop.Victim.Job))
		t.preempt(stop)
	}
	t.reserve(preemption.Reservations, stopTimes)
}

// stopDuration is how long a task may take to stop gracefully: to save a checkpoint, and in a gang to
// wait for its peers.
func (t *taskScheduler) stopDuration(victim *scheduler.Job) time.Duration {
	if victim.Gang {
		return seconds(victim.SaveS) + t.env.cfg.GangPeerTimeout()
	}
	return seconds(victim.SaveS)
}

// preempt requests a task to stop for a job that ranks before its own.
func (t *taskScheduler) preempt(stop scheduler.Stop) {
	m := t.state.Machines[stop.Machine.ID]
	for _, a := range m.SortedAttempts() {
		if a.Job.Spec.UID == stop.Victim.Job.ID && a.Index == stop.Victim.Index {
			t.env.log.Info("preempting task", "task", a.Key().Task, "machine", m.ID, "preemptor", stop.For.ID)
			a.Preempted = true
			t.attempts.requestStop(a, a.Job.Spec.SaveS, stopPreempted)
		}
	}
}
