package controller

import (
	"fmt"
	"net/url"
	"strings"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/completionjournal"
	"claybarrow/internal/featuregate"
	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
	"claybarrow/internal/statestore"
)

// stateLoader reads all stored records after the election was won: whatever earlier leaders wrote is there
// by then, and nothing of theirs can be added any more.
type stateLoader struct {
	attempts    *attemptTracker
	completions *completionRecorder
	env         *environment
	forecast    *demandForecast
	gating      *gateKeeper
	jobs        *jobCompletion
	lease       *leaderLease
	machines    *machineRegistry
	outbox      *outbox
	placement   *taskScheduler
	state       *clusterstate.State
	store       *statestore.Writer
	timers      *timerQueue
	trace       *failoverTrace
	views       *schedulerViews

	ready   bool // the ledger is read
	preload *recordPreload
	// loadCapacity is the capacity while counters are loaded, see loadedCapacity.
	loadCapacity *scheduler.Need
	// orphanedCompletions are records of completions whose job is over: an earlier leader, or a
	// version that does not know them, has left them.
	orphanedCompletions []string
}

// loadState reads the whole ledger after the election was won: whatever earlier leaders
// wrote is there by now, and nothing of theirs can be added any more.
func (s *stateLoader) loadState() {
	s.loadPage(0, "")
}

func (s *stateLoader) loadPage(step int, after string) {
	order := loadOrder(s.gating.storedRecord.storageVersion())
	if step == len(order) {
		s.onStateLoaded()
		return
	}
	if ahead := s.preload.recordsUnder(order[step]); ahead != nil && after == "" {
		s.loadPreloaded(step, order[step], ahead)
		return
	}
	s.outbox.stateCall("GET", listPath(order[step], after), nil, s.env.cfg.LeaderTTL(), func(res Result) {
		if s.lease.ended {
			return
		}
		var items protocol.Items
		if res.Status != 200 || protocol.Decode(res.Body, &items) != nil {
			s.timers.runAt(s.env.now+s.env.retryPause(), func() { s.loadPage(step, after) })
			return
		}
		s.loadRecords(items.Items)
		if items.More && len(items.Items) > 0 {
			s.loadPage(step, items.Items[len(items.Items)-1].Key)
			return
		}
		s.loadPage(step+1, "")
	})
}

// listPath is the path of the page of records after a key.
func listPath(prefix, after string) string {
	path := "/store?under=" + prefix + "&limit=1000"
	if after != "" {
		path += "&after=" + url.QueryEscape(after)
	}
	return path
}

// loadRecords takes records that were read.
func (s *stateLoader) loadRecords(items []protocol.Item) {
	for _, it := range items {
		s.store.Loaded(it.Key, it.Version)
		if err := s.loadRecord(it); err != nil {
			s.env.log.Error("stored record is unreadable", "key", it.Key, "err", err)
		}
	}
}

