package transport

import (
	"context"
	"time"

	"claybarrow/internal/controller"
)

// now returns the current readings of the monotonic clock and the wall clock.
func (s *Server) now() controller.Clock {
	t := time.Now()
	return controller.Clock{Monotonic: t.Sub(s.startTime), Wall: t.UnixMilli()}
}

// runEventLoop runs in the only goroutine that calls the core. It returns after ctx is cancelled. Requests that it has
// started may continue until callCtx is cancelled.
func (s *Server) runEventLoop(ctx, callCtx context.Context, done chan<- struct{}) {
	defer close(done)
	ticker := time.NewTicker(s.cfg.TickInterval())
	defer ticker.Stop()
	loop := &eventLoop{server: s, callCtx: callCtx, replyChannels: map[uint64]chan controller.Reply{}}
	for {
		event := s.nextEvent(ctx, ticker.C)
		if event == nil {
			s.sendShutdownCalls(callCtx)
			return
		}
		loop.handle(event)
	}
}

// eventLoop is the state of the event loop. Only its goroutine uses it.
type eventLoop struct {
	server        *Server
	callCtx       context.Context // of the calls that the core requests
	replyChannels map[uint64]chan controller.Reply
	lastID        uint64
}

// handle passes an event to the core and executes the effects.
func (l *eventLoop) handle(queued *queuedEvent) {
	s := l.server
	event := queued.event
	switch kind := event.(type) {
	case controller.Request:
		l.lastID++
		kind.ID = l.lastID
		l.replyChannels[l.lastID] = queued.reply
		event = kind
	case controller.Tick:
		s.logPeriodically()
	}
	began := s.now()
	effects := s.core.Handle(began, event)
	duration := s.now().Monotonic - began.Monotonic
	s.longest.record(event, duration)
	s.queue.served(queued.class, duration)
	for _, effect := range effects {
		switch effect := effect.(type) {
		case controller.Reply:
			if reply := l.replyChannels[effect.ID]; reply != nil {
				reply <- effect // does not block: the channel is buffered and receives one reply
				delete(l.replyChannels, effect.ID)
			}
		case controller.Call:
			go s.executeCall(l.callCtx, effect)
		}
	}
}

// logPeriodically logs what the event loop observes of itself. It is called at each tick.
func (s *Server) logPeriodically() {
	now := s.now().Monotonic
	s.shedding.logChanges(now, s.cfg.WorkerLease(), s.log)
	s.longest.logLongest(now, s.cfg.WorkerLease(), s.cfg.TickInterval(), s.log)
	s.reportAdmission(now)
}

// nextEvent waits for the next event and returns it, or nil after ctx is cancelled.
func (s *Server) nextEvent(ctx context.Context, ticks <-chan time.Time) *queuedEvent {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			s.queue.addTick(s.now().Monotonic)
		default:
		}
		if event := s.queue.next(s.now().Monotonic); event != nil {
			return event
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			s.queue.addTick(s.now().Monotonic)
		case <-s.queue.arrivals:
		}
	}
}
