package controller

import (
	"math"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
)

// schedulerViews converts jobs and machines of the cluster state to the types of package scheduler. It owns no state.
type schedulerViews struct {
	catalog    *machineCatalog
	env        *environment
	forecast   *demandForecast
	partitions *partitionDetector
	placement  *taskScheduler
	state      *clusterstate.State
}

// capacityShare is the share of a capacity that one task of the job needs: the share of the accelerators if the task
// needs any.
func capacityShare(j *clusterstate.Job, capacity scheduler.Resources) float64 {
	return scheduler.Share(j.Request, capacity)
}

// readyCapacity is the total size of the machines that are up and not being released, or of one machine of each
// type if there are none.
func (v *schedulerViews) readyCapacity() scheduler.Resources {
	var total scheduler.Resources
	for _, m := range v.state.Machines {
		if m.EverReported && !m.Releasing {
			total = total.Plus(m.Size)
		}
	}
	if total.Cores == 0 {
		for _, t := range v.catalog.types {
			total = total.Plus(t.Size)
		}
	}
	return total
}

// newJobView returns a view of a job without its tasks.
func newJobView(j *clusterstate.Job) *scheduler.Job {
	view := &scheduler.Job{}
	describeJob(view, j)
	return view
}

// describeJob overwrites a view with the job's current state, without its tasks.
func describeJob(view *scheduler.Job, j *clusterstate.Job) {
	s := j.Spec
	*view = scheduler.Job{
		ID: s.UID, Class: s.Class, Team: s.Team, Priority: int(s.Priority), Submitted: j.Submitted,
		Service: s.Service, Tasks: s.Tasks, Assigned: j.ActiveAttempts,
		Request: j.Request, SaveS: s.SaveS, Image: s.Image, ImageGB: s.ImageGB,
		Spot: s.Spot, Types: j.Types, Zone: s.Zone, OneZone: s.OneZone, Spread: s.Spread,
		InUpperQueue: j.Scale.InUpperQueue && !s.Service && !j.Failures.AreRepeated(), Slots: j.Scale.Slots,
		Attained: j.Scale.Attained, Degradation: j.Scale.Degradation,
	}
	if j.Gang != nil {
		// Gangs are not scaled up: they skip the upper queue, and their degradation is always 1 and their slots are
		// always all of their tasks.
		view.Gang, view.InUpperQueue, view.Slots, view.Degradation = true, false, s.Tasks, 1
	}
}

// maxWaitingTasks limits the waiting tasks of a job in a snapshot, and thereby the work of a fill.
const maxWaitingTasks = 512

// waitingTasks lists the tasks of a job that may be started now. The first resume tasks of the list ran before and
// were interrupted.
func (v *schedulerViews) waitingTasks(j *clusterstate.Job) (waiting []int, resume int) {
	waiting, resume = j.WaitingTasks(maxWaitingTasks)
	return v.limitStartable(j, waiting, resume)
}

// limitStartable limits waiting tasks to those that may be started now: none while the job is being cancelled or
// completed or is in its retry back-off after failures, and one (except for gangs) while a probe of the job finds out
// whether it still fails. It also updates the job's WaitingSince.
func (v *schedulerViews) limitStartable(j *clusterstate.Job, waiting []int, resume int) ([]int, int) {
	if j.Cancelling || j.Finalizing || v.env.now < j.NotBefore {
		waiting, resume = nil, 0
	}
	if j.Failures.IsProbing() && j.Gang == nil && len(waiting) > 1 {
		waiting, resume = waiting[:1], min(resume, 1)
	}
	v.updateWaitingSince(j)
	return waiting, resume
}

// updateWaitingSince sets WaitingSince when a job has no task on a machine, and clears it when the job has such a task
// or ends.
func (v *schedulerViews) updateWaitingSince(j *clusterstate.Job) {
	if j.ActiveAttempts > 0 || j.Cancelling || j.Finalizing {
		j.WaitingSince = 0
	} else if j.WaitingSince == 0 {
		j.WaitingSince = v.env.now
	}
}

// longWaitBoots is the number of boot times after which the scheduler assumes that no machine will be launched for a
// waiting job.
const longWaitBoots = 2

// updateJobView overwrites a view with the job's current state, except for its tasks by zone. reservedTasks is the
// number of the job's tasks for which machines are reserved.
func (v *schedulerViews) updateJobView(view *scheduler.Job, j *clusterstate.Job, waiting []int, resume, reservedTasks int) {
	describeJob(view, j)
	view.Waiting, view.Interrupted = waiting, resume
	view.StartObjectiveS = v.waitObjective(j.Spec.Class)
	view.AvoidsAccelerators = view.CanAvoidAccelerators(v.catalog.types)
	view.UntilDeadlineS, view.DeadlineMissed = v.deadlineSlack(j)
	view.WaitedTwoBoots = float64(v.env.wall-j.Submitted)/1000 > longWaitBoots*v.catalog.longestBootS()
	view.AvoidMachines = j.Failures.AvoidedMachines(v.env.now, v.env.cfg.CancelTimeout())
	view.Starved = j.WaitingSince > 0 && v.env.now > j.WaitingSince+seconds(v.catalog.longestBootS())
	view.Reserved = min(reservedTasks, len(view.Waiting))
}

