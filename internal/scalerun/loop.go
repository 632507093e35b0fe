package scalerun

import (
	"context"
	"time"

	"claybarrow/internal/emulator"
)

// loop is the goroutine that owns all of a region's stand-ins: it does what is due on their
// agenda, by the real clock, and what others ask of it.
type loop struct {
	agenda *emulator.EventQueue
	start  time.Time
	inbox  chan func()
	done   chan struct{}
	// late is the longest that something was done after its time.
	late time.Duration
}

// inboxSize bounds what waits for the loop: askers wait when it is full.
const inboxSize = 1 << 14

func newLoop() *loop {
	return &loop{agenda: &emulator.EventQueue{}, start: time.Now(), inbox: make(chan func(), inboxSize), done: make(chan struct{})}
}

func (l *loop) now() time.Duration { return time.Since(l.start) }

// run goes on until the context ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := l.now()
		if next, some := l.agenda.Next(); some {
			l.late = max(l.late, now-next)
		}
		l.agenda.RunUntil(now)
		wait := time.Second
		if next, some := l.agenda.Next(); some {
			wait = max(0, next-l.now())
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case do := <-l.inbox:
			l.agenda.RunUntil(l.now())
			do()
			l.drain()
		case <-timer.C:
		}
	}
}

// drain does some more of what waits, without a look at the clock for each.
func (l *loop) drain() {
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
func (l *loop) post(do func()) {
	select {
	case l.inbox <- do:
	case <-l.done:
	}
}

// ask has the loop do something and waits for it.
func (l *loop) ask(do func()) {
	finished := make(chan struct{})
	l.post(func() { do(); close(finished) })
	select {
	case <-finished:
	case <-l.done:
	}
}
