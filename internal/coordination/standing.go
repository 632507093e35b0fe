package coordination

import (
	"slices"

	"claybarrow/internal/ledger"
	"claybarrow/internal/sched"
)

// standing is what the scheduler sees of the fleet and of the jobs that wait, kept from one
// fill to the next. A fill follows a transaction, many times a second: drawing all machines and
// jobs anew for each took longer than the leader's lease in a fleet of thousands.
//
// What is on a machine and which tasks of a job wait are followed by the ledger's revisions.
// Whether a machine may be used hangs on the time too, so each fill asks that of all machines:
// that is a few comparisons for each. Nothing in here decides anything that the ledger does not
// say when a fill begins, so a cancellation, a machine that is lost or a lower limit need no
// care of their own.
type standing struct {
	term     *term
	fleet    *sched.Fleet
	types    int // the generation of the machine types
	listed   []*ledger.Machine
	machines []*standingMachine // in the order of listed
	known    map[*ledger.Machine]*standingMachine
	waiting  map[*ledger.Job]*standingJob
	// ordered are the same jobs, in the order in which they came to wait.
	ordered []*ledger.Job
	teams   map[string]*sched.Team
	// Memory of the last snapshot, for the next.
	machineViews []*sched.Machine
	jobViews     []*sched.Job
	ready        int // machines of a plan that are up
	// checkFrom is the machine that the next check begins with.
	checkFrom int
	// drifted: a difference has been logged.
	drifted bool
}

// standingMachine is a machine as the scheduler saw it last.
type standingMachine struct {
	view     sched.Machine
	machine  *ledger.Machine
	revision uint64
	size     sched.Need
	place    int
	placed   bool // it has a place
	inFleet  bool // it was usable
	listed   bool // while the list is gone through: it is still there
}

// standingJob is a job with tasks that wait.
type standingJob struct {
	view     sched.Job
	revision uint64
	waiting  []int
	resume   int
	drawn    bool
	// zonesRevision is the job's when its places by zone were last counted.
	zonesRevision uint64
}

func newStanding(r *term) *standing {
	s := &standing{term: r, teams: map[string]*sched.Team{}, waiting: map[*ledger.Job]*standingJob{}}
	s.rebuild()
	for _, j := range r.Jobs {
		s.await(j)
	}
	return s
}

// rebuild forgets what it knows of the machines.
func (s *standing) rebuild() {
	s.fleet, s.known = sched.NewFleet(), map[*ledger.Machine]*standingMachine{}
	s.listed, s.machines = nil, nil
	s.types = s.term.c.typesGeneration
}

// forFill is what a fill decides from; nil if no job waits or no machine may be used.
func (s *standing) forFill() *sched.Snapshot {
	out := s.begin()
	if out.Jobs = s.jobs(s.term.liveClaims()); len(out.Jobs) == 0 {
		return nil
	}
	s.follow(out)
	if len(out.Machines) == 0 {
		return nil
	}
	return out
}

// whole is what a fill decides from, also with nothing that waits.
func (s *standing) whole() *sched.Snapshot {
	out := s.begin()
	out.Jobs = s.jobs(s.term.liveClaims())
	s.follow(out)
	return out
}

// forPlan is what a plan decides from: also with nothing that waits, and with the machines that
// boot. The plan must be ended with endPlan.
func (s *standing) forPlan() *sched.Snapshot {
	out := s.whole()
	s.ready = len(out.Machines)
	place := len(s.machines) * placeGap * 2
	for _, m := range s.listed {
		if t := s.term.boots(m); t != nil {
			view := s.term.machineView(m, t)
			view.Booting = true
			place++
			out.Machines = append(out.Machines, &view)
			s.fleet.Update(&view, place)
		}
	}
	return out
}

// endPlan takes out again what the plan has brought in.
func (s *standing) endPlan(plan *sched.Snapshot) {
	for _, m := range plan.Machines[s.ready:] {
		s.fleet.Remove(m)
	}
	s.machineViews = plan.Machines[:s.ready]
}

