package coordination

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"claybarrow/internal/ledger"
	"claybarrow/internal/protocol"
	"claybarrow/internal/sched"
)

// arrivals are a class's recent arrivals, for the room kept free.
type arrivals struct {
	last []arrival
}

type arrival struct {
	at  int64 // ms, time of day
	job *ledger.Job
}

func (r *term) noteArrival(j *ledger.Job) {
	a := r.arrivals[j.Spec.Class]
	if a == nil {
		a = &arrivals{}
		r.arrivals[j.Spec.Class] = a
	}
	a.last = append(a.last, arrival{j.Submitted, j})
	if len(a.last) > 200 {
		a.last = a.last[1:]
	}
}

func shareOf(j *ledger.Job, capacity sched.Need) float64 { return sched.Share(j.Need, capacity) }

// capacity is what the ready machines hold, or one of each if there are none.
func (r *term) capacity() sched.Need {
	var n sched.Need
	for _, m := range r.Machines {
		if m.Up && !m.Returning {
			n = n.Plus(m.Size)
		}
	}
	if n.Cores == 0 {
		for _, t := range r.c.types {
			n = n.Plus(t.Size)
		}
	}
	return n
}

// usable says whether tasks may be started on the machine: it has reported to
// this leader, lately, and nothing speaks against it.
func (r *term) usable(m *ledger.Machine) bool {
	c := r.c
	return m.Fresh && !m.Returning && !m.Notice && c.now >= m.AsideUntil && c.now >= m.DrainUntil && m.Deaf < 2 && m.CallFails < 2 &&
		c.now < m.Heard+c.cfg.Lease()/4+2*c.cfg.Report() && !r.unreported(m, c.cfg.Lease()/2) &&
		m.Size.Cores > 0 && len(m.Strays) == 0
}

// unreported says whether no report of the machine has been answered for as long,
// whatever it answers to direct requests: those don't renew its lease, and it is
// about to kill all its tasks. Such a machine was filled anew after each lease.
func (r *term) unreported(m *ledger.Machine, spell time.Duration) bool {
	return r.c.now > max(m.Answered, m.FreshAt)+spell
}

// mute says whether a machine answers us but can reach no controller, as far as
// can be known: those of its zone are in touch, so none stands in for us there.
func (r *term) mute(m *ledger.Machine) bool {
	c := r.c
	if !m.Fresh || m.CallFails > 0 || m.Heard < c.now-2*c.cfg.Report()-c.cfg.Lease()/10 || !r.unreported(m, c.cfg.Lease()*11/20) {
		return false
	}
	for _, p := range r.peers {
		if p.zone == m.Zone && c.now > p.asked+c.cfg.Lease()/8 {
			return false
		}
	}
	return true
}

func schedJob(j *ledger.Job) *sched.Job {
	s := j.Spec
	sj := &sched.Job{ID: s.UID, Class: s.Class, Team: s.Team, Image: s.Image, ImageGB: s.ImageGB, Service: s.Service,
		Priority: int(s.Priority), Submitted: j.Submitted, Need: j.Need, SaveS: s.SaveS, Spot: s.Spot, Types: j.Types,
		Zone: s.Zone, OneZone: s.OneZone, Spread: s.Spread, Tasks: s.Tasks,
		Held: j.HeldTotal, Upper: j.Scale.Upper && !s.Service, Slots: j.Scale.Slots,
		Attained: j.Scale.Attained, Degradation: j.Scale.Degr}
	if s.Gang {
		// Gangs skip the upper queue, with degradation 1, and have no slots.
		sj.Gang, sj.Upper, sj.Slots, sj.Degradation = true, false, s.Tasks, 1
	}
	return sj
}

