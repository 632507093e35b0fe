package emulator

import (
	"fmt"
	"testing"
	"time"

	"claybarrow/internal/protocol"
)

// stateBench is a state service with small limits, and the event queue that it runs on.
type stateBench struct {
	*StateService
	queue *EventQueue
}

func newStateBench() *stateBench {
	queue := &EventQueue{}
	return &stateBench{NewStateService(queue, StateLimits{ValueBytes: 100, Changes: 4, ChangeRate: 5}), queue}
}

// ask sends one request and returns the response; status -1: there is no response yet.
func (b *stateBench) ask(method, path string, body any) (status int, answer []byte) {
	status = -1
	b.Serve(0, method, path, protocol.Encode(body), func(got int, raw []byte) { status, answer = got, raw })
	return status, answer
}

// want sends one request and checks the status of the response.
func (b *stateBench) want(t *testing.T, what string, want int, method, path string, body any) []byte {
	t.Helper()
	got, answer := b.ask(method, path, body)
	if got != want {
		t.Errorf("%s: status %d, want %d", what, got, want)
	}
	return answer
}

func put(key string, lease uint64) protocol.Transaction {
	return protocol.Transaction{Then: []protocol.Change{{Put: key, Value: "x", Lease: lease}}}
}

func TestChangeRateLimit(t *testing.T) {
	b := newStateBench()
	for i := range 5 {
		b.want(t, fmt.Sprintf("change %d in one second", i), 200, "POST", "/multi", put(fmt.Sprint("a/", i), 0))
	}
	b.want(t, "change 5 in one second", 429, "POST", "/multi", put("a/5", 0))
	b.queue.RunUntil(time.Second)
	b.want(t, "a change in the next second", 200, "POST", "/multi", put("a/5", 0))
}

func TestRefusedTransactions(t *testing.T) {
	b := newStateBench()
	long := protocol.Transaction{Then: []protocol.Change{{Put: "a/9", Value: string(make([]byte, 200))}}}
	b.want(t, "a value that is too large", 400, "POST", "/multi", long)
	if b.TooLarge != 1 {
		t.Errorf("%d transactions counted as too large, want 1", b.TooLarge)
	}
	b.want(t, "a put with a lease that does not exist", 400, "POST", "/multi", put("a/9", 77))
	if b.TooLarge != 1 || b.Item("a/9") != nil {
		t.Errorf("%d transactions counted as too large, want 1; item %v, want none", b.TooLarge, b.Item("a/9"))
	}
}

// The expiry of a lease deletes its keys and notifies the watches of these keys.
func TestLeaseExpiry(t *testing.T) {
	b := newStateBench()
	b.queue.RunUntil(time.Second)
	body := b.want(t, "a lease", 200, "POST", "/leases", protocol.LeaseRequest{TTLMillis: 1000})
	var lease protocol.LeaseReply
	if err := protocol.Decode(body, &lease); err != nil {
		t.Fatal(err)
	}
	b.want(t, "a put with a lease", 200, "POST", "/multi", put("a/lease", lease.Lease))
	watched := -1
	b.Serve(0, "GET", "/follow?under=a/lease&after=1&blockMs=30000", nil, func(status int, _ []byte) { watched = status })
	b.queue.RunUntil(1900 * time.Millisecond)
	if watched != -1 || b.Item("a/lease") == nil {
		t.Error("the lease expired early")
	}
	b.queue.RunUntil(2200 * time.Millisecond)
	if watched != 200 || b.Item("a/lease") != nil {
		t.Errorf("after the lease has expired: watch status %d, item %v; want 200 and no item", watched, b.Item("a/lease"))
	}
}

func TestListPages(t *testing.T) {
	b := newStateBench()
	for i := range 5 {
		b.want(t, "put", 200, "POST", "/multi", put(fmt.Sprint("a/", i), 0))
	}
	var page protocol.KeyValuePage
	body := b.want(t, "a page", 200, "GET", "/store?under=a/&limit=2&after=a/1", nil)
	if err := protocol.Decode(body, &page); err != nil || len(page.Items) != 2 || page.Items[0].Key != "a/2" || !page.More {
		t.Errorf("a page after a/1: %+v, %v", page, err)
	}
}

func TestWatchOfOldRevision(t *testing.T) {
	b := newStateBench()
	for range 3 * maxKeptEvents {
		b.Change("b", &Item{Value: protocol.Encode(1)})
	}
	b.want(t, "a watch of events that are no longer retained", 410, "GET", "/follow?under=a/&after=1", nil)
}

func TestOutage(t *testing.T) {
	b := newStateBench()
	b.Change("b", &Item{Value: protocol.Encode(1)})
	b.Outage(time.Second)
	b.want(t, "during an outage", 503, "GET", "/store/b", nil)
	b.queue.RunUntil(time.Second)
	b.want(t, "after an outage", 200, "GET", "/store/b", nil)
}
