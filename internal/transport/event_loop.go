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
	replyChannels := map[uint64]chan controller.Reply{}
	var lastID uint64
	register := func(pending pendingRequest) controller.Event {
		lastID++
		pending.request.ID = lastID
		replyChannels[lastID] = pending.reply
		return pending.request
	}
	for {
		event := s.nextEvent(ctx, ticker.C, register)
		if event == nil {
			s.sendShutdownCalls(callCtx)
			return
		}
		if _, isTick := event.(controller.Tick); isTick {
			now := s.now().Monotonic
			s.shedding.logChanges(now, s.cfg.WorkerLease(), s.log)
			s.longest.logLongest(now, s.cfg.WorkerLease(), s.cfg.TickInterval(), s.log)
		}
		began := s.now()
		effects := s.core.Handle(began, event)
		s.longest.record(event, s.now().Monotonic-began.Monotonic)
		for _, effect := range effects {
			switch effect := effect.(type) {
			case controller.Reply:
				if reply := replyChannels[effect.ID]; reply != nil {
					reply <- effect // does not block: the channel is buffered and receives one reply
					delete(replyChannels, effect.ID)
				}
			case controller.Call:
				go s.executeCall(callCtx, effect)
			}
		}
	}
}

// nextEvent returns the next event, or nil after ctx is cancelled. The register function assigns an ID to a request.
// Ticks and the state service's responses have the highest priority, then come other responses and heartbeats, and
// users' requests come last. With this order, overload by users costs neither the leadership nor the workers' leases,
// and overload by workers does not cost the leadership.
func (s *Server) nextEvent(ctx context.Context, ticks <-chan time.Time, register func(pendingRequest) controller.Event) controller.Event {
	select {
	case event := <-s.stateResults:
		return event
	case <-ticks:
		return controller.Tick{}
	default:
	}
	select {
	case event := <-s.results:
		return event
	case pending := <-s.heartbeats:
		return register(pending)
	default:
	}
	select {
	case <-ctx.Done():
		return nil
	case event := <-s.stateResults:
		return event
	case event := <-s.results:
		return event
	case pending := <-s.heartbeats:
		return register(pending)
	case <-ticks:
		return controller.Tick{}
	case pending := <-s.requests:
		return register(pending)
	}
}
