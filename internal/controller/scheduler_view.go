package controller

import (
	"math"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
)

// schedulerViews describes jobs and machines to the scheduler.
type schedulerViews struct {
	catalog    *machineCatalog
	env        *environment
	forecast   *demandForecast
	partitions *partitionDetector
	placement  *taskScheduler
	state      *clusterstate.State
}

func capacityShare(j *clusterstate.Job, capacity scheduler.Need) float64 {
	return scheduler.Share(j.Need, capacity)
}

// readyCapacity is what the ready machines hold, or one of each if there are none.
func (v *schedulerViews) readyCapacity() scheduler.Need {
	var n scheduler.Need
	for _, m := range v.state.Machines {
		if m.Up && !m.Releasing {
			n = n.Plus(m.Size)
		}
	}
	if n.Cores == 0 {
		for _, t := range v.catalog.types {
			n = n.Plus(t.Size)
		}
	}
	return n
}

// newJobView is a job as the scheduler sees it, without its tasks.
func newJobView(j *clusterstate.Job) *scheduler.Job {
	sj := &scheduler.Job{}
	describeJob(sj, j)
	return sj
}

// describeJob has a view be of a job as it is now, without its tasks.
func describeJob(sj *scheduler.Job, j *clusterstate.Job) {
	s := j.Spec
	*sj = scheduler.Job{ID: s.UID, Class: s.Class, Team: s.Team, Image: s.Image, ImageGB: s.ImageGB, Service: s.Service,
		Priority: int(s.Priority), Submitted: j.Submitted, Need: j.Need, SaveS: s.SaveS, Spot: s.Spot, Types: j.Types,
		Zone: s.Zone, OneZone: s.OneZone, Spread: s.Spread, Tasks: s.Tasks,
		Held: j.ActiveAttempts, Upper: j.Scale.Upper && !s.Service, Slots: j.Scale.Slots,
		Attained: j.Scale.Attained, Degradation: j.Scale.Degr}
	if j.Gang != nil {
		// Gangs skip the upper queue, with degradation 1, and have no slots.
		sj.Gang, sj.Upper, sj.Slots, sj.Degradation = true, false, s.Tasks, 1
	}
}

// maxWaitingTasks bounds how many waiting tasks of a job are looked at in one go.
const maxWaitingTasks = 512

// waitingTasks lists what waits of a job now; the first of them, as many as it says, were
// interrupted.
func (v *schedulerViews) waitingTasks(j *clusterstate.Job) (waiting []int, resume int) {
	waiting, resume = j.WaitingTasks(maxWaitingTasks)
	return v.limitStartable(j, waiting, resume)
}

// limitStartable is what may be started now of the tasks that wait: nothing for a while after
// failures, and one at a time while it is tried whether the job still fails.
func (v *schedulerViews) limitStartable(j *clusterstate.Job, waiting []int, resume int) ([]int, int) {
	if j.Cancelling || j.Finishing || v.env.now < j.NotBefore {
		waiting, resume = nil, 0
	}
	if j.Failures.Probing() && j.Gang == nil && len(waiting) > 1 {
		waiting, resume = waiting[:1], min(resume, 1)
	}
	if j.ActiveAttempts > 0 || j.Cancelling || j.Finishing {
		j.WaitingSince = 0
	} else if j.WaitingSince == 0 {
		j.WaitingSince = v.env.now
	}
	return waiting, resume
}

// activeReservations counts the tasks that machines are kept for, by job, and drops what is over.
func (t *taskScheduler) activeReservations() map[string]int {
	claims := map[string]int{}
	for id, cl := range t.reservations {
		if j := t.state.Jobs[cl.job]; j == nil || j.Cancelling || t.env.now >= cl.until || t.state.Machines[id] == nil {
			delete(t.reservations, id)
		} else {
			claims[cl.job] += cl.tasks
		}
	}
	return claims
}

// updateJobView has a view be of a job as it is now, but for its places by zone.
func (v *schedulerViews) updateJobView(sj *scheduler.Job, j *clusterstate.Job, waiting []int, resume, claims int) {
	describeJob(sj, j)
	sj.Waiting, sj.Resume = waiting, resume
	sj.AimS = v.waitObjective(j.Spec.Class)
	sj.Plain = sj.IsPlain(v.catalog.types)
	sj.LeftS, sj.Late = v.deadlineSlack(j)
	sj.Patient = float64(v.env.wall-j.Submitted)/1000 > 2*v.catalog.longestBootS()
	sj.Avoid = j.Failures.Avoid(v.env.now, v.env.cfg.Cancel())
	sj.Starved = j.WaitingSince > 0 && v.env.now > j.WaitingSince+seconds(v.catalog.longestBootS())
	sj.Reserved = min(claims, len(sj.Waiting))
}

