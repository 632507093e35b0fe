package transport

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"claybarrow/internal/controller"
)

// fixedReply answers every request with the same reply.
type fixedReply struct{ controller.Reply }

func (f fixedReply) Handle(_ controller.Clock, event controller.Event) []controller.Effect {
	if request, ok := event.(controller.Request); ok {
		f.ID = request.ID
		return []controller.Effect{f.Reply}
	}
	return nil
}

// A reply that was decided before a process pause, and is sent after the leader's lease may have
// ended, is replaced: another leader may have answered otherwise.
func TestExpiredReplyIsReplaced(t *testing.T) {
	t.Run("expired", func(t *testing.T) {
		server := newTestServer(t)
		server.start = time.Now().Add(-time.Minute) // what was decided is up to a minute old
		server.core = fixedReply{controller.Reply{Status: http.StatusNotFound, ValidUntil: 30 * time.Second}}
		runLoop(t, server)
		w := send(server.clientRoutes(), http.MethodGet, "/api/jobs/j-1", nil)
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
			t.Errorf("%d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
		}
	})
	t.Run("still valid", func(t *testing.T) {
		server := newTestServer(t)
		server.core = fixedReply{controller.Reply{Status: http.StatusNotFound, ValidUntil: time.Minute}}
		runLoop(t, server)
		if w := send(server.clientRoutes(), http.MethodGet, "/api/jobs/j-1", nil); w.Code != http.StatusNotFound {
			t.Errorf("%d", w.Code)
		}
	})
}

// A flood that the event loop can't follow is refused at once, with the time of the next attempt,
// and the queue for heartbeats stays open.
func TestFullQueueIsRefusedAtOnce(t *testing.T) {
	server := newTestServer(t) // its loop does not run: nothing is taken from the queues
	handler := server.clientRoutes()
	for range cap(server.requests) {
		server.requests <- pendingRequest{}
	}
	w := send(handler, http.MethodGet, "/api/jobs/j-1", nil)
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("with a full queue: %d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
	}
	if len(server.heartbeats) != 0 || cap(server.heartbeats) == 0 {
		t.Error("the flood reached the queue for heartbeats")
	}
	// As sockets get short, users' connections are closed with the answer, and workers' only
	// later.
	server.clientListener = newConnLimiter(nil, 100)
	for range cap(server.heartbeats) {
		server.heartbeats <- pendingRequest{} // so that heartbeats, too, are answered at once
	}
	closes := func(method, path string) bool {
		return send(handler, method, path, nil).Header().Get("Connection") == "close"
	}
	for _, tc := range []struct {
		open           int
		users, workers bool
	}{{70, false, false}, {71, true, false}, {86, true, true}} {
		t.Run(fmt.Sprintf("%d of 100 open", tc.open), func(t *testing.T) {
			server.clientListener.open = tc.open
			users, workers := closes(http.MethodGet, "/ready"), closes(http.MethodPost, "/hello")
			if users != tc.users || workers != tc.workers {
				t.Errorf("users' connections end %v, workers' %v", users, workers)
			}
		})
	}
}

// Bodies are bounded before they are read. A forwarded request may be larger than a user's, as it is
// wrapped in a message between controllers.
func TestBodyLimits(t *testing.T) {
	server := newTestServer(t)
	runLoop(t, server)
	clients, peers := server.clientRoutes(), server.peerRoutes()
	for _, tc := range []struct {
		path     string
		handler  http.Handler
		maxBytes int
	}{
		{"/api/jobs", clients, 64 << 10},
		{"/hello", clients, 64 << 10},
		{"/heartbeat", peers, 64 << 10},
		{"/relay", peers, 65 << 10},
		{"/forward", peers, 65 << 10},
		{"/probe", peers, 8 << 10},
	} {
		t.Run(tc.path, func(t *testing.T) {
			if w := send(tc.handler, http.MethodPost, tc.path, make([]byte, tc.maxBytes)); w.Code != http.StatusOK {
				t.Errorf("%d bytes: %d", tc.maxBytes, w.Code)
			}
			if w := send(tc.handler, http.MethodPost, tc.path, make([]byte, tc.maxBytes+1)); w.Code != http.StatusBadRequest {
				t.Errorf("%d bytes: %d", tc.maxBytes+1, w.Code)
			}
		})
	}
}
