package controller

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
	"claybarrow/internal/statestore"
)

// BenchmarkSlopeTransaction measures building and encoding one transaction with as many changes as the
// state service accepts in one.
func BenchmarkSlopeTransaction(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		l := f.leadership
		list := l.machines.sortedMachines()
		n, changes, bytes := 0, 0, 0
		b.ResetTimer()
		for b.Loop() {
			b.StopTimer()
			f.applyQueuedTransactions()
			f.controller.outbox.stateChanges.Refill()
			for range f.controller.env.cfg.Cluster.State.TxnOps {
				l.machines.storeMachine(list[n%len(list)], statestore.PriorityBatch, nil)
				n++
			}
			b.StartTimer()
			t := l.store.BuildTransaction()
			body := protocol.Encode(t.Body)
			changes += t.Writes()
			bytes += len(body)
		}
		b.ReportMetric(float64(changes)/float64(b.N), "changes")
		b.ReportMetric(float64(bytes)/float64(b.N), "body-bytes")
	})
}

// BenchmarkSlopeFailover measures how long a new leader takes to load the records of the whole fleet,
// with ten completed jobs per worker.
func BenchmarkSlopeFailover(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		var items []protocol.KeyValue
		addRecord := func(key string, value any) {
			items = append(items, protocol.KeyValue{Key: key, Value: protocol.Encode(value), Version: 1})
		}
		for _, j := range f.leadership.state.SortedJobs() {
			addRecord(clusterstate.JobPrefix+j.Spec.UID, j.Record())
		}
		for i := range 10 * workers {
			addRecord(fmt.Sprintf("%sj-o%07d", clusterstate.JobPrefix, i), clusterstate.JobRecord{State: protocol.JobDone, Tasks: 12})
		}
		for _, m := range f.leadership.machines.sortedMachines() {
			addRecord(clusterstate.MachinePrefix+m.ID, m.Record())
		}
		for i, rows := range f.counters() {
			addRecord(counterKey(i), clusterstate.Counters{At: f.controller.env.wall - 30_000, Jobs: rows})
		}
		bytes := 0
		for _, item := range items {
			bytes += len(item.Key) + len(item.Value) + 16
		}
		b.ResetTimer()
		for b.Loop() {
			l := newLeadership(f.controller, &leaderRecord{Token: 2, LeaseID: 1}, 1, f.controller.env.now)
			for _, item := range items {
				l.store.SetVersion(item.Key, item.Version)
				if err := l.loader.loadRecord(item); err != nil {
					b.Fatal(err)
				}
			}
			f.controller.leadership = l
			l.loader.onStateLoaded()
			f.controller.outbox.effects = f.controller.outbox.effects[:0]
		}
		b.ReportMetric(float64(len(items)), "records")
		b.ReportMetric(float64(bytes), "record-bytes")
	})
}

// BenchmarkSlopeFailoverOldRecords measures the start of a leadership whose records hold an older
// attempt of every third task. Such attempts remain because the removal of a task from a machine's
// record is written lazily.
func BenchmarkSlopeFailoverOldRecords(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		list := f.leadership.machines.sortedMachines()
		for i, a := range slices.Clone(f.tasks) {
			if i%3 == 0 {
				old := f.leadership.state.AddAttempt(list[(i+7)%len(list)], a.Job, a.Index, 1, f.controller.env.now)
				old.Durable, old.Loaded, old.Sent = true, true, true
			}
		}
		b.ResetTimer()
		for b.Loop() {
			f.leadership.loader.onStateLoaded()
			f.controller.outbox.effects = f.controller.outbox.effects[:0]
		}
	})
}

// counters returns counters of the fleet's arrays, split into batches that fit into one stored value.
func (f *slopeFleet) counters() []map[string]clusterstate.CounterRow {
	limit := f.controller.env.cfg.MaxValueBytes() / (2 * clusterstate.MaxEntryBytes)
	batches := []map[string]clusterstate.CounterRow{{}}
	for _, j := range f.leadership.state.SortedJobs() {
		if j.Spec.Service {
			continue
		}
		last := batches[len(batches)-1]
		if len(last) >= limit {
			last = map[string]clusterstate.CounterRow{}
			batches = append(batches, last)
		}
		last[j.Spec.UID] = clusterstate.CounterRow{Attained: 1, Slots: 1, Degr: 1}
	}
	return batches
}

// retainedHeap returns the bytes of heap that remain allocated after build while its result is reachable.
func retainedHeap(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(result)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkSlopeMemory reports the leader's heap bytes per machine, per waiting job, per running task
// and per ended job.
func BenchmarkSlopeMemory(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		for b.Loop() {
		}
		var f *slopeFleet
		perWorker := retainedHeap(func() any {
			f = newSlopeLeader(b, workers)
			for i := range workers {
				f.addMachine(i)
			}
			return f
		}) / float64(workers)
		list := f.leadership.machines.sortedMachines()
		var jobs []*clusterstate.Job
		perWaiting := retainedHeap(func() any {
			for i := range workers {
				jobs = append(jobs, f.addJob(fmt.Sprintf("j-%08d", i), 0, i%3 == 0, scheduler.Resources{Cores: 1, MemoryGB: 1}))
			}
			return f
		}) / float64(workers)
		perTask := retainedHeap(func() any {
			for i, job := range jobs {
				for index := range slopeTasksPerJob {
					f.addRunningTask(job, index, list[(i+index)%workers])
				}
			}
			return f
		}) / float64(workers*slopeTasksPerJob)
		perEnded := retainedHeap(func() any {
			for i := range 10 * workers {
				uid := fmt.Sprintf("j-o%07d", i)
				f.leadership.state.TerminalJobs[uid] = clusterstate.TerminalState{Tasks: 12}
				f.leadership.store.SetVersion(clusterstate.JobPrefix+uid, 1)
			}
			return f
		}) / float64(10*workers)
		b.ReportMetric(perWorker, "B/worker")
		b.ReportMetric(perWaiting, "B/job-alive")
		b.ReportMetric(perTask, "B/running-task")
		b.ReportMetric(perEnded, "B/job-over")
	})
}
