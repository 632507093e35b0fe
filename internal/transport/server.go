// Package transport carries messages: HTTP servers and clients with bounded
// bodies, connections and times. It takes no decisions.
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
	"net/http/httptrace"
	"sync"
	"time"

	"claybarrow/internal/config"
	"claybarrow/internal/controller"
)

// The state service's answers have no size limit of their own (watches), and
// its pages hold 512 KiB; this is what we take at most.
const maxResponse = 4 << 20

// Core is the state machine that the node drives.
type Core interface {
	Handle(controller.Clock, controller.Event) []controller.Effect
}

// Server runs the core's goroutine and the transport actors round it.
type Server struct {
	cfg     *config.Config
	core    Core
	log     *slog.Logger
	results chan controller.Event
	// stateResults takes the state service's answers, which go before all others: after a change of
	// leader thousands of workers answer at once, and the lease's renewal once waited behind
	// them until the new leader had lost it.
	stateResults chan controller.Event
	requests     chan pendingRequest // users, other controllers, the load balancer
	heartbeats   chan pendingRequest // workers
	userListener *connLimiter
	shedding     loadShedding
	clients      map[controller.Target]*http.Client
	start        time.Time
	// metrics serves what operators count; nil: nobody asked for it.
	metrics http.Handler
	// shutdownCalls counts the requests that say goodbye, once the process is told to end.
	shutdownCalls sync.WaitGroup
}

type pendingRequest struct {
	request controller.Request
	reply   chan controller.Reply
}

// New makes a node round a core.
func New(cfg *config.Config, core Core, log *slog.Logger) *Server {
	fds := cfg.Cluster.Resources.FDs
	client := func(perHost, idle int) *http.Client {
		return &http.Client{
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: min(cfg.Lease()/5, maxDialTimeout)}).DialContext,
				MaxConnsPerHost:     perHost,
				MaxIdleConnsPerHost: perHost,
				MaxIdleConns:        idle,
				IdleConnTimeout:     2 * cfg.Lease(),
				DisableCompression:  true,
			}}
	}
	return &Server{cfg: cfg, core: core, log: log,
		results:      make(chan controller.Event, fds),
		stateResults: make(chan controller.Event, stateResultQueue),
		// What waits here is answered within a second or so even by a slow
		// share of a core; more than that is refused at once.
		requests: make(chan pendingRequest, max(16, fds/4)),
		// Each worker waits for one answer at a time, so this is bounded by the
		// connections there can be.
		heartbeats: make(chan pendingRequest, max(16, fds/2)),
		start:      time.Now(),
		clients: map[controller.Target]*http.Client{
			controller.ToState:  client(8, 8),
			controller.ToCloud:  client(4, 4),
			controller.ToWorker: client(2, fds*workerIdleConnPercent/100),
			controller.ToPeer:   client(max(4, fds*peerCallPercent/100/max(1, len(cfg.Siblings))), fds*peerCallPercent/100),
		}}
}

// Start is the zero of the core's steady clock.
func (s *Server) Start() time.Time { return s.start }

// ServeMetrics has the peers' listener answer GET /metrics. It is called before Run.
func (s *Server) ServeMetrics(handler http.Handler) { s.metrics = handler }

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	users, err := listen(s.cfg.ClientListen, s.cfg.Cluster.Resources.FDs*clientConnPercent/100)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	s.userListener = users
	peers, err := listen(s.cfg.PeerListen, s.cfg.Cluster.Resources.FDs*peerConnPercent/100)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	failed := make(chan error, 2)
	for _, served := range []struct {
		l *connLimiter
		h http.Handler
	}{{users, s.userRoutes()}, {peers, s.peerRoutes()}} {
		server := &http.Server{Handler: served.h, ReadHeaderTimeout: s.cfg.Lease(), ReadTimeout: s.cfg.Lease(),
			WriteTimeout: s.cfg.Lease(), IdleTimeout: 4 * s.cfg.Lease(), MaxHeaderBytes: 8 << 10,
			ConnState: served.l.trackState,
			ErrorLog:  slog.NewLogLogger(s.log.Handler(), slog.LevelDebug)}
		go func() { failed <- server.Serve(served.l) }()
		defer server.Close()
	}
	calls, stopCalls := context.WithCancel(context.WithoutCancel(ctx))
	defer stopCalls()
	ended := make(chan struct{})
	go s.loop(ctx, calls, ended)
	select {
	case <-ctx.Done():
		s.awaitGracefulShutdown(ended)
		return nil
	case err := <-failed:
		return err
	}
}

