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

// shutdownCore is a core that responds to the Shutdown event with a call to a peer.
type shutdownCore struct{ addr string }

func (c shutdownCore) Handle(_ controller.Clock, event controller.Event) []controller.Effect {
	if _, isShutdown := event.(controller.Shutdown); isShutdown {
		return []controller.Effect{controller.Call{
			ID: 1, Target: controller.ToPeer, Addr: c.addr, Method: http.MethodPost, Path: "/probe", Timeout: time.Second}}
	}
	return nil
}

// freeAddress returns a loopback address with an unused port.
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

// On shutdown, the server sends the core's last requests before it ends. It waits for their responses for at most a
// tenth of the workers' lease.
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
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			done := make(chan error, 1)
			go func() { done <- server.Run(ctx) }()
			time.Sleep(50 * time.Millisecond)
			cancel()
			select {
			case err := <-done:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(3 * time.Second):
				t.Error("the server did not end within 3 s")
			}
			if received.Load() != 1 {
				t.Errorf("the peer received %d requests, want 1", received.Load())
			}
		})
	}
}

// A request that was created before a process pause is not sent if it is no longer valid after the pause.
func TestExpiredCallIsNotSent(t *testing.T) {
	reached := false
	worker := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached = true }))
	defer worker.Close()
	server := newTestServer(t)
	server.startTime = time.Now().Add(-time.Minute)
	call := controller.Call{Target: controller.ToWorker, Addr: strings.TrimPrefix(worker.URL, "http://"), Method: http.MethodPost, Path: "/commands", Timeout: time.Second}
	call.ValidUntil = 30 * time.Second
	if _, _, err := server.send(context.Background(), call); !errors.Is(err, errExpired) || reached {
		t.Errorf("expired call: error %v, worker reached: %v", err, reached)
	}
	call.ValidUntil = 2 * time.Minute
	if status, _, err := server.send(context.Background(), call); status != http.StatusOK || err != nil || !reached {
		t.Errorf("valid call: status %d, error %v", status, err)
	}
}

// The size of a probe is checked before the probe is decoded. Metrics are served only if a handler is set for them.
func TestPeerRoutes(t *testing.T) {
	server := newTestServer(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go server.runEventLoop(ctx, ctx, make(chan struct{}))
	if w := sendRequest(server.peerRoutes(), http.MethodPost, "/probe", make([]byte, membership.MaxMessageBytes+1)); w.Code != http.StatusBadRequest {
		t.Errorf("oversized probe: status %d", w.Code)
	}
	if w := sendRequest(server.peerRoutes(), http.MethodPost, "/probe", []byte{0xa0}); w.Code != http.StatusOK || !strings.HasPrefix(w.Body.String(), "probe") {
		t.Errorf("probe: status %d, body %s", w.Code, w.Body)
	}
	if w := sendRequest(server.peerRoutes(), http.MethodGet, "/metrics", nil); w.Code != http.StatusNotFound {
		t.Errorf("metrics without a handler: status %d", w.Code)
	}
	server.SetMetricsHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	if w := sendRequest(server.peerRoutes(), http.MethodGet, "/metrics", nil); w.Code != http.StatusOK {
		t.Errorf("metrics: status %d", w.Code)
	}
}
