package controller

import (
	"fmt"
	"strings"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/completionjournal"
	"claybarrow/internal/featuregate"
	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
	"claybarrow/internal/stateclient"
	"claybarrow/internal/statestore"
)

// stateLoader reads all stored records after the election was won: whatever earlier leaders wrote is stored by
// then, and they can write nothing more, as their writes are fenced.
//
// It owns the progress of the loading. Each leadership loads anew, apart from what was preloaded.
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

	ready   bool           // all records are loaded
	preload *recordPreload // what was read ahead of the election; nil: nothing
	// loadCapacity is the fleet's capacity while the counters are loaded (see loadedCapacity).
	loadCapacity *scheduler.Resources
	// orphanedCompletions are the keys of completion records whose job is over. An earlier leader has left
	// them, or a version of the program that does not know them.
	orphanedCompletions []string
}

// recordKind is the stored records under one prefix and how they are loaded.
type recordKind struct {
	prefix string
	// since is the storage version from which on such records exist.
	since featuregate.StorageVersion
	load  func(*stateLoader, protocol.KeyValue) error
}

// recordKinds are the kinds of a leader's records in the order in which they are loaded. Completions refer to
// jobs, machines to jobs and their completions. The completion journal changes what jobs and machines hold;
// it exists only while the feature gate is not closed. The counters need the capacity of the machines.
var recordKinds = []recordKind{
	{prefix: clusterstate.JobPrefix, load: decoded((*stateLoader).applyJob)},
	{prefix: clusterstate.CompletionPrefix, load: decoded((*stateLoader).applyCompletions)},
	{prefix: clusterstate.CompletionPartPrefix, load: decoded((*stateLoader).applyCompletions)},
	{prefix: clusterstate.MachinePrefix, load: decoded((*stateLoader).applyMachine)},
	{prefix: completionjournal.Prefix, since: completionJournalVersion, load: (*stateLoader).applyJournal},
	{prefix: clusterstate.CounterPrefix, load: decoded((*stateLoader).applyCounters)},
}

// decoded makes the loader of a kind from a function that applies a decoded record.
func decoded[Record any](apply func(s *stateLoader, key string, record Record) error) func(*stateLoader, protocol.KeyValue) error {
	return func(s *stateLoader, item protocol.KeyValue) error {
		var record Record
		if err := protocol.Decode(item.Value, &record); err != nil {
			return err
		}
		return apply(s, item.Key, record)
	}
}

// loadOrder returns the prefixes of a leader's records in the order in which they are loaded, for records of a
// storage version.
func loadOrder(version featuregate.StorageVersion) []string {
	var order []string
	for _, kind := range recordKinds {
		if version >= kind.since {
			order = append(order, kind.prefix)
		}
	}
	return order
}

// loadState loads all stored records, and begins the leader's work after the last.
func (s *stateLoader) loadState() {
	s.loadPage(0, "")
}

// loadPage loads the page of records after a key, and then all pages that follow. step counts the prefixes of
// loadOrder.
func (s *stateLoader) loadPage(step int, after string) {
	order := loadOrder(s.gating.storedRecord.storageVersion())
	if step == len(order) {
		s.onStateLoaded()
		return
	}
	prefix := order[step]
	if preloaded := s.preload.recordsUnder(prefix); preloaded != nil && after == "" {
		s.requestChanges(step, prefix, preloaded)
		return
	}
	s.requestPage(step, prefix, after)
}

// requestPage requests the page of records after a key.
func (s *stateLoader) requestPage(step int, prefix, after string) {
	s.outbox.state.List(prefix, after, recordsPerPage, s.env.cfg.LeaderLease(), func(page stateclient.Page, err error) {
		if !s.lease.ended {
			s.onPage(step, after, page, err)
		}
	})
}

// onPage loads the records of a page and requests the next. A request that failed is repeated after a pause.
func (s *stateLoader) onPage(step int, after string, page stateclient.Page, err error) {
	if err != nil {
		s.timers.runAt(s.env.now+s.env.retryPause(), func() { s.loadPage(step, after) })
		return
	}
	records := page.Items
	s.loadRecords(records)
	if page.More && len(records) > 0 {
		s.loadPage(step, records[len(records)-1].Key)
		return
	}
	s.loadPage(step+1, "")
}