// awaitGracefulShutdown waits for the last requests of a process that ends in good order, a tenth of a
// lease at the most.
func (s *Server) awaitGracefulShutdown(ended <-chan struct{}) {
	done := make(chan struct{})
	go func() {
		<-ended
		s.shutdownCalls.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(s.cfg.Lease() / 10):
	}
}

// loop is the one goroutine that owns all state. Requests to others go on until their own
// context ends.
func (s *Server) loop(ctx, calls context.Context, ended chan<- struct{}) {
	defer close(ended)
	ticker := time.NewTicker(s.cfg.Tick())
	defer ticker.Stop()
	waiting := map[uint64]chan controller.Reply{}
	var last uint64
	ask := func(a pendingRequest) controller.Event {
		last++
		a.request.ID = last
		waiting[last] = a.reply
		return a.request
	}
	for {
		ev := s.next(ctx, ticker.C, ask)
		if ev == nil {
			s.sendShutdownCalls(calls)
			return
		}
		if _, tick := ev.(controller.Tick); tick {
			s.shedding.logChanges(s.now().Steady, s.cfg.Lease(), s.log)
		}
		for _, e := range s.core.Handle(s.now(), ev) {
			switch e := e.(type) {
			case controller.Reply:
				if ch := waiting[e.ID]; ch != nil {
					ch <- e // buffered, written once
					delete(waiting, e.ID)
				}
			case controller.Call:
				go s.call(calls, e)
			}
		}
	}
}

// sendShutdownCalls sends what the core has to say at its end. Nobody waits for the answers.
func (s *Server) sendShutdownCalls(calls context.Context) {
	for _, e := range s.core.Handle(s.now(), controller.Shutdown{}) {
		call, isCall := e.(controller.Call)
		if !isCall {
			continue
		}
		s.shutdownCalls.Add(1)
		go func() {
			defer s.shutdownCalls.Done()
			if _, _, err := s.send(calls, call); err != nil {
				s.log.Debug("no response", "addr", call.Addr, "path", call.Path, "err", err)
			}
		}()
	}
}

// next is the next event; nil: the context has ended. Time and the state service go first,
// then answers and workers: a flood of users must cost neither the leadership nor the workers'
// leases, and a flood of workers not the leadership.
func (s *Server) next(ctx context.Context, ticks <-chan time.Time, asked func(pendingRequest) controller.Event) controller.Event {
	select {
	case ev := <-s.stateResults:
		return ev
	case <-ticks:
		return controller.Tick{}
	default:
	}
	select {
	case ev := <-s.results:
		return ev
	case a := <-s.heartbeats:
		return asked(a)
	default:
	}
	select {
	case <-ctx.Done():
		return nil
	case ev := <-s.stateResults:
		return ev
	case ev := <-s.results:
		return ev
	case a := <-s.heartbeats:
		return asked(a)
	case <-ticks:
		return controller.Tick{}
	case a := <-s.requests:
		return asked(a)
	}
}

func (s *Server) now() controller.Clock {
	t := time.Now()
	return controller.Clock{Steady: t.Sub(s.start), Wall: t.UnixMilli()}
}

func (s *Server) call(ctx context.Context, c controller.Call) {
	connected := false
	status, body, err := s.send(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true }}), c)
	if err != nil {
		s.log.Debug("no response", "addr", c.Addr, "path", c.Path, "err", err)
	}
	answers := s.results
	if c.Target == controller.ToState {
		answers = s.stateResults
	}
	select {
	case answers <- controller.Result{ID: c.ID, Status: status, Body: body, ConnectionFailed: !connected}:
	case <-ctx.Done():
	}
}

// errExpired is of a request that must not leave any more.
var errExpired = errors.New("the process stood still since the request was decided")

func (s *Server) send(ctx context.Context, c controller.Call) (int, []byte, error) {
	if c.ValidUntil > 0 && s.now().Steady > c.ValidUntil {
		return 0, nil, errExpired
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Addr+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return 0, nil, fmt.Errorf("request: %w", err)
	}
	if len(c.Body) > 0 {
		req.Header.Set("Content-Type", contentType(c.Target))
	}
	res, err := s.clients[c.Target].Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponse))
	if err != nil {
		return 0, nil, fmt.Errorf("response: %w", err)
	}
	return res.StatusCode, body, nil
}

func contentType(t controller.Target) string {
	if t == controller.ToPeer {
		return "application/cbor"
	}
	return "application/msgpack"
}
