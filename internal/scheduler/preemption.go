package scheduler

import (
	"cmp"
	"slices"
)

// Stop is a running task to stop, to make room for another job.
type Stop struct {
	Victim  RunningTask
	Machine *Machine // the victim's machine
	For     *Job
}

// Reservation reserves room on a machine for tasks of a job until they start there.
type Reservation struct {
	Job     *Job
	Machine *Machine
	Tasks   int
}

// Preemption is the result of a round: the tasks to stop, and the reservations for the jobs that need their room.
type Preemption struct {
	Stops        []Stop
	Reservations []Reservation
}

// maxTaskMachinesExamined bounds how many machines one round examines for single tasks, so that a leader with thousands
// of machines can renew its lease in time. The next round continues with the remaining jobs.
const maxTaskMachinesExamined = 200_000

// preemptionRound holds the state of a running round.
type preemptionRound struct {
	snapshot *Snapshot
	tasks    *preemptibleTasks
	maxStops int
	plan     Preemption
	// infeasibleGangs holds, by gangRequirements, the smallest gang that this round found no room for. Gangs with the
	// same requirements that are at least as large and rank later can't be placed either.
	infeasibleGangs map[gangRequirements]int
}

// Preempt computes the preemption of one round. For waiting tasks within the slots of their jobs that found no room, it
// selects lower-ranked tasks to stop, according to the rules in the protocol's section "Preemption". maxStops bounds
// the number of stops; only a gang whose stops are the first of the round may exceed it.
//
// The map searchedJobs holds the IDs of jobs for which earlier rounds found no preemption. A round skips these jobs, so
// that it continues where a round ended that reached maxTaskMachinesExamined. Preempt adds the jobs, except gangs, that
// still have waiting tasks after the search, and clears the map at the end of a round that did not reach that bound.
func (s *Snapshot) Preempt(maxStops int, searchedJobs map[string]bool) Preemption {
	s.useIndex()
	SortByRank(s.Jobs)
	for i, j := range s.Jobs {
		j.rankPosition = i
	}
	if !slices.ContainsFunc(s.Jobs, (*Job).wantsPreemption) {
		return Preemption{}
	}
	s.gangMachinesExamined, s.taskMachinesExamined = 0, 0
	round := newPreemptionRound(s, maxStops)
	if complete := round.run(searchedJobs); complete {
		clear(searchedJobs)
	}
	return round.plan
}

func newPreemptionRound(s *Snapshot, maxStops int) *preemptionRound {
	return &preemptionRound{snapshot: s, tasks: newPreemptibleTasks(s), maxStops: maxStops, infeasibleGangs: map[gangRequirements]int{}}
}

// run makes room for the jobs one by one. It returns false if it reached maxTaskMachinesExamined and left jobs for the
// next round.
func (r *preemptionRound) run(searchedJobs map[string]bool) bool {
	for _, j := range r.snapshot.Jobs {
		switch {
		case len(r.plan.Stops) >= r.maxStops:
			return true // no further stops are allowed
		case j.IsHeadroom, searchedJobs[j.ID]:
		case j.Reserved > 0:
			// Tasks stopped for this job in an earlier round have not ended yet.
		case j.Gang:
			r.preemptForGang(j)
		case r.snapshot.taskMachinesExamined > maxTaskMachinesExamined:
			return false
		default:
			if r.preemptForTasks(j); len(j.Waiting) > 0 {
				searchedJobs[j.ID] = true
			}
		}
	}
	return true
}

// wantsPreemption reports whether the job has waiting tasks for which other tasks may be stopped.
func (j *Job) wantsPreemption() bool {
	return len(j.Waiting) > 0 && !j.IsHeadroom && j.Reserved == 0 && (j.Service || j.Gang || j.Assigned < j.Slots)
}

// preemptForTasks makes room for the waiting tasks of a job, one by one: for all replicas of a service, and for the
// tasks of a batch within its slots.
func (r *preemptionRound) preemptForTasks(j *Job) {
	assigned := j.Assigned
	var costs *preemptionCosts
	for len(j.Waiting) > 0 && (j.Service || assigned < j.Slots) {
		m, stops := r.preemptionForTask(j, &costs)
		if m == nil || len(r.plan.Stops)+len(stops) > r.maxStops {
			return
		}
		for _, stop := range stops {
			r.stop(stop, j)
		}
		r.assign(j, m)
		assigned++
		if len(stops) > 0 {
			r.reserve(j, m, 1)
		}
	}
}

