package scheduler

import (
	"maps"
	"slices"
	"strings"
)

// maxGangMachinesExamined bounds how many machines one round examines for gangs, so that a leader with hundreds of
// waiting gangs can renew its lease in time. The remaining gangs wait for a later round, which starts again with the
// first gang.
const maxGangMachinesExamined = 100_000

// gangRequirements holds the properties that determine on which machines a gang can be placed, except for the number of
// its tasks.
type gangRequirements struct {
	team, zone, types     string
	request               Resources
	priority              int
	spot, oneZone, spread bool
}

func (j *Job) gangRequirements() gangRequirements {
	return gangRequirements{team: j.Team, zone: j.Zone, types: strings.Join(slices.Sorted(maps.Keys(j.Types)), ","), request: j.Request,
		priority: j.Priority, spot: j.Spot, oneZone: j.OneZone, spread: j.Spread}
}

// preemptForGang makes room for all waiting tasks of a gang. The first stops of a round may exceed maxStops: otherwise
// a gang that needs more stops would never start.
func (r *preemptionRound) preemptForGang(j *Job) {
	if len(j.Waiting) == 0 || r.snapshot.Quotas[j.Team] == nil || r.snapshot.gangMachinesExamined > maxGangMachinesExamined {
		return
	}
	requirements := j.gangRequirements()
	if smallestInfeasible, recorded := r.infeasibleGangs[requirements]; recorded && len(j.Waiting) >= smallestInfeasible && j.Assigned == 0 {
		return
	}
	preemption := r.cheapestGangPreemption(j)
	if preemption == nil {
		if j.Assigned == 0 {
			r.infeasibleGangs[requirements] = len(j.Waiting)
		}
		return
	}
	stops := len(r.plan.Stops)
	if len(preemption.stops) == 0 || stops > 0 && stops+len(preemption.stops) > r.maxStops {
		return
	}
	r.applyGangPreemption(preemption)
}

// applyGangPreemption applies a gang's preemption to the snapshot.
func (r *preemptionRound) applyGangPreemption(preemption *gangPreemption) {
	j := preemption.job
	for _, stop := range preemption.stops {
		r.stop(stop, j)
	}
	for _, m := range r.snapshot.Machines {
		if n := preemption.placed[m]; n > 0 {
			for range n {
				r.assign(j, m)
			}
			r.reserve(j, m, n)
		}
	}
}

// gangPreemption is a way to make room for all waiting tasks of a gang: the machines that they are placed on and the
// stops that they need. The search does not change the snapshot, because tasks must not be stopped, and their work
// lost, for a gang that can't start.
type gangPreemption struct {
	round      *preemptionRound
	job        *Job
	guaranteed bool            // the whole gang is within its team's guarantee
	gangTasks  map[*Job][]Stop // the tasks of each running gang, which are all stopped together

	free        map[*Machine]Resources // free resources of the machines that this preemption changes
	placed      map[*Machine]int       // tasks of the gang by machine
	freedByTeam map[string]Resources
	stopped     map[taskKey]bool
	inZone      map[string]int // tasks of the gang by zone, including the running ones
	stops       []Stop
	cost        float64
}

type taskKey struct {
	job   *Job
	index int
}

// cheapestGangPreemption returns the cheapest preemption for a gang, or nil if there is none. If the gang must be in
// one zone, it compares the preemptions of all zones.
func (r *preemptionRound) cheapestGangPreemption(j *Job) *gangPreemption {
	zones := []string{j.Zone}
	if j.OneZone && j.Zone == "" {
		zones = r.zones()
	}
	gangTasks := r.tasks.runningGangs()
	var cheapest *gangPreemption
	for _, zone := range zones {
		preemption := r.newGangPreemption(j, gangTasks)
		if preemption.search(zone) && (cheapest == nil || preemption.cost < cheapest.cost) {
			cheapest = preemption
		}
	}
	return cheapest
}