// loadPreloaded loads a step from what was read ahead and all that has changed since. It is asked
// for after the election, when nothing of earlier leaders can be added any more.
func (s *stateLoader) loadPreloaded(number int, prefix string, step *preloadedPrefix) {
	path := fmt.Sprintf("/follow?under=%s&after=%d&blockMs=0", prefix, step.revision)
	s.outbox.stateCall("GET", path, nil, s.env.cfg.LeaderTTL(), func(res Result) {
		if s.lease.ended {
			return
		}
		var events protocol.Events
		if res.Status != 200 || protocol.Decode(res.Body, &events) != nil {
			s.preload = nil // too much has changed, say: all is read anew
			s.loadPage(number, "")
			return
		}
		items := step.catchUp(events.Events)
		s.trace.failover.Preloaded += len(step.items)
		s.loadRecords(items)
		s.loadPage(number+1, "")
	})
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

func (s *stateLoader) loadRecord(it protocol.Item) error {
	switch {
	case strings.HasPrefix(it.Key, clusterstate.JobPrefix):
		var rec clusterstate.JobRecord
		if err := protocol.Decode(it.Value, &rec); err != nil {
			return err
		}
		uid := strings.TrimPrefix(it.Key, clusterstate.JobPrefix)
		switch rec.State {
		case protocol.Done:
			s.state.Terminal[uid] = clusterstate.TerminalState{Tasks: rec.Tasks}
		case protocol.Cancelled:
			s.state.Terminal[uid] = clusterstate.TerminalState{Cancelled: true}
		default:
			if rec.Spec == nil {
				return fmt.Errorf("state %q without a job", rec.State)
			}
			j := s.state.AddJob(rec.Spec, rec.Submitted)
			j.Stored, j.Cancelling = true, rec.State == clusterstate.Cancelling
			s.forecast.recordArrival(j)
		}
	case strings.HasPrefix(it.Key, clusterstate.CompletionPrefix), strings.HasPrefix(it.Key, clusterstate.CompletionPartPrefix):
		var rec clusterstate.CompletionRecord
		if err := protocol.Decode(it.Value, &rec); err != nil {
			return err
		}
		known, err := s.state.LoadCompletions(it.Key, rec)
		if !known {
			s.orphanedCompletions = append(s.orphanedCompletions, it.Key)
		}
		return err
	case strings.HasPrefix(it.Key, clusterstate.MachinePrefix):
		var rec clusterstate.MachineRecord
		if err := protocol.Decode(it.Value, &rec); err != nil {
			return err
		}
		s.loadMachine(strings.TrimPrefix(it.Key, clusterstate.MachinePrefix), rec)
	case isJournalKey(it.Key):
		return s.completions.load(it)
	case strings.HasPrefix(it.Key, clusterstate.CounterPrefix):
		var rec clusterstate.Counters
		if err := protocol.Decode(it.Value, &rec); err != nil {
			return err
		}
		s.loadCounters(rec)
	}
	return nil
}

func (s *stateLoader) loadMachine(id string, rec clusterstate.MachineRecord) {
	m := s.state.AddMachine(id)
	m.Type, m.Zone, m.Spot, m.Addr = rec.Type, rec.Zone, rec.Spot, rec.Addr
	m.Recorded = true
	m.Releasing, m.ReleaseStored = rec.Return, rec.Return
	m.ExistedAt, m.LaunchedAt = s.env.now, s.env.now
	for _, e := range rec.Attempts {
		j := s.state.Jobs[e.Job]
		if j == nil {
			continue // over: all its attempts have been proved gone
		}
		if e.Index >= j.Spec.Tasks || e.Index < 0 {
			continue
		}
		a := s.state.AddAttempt(m, j, e.Index, e.Try, s.env.now)
		a.Durable, a.Loaded, a.Sent = true, true, true
		s.machines.noteImageUse(m, j)
		m.Up = true
	}
}

// loadCounters takes the stored counters and tops them up by their own age: a
// job that held its slots meanwhile must not look younger than it is and set
// off stops.
func (s *stateLoader) loadCounters(rec clusterstate.Counters) {
	age := max(0, float64(s.env.wall-rec.At)/1000)
	whole := s.loadedCapacity()
	for uid, row := range rec.Jobs {
		j := s.state.Jobs[uid]
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
func (s *stateLoader) loadedCapacity() scheduler.Need {
	if s.loadCapacity == nil {
		whole := s.views.readyCapacity()
		s.loadCapacity = &whole
	}
	return *s.loadCapacity
}

// onStateLoaded starts the work of a leader once the ledger is read.
func (s *stateLoader) onStateLoaded() {
	s.ready, s.loadCapacity = true, nil
	for _, uid := range sortedKeys(s.state.Jobs) {
		j := s.state.Jobs[uid]
		switch {
		case j.Done == j.Spec.Tasks:
			s.jobs.completeJob(j)
		case j.Gang != nil && j.Done > 0:
			s.attempts.completeGang(j) // an older version has stored that one task is done, so all are
		default:
			s.attempts.verifyGang(j)
		}
		s.jobs.completeCancellation(j)
	}
	newest := s.newestAttempts()
	for _, m := range s.machines.sortedMachines() {
		m.Size = s.machines.machineSize(m.Type)
		for _, a := range m.Sorted() {
			if a.Job.IsDone(a.Index) || a.Job.Cancelling || a.Number < newest[taskRef{a.Job, a.Index}] {
				s.attempts.requestStop(a, 0, stopUnwantedOnLoad)
			}
		}
	}
	for _, key := range s.orphanedCompletions {
		s.store.Mark(key, statestore.Lazy, func() any { return nil }, nil)
	}
	s.orphanedCompletions = nil
	s.completions.logLoaded()
	s.env.log.Info("cluster state loaded", "token", s.lease.token, "jobs", len(s.state.Jobs), "terminal_jobs", len(s.state.Terminal), "machines", len(s.state.Machines))
	s.placement.fillPending = true
	s.trace.noteStateLoaded()
}

// taskRef is a task that attempts may be there of.
type taskRef struct {
	job   *clusterstate.Job
	index int
}

// newestAttempts are the latest attempts of the tasks that the ledger has several of. Records of machines
// are written lazily when a task leaves, so that after a take-over there may be thousands.
func (s *stateLoader) newestAttempts() map[taskRef]uint64 {
	newest := map[taskRef]uint64{}
	for _, m := range s.state.Machines {
		for _, a := range m.Attempts {
			if a.Job.AttemptsOf(a.Index) > 1 {
				task := taskRef{a.Job, a.Index}
				newest[task] = max(newest[task], a.Number)
			}
		}
	}
	return newest
}
