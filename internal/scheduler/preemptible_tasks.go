package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
)

// preemptibleTasks holds the running tasks that a round may stop, in two orders: by machine with the cheapest to stop
// first, and by team and priority with the youngest first. The lists are built once per round and updated with each
// stop.
type preemptibleTasks struct {
	snapshot *Snapshot
	// byMachine caches a machine's tasks in the order of sortPreemptible.
	byMachine map[*Machine][]RunningTask
	// byTeam is built at the first search for the youngest task of a team.
	byTeam  map[teamPriority][]teamTask
	stopped map[taskOnMachine]bool
	// lowestPriority is the lowest priority of any running task.
	lowestPriority int
	// borrowingTeams holds the teams that use more than their guarantees.
	borrowingTeams map[string]bool
	gangs          map[*Job][]Stop // cache of runningGangs; nil: not built
	// infeasible lists the requests for which no machine has enough preemptible tasks, by the other properties of a
	// job that determine this.
	infeasible map[preemptionKey][]Resources
	// sharedCosts caches the preemption costs that replicas of equal sharedCostsKey share.
	sharedCosts map[sharedCostsKey]*preemptionCosts
	// version increases when costs computed before may have become invalid.
	version int
}

type teamPriority struct {
	team     string
	priority int
}

// taskOnMachine identifies a task on a machine.
type taskOnMachine struct {
	machine *Machine
	job     *Job
	index   int
}

func (s *Stop) key() taskOnMachine { return taskOnMachine{s.Machine, s.Victim.Job, s.Victim.Index} }

// preemptionKey holds the properties of a job that determine which tasks may be stopped for it, and on which machines,
// except for its request and rank.
type preemptionKey struct {
	team, zone, types                          string
	priority                                   int
	spot, oneZone, spread, guaranteed, service bool
	waitedTwoBoots                             bool
}

func newPreemptibleTasks(s *Snapshot) *preemptibleTasks {
	p := &preemptibleTasks{snapshot: s, byMachine: map[*Machine][]RunningTask{}, stopped: map[taskOnMachine]bool{}, lowestPriority: math.MaxInt,
		borrowingTeams: map[string]bool{}, infeasible: map[preemptionKey][]Resources{}, sharedCosts: map[sharedCostsKey]*preemptionCosts{}}
	for _, m := range s.Machines {
		for _, task := range m.Running {
			p.lowestPriority = min(p.lowestPriority, task.Job.Priority)
		}
	}
	for team, quota := range s.Quotas {
		if quota.ExceedsGuarantee() {
			p.borrowingTeams[team] = true
		}
	}
	return p
}

// taskStopped updates the lists after the stop of a task for a job. costsChanged is set if the stop changed which other
// tasks may be stopped, or their costs; the costs are then computed again. They are also computed again if the stop may
// free resources that the job does not use, because other jobs may use these.
func (p *preemptibleTasks) taskStopped(m *Machine, task RunningTask, j *Job, costsChanged bool) {
	delete(p.byMachine, m)
	p.stopped[taskOnMachine{m, task.Job, task.Index}] = true
	p.gangs = nil
	if quota := p.snapshot.Quotas[task.Job.Team]; quota != nil && !quota.ExceedsGuarantee() {
		delete(p.borrowingTeams, task.Job.Team)
	}
	if costsChanged {
		p.version++
	}
	if task.Job.Team == j.Team || task.Job.Gang || j.Gang {
		// The stop may free resources that the job does not use: the task was stopped to free the quota of its team,
		// or together with its gang.
		p.version++
		clear(p.infeasible)
	}
}

// taskAssigned updates the lists after the assignment of a task. If its team now exceeds its guarantee, or the job its
// slots, further tasks become preemptible.
func (p *preemptibleTasks) taskAssigned(j *Job) {
	quota := p.snapshot.Quotas[j.Team]
	startsToBorrow := quota != nil && !p.borrowingTeams[j.Team] && quota.ExceedsGuarantee()
	if startsToBorrow {
		p.borrowingTeams[j.Team] = true
	}
	if startsToBorrow || !j.Service && j.Assigned == j.Slots+1 {
		p.version++
		clear(p.infeasible)
	}
}

// tasksOn lists a machine's tasks, the cheapest to stop first.
func (p *preemptibleTasks) tasksOn(m *Machine) []RunningTask {
	list, cached := p.byMachine[m]
	if !cached {
		list = slices.Clone(m.Running)
		sortPreemptible(list)
		p.byMachine[m] = list
	}
	return list
}