// requestChanges requests what has changed under a preloaded prefix since it was read. It does so after the
// election, when earlier leaders can write nothing more.
func (s *stateLoader) requestChanges(step int, prefix string, preloaded *preloadedPrefix) {
	const doNotBlock = 0
	s.outbox.state.Watch(prefix, preloaded.revision, doNotBlock, s.env.cfg.LeaderLease(), func(events protocol.WatchReply, err error) {
		if !s.lease.ended {
			s.onChanges(step, preloaded, events, err)
		}
	})
}

// onChanges loads the preloaded records with their changes. Without a usable answer (too much may have changed
// for the state service to tell) the whole preload is dropped and all is read again.
func (s *stateLoader) onChanges(step int, preloaded *preloadedPrefix, events protocol.WatchReply, err error) {
	if err != nil {
		s.preload = nil
		s.loadPage(step, "")
		return
	}
	items := preloaded.catchUp(events.Events)
	s.trace.failover.Preloaded += len(preloaded.items)
	s.loadRecords(items)
	s.loadPage(step+1, "")
}

// loadRecords loads records. One that is unreadable is logged and left out: the others must not wait for it.
func (s *stateLoader) loadRecords(items []protocol.KeyValue) {
	for _, item := range items {
		s.store.SetVersion(item.Key, item.Version)
		if err := s.loadRecord(item); err != nil {
			s.env.log.Error("stored record is unreadable", "key", item.Key, "err", err)
		}
	}
}

// loadRecord loads a record by the kind that its key's prefix names. Others are ignored.
func (s *stateLoader) loadRecord(item protocol.KeyValue) error {
	for i := range recordKinds {
		if strings.HasPrefix(item.Key, recordKinds[i].prefix) {
			return recordKinds[i].load(s, item)
		}
	}
	return nil
}

// applyJob adds a job, or the final state of one that is over.
func (s *stateLoader) applyJob(key string, record clusterstate.JobRecord) error {
	uid := strings.TrimPrefix(key, clusterstate.JobPrefix)
	switch record.State {
	case protocol.JobDone:
		s.state.TerminalJobs[uid] = clusterstate.TerminalState{Tasks: record.Tasks}
	case protocol.JobCancelled:
		s.state.TerminalJobs[uid] = clusterstate.TerminalState{Cancelled: true}
	default:
		if record.Spec == nil {
			return fmt.Errorf("state %q without a job", record.State)
		}
		j := s.state.AddJob(record.Spec, record.Submitted)
		j.Stored, j.Cancelling = true, record.State == clusterstate.Cancelling
		s.forecast.recordArrival(j)
	}
	return nil
}

// applyCompletions marks tasks of a job as completed.
func (s *stateLoader) applyCompletions(key string, record clusterstate.CompletionRecord) error {
	known, err := s.state.LoadCompletions(key, record)
	if !known {
		s.orphanedCompletions = append(s.orphanedCompletions, key)
	}
	return err
}

// applyMachine adds a machine.
func (s *stateLoader) applyMachine(key string, record clusterstate.MachineRecord) error {
	s.loadMachine(strings.TrimPrefix(key, clusterstate.MachinePrefix), record)
	return nil
}

// loadMachine adds a machine and the attempts that were assigned to it.
func (s *stateLoader) loadMachine(id string, record clusterstate.MachineRecord) {
	m := s.state.AddMachine(id)
	m.Type, m.Zone, m.Spot, m.Addr = record.Type, record.Zone, record.Spot, record.Addr
	m.HasRecord = true
	m.Releasing, m.ReleaseStored = record.Return, record.Return
	m.KnownToExistAt, m.LaunchedAt = s.env.now, s.env.now
	for _, entry := range record.Attempts {
		j := s.state.Jobs[entry.Job]
		if j == nil {
			continue // the job is over: all its attempts were proved absent before
		}
		if entry.Index >= j.Spec.Tasks || entry.Index < 0 {
			continue
		}
		a := s.state.AddAttempt(m, j, entry.Index, entry.Try, s.env.now)
		a.Durable, a.Loaded, a.Sent = true, true, true
		s.machines.noteImageUse(m, j)
		m.EverReported = true
	}
}

// applyJournal applies a value of the completion journal.
func (s *stateLoader) applyJournal(item protocol.KeyValue) error {
	return s.completions.loadValue(item)
}

// applyCounters loads counters of attained service.
func (s *stateLoader) applyCounters(_ string, record clusterstate.Counters) error {
	s.loadCounters(record)
	return nil
}