// bootingType is the type of a machine that will most probably be up soon; nil: it won't.
func (v *schedulerViews) bootingType(m *clusterstate.Machine) *scheduler.Type {
	if m.Up || m.Releasing || v.partitions.isPartitioned(m.Zone) {
		return nil
	}
	if t := v.catalog.machineType(m.Type); t != nil && v.env.now < m.LaunchedAt+seconds(t.BootS*usualBootFactor) {
		return t
	}
	return nil
}

// machineView is a machine as the scheduler sees it, without what is on it.
func (v *schedulerViews) machineView(m *clusterstate.Machine, t *scheduler.Type) scheduler.Machine {
	entries := v.env.cfg.ValueBytes() / clusterstate.EntryBytes
	return scheduler.Machine{ID: m.ID, Type: t, Zone: m.Zone, Spot: m.Spot, Free: m.Size.Minus(m.Used),
		Room: entries - len(m.Attempts), Used: len(m.Attempts) > 0, ReservedFor: v.placement.reservations[m.ID].job, ImageSet: v.state.ImageSet(m)}
}

// setImages tells which images a machine has, and which it is fetching.
func setImages(sm *scheduler.Machine, m *clusterstate.Machine) {
	sm.Images = m.Images
	if !m.Starting() {
		return
	}
	for _, a := range m.Sorted() {
		image := a.Job.Spec.Image
		if a.State != "" && a.State != protocol.FetchingImage || m.Images[image] {
			continue
		}
		if sm.Fetching == nil {
			sm.Fetching = map[string]bool{}
		}
		sm.Fetching[image] = true
	}
}

// appendRunningTasks adds a machine's tasks that may be stopped for others to a list.
func (v *schedulerViews) appendRunningTasks(list []scheduler.RunningTask, m *clusterstate.Machine, jobs map[*clusterstate.Job]*scheduler.Job) []scheduler.RunningTask {
	for _, a := range m.Sorted() {
		if sj := jobs[a.Job]; sj != nil && !a.StopRequested {
			list = append(list, scheduler.RunningTask{Job: sj, Index: a.Index, SinceS: (v.env.now - a.Since).Seconds()})
		}
	}
	return list
}

// reserveServiceQuota leaves a little of each team's limit to its services: as much as
// arrives in three rounds. Batches that fill a limit to the brim make each new
// replica wait for a round's stop and a save, and some aims are a second.
func (v *schedulerViews) reserveServiceQuota(teams map[string]*scheduler.Quota) {
	window := 4 * v.catalog.longestBootS()
	if window == 0 {
		return
	}
	from := (v.env.wall - int64(window*1000)) / 1000
	rounds := 3 * v.env.cfg.Operator.Green.RoundS / window
	for _, a := range v.forecast.arrivals {
		for _, second := range a.recent(from) {
			for team, need := range second.services {
				if t := teams[team]; t != nil {
					t.ServiceReserve = t.ServiceReserve.Plus(need.Times(rounds))
				}
			}
		}
	}
}

// waitObjective is the shortest waiting time that the users aim at for a class.
func (v *schedulerViews) waitObjective(class string) float64 {
	aim := 0.0
	for _, o := range v.env.cfg.Cluster.Objectives {
		if o.Kind == "wait" && o.Class == class && (aim == 0 || o.WithinS < aim) {
			aim = o.WithinS
		}
	}
	return aim
}

// deadlineSlack is what a batch with a deadline has left until the next of the
// times that the users aim at, with its tasks started now and running for half
// of what their owner says, as estimates are often wrong by half. Infinite: it
// has no deadline, or late: none of those times can be met any more.
func (v *schedulerViews) deadlineSlack(j *clusterstate.Job) (left float64, late bool) {
	left = math.Inf(1)
	if j.Spec.Service || j.Spec.DeadlineS <= 0 {
		return left, false
	}
	end := float64(v.env.wall-j.Submitted)/1000 + j.Spec.EstimateS/2
	late = true
	for _, times := range v.deadlineMultiples(j.Spec.Class) {
		if due := j.Spec.DeadlineS * times; end <= due {
			left, late = min(left, due-end), false
		}
	}
	return left, late
}

// deadlineMultiples are the multiples of a class's deadlines that the users aim at.
func (v *schedulerViews) deadlineMultiples(class string) []float64 {
	out := []float64{1}
	for _, o := range v.env.cfg.Cluster.Objectives {
		if o.Kind == "deadline" && o.Class == class && o.Times > 0 {
			out = append(out, o.Times)
		}
	}
	return out
}
