package scalerun

import (
	"context"
	"time"

	"claybarrow/internal/emulator"
)

// eventLoop is the goroutine that owns all emulated components of a region. It runs the events of their queue in
// real time, and the functions that other goroutines post to it.
type eventLoop struct {
	queue   *emulator.EventQueue
	start   time.Time
	inbox   chan func()
	stopped chan struct{}
	// maxDelay is the longest delay between an event's due time and its execution.
	maxDelay time.Duration
}

// inboxSize is the capacity of the inbox; post blocks while the inbox is full.
const inboxSize = 1 << 14

func newEventLoop() *eventLoop {
	return &eventLoop{queue: &emulator.EventQueue{}, start: time.Now(), inbox: make(chan func(), inboxSize), stopped: make(chan struct{})}
}

func (l *eventLoop) now() time.Duration { return time.Since(l.start) }

// run runs the loop until the context ends.
func (l *eventLoop) run(ctx context.Context) {
	defer close(l.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := l.now()
		if next, pending := l.queue.NextDueAt(); pending {
			l.maxDelay = max(l.maxDelay, now-next)
		}
		l.queue.RunUntil(now)
		wait := time.Second
		if next, pending := l.queue.NextDueAt(); pending {
			wait = max(0, next-l.now())
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case fn := <-l.inbox:
			l.queue.RunUntil(l.now())
			fn()
			l.drain()
		case <-timer.C:
		}
	}
}

// drain runs up to maxBatch more posted functions without reading the clock for each.
func (l *eventLoop) drain() {
	const maxBatch = 64
	for range maxBatch {
		select {
		case fn := <-l.inbox:
			fn()
		default:
			return
		}
	}
}

// post queues a function for the loop and does not wait until it has run. After the loop has ended the function is
// dropped.
func (l *eventLoop) post(fn func()) {
	select {
	case l.inbox <- fn:
	case <-l.stopped:
	}
}

// call runs a function on the loop and waits until it has returned or the loop has ended.
func (l *eventLoop) call(fn func()) {
	finished := make(chan struct{})
	l.post(func() { fn(); close(finished) })
	select {
	case <-finished:
	case <-l.stopped:
	}
}

// every runs a function periodically, the first time after one interval. It must be called on the loop.
func (l *eventLoop) every(interval time.Duration, fn func()) {
	l.queue.After(interval, func() {
		fn()
		l.every(interval, fn)
	})
}
