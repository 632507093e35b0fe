package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
)

// preemptibleTasks are the running tasks that a round may stop, in the orders in which they are
// looked for: by machine with what costs least to stop first, and by team and priority with the
// youngest first. They are listed once in a round and follow its stops.
type preemptibleTasks struct {
	snapshot *Snapshot
	// byMachine has a machine's tasks as sortPreemptible sorts them, once they were asked for.
	byMachine map[*Machine][]RunningTask
	// byTeam is built when a team's own tasks are first asked for.
	byTeam  map[teamPriority][]teamTask
	stopped map[taskOnMachine]bool
	// lowestPriority is the lowest priority of any running task.
	lowestPriority int
	// borrowingTeams use more than their guarantees.
	borrowingTeams map[string]bool
	gangs          map[*Job][]Stop // see runningGangs; nil: to be listed anew
	// infeasible are needs for which no machine has enough to stop, by what decides that.
	infeasible map[preemptionKey][]Resources
	// sharedCosts are the costs of jobs that are alike.
	sharedCosts map[sharedCostsKey]*preemptionCosts
	// version changes when costs that were worked out before may have become wrong.
	version int
}

type teamPriority struct {
	team     string
	priority int
}

// taskOnMachine names a task on its machine.
type taskOnMachine struct {
	machine *Machine
	job     *Job
	index   int
}

func (s *Stop) key() taskOnMachine { return taskOnMachine{s.Machine, s.Victim.Job, s.Victim.Index} }

// preemptionKey is what decides which tasks may be stopped for a job, and where, but for its need
// and rank.
type preemptionKey struct {
	team, zone, types                          string
	priority                                   int
	spot, oneZone, spread, guaranteed, service bool
	patient                                    bool
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

// taskStopped follows a stop of a task for a job. Costs have to be worked out anew if other tasks
// may be stopped or what they cost has changed; room elsewhere than where the job goes may help
// other jobs.
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
		// It may leave room that the job does not take: it was stopped for its team's quota, or
		// with all of its gang.
		p.version++
		clear(p.infeasible)
	}
}

// taskAssigned follows the assignment of a task: its team may use more than its guarantee now, or
// the job have more than its slots, so that its other tasks may be stopped for others.
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

// on lists a machine's tasks, what costs least to stop first.
func (p *preemptibleTasks) on(m *Machine) []RunningTask {
	list, known := p.byMachine[m]
	if !known {
		list = slices.Clone(m.Running)
		sortPreemptible(list)
		p.byMachine[m] = list
	}
	return list
}

// anyFor says whether there may be any task to stop for a job.
func (p *preemptibleTasks) anyFor(j *Job, guaranteed bool) bool {
	if p.lowestPriority < j.Priority {
		return true
	}
	return guaranteed && (len(p.borrowingTeams) > 1 || len(p.borrowingTeams) == 1 && !p.borrowingTeams[j.Team])
}

// typeNames names the types that the job may use; empty: any.
func (j *Job) typeNames() string {
	if j.Types == nil {
		return ""
	}
	return strings.Join(slices.Sorted(maps.Keys(j.Types)), ",") + ";"
}

func (j *Job) preemptionKey(guaranteed bool) preemptionKey {
	return preemptionKey{team: j.Team, zone: j.Zone, types: j.typeNames(), priority: j.Priority, spot: j.Spot, oneZone: j.OneZone, spread: j.Spread,
		guaranteed: guaranteed, service: j.Service, patient: j.WaitedTwoBoots}
}

// isInfeasible says whether a job that ranks before this one and differs in nothing else that
// matters found no machine with enough to stop for as little.
func (p *preemptibleTasks) isInfeasible(key preemptionKey, need Resources) bool {
	return slices.ContainsFunc(p.infeasible[key], func(known Resources) bool { return known.isAtMost(need) })
}

// recordInfeasible keeps a need that was looked for in vain, unless the job's own zones or
// failures may be the reason.
func (p *preemptibleTasks) recordInfeasible(j *Job, key preemptionKey) {
	if len(j.AvoidMachines) > 0 || j.OneZone || j.Spread || len(p.infeasible[key]) >= maxInfeasible {
		return
	}
	p.infeasible[key] = append(p.infeasible[key], j.Request)
}

// LowestPriority is the lowest priority that a job may have.
const LowestPriority = 0

// youngestOfTeam is the task of the job's team and of lower priority that has been on its machine
// for the least time, and is not among those to stop already. The machine is nil if there is none.
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

// teamTask is a running task of a team, numbered in the order of the machines.
type teamTask struct {
	Stop
	number int
}

// youngerThan says whether it is to be stopped before another one.
func (t *teamTask) youngerThan(other *teamTask) bool {
	if t.Victim.RunningS != other.Victim.RunningS {
		return t.Victim.RunningS < other.Victim.RunningS
	}
	return t.number < other.number
}

// buildTeamLists lists the teams' tasks, unless that has been done.
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

// runningGangs lists the tasks of each gang that runs.
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
