package transport

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
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

// Relays that wait for a connection to a busy leader give up early enough for those that get one to be answered in time.
func TestRelaysToABusyLeaderAreNotAllTooLate(t *testing.T) {
	const (
		answerTime   = 200 * time.Millisecond // of the leader
		relayTimeout = 1300 * time.Millisecond
		interval     = 4 * time.Millisecond // between two relays: more than the connections carry
		settle, end  = 3 * time.Second, 6 * time.Second
	)
	leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(answerTime)
		w.WriteHeader(http.StatusOK)
	}))
	defer leader.Close()
	server := newTestServer(t)
	addr := strings.TrimPrefix(leader.URL, "http://")
	var answered atomic.Int64
	var relays sync.WaitGroup
	began := time.Now()
	for time.Since(began) < end {
		counts := time.Since(began) > settle
		relays.Go(func() {
			relay := controller.Call{Target: controller.ToPeer, Addr: addr, Method: http.MethodPost, Path: "/relay", Timeout: relayTimeout}
			if status, _, _ := server.send(t.Context(), relay); status == http.StatusOK && counts {
				answered.Add(1)
			}
		})
		time.Sleep(interval)
	}
	relays.Wait()
	// One connection alone carries as many as this, but for the last.
	if want := int64((end - settle) / answerTime); answered.Load() < want-1 {
		t.Errorf("%d relays were answered in %s, want %d", answered.Load(), end-settle, want-1)
	}
}
