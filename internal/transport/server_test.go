package transport

import (
	"bytes"
	"context"
	"errors"
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

// echo answers every request with the operation that it was taken for.
type echo struct{}

func (echo) Handle(_ controller.Clock, ev controller.Event) []controller.Effect {
	if q, ok := ev.(controller.Request); ok {
		return []controller.Effect{controller.Reply{ID: q.ID, Status: 200, Body: []byte(string(q.Op) + " " + q.UID)}}
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

func TestRoutes(t *testing.T) {
	n := newTestServer(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go n.loop(ctx, ctx, make(chan struct{}))
	users, peers := n.userRoutes(), n.peerRoutes()
	for _, tc := range []struct {
		h            http.Handler
		method, path string
		status       int
		body         string
	}{
		{users, "POST", "/api/jobs", 200, "submit "},
		{users, "GET", "/api/jobs/j-000412", 200, "poll j-000412"},
		{users, "POST", "/api/jobs/j-000412/withdraw", 200, "cancel j-000412"},
		{users, "GET", "/ready", 200, "ready "},
		{users, "POST", "/hello", 200, "report "},
		{peers, "POST", "/relay", 200, "relay "},
		{users, "POST", "/relay", 404, ""},
		{users, "GET", "/api/jobs", 405, ""},
	} {
		w := send(tc.h, tc.method, tc.path, nil)
		if w.Code != tc.status || (tc.body != "" && w.Body.String() != tc.body) {
			t.Errorf("%s %s: %d %q", tc.method, tc.path, w.Code, w.Body)
		}
	}
	if w := send(users, "POST", "/api/jobs", make([]byte, protocol.MaxBody+1)); w.Code != 400 {
		t.Errorf("an oversized body got %d", w.Code)
	}
}

// fixed answers every request with the same reply.
type fixed struct{ controller.Reply }

func (f fixed) Handle(_ controller.Clock, ev controller.Event) []controller.Effect {
	if q, ok := ev.(controller.Request); ok {
		f.ID = q.ID
		return []controller.Effect{f.Reply}
	}
	return nil
}

// An answer that was decided before a standstill, and is sent after the leader's
// lease may have ended, is replaced: another leader may have told otherwise.
func TestExpiredReplyIsReplaced(t *testing.T) {
	n := newTestServer(t)
	n.start = time.Now().Add(-time.Minute) // what was decided is up to a minute old
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	n.core = fixed{controller.Reply{Status: 404, ValidUntil: 30 * time.Second}}
	go n.loop(ctx, ctx, make(chan struct{}))
	if w := send(n.userRoutes(), "GET", "/api/jobs/j-1", nil); w.Code != 503 || w.Header().Get("Retry-After") == "" {
		t.Errorf("too late: %d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
	}
	m := newTestServer(t)
	m.core = fixed{controller.Reply{Status: 404, ValidUntil: time.Minute}}
	go m.loop(ctx, ctx, make(chan struct{}))
	if w := send(m.userRoutes(), "GET", "/api/jobs/j-1", nil); w.Code != 404 {
		t.Errorf("in time: %d", w.Code)
	}
}

// A flood that the core can't follow is refused at once, with when to come
// back, and the workers' queue stays open.
func TestFullQueueIsRefusedAtOnce(t *testing.T) {
	n := newTestServer(t) // its loop does not run: nothing is taken from the queues
	h := n.userRoutes()
	for range cap(n.requests) {
		n.requests <- pendingRequest{}
	}
	w := send(h, "GET", "/api/jobs/j-1", nil)
	if w.Code != 503 || w.Header().Get("Retry-After") == "" {
		t.Errorf("flooded: %d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
	}
	if len(n.heartbeats) != 0 || cap(n.heartbeats) == 0 {
		t.Error("the flood reached the workers' queue")
	}
	// As sockets get short, users' connections end with the answer, and workers'
	// only later.
	n.userListener = newConnLimiter(nil, 100)
	for range cap(n.heartbeats) {
		n.heartbeats <- pendingRequest{} // so that reports, too, are answered at once
	}
	closes := func(method, path string) bool {
		return send(h, method, path, nil).Header().Get("Connection") == "close"
	}
	for _, tc := range []struct {
		open           int
		users, workers bool
	}{{70, false, false}, {71, true, false}, {86, true, true}} {
		n.userListener.open = tc.open
		if u, w := closes("GET", "/ready"), closes("POST", "/hello"); u != tc.users || w != tc.workers {
			t.Errorf("%d of 100 open: users' connections end %v, workers' %v", tc.open, u, w)
		}
	}
}

// pipes hands out one end of a pipe for each connection, and keeps the other.
type pipes struct{ far []net.Conn }

func (p *pipes) Accept() (net.Conn, error) {
	near, far := net.Pipe()
	p.far = append(p.far, far)
	return near, nil
}
func (p *pipes) Close() error   { return nil }
func (p *pipes) Addr() net.Addr { return nil }

// When the limiter is full, the connection that has been idle for longest gives way;
// one with a request under way never does.
func TestFullLimiterClosesTheLongestIdle(t *testing.T) {
	p := &pipes{}
	d := newConnLimiter(p, 3)
	accept := func() net.Conn {
		c, err := d.Accept()
		if err != nil {
			t.Fatal(err)
		}
		d.trackState(c, http.StateNew)
		return c
	}
	a, b, c := accept(), accept(), accept()
	for _, x := range []net.Conn{a, b, c} {
		d.trackState(x, http.StateActive)
	}
	d.trackState(c, http.StateIdle)
	d.trackState(b, http.StateIdle)
	accept()
	for i, open := range []bool{true, true, false, true} {
		// A pipe that one end has closed takes no deadline.
		if err := p.far[i].SetWriteDeadline(time.Time{}); errors.Is(err, io.ErrClosedPipe) == open {
			t.Errorf("connection %d: open %v, but %v", i, open, err)
		}
	}
	if d.open != 3 {
		t.Errorf("%d counted as open", d.open)
	}
	// Closed twice, counted once.
	a.Close()
	a.Close()
	if d.open != 2 {
		t.Errorf("%d counted as open after one more has gone", d.open)
	}
}

// The state service's answers and the time go before what thousands of workers answer, and all
// of these before users: a new leader of 5,500 workers once lost its lease while the answer to its
// renewal waited behind theirs, and the next one after it (scale run, four leaders in four seconds).
func TestStateServiceGoesFirst(t *testing.T) {
	n := &Server{results: make(chan controller.Event, 8), stateResults: make(chan controller.Event, 8), requests: make(chan pendingRequest, 8), heartbeats: make(chan pendingRequest, 8)}
	ticks := make(chan time.Time, 1)
	asked := func(a pendingRequest) controller.Event { return a.request }
	for id := range uint64(4) {
		n.results <- controller.Result{ID: 100 + id}
		n.heartbeats <- pendingRequest{request: controller.Request{ID: 200 + id}}
		n.requests <- pendingRequest{request: controller.Request{ID: 300 + id}}
	}
	n.stateResults <- controller.Result{ID: 1}
	n.stateResults <- controller.Result{ID: 2}
	ticks <- time.Time{}
	answers, time := 0, 0
	for range 3 {
		switch ev := n.next(context.Background(), ticks, asked).(type) {
		case controller.Result:
			if ev.ID < 100 {
				answers++
			}
		case controller.Tick:
			time++
		}
	}
	if answers != 2 || time != 1 {
		t.Errorf("first came %d answers of the state service and %d ticks", answers, time)
	}
	for range 8 {
		if q, is := n.next(context.Background(), ticks, asked).(controller.Request); is && q.ID >= 300 {
			t.Error("a user went before workers")
		}
	}
	if q, is := n.next(context.Background(), ticks, asked).(controller.Request); !is || q.ID < 300 {
		t.Error("users' turn does not come")
	}
	ctx, end := context.WithCancel(context.Background())
	end()
	for range 3 {
		n.next(context.Background(), ticks, asked)
	}
	if ev := n.next(ctx, ticks, asked); ev != nil {
		t.Errorf("%v after the end", ev)
	}
}
