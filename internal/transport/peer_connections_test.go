package transport

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"claybarrow/internal/controller"
)

// Relayed requests that the leader holds for long use up the connections to it, but heartbeats to the leader still leave.
func TestHeldRelaysDoNotDelayHeartbeatsToTheLeader(t *testing.T) {
	release := make(chan struct{})
	leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/relay" {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}
		w.WriteHeader(http.StatusOK)
	}))
	defer leader.Close()
	defer close(release)
	server := newTestServer(t)
	addr := strings.TrimPrefix(leader.URL, "http://")
	const relays = 40 // more than the connections to one controller with 64 sockets
	relay := controller.Call{Target: controller.ToPeer, Addr: addr, Method: http.MethodPost, Path: "/relay", Timeout: 30 * time.Second}
	for range relays {
		go func() { _, _, _ = server.send(t.Context(), relay) }() // it ends with the test
	}
	time.Sleep(100 * time.Millisecond) // all of them are on their way or wait for a connection
	heartbeat := controller.Call{Target: controller.ToPeer, Addr: addr, Method: http.MethodPost, Path: "/heartbeat", Timeout: time.Second}
	status, _, err := server.send(t.Context(), heartbeat)
	if status != http.StatusOK {
		t.Errorf("a heartbeat to the leader beside %d held relays: status %d, error %v", relays, status, err)
	}
}
