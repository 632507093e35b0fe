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

// shutdownCore is a core whose last effect is a call to a peer's address.
type shutdownCore struct{ addr string }

func (c shutdownCore) Handle(_ controller.Clock, event controller.Event) []controller.Effect {
	if _, isShutdown := event.(controller.Shutdown); isShutdown {
		return []controller.Effect{controller.Call{
			ID: 1, Target: controller.ToPeer, Addr: c.addr, Method: http.MethodPost, Path: "/probe", Timeout: time.Second}}
	}
	return nil
}

// freeAddress returns a loopback address that nobody listens at.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

func newShutdownServer(t *testing.T, core Core) *Server {
	t.Helper()
	server := newTestServer(t)
	server.core = core
	server.cfg.ClientListen, server.cfg.PeerListen = freeAddress(t), freeAddress(t)
	server.cfg.Cluster.Resources = config.Resources{Cores: 1, MemMB: 64, FDs: 64}
	server.cfg.Cluster.State = config.State{RPS: 100, WriteRPS: 50, ValueKB: 8, TxnOps: 24}
	return server
}

// A process that is told to end sends its last requests first, and waits a tenth of a lease at most
// for those that are not answered.
func TestGracefulShutdown(t *testing.T) {
	for _, tc := range []struct {
		name  string
		hangs bool
	}{
		{name: "the peer answers"},
		{name: "the peer hangs", hangs: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var received atomic.Int32
			release := make(chan struct{})
			peer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				received.Add(1)
				if tc.hangs {
					<-release
				}
			}))
			t.Cleanup(func() {
				close(release)
				peer.Close()
			})
			server := newShutdownServer(t, shutdownCore{strings.TrimPrefix(peer.URL, "http://")})
			ctx, end := context.WithCancel(context.Background())
			defer end()
			done := make(chan error, 1)
			go func() { done <- server.Run(ctx) }()
			time.Sleep(50 * time.Millisecond)
			end()
			select {
			case err := <-done:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(3 * time.Second):
				t.Error("the server does not end")
			}
			if received.Load() != 1 {
				t.Errorf("the peer got %d requests, want 1", received.Load())
			}
		})
	}
}

// A request that was decided before a pause of the process is not sent once it is no longer valid.
func TestExpiredCallIsNotSent(t *testing.T) {
	reached := false
	worker := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached = true }))
	defer worker.Close()
	server := newTestServer(t)
	server.start = time.Now().Add(-time.Minute)
	call := controller.Call{Target: controller.ToWorker, Addr: strings.TrimPrefix(worker.URL, "http://"), Method: http.MethodPost, Path: "/commands", Timeout: time.Second}
	call.ValidUntil = 30 * time.Second
	if _, _, err := server.send(context.Background(), call); !errors.Is(err, errExpired) || reached {
		t.Errorf("expired: %v, reached %v", err, reached)
	}
	call.ValidUntil = 2 * time.Minute
	if status, _, err := server.send(context.Background(), call); status != http.StatusOK || err != nil || !reached {
		t.Errorf("still valid: %d, %v", status, err)
	}
}

// Probes are bounded before they are read, and metrics are served only if they were asked for.
func TestPeerRoutes(t *testing.T) {
	server := newTestServer(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go server.loop(ctx, ctx, make(chan struct{}))
	if w := send(server.peerRoutes(), http.MethodPost, "/probe", make([]byte, membership.MaxMessageBytes+1)); w.Code != http.StatusBadRequest {
		t.Errorf("an oversized probe: %d", w.Code)
	}
	if w := send(server.peerRoutes(), http.MethodPost, "/probe", []byte{0xa0}); w.Code != http.StatusOK || !strings.HasPrefix(w.Body.String(), "probe") {
		t.Errorf("a probe: %d %s", w.Code, w.Body)
	}
	if w := send(server.peerRoutes(), http.MethodGet, "/metrics", nil); w.Code != http.StatusNotFound {
		t.Errorf("metrics that nobody asked for: %d", w.Code)
	}
	server.ServeMetrics(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	if w := send(server.peerRoutes(), http.MethodGet, "/metrics", nil); w.Code != http.StatusOK {
		t.Errorf("metrics: %d", w.Code)
	}
}