// snapshot renders the books for the scheduler. Waiting tasks are listed only
// as far as they could matter now.
func (r *term) snapshot(running, booting bool) *sched.Snapshot {
	c := r.c
	s := &sched.Snapshot{Teams: map[string]*sched.Team{}, UpperCap: c.cfg.Operator.Green.UpperCap, Capacity: r.capacity()}
	for name, t := range r.Teams {
		clone := *t
		s.Teams[name] = &clone
	}
	r.keepLimits(s.Teams)
	jobs := map[*ledger.Job]*sched.Job{}
	claims := map[string]int{}
	for id, cl := range r.claims {
		if j := r.Jobs[cl.job]; j == nil || j.Cancelling || c.now >= cl.until || r.Machines[id] == nil {
			delete(r.claims, id)
		} else {
			claims[cl.job] += cl.tasks
		}
	}
	for _, uid := range sortedKeys(r.Jobs) {
		j := r.Jobs[uid]
		if !j.Stored {
			continue
		}
		sj := schedJob(j)
		sj.AimS = r.aimOf(j.Spec.Class)
		sj.LeftS, sj.Late = r.timeLeft(j)
		sj.Patient = float64(c.wall-j.Submitted)/1000 > 2*c.bootS()
		if c.now >= j.NotBefore {
			sj.Waiting, sj.Resume = j.Waiting(512)
		}
		if j.HeldTotal > 0 || j.Cancelling || j.Finishing {
			j.HungryAt = 0
		} else if j.HungryAt == 0 {
			j.HungryAt = c.now
		}
		sj.Starved = j.HungryAt > 0 && c.now > j.HungryAt+seconds(c.bootS())
		sj.Claims = min(claims[uid], len(sj.Waiting))
		if len(sj.Waiting) == 0 && !running {
			continue
		}
		sj.InZone = j.InZone()
		jobs[j] = sj
		s.Jobs = append(s.Jobs, sj)
	}
	room := c.cfg.ValueBytes() / ledger.EntryBytes
	for _, m := range r.machines() {
		t := c.typeOf(m.Type)
		if t == nil {
			continue
		}
		sm := &sched.Machine{ID: m.ID, Type: t, Zone: m.Zone, Spot: m.Spot, Free: m.Size.Minus(m.Used),
			Room: room - len(m.Attempts), Used: len(m.Attempts) > 0, For: r.claims[m.ID].job}
		if c.now < m.DrainUntil {
			for _, a := range m.Attempts {
				s.Moving = s.Moving || a.Job.Spec.Service
			}
		}
		switch {
		case r.usable(m):
			sm.Images = m.Images
			for _, a := range m.Attempts {
				if a.State == "" || a.State == protocol.Pulling {
					if !m.Images[a.Job.Spec.Image] {
						if sm.Fetching == nil {
							sm.Fetching = map[string]bool{}
						}
						sm.Fetching[a.Job.Spec.Image] = true
					}
				}
			}
			if running {
				for _, a := range m.Sorted() {
					if sj := jobs[a.Job]; sj != nil && !a.Halt {
						sm.Running = append(sm.Running, sched.Held{Job: sj, Index: a.Index,
							SinceS: (c.now - a.Since).Seconds()})
					}
				}
			}
		case booting && !m.Up && !m.Returning && !r.isDark(m.Zone) && c.now < m.Rented+seconds(t.BootS*1.6):
			sm.Booting = true
		default:
			continue
		}
		s.Machines = append(s.Machines, sm)
	}
	return s
}

// schedule is called at every tick.
func (r *term) schedule() {
	c := r.c
	g := c.cfg.Operator.Green
	r.accrue()
	r.dropStale()
	if c.now >= r.fillAt {
		r.fillAt = c.now + seconds(g.FillS)
		r.fillDirty = true
	}
	if c.now >= r.roundAt && r.heardAll() {
		r.roundAt = c.now + seconds(g.RoundS)
		r.round()
		r.consolidate()
	}
	if c.now >= r.countersAt {
		r.countersAt = c.now + seconds(g.CountersS)
		r.writeCounters()
	}
	if c.now >= r.overviewAt {
		r.overviewAt = c.now + c.cfg.Lease()
		r.overview()
	}
	if c.now >= r.planAt {
		r.findDark()
		r.planAt = c.now + c.cfg.LeaderTTL()*2/3
		r.fillDirty = true // delays of failing jobs and set-aside machines end with time
		r.plan()
	}
}