// forRound is what a round decides from: all jobs, and what runs. The round must be ended with
// endRound.
func (s *standing) forRound() *sched.Snapshot {
	r := s.term
	out := s.begin()
	claims := r.liveClaims()
	s.follow(out)
	jobs := make(map[*ledger.Job]*sched.Job, len(r.Jobs))
	views := make([]sched.Job, len(r.Jobs)) // one allocation for all
	for i, j := range r.SortedJobs() {
		if !j.Stored {
			continue
		}
		waiting, resume := r.waitingTasks(j)
		r.viewJob(&views[i], j, waiting, resume, claims[j.Spec.UID])
		if len(waiting) > 0 {
			views[i].InZone = j.InZone()
		}
		jobs[j] = &views[i]
		out.Jobs = append(out.Jobs, &views[i])
	}
	tasks := 0
	for _, e := range s.machines {
		tasks += len(e.machine.Attempts)
	}
	running := make([]sched.Held, 0, tasks)
	for _, e := range s.machines {
		if e.inFleet {
			first := len(running)
			running = r.runningOn(running, e.machine, jobs)
			e.view.Running = running[first:len(running):len(running)]
		}
	}
	return out
}

// endRound drops what only a round needs.
func (s *standing) endRound() {
	for _, e := range s.machines {
		e.view.Running = nil
	}
}

// begin is an empty snapshot of the fleet.
func (s *standing) begin() *sched.Snapshot {
	if s.types != s.term.c.typesGeneration {
		s.rebuild()
	}
	return &sched.Snapshot{Teams: s.teams, UpperCap: s.term.c.cfg.Operator.Green.UpperCap, Fleet: s.fleet}
}

// follow has a snapshot know machines and teams as they are now.
func (s *standing) follow(out *sched.Snapshot) {
	r := s.term
	s.followList()
	s.followMachines(out)
	if out.Capacity.Cores == 0 {
		out.Capacity = r.capacity()
	}
	for name, t := range r.Teams {
		if s.teams[name] == nil {
			s.teams[name] = &sched.Team{}
		}
		*s.teams[name] = *t
	}
	r.keepLimits(s.teams)
}

// jobs lists those that wait.
func (s *standing) jobs(claims map[string]int) []*sched.Job {
	r := s.term
	for _, j := range r.TakeOpened() {
		s.await(j)
	}
	list, ordered := s.jobViews[:0], s.ordered[:0]
	for _, j := range s.ordered {
		kept := s.waiting[j]
		if r.Jobs[j.Spec.UID] != j {
			delete(s.waiting, j)
			continue
		}
		waiting, resume := []int(nil), 0
		if j.Stored {
			waiting, resume = s.waitingTasks(j, kept)
		}
		if j.Stored && len(waiting) == 0 && j.HeldTotal > 0 && j.Open() == 0 {
			delete(s.waiting, j) // until it loses a task
			continue
		}
		ordered = append(ordered, j)
		if len(waiting) > 0 {
			list = append(list, s.view(j, kept, waiting, resume, claims[j.Spec.UID]))
		}
	}
	s.jobViews, s.ordered = list, ordered
	return list
}

// await has a job be looked at by each fill.
func (s *standing) await(j *ledger.Job) {
	if s.waiting[j] == nil {
		s.waiting[j] = &standingJob{}
		s.ordered = append(s.ordered, j)
	}
}

// waitingTasks is the term's, from memory if nothing has changed.
func (s *standing) waitingTasks(j *ledger.Job, kept *standingJob) ([]int, int) {
	if j.Gang != nil || !kept.drawn || kept.revision != j.Revision() {
		kept.drawn, kept.revision = true, j.Revision()
		kept.waiting, kept.resume = j.WaitingInto(kept.waiting[:0], mostWaiting)
	}
	return s.term.mayStart(j, kept.waiting, kept.resume)
}

// view is a job as the scheduler sees it now. Amounts that change by themselves are always
// taken from the ledger; its places by zone change with its tasks. A plan, or a gang without room
// for all of it, has changed them without: then it holds more than the ledger says.
func (s *standing) view(j *ledger.Job, kept *standingJob, waiting []int, resume, claims int) *sched.Job {
	inZone := kept.view.InZone
	if inZone == nil || j.Gang != nil || kept.zonesRevision != j.Revision() || kept.view.Held != j.HeldTotal {
		inZone, kept.zonesRevision = j.InZone(), j.Revision()
	}
	s.term.viewJob(&kept.view, j, waiting, resume, claims)
	kept.view.InZone = inZone
	return &kept.view
}

// placeGap leaves room for machines that come between others.
const placeGap = 1 << 20