// preemptionForTask finds a machine for one task of the job and the tasks that must be stopped for it, both to free
// resources and to free the team's quota. It returns nil if either can't be freed, because stopping only some of the
// tasks would lose their work without starting the new one.
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
	quotaAfter := *quota
	for _, stop := range stops {
		if stop.Victim.Job.Team == j.Team {
			quotaAfter.Used = quotaAfter.Used.Minus(stop.Victim.Job.Request)
		}
	}
	for !quotaAfter.WithinMaximum(j.Request) {
		victimMachine, victim := r.tasks.youngestOfTeam(j, stops)
		if victimMachine == nil {
			return nil, nil
		}
		stops = append(stops, Stop{Victim: victim, Machine: victimMachine})
		quotaAfter.Used = quotaAfter.Used.Minus(victim.Job.Request)
	}
	return m, stops
}

// stop removes a task from its machine to make room for a job, and adds the stop to the round's plan.
func (r *preemptionRound) stop(stop Stop, j *Job) {
	victim := stop.Victim
	exceeded, beyondSlots := r.exceedsGuarantee(victim.Job.Team), victim.Job.Assigned > victim.Job.Slots
	r.snapshot.removeTask(stop.Machine, victim)
	costsChanged := victim.Job.Gang || exceeded != r.exceedsGuarantee(victim.Job.Team) ||
		beyondSlots != (victim.Job.Assigned > victim.Job.Slots)
	r.tasks.taskStopped(stop.Machine, victim, j, costsChanged)
	r.plan.Stops = append(r.plan.Stops, Stop{Victim: victim, Machine: stop.Machine, For: j})
}

// exceedsGuarantee reports whether a team uses more than its guarantee. It returns false for a team without a quota.
func (r *preemptionRound) exceedsGuarantee(team string) bool {
	quota := r.snapshot.Quotas[team]
	return quota != nil && quota.ExceedsGuarantee()
}

// assign assigns the job's first waiting task to a machine.
func (r *preemptionRound) assign(j *Job, m *Machine) {
	r.snapshot.assign(j, m)
	r.tasks.taskAssigned(j)
}

// reserve reserves a machine for the tasks of a job that were assigned to it, so that stops for other jobs don't count
// on its resources.
func (r *preemptionRound) reserve(j *Job, m *Machine, tasks int) {
	m.ReservedFor = j.ID
	r.snapshot.machineChanged(m)
	r.plan.Reservations = append(r.plan.Reservations, Reservation{Job: j, Machine: m, Tasks: tasks})
}

// isPreemptible reports whether a victim's tasks may be stopped for a job. The rules follow the protocol's section
// "Preemption"; in addition, the victim must rank after the job, or be a batch or gang that exceeds its slots.
func (r *preemptionRound) isPreemptible(victim, j *Job, guaranteed bool) bool {
	if victim.Priority >= j.Priority {
		// Stopping one replica to start another gains nothing, and the stopped replica has to fetch its image again.
		// It is done only after a long wait, because a machine may already be booting.
		if !guaranteed || victim.Team == j.Team || victim.Service && !j.WaitedTwoBoots {
			return false
		}
		if !r.exceedsGuarantee(victim.Team) {
			return false
		}
	}
	return victim.rankPosition > j.rankPosition || !victim.Service && victim.Assigned > victim.Slots
}

// sortPreemptible sorts tasks by the cost of stopping them, the cheapest first: batch tasks, then tasks of gangs, which
// are all stopped together, then replicas. Within each kind the youngest come first.
func sortPreemptible(tasks []RunningTask) {
	if len(tasks) < 2 {
		return
	}
	slices.SortStableFunc(tasks, func(x, y RunningTask) int {
		return cmp.Or(compareBool(x.Job.Service, y.Job.Service), compareBool(x.Job.Gang, y.Job.Gang), cmp.Compare(x.RunningS, y.RunningS))
	})
}

// compareBool compares two values, with false before true.
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
	replicaStopCost = 1000 // more than the cost of stopping a machine full of batch tasks
)

// stopCost returns the cost of a stop in machine-seconds: the work that it loses, and fixed costs.
func stopCost(task RunningTask, m *Machine) float64 {
	lost := task.RunningS*Share(task.Job.Request, m.Type.Size) + stopBaseCost
	if task.Job.Gang {
		lost *= max(1, float64(task.Job.Assigned)) // all tasks of the gang are stopped
	}
	if task.Job.Service {
		lost += replicaStopCost
	}
	return lost
}