// heardAll: no round stops anything until the fleet was heard or is silent.
func (r *term) heardAll() bool {
	if !r.listed {
		return false
	}
	for _, m := range r.Machines {
		if !m.Fresh && len(m.Attempts) > 0 {
			return false
		}
	}
	return true
}

// accrue books the service attained since the last time.
func (r *term) accrue() {
	c := r.c
	dt := (c.now - r.accrueAt).Seconds()
	if dt < c.cfg.Lease().Seconds()/20 {
		return
	}
	r.accrueAt = c.now
	whole := r.capacity()
	for _, j := range r.Jobs {
		if j.HeldTotal > 0 && !j.Spec.Service {
			j.Scale.Attained += dt * float64(j.HeldTotal) * shareOf(j, whole)
		}
	}
}

// fill starts what waits, as rank and room allow. Starts leave only once they
// are in the books of the state service.
func (r *term) fill() {
	r.fillDirty = false
	if !r.certain() || len(r.c.types) == 0 {
		return
	}
	s := r.snapshot(false, false)
	if len(s.Jobs) == 0 || len(s.Machines) == 0 {
		return
	}
	s.Jobs = append(s.Jobs, r.expected()...)
	s.Jobs = append(s.Jobs, r.doubles()...)
	tries := map[*ledger.Job]uint64{} // a gang's tasks have one number
	for _, p := range s.Fill() {
		j := r.Jobs[p.Job.ID]
		switch {
		case j.Spec.Gang && tries[j] != 0:
		case j.Spec.Gang && len(j.Gang) > 0:
			tries[j] = j.Gang[0].Try // it replaces a lost task while the others gather
		default:
			tries[j] = r.nextTry()
		}
		r.start(j, p.Index, r.Machines[p.Machine.ID], tries[j])
	}
}

func (r *term) start(j *ledger.Job, index int, m *ledger.Machine, try uint64) {
	c := r.c
	if cl := r.claims[m.ID]; cl.job == j.Spec.UID {
		if cl.tasks--; cl.tasks > 0 {
			r.claims[m.ID] = cl
		} else {
			delete(r.claims, m.ID)
		}
	}
	a := r.Put(m, j, index, try, c.now)
	c.log.Debug("start", "task", a.Key().Task, "try", a.Try, "machine", m.ID)
	r.record(m, writeStart, func() {
		if m.Attempts[a.Key()] != a {
			return
		}
		a.Durable = true
		if a.Halt {
			r.gone(a, "never sent")
			return
		}
		r.kick(m)
		if j.Spec.Gang && j.Whole() {
			for _, mate := range j.Gang {
				r.kick(mate.Machine)
			}
		}
	})
}

// claim keeps a machine for the job that tasks were stopped for, until as many
// of its tasks have started there.
type claim struct {
	job   string
	tasks int
	until time.Duration
}

// round is GREEN's: jobs gain slots, and tasks ranked past capacity stop.
func (r *term) round() {
	c := r.c
	for _, j := range r.Jobs {
		if !j.Spec.Service && !j.Spec.Gang {
			j.Scale.Round(j.Done, j.Spec.Tasks, c.cfg.Operator.Green.Gamma)
		}
	}
	if !r.certain() {
		return
	}
	s := r.snapshot(true, false)
	s.Fill() // what finds room needs no stop
	for _, st := range s.Stops(max(c.cfg.Cluster.State.TxnOps, len(s.Machines)/4)) {
		cl := r.claims[st.Target.ID]
		cl.job, cl.until = st.For.ID, c.now+c.cfg.Lease()+seconds(st.Victim.Job.SaveS)
		if st.First {
			cl.tasks++
		}
		r.claims[st.Target.ID] = cl
		m := r.Machines[st.Machine.ID]
		for _, a := range m.Sorted() {
			if a.Job.Spec.UID == st.Victim.Job.ID && a.Index == st.Victim.Index {
				c.log.Info("stopping", "task", a.Key().Task, "machine", m.ID, "for", st.For.ID)
				a.Yielded = true
				r.halt(a, a.Job.Spec.SaveS, "a round's stop")
			}
		}
	}
}

