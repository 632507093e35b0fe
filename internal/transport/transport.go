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
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"claybarrow/internal/config"
	"claybarrow/internal/coordination"
	"claybarrow/internal/protocol"
)

// The state service's answers have no size limit of their own (watches), and
// its pages hold 512 KiB; this is what we take at most.
const maxResponse = 4 << 20

// Core is the state machine that the node drives.
type Core interface {
	Handle(coordination.Clock, coordination.Event) []coordination.Effect
}

// Node runs the core's goroutine and the transport actors round it.
type Node struct {
	cfg     *config.Config
	core    Core
	log     *slog.Logger
	inbox   chan coordination.Event
	asks    chan ask // users, other controllers, the load balancer
	reports chan ask // workers
	open    atomic.Int64
	clients map[coordination.Target]*http.Client
	start   time.Time
}

type ask struct {
	req    coordination.Request
	answer chan coordination.Reply
}

// New makes a node round a core.
func New(cfg *config.Config, core Core, log *slog.Logger) *Node {
	fds := cfg.Cluster.Resources.FDs
	client := func(perHost, idle int) *http.Client {
		return &http.Client{
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: cfg.Lease() / 5}).DialContext,
				MaxConnsPerHost:     perHost,
				MaxIdleConnsPerHost: perHost,
				MaxIdleConns:        idle,
				IdleConnTimeout:     2 * cfg.Lease(),
				DisableCompression:  true,
			}}
	}
	return &Node{cfg: cfg, core: core, log: log,
		inbox: make(chan coordination.Event, fds),
		// What waits here is answered within a second or so even by a slow
		// share of a core; more than that is refused at once.
		asks:    make(chan ask, max(16, fds/4)),
		reports: make(chan ask, max(16, fds/4)),
		start:   time.Now(),
		clients: map[coordination.Target]*http.Client{
			coordination.ToState:  client(8, 8),
			coordination.ToCloud:  client(4, 4),
			coordination.ToWorker: client(2, fds/4),
			coordination.ToPeer:   client(max(4, fds/40), fds/10),
		}}
}

// Run serves until the context ends.
func (n *Node) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	users, err := n.listen(n.cfg.ClientListen, n.cfg.Cluster.Resources.FDs*clientConns/100, &n.open)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	peers, err := n.listen(n.cfg.PeerListen, n.cfg.Cluster.Resources.FDs/5, new(atomic.Int64))
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	failed := make(chan error, 2)
	for _, s := range []struct {
		l net.Listener
		h http.Handler
	}{{users, n.userRoutes()}, {peers, n.peerRoutes()}} {
		server := &http.Server{Handler: s.h, ReadHeaderTimeout: n.cfg.Lease(), ReadTimeout: n.cfg.Lease(),
			WriteTimeout: n.cfg.Lease(), IdleTimeout: 4 * n.cfg.Lease(), MaxHeaderBytes: 8 << 10,
			ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)}
		go func() { failed <- server.Serve(s.l) }()
		defer server.Close()
	}
	go n.loop(ctx)
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

// loop is the one goroutine that owns all state.
func (n *Node) loop(ctx context.Context) {
	ticker := time.NewTicker(n.cfg.Tick())
	defer ticker.Stop()
	waiting := map[uint64]chan coordination.Reply{}
	var last uint64
	ask := func(a ask) coordination.Event {
		last++
		a.req.ID = last
		waiting[last] = a.answer
		return a.req
	}
	for {
		// Time, answers and workers go first: a flood of users must cost
		// neither the leadership nor the workers' leases.
		var ev coordination.Event
		select {
		case ev = <-n.inbox:
		case a := <-n.reports:
			ev = ask(a)
		case <-ticker.C:
			ev = coordination.Tick{}
		default:
			select {
			case <-ctx.Done():
				return
			case ev = <-n.inbox:
			case a := <-n.reports:
				ev = ask(a)
			case <-ticker.C:
				ev = coordination.Tick{}
			case a := <-n.asks:
				ev = ask(a)
			}
		}
		for _, e := range n.core.Handle(n.now(), ev) {
			switch e := e.(type) {
			case coordination.Reply:
				if ch := waiting[e.ID]; ch != nil {
					ch <- e // buffered, written once
					delete(waiting, e.ID)
				}
			case coordination.Call:
				go n.call(ctx, e)
			}
		}
	}
}

