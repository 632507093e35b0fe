package main

import "sync"

// watcher sees on which machine each task is.
type watcher struct {
	record *recorder
	mu     sync.Mutex
	on     map[string]string // machine by task
	done   map[string]bool   // tasks that have completed
}

func newWatcher(record *recorder) *watcher {
	return &watcher{record: record, on: map[string]string{}, done: map[string]bool{}}
}

func (w *watcher) started(machine string, key taskKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.printf("task %s try %d runs on %s", key.shard, key.try, machine)
	w.on[key.shard] = machine
}

func (w *watcher) left(machine string, key taskKey, why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.printf("task %s try %d left %s: %s", key.shard, key.try, machine, why)
	if w.on[key.shard] == machine {
		delete(w.on, key.shard)
	}
}

// onMachines returns how many tasks are on machines.
func (w *watcher) onMachines() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.on)
}

func (w *watcher) completed(shard string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done[shard] = true
}

// completedTasks returns how many tasks have completed.
func (w *watcher) completedTasks() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.done)
}
