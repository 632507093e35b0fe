package machinepool

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"claybarrow/internal/cloudclient"
	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
)

// fakeHost is a Host and a Transport that records calls. Tests supply the answers to the requests.
type fakeHost struct {
	now              time.Duration
	sent             []sentRequest
	timers           []func()
	ended            bool
	listedMachines   []string
	listedNames      []string
	toDelete         []string
	deleted          []string
	launched         []string
	exhaustedReports []bool
}

type sentRequest struct {
	path   string
	body   any
	answer func(int, []byte)
}

func (h *fakeHost) Now() time.Duration { return h.now }
func (h *fakeHost) Call(_, path string, body any, _ time.Duration, done func(int, []byte)) {
	h.sent = append(h.sent, sentRequest{path, body, done})
}
func (h *fakeHost) MayRequest() bool                  { return true }
func (h *fakeHost) RetryPause() time.Duration         { return 100 * time.Millisecond }
func (h *fakeHost) RunAt(_ time.Duration, run func()) { h.timers = append(h.timers, run) }
func (h *fakeHost) HasEnded() bool                    { return h.ended }
func (h *fakeHost) OnListed(m *protocol.ListedMachine) {
	h.listedMachines = append(h.listedMachines, m.ID)
}
func (h *fakeHost) OnDeleted(name string) { h.deleted = append(h.deleted, name) }
func (h *fakeHost) SetExhausted(_ scheduler.Pool, exhausted bool) {
	h.exhaustedReports = append(h.exhaustedReports, exhausted)
}
func (h *fakeHost) MachinesToDelete(limit int) []string {
	return h.toDelete[:min(limit, len(h.toDelete))]
}
func (h *fakeHost) OnLaunched(_ scheduler.Pool, name string, _ time.Duration) {
	h.launched = append(h.launched, name)
}
func (h *fakeHost) OnListRead(_ time.Duration, names map[string]bool) {
	for name := range names {
		h.listedNames = append(h.listedNames, name)
	}
	slices.Sort(h.listedNames)
}

// takeSent removes and returns the last request to a path.
func (h *fakeHost) takeSent(t *testing.T, path string) sentRequest {
	t.Helper()
	for i := len(h.sent) - 1; i >= 0; i-- {
		if c := h.sent[i]; c.path == path {
			h.sent = slices.Delete(h.sent, i, i+1)
			return c
		}
	}
	t.Fatalf("no request to %s was sent", path)
	return sentRequest{}
}

func newTestPool() (*fakeHost, *Pool) {
	host := &fakeHost{now: time.Minute}
	return host, New(host, cloudclient.New(host), slog.New(slog.DiscardHandler), Times{Lease: 10 * time.Second, ListLag: 5 * time.Second, ListInterval: 3 * time.Second}, 7)
}

func page(more bool, names ...string) []byte {
	list := protocol.MachineList{More: more}
	for _, name := range names {
		list.Machines = append(list.Machines, protocol.ListedMachine{ID: name})
	}
	return protocol.Encode(list)
}

// The list is read page by page. Removed machines are not passed to OnListed, but OnListRead includes their names.
func TestList(t *testing.T) {
	host, p := newTestPool()
	p.MarkRemoved("i-2")
	p.Tick()
	host.takeSent(t, "/machines?limit=500").answer(200, page(true, "i-1", "i-2"))
	if p.HasList() {
		t.Error("HasList is true after the first of two pages")
	}
	host.takeSent(t, "/machines?limit=500&after=i-2").answer(200, page(false, "i-3"))
	if !p.HasList() || !slices.Equal(host.listedMachines, []string{"i-1", "i-3"}) || !slices.Equal(host.listedNames, []string{"i-1", "i-2", "i-3"}) {
		t.Errorf("machines passed to OnListed: %v, names passed to OnListRead: %v", host.listedMachines, host.listedNames)
	}
	p.Tick()
	if len(host.sent) > 0 {
		t.Error("the list was read again before ListInterval")
	}
	host.now += 3 * time.Second
	p.Tick()
	host.takeSent(t, "/machines?limit=500").answer(503, nil)
	host.now += time.Second
	p.Tick()
	host.takeSent(t, "/machines?limit=500")
}

// A deletion request contains at most 100 machines, only one is in flight at a time, and it is retried until the
// cloud answers 200.
func TestDeletions(t *testing.T) {
	host, p := newTestPool()
	for i := range 130 {
		host.toDelete = append(host.toDelete, fmt.Sprintf("i-%d", i))
	}
	p.Tick()
	p.Tick()
	c := host.takeSent(t, "/machines/delete")
	if got := len(c.body.(protocol.MachineIDs).Machines); got != 100 {
		t.Errorf("%d machines in a deletion request, want 100", got)
	}
	c.answer(0, nil)
	p.Tick()
	host.now += time.Second
	p.Tick()
	host.takeSent(t, "/machines/delete").answer(200, nil)
	if len(host.deleted) != 100 {
		t.Errorf("%d machines were reported as deleted, want 100", len(host.deleted))
	}
}