func (r *preemptionRound) newGangPreemption(j *Job, gangTasks map[*Job][]Stop) *gangPreemption {
	inZone := maps.Clone(j.InZone)
	if inZone == nil {
		inZone = map[string]int{}
	}
	return &gangPreemption{round: r, job: j, gangTasks: gangTasks, free: map[*Machine]Resources{}, placed: map[*Machine]int{},
		freedByTeam: map[string]Resources{}, stopped: map[taskKey]bool{}, inZone: inZone,
		guaranteed: r.snapshot.Quotas[j.Team].WithinGuarantee(j.totalRequest())}
}

// zones returns the zones of all machines, sorted by name.
func (r *preemptionRound) zones() []string {
	seen := map[string]bool{}
	for _, m := range r.snapshot.Machines {
		seen[m.Zone] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

// search places the waiting tasks one by one, each on the machine where it costs least, and then frees the team's
// quota. It returns false if a task finds no room or the quota can't be freed.
func (g *gangPreemption) search(zone string) bool {
	machines := g.eligibleMachines(zone)
	options := make([]*taskOption, len(machines))
	for range g.job.Waiting {
		best := g.cheapestOption(machines, options)
		if best < 0 {
			return false
		}
		option := options[best]
		g.place(machines[best], option)
		if slices.ContainsFunc(option.stops, func(stop Stop) bool { return stop.Victim.Job.Gang }) {
			clear(options) // stopping a gang also frees resources on other machines
		}
		options[best] = nil
	}
	return g.freeQuota()
}

// eligibleMachines lists the machines in a zone that the gang may use. An empty zone stands for all zones.
func (g *gangPreemption) eligibleMachines(zone string) []*Machine {
	allowed := *g.job
	allowed.Zone = zone
	var machines []*Machine
	for _, m := range g.round.snapshot.Machines {
		if !m.Booting && (m.ReservedFor == "" || m.ReservedFor == allowed.ID) && allowed.Request.Fits(m.Type.Size) &&
			allowed.AllowedOn(m.Type.Name, m.Zone, m.Spot) {
			machines = append(machines, m)
		}
	}
	return machines
}

// cheapestOption returns the index of the machine where the next task costs least, or -1 if there is none. It computes
// the options that are nil.
func (g *gangPreemption) cheapestOption(machines []*Machine, options []*taskOption) int {
	best := -1
	for i, m := range machines {
		if options[i] == nil {
			options[i] = g.optionOn(m)
		}
		if options[i].possible && g.zoneOpen(m.Zone) && (best < 0 || options[i].cost < options[best].cost) {
			best = i
		}
	}
	return best
}

func (g *gangPreemption) zoneOpen(zone string) bool {
	placedJob := *g.job
	placedJob.InZone = g.inZone
	return placedJob.AllowsZone(zone)
}

// taskOption holds the stops, and their cost, that one more task of the gang needs on a machine.
type taskOption struct {
	possible bool
	stops    []Stop
	cost     float64
}

// optionOn computes which tasks must be stopped on a machine for one more task of the gang.
func (g *gangPreemption) optionOn(m *Machine) *taskOption {
	g.round.snapshot.gangMachinesExamined++
	j := g.job
	free := g.freeOn(m)
	if j.Request.Fits(free) {
		return &taskOption{possible: m.TaskCapacity > g.placed[m]}
	}
	option := &taskOption{}
	freedByTeam := maps.Clone(g.freedByTeam)
	for _, task := range g.preemptibleOn(m) {
		if j.Request.Fits(free) {
			break
		}
		if task.Job.Priority >= j.Priority && !g.stillExceedsGuarantee(task.Job.Team, freedByTeam) {
			continue // the stops so far have brought its team back within its guarantee
		}
		option.stops = append(option.stops, Stop{Victim: task, Machine: m})
		free = free.Plus(task.Job.Request)
		freedByTeam[task.Job.Team] = freedByTeam[task.Job.Team].Plus(task.Job.Request)
	}
	option.stops, option.cost = g.removeUnneededStops(m, option.stops)
	option.possible = j.Request.Fits(free) && m.TaskCapacity > g.placed[m]
	return option
}

// preemptibleOn lists the tasks on a machine that may be stopped for the gang, the cheapest first. It omits the tasks
// that this preemption already stops.
func (g *gangPreemption) preemptibleOn(m *Machine) []RunningTask {
	var tasks []RunningTask
	for _, task := range m.Running {
		if !g.stopped[taskKey{task.Job, task.Index}] && g.round.isPreemptible(task.Job, g.job, g.guaranteed) {
			tasks = append(tasks, task)
		}
	}
	sortPreemptible(tasks)
	return tasks
}

// removeUnneededStops removes the stops that larger stops after them made unnecessary. It returns the remaining stops
// and their cost.
func (g *gangPreemption) removeUnneededStops(m *Machine, stops []Stop) ([]Stop, float64) {
	free := g.freeOn(m)
	for _, stop := range stops {
		free = free.Plus(stop.Victim.Job.Request)
	}
	var needed []Stop
	cost := 0.0
	for _, stop := range stops {
		if freeWithoutStop := free.Minus(stop.Victim.Job.Request); g.job.Request.Fits(freeWithoutStop) {
			free = freeWithoutStop
			continue
		}
		needed = append(needed, stop)
		cost += stopCost(stop.Victim, m)
	}
	return needed, cost
}

func (g *gangPreemption) freeOn(m *Machine) Resources {
	if free, changed := g.free[m]; changed {
		return free
	}
	return m.Free
}

// stillExceedsGuarantee reports whether the team would use more than its guarantee after the stops.
func (g *gangPreemption) stillExceedsGuarantee(team string, freedByTeam map[string]Resources) bool {
	quota := g.round.snapshot.Quotas[team]
	if quota == nil {
		return false
	}
	quotaAfter := *quota
	quotaAfter.Used = quotaAfter.Used.Minus(freedByTeam[team])
	return quotaAfter.ExceedsGuarantee()
}

// place places one task of the gang on the machine, with the stops of the option.
func (g *gangPreemption) place(m *Machine, option *taskOption) {
	for _, stop := range option.stops {
		g.addStop(stop)
	}
	g.cost += option.cost
	g.free[m] = g.freeOn(m).Minus(g.job.Request)
	g.placed[m]++
	g.inZone[m.Zone]++
}

// addStop adds the stop of a task to the preemption. If the task belongs to a gang, all tasks of that gang are stopped.
func (g *gangPreemption) addStop(stop Stop) {
	stops := []Stop{stop}
	if stop.Victim.Job.Gang {
		stops = g.gangTasks[stop.Victim.Job]
	}
	for _, added := range stops {
		victim := added.Victim
		key := taskKey{victim.Job, victim.Index}
		if g.stopped[key] {
			continue
		}
		g.stopped[key] = true
		g.stops = append(g.stops, added)
		g.free[added.Machine] = g.freeOn(added.Machine).Plus(victim.Job.Request)
		g.freedByTeam[victim.Job.Team] = g.freedByTeam[victim.Job.Team].Plus(victim.Job.Request)
	}
}

// freeQuota stops tasks of the same team with lower priority until the team's quota admits the whole gang. It returns
// false if stopping all of them does not free enough.
func (g *gangPreemption) freeQuota() bool {
	j := g.job
	quota := *g.round.snapshot.Quotas[j.Team]
	required := j.totalRequest().Plus(quota.ServiceReserve)
	for {
		quotaAfter := quota
		quotaAfter.Used = quota.Used.Minus(g.freedByTeam[j.Team])
		if quotaAfter.WithinMaximum(required) {
			return true
		}
		m, youngest := g.round.tasks.youngestOfTeam(j, g.stops)
		if m == nil {
			return false
		}
		g.addStop(Stop{Victim: youngest, Machine: m})
		g.cost += stopCost(youngest, m)
	}
}