// loadCounters loads the stored counters and adds the service that was attained since they were stored. Without
// that, a job that held its slots meanwhile would look younger than it is and have others preempted.
func (s *stateLoader) loadCounters(record clusterstate.Counters) {
	ageSeconds := max(0, float64(s.env.wall-record.At)/1000)
	capacity := s.loadedCapacity()
	for uid, row := range record.Jobs {
		j := s.state.Jobs[uid]
		if j == nil || j.Cancelling {
			continue
		}
		j.Scale = scheduler.ScaleUp{InUpperQueue: row.Upper, Slots: max(1, row.Slots), Attained: row.Attained,
			DoneAt: row.DoneAt, AttainedAt: row.AttainedAt, InitialEfficiency: row.First, Degradation: row.Degr}
		if j.Scale.Degradation <= 0 {
			j.Scale.Degradation = 1
		}
		j.Scale.Attained += ageSeconds * float64(j.ActiveAttempts) * scheduler.Share(j.Need, capacity)
	}
}

// loadedCapacity is the fleet's capacity by the records of the machines, which are loaded before the counters. It
// is computed once: going through the fleet for each job took a new leader of 3,600 machines and 1,700 jobs
// two seconds of half a core in one go, which is longer than its lease, and so on for each leader after it.
func (s *stateLoader) loadedCapacity() scheduler.Resources {
	if s.loadCapacity == nil {
		capacity := s.views.readyCapacity()
		s.loadCapacity = &capacity
	}
	return *s.loadCapacity
}

// onStateLoaded starts the leader's work once all records are loaded.
func (s *stateLoader) onStateLoaded() {
	s.ready, s.loadCapacity = true, nil
	s.reviewLoadedJobs()
	s.reviewLoadedAttempts()
	s.deleteOrphanedCompletions()
	s.completions.logLoaded()
	s.env.log.Info("cluster state loaded", "token", s.lease.token, "jobs", len(s.state.Jobs), "terminal_jobs", len(s.state.TerminalJobs), "machines", len(s.state.Machines))
	s.placement.fillPending = true
	s.trace.noteStateLoaded()
}

// reviewLoadedJobs completes what the former leader left incomplete: jobs whose tasks are all completed, gangs
// of which some attempts are missing, and cancellations.
func (s *stateLoader) reviewLoadedJobs() {
	for _, uid := range sortedKeys(s.state.Jobs) {
		j := s.state.Jobs[uid]
		switch {
		case j.CompletedTasks == j.Spec.Tasks:
			s.jobs.completeJob(j)
		case j.Gang != nil && j.CompletedTasks > 0:
			s.attempts.completeGang(j) // an older version has stored that one task is completed, so all are
		default:
			s.attempts.verifyGang(j)
		}
		s.jobs.completeCancellation(j)
	}
}

// reviewLoadedAttempts requests the stop of attempts that are not wanted any more: of completed tasks, of
// cancelled jobs, and those that a later attempt has replaced.
func (s *stateLoader) reviewLoadedAttempts() {
	newest := s.newestAttempts()
	for _, m := range s.machines.sortedMachines() {
		m.Size = s.machines.machineSize(m.Type)
		for _, a := range m.SortedAttempts() {
			if a.Job.IsDone(a.Index) || a.Job.Cancelling || a.Number < newest[taskRef{a.Job, a.Index}] {
				s.attempts.requestStop(a, 0, stopUnwantedOnLoad)
			}
		}
	}
}

// deleteOrphanedCompletions deletes the completion records whose job is over.
func (s *stateLoader) deleteOrphanedCompletions() {
	for _, key := range s.orphanedCompletions {
		s.store.QueueWrite(key, statestore.PriorityBackground, func() any { return nil }, nil)
	}
	s.orphanedCompletions = nil
}

// taskRef identifies a task.
type taskRef struct {
	job   *clusterstate.Job
	index int
}

// newestAttempts returns the number of the latest attempt of each task that has several by the stored records.
// The records of machines are written lazily when a task leaves, so that there may be thousands of such tasks
// after a failover.
func (s *stateLoader) newestAttempts() map[taskRef]uint64 {
	newest := map[taskRef]uint64{}
	for _, m := range s.state.Machines {
		for _, a := range m.Attempts {
			if a.Job.AttemptCount(a.Index) > 1 {
				task := taskRef{a.Job, a.Index}
				newest[task] = max(newest[task], a.Number)
			}
		}
	}
	return newest
}
