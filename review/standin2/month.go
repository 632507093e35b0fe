package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"syscall"
	"time"

	"claybarrow/internal/emulator"
)

const (
	// finishedJobs is how many jobs have ended before the controllers crash: 59 days of the deployment's 15.3 a minute.
	finishedJobs = 1_300_000
	// restartDelay is the time after which an ended controller comes back.
	restartDelay = 6 * time.Second
)

// playMonth: the controllers crash after weeks of service. Without the trouble they crash after a few finished jobs.
func playMonth(ctx context.Context, w *world, s *site, trouble bool) int {
	s.RunTime = time.Second
	if err := w.startControllers(s); err != nil {
		return exitCouldNot
	}
	u := w.newUser(2 * time.Second)
	standing := &submission{UID: "j-000001", Class: "standing", Team: "appeals-desk", Shape: "service", Rank: "production", Tasks: 2, Cores: 4, MemoryGB: 8, Image: "img-1", ImageGB: 1}
	short := &submission{UID: "j-000002", Class: "short", Team: "meter-data", Shape: "batch", Rank: "normal", Tasks: 1, Cores: 1, MemoryGB: 1, Image: "img-1", ImageGB: 1, EstimateS: 1}
	if !u.submitUntilAccepted(ctx, standing) || !u.submitUntilAccepted(ctx, short) {
		return exitCouldNot
	}
	isDone := func() bool {
		return w.fleet.tasksOn(standing) == standing.Tasks && u.poll(w.controllers[0], short.UID).job.State == "done"
	}
	if !w.await(ctx, 20*time.Second, isDone) {
		return exitCouldNot
	}
	if trouble && !w.addFinishedJobs(short.UID) {
		return exitCouldNot
	}
	for _, c := range w.controllers {
		w.crash(ctx, c, "all controllers crash")
	}
	w.sleep(ctx, restartDelay+time.Second)
	back := time.Now()
	go w.enforceMemory(ctx, s.MemMB)
	answered := back
	for i := 0; time.Since(back) < forgottenLimit+20*time.Second && ctx.Err() == nil; i++ {
		if a := u.poll(w.controllers[i%len(w.controllers)], standing.UID); a.status == 200 {
			answered = time.Now()
		}
		if silence := time.Since(answered); silence > forgottenLimit {
			w.fleet.record("forgotten: no question about %s was answered for %.1f s; all controllers are back for %.1f s", standing.UID, silence.Seconds(), time.Since(back).Seconds())
			break
		}
		w.sleep(ctx, 2*time.Second)
	}
	return w.verdict()
}

// addFinishedJobs adds the records that the state service would hold after weeks: one for each finished job, with the
// value that the controllers have stored for the job uid.
func (w *world) addFinishedJobs(uid string) bool {
	ok := false
	w.call(func() {
		item := w.state.Item("j/" + uid)
		if item == nil {
			return
		}
		for i := range finishedJobs {
			w.state.Preset(fmt.Sprintf("j/j-%06d", 1000+i), &emulator.Item{Value: item.Value, Version: item.Version})
		}
		ok = true
	})
	w.record.printf("%d more jobs have ended, each with the record of %s", finishedJobs, uid)
	return ok
}

// crash kills a controller, which comes back after restartDelay.
func (w *world) crash(ctx context.Context, c *controller, reason string) {
	w.record.printf("controller %s killed: %s", c.label, reason)
	c.down.Store(true)
	_ = c.process.Process.Signal(syscall.SIGKILL) // fails if it has ended
	ended := c.ended
	time.AfterFunc(restartDelay, func() {
		<-ended
		if ctx.Err() == nil && w.start(c) == nil {
			c.down.Store(false)
		}
	})
}

// enforceMemory does what the platform does: a process that goes over its memory is killed and restarted.
func (w *world) enforceMemory(ctx context.Context, limitMB float64) {
	for ; ctx.Err() == nil; w.sleep(ctx, 200*time.Millisecond) {
		for _, c := range w.controllers {
			if c.down.Load() {
				continue
			}
			if used := residentKB(c.process.Process.Pid); used > limitMB*1024 {
				w.crash(ctx, c, fmt.Sprintf("it holds %.0f KiB of memory, its limit is %.0f MiB", used, limitMB))
			}
		}
	}
}

// residentKB returns the memory that a process holds for itself, without its program, in KiB; 0 if it has ended.
func residentKB(pid int) float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(status) {
		if fields := bytes.Fields(line); len(fields) == 3 && string(fields[0]) == "RssAnon:" {
			kb, err := strconv.ParseFloat(string(fields[1]), 64)
			if err == nil {
				return kb
			}
		}
	}
	return 0
}
