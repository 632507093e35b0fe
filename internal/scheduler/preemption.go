package scheduler

import (
	"cmp"
	"slices"
)

// Stop is a task to stop, to make room for another job.
type Stop struct {
	Victim  RunningTask
	Machine *Machine // of the victim
	For     *Job
}

// Reservation is room on a machine that is kept for tasks of a job until they start there.
type Reservation struct {
	Job     *Job
	Machine *Machine
	Tasks   int
}

// Preemption is what a round stops, and the room that it reserves for the jobs it does so for.
type Preemption struct {
	Stops        []Stop
	Reservations []Reservation
}

// maxTaskMachinesExamined bounds how many machines one round examines for single tasks: a leader
// with thousands of machines must renew its lease meanwhile. The next round goes on from there.
const maxTaskMachinesExamined = 200_000

// preemptionRound is a round at work.
type preemptionRound struct {
	snapshot *Snapshot
	tasks    *preemptibleTasks
	maxStops int
	plan     Preemption
	// infeasibleGangs is, by what decides where a gang may get room, the smallest number of tasks
	// for which a gang found none in this round: gangs like it that rank later find none either.
	infeasibleGangs map[gangRequirements]int
}

// Preempt works out a round's preemption: for tasks that wait within their slots and found no room,
// lower-ranked tasks give way, as far as the protocol's section "Preemption" lets them. A round
// stops most tasks at most.
//
// Jobs in searched, by their ID, are left out: earlier rounds, whose work was bounded, examined
// them in vain. Those that this round examines in vain are added; once all jobs have been
// examined the map is emptied.
func (s *Snapshot) Preempt(most int, searched map[string]bool) Preemption {
	s.useIndex()
	Order(s.Jobs)
	for i, j := range s.Jobs {
		j.rankPosition = i
	}
	if !slices.ContainsFunc(s.Jobs, (*Job).wantsPreemption) {
		return Preemption{}
	}
	s.gangMachinesExamined, s.taskMachinesExamined = 0, 0
	round := newPreemptionRound(s, most)
	if complete := round.run(searched); complete {
		clear(searched)
	}
	return round.plan
}

func newPreemptionRound(s *Snapshot, maxStops int) *preemptionRound {
	return &preemptionRound{snapshot: s, tasks: newPreemptibleTasks(s), maxStops: maxStops, infeasibleGangs: map[gangRequirements]int{}}
}

// run makes room for one job after the other. It returns false if jobs are left for the next round
// because this one has examined as many machines as it may.
func (r *preemptionRound) run(searched map[string]bool) bool {
	for _, j := range r.snapshot.Jobs {
		switch {
		case len(r.plan.Stops) >= r.maxStops:
			return true // nothing more can come of it
		case j.IsHeadroom, searched[j.ID]:
		case j.Reserved > 0:
			// What was stopped for this job before is still on its way out.
		case j.Gang:
			r.preemptForGang(j)
		case r.snapshot.taskMachinesExamined > maxTaskMachinesExamined:
			return false
		default:
			if r.preemptForTasks(j); len(j.Waiting) > 0 {
				searched[j.ID] = true
			}
		}
	}
	return true
}

// wantsPreemption says whether any of its waiting tasks is worth a stop.
func (j *Job) wantsPreemption() bool {
	return len(j.Waiting) > 0 && !j.IsHeadroom && j.Reserved == 0 && (j.Service || j.Gang || j.Assigned < j.Slots)
}

// preemptForTasks makes room for the waiting tasks of a job that it has slots for, one after the
// other.
func (r *preemptionRound) preemptForTasks(j *Job) {
	held := j.Assigned
	var costs *preemptionCosts
	for len(j.Waiting) > 0 && (j.Service || held < j.Slots) {
		m, stops := r.preemptionForTask(j, &costs)
		if m == nil || len(r.plan.Stops)+len(stops) > r.maxStops {
			return
		}
		for _, stop := range stops {
			r.stop(stop, j)
		}
		r.assign(j, m)
		held++
		if len(stops) > 0 {
			r.reserve(j, m, 1)
		}
	}
}

