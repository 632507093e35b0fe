package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"claybarrow/internal/config"
	"claybarrow/internal/controller"
	"claybarrow/internal/protocol"
)

// echo answers every request with its operation and job.
type echo struct{}

func (echo) Handle(_ controller.Clock, event controller.Event) []controller.Effect {
	if request, ok := event.(controller.Request); ok {
		body := []byte(string(request.Op) + " " + request.UID)
		return []controller.Effect{controller.Reply{ID: request.ID, Status: http.StatusOK, Body: body}}
	}
	return nil
}

func newTestServer(t *testing.T) *Server {
	t.Helper()
	cfg := &config.Config{}
	cfg.Cluster.Workers = config.Workers{ReportS: 1, LeaseS: 10, CancelS: 35}
	cfg.Cluster.Resources.FDs = 64
	return New(cfg, echo{}, slog.New(slog.DiscardHandler))
}

func send(h http.Handler, method, path string, body []byte) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, bytes.NewReader(body)))
	return w
}

// runLoop runs the server's event loop until the test ends.
func runLoop(t *testing.T, server *Server) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go server.loop(ctx, ctx, make(chan struct{}))
}

func TestRoutes(t *testing.T) {
	server := newTestServer(t)
	runLoop(t, server)
	clients, peers := server.clientRoutes(), server.peerRoutes()
	for _, tc := range []struct {
		name         string
		handler      http.Handler
		method, path string
		status       int
		body         string
	}{
		{"submit", clients, http.MethodPost, "/api/jobs", http.StatusOK, "submit "},
		{"poll", clients, http.MethodGet, "/api/jobs/j-000412", http.StatusOK, "poll j-000412"},
		{"cancel", clients, http.MethodPost, "/api/jobs/j-000412/withdraw", http.StatusOK, "cancel j-000412"},
		{"readiness", clients, http.MethodGet, "/ready", http.StatusOK, "ready "},
		{"worker heartbeat", clients, http.MethodPost, "/hello", http.StatusOK, "report "},
		{"forwarded request of a peer", peers, http.MethodPost, "/relay", http.StatusOK, "relay "},
		{"forwarded request of a client", clients, http.MethodPost, "/relay", http.StatusNotFound, ""},
		{"wrong method", clients, http.MethodGet, "/api/jobs", http.StatusMethodNotAllowed, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := send(tc.handler, tc.method, tc.path, nil)
			if w.Code != tc.status || (tc.body != "" && w.Body.String() != tc.body) {
				t.Errorf("%s %s: %d %q", tc.method, tc.path, w.Code, w.Body)
			}
		})
	}
	t.Run("oversized body", func(t *testing.T) {
		if w := send(clients, http.MethodPost, "/api/jobs", make([]byte, protocol.MaxBody+1)); w.Code != http.StatusBadRequest {
			t.Errorf("an oversized body got %d", w.Code)
		}
	})
}

// fixedReply answers every request with the same reply.
type fixedReply struct{ controller.Reply }

func (f fixedReply) Handle(_ controller.Clock, event controller.Event) []controller.Effect {
	if request, ok := event.(controller.Request); ok {
		f.ID = request.ID
		return []controller.Effect{f.Reply}
	}
	return nil
}

// A reply that was decided before a standstill, and is sent after the leader's lease may have
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

// pipeListener accepts one end of a pipe for each connection, and keeps the other.
type pipeListener struct{ remote []net.Conn }

func (p *pipeListener) Accept() (net.Conn, error) {
	local, remote := net.Pipe()
	p.remote = append(p.remote, remote)
	return local, nil
}
func (p *pipeListener) Close() error   { return nil }
func (p *pipeListener) Addr() net.Addr { return nil }

// When the limiter is full, the connection that has been idle for longest is closed; one with a
// request under way never is.
func TestFullLimiterClosesTheLongestIdle(t *testing.T) {
	listener := &pipeListener{}
	limiter := newConnLimiter(listener, 3)
	accept := func() net.Conn {
		t.Helper()
		conn, err := limiter.Accept()
		if err != nil {
			t.Fatal(err)
		}
		limiter.trackState(conn, http.StateNew)
		return conn
	}
	active, idleLast, idleFirst := accept(), accept(), accept()
	for _, conn := range []net.Conn{active, idleLast, idleFirst} {
		limiter.trackState(conn, http.StateActive)
	}
	limiter.trackState(idleFirst, http.StateIdle)
	limiter.trackState(idleLast, http.StateIdle)
	accept()
	for i, open := range []bool{true, true, false, true} {
		// A pipe that one end has closed takes no deadline.
		if err := listener.remote[i].SetWriteDeadline(time.Time{}); errors.Is(err, io.ErrClosedPipe) == open {
			t.Errorf("connection %d: open %v, but %v", i, open, err)
		}
	}
	if limiter.open != 3 {
		t.Errorf("%d counted as open", limiter.open)
	}
	// Closed twice, counted once.
	for range 2 {
		if err := active.Close(); err != nil {
			t.Error(err)
		}
	}
	if limiter.open != 2 {
		t.Errorf("%d counted as open after one more has gone", limiter.open)
	}
}

// The state service's answers and the time go before what thousands of workers answer, and all
// of these before users: a new leader of 5,500 workers once lost its lease while the answer to its
// renewal waited behind theirs, and the next one after it (scale run, four leaders in four seconds).
func TestStateServiceGoesFirst(t *testing.T) {
	server := &Server{
		results:      make(chan controller.Event, 8),
		stateResults: make(chan controller.Event, 8),
		requests:     make(chan pendingRequest, 8),
		heartbeats:   make(chan pendingRequest, 8),
	}
	ticks := make(chan time.Time, 1)
	register := func(pending pendingRequest) controller.Event { return pending.request }
	const firstUserID = 300
	for id := range uint64(4) {
		server.results <- controller.Result{ID: 100 + id}
		server.heartbeats <- pendingRequest{request: controller.Request{ID: 200 + id}}
		server.requests <- pendingRequest{request: controller.Request{ID: firstUserID + id}}
	}
	server.stateResults <- controller.Result{ID: 1}
	server.stateResults <- controller.Result{ID: 2}
	ticks <- time.Time{}
	stateAnswers, tickEvents := 0, 0
	for range 3 {
		switch event := server.next(context.Background(), ticks, register).(type) {
		case controller.Result:
			if event.ID < 100 {
				stateAnswers++
			}
		case controller.Tick:
			tickEvents++
		}
	}
	if stateAnswers != 2 || tickEvents != 1 {
		t.Errorf("first came %d answers of the state service and %d ticks", stateAnswers, tickEvents)
	}
	for range 8 {
		if request, ok := server.next(context.Background(), ticks, register).(controller.Request); ok && request.ID >= firstUserID {
			t.Error("a user went before workers")
		}
	}
	if request, ok := server.next(context.Background(), ticks, register).(controller.Request); !ok || request.ID < firstUserID {
		t.Error("users' turn does not come")
	}
	ctx, end := context.WithCancel(context.Background())
	end()
	for range 3 {
		server.next(context.Background(), ticks, register)
	}
	if event := server.next(ctx, ticks, register); event != nil {
		t.Errorf("%v after the end", event)
	}
}
