package scalerun

import (
	"context"
	"time"

	"claybarrow/internal/emulator"
)

// eventLoop is the goroutine that owns all of a region's stand-ins: it does what is due on their
// agenda, by the real clock, and what others ask of it.
type eventLoop struct {
	queue *emulator.EventQueue
	start time.Time
	inbox chan func()
	done  chan struct{}
	// maxDelay is the longest that something was done after its time.
	maxDelay time.Duration
}

// inboxSize bounds what waits for the loop: askers wait when it is full.
const inboxSize = 1 << 14

func newLoop() *eventLoop {
	return &eventLoop{queue: &emulator.EventQueue{}, start: time.Now(), inbox: make(chan func(), inboxSize), done: make(chan struct{})}
}

func (l *eventLoop) now() time.Duration { return time.Since(l.start) }

// run goes on until the context ends.
func (l *eventLoop) run(ctx context.Context) {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := l.now()
		if next, some := l.queue.Next(); some {
			l.maxDelay = max(l.maxDelay, now-next)
		}
		l.queue.RunUntil(now)
		wait := time.Second
		if next, some := l.queue.Next(); some {
			wait = max(0, next-l.now())
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case do := <-l.inbox:
			l.queue.RunUntil(l.now())
			do()
			l.drain()
		case <-timer.C:
		}
	}
}

// drain does some more of what waits, without a look at the clock for each.
func (l *eventLoop) drain() {
	const most = 64
	for range most {
		select {
		case do := <-l.inbox:
			do()
		default:
			return
		}
	}
}

// post has the loop do something.
func (l *eventLoop) post(do func()) {
	select {
	case l.inbox <- do:
	case <-l.done:
	}
}

// call has the loop do something and waits for it.
func (l *eventLoop) call(do func()) {
	finished := make(chan struct{})
	l.post(func() { do(); close(finished) })
	select {
	case <-finished:
	case <-l.done:
	}
}