// followList takes in machines that have come and drops those that are gone.
func (s *standing) followList() {
	list := s.term.machines()
	if len(list) == len(s.listed) && (len(list) == 0 || &list[0] == &s.listed[0]) {
		return
	}
	s.listed = list
	for _, e := range s.machines {
		e.listed = false
	}
	machines := make([]*standingMachine, 0, len(list))
	for _, m := range list {
		e := s.known[m]
		if e == nil {
			e = &standingMachine{machine: m}
			s.known[m] = e
		}
		e.listed = true
		machines = append(machines, e)
	}
	for _, e := range s.machines {
		if !e.listed {
			s.drop(e)
			delete(s.known, e.machine)
		}
	}
	s.machines = machines
	s.givePlaces()
}

// givePlaces numbers new machines between their neighbours, or all if there is no room.
func (s *standing) givePlaces() {
	last := 0
	for i, e := range s.machines {
		if e.placed {
			last = e.place
			continue
		}
		next := last + 2*placeGap
		if k := slices.IndexFunc(s.machines[i:], func(o *standingMachine) bool { return o.placed }); k >= 0 {
			next = s.machines[i+k].place
		}
		if next-last < 2 {
			s.renumber()
			return
		}
		e.place, e.placed = last+min(placeGap, (next-last)/2), true
		last = e.place
	}
}

func (s *standing) renumber() {
	for _, e := range s.machines {
		s.drop(e)
	}
	for i, e := range s.machines {
		e.place, e.placed = (i+1)*placeGap, true
	}
}

func (s *standing) drop(e *standingMachine) {
	if e.inFleet {
		s.fleet.Remove(&e.view)
		e.inFleet = false
	}
}

// followMachines draws those anew that have changed, and lists the usable ones.
func (s *standing) followMachines(out *sched.Snapshot) {
	r := s.term
	now := r.c.now
	list := s.machineViews[:0]
	for _, e := range s.machines {
		m := e.machine
		if m.Up && !m.Returning {
			out.Capacity = out.Capacity.Plus(m.Size)
		}
		if now < m.DrainUntil {
			out.Moving = out.Moving || movesReplicas(m)
		}
		if !r.usable(m) {
			s.drop(e)
			continue
		}
		if !e.inFleet || e.view.Changed || e.revision != m.Revision() || e.size != m.Size || e.view.For != r.claims[m.ID].job {
			t := r.c.typeOf(m.Type)
			if t == nil {
				s.drop(e)
				continue
			}
			s.draw(e, t)
		}
		list = append(list, &e.view)
	}
	s.machineViews, out.Machines = list, list
}

// draw has a machine be as the ledger has it.
func (s *standing) draw(e *standingMachine, t *sched.Type) {
	m := e.machine
	e.view = s.term.machineView(m, t)
	showImages(&e.view, m)
	e.revision, e.size, e.inFleet = m.Revision(), m.Size, true
	s.fleet.Update(&e.view, e.place)
}

// checkSlice is how many machines a check looks at.
const checkSlice = 32

// check compares some machines with the ledger, those that it takes for unchanged. A difference
// is a fault of this program: it is logged once, and the view is built anew.
func (s *standing) check() {
	if len(s.machines) == 0 {
		return
	}
	for i := range min(checkSlice, len(s.machines)) {
		e := s.machines[(s.checkFrom+i)%len(s.machines)]
		if s.agrees(e) {
			continue
		}
		if !s.drifted {
			s.drifted = true
			s.term.c.log.Error("the scheduler's view differs from the ledger", "machine", e.machine.ID)
		}
		s.rebuild()
		return
	}
	s.checkFrom = (s.checkFrom + checkSlice) % len(s.machines)
}

// agrees says whether a machine that nothing seems to have changed is as the ledger has it.
func (s *standing) agrees(e *standingMachine) bool {
	m := e.machine
	if s.types != s.term.c.typesGeneration || !e.inFleet || e.view.Changed || e.revision != m.Revision() || e.size != m.Size ||
		e.view.For != s.term.claims[m.ID].job {
		return true // drawn anew at the next fill
	}
	fresh := s.term.machineView(m, e.view.Type)
	showImages(&fresh, m)
	return fresh.Free == e.view.Free && fresh.Room == e.view.Room && fresh.Used == e.view.Used && fresh.Zone == e.view.Zone &&
		fresh.Spot == e.view.Spot && fresh.Type.Name == m.Type && fresh.ImageSet == e.view.ImageSet &&
		len(fresh.Fetching) == len(e.view.Fetching) && s.fleet.Follows(&e.view)
}

// movesReplicas says whether replicas are on their way from the machine to others.
func movesReplicas(m *ledger.Machine) bool {
	for _, a := range m.Attempts {
		if a.Job.Spec.Service {
			return true
		}
	}
	return false
}
