package main

import (
	"context"
	"time"

	"claybarrow/internal/protocol"
)

// waitLimit is the limit of the rule "no job is left waiting for 90 s while a machine that fits has room and its team is
// under its limit".
const waitLimit = 90 * time.Second

// startControllers writes the settings of all controllers and starts them.
func (w *world) startControllers(s *site) error {
	if err := w.prepareControllers(s); err != nil {
		return err
	}
	for _, c := range w.controllers {
		if err := w.start(c); err != nil {
			return err
		}
	}
	return nil
}

// sleep waits for a duration or the end of the case.
func (w *world) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// await waits until a condition holds, and reports whether it did in time.
func (w *world) await(ctx context.Context, limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end) && ctx.Err() == nil; w.sleep(ctx, 100*time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// verdict returns the exit code for the breaches that were recorded.
func (w *world) verdict() int {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.record.printf("%d breaches, %d starts, %d completions", len(w.fleet.breaches), w.fleet.starts, w.fleet.completions)
	if len(w.fleet.breaches) > 0 {
		return exitBroken
	}
	return exitHeld
}

// tasksOn counts the tasks of a job that are on machines.
func (f *fleet) tasksOn(s *submission) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, w := range f.workers {
		for _, t := range w.tasks {
			if t.uid == s.UID && occupies(t.state) {
				count++
			}
		}
	}
	return count
}

// roomFor counts the tasks of a job for which machines that are up have room beside all that they hold.
func (f *fleet) roomFor(s *submission) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roomForLocked(s)
}

func (f *fleet) roomForLocked(s *submission) int {
	count := 0
	for _, w := range f.workers {
		if !w.up || w.gone {
			continue
		}
		cores, memory := w.size.Cores, w.size.MemoryGB
		for _, t := range w.tasks {
			if t.state != protocol.TaskExited {
				cores, memory = cores-f.jobs[t.uid].Cores, memory-f.jobs[t.uid].MemoryGB
			}
		}
		count += int(min(cores/s.Cores, memory/s.MemoryGB))
	}
	return count
}

// submitUntilAccepted submits a job as users do: a refusal is repeated after a second, for a minute at most.
func (u *user) submitUntilAccepted(ctx context.Context, s *submission) bool {
	for end, i := time.Now().Add(time.Minute), 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		a := u.submit(u.world.controllers[i%len(u.world.controllers)], s)
		if a.status == 200 || a.status == 201 {
			return true
		}
		if a.status == 400 || a.status == 422 {
			return false
		}
		u.world.sleep(ctx, time.Second)
	}
	return false
}

// record records that a rule was broken.
func (f *fleet) record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.breach(format, args...)
}
