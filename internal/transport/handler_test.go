package transport

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"claybarrow/internal/controller"
)

// fixedReplyCore is a core that sends the same reply to every request.
type fixedReplyCore struct{ controller.Reply }

func (f fixedReplyCore) Handle(_ controller.Clock, event controller.Event) []controller.Effect {
	if request, ok := event.(controller.Request); ok {
		f.ID = request.ID
		return []controller.Effect{f.Reply}
	}
	return nil
}

// A reply that was created before a process pause is replaced by a 503 response if the leader's lease may have expired
// since: another leader may have replied differently.
func TestExpiredReplyIsReplaced(t *testing.T) {
	t.Run("expired", func(t *testing.T) {
		server := newTestServer(t)
		server.startTime = time.Now().Add(-time.Minute) // the monotonic clock reads one minute, past ValidUntil
		server.core = fixedReplyCore{controller.Reply{Status: http.StatusNotFound, ValidUntil: 30 * time.Second}}
		runLoop(t, server)
		w := sendRequest(server.clientRoutes(), http.MethodGet, "/api/jobs/j-1", nil)
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
			t.Errorf("status %d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
		}
	})
	t.Run("still valid", func(t *testing.T) {
		server := newTestServer(t)
		server.core = fixedReplyCore{controller.Reply{Status: http.StatusNotFound, ValidUntil: time.Minute}}
		runLoop(t, server)
		if w := sendRequest(server.clientRoutes(), http.MethodGet, "/api/jobs/j-1", nil); w.Code != http.StatusNotFound {
			t.Errorf("status %d, want 404", w.Code)
		}
	})
}

// When users' requests fill their queue, further requests are rejected immediately with 503 and a Retry-After header.
// The heartbeat queue is not affected.
func TestFullQueueRejectsRequests(t *testing.T) {
	server := newTestServer(t) // its event loop does not run, so the queues are not drained
	handler := server.clientRoutes()
	fill := func(class eventClass) {
		for server.queue.add(&queuedEvent{class: class}) {
			continue // until the class is full
		}
	}
	fill(classQuestion)
	w := sendRequest(handler, http.MethodGet, "/api/jobs/j-1", nil)
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("with a full queue: status %d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
	}
	if _, waiting := server.queue.takeStats(); waiting[classHeartbeat] != 0 {
		t.Error("users' requests used the heartbeat queue")
	}
	if !server.queue.add(&queuedEvent{class: classHeartbeat}) {
		t.Error("the heartbeat queue has no capacity")
	}
	if !server.queue.add(&queuedEvent{class: classReadiness}) {
		t.Error("users' requests used the queue of the readiness checks")
	}
	// As the number of open connections grows, users' connections are closed after the response first, and workers'
	// connections only above a higher percentage.
	server.clientListener = newConnLimiter(nil, 100)
	fill(classHeartbeat) // so that heartbeats and readiness checks, too, get an immediate response
	fill(classReadiness)
	closes := func(method, path string) bool {
		return sendRequest(handler, method, path, nil).Header().Get("Connection") == "close"
	}
	for _, tc := range []struct {
		open           int
		users, workers bool
	}{{70, false, false}, {71, true, false}, {86, true, true}} {
		t.Run(fmt.Sprintf("%d of 100 open", tc.open), func(t *testing.T) {
			server.clientListener.open = tc.open
			users, workers := closes(http.MethodGet, "/ready"), closes(http.MethodPost, "/hello")
			if users != tc.users || workers != tc.workers {
				t.Errorf("users' connections are closed: %v, workers' connections are closed: %v", users, workers)
			}
		})
	}
}

// Request bodies have a size limit. The limit of forwarded requests is higher than that of users' requests, because a
// forwarded request is wrapped in a message between controllers.
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
			if w := sendRequest(tc.handler, http.MethodPost, tc.path, make([]byte, tc.maxBytes)); w.Code != http.StatusOK {
				t.Errorf("body of %d bytes: status %d", tc.maxBytes, w.Code)
			}
			if w := sendRequest(tc.handler, http.MethodPost, tc.path, make([]byte, tc.maxBytes+1)); w.Code != http.StatusBadRequest {
				t.Errorf("body of %d bytes: status %d", tc.maxBytes+1, w.Code)
			}
		})
	}
}