// A launch request has a unique name and is retried with the same name if it had no answer. The back-off of a pool
// that filled a request only in part grows with each further failure.
func TestLaunchRetriesAndBackoff(t *testing.T) {
	host, p := newTestPool()
	pool := scheduler.Pool{Type: "m8", Zone: "a"}
	p.Launch(pool, 80)
	c := host.takeSent(t, "/machines")
	q := c.body.(protocol.LaunchRequest)
	if q.Count != 50 || q.Request != "r-7-1" || len(p.LaunchesInFlight()) != 1 {
		t.Errorf("unexpected launch request: %+v", q)
	}
	c.answer(0, nil)
	host.timers[0]()
	c = host.takeSent(t, "/machines")
	if again := c.body.(protocol.LaunchRequest); again != q {
		t.Errorf("the retry differs from the first attempt: %+v", again)
	}
	p.MarkRemoved("i-2")
	c.answer(200, protocol.Encode(protocol.MachineIDs{Machines: []string{"i-1", "i-2"}}))
	if !slices.Equal(host.launched, []string{"i-1"}) || !p.IsBackingOff(pool) || len(p.LaunchesInFlight()) != 0 {
		t.Errorf("machines passed to OnLaunched: %v, back-off: %v", host.launched, p.IsBackingOff(pool))
	}
	host.now += 5*time.Second + 1
	if p.IsBackingOff(pool) {
		t.Error("the first back-off is longer than half a lease")
	}
	p.Launch(pool, 1)
	host.takeSent(t, "/machines").answer(503, protocol.Encode(map[string]any{"error": "no capacity"}))
	host.now += 9 * time.Second
	if !p.IsBackingOff(pool) {
		t.Error("the second back-off is not longer than the first")
	}
	p.Launch(pool, 1)
	host.takeSent(t, "/machines").answer(200, protocol.Encode(protocol.MachineIDs{Machines: []string{"i-3"}}))
	if p.IsBackingOff(pool) || !slices.Equal(host.exhaustedReports, []bool{true, true, false}) {
		t.Errorf("back-off: %v, calls of SetExhausted: %v", p.IsBackingOff(pool), host.exhaustedReports)
	}
	// An outage (503 with another text) starts no back-off. The request is retried for four leases.
	p.Launch(pool, 1)
	host.takeSent(t, "/machines").answer(503, protocol.Encode(map[string]any{"error": "trouble"}))
	if p.IsBackingOff(pool) || len(p.LaunchesInFlight()) != 1 {
		t.Error("an outage was handled as a lack of capacity")
	}
	host.timers[len(host.timers)-1]()
	host.now += 41 * time.Second
	host.takeSent(t, "/machines").answer(0, nil)
	if len(p.LaunchesInFlight()) != 0 {
		t.Error("the launch request is still retried after four leases")
	}
}

// A launch request that fails for lack of capacity or as invalid starts a back-off of the pool; any other failure is
// retried.
func TestLaunchFailures(t *testing.T) {
	pool := scheduler.Pool{Type: "m8", Zone: "a"}
	for _, c := range []struct {
		name      string
		status    int
		body      []byte
		exhausted bool
	}{
		{"no capacity", 503, protocol.Encode(map[string]any{"error": "no capacity"}), true},
		{"invalid", 400, nil, true},
		{"outage", 503, protocol.Encode(map[string]any{"error": "trouble"}), false},
		{"no answer", 0, nil, false},
		{"rate limited", 429, nil, false},
		{"success that can't be read", 200, []byte{0xc1}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			host, p := newTestPool()
			p.Launch(pool, 1)
			host.takeSent(t, "/machines").answer(c.status, c.body)
			if p.IsBackingOff(pool) != c.exhausted || (len(host.timers) == 0) != c.exhausted || (len(p.LaunchesInFlight()) == 0) != c.exhausted {
				t.Errorf("back-off: %v, scheduled retries: %d, requests in flight: %d", p.IsBackingOff(pool), len(host.timers), len(p.LaunchesInFlight()))
			}
		})
	}
}

// Answers that arrive after the end of the leader's term are ignored.
func TestAnswersAfterTheTerm(t *testing.T) {
	host, p := newTestPool()
	p.Launch(scheduler.Pool{Type: "m8"}, 1)
	p.Tick()
	host.ended = true
	host.takeSent(t, "/machines").answer(200, protocol.Encode(protocol.MachineIDs{Machines: []string{"i-1"}}))
	host.takeSent(t, "/machines?limit=500").answer(200, page(false, "i-1"))
	if len(host.launched)+len(host.listedMachines)+len(host.listedNames) > 0 {
		t.Errorf("answers were handled after the end of the term: %+v", host)
	}
}