func (n *Node) now() coordination.Clock {
	t := time.Now()
	return coordination.Clock{Steady: t.Sub(n.start), Wall: t.UnixMilli()}
}

func (n *Node) call(ctx context.Context, c coordination.Call) {
	status, body, err := n.exchange(ctx, c)
	if err != nil {
		n.log.Debug("no response", "addr", c.Addr, "path", c.Path, "err", err)
	}
	select {
	case n.inbox <- coordination.Result{ID: c.ID, Status: status, Body: body}:
	case <-ctx.Done():
	}
}

func (n *Node) exchange(ctx context.Context, c coordination.Call) (int, []byte, error) {
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

func contentType(t coordination.Target) string {
	if t == coordination.ToPeer {
		return "application/cbor"
	}
	return "application/msgpack"
}

func (n *Node) userRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/jobs", n.handler(coordination.OpSubmit, true))
	mux.HandleFunc("GET /api/jobs/{id}", n.handler(coordination.OpPoll, false))
	mux.HandleFunc("POST /api/jobs/{id}/withdraw", n.handler(coordination.OpCancel, false))
	mux.HandleFunc("GET /ready", n.handler(coordination.OpReady, false))
	mux.HandleFunc("POST /hello", n.handler(coordination.OpReport, true))
	return mux
}

func (n *Node) peerRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /relay", n.handler(coordination.OpRelay, true))
	mux.HandleFunc("POST /touch", n.handler(coordination.OpTouch, true))
	mux.HandleFunc("POST /forward", n.handler(coordination.OpForward, true))
	return mux
}

// replyWithin bounds how long a request may be with the core: users give up
// after 5 s, and the core itself answers long before.
const replyWithin = 4500 * time.Millisecond

// Shares of the socket limit, in percent: all connections of client_listen, and
// from where on users' connections are closed after an answer.
const (
	clientConns = 60
	userConns   = 45
)

func (n *Node) handler(op coordination.Op, wantBody bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req := coordination.Request{Op: op, UID: r.PathValue("id")}
		if wantBody {
			// A relayed submission is wrapped: a little more than a user's.
			limit := int64(protocol.MaxBody)
			if op == coordination.OpRelay || op == coordination.OpForward {
				limit += 1 << 10
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
		a := ask{req: req, answer: make(chan coordination.Reply, 1)}
		queue := n.asks
		if op == coordination.OpReport || op == coordination.OpForward || op == coordination.OpTouch {
			queue = n.reports
		} else if n.open.Load() > int64(n.cfg.Cluster.Resources.FDs)*userConns/100 {
			// Room for the workers' connections, which come by the same door.
			w.Header().Set("Connection", "close")
		}
		timer := time.NewTimer(replyWithin)
		defer timer.Stop()
		select {
		case queue <- a:
		default:
			// The queue is bounded: answered at once, with when to come back.
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case reply := <-a.answer:
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

// listen caps the connections that one listener holds; more are closed at
// once, so that room stays for the state service, the cloud and the workers.
func (n *Node) listen(addr string, most int, open *atomic.Int64) (net.Listener, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	return &capped{Listener: l, most: int64(most), open: open}, nil
}

type capped struct {
	net.Listener
	most int64
	open *atomic.Int64
}

func (c *capped) Accept() (net.Conn, error) {
	for {
		conn, err := c.Listener.Accept()
		if err != nil {
			// Out of sockets is no reason to end: wait a little and go on.
			if errors.Is(err, net.ErrClosed) {
				return nil, err
			}
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if c.open.Add(1) > c.most {
			c.open.Add(-1)
			conn.Close()
			continue
		}
		return &cappedConn{Conn: conn, open: c.open}, nil
	}
}

type cappedConn struct {
	net.Conn
	once sync.Once
	open *atomic.Int64
}

func (c *cappedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
