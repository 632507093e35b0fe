package emulator

import (
	"fmt"
	"testing"
	"time"

	"claybarrow/internal/protocol"
)

// stateHarness is a state service with small limits, and the event queue that it runs on.
type stateHarness struct {
	*StateService
	queue *EventQueue
}

func newStateHarness() *stateHarness {
	queue := &EventQueue{}
	return &stateHarness{NewStateService(queue, StateLimits{ValueBytes: 100, Changes: 4, ChangeRate: 5}), queue}
}

// request sends one request and returns the response; status -1: there is no response yet.
func (harness *stateHarness) request(method, path string, body any) (status int, response []byte) {
	status = -1
	harness.Serve(0, method, path, protocol.Encode(body), func(got int, raw []byte) { status, response = got, raw })
	return status, response
}

// expectStatus sends one request and checks the status of the response.
func (harness *stateHarness) expectStatus(t *testing.T, description string, want int, method, path string, body any) []byte {
	t.Helper()
	got, response := harness.request(method, path, body)
	if got != want {
		t.Errorf("%s: status %d, want %d", description, got, want)
	}
	return response
}

func put(key string, lease uint64) protocol.Transaction {
	return protocol.Transaction{Then: []protocol.Change{{Put: key, Value: "x", Lease: lease}}}
}

func TestChangeRateLimit(t *testing.T) {
	harness := newStateHarness()
	for i := range 5 {
		harness.expectStatus(t, fmt.Sprintf("change %d in one second", i), 200, "POST", "/multi", put(fmt.Sprint("a/", i), 0))
	}
	harness.expectStatus(t, "change 5 in one second", 429, "POST", "/multi", put("a/5", 0))
	harness.queue.RunUntil(time.Second)
	harness.expectStatus(t, "a change in the next second", 200, "POST", "/multi", put("a/5", 0))
}

func TestRefusedTransactions(t *testing.T) {
	harness := newStateHarness()
	oversized := protocol.Transaction{Then: []protocol.Change{{Put: "a/9", Value: string(make([]byte, 200))}}}
	harness.expectStatus(t, "a value that is too large", 400, "POST", "/multi", oversized)
	if harness.TooLargeTransactions != 1 {
		t.Errorf("%d transactions counted as too large, want 1", harness.TooLargeTransactions)
	}
	harness.expectStatus(t, "a put with a lease that does not exist", 400, "POST", "/multi", put("a/9", 77))
	if harness.TooLargeTransactions != 1 || harness.Item("a/9") != nil {
		t.Errorf("%d transactions counted as too large, want 1; item %v, want none", harness.TooLargeTransactions, harness.Item("a/9"))
	}
}

// The expiry of a lease deletes its keys and notifies the watches of these keys.
func TestLeaseExpiry(t *testing.T) {
	harness := newStateHarness()
	harness.queue.RunUntil(time.Second)
	body := harness.expectStatus(t, "a lease", 200, "POST", "/leases", protocol.LeaseRequest{TTLMillis: 1000})
	var lease protocol.LeaseReply
	if err := protocol.Decode(body, &lease); err != nil {
		t.Fatal(err)
	}
	harness.expectStatus(t, "a put with a lease", 200, "POST", "/multi", put("a/lease", lease.Lease))
	watchStatus := -1
	harness.Serve(0, "GET", "/follow?under=a/lease&after=1&blockMs=30000", nil, func(status int, _ []byte) { watchStatus = status })
	harness.queue.RunUntil(1900 * time.Millisecond)
	if watchStatus != -1 || harness.Item("a/lease") == nil {
		t.Error("the lease expired early")
	}
	harness.queue.RunUntil(2200 * time.Millisecond)
	if watchStatus != 200 || harness.Item("a/lease") != nil {
		t.Errorf("after the lease has expired: watch status %d, item %v; want 200 and no item", watchStatus, harness.Item("a/lease"))
	}
}

func TestListPages(t *testing.T) {
	harness := newStateHarness()
	for i := range 5 {
		harness.expectStatus(t, "put", 200, "POST", "/multi", put(fmt.Sprint("a/", i), 0))
	}
	var page protocol.KeyValuePage
	body := harness.expectStatus(t, "a page", 200, "GET", "/store?under=a/&limit=2&after=a/1", nil)
	if err := protocol.Decode(body, &page); err != nil || len(page.Items) != 2 || page.Items[0].Key != "a/2" || !page.More {
		t.Errorf("a page after a/1: %+v, %v", page, err)
	}
}

func TestWatchOfOldRevision(t *testing.T) {
	harness := newStateHarness()
	for range 3 * maxRetainedEvents {
		harness.ForceChange("b", &Item{Value: protocol.Encode(1)})
	}
	harness.expectStatus(t, "a watch of events that are no longer retained", 410, "GET", "/follow?under=a/&after=1", nil)
}

func TestOutage(t *testing.T) {
	harness := newStateHarness()
	harness.ForceChange("b", &Item{Value: protocol.Encode(1)})
	harness.InjectOutage(time.Second)
	harness.expectStatus(t, "during an outage", 503, "GET", "/store/b", nil)
	harness.queue.RunUntil(time.Second)
	harness.expectStatus(t, "after an outage", 200, "GET", "/store/b", nil)
}
