package scheduler

import (
	"maps"
	"math"
	"slices"
	"strings"
)

// gangPreemption is a way to make room for all waiting tasks of a gang: where they go, and
// what has to stop for them. While it is being worked out nothing of the snapshot
// changes, as stops that don't lead to a start only cost work.
type gangPreemption struct {
	snapshot   *Snapshot
	job        *Job
	guaranteed bool
	gangTasks  map[*Job][]Stop // a gang's tasks, as it stops whole

	free        map[*Machine]Need // of machines that the trial has changed
	placed      map[*Machine]int  // tasks of the gang by machine
	freedByTeam map[string]Need   // by team
	stopped     map[taskKey]bool
	inZone      map[string]int
	stops       []Stop
	cost        float64
}

type taskKey struct {
	job   *Job
	index int
}

// cheapestGangPreemption finds the cheapest way, as far as "Preemption" and the ranks let others
// give way: in each zone in turn if the gang must be together. Nil: there is none.
func (s *Snapshot) cheapestGangPreemption(j *Job) *gangPreemption {
	zones := []string{j.Zone}
	if j.OneZone && j.Zone == "" {
		zones = s.zones()
	}
	gangs := s.preemptible.runningGangs()
	var cheapest *gangPreemption
	for _, zone := range zones {
		room := s.newGangPreemption(j, gangs)
		if room.find(zone) && (cheapest == nil || room.cost < cheapest.cost) {
			cheapest = room
		}
	}
	return cheapest
}

func (s *Snapshot) newGangPreemption(j *Job, gangs map[*Job][]Stop) *gangPreemption {
	room := &gangPreemption{snapshot: s, job: j, gangTasks: gangs, free: map[*Machine]Need{}, placed: map[*Machine]int{},
		freedByTeam: map[string]Need{}, stopped: map[taskKey]bool{}, inZone: maps.Clone(j.InZone)}
	if room.inZone == nil {
		room.inZone = map[string]int{}
	}
	room.guaranteed = s.Quotas[j.Team].WithinGuarantee(j.Need.Times(float64(len(j.Waiting))))
	return room
}