// plan rents what waiting and expected work needs, and returns what it doesn't.
func (r *term) plan() {
	c := r.c
	if len(c.types) == 0 || !r.listed || !r.certain() {
		return
	}
	s := r.snapshot(false, true)
	s.Jobs = append(s.Jobs, r.expected()...)
	s.Jobs = append(s.Jobs, r.doubles()...)
	inFlight := map[sched.Pool]int{}
	for _, name := range sortedKeys(r.renting) {
		q := r.renting[name].req
		p := sched.Pool{Type: q.Type, Zone: q.Zone, Spot: q.Spot}
		inFlight[p] += q.Count
		if t := c.typeOf(q.Type); t != nil {
			for range q.Count {
				s.Machines = append(s.Machines, &sched.Machine{Type: t, Zone: q.Zone, Spot: q.Spot, Free: t.Size,
					Room: 1 << 20, Booting: true})
			}
		}
	}
	// What boots in a zone that is cut off can't be heard, and costs all the same.
	blocked := func(p sched.Pool) bool { return r.isDark(p.Zone) || c.now < r.short[p].until || inFlight[p] > 0 }
	for _, want := range s.Plan(c.types, blocked, 64) {
		if !c.cloud.has(c.now, 1) {
			break
		}
		r.rent(want.Pool, want.Count)
	}
	needed := map[string]bool{}
	for _, m := range s.Machines {
		needed[m.ID] = m.Used
	}
	r.review(needed)
}

// emptyingWork bounds what one go at emptying looks at, in machines: it copies
// the fleet for each machine that might be emptied, and a leader of thousands must
// renew its lease meanwhile.
const emptyingWork = 100_000

// consolidate empties dear machines whose tasks can go on elsewhere at once,
// where their images are: long-lived replicas, and the last tasks of batches when
// the load falls, would keep them for their few. The larger the fleet, the more
// machines it empties at a time.
func (r *term) consolidate() {
	c := r.c
	if c.now < r.drainAt || !r.certain() || r.manyLate() {
		return
	}
	s := r.snapshot(false, false)
	s.Fill()
	for _, j := range s.Jobs {
		if len(j.Waiting) > 0 && j.Service && s.Teams[j.Team].InLimit(j.Need) {
			return // somebody waits for room
		}
	}
	// Types and kinds that more than a few are coming of are wanted.
	type kind struct {
		typ  string
		spot bool
	}
	coming, up := map[kind]int{}, map[kind]int{}
	for _, q := range r.renting {
		coming[kind{q.req.Type, q.req.Spot}] += q.req.Count
	}
	for _, m := range r.Machines {
		switch {
		case m.Returning || r.isDark(m.Zone):
		case m.Up:
			up[kind{m.Type, m.Spot}]++
		default:
			coming[kind{m.Type, m.Spot}]++
		}
	}
	type candidate struct {
		id    string
		gain  float64
		tasks []*sched.Job
	}
	var list []candidate
	for _, sm := range s.Machines {
		m := r.Machines[sm.ID]
		price := sm.Type.Price
		if sm.Spot {
			price = sm.Type.SpotPrice
		}
		free := sched.Share(m.Size.Minus(m.Used), m.Size)
		if len(m.Attempts) == 0 || free < 0.25 || !s.Dear(sm) || coming[kind{m.Type, m.Spot}]*20 > up[kind{m.Type, m.Spot}] || sm.For != "" || sm.Free != m.Size.Minus(m.Used) {
			continue
		}
		if jobs := r.movable(m, free); jobs != nil {
			list = append(list, candidate{m.ID, price * free, jobs})
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(b.gain, a.gain) })
	most := 1 + len(s.Machines)/10
	s.Looked = 0
	for _, cand := range list[:min(len(list), 2*most)] {
		if s.Looked > emptyingWork {
			break // what is left comes with the next time
		}
		rest := s.Emptied(cand.id, cand.tasks, r.expected)
		if rest == nil {
			continue
		}
		s = rest
		pick := r.Machines[cand.id]
		c.log.Info("emptying", "machine", pick.ID, "type", pick.Type, "tasks", len(cand.tasks))
		r.drainAt = c.now + 3*c.cfg.Lease()
		pick.DrainUntil = c.now + c.cfg.Lease()
		for _, a := range pick.Sorted() {
			r.halt(a, a.Job.Spec.SaveS, "moved")
		}
		if most--; most == 0 {
			break
		}
	}
}

