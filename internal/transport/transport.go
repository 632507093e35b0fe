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

// Node runs the core's goroutine and the transport actors round it.
type Node struct {
	cfg   *config.Config
	core  Core
	log   *slog.Logger
	inbox chan controller.Event
	// state takes the state service's answers, which go before all others: after a change of
	// leader thousands of workers answer at once, and the lease's renewal once waited behind
	// them until the new leader had lost it.
	state   chan controller.Event
	asks    chan ask // users, other controllers, the load balancer
	reports chan ask // workers
	users   *connLimiter
	away    turnedAway
	clients map[controller.Target]*http.Client
	start   time.Time
	// metrics serves what operators count; nil: nobody asked for it.
	metrics http.Handler
	// ending counts the requests that say goodbye, once the process is told to end.
	ending sync.WaitGroup
}

type ask struct {
	req    controller.Request
	answer chan controller.Reply
}

// New makes a node round a core.
func New(cfg *config.Config, core Core, log *slog.Logger) *Node {
	fds := cfg.Cluster.Resources.FDs
	client := func(perHost, idle int) *http.Client {
		return &http.Client{
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: min(cfg.Lease()/5, dialWithin)}).DialContext,
				MaxConnsPerHost:     perHost,
				MaxIdleConnsPerHost: perHost,
				MaxIdleConns:        idle,
				IdleConnTimeout:     2 * cfg.Lease(),
				DisableCompression:  true,
			}}
	}
	return &Node{cfg: cfg, core: core, log: log,
		inbox: make(chan controller.Event, fds),
		state: make(chan controller.Event, stateAnswers),
		// What waits here is answered within a second or so even by a slow
		// share of a core; more than that is refused at once.
		asks: make(chan ask, max(16, fds/4)),
		// Each worker waits for one answer at a time, so this is bounded by the
		// connections there can be.
		reports: make(chan ask, max(16, fds/2)),
		start:   time.Now(),
		clients: map[controller.Target]*http.Client{
			controller.ToState:  client(8, 8),
			controller.ToCloud:  client(4, 4),
			controller.ToWorker: client(2, fds*workerIdle/100),
			controller.ToPeer:   client(max(4, fds*peerCalls/100/max(1, len(cfg.Siblings))), fds*peerCalls/100),
		}}
}

// Start is the zero of the core's steady clock.
func (n *Node) Start() time.Time { return n.start }

// ServeMetrics has the peers' listener answer GET /metrics. It is called before Run.
func (n *Node) ServeMetrics(handler http.Handler) { n.metrics = handler }

// Run serves until the context ends.
func (n *Node) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	users, err := openDoor(n.cfg.ClientListen, n.cfg.Cluster.Resources.FDs*clientConns/100)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	n.users = users
	peers, err := openDoor(n.cfg.PeerListen, n.cfg.Cluster.Resources.FDs*peerConns/100)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	failed := make(chan error, 2)
	for _, s := range []struct {
		l *connLimiter
		h http.Handler
	}{{users, n.userRoutes()}, {peers, n.peerRoutes()}} {
		server := &http.Server{Handler: s.h, ReadHeaderTimeout: n.cfg.Lease(), ReadTimeout: n.cfg.Lease(),
			WriteTimeout: n.cfg.Lease(), IdleTimeout: 4 * n.cfg.Lease(), MaxHeaderBytes: 8 << 10,
			ConnState: s.l.note,
			ErrorLog:  slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)}
		go func() { failed <- server.Serve(s.l) }()
		defer server.Close()
	}
	calls, stopCalls := context.WithCancel(context.WithoutCancel(ctx))
	defer stopCalls()
	ended := make(chan struct{})
	go n.loop(ctx, calls, ended)
	select {
	case <-ctx.Done():
		n.awaitGoodbye(ended)
		return nil
	case err := <-failed:
		return err
	}
}

// awaitGoodbye waits for the last requests of a process that ends in good order, a tenth of a
// lease at the most.
func (n *Node) awaitGoodbye(ended <-chan struct{}) {
	done := make(chan struct{})
	go func() {
		<-ended
		n.ending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(n.cfg.Lease() / 10):
	}
}

// loop is the one goroutine that owns all state. Requests to others go on until their own
// context ends.
func (n *Node) loop(ctx, calls context.Context, ended chan<- struct{}) {
	defer close(ended)
	ticker := time.NewTicker(n.cfg.Tick())
	defer ticker.Stop()
	waiting := map[uint64]chan controller.Reply{}
	var last uint64
	ask := func(a ask) controller.Event {
		last++
		a.req.ID = last
		waiting[last] = a.answer
		return a.req
	}
	for {
		ev := n.next(ctx, ticker.C, ask)
		if ev == nil {
			n.sayGoodbye(calls)
			return
		}
		if _, tick := ev.(controller.Tick); tick {
			n.away.look(n.now().Steady, n.cfg.Lease(), n.log)
		}
		for _, e := range n.core.Handle(n.now(), ev) {
			switch e := e.(type) {
			case controller.Reply:
				if ch := waiting[e.ID]; ch != nil {
					ch <- e // buffered, written once
					delete(waiting, e.ID)
				}
			case controller.Call:
				go n.call(calls, e)
			}
		}
	}
}

// sayGoodbye sends what the core has to say at its end. Nobody waits for the answers.
func (n *Node) sayGoodbye(calls context.Context) {
	for _, e := range n.core.Handle(n.now(), controller.Shutdown{}) {
		call, isCall := e.(controller.Call)
		if !isCall {
			continue
		}
		n.ending.Add(1)
		go func() {
			defer n.ending.Done()
			if _, _, err := n.exchange(calls, call); err != nil {
				n.log.Debug("no response", "addr", call.Addr, "path", call.Path, "err", err)
			}
		}()
	}
}

// next is the next event; nil: the context has ended. Time and the state service go first,
// then answers and workers: a flood of users must cost neither the leadership nor the workers'
// leases, and a flood of workers not the leadership.
func (n *Node) next(ctx context.Context, ticks <-chan time.Time, asked func(ask) controller.Event) controller.Event {
	select {
	case ev := <-n.state:
		return ev
	case <-ticks:
		return controller.Tick{}
	default:
	}
	select {
	case ev := <-n.inbox:
		return ev
	case a := <-n.reports:
		return asked(a)
	default:
	}
	select {
	case <-ctx.Done():
		return nil
	case ev := <-n.state:
		return ev
	case ev := <-n.inbox:
		return ev
	case a := <-n.reports:
		return asked(a)
	case <-ticks:
		return controller.Tick{}
	case a := <-n.asks:
		return asked(a)
	}
}

func (n *Node) now() controller.Clock {
	t := time.Now()
	return controller.Clock{Steady: t.Sub(n.start), Wall: t.UnixMilli()}
}

func (n *Node) call(ctx context.Context, c controller.Call) {
	connected := false
	status, body, err := n.exchange(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true }}), c)
	if err != nil {
		n.log.Debug("no response", "addr", c.Addr, "path", c.Path, "err", err)
	}
	answers := n.inbox
	if c.Target == controller.ToState {
		answers = n.state
	}
	select {
	case answers <- controller.Result{ID: c.ID, Status: status, Body: body, ConnectionFailed: !connected}:
	case <-ctx.Done():
	}
}

// errTooLate is of a request that must not leave any more.
var errTooLate = errors.New("the process stood still since the request was decided")

func (n *Node) exchange(ctx context.Context, c controller.Call) (int, []byte, error) {
	if c.ValidUntil > 0 && n.now().Steady > c.ValidUntil {
		return 0, nil, errTooLate
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
	res, err := n.clients[c.Target].Do(req)
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
