package transport

import (
	"net/http"
	"time"

	"claybarrow/internal/controller"
	"claybarrow/internal/membership"
	"claybarrow/internal/protocol"
)

// clientRoutes returns the handler of client_listen, which serves users, workers and the load balancer.
func (s *Server) clientRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/jobs", s.handleWithBody(controller.OpSubmit))
	mux.HandleFunc("GET /api/jobs/{id}", s.handleWithoutBody(controller.OpPoll))
	mux.HandleFunc("POST /api/jobs/{id}/withdraw", s.handleWithoutBody(controller.OpCancel))
	mux.HandleFunc("GET /ready", s.handleWithoutBody(controller.OpReady))
	mux.HandleFunc("POST /hello", s.handleWithBody(controller.OpWorkerHeartbeat))
	return mux
}

// peerRoutes returns the handler of peer_listen, which serves other controllers and the metrics scraper.
func (s *Server) peerRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+controller.RelayPath, s.handleWithBody(controller.OpRelay))
	mux.HandleFunc("POST "+controller.PeerHeartbeatPath, s.handleWithBody(controller.OpPeerHeartbeat))
	mux.HandleFunc("POST "+controller.ForwardedHeartbeatPath, s.handleWithBody(controller.OpForwardedHeartbeat))
	mux.HandleFunc("POST "+controller.ProbePath, s.handleWithBody(controller.OpProbe))
	if s.metrics != nil {
		mux.Handle("GET /metrics", s.metrics)
	}
	return mux
}

// admission holds the admission limits for the requests of one operation.
type admission struct {
	// queueWait is how long the request may wait for the event loop.
	queueWait time.Duration
	// maxBodyBytes bounds the request's body if the operation has one.
	maxBodyBytes int64
	// closeAbovePercent is a percentage of the connection limit of client_listen. While more connections are open, the
	// request's connection is closed after the response.
	closeAbovePercent int
}

// admissionFor returns the admission limits of an operation.
func (s *Server) admissionFor(op controller.Op) admission {
	limits := admission{queueWait: queueWait(s.cfg, op), maxBodyBytes: protocol.MaxBodyBytes, closeAbovePercent: closeUsersAbovePercent}
	switch op {
	case controller.OpSubmit, controller.OpPoll, controller.OpCancel, controller.OpReady:
		// These operations use the limits set above.
	case controller.OpWorkerHeartbeat:
		limits.closeAbovePercent = closeWorkersAbovePercent
	case controller.OpPeerHeartbeat:
		limits.closeAbovePercent = neverClosePercent
	case controller.OpForwardedHeartbeat, controller.OpRelay:
		limits.closeAbovePercent = neverClosePercent
		limits.maxBodyBytes += forwardingOverheadBytes
	case controller.OpProbe:
		limits.closeAbovePercent = neverClosePercent
		limits.maxBodyBytes = membership.MaxMessageBytes
	}
	return limits
}
