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

func (n *Node) userRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/jobs", n.handler(controller.OpSubmit, true))
	mux.HandleFunc("GET /api/jobs/{id}", n.handler(controller.OpPoll, false))
	mux.HandleFunc("POST /api/jobs/{id}/withdraw", n.handler(controller.OpCancel, false))
	mux.HandleFunc("GET /ready", n.handler(controller.OpReady, false))
	mux.HandleFunc("POST /hello", n.handler(controller.OpWorkerHeartbeat, true))
	return mux
}

func (n *Node) peerRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /relay", n.handler(controller.OpRelay, true))
	mux.HandleFunc("POST /heartbeat", n.handler(controller.OpPeerHeartbeat, true))
	mux.HandleFunc("POST /forward", n.handler(controller.OpForwardedHeartbeat, true))
	mux.HandleFunc("POST /probe", n.handler(controller.OpProbe, true))
	if n.metrics != nil {
		mux.Handle("GET /metrics", n.metrics)
	}
	return mux
}

// replyWithin bounds how long a request may be with the core: users give up
// after 5 s, and the core itself answers long before.
const replyWithin = 4500 * time.Millisecond

// Shares of the socket limit, in percent. With the direct requests to workers
// that are under way, an eighth (see package controller), they leave a twentieth for
// the state service, the cloud and the process itself.
const (
	clientConns = 50 // users and workers, by client_listen
	peerConns   = 12 // from other controllers
	peerCalls   = 8  // to other controllers
	workerIdle  = 12 // kept open to workers
)

// Percentages of the room at client_listen from where on a connection is closed
// after its answer: users' go first, workers' later.
const (
	usersGo   = 70
	workersGo = 85
)

// stateAnswers bounds the answers of the state service that wait for the core: it has a few
// requests under way at a time.
const stateAnswers = 64

// dialWithin bounds the making of a connection however long the workers' lease.
const dialWithin = 2 * time.Second

func (n *Node) handler(op controller.Op, wantBody bool) http.HandlerFunc {
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
		a := ask{req: req, answer: make(chan controller.Reply, 1)}
		queue := n.asks
		leaveAt := usersGo
		switch op {
		case controller.OpForwardedHeartbeat, controller.OpPeerHeartbeat, controller.OpProbe:
			queue, leaveAt = n.reports, 100
		case controller.OpWorkerHeartbeat:
			queue, leaveAt = n.reports, workersGo
		case controller.OpRelay:
			leaveAt = 100
		}
		if n.users.busier(leaveAt) {
			// Room for those that come by the same listener.
			w.Header().Set("Connection", "close")
		}
		timer := time.NewTimer(replyWithin)
		defer timer.Stop()
		select {
		case queue <- a:
		default:
			// The queue is bounded: answered at once, with when to come back.
			n.away.add()
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case reply := <-a.answer:
			if reply.ValidUntil > 0 && n.now().Steady > reply.ValidUntil {
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
