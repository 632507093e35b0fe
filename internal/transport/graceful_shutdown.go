package transport

import (
	"context"
	"time"

	"claybarrow/internal/controller"
)

// sendShutdownCalls sends the core's last requests: a leader revokes its lease, and each controller notifies its peers
// that it is leaving. The responses are not passed to the core.
func (s *Server) sendShutdownCalls(callCtx context.Context) {
	for _, effect := range s.core.Handle(s.now(), controller.Shutdown{}) {
		call, isCall := effect.(controller.Call)
		if !isCall {
			continue
		}
		s.shutdownCalls.Add(1)
		go func() {
			defer s.shutdownCalls.Done()
			if _, _, err := s.send(callCtx, call); err != nil {
				s.logFailedCall(call, err)
			}
		}()
	}
}

// awaitGracefulShutdown waits for the event loop and the last requests to finish, for at most a tenth of the workers'
// lease.
func (s *Server) awaitGracefulShutdown(loopEnded <-chan struct{}) {
	done := make(chan struct{})
	go func() {
		<-loopEnded
		s.shutdownCalls.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(s.cfg.WorkerLease() / 10):
	}
}
