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

// fakeHost is a leader whose cloud answers as a test says.
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
func (h *fakeHost) Call(_, path string, body any, _ time.Duration, then func(int, []byte)) {
	h.sent = append(h.sent, sentRequest{path, body, then})
}
func (h *fakeHost) MayRequest() bool                 { return true }
func (h *fakeHost) RetryPause() time.Duration        { return 100 * time.Millisecond }
func (h *fakeHost) RunAt(_ time.Duration, do func()) { h.timers = append(h.timers, do) }
func (h *fakeHost) HasEnded() bool                   { return h.ended }
func (h *fakeHost) OnListed(m *protocol.ListedMachine) {
	h.listedMachines = append(h.listedMachines, m.ID)
}
func (h *fakeHost) OnDeleted(name string) { h.deleted = append(h.deleted, name) }
func (h *fakeHost) SetExhausted(_ scheduler.Pool, short bool) {
	h.exhaustedReports = append(h.exhaustedReports, short)
}
func (h *fakeHost) MachinesToDelete(most int) []string {
	return h.toDelete[:min(most, len(h.toDelete))]
}
func (h *fakeHost) OnLaunched(_ scheduler.Pool, n string, _ time.Duration) {
	h.launched = append(h.launched, n)
}
func (h *fakeHost) OnListRead(_ time.Duration, names map[string]bool) {
	for name := range names {
		h.listedNames = append(h.listedNames, name)
	}
	slices.Sort(h.listedNames)
}

// take is the last call to a path, taken out.
func (h *fakeHost) take(t *testing.T, path string) sentRequest {
	t.Helper()
	for i := len(h.sent) - 1; i >= 0; i-- {
		if c := h.sent[i]; c.path == path {
			h.sent = slices.Delete(h.sent, i, i+1)
			return c
		}
	}
	t.Fatalf("no call to %s", path)
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

// A list is read page by page; machines that are gone are no news, but were in it.
func TestList(t *testing.T) {
	host, p := newTestPool()
	p.MarkRemoved("i-2")
	p.Tick()
	host.take(t, "/machines?limit=500").answer(200, page(true, "i-1", "i-2"))
	if p.HasList() {
		t.Error("half a list is a list")
	}
	host.take(t, "/machines?limit=500&after=i-2").answer(200, page(false, "i-3"))
	if !p.HasList() || !slices.Equal(host.listedMachines, []string{"i-1", "i-3"}) || !slices.Equal(host.listedNames, []string{"i-1", "i-2", "i-3"}) {
		t.Errorf("listed %v, read %v", host.listedMachines, host.listedNames)
	}
	p.Tick()
	if len(host.sent) > 0 {
		t.Error("it is read again at once")
	}
	host.now += 3 * time.Second
	p.Tick()
	host.take(t, "/machines?limit=500").answer(503, nil)
	host.now += time.Second
	p.Tick()
	host.take(t, "/machines?limit=500")
}

// Deletions go out a hundred at a time, one request after the other, and are repeated until the cloud
// says 200.
func TestDeletions(t *testing.T) {
	host, p := newTestPool()
	for i := range 130 {
		host.toDelete = append(host.toDelete, fmt.Sprintf("i-%d", i))
	}
	p.Tick()
	p.Tick()
	c := host.take(t, "/machines/delete")
	if got := len(c.body.(protocol.MachineIDs).Machines); got != 100 {
		t.Errorf("%d at once", got)
	}
	c.answer(0, nil)
	p.Tick()
	host.now += time.Second
	p.Tick()
	host.take(t, "/machines/delete").answer(200, nil)
	if len(host.deleted) != 100 {
		t.Errorf("%d are gone", len(host.deleted))
	}
}

// A rental's name is its own for ever; without an answer it is repeated under the same one, and a pool that
// gave fewer than asked is left alone, longer each time.
func TestRentals(t *testing.T) {
	host, p := newTestPool()
	pool := scheduler.Pool{Type: "m8", Zone: "a"}
	p.Launch(pool, 80)
	c := host.take(t, "/machines")
	q := c.body.(protocol.LaunchRequest)
	if q.Count != 50 || q.Request != "r-7-1" || len(p.LaunchesInFlight()) != 1 {
		t.Errorf("%+v", q)
	}
	c.answer(0, nil)
	host.timers[0]()
	c = host.take(t, "/machines")
	if again := c.body.(protocol.LaunchRequest); again != q {
		t.Errorf("repeated as %+v", again)
	}
	p.MarkRemoved("i-2")
	c.answer(200, protocol.Encode(protocol.MachineIDs{Machines: []string{"i-1", "i-2"}}))
	if !slices.Equal(host.launched, []string{"i-1"}) || !p.IsBackingOff(pool) || len(p.LaunchesInFlight()) != 0 {
		t.Errorf("rented %v, short %v", host.launched, p.IsBackingOff(pool))
	}
	host.now += 5*time.Second + 1
	if p.IsBackingOff(pool) {
		t.Error("it is left alone for longer than half a lease")
	}
	p.Launch(pool, 1)
	host.take(t, "/machines").answer(503, protocol.Encode(map[string]any{"error": "no capacity"}))
	host.now += 9 * time.Second
	if !p.IsBackingOff(pool) {
		t.Error("the second time is not longer")
	}
	p.Launch(pool, 1)
	host.take(t, "/machines").answer(200, protocol.Encode(protocol.MachineIDs{Machines: []string{"i-3"}}))
	if p.IsBackingOff(pool) || !slices.Equal(host.exhaustedReports, []bool{true, true, false}) {
		t.Errorf("short %v, told %v", p.IsBackingOff(pool), host.exhaustedReports)
	}
	// An outage (503 trouble) is no shortage; after four leases the list tells what came of it.
	p.Launch(pool, 1)
	host.take(t, "/machines").answer(503, protocol.Encode(map[string]any{"error": "trouble"}))
	if p.IsBackingOff(pool) || len(p.LaunchesInFlight()) != 1 {
		t.Error("an outage is taken for a shortage")
	}
	host.timers[len(host.timers)-1]()
	host.now += 41 * time.Second
	host.take(t, "/machines").answer(0, nil)
	if len(p.LaunchesInFlight()) != 0 {
		t.Error("it is repeated for ever")
	}
}

// What a failed launch request means: a pool that can't give machines is left alone, all else is repeated.
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
			host.take(t, "/machines").answer(c.status, c.body)
			if p.IsBackingOff(pool) != c.exhausted || (len(host.timers) == 0) != c.exhausted || (len(p.LaunchesInFlight()) == 0) != c.exhausted {
				t.Errorf("left alone %v, %d repeats, %d under way", p.IsBackingOff(pool), len(host.timers), len(p.LaunchesInFlight()))
			}
		})
	}
}

// After the term nothing that still comes is taken.
func TestAnswersAfterTheTerm(t *testing.T) {
	host, p := newTestPool()
	p.Launch(scheduler.Pool{Type: "m8"}, 1)
	p.Tick()
	host.ended = true
	host.take(t, "/machines").answer(200, protocol.Encode(protocol.MachineIDs{Machines: []string{"i-1"}}))
	host.take(t, "/machines?limit=500").answer(200, page(false, "i-1"))
	if len(host.launched)+len(host.listedMachines)+len(host.listedNames) > 0 {
		t.Errorf("%+v", host)
	}
}