// bootingType is the type of a machine that is booting and has not exceeded the usual boot time; nil for any other
// machine and for machines in partitioned zones.
func (v *schedulerViews) bootingType(m *clusterstate.Machine) *scheduler.MachineType {
	if m.EverReported || m.Releasing || v.partitions.isPartitioned(m.Zone) {
		return nil
	}
	if t := v.catalog.machineType(m.Type); t != nil && v.env.now < m.LaunchedAt+seconds(t.BootS*usualBootFactor) {
		return t
	}
	return nil
}

// machineView returns a view of a machine without its images and tasks.
func (v *schedulerViews) machineView(m *clusterstate.Machine, t *scheduler.MachineType) scheduler.Machine {
	maxAttempts := v.env.cfg.MaxValueBytes() / clusterstate.MaxEntryBytes // the machine's record holds no more
	return scheduler.Machine{
		ID: m.ID, Type: t, Zone: m.Zone, Spot: m.Spot,
		Free: m.Size.Minus(m.Used), TaskCapacity: maxAttempts - len(m.Attempts), InUse: len(m.Attempts) > 0,
		ReservedFor: v.placement.reservations[m.ID].jobID, ImageSet: v.state.ImageSet(m),
	}
}

// setImages sets the images that a machine has cached and the images that it is fetching.
func setImages(view *scheduler.Machine, m *clusterstate.Machine) {
	view.Images = m.Images
	if !m.HasStartingAttempts() {
		return
	}
	for _, a := range m.SortedAttempts() {
		image := a.Job.Spec.Image
		if a.State != "" && a.State != protocol.TaskFetchingImage || m.Images[image] {
			continue
		}
		if view.Fetching == nil {
			view.Fetching = map[string]bool{}
		}
		view.Fetching[image] = true
	}
}

// appendRunningTasks appends the tasks of a machine that may be preempted: the tasks of the jobs in viewByJob whose
// stop has not been requested.
func (v *schedulerViews) appendRunningTasks(
	running []scheduler.RunningTask, m *clusterstate.Machine, viewByJob map[*clusterstate.Job]*scheduler.Job,
) []scheduler.RunningTask {
	for _, a := range m.SortedAttempts() {
		if view := viewByJob[a.Job]; view != nil && !a.StopRequested {
			running = append(running, scheduler.RunningTask{Job: view, Index: a.Index, RunningS: (v.env.now - a.AddedAt).Seconds()})
		}
	}
	return running
}

// serviceReserveRounds is the number of rounds for whose expected service arrivals each team's quota is reserved.
const serviceReserveRounds = 3

// reserveServiceQuota reserves a part of each team's maximum quota for the team's services: the expected arrivals of
// serviceReserveRounds rounds. If batch jobs used up the whole quota, each new replica would wait for a round to
// preempt a task and for that task to save a checkpoint, which is too long for wait objectives of one second.
func (v *schedulerViews) reserveServiceQuota(quotas map[string]*scheduler.Quota) {
	windowS, from := v.forecast.arrivalWindow()
	if windowS == 0 {
		return
	}
	reservedFraction := serviceReserveRounds * v.env.cfg.Operator.Green.RoundS / windowS // of the window's arrivals
	for _, history := range v.forecast.arrivals {
		for _, second := range history.entriesSince(from) {
			reserveQuotaForArrivals(quotas, second.services, reservedFraction)
		}
	}
}

// reserveQuotaForArrivals reserves a fraction of the arrived need in the quota of each team.
func reserveQuotaForArrivals(quotas map[string]*scheduler.Quota, needByTeam map[string]scheduler.Resources, fraction float64) {
	for team, need := range needByTeam {
		if quota := quotas[team]; quota != nil {
			quota.ServiceReserve = quota.ServiceReserve.Plus(need.Times(fraction))
		}
	}
}

// waitObjective is the shortest service-level objective for the waiting time of a class, in seconds; 0 if the class
// has none.
func (v *schedulerViews) waitObjective(class string) float64 {
	shortest := 0.0
	for _, objective := range v.env.cfg.Cluster.Objectives {
		if objective.Kind == "wait" && objective.Class == class && (shortest == 0 || objective.WithinS < shortest) {
			shortest = objective.WithinS
		}
	}
	return shortest
}

// deadlineSlack is the slack of a batch job with a deadline in seconds: the time between its expected end and the next
// deadline multiple that its class's objectives count. The expected end assumes that the tasks start now and run for
// half of the owner's estimate, as estimates are often wrong by half. The slack is infinite for jobs without a
// deadline. missed is set if the job can't meet any of the deadline multiples.
func (v *schedulerViews) deadlineSlack(j *clusterstate.Job) (slack float64, missed bool) {
	slack = math.Inf(1)
	if j.Spec.Service || j.Spec.DeadlineS <= 0 {
		return slack, false
	}
	end := float64(v.env.wall-j.Submitted)/1000 + j.Spec.EstimateS/2
	missed = true
	for _, multiple := range v.deadlineMultiples(j.Spec.Class) {
		if due := j.Spec.DeadlineS * multiple; end <= due {
			slack, missed = min(slack, due-end), false
		}
	}
	return slack, missed
}

// deadlineMultiples are the multiples of a deadline that the objectives of a class count: 1 and the multiples in the
// settings.
func (v *schedulerViews) deadlineMultiples(class string) []float64 {
	multiples := []float64{1}
	for _, objective := range v.env.cfg.Cluster.Objectives {
		if objective.Kind == "deadline" && objective.Class == class && objective.Times > 0 {
			multiples = append(multiples, objective.Times)
		}
	}
	return multiples
}
