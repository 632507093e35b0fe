package transport

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"claybarrow/internal/config"
	"claybarrow/internal/controller"
	"claybarrow/internal/protocol"
)

// echoCore is a core that replies to every request with the request's operation and job UID.
type echoCore struct{}

func (echoCore) Handle(_ controller.Clock, event controller.Event) []controller.Effect {
	if request, ok := event.(controller.Request); ok {
		body := []byte(string(request.Op) + " " + request.UID)
		return []controller.Effect{controller.Reply{ID: request.ID, Status: http.StatusOK, Body: body}}
	}
	return nil
}

func newTestServer(t *testing.T) *Server {
	t.Helper()
	cfg := &config.Config{}
	cfg.Cluster.Workers = config.Workers{HeartbeatS: 1, LeaseS: 10, CancelS: 35}
	cfg.Cluster.Resources.FDs = 64
	return New(cfg, echoCore{}, slog.New(slog.DiscardHandler))
}

func sendRequest(h http.Handler, method, path string, body []byte) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, bytes.NewReader(body)))
	return w
}

// runLoop runs the server's event loop until the test ends.
func runLoop(t *testing.T, server *Server) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go server.runEventLoop(ctx, ctx, make(chan struct{}))
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
			w := sendRequest(tc.handler, tc.method, tc.path, nil)
			if w.Code != tc.status || (tc.body != "" && w.Body.String() != tc.body) {
				t.Errorf("%s %s: status %d, body %q", tc.method, tc.path, w.Code, w.Body)
			}
		})
	}
	t.Run("oversized body", func(t *testing.T) {
		if w := sendRequest(clients, http.MethodPost, "/api/jobs", make([]byte, protocol.MaxBodyBytes+1)); w.Code != http.StatusBadRequest {
			t.Errorf("oversized body: status %d", w.Code)
		}
	})
}
