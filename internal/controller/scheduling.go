package controller

import (
	"slices"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/scheduler"
	"claybarrow/internal/statestore"
)

// taskScheduler starts and preempts tasks. It runs the scheduler's fills, which place waiting tasks on machines with
// free capacity, and the scheduler's rounds, which preempt tasks for jobs that find no free capacity. It also calls
// the other periodic duties of the leader.
//
// It owns the times at which the periodic duties are next due, the reservations, and the list of jobs that the bounded
// search for preemptions has already examined. This state is not stored: after a failover the first round of the new
// leader preempts tasks and reserves machines again.
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
	authority      *authority
	machines       *machineRegistry
	partitions     *partitionDetector
	scaler         *autoscaler
	state          *clusterstate.State
	summary        *fleetSummary
	userRequests   *userRequests

	// fillPending is set when a change may allow a fill to place tasks. The fill runs after the current event has been
	// handled, as soon as no transaction is in flight.
	fillPending bool
	// The times at which the periodic duties are next due.
	fillAt     time.Duration
	roundAt    time.Duration
	countersAt time.Duration
	summaryAt  time.Duration
	planAt     time.Duration

	// reservations holds the reservations of machines for jobs, by machine id.
	reservations map[string]reservation
	// searchedJobs holds the ids of the jobs for which earlier rounds, each of which examines a limited number of
	// machines, found no preemption; see scheduler.Snapshot.Preempt.
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

// runScheduling runs the periodic duties that are due. It is called at every tick.
func (t *taskScheduler) runScheduling() {
	cfg, green := t.env.cfg, t.env.cfg.Operator.Green
	t.accounting.accrueService()
	t.userRequests.dropAbandonedSubmissions()
	if t.isDue(&t.fillAt, seconds(green.FillS)) {
		t.fillPending = true
	}
	// A round that is due earlier is delayed until the cloud has listed the machines and every machine with tasks has
	// acknowledged this leader's token.
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
		t.fillPending = true // no event marks the end of a failed job's retry delay or of a machine's quarantine
		t.scaler.planScaling()
	}
}

// isDue reports whether a periodic duty is due, and if so sets dueAt to the next due time.
func (t *taskScheduler) isDue(dueAt *time.Duration, interval time.Duration) bool {
	if t.env.now < *dueAt {
		return false
	}
	*dueAt = t.env.now + interval
	return true
}

// runFill starts waiting tasks in rank order on machines with free capacity. A run command is sent to a worker only
// after the state service has stored the attempt durably.
func (t *taskScheduler) runFill() {
	t.fillPending = false
	if !t.authority.mayDecide() || len(t.catalog.types) == 0 || !t.attemptNumbers.hasEnough() {
		return
	}
	snapshot := t.cache.snapshotForFill()
	if snapshot == nil {
		return
	}
	if slices.ContainsFunc(snapshot.Jobs, func(j *scheduler.Job) bool { return !j.Service }) {
		// Headroom keeps capacity free from batch jobs only: replicas of services rank before headroom jobs.
		snapshot.Jobs = t.forecast.appendHeadroom(snapshot.Jobs)
	}
	t.startPlacements(snapshot.Fill())
}

// startPlacements starts the tasks that a fill has placed, and drops the reservations of the gangs that it has placed.
func (t *taskScheduler) startPlacements(placements []scheduler.Placement) {
	numberByJob := map[*clusterstate.Job]uint64{} // the latest attempt number by job; all tasks of a gang share one number
	for _, p := range placements {
		j := t.state.Jobs[p.Job.ID]
		switch {
		case j.Gang != nil && numberByJob[j] != 0:
		case j.Gang != nil && j.Gang.State == clusterstate.GangGathering:
			numberByJob[j] = j.Gang.Number // this task replaces a lost task while its peers wait at the gang barrier
		default:
			numberByJob[j] = t.attemptNumbers.allocate()
		}
		t.startTask(j, p.Index, t.state.Machines[p.Machine.ID], numberByJob[j])
	}
	for j := range numberByJob {
		if j.Gang != nil {
			t.dropReservations(j.Spec.UID) // the whole gang is placed, on the reserved machines or on others
		}
	}
}

// startTask adds an attempt to the cluster state and stores the machine's record. The run command is sent to the
// worker once the record is durable. An attempt whose stop was requested before that is removed without a run command.
func (t *taskScheduler) startTask(j *clusterstate.Job, index int, m *clusterstate.Machine, number uint64) {
	t.consumeReservation(m.ID, j.Spec.UID)
	a := t.state.AddAttempt(m, j, index, number, t.env.now)
	t.failures.recordProbingStart(j)
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

// preemptionFleetDivisor limits the preemptions of a round by the fleet's size: one preemption per four machines.
const preemptionFleetDivisor = 4

// runRound runs a round of the GREEN scheduling policy: it adjusts the slots of batch jobs by their progress, and
// preempts running tasks for waiting tasks that rank before them and find no free capacity.
func (t *taskScheduler) runRound() {
	for _, j := range t.state.Jobs {
		if !j.Spec.Service && j.Gang == nil {
			j.Scale.EndRound(j.CompletedTasks, j.Spec.Tasks, t.env.cfg.Operator.Green.Gamma)
		}
	}
	if !t.authority.mayDecide() {
		return
	}
	snapshot := t.cache.snapshotForRound()
	defer t.cache.endRound()
	// Capacity that a fill keeps free as headroom must not count as free here either. Otherwise each round considers
	// a gang to fit into the headroom and preempts nothing for it, and the gang waits until a machine has booted.
	snapshot.Jobs = t.forecast.appendHeadroom(snapshot.Jobs)
	snapshot.Fill() // a task that fits into free capacity needs no preemption
	maxPreemptions := max(t.env.cfg.Cluster.State.TxnOps, len(snapshot.Machines)/preemptionFleetDivisor)
	preemption := snapshot.Preempt(maxPreemptions, t.searchedJobs)
	stopTimes := map[string]time.Duration{} // by job id: the longest stop duration of the tasks preempted for the job
	for _, stop := range preemption.Stops {
		stopTimes[stop.For.ID] = max(stopTimes[stop.For.ID], t.stopDuration(stop.Victim.Job))
		t.preempt(stop)
	}
	t.reserve(preemption.Reservations, stopTimes)
}

// stopDuration is how long a task may take to stop gracefully: the time to save a checkpoint and, in a gang, the time
// to wait for its peers.
func (t *taskScheduler) stopDuration(victim *scheduler.Job) time.Duration {
	if victim.Gang {
		return seconds(victim.SaveS) + t.env.cfg.GangPeerTimeout()
	}
	return seconds(victim.SaveS)
}

// preempt requests the stop of a task in favour of a job that ranks before the task's own job.
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
