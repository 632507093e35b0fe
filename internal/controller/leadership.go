package controller

import (
	"fmt"
	"strings"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/completionjournal"
	"claybarrow/internal/featuregate"
	"claybarrow/internal/machinepool"
	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
	"claybarrow/internal/statestore"
)

// leadership is all that a leader knows and does from its election to its end. It
// is dropped whole: nothing of it outlives the leadership.
type leadership struct {
	controller *Controller
	token      uint64
	leaseID    uint64
	// store are written to the state service, each under the leader key's version.
	store *statestore.Writer
	// storedRecord is the leader record as it is stored, gate decides on its form.
	storedRecord leaderRecord
	gate         *featuregate.Gate
	gateLogged   gateLog
	completions  *completionRecorder

	leaseConfirmedAt time.Duration // sending of the last confirmed renewal
	renewLeaseAt     time.Duration
	renewalInFlight  bool
	coasting         bool
	electedAt        time.Duration // when the election was won
	ended            bool          // the leadership is over
	ready            bool          // the ledger is read
	leaseOnlyReplyAt time.Duration // when a worker was last answered without commands
	// verifyingLeaseUntil: after a standstill, see suspended.
	verifyingLeaseUntil time.Duration

	state        *clusterstate.State
	userRequests *userRequests

	attemptNumbers *attemptNumbers
	callLimiter    callLimiter
	timers         []timer

	reach *reachability

	// What the scheduler keeps.
	cache        *schedulerCache
	fillPending  bool
	fillAt       time.Duration
	planAt       time.Duration
	summaryAt    time.Duration
	roundAt      time.Duration
	accrueAt     time.Duration
	drainAt      time.Duration
	countersAt   time.Duration
	arrivals     map[string]*arrivalHistory
	reservations map[string]reservation // by machine
	// searchedJobs are the jobs that bounded rounds could stop nothing for, see sched.Snapshot.Stops.
	searchedJobs map[string]bool

	// peers are the other controllers, partitioned the zones that are cut off.
	peers         map[string]*peer
	partitioned   map[string]time.Duration
	reconnectedAt map[string]time.Duration // when a zone was last found to be so no longer

	// failover is what is noted of the take-over until its end, ahead the records that were read
	// before the election.
	failover *Failover
	preload  *recordPreload
	// loadCapacity is the capacity while counters are loaded, see loadedCapacity.
	loadCapacity *scheduler.Need

	// orphanedCompletions are records of completions whose job is over: an earlier leader, or a
	// version that does not know them, has left them.
	orphanedCompletions []string

	// pool deals with the cloud; what it says of shortages and late boots is logged once.
	pool        *machinepool.Pool
	shortPools  map[scheduler.Pool]*condition
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
func loadOrder(form featuregate.StorageVersion) []string {
	order := []string{clusterstate.JobPrefix, clusterstate.CompletionPrefix, clusterstate.CompletionPartPrefix, clusterstate.MachinePrefix}
	if form >= completionJournalVersion {
		order = append(order, completionjournal.Prefix)
	}
	return append(order, clusterstate.CounterPrefix)
}

func newLeadership(c *Controller, elected *leaderRecord, version uint64, confirmed time.Duration) *leadership {
	token := elected.Token
	l := &leadership{controller: c, token: token, leaseID: elected.LeaseID, storedRecord: *elected, leaseConfirmedAt: confirmed, electedAt: c.env.now,
		renewLeaseAt:   c.env.now + c.env.cfg.LeaderTTL()/8,
		state:          clusterstate.New(c.env.cfg.LayoutBytes(), c.env.cfg.ValueBytes()),
		arrivals:       map[string]*arrivalHistory{},
		reservations:   map[string]reservation{},
		callLimiter:    newCallLimiter(c.env.cfg.Cluster.Resources),
		searchedJobs:   map[string]bool{},
		peers:          map[string]*peer{},
		reconnectedAt:  map[string]time.Duration{},
		roundAt:        c.env.now + seconds(c.env.cfg.Operator.Green.RoundS),
		fillAt:         c.env.now + seconds(c.env.cfg.Operator.Green.FillS),
		countersAt:     c.env.now + seconds(c.env.cfg.Operator.Green.CountersS),
		accrueAt:       c.env.now,
		shortPools:     map[scheduler.Pool]*condition{},
		assignments:    newAssignments(c),
		attemptNumbers: &attemptNumbers{block: token},
		reach: &reachability{},
		failover:       &Failover{Token: token, Elected: c.env.now},
	}
	l.store = l.newStore(version)
	l.gate = l.newGate()
	l.completions = l.newCompletionRecorder()
	l.userRequests = newUserRequests(l)
	l.pool = l.newPool()
	for _, t := range c.env.cfg.Cluster.Teams {
		l.state.Quotas[t.Name] = &scheduler.Quota{
			Guaranteed: scheduler.Need{Cores: t.Cores, Accel: t.Accelerators},
			Maximum:    scheduler.Need{Cores: t.CoresMax, Accel: t.AccelMax}}
	}
	l.cache = newSchedulerCache(l)
	for _, s := range c.env.cfg.Siblings {
		l.peers[s.Label] = &peer{zone: s.Zone}
	}
	return l
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (l *leadership) runAt(at time.Duration, do func()) { l.timers = append(l.timers, timer{at, do}) }

func (l *leadership) loadRecord(it protocol.Item) error {
	switch {
	case strings.HasPrefix(it.Key, clusterstate.JobPrefix):
		var rec clusterstate.JobRecord
		if err := protocol.Decode(it.Value, &rec); err != nil {
			return err
		}
		uid := strings.TrimPrefix(it.Key, clusterstate.JobPrefix)
		switch rec.State {
		case protocol.Done:
			l.state.Terminal[uid] = clusterstate.TerminalState{Tasks: rec.Tasks}
		case protocol.Cancelled:
			l.state.Terminal[uid] = clusterstate.TerminalState{Cancelled: true}
		default:
			if rec.Spec == nil {
				return fmt.Errorf("state %q without a job", rec.State)
			}
			j := l.state.AddJob(rec.Spec, rec.Submitted)
			j.Stored, j.Cancelling = true, rec.State == clusterstate.Cancelling
			l.recordArrival(j)
		}
	case strings.HasPrefix(it.Key, clusterstate.CompletionPrefix), strings.HasPrefix(it.Key, clusterstate.CompletionPartPrefix):
		var rec clusterstate.CompletionRecord
		if err := protocol.Decode(it.Value, &rec); err != nil {
			return err
		}
		known, err := l.state.LoadCompletions(it.Key, rec)
		if !known {
			l.orphanedCompletions = append(l.orphanedCompletions, it.Key)
		}
		return err
	case strings.HasPrefix(it.Key, clusterstate.MachinePrefix):
		var rec clusterstate.MachineRecord
		if err := protocol.Decode(it.Value, &rec); err != nil {
			return err
		}
		l.loadMachine(strings.TrimPrefix(it.Key, clusterstate.MachinePrefix), rec)
	case isJournalKey(it.Key):
		return l.completions.load(it)
	case strings.HasPrefix(it.Key, clusterstate.CounterPrefix):
		var rec clusterstate.Counters
		if err := protocol.Decode(it.Value, &rec); err != nil {
			return err
		}
		l.loadCounters(rec)
	}
	return nil
}

func (l *leadership) loadMachine(id string, rec clusterstate.MachineRecord) {
	m := l.state.AddMachine(id)
	m.Type, m.Zone, m.Spot, m.Addr = rec.Type, rec.Zone, rec.Spot, rec.Addr
	m.Recorded = true
	m.Releasing, m.ReleaseStored = rec.Return, rec.Return
	m.ExistedAt, m.LaunchedAt = l.controller.env.now, l.controller.env.now
	for _, e := range rec.Attempts {
		j := l.state.Jobs[e.Job]
		if j == nil {
			continue // over: all its attempts have been proved gone
		}
		if e.Index >= j.Spec.Tasks || e.Index < 0 {
			continue
		}
		a := l.state.AddAttempt(m, j, e.Index, e.Number, l.controller.env.now)
		a.Durable, a.Loaded, a.Sent = true, true, true
		l.noteImageUse(m, j)
		m.Up = true
	}
}

// loadCounters takes the stored counters and tops them up by their own age: a
// job that held its slots meanwhile must not look younger than it is and set
// off stops.
func (l *leadership) loadCounters(rec clusterstate.Counters) {
	age := max(0, float64(l.controller.env.wall-rec.At)/1000)
	whole := l.loadedCapacity()
	for uid, row := range rec.Jobs {
		j := l.state.Jobs[uid]
		if j == nil || j.Cancelling {
			continue
		}
		j.Scale = scheduler.Scale{Upper: row.Upper, Slots: max(1, row.Slots), Attained: row.Attained,
			DoneAt: row.DoneAt, AttainedAt: row.AttainedAt, First: row.First, Degr: row.Degr}
		if j.Scale.Degr <= 0 {
			j.Scale.Degr = 1
		}
		j.Scale.Attained += age * float64(j.ActiveAttempts) * scheduler.Share(j.Need, whole)
	}
}

// loadedCapacity is the capacity by the machines' records, which are loaded before the counters. It is worked
// out once: going through the fleet for each job took a new leader of 3,600 machines and 1,700 jobs two
// seconds of half a core in one go, longer than its lease, and so on for each leader after it.
func (l *leadership) loadedCapacity() scheduler.Need {
	if l.loadCapacity == nil {
		whole := l.readyCapacity()
		l.loadCapacity = &whole
	}
	return *l.loadCapacity
}

// onStateLoaded starts the work of a leader once the ledger is read.
func (l *leadership) onStateLoaded() {
	l.ready, l.loadCapacity = true, nil
	for _, uid := range sortedKeys(l.state.Jobs) {
		j := l.state.Jobs[uid]
		switch {
		case j.Done == j.Spec.Tasks:
			l.completeJob(j)
		case j.Gang != nil && j.Done > 0:
			l.completeGang(j) // an older version has stored that one task is done, so all are
		default:
			l.verifyGang(j)
		}
		l.completeCancellation(j)
	}
	newest := l.newestAttempts()
	for _, m := range l.sortedMachines() {
		m.Size = l.machineSize(m.Type)
		for _, a := range m.Sorted() {
			if a.Job.IsDone(a.Index) || a.Job.Cancelling || a.Number < newest[taskRef{a.Job, a.Index}] {
				l.requestStop(a, 0, "not wanted after the take-over")
			}
		}
	}
	for _, key := range l.orphanedCompletions {
		l.store.Mark(key, statestore.Lazy, func() any { return nil }, nil)
	}
	l.orphanedCompletions = nil
	l.completions.logLoaded()
	l.controller.env.log.Info("ledger read", "token", l.token, "jobs", len(l.state.Jobs), "terminal", len(l.state.Terminal), "machines", len(l.state.Machines))
	l.fillPending = true
	l.noteStateLoaded()
}

// taskRef is a task that attempts may be there of.
type taskRef struct {
	job   *clusterstate.Job
	index int
}

// newestAttempts are the latest attempts of the tasks that the ledger has several of. Records of machines
// are written lazily when a task leaves, so that after a take-over there may be thousands.
func (l *leadership) newestAttempts() map[taskRef]uint64 {
	newest := map[taskRef]uint64{}
	for _, m := range l.state.Machines {
		for _, a := range m.Attempts {
			if a.Job.AttemptsOf(a.Index) > 1 {
				task := taskRef{a.Job, a.Index}
				newest[task] = max(newest[task], a.Number)
			}
		}
	}
	return newest
}

func (l *leadership) tick() {
	l.renewLeaderLease()
	if l.ended {
		return
	}
	due := l.timers
	l.timers = nil
	l.timers = append(runDue(due, l.controller.env.now), l.timers...)
	if !l.ready || l.verifiesLease() {
		return
	}
	l.watchMachines()
	if l.cannotReachWorkers() {
		l.stepDown()
		return
	}
	l.expireFailover()
	l.tickFeatureGate()
	l.completions.tick()
	l.reserveAttempts()
	l.pool.Tick()
	l.runScheduling()
}

// afterEvent runs after every message: what piled up leaves.
func (l *leadership) afterEvent() {
	if l.ended || !l.ready || l.verifiesLease() {
		return
	}
	// What is decided while a transaction is under way could only leave with the
	// next one: a burst of arrivals is filled at once, not one by one.
	if l.fillPending && !l.store.Busy() {
		l.runFill()
	}
	l.flush()
}

func (l *leadership) machineSize(typ string) scheduler.Need {
	if t, ok := l.controller.catalog.typeInfo[typ]; ok {
		return scheduler.Need{Cores: t.Cores, Accel: t.Accelerators, Mem: t.MemoryGB}
	}
	return scheduler.Need{}
}