// anyPreemptibleFor reports whether any running task may be preemptible for a job.
func (p *preemptibleTasks) anyPreemptibleFor(j *Job, guaranteed bool) bool {
	if p.lowestPriority < j.Priority {
		return true
	}
	return guaranteed && (len(p.borrowingTeams) > 1 || len(p.borrowingTeams) == 1 && !p.borrowingTeams[j.Team])
}

// typeNames returns a key for the set of types that the job may use. It is empty if the job may use any type.
func (j *Job) typeNames() string {
	if j.Types == nil {
		return ""
	}
	return strings.Join(slices.Sorted(maps.Keys(j.Types)), ",") + ";"
}

func (j *Job) preemptionKey(guaranteed bool) preemptionKey {
	return preemptionKey{team: j.Team, zone: j.Zone, types: j.typeNames(), priority: j.Priority, spot: j.Spot, oneZone: j.OneZone, spread: j.Spread,
		guaranteed: guaranteed, service: j.Service, waitedTwoBoots: j.WaitedTwoBoots}
}

// isInfeasible reports whether preemption was already infeasible for a job with the same key, an earlier rank and a
// request that is at most this one.
func (p *preemptibleTasks) isInfeasible(key preemptionKey, request Resources) bool {
	return slices.ContainsFunc(p.infeasible[key], func(recorded Resources) bool { return recorded.isAtMost(request) })
}

// recordInfeasible records that no machine has enough preemptible tasks for the job's request. It records nothing if
// the reason may be specific to the job: the zones of its other tasks or the machines on which it failed.
func (p *preemptibleTasks) recordInfeasible(j *Job, key preemptionKey) {
	if len(j.AvoidMachines) > 0 || j.OneZone || j.Spread || len(p.infeasible[key]) >= maxInfeasible {
		return
	}
	p.infeasible[key] = append(p.infeasible[key], j.Request)
}

// LowestPriority is the lowest valid job priority.
const LowestPriority = 0

// youngestOfTeam returns the task that was assigned to its machine most recently among the running tasks of the job's
// team with lower priority, with its machine. It leaves out tasks in except. The machine is nil if there is none.
func (p *preemptibleTasks) youngestOfTeam(j *Job, except []Stop) (*Machine, RunningTask) {
	p.buildTeamLists()
	var youngest *teamTask
	for priority := LowestPriority; priority < j.Priority; priority++ {
		key := teamPriority{j.Team, priority}
		list := p.byTeam[key]
		for len(list) > 0 && p.stopped[list[0].key()] {
			list = list[1:]
		}
		p.byTeam[key] = list
		for i := range list {
			task := &list[i]
			if youngest != nil && !task.youngerThan(youngest) {
				break
			}
			if !p.stopped[task.key()] && !containsTask(except, task.Victim) {
				youngest = task
				break
			}
		}
	}
	if youngest == nil {
		return nil, RunningTask{}
	}
	return youngest.Machine, youngest.Victim
}

func containsTask(stops []Stop, task RunningTask) bool {
	return slices.ContainsFunc(stops, func(s Stop) bool { return s.Victim.Job == task.Job && s.Victim.Index == task.Index })
}

// teamTask is a running task of a team. Its number reflects the order of the machines.
type teamTask struct {
	Stop
	number int
}

// youngerThan reports whether the task was assigned to its machine later than another one.
func (t *teamTask) youngerThan(other *teamTask) bool {
	if t.Victim.RunningS != other.Victim.RunningS {
		return t.Victim.RunningS < other.Victim.RunningS
	}
	return t.number < other.number
}

// buildTeamLists builds byTeam if it does not exist yet.
func (p *preemptibleTasks) buildTeamLists() {
	if p.byTeam != nil {
		return
	}
	p.byTeam = map[teamPriority][]teamTask{}
	number := 0
	for _, m := range p.snapshot.Machines {
		for _, task := range m.Running {
			number++
			key := teamPriority{task.Job.Team, task.Job.Priority}
			p.byTeam[key] = append(p.byTeam[key], teamTask{Stop{Victim: task, Machine: m}, number})
		}
	}
	for _, list := range p.byTeam {
		slices.SortFunc(list, func(a, b teamTask) int {
			return cmp.Or(cmp.Compare(a.Victim.RunningS, b.Victim.RunningS), cmp.Compare(a.number, b.number))
		})
	}
}

// runningGangs returns the running tasks of each gang.
func (p *preemptibleTasks) runningGangs() map[*Job][]Stop {
	if p.gangs != nil {
		return p.gangs
	}
	p.gangs = map[*Job][]Stop{}
	for _, m := range p.snapshot.Machines {
		for _, task := range m.Running {
			if task.Job.Gang {
				p.gangs[task.Job] = append(p.gangs[task.Job], Stop{Victim: task, Machine: m})
			}
		}
	}
	return p.gangs
}
