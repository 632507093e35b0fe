package coordination

import (
	"fmt"
	"strings"
	"time"

	"claybarrow/internal/endjournal"
	"claybarrow/internal/featuregate"
	"claybarrow/internal/ledger"
	"claybarrow/internal/machinepool"
	"claybarrow/internal/protocol"
	"claybarrow/internal/sched"
	"claybarrow/internal/statestore"
)

// term is all that a leader knows and does from its election to its end. It
// is dropped whole: nothing of it outlives the leadership.
type term struct {
	c     *Core
	token uint64
	lease uint64
	// records are written to the state service, each under the leader key's version.
	records *statestore.Writer
	// stored is the leader record as it is stored, gate decides on its form.
	stored   leaderRecord
	gate     *featuregate.Gate
	gateSeen gateLog
	ends     endRecorder

	confirmed time.Duration // sending of the last confirmed renewal
	renewAt   time.Duration
	renewing  bool
	coasting  bool
	since     time.Duration // when the election was won
	ready     bool          // the ledger is read
	renewed   time.Duration // when a worker was last answered without commands
	// suspendedUntil: after a standstill, see suspended.
	suspendedUntil time.Duration

	*ledger.Ledger
	users userRequests

	attempts attemptNumbers
	calls    callLimiter
	timers   []timer

	reach

	// What the scheduler keeps.
	standing   *standing
	fillDirty  bool
	fillAt     time.Duration
	planAt     time.Duration
	overviewAt time.Duration
	roundAt    time.Duration
	accrueAt   time.Duration
	drainAt    time.Duration
	countersAt time.Duration
	arrivals   map[string]*arrivals
	claims     map[string]claim // by machine
	// searched are the jobs that bounded rounds could stop nothing for, see sched.Snapshot.Stops.
	searched map[string]bool

	// peers are the other controllers, partitioned the zones that are cut off.
	peers       map[string]*peer
	partitioned map[string]time.Duration
	healedAt    map[string]time.Duration // when a zone was last found to be so no longer

	// handover is what is noted of the take-over until its end, ahead the records that were read
	// before the election.
	handover *Handover
	ahead    *readAhead
	// loaded is the capacity while counters are loaded, see loadedCapacity.
	loaded *sched.Need

	// orphans are records of completions whose job is over: an earlier leader, or a
	// version that does not know them, has left them.
	orphans []string

	// pool deals with the cloud; what it says of shortages and late boots is logged once.
	pool        *machinepool.Pool
	shortPools  map[sched.Pool]*condition
	lateBoots   condition
	assignments assignments
}

type timer struct {
	at time.Duration
	do func()
}

// runDue runs what is due, and returns what is not.
func runDue(timers []timer, now time.Duration) []timer {
	var left []timer
	for _, t := range timers {
		if t.at <= now {
			t.do()
		} else {
			left = append(left, t)
		}
	}
	return left
}

// loadOrder are the prefixes of a leader's records in the order in which they are read. The journal
// of ends changes what jobs and machines hold; it is only there while the feature gate is not closed.
func loadOrder(form featuregate.Form) []string {
	order := []string{ledger.JobPrefix, ledger.DonePrefix, ledger.PartPrefix, ledger.MachinePrefix}
	if form >= endsForm {
		order = append(order, endjournal.Prefix)
	}
	return append(order, ledger.CounterPrefix)
}