// manyLate says whether more than one machine in fifty with tasks does not answer:
// the room that others have to spare is about to be needed. Thirty machines were
// once emptied while 54 hung, ten seconds before their leases were over.
func (r *term) manyLate() bool {
	late, busy := 0, 0
	for _, m := range r.Machines {
		if len(m.Attempts) == 0 || m.Returning || r.isDark(m.Zone) {
			continue
		}
		busy++
		if m.CallFails > 0 {
			late++
		}
	}
	return late*50 > busy
}

// movable lists a machine's tasks as jobs of one task each, if all of them are
// replicas that have run for a while or, on a machine that is half empty, tasks
// that can save.
func (r *term) movable(m *ledger.Machine, free float64) []*sched.Job {
	var out []*sched.Job
	for _, a := range m.Sorted() {
		service := a.Job.Spec.Service
		settled := r.c.bootS()
		if !service {
			settled *= 0.7
		}
		if a.Job.Spec.Gang || a.Job.Cancelling || a.Halt || a.State != protocol.Running || r.c.now < a.Since+seconds(settled) ||
			(!service && (a.Job.Spec.CheckpointS <= 0 || free < 0.5)) {
			return nil
		}
		j := schedJob(a.Job)
		j.InZone, j.Waiting = a.Job.InZone(), []int{a.Index}
		j.InZone[m.Zone]--
		out = append(out, j)
	}
	return out
}

// review returns machines that are of no use any more.
func (r *term) review(needed map[string]bool) {
	c := r.c
	silent, up := 0, 0
	for _, m := range r.Machines {
		if m.Up && !m.Returning && !r.isDark(m.Zone) {
			up++
			if r.silentFor(m) > c.cfg.Lease()*2/5 {
				silent++
			}
		}
	}
	forsaken := map[string]bool{}
	for zone := range r.dark {
		forsaken[zone] = r.forsaken(zone)
	}
	pulse := r.pulse()
	// Many silent machines at once speak of our own network, not of theirs.
	lonely := silent > 2 && silent > up/3
	for _, m := range r.machines() {
		t := c.typeOf(m.Type)
		if m.Returning || t == nil {
			continue
		}
		boot := seconds(t.BootS)
		switch {
		case forsaken[m.Zone] && len(m.Attempts) > 0:
			r.giveBack(m, "its zone is cut off and the controller there has ended")
		case r.isDark(m.Zone) && m.Up:
			// Its deputy may be keeping its tasks alive. Even without one, what
			// must be spread waits for this zone, and for a cut's length a
			// machine with its images is worth more than a new one.
			m.IdleSince = c.now
		case !m.Up:
			if c.now > m.Rented+boot*5/2 {
				r.giveBack(m, "did not come up")
			} else if needed[m.ID] {
				m.IdleSince = c.now
			} else if m.IdleSince == 0 {
				m.IdleSince = c.now
			}
		case !lonely && r.powerless(m, pulse) && r.silentFor(m) > c.cfg.Lease()*2/5:
			r.giveBack(m, "no connection to it, while its zone is heard")
		case !lonely && m.CallFails > 1 && m.FreshAt == 0 && r.silentFor(m) > c.cfg.Lease()/2:
			// After a take-over the proof by time is far away, and the cloud's
			// word that the machine is gone comes sooner. A machine that this
			// leader did hear is left alone: cut off or hanging, its tasks go
			// on until its lease ends, and it may come back.
			r.giveBack(m, "not heard since the take-over")
		case m.Deaf > 2 && m.CallFails > 1 && m.FreshAt == 0 && len(m.Attempts) > 0 && c.now > r.since+c.cfg.Lease():
			// It reports and never shows our token: it hears no answer, so its
			// lease is over, but no message of it can prove that what an earlier
			// leader started there is gone.
			r.giveBack(m, "it has not heard us since the take-over")
		case !lonely && m.CallFails > 0 && r.silentFor(m) > 3*c.cfg.Lease():
			r.giveBack(m, "silent")
		case r.silentFor(m) > c.cfg.Lease()*2/5:
			// Hanging or cut off, it may come back with its images; a dead one is
			// soon called failed by the cloud. It was once returned as idle when
			// its lease was over, seconds before it would have come back.
			m.IdleSince = c.now
		case len(m.Attempts) > 0 || needed[m.ID]:
			m.IdleSince = c.now
		case m.Errors >= 3:
			r.giveBack(m, "faulty")
		case c.now < m.DrainUntil:
			r.giveBack(m, "emptied")
		case c.now > m.IdleSince+time.Duration(float64(boot)*c.cfg.Operator.Fleet.IdleRatio):
			r.giveBack(m, "idle")
		}
	}
}

