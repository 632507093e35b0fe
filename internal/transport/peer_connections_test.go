package transport

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
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

// While relays and forwarded heartbeats both wait for connections to a controller, each kind gets its share of them. A
// kind that waits alone gets all.
func TestKindsShareTheConnectionsToAController(t *testing.T) {
	synctest.Test(t, testSharedConnections)
}

func testSharedConnections(t *testing.T) {
	server := newTestServer(t)
	server.cfg.Cluster.Resources.FDs = 2000
	peers := newPeerConnections(server.cfg)
	var mu sync.Mutex
	releases := map[peerMessage][]func(){}
	acquire := func(kind peerMessage) {
		if release, err := peers.acquire(t.Context(), kind, "addr", time.Minute); err == nil {
			mu.Lock()
			defer mu.Unlock()
			releases[kind] = append(releases[kind], release)
		}
	}
	for range peers.sharedConns {
		acquire(peerUserRelay)
	}
	if got := len(releases[peerUserRelay]); got != peers.sharedConns {
		t.Errorf("relays alone got %d of %d connections", got, peers.sharedConns)
	}
	for range 2 * peers.sharedConns {
		go acquire(peerUserRelay)
		go acquire(peerWorkerForward)
	}
	synctest.Wait()
	for range peers.sharedConns {
		release := releases[peerUserRelay][0]
		releases[peerUserRelay] = releases[peerUserRelay][1:]
		release()
		synctest.Wait()
	}
	relays, forwards := len(releases[peerUserRelay]), len(releases[peerWorkerForward])
	if want := peers.sharedConns * relayWeight / (relayWeight + forwardWeight); relays < want || relays > want+1 || relays+forwards != peers.sharedConns {
		t.Errorf("relays got %d and forwarded heartbeats %d of %d connections, want %d relays", relays, forwards, peers.sharedConns, want)
	}
	time.Sleep(time.Minute) // the others give up
	if stats := peers.takeStats(); stats[peerUserRelay].waiting != 0 || stats[peerWorkerForward].gaveUp == 0 {
		t.Errorf("after all have given up: %+v", stats)
	}
}

// The lines that tell of a shortage are logged once a workers' lease, and only while there is one.
func TestShortageIsLoggedOncePerWorkersLease(t *testing.T) {
	var logOutput bytes.Buffer
	server := newTestServer(t)
	server.log = slog.New(slog.NewTextHandler(&logOutput, nil))
	lease := server.cfg.WorkerLease()
	server.reportAdmission(0)
	if logOutput.Len() > 0 {
		t.Errorf("logged without a shortage: %s", &logOutput)
	}
	for server.queue.add(&queuedEvent{class: classQuestion}) {
		continue // until the class is full, and rejects
	}
	for range server.peers.sharedConns + 1 {
		_, _ = server.peers.acquire(t.Context(), peerUserRelay, "addr", time.Millisecond) // the last one gives up
	}
	for _, now := range []time.Duration{lease / 2, lease, lease + lease/2, 2 * lease, 3 * lease} {
		server.reportAdmission(now)
	}
	logged := logOutput.String()
	if strings.Count(logged, "\n") != 2 || !strings.Contains(logged, `msg="requests shed" question.waiting=16`) || !strings.Contains(logged, "question.rejected=1") ||
		!strings.Contains(logged, `msg="no free connection to other controllers" user_relay.waiting=0`) || !strings.Contains(logged, "user_relay.gave_up=1") {
		t.Errorf("want one line for each shortage, logged:\n%s", logged)
	}
}

// A message that got no free connection is not taken for one that the other controller refused.
func TestMessageWithoutAFreeConnectionIsNotReportedAsRefused(t *testing.T) {
	server := newTestServer(t)
	for range server.peers.sharedConns {
		if _, err := server.peers.acquire(t.Context(), peerUserRelay, "127.0.0.1:1", time.Minute); err != nil {
			t.Fatal(err)
		}
	}
	server.executeCall(t.Context(), controller.Call{Target: controller.ToPeer, Addr: "127.0.0.1:1", Method: http.MethodPost, Path: "/relay", Timeout: 40 * time.Millisecond})
	result, ok := server.queue.next(0).event.(controller.Result)
	if !ok || result.Status != 0 || result.ConnectionFailed {
		t.Errorf("result %+v, want status 0 and no failed connection", result)
	}
}

// Relays that are the only messages to the leader use its connections, except those of the controllers' own messages.
func TestRelaysAloneUseTheConnectionsToTheLeader(t *testing.T) {
	release := make(chan struct{})
	var held atomic.Int64
	leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held.Add(1)
		select {
		case <-release:
		case <-r.Context().Done():
		}
		w.WriteHeader(http.StatusOK)
	}))
	defer leader.Close()
	defer close(release)
	server := newTestServer(t)
	addr := strings.TrimPrefix(leader.URL, "http://")
	for range 40 {
		relay := controller.Call{Target: controller.ToPeer, Addr: addr, Method: http.MethodPost, Path: "/relay", Timeout: 30 * time.Second}
		go func() { _, _, _ = server.send(t.Context(), relay) }() // it ends with the test
	}
	time.Sleep(200 * time.Millisecond)
	conns := int64(server.cfg.Cluster.Resources.FDs * outboundPeerConnPercent / 100)
	if got, want := held.Load(), conns-1; got < want {
		t.Errorf("relays use %d of %d connections to the leader, want all but one", got, conns)
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