func newTerm(c *Core, elected *leaderRecord, version uint64, confirmed time.Duration) *term {
	token := elected.Token
	r := &term{c: c, token: token, lease: elected.Lease, stored: *elected, confirmed: confirmed, since: c.now,
		renewAt:     c.now + c.cfg.LeaderTTL()/8,
		Ledger:      ledger.New(c.cfg.LayoutBytes(), c.cfg.ValueBytes()),
		arrivals:    map[string]*arrivals{},
		claims:      map[string]claim{},
		calls:       newCallLimiter(c.cfg.Cluster.Resources),
		searched:    map[string]bool{},
		peers:       map[string]*peer{},
		healedAt:    map[string]time.Duration{},
		roundAt:     c.now + seconds(c.cfg.Operator.Green.RoundS),
		fillAt:      c.now + seconds(c.cfg.Operator.Green.FillS),
		countersAt:  c.now + seconds(c.cfg.Operator.Green.CountersS),
		accrueAt:    c.now,
		shortPools:  map[sched.Pool]*condition{},
		assignments: newAssignments(c),
		attempts:    attemptNumbers{block: token},
		handover:    &Handover{Token: token, Elected: c.now},
	}
	r.records = r.newRecords(version)
	r.gate = r.newGate()
	r.ends = r.newEndRecorder()
	r.users = newUserRequests(r)
	r.pool = r.newPool()
	for _, t := range c.cfg.Cluster.Teams {
		r.Teams[t.Name] = &sched.Team{
			Guarantee: sched.Need{Cores: t.Cores, Accel: t.Accelerators},
			Limit:     sched.Need{Cores: t.CoresMax, Accel: t.AccelMax}}
	}
	r.standing = newStanding(r)
	for _, s := range c.cfg.Siblings {
		r.peers[s.Label] = &peer{zone: s.Zone}
	}
	return r
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (r *term) later(at time.Duration, do func()) { r.timers = append(r.timers, timer{at, do}) }

func (r *term) loadItem(it protocol.Item) error {
	switch {
	case strings.HasPrefix(it.Key, ledger.JobPrefix):
		var rec ledger.JobRecord
		if err := protocol.Decode(it.Value, &rec); err != nil {
			return err
		}
		uid := strings.TrimPrefix(it.Key, ledger.JobPrefix)
		switch rec.State {
		case protocol.Done:
			r.Terminal[uid] = ledger.TerminalState{Tasks: rec.Tasks}
		case protocol.Cancelled:
			r.Terminal[uid] = ledger.TerminalState{Cancelled: true}
		default:
			if rec.Spec == nil {
				return fmt.Errorf("state %q without a job", rec.State)
			}
			j := r.AddJob(rec.Spec, rec.Submitted)
			j.Stored, j.Cancelling = true, rec.State == ledger.Cancelling
			r.noteArrival(j)
		}
	case strings.HasPrefix(it.Key, ledger.DonePrefix), strings.HasPrefix(it.Key, ledger.PartPrefix):
		var rec ledger.DoneRecord
		if err := protocol.Decode(it.Value, &rec); err != nil {
			return err
		}
		known, err := r.LoadDone(it.Key, rec)
		if !known {
			r.orphans = append(r.orphans, it.Key)
		}
		return err
	case strings.HasPrefix(it.Key, ledger.MachinePrefix):
		var rec ledger.MachineRecord
		if err := protocol.Decode(it.Value, &rec); err != nil {
			return err
		}
		r.loadMachine(strings.TrimPrefix(it.Key, ledger.MachinePrefix), rec)
	case isJournalKey(it.Key):
		return r.ends.load(it)
	case strings.HasPrefix(it.Key, ledger.CounterPrefix):
		var rec ledger.Counters
		if err := protocol.Decode(it.Value, &rec); err != nil {
			return err
		}
		r.loadCounters(rec)
	}
	return nil
}

func (r *term) loadMachine(id string, rec ledger.MachineRecord) {
	m := r.AddMachine(id)
	m.Type, m.Zone, m.Spot, m.Addr = rec.Type, rec.Zone, rec.Spot, rec.Addr
	m.Recorded = true
	m.Returning, m.Returned = rec.Return, rec.Return
	m.Exists, m.Rented = r.c.now, r.c.now
	for _, e := range rec.Attempts {
		j := r.Jobs[e.Job]
		if j == nil {
			continue // over: all its attempts have been proved gone
		}
		if e.Index >= j.Spec.Tasks || e.Index < 0 {
			continue
		}
		a := r.Put(m, j, e.Index, e.Try, r.c.now)
		a.Durable, a.Loaded, a.Sent = true, true, true
		r.useImage(m, j)
		m.Up = true
	}
}

// loadCounters takes the stored counters and tops them up by their own age: a
// job that held its slots meanwhile must not look younger than it is and set
// off stops.
func (r *term) loadCounters(rec ledger.Counters) {
	age := max(0, float64(r.c.wall-rec.At)/1000)
	whole := r.loadedCapacity()
	for uid, row := range rec.Jobs {
		j := r.Jobs[uid]
		if j == nil || j.Cancelling {
			continue
		}
		j.Scale = sched.Scale{Upper: row.Upper, Slots: max(1, row.Slots), Attained: row.Attained,
			DoneAt: row.DoneAt, AttainedAt: row.AttainedAt, First: row.First, Degr: row.Degr}
		if j.Scale.Degr <= 0 {
			j.Scale.Degr = 1
		}
		j.Scale.Attained += age * float64(j.HeldTotal) * sched.Share(j.Need, whole)
	}
}

// loadedCapacity is the capacity by the machines' records, which are loaded before the counters. It is worked
// out once: going through the fleet for each job took a new leader of 3,600 machines and 1,700 jobs two
// seconds of half a core in one go, longer than its lease, and so on for each leader after it.
func (r *term) loadedCapacity() sched.Need {
	if r.loaded == nil {
		whole := r.capacity()
		r.loaded = &whole
	}
	return *r.loaded
}

// begin starts the work of a leader once the ledger is read.
func (r *term) begin() {
	c := r.c
	r.ready, r.loaded = true, nil
	for _, uid := range sortedKeys(r.Jobs) {
		j := r.Jobs[uid]
		switch {
		case j.Done == j.Spec.Tasks:
			r.finish(j)
		case j.Gang != nil && j.Done > 0:
			r.finishGang(j) // an older version has stored that one task is done, so all are
		default:
			r.keepCompleteGang(j)
		}
		r.settleCancel(j)
	}
	newest := r.newestTries()
	for _, m := range r.machines() {
		m.Size = r.sizeOf(m.Type)
		for _, a := range m.Sorted() {
			if a.Job.IsDone(a.Index) || a.Job.Cancelling || a.Try < newest[heldTask{a.Job, a.Index}] {
				r.halt(a, 0, "not wanted after the take-over")
			}
		}
	}
	for _, key := range r.orphans {
		r.records.Mark(key, statestore.Lazy, func() any { return nil }, nil)
	}
	r.orphans = nil
	r.ends.loaded()
	c.log.Info("ledger read", "token", r.token, "jobs", len(r.Jobs), "terminal", len(r.Terminal), "machines", len(r.Machines))
	r.fillDirty = true
	r.noteLoaded()
}

// heldTask is a task that attempts may be there of.
type heldTask struct {
	job   *ledger.Job
	index int
}

// newestTries are the latest attempts of the tasks that the ledger has several of. Records of machines
// are written lazily when a task leaves, so that after a take-over there may be thousands.
func (r *term) newestTries() map[heldTask]uint64 {
	newest := map[heldTask]uint64{}
	for _, m := range r.Machines {
		for _, a := range m.Attempts {
			if a.Job.HeldOf(a.Index) > 1 {
				task := heldTask{a.Job, a.Index}
				newest[task] = max(newest[task], a.Try)
			}
		}
	}
	return newest
}

func (r *term) tick() {
	c := r.c
	r.keepLease()
	if c.term != r {
		return
	}
	due := r.timers
	r.timers = nil
	r.timers = append(runDue(due, c.now), r.timers...)
	if !r.ready || r.suspended() {
		return
	}
	r.watchMachines()
	if r.outOfReach() {
		r.stepDown()
		return
	}
	r.keepHandover()
	r.keepGate()
	r.ends.tick()
	r.reserveAttempts()
	r.pool.Tick()
	r.schedule()
}

// settle runs after every message: what piled up leaves.
func (r *term) settle() {
	if r.c.term != r || !r.ready || r.suspended() {
		return
	}
	// What is decided while a transaction is under way could only leave with the
	// next one: a burst of arrivals is filled at once, not one by one.
	if r.fillDirty && !r.records.Busy() {
		r.fill()
	}
	r.flush()
}

func (r *term) sizeOf(typ string) sched.Need {
	if t, ok := r.c.typeInfo[typ]; ok {
		return sched.Need{Cores: t.Cores, Accel: t.Accelerators, Mem: t.MemoryGB}
	}
	return sched.Need{}
}