// preemptionForTask finds a machine for one task of the job and all that must stop for it, for
// room and for the team's quota alike: all of it or nothing, as stops that don't lead to a start
// only cost work.
func (r *preemptionRound) preemptionForTask(j *Job, costs **preemptionCosts) (*Machine, []Stop) {
	quota := r.snapshot.Quotas[j.Team]
	var stops []Stop
	m := r.snapshot.bestMachine(j)
	if m == nil {
		var victims []RunningTask
		if m, victims = r.cheapestPreemption(j, quota.WithinGuarantee(j.Request), costs); m == nil {
			return nil, nil
		}
		for _, victim := range victims {
			stops = append(stops, Stop{Victim: victim, Machine: m})
		}
	}
	after := *quota
	for _, stop := range stops {
		if stop.Victim.Job.Team == j.Team {
			after.Used = after.Used.Minus(stop.Victim.Job.Request)
		}
	}
	for !after.WithinMaximum(j.Request) {
		on, victim := r.tasks.youngestOfTeam(j, stops)
		if on == nil {
			return nil, nil
		}
		stops = append(stops, Stop{Victim: victim, Machine: on})
		after.Used = after.Used.Minus(victim.Job.Request)
	}
	return m, stops
}

// stop takes a task off its machine for a job, and adds it to the round's stops.
func (r *preemptionRound) stop(stop Stop, j *Job) {
	victim := stop.Victim
	exceeded, beyondSlots := r.exceedsGuarantee(victim.Job.Team), victim.Job.Assigned > victim.Job.Slots
	r.snapshot.removeTask(stop.Machine, victim)
	costsChanged := victim.Job.Gang || exceeded != r.exceedsGuarantee(victim.Job.Team) ||
		beyondSlots != (victim.Job.Assigned > victim.Job.Slots)
	r.tasks.taskStopped(stop.Machine, victim, j, costsChanged)
	r.plan.Stops = append(r.plan.Stops, Stop{Victim: victim, Machine: stop.Machine, For: j})
}

// exceedsGuarantee says whether a team uses more than its guarantee; a team without quota does not.
func (r *preemptionRound) exceedsGuarantee(team string) bool {
	quota := r.snapshot.Quotas[team]
	return quota != nil && quota.ExceedsGuarantee()
}

// assign gives the job's first waiting task its place on a machine.
func (r *preemptionRound) assign(j *Job, m *Machine) {
	r.snapshot.assign(j, m)
	r.tasks.taskAssigned(j)
}

// reserve keeps a machine for the tasks of a job that were assigned to it, so that no other job's
// stops count on its room.
func (r *preemptionRound) reserve(j *Job, m *Machine, tasks int) {
	m.ReservedFor = j.ID
	r.snapshot.machineChanged(m)
	r.plan.Reservations = append(r.plan.Reservations, Reservation{Job: j, Machine: m, Tasks: tasks})
}

// isPreemptible says whether a victim's tasks may be stopped for a job: as far as the protocol's
// section "Preemption" lets them, and only if the victim ranks after the job or has more than its
// slots.
func (r *preemptionRound) isPreemptible(victim, j *Job, guaranteed bool) bool {
	if victim.Priority >= j.Priority {
		// One replica for another is no gain, and the stopped one fetches its image
		// anew; a machine may be on its way.
		if !guaranteed || victim.Team == j.Team || victim.Service && !j.WaitedTwoBoots {
			return false
		}
		if !r.exceedsGuarantee(victim.Team) {
			return false
		}
	}
	return victim.rankPosition > j.rankPosition || !victim.Service && victim.Assigned > victim.Slots
}

// sortPreemptible puts first what costs least to stop: replicas last, gangs before them as they
// stop whole, and the youngest of each.
func sortPreemptible(tasks []RunningTask) {
	if len(tasks) < 2 {
		return
	}
	slices.SortStableFunc(tasks, func(x, y RunningTask) int {
		return cmp.Or(compareBool(x.Job.Service, y.Job.Service), compareBool(x.Job.Gang, y.Job.Gang), cmp.Compare(x.RunningS, y.RunningS))
	})
}

// compareBool puts false first.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Parts of the cost of a stop, in machine-seconds.
const (
	stopBaseCost    = 5
	replicaStopCost = 1000 // a replica outweighs a machine full of batches
)

// stopCost is the work that a stop loses, and the trouble that it makes.
func stopCost(task RunningTask, m *Machine) float64 {
	lost := task.RunningS*Share(task.Job.Request, m.Type.Size) + stopBaseCost
	if task.Job.Gang {
		lost *= max(1, float64(task.Job.Assigned)) // the others of the gang stop too
	}
	if task.Job.Service {
		lost += replicaStopCost
	}
	return lost
}