// powerless says whether a machine is most probably gone with all that is on it:
// it is silent, and no connection to it can be made, while others of its zone were
// heard since and we reach all that others hear. The cloud's deletion proves it
// much sooner than its lease; hanging machines take connections, and are left
// alone, as they may go on within their lease.
func (r *term) powerless(m *ledger.Machine, pulse map[string]time.Duration) bool {
	return m.NoConn && m.CallFails > 1 && len(r.deafTo) == 0 && !r.isDark(m.Zone) && pulse[m.Zone] > m.FailedAt &&
		r.soonElsewhere(m)
}

// soonElsewhere says whether a machine's replicas fetch their images in less than
// a lease. The machine may only be cut off, and come back with them: a wrong guess
// costs the fetch, a right one gains the rest of the lease.
func (r *term) soonElsewhere(m *ledger.Machine) bool {
	t := r.c.typeOf(m.Type)
	if t == nil {
		return false
	}
	for _, a := range m.Attempts {
		if s := a.Job.Spec; s.Service && s.ImageGB > t.FetchGBPerS*r.c.cfg.Lease().Seconds() {
			return false
		}
	}
	return true
}

// pulse tells, by zone, since when a tenth of its machines, two at least, have
// been heard: a zone that has just been cut off has none after the cut.
func (r *term) pulse() map[string]time.Duration {
	heard := map[string][]time.Duration{}
	for _, m := range r.Machines {
		if m.Up && !m.Returning {
			heard[m.Zone] = append(heard[m.Zone], m.Heard)
		}
	}
	out := map[string]time.Duration{}
	for zone, list := range heard {
		if k := max(2, len(list)/10); len(list) > k {
			slices.Sort(list)
			out[zone] = list[len(list)-k]
		}
	}
	return out
}

// silentFor is how long nothing new was heard of a machine in this term.
func (r *term) silentFor(m *ledger.Machine) time.Duration {
	return r.c.now - max(m.Heard, r.since, r.lit[m.Zone])
}

// overdue reports whether a machine is late and can't be reached: its tasks
// will probably be needed elsewhere.
func (r *term) overdue(m *ledger.Machine) bool {
	return m.CallFails > 1 && r.silentFor(m) > r.c.cfg.Lease()*2/5 && !r.isDark(m.Zone)
}

