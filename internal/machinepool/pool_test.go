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
	now      time.Duration
	calls    []sentRequest
	timers   []func()
	ended    bool
	listed   []string
	read     []string
	returned []string
	deleted  []string
	rented   []string
	short    []bool
}

type sentRequest struct {
	path string
	body any
	then func(int, []byte)
}

func (s *fakeHost) Now() time.Duration { return s.now }
func (s *fakeHost) Call(_, path string, body any, _ time.Duration, then func(int, []byte)) {
	s.calls = append(s.calls, sentRequest{path, body, then})
}
func (s *fakeHost) MayCall() bool                      { return true }
func (s *fakeHost) Pause() time.Duration               { return 100 * time.Millisecond }
func (s *fakeHost) Later(_ time.Duration, do func())   { s.timers = append(s.timers, do) }
func (s *fakeHost) Ended() bool                        { return s.ended }
func (s *fakeHost) Listed(m *protocol.ListedMachine)   { s.listed = append(s.listed, m.ID) }
func (s *fakeHost) Deleted(name string)                { s.deleted = append(s.deleted, name) }
func (s *fakeHost) Short(_ scheduler.Pool, short bool) { s.short = append(s.short, short) }
func (s *fakeHost) ToDelete(most int) []string         { return s.returned[:min(most, len(s.returned))] }
func (s *fakeHost) Launched(_ scheduler.Pool, n string, _ time.Duration) {
	s.rented = append(s.rented, n)
}
func (s *fakeHost) ListRead(_ time.Duration, names map[string]bool) {
	for name := range names {
		s.read = append(s.read, name)
	}
	slices.Sort(s.read)
}

// take is the last call to a path, taken out.
func (s *fakeHost) take(t *testing.T, path string) sentRequest {
	t.Helper()
	for i := len(s.calls) - 1; i >= 0; i-- {
		if c := s.calls[i]; c.path == path {
			s.calls = slices.Delete(s.calls, i, i+1)
			return c
		}
	}
	t.Fatalf("no call to %s", path)
	return sentRequest{}
}

func newTestPool() (*fakeHost, *Pool) {
	s := &fakeHost{now: time.Minute}
	return s, New(s, cloudclient.New(s), slog.New(slog.DiscardHandler), Times{Lease: 10 * time.Second, ListLag: 5 * time.Second, ListEvery: 3 * time.Second}, 7)
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
	s, p := newTestPool()
	p.Remove("i-2")
	p.Tick()
	s.take(t, "/machines?limit=500").then(200, page(true, "i-1", "i-2"))
	if p.HasList() {
		t.Error("half a list is a list")
	}
	s.take(t, "/machines?limit=500&after=i-2").then(200, page(false, "i-3"))
	if !p.HasList() || !slices.Equal(s.listed, []string{"i-1", "i-3"}) || !slices.Equal(s.read, []string{"i-1", "i-2", "i-3"}) {
		t.Errorf("listed %v, read %v", s.listed, s.read)
	}
	p.Tick()
	if len(s.calls) > 0 {
		t.Error("it is read again at once")
	}
	s.now += 3 * time.Second
	p.Tick()
	s.take(t, "/machines?limit=500").then(503, nil)
	s.now += time.Second
	p.Tick()
	s.take(t, "/machines?limit=500")
}

// Deletions go out a hundred at a time, one request after the other, and are repeated until the cloud
// says 200.
func TestDeletions(t *testing.T) {
	s, p := newTestPool()
	for i := range 130 {
		s.returned = append(s.returned, fmt.Sprintf("i-%d", i))
	}
	p.Tick()
	p.Tick()
	c := s.take(t, "/machines/delete")
	if got := len(c.body.(protocol.MachineNames).Machines); got != 100 {
		t.Errorf("%d at once", got)
	}
	c.then(0, nil)
	p.Tick()
	s.now += time.Second
	p.Tick()
	s.take(t, "/machines/delete").then(200, nil)
	if len(s.deleted) != 100 {
		t.Errorf("%d are gone", len(s.deleted))
	}
}

// A rental's name is its own for ever; without an answer it is repeated under the same one, and a pool that
// gave fewer than asked is left alone, longer each time.
func TestRentals(t *testing.T) {
	s, p := newTestPool()
	pool := scheduler.Pool{Type: "m8", Zone: "a"}
	p.Launch(pool, 80)
	c := s.take(t, "/machines")
	q := c.body.(protocol.LaunchRequest)
	if q.Count != 50 || q.Request != "r-7-1" || len(p.Launching()) != 1 {
		t.Errorf("%+v", q)
	}
	c.then(0, nil)
	s.timers[0]()
	c = s.take(t, "/machines")
	if again := c.body.(protocol.LaunchRequest); again != q {
		t.Errorf("repeated as %+v", again)
	}
	p.Remove("i-2")
	c.then(200, protocol.Encode(protocol.MachineNames{Machines: []string{"i-1", "i-2"}}))
	if !slices.Equal(s.rented, []string{"i-1"}) || !p.IsShort(pool) || len(p.Launching()) != 0 {
		t.Errorf("rented %v, short %v", s.rented, p.IsShort(pool))
	}
	s.now += 5*time.Second + 1
	if p.IsShort(pool) {
		t.Error("it is left alone for longer than half a lease")
	}
	p.Launch(pool, 1)
	s.take(t, "/machines").then(503, protocol.Encode(map[string]any{"error": "no capacity"}))
	s.now += 9 * time.Second
	if !p.IsShort(pool) {
		t.Error("the second time is not longer")
	}
	p.Launch(pool, 1)
	s.take(t, "/machines").then(200, protocol.Encode(protocol.MachineNames{Machines: []string{"i-3"}}))
	if p.IsShort(pool) || !slices.Equal(s.short, []bool{true, true, false}) {
		t.Errorf("short %v, told %v", p.IsShort(pool), s.short)
	}
	// An outage (503 trouble) is no shortage; after four leases the list tells what came of it.
	p.Launch(pool, 1)
	s.take(t, "/machines").then(503, protocol.Encode(map[string]any{"error": "trouble"}))
	if p.IsShort(pool) || len(p.Launching()) != 1 {
		t.Error("an outage is taken for a shortage")
	}
	s.timers[len(s.timers)-1]()
	s.now += 41 * time.Second
	s.take(t, "/machines").then(0, nil)
	if len(p.Launching()) != 0 {
		t.Error("it is repeated for ever")
	}
}

// After the term nothing that still comes is taken.
func TestAnswersAfterTheTerm(t *testing.T) {
	s, p := newTestPool()
	p.Launch(scheduler.Pool{Type: "m8"}, 1)
	p.Tick()
	s.ended = true
	s.take(t, "/machines").then(200, protocol.Encode(protocol.MachineNames{Machines: []string{"i-1"}}))
	s.take(t, "/machines?limit=500").then(200, page(false, "i-1"))
	if len(s.rented)+len(s.listed)+len(s.read) > 0 {
		t.Errorf("%+v", s)
	}
}
