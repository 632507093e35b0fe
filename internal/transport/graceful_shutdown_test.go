package transport

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"claybarrow/internal/config"
	"claybarrow/internal/controller"
	"claybarrow/internal/membership"
)

// shutdownCore is a core that says goodbye to an address when it is told to end.
type shutdownCore struct{ addr string }

func (f shutdownCore) Handle(_ controller.Clock, ev controller.Event) []controller.Effect {
	if _, ends := ev.(controller.Shutdown); ends {
		return []controller.Effect{controller.Call{ID: 1, Target: controller.ToPeer, Addr: f.addr, Method: "POST", Path: "/probe", Timeout: time.Second}}
	}
	return nil
}

// freeAddress is a loopback address that nobody listens at.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newShutdownServer(t *testing.T, core Core) *Server {
	t.Helper()
	n := newTestServer(t)
	n.core = core
	n.cfg.ClientListen, n.cfg.PeerListen = freeAddress(t), freeAddress(t)
	n.cfg.Cluster.Resources = config.Resources{Cores: 1, MemMB: 64, FDs: 64}
	n.cfg.Cluster.State = config.State{RPS: 100, WriteRPS: 50, ValueKB: 8, TxnOps: 24}
	return n
}

// A process that is told to end sends what it has to say first, and waits a tenth of a lease at the most
// for those that don't answer.
func TestGracefulShutdown(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		var said atomic.Int32
		release := make(chan struct{})
		peer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			said.Add(1)
			if hangs {
				<-release
			}
		}))
		n := newShutdownServer(t, shutdownCore{strings.TrimPrefix(peer.URL, "http://")})
		ctx, end := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- n.Run(ctx) }()
		time.Sleep(50 * time.Millisecond)
		end()
		select {
		case err := <-done:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(3 * time.Second):
			t.Errorf("hangs %v: it does not end", hangs)
		}
		if said.Load() != 1 {
			t.Errorf("hangs %v: goodbye was said %d times", hangs, said.Load())
		}
		close(release)
		peer.Close()
	}
}

// A command that was decided before a standstill does not leave after the time that it was decided for.
func TestExpiredCallIsNotSent(t *testing.T) {
	reached := false
	worker := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached = true }))
	defer worker.Close()
	n := newTestServer(t)
	n.start = time.Now().Add(-time.Minute)
	call := controller.Call{Target: controller.ToWorker, Addr: strings.TrimPrefix(worker.URL, "http://"), Method: "POST", Path: "/commands", Timeout: time.Second}
	call.ValidUntil = 30 * time.Second
	if _, _, err := n.send(context.Background(), call); !errors.Is(err, errExpired) || reached {
		t.Errorf("too late: %v, reached %v", err, reached)
	}
	call.ValidUntil = 2 * time.Minute
	if status, _, err := n.send(context.Background(), call); status != 200 || err != nil || !reached {
		t.Errorf("in time: %d, %v", status, err)
	}
}

// Probes are bounded before they are read, and metrics are there only if somebody asked for them.
func TestPeerRoutes(t *testing.T) {
	n := newTestServer(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go n.loop(ctx, ctx, make(chan struct{}))
	if w := send(n.peerRoutes(), "POST", "/probe", make([]byte, membership.MostBytes+1)); w.Code != 400 {
		t.Errorf("an oversized probe: %d", w.Code)
	}
	if w := send(n.peerRoutes(), "POST", "/probe", []byte{0xa0}); w.Code != 200 || !strings.HasPrefix(w.Body.String(), "probe") {
		t.Errorf("a probe: %d %s", w.Code, w.Body)
	}
	if w := send(n.peerRoutes(), "GET", "/metrics", nil); w.Code != 404 {
		t.Errorf("metrics that nobody asked for: %d", w.Code)
	}
	n.ServeMetrics(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	if w := send(n.peerRoutes(), "GET", "/metrics", nil); w.Code != 200 {
		t.Errorf("metrics: %d", w.Code)
	}
}