// doubles stand for the replicas on machines that are overdue, so that their
// next machines boot while the proof that they are gone is still awaited.
func (r *term) doubles() []*sched.Job {
	var out []*sched.Job
	for _, m := range r.machines() {
		if !r.overdue(m) {
			continue
		}
		for _, a := range m.Sorted() {
			if a.Job.Spec.Service && !a.Job.Cancelling && !a.Halt {
				j := schedJob(a.Job)
				j.ID, j.Phantom, j.Spread, j.OneZone = "^"+a.Key().Task, true, false, false
				j.Waiting = []int{a.Index}
				out = append(out, j)
			}
		}
	}
	return out
}

// keepLimits leaves a little of each team's limit to its services: as much as
// arrives in three rounds. Batches that fill a limit to the brim make each new
// replica wait for a round's stop and a save, and some aims are a second.
func (r *term) keepLimits(teams map[string]*sched.Team) {
	window := 4 * r.c.bootS()
	if window == 0 {
		return
	}
	from := r.c.wall - int64(window*1000)
	for _, a := range r.arrivals {
		for _, x := range a.last {
			if t := teams[x.job.Spec.Team]; t != nil && x.job.Spec.Service && x.at >= from {
				t.Kept = t.Kept.Plus(x.job.Need.Times(float64(x.job.Spec.Tasks) * 3 * r.c.cfg.Operator.Green.RoundS / window))
			}
		}
	}
}

// expected are phantom tasks for what arrives while a machine would boot, for
// classes whose aims are shorter than that.
func (r *term) expected() []*sched.Job {
	c := r.c
	boot := c.bootS()
	window := 4 * boot
	var out []*sched.Job
	for _, class := range sortedKeys(r.arrivals) {
		aim := r.aimOf(class)
		if aim <= 0 || aim > 2*boot {
			continue
		}
		a := r.arrivals[class]
		tasks := 0
		var sample *ledger.Job
		from := c.wall - int64(window*1000)
		for _, x := range a.last {
			if x.at >= from {
				tasks += x.job.Spec.Tasks
				sample = x.job
			}
		}
		if sample == nil || !sample.Spec.Service {
			continue
		}
		expect := float64(tasks) / window * boot * c.cfg.Operator.Fleet.Headroom
		k := int(expect + 0.5)
		if k < 1 {
			k = 1
		}
		sp := sample.Spec
		j := &sched.Job{ID: "~" + class, Class: class, Service: true, Need: sample.Need, Spot: sp.Spot, Types: sample.Types,
			Spread: false, Tasks: k, Phantom: true, Degradation: 1, Priority: int(sp.Priority)}
		for i := range k {
			j.Waiting = append(j.Waiting, i)
		}
		out = append(out, j)
	}
	return out
}

// bootS is the longest usual boot time.
func (c *Core) bootS() float64 {
	boot := 0.0
	for _, t := range c.types {
		boot = max(boot, t.BootS)
	}
	return boot
}

// aimOf is the shortest waiting time that the users aim at for a class.
func (r *term) aimOf(class string) float64 {
	aim := 0.0
	for _, o := range r.c.cfg.Cluster.Objectives {
		if o.Kind == "wait" && o.Class == class && (aim == 0 || o.WithinS < aim) {
			aim = o.WithinS
		}
	}
	return aim
}

// timeLeft is what a batch with a deadline has left until the next of the
// times that the users aim at, with its tasks started now and running for half
// of what their owner says, as estimates are often wrong by half. Infinite: it
// has no deadline, or late: none of those times can be met any more.
func (r *term) timeLeft(j *ledger.Job) (left float64, late bool) {
	left = math.Inf(1)
	if j.Spec.Service || j.Spec.DeadlineS <= 0 {
		return left, false
	}
	end := float64(r.c.wall-j.Submitted)/1000 + j.Spec.EstimateS/2
	late = true
	for _, times := range r.deadlines(j.Spec.Class) {
		if due := j.Spec.DeadlineS * times; end <= due {
			left, late = min(left, due-end), false
		}
	}
	return left, late
}

