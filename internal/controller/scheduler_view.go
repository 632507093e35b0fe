package controller

import (
	"math"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
)

// schedulerViews describes jobs and machines of the cluster state in the scheduler's terms. It owns no state.
type schedulerViews struct {
	catalog    *machineCatalog
	env        *environment
	forecast   *demandForecast
	partitions *partitionDetector
	placement  *taskScheduler
	state      *clusterstate.State
}

// capacityShare is the share of a capacity that one task of the job needs: of the accelerators where it needs any.
func capacityShare(j *clusterstate.Job, capacity scheduler.Resources) float64 {
	return scheduler.Share(j.Need, capacity)
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

// newJobView makes a view of a job, without its tasks.
func newJobView(j *clusterstate.Job) *scheduler.Job {
	view := &scheduler.Job{}
	describeJob(view, j)
	return view
}

// describeJob overwrites a view with the job as it is now, without its tasks.
func describeJob(view *scheduler.Job, j *clusterstate.Job) {
	s := j.Spec
	*view = scheduler.Job{
		ID: s.UID, Class: s.Class, Team: s.Team, Priority: int(s.Priority), Submitted: j.Submitted,
		Service: s.Service, Tasks: s.Tasks, Assigned: j.ActiveAttempts,
		Request: j.Need, SaveS: s.SaveS, Image: s.Image, ImageGB: s.ImageGB,
		Spot: s.Spot, Types: j.Types, Zone: s.Zone, OneZone: s.OneZone, Spread: s.Spread,
		InUpperQueue: j.Scale.InUpperQueue && !s.Service, Slots: j.Scale.Slots,
		Attained: j.Scale.Attained, Degradation: j.Scale.Degradation,
	}
	if j.Gang != nil {
		// Gangs skip the upper queue, with degradation 1, and their number of slots does not change.
		view.Gang, view.InUpperQueue, view.Slots, view.Degradation = true, false, s.Tasks, 1
	}
}

// maxWaitingTasks bounds how many waiting tasks of a job a snapshot holds, and with it the work of a fill.
const maxWaitingTasks = 512

// waitingTasks lists the tasks of a job that may be started now. The first resume of them ran before and were
// interrupted.
func (v *schedulerViews) waitingTasks(j *clusterstate.Job) (waiting []int, resume int) {
	waiting, resume = j.WaitingTasks(maxWaitingTasks)
	return v.limitStartable(j, waiting, resume)
}

// limitStartable limits waiting tasks to those that may be started now: none for a while after failures, and one at
// a time while the job is probed for whether it still fails. It notes since when the job has had no task anywhere.
func (v *schedulerViews) limitStartable(j *clusterstate.Job, waiting []int, resume int) ([]int, int) {
	if j.Cancelling || j.Finalizing || v.env.now < j.NotBefore {
		waiting, resume = nil, 0
	}
	if j.Failures.IsProbing() && j.Gang == nil && len(waiting) > 1 {
		waiting, resume = waiting[:1], min(resume, 1)
	}
	v.noteWaitingSince(j)
	return waiting, resume
}

// noteWaitingSince notes when a job came to be without any task on a machine, and forgets it once it has one or ends.
func (v *schedulerViews) noteWaitingSince(j *clusterstate.Job) {
	if j.ActiveAttempts > 0 || j.Cancelling || j.Finalizing {
		j.WaitingSince = 0
	} else if j.WaitingSince == 0 {
		j.WaitingSince = v.env.now
	}
}

// patienceBoots is after how many boot times a waiting job is taken for one that no machine will be launched for.
const patienceBoots = 2

// updateJobView overwrites a view with the job as it is now, apart from its tasks by zone. reservedTasks is how many
// of its tasks machines are reserved for.
func (v *schedulerViews) updateJobView(view *scheduler.Job, j *clusterstate.Job, waiting []int, resume, reservedTasks int) {
	describeJob(view, j)
	view.Waiting, view.Interrupted = waiting, resume
	view.StartObjectiveS = v.waitObjective(j.Spec.Class)
	view.AvoidsAccelerators = view.CanAvoidAccelerators(v.catalog.types)
	view.UntilDeadlineS, view.DeadlineMissed = v.deadlineSlack(j)
	view.WaitedTwoBoots = float64(v.env.wall-j.Submitted)/1000 > patienceBoots*v.catalog.longestBootS()
	view.AvoidMachines = j.Failures.AvoidedMachines(v.env.now, v.env.cfg.CancelTimeout())
	view.Starved = j.WaitingSince > 0 && v.env.now > j.WaitingSince+seconds(v.catalog.longestBootS())
	view.Reserved = min(reservedTasks, len(view.Waiting))
}

// bootingType is the type of a machine that is booting and will most probably be up soon, or nil.
func (v *schedulerViews) bootingType(m *clusterstate.Machine) *scheduler.Type {
	if m.EverReported || m.Releasing || v.partitions.isPartitioned(m.Zone) {
		return nil
	}
	if t := v.catalog.machineType(m.Type); t != nil && v.env.now < m.LaunchedAt+seconds(t.BootS*usualBootFactor) {
		return t
	}
	return nil
}

// machineView is a view of a machine, without its images and tasks.
func (v *schedulerViews) machineView(m *clusterstate.Machine, t *scheduler.Type) scheduler.Machine {
	maxAttempts := v.env.cfg.MaxValueBytes() / clusterstate.MaxEntryBytes // that fit into the machine's record
	return scheduler.Machine{
		ID: m.ID, Type: t, Zone: m.Zone, Spot: m.Spot,
		Free: m.Size.Minus(m.Used), TaskCapacity: maxAttempts - len(m.Attempts), Used: len(m.Attempts) > 0,
		ReservedFor: v.placement.reservations[m.ID].job, ImageSet: v.state.ImageSet(m),
	}
}

// setImages sets the images that a machine has cached, and those that it is fetching.
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

// appendRunningTasks appends a machine's tasks that may be preempted: those of the jobs in viewOf that are not
// requested to stop yet.
func (v *schedulerViews) appendRunningTasks(
	list []scheduler.RunningTask, m *clusterstate.Machine, viewOf map[*clusterstate.Job]*scheduler.Job,
) []scheduler.RunningTask {
	for _, a := range m.SortedAttempts() {
		if view := viewOf[a.Job]; view != nil && !a.StopRequested {
			list = append(list, scheduler.RunningTask{Job: view, Index: a.Index, RunningS: (v.env.now - a.AddedAt).Seconds()})
		}
	}
	return list
}

// serviceReserveRounds is for how many rounds the arrivals of services are reserved within their teams' quotas.
const serviceReserveRounds = 3

// reserveServiceQuota reserves a part of each team's maximum quota for its services: as much as arrives in
// serviceReserveRounds rounds. Where batch jobs use a quota up, each new replica has to wait for a round's
// preemption and for a checkpoint to be saved, and some wait objectives are a second.
func (v *schedulerViews) reserveServiceQuota(quotas map[string]*scheduler.Quota) {
	windowS, from := v.forecast.arrivalWindow()
	if windowS == 0 {
		return
	}
	reserved := serviceReserveRounds * v.env.cfg.Operator.Green.RoundS / windowS // as a part of the window's arrivals
	for _, history := range v.forecast.arrivals {
		for _, second := range history.recent(from) {
			reserveArrivals(quotas, second.services, reserved)
		}
	}
}

// reserveArrivals reserves a part of what arrived, by team.
func reserveArrivals(quotas map[string]*scheduler.Quota, arrived map[string]scheduler.Resources, part float64) {
	for team, need := range arrived {
		if quota := quotas[team]; quota != nil {
			quota.ServiceReserve = quota.ServiceReserve.Plus(need.Times(part))
		}
	}
}

// waitObjective is the shortest of the service-level objectives for the waiting time of a class, in seconds; 0 if it
// has none.
func (v *schedulerViews) waitObjective(class string) float64 {
	shortest := 0.0
	for _, o := range v.env.cfg.Cluster.Objectives {
		if o.Kind == "wait" && o.Class == class && (shortest == 0 || o.WithinS < shortest) {
			shortest = o.WithinS
		}
	}
	return shortest
}

// deadlineSlack is the time in seconds that a batch job with a deadline has left until the next time that an
// objective counts, if its tasks start now and run for half of their owner's estimate, as estimates are often wrong
// by half. It is infinite for jobs without a deadline. late: none of those times can be met any more.
func (v *schedulerViews) deadlineSlack(j *clusterstate.Job) (left float64, late bool) {
	left = math.Inf(1)
	if j.Spec.Service || j.Spec.DeadlineS <= 0 {
		return left, false
	}
	end := float64(v.env.wall-j.Submitted)/1000 + j.Spec.EstimateS/2
	late = true
	for _, multiple := range v.deadlineMultiples(j.Spec.Class) {
		if due := j.Spec.DeadlineS * multiple; end <= due {
			left, late = min(left, due-end), false
		}
	}
	return left, late
}

// deadlineMultiples are the multiples of a class's deadlines that its objectives count: one, and those of the
// settings.
func (v *schedulerViews) deadlineMultiples(class string) []float64 {
	multiples := []float64{1}
	for _, o := range v.env.cfg.Cluster.Objectives {
		if o.Kind == "deadline" && o.Class == class && o.Times > 0 {
			multiples = append(multiples, o.Times)
		}
	}
	return multiples
}