// zones lists the zones of the machines.
func (s *Snapshot) zones() []string {
	seen := map[string]bool{}
	for _, m := range s.Machines {
		seen[m.Zone] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

// find places the tasks one by one where the next costs least, and then frees the
// team's limit. False: some of them have no room.
func (r *gangPreemption) find(zone string) bool {
	j := r.job
	allowed := *j
	allowed.Zone = zone
	var fits []*Machine
	for _, m := range r.snapshot.Machines {
		if !m.Booting && (m.ReservedFor == "" || m.ReservedFor == j.ID) && j.Need.Fits(m.Type.Size) && allowed.AllowedOn(m.Type.Name, m.Zone, m.Spot) {
			fits = append(fits, m)
		}
	}
	next := make([]*taskOption, len(fits))
	for range j.Waiting {
		best := -1
		for i, m := range fits {
			if next[i] == nil {
				next[i] = r.optionOn(m)
			}
			if next[i].possible && r.zoneOpen(m.Zone) && (best < 0 || next[i].cost < next[best].cost) {
				best = i
			}
		}
		if best < 0 {
			return false
		}
		r.place(fits[best], next[best])
		if slices.ContainsFunc(next[best].stops, func(st Stop) bool { return st.Victim.Job.Gang }) {
			clear(next) // a gang that stops frees room on other machines too
		}
		next[best] = nil
	}
	return r.freeQuota()
}

func (r *gangPreemption) zoneOpen(zone string) bool {
	after := *r.job
	after.InZone = r.inZone
	return after.ZoneOpen(zone)
}

// taskOption is what one more task of the gang costs on a machine.
type taskOption struct {
	possible bool
	stops    []Stop
	cost     float64
}

// optionOn works out what has to stop on a machine for one more task there.
func (r *gangPreemption) optionOn(m *Machine) *taskOption {
	r.snapshot.gangMachinesExamined++
	j := r.job
	free := r.freeOn(m)
	if j.Need.Fits(free) {
		return &taskOption{possible: m.Room > r.placed[m]}
	}
	var may []RunningTask
	for _, h := range m.Running {
		if !r.stopped[taskKey{h.Job, h.Index}] && r.snapshot.isPreemptible(h.Job, j, r.guaranteed) {
			may = append(may, h)
		}
	}
	sortPreemptible(may)
	out := &taskOption{}
	freed := maps.Clone(r.freedByTeam)
	for _, h := range may {
		if j.Need.Fits(free) {
			break
		}
		if h.Job.Priority >= j.Priority && !r.stillExceedsGuarantee(h.Job.Team, freed) {
			continue // what its team has lent is all back
		}
		out.stops = append(out.stops, Stop{Victim: h, Machine: m})
		out.cost += stopCost(h, m)
		free = free.Plus(h.Job.Need)
		freed[h.Job.Team] = freed[h.Job.Team].Plus(h.Job.Need)
	}
	out.stops, out.cost = r.withoutNeedless(m, out)
	out.possible = j.Need.Fits(free) && m.Room > r.placed[m]
	return out
}

// withoutNeedless leaves out what the larger ones after it made needless.
func (r *gangPreemption) withoutNeedless(m *Machine, found *taskOption) ([]Stop, float64) {
	free := r.freeOn(m)
	for _, st := range found.stops {
		free = free.Plus(st.Victim.Job.Need)
	}
	var kept []Stop
	cost := 0.0
	for _, st := range found.stops {
		if less := free.Minus(st.Victim.Job.Need); r.job.Need.Fits(less) {
			free = less
			continue
		}
		kept = append(kept, st)
		cost += stopCost(st.Victim, m)
	}
	return kept, cost
}

func (r *gangPreemption) freeOn(m *Machine) Need {
	if free, changed := r.free[m]; changed {
		return free
	}
	return m.Free
}

// stillExceedsGuarantee says whether the team would use more than its guarantee after the stops.
func (r *gangPreemption) stillExceedsGuarantee(team string, freed map[string]Need) bool {
	t := r.snapshot.Quotas[team]
	if t == nil {
		return false
	}
	after := *t
	after.Used = after.Used.Minus(freed[team])
	return after.ExceedsGuarantee()
}

// place gives a task of the gang its place on the machine.
func (r *gangPreemption) place(m *Machine, found *taskOption) {
	for _, st := range found.stops {
		r.addStop(st)
	}
	r.cost += found.cost
	r.free[m] = r.freeOn(m).Minus(r.job.Need)
	r.placed[m]++
	r.inZone[m.Zone]++
}

// addStop notes a task that is to stop, with all of its gang.
func (r *gangPreemption) addStop(st Stop) {
	all := []Stop{st}
	if st.Victim.Job.Gang {
		all = r.gangTasks[st.Victim.Job]
	}
	for _, one := range all {
		key := taskKey{one.Victim.Job, one.Victim.Index}
		if r.stopped[key] {
			continue
		}
		r.stopped[key] = true
		r.stops = append(r.stops, one)
		r.free[one.Machine] = r.freeOn(one.Machine).Plus(one.Victim.Job.Need)
		r.freedByTeam[one.Victim.Job.Team] = r.freedByTeam[one.Victim.Job.Team].Plus(one.Victim.Job.Need)
	}
}

// freeQuota stops the team's own work of lower priority until its limit has room for
// the whole gang. False: it can't have.
func (r *gangPreemption) freeQuota() bool {
	j := r.job
	team := *r.snapshot.Quotas[j.Team]
	whole := j.Need.Times(float64(len(j.Waiting))).Plus(team.ServiceReserve)
	for {
		after := team
		after.Used = team.Used.Minus(r.freedByTeam[j.Team])
		if after.WithinMaximum(whole) {
			return true
		}
		m, youngest := r.snapshot.preemptible.youngestOfTeam(j, r.stops)
		if m == nil {
			return false
		}
		r.addStop(Stop{Victim: youngest, Machine: m})
		r.cost += stopCost(youngest, m)
	}
}

// maxGangMachinesExamined bounds what one round looks at for gangs, in machines: a leader with
// hundreds of waiting gangs must renew its lease meanwhile. What is left comes with the
// next round.
const maxGangMachinesExamined = 100_000

// gangRequirements is what decides where a gang may get room, but for its size.
type gangRequirements struct {
	team, zone, types     string
	need                  Need
	priority              int
	spot, oneZone, spread bool
}

func (j *Job) gangRequirements() gangRequirements {
	return gangRequirements{team: j.Team, zone: j.Zone, types: strings.Join(slices.Sorted(maps.Keys(j.Types)), ","), need: j.Need,
		priority: j.Priority, spot: j.Spot, oneZone: j.OneZone, spread: j.Spread}
}

// infeasibleGangs are the sizes for which gangs of a shape found no room in this round: others
// like them, ranked later, find none either.
type infeasibleGangs map[gangRequirements]int

// preemptForGang makes room for all waiting tasks of a gang, within most stops unless
// they are the round's first: a gang that needs more would wait for ever.
func (s *Snapshot) preemptForGang(j *Job, out *Preemption, most int, none infeasibleGangs) {
	if len(j.Waiting) == 0 || s.Quotas[j.Team] == nil || s.gangMachinesExamined > maxGangMachinesExamined {
		return
	}
	shape := j.gangRequirements()
	if tasks, known := none[shape]; known && len(j.Waiting) >= tasks && j.Held == 0 {
		return
	}
	room := s.cheapestGangPreemption(j)
	if room == nil && j.Held == 0 {
		none[shape] = len(j.Waiting)
	}
	if room == nil || len(room.stops) == 0 || len(out.Stops) > 0 && len(out.Stops)+len(room.stops) > most {
		return
	}
	for _, st := range room.stops {
		out.Stops = append(out.Stops, s.stop(st.Machine, st.Victim, j))
	}
	for _, m := range s.Machines {
		if n := room.placed[m]; n > 0 {
			out.Reservations = append(out.Reservations, Reservation{Job: j, Machine: m, Tasks: n})
			for range n {
				s.assign(j, m)
			}
			m.ReservedFor = j.ID
			s.machineChanged(m)
		}
	}
}

// stopCost is the work that a stop loses, and the trouble it makes.
func stopCost(h RunningTask, m *Machine) float64 {
	lost := h.SinceS*Share(h.Job.Need, m.Type.Size) + 5
	if h.Job.Gang {
		lost *= math.Max(1, float64(h.Job.Held))
	}
	if h.Job.Service {
		lost += 1000 // a replica outweighs a machine full of batches
	}
	return lost
}