// deadlines are the multiples of a class's deadlines that the users aim at.
func (r *term) deadlines(class string) []float64 {
	out := []float64{1}
	for _, o := range r.c.cfg.Cluster.Objectives {
		if o.Kind == "deadline" && o.Class == class && o.Times > 0 {
			out = append(out, o.Times)
		}
	}
	return out
}

// writeCounters stores the attained service in a batch, for a successor.
func (r *term) writeCounters() {
	limit := r.c.cfg.ValueBytes() / (2 * ledger.EntryBytes)
	var batch []map[string]ledger.CounterRow
	for _, uid := range sortedKeys(r.Jobs) {
		j := r.Jobs[uid]
		if j.Spec.Service || j.Cancelling || !j.Stored {
			continue
		}
		if len(batch) == 0 || len(batch[len(batch)-1]) >= limit {
			batch = append(batch, map[string]ledger.CounterRow{})
		}
		s := j.Scale
		batch[len(batch)-1][uid] = ledger.CounterRow{Attained: s.Attained, Upper: s.Upper, Slots: s.Slots,
			DoneAt: s.DoneAt, AttainedAt: s.AttainedAt, First: s.First, Degr: s.Degr}
	}
	at := r.c.wall
	for i, jobs := range batch {
		rec := ledger.Counters{At: at, Jobs: jobs}
		r.mark(counterKey(i), writeCounters, func() any { return rec }, nil)
	}
	// Batches that are no longer needed.
	for i := len(batch); r.versions[counterKey(i)] != 0; i++ {
		r.mark(counterKey(i), writeCounters, func() any { return nil }, nil)
	}
}

func counterKey(i int) string { return ledger.CounterPrefix + strconv.Itoa(i) }

// overview logs how the fleet stands, for those who follow an incident.
func (r *term) overview() {
	up, booting, idle := 0, 0, 0
	for _, m := range r.Machines {
		switch {
		case m.Returning:
		case !m.Up:
			booting++
		case len(m.Attempts) == 0:
			idle++
		default:
			up++
		}
	}
	// By type and kind: machines that are up, and how much of them is used.
	type load struct {
		n    int
		used float64
	}
	kinds := map[string]*load{}
	for _, m := range r.Machines {
		if !m.Up || m.Returning {
			continue
		}
		name := m.Type
		if m.Spot {
			name += "/spot"
		}
		if kinds[name] == nil {
			kinds[name] = &load{}
		}
		kinds[name].n++
		if m.Size.Accel > 0 {
			kinds[name].used += m.Used.Accel / m.Size.Accel
		} else if m.Size.Cores > 0 {
			kinds[name].used += m.Used.Cores / m.Size.Cores
		}
	}
	waiting, held := map[string]int{}, map[string]int{}
	for _, j := range r.Jobs {
		if j.Stored && !j.Cancelling {
			waiting[j.Spec.Class] += j.Spec.Tasks - j.Done - j.HeldTotal
			held[j.Spec.Class] += j.HeldTotal
		}
	}
	args := []any{"txns", r.took.TotalCount(), "txn_p99_ms", r.took.ValueAtQuantile(99), "jobs", len(r.Jobs), "busy", up, "idle", idle, "booting", booting, "renting", len(r.renting)}
	for _, class := range sortedKeys(waiting) {
		args = append(args, class, strconv.Itoa(held[class])+"+"+strconv.Itoa(waiting[class]))
	}
	for _, name := range sortedKeys(kinds) {
		args = append(args, name, strconv.FormatFloat(kinds[name].used, 'f', 1, 64)+"/"+strconv.Itoa(kinds[name].n))
	}
	for _, name := range sortedKeys(r.Teams) {
		t := r.Teams[name]
		if t.Used.Cores > 0 {
			args = append(args, name, strconv.FormatFloat(t.Used.Cores, 'f', 0, 64)+"c/"+strconv.FormatFloat(t.Used.Accel, 'f', 0, 64)+"a")
		}
	}
	r.c.log.Info("fleet", args...)
	r.took.Reset()
}
