package scalerun

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Slices in which a controller that is held to a share of a core runs and waits. A slice is far shorter than a tick of
// the controller.
const (
	shareSlice = 2 * time.Millisecond
	// maxSavedShare bounds the processor time that an idle process may save up, as the time in which it accrues.
	maxSavedShare = 5 * shareSlice
)

// processorShare holds the processes of a controller to a share of a core. It suspends a process that has used more than
// its share (SIGSTOP) and resumes it once it is entitled to more (SIGCONT).
type processorShare struct {
	controller *controller
	share      float64

	pid       int
	balance   time.Duration // processor time that the process is entitled to and has not used
	usedAt    time.Duration // processor time of the process when it was last looked at
	lookedAt  time.Time
	suspended bool
}

// hold holds the controller to the share until ctx ends, and leaves its process running.
func (s *processorShare) hold(ctx context.Context) {
	ticker := time.NewTicker(shareSlice)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.release()
			return
		case now := <-ticker.C:
			s.controller.mu.Lock()
			s.look(now)
			s.controller.mu.Unlock()
		}
	}
}

// release resumes the process if it is suspended for its share.
func (s *processorShare) release() {
	s.controller.mu.Lock()
	defer s.controller.mu.Unlock()
	if s.suspended && !s.controller.frozen {
		s.signal(syscall.SIGCONT)
	}
	s.suspended = false
}

// look charges the process for what it has used since the last look, and suspends or resumes it. The caller must hold
// the controller's lock.
func (s *processorShare) look(now time.Time) {
	c := s.controller
	if c.command == nil || c.killed || c.stopped || c.frozen {
		s.pid, s.suspended = 0, false // an injected freeze ends with the process running
		return
	}
	used, err := processorTime(c.command.Process.Pid)
	if err != nil {
		s.pid = 0
		return // the process has exited
	}
	if pid := c.command.Process.Pid; pid != s.pid {
		s.pid, s.balance, s.suspended = pid, 0, false
		s.usedAt, s.lookedAt = used, now
		return
	}
	elapsed := now.Sub(s.lookedAt)
	s.balance += time.Duration(float64(elapsed)*s.share) - (used - s.usedAt)
	s.balance = min(s.balance, time.Duration(float64(maxSavedShare)*s.share))
	s.usedAt, s.lookedAt = used, now
	if suspend := s.balance < 0; suspend != s.suspended {
		s.suspended = suspend
		if suspend {
			s.signal(syscall.SIGSTOP)
		} else {
			s.signal(syscall.SIGCONT)
		}
	}
}

// signal sends a signal to the controller's process.
func (s *processorShare) signal(signal syscall.Signal) {
	_ = s.controller.command.Process.Signal(signal) // fails if the process has exited
}

// processorTime returns the processor time that a process has used, in all its threads.
func processorTime(pid int) (time.Duration, error) {
	var used unix.Timespec
	if err := unix.ClockGettime(processClock(pid), &used); err != nil {
		return 0, err
	}
	return time.Duration(used.Nano()), nil
}

// processClock returns the kernel's identifier of a process's processor-time clock: the complement of the process's
// number, shifted by three bits that select the kind of clock.
func processClock(pid int) int32 {
	const scheduled = 2 // the time that the scheduler has accounted
	return ^int32(pid)<<3 | scheduled
}
