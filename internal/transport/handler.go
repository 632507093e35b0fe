package transport

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"claybarrow/internal/controller"
	"claybarrow/internal/membership"
	"claybarrow/internal/protocol"
)

func (s *Server) userRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/jobs", s.handler(controller.OpSubmit, true))
	mux.HandleFunc("GET /api/jobs/{id}", s.handler(controller.OpPoll, false))
	mux.HandleFunc("POST /api/jobs/{id}/withdraw", s.handler(controller.OpCancel, false))
	mux.HandleFunc("GET /ready", s.handler(controller.OpReady, false))
	mux.HandleFunc("POST /hello", s.handler(controller.OpWorkerHeartbeat, true))
	return mux
}

func (s *Server) peerRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /relay", s.handler(controller.OpRelay, true))
	mux.HandleFunc("POST /heartbeat", s.handler(controller.OpPeerHeartbeat, true))
	mux.HandleFunc("POST /forward", s.handler(controller.OpForwardedHeartbeat, true))
	mux.HandleFunc("POST /probe", s.handler(controller.OpProbe, true))
	if s.metrics != nil {
		mux.Handle("GET /metrics", s.metrics)
	}
	return mux
}

// replyTimeout bounds how long a request may be with the core: users give up
// after 5 s, and the core itself answers long before.
const replyTimeout = 4500 * time.Millisecond

// Shares of the socket limit, in percent. With the direct requests to workers
// that are under way, an eighth (see package controller), they leave a twentieth for
// the state service, the cloud and the process itself.
const (
	clientConnPercent     = 50 // users and workers, by client_listen
	peerConnPercent       = 12 // from other controllers
	peerCallPercent       = 8  // to other controllers
	workerIdleConnPercent = 12 // kept open to workers
)

// Percentages of the room at client_listen from where on a connection is closed
// after its answer: users' go first, workers' later.
const (
	closeUsersAbovePercent   = 70
	closeWorkersAbovePercent = 85
)

// stateResultQueue bounds the answers of the state service that wait for the core: it has a few
// requests under way at a time.
const stateResultQueue = 64

// maxDialTimeout bounds the making of a connection however long the workers' lease.
const maxDialTimeout = 2 * time.Second

func (s *Server) handler(op controller.Op, wantBody bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req := controller.Request{Op: op, UID: r.PathValue("id")}
		if wantBody {
			// A relayed submission is wrapped: a little more than a user's.
			limit := int64(protocol.MaxBody)
			switch op {
			case controller.OpRelay, controller.OpForwardedHeartbeat:
				limit += 1 << 10
			case controller.OpProbe:
				limit = membership.MostBytes
			}
			body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
			if err != nil {
				var tooLarge *http.MaxBytesError
				if errors.As(err, &tooLarge) {
					w.WriteHeader(http.StatusBadRequest)
				}
				return
			}
			req.Body = body
		}
		a := pendingRequest{request: req, reply: make(chan controller.Reply, 1)}
		queue := s.requests
		leaveAt := closeUsersAbovePercent
		switch op {
		case controller.OpForwardedHeartbeat, controller.OpPeerHeartbeat, controller.OpProbe:
			queue, leaveAt = s.heartbeats, 100
		case controller.OpWorkerHeartbeat:
			queue, leaveAt = s.heartbeats, closeWorkersAbovePercent
		case controller.OpRelay:
			leaveAt = 100
		}
		if s.userListener.usedAbove(leaveAt) {
			// Room for those that come by the same listener.
			w.Header().Set("Connection", "close")
		}
		timer := time.NewTimer(replyTimeout)
		defer timer.Stop()
		select {
		case queue <- a:
		default:
			// The queue is bounded: answered at once, with when to come back.
			s.shedding.countRejection()
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case reply := <-a.reply:
			if reply.ValidUntil > 0 && s.now().Steady > reply.ValidUntil {
				// The process stood still since: another leader may know better.
				reply = controller.Reply{Status: http.StatusServiceUnavailable, RetryAfter: 1}
			}
			if reply.RetryAfter > 0 {
				w.Header().Set("Retry-After", strconv.Itoa(reply.RetryAfter))
			}
			if len(reply.Body) > 0 {
				w.Header().Set("Content-Type", "application/msgpack")
			}
			w.Header().Set("Content-Length", strconv.Itoa(len(reply.Body)))
			w.WriteHeader(reply.Status)
			_, _ = w.Write(reply.Body) // the other side may have gone
		case <-timer.C:
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case <-r.Context().Done():
		}
	}
}
