package membership

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"claybarrow/internal/emulator"
)

// group is detectors and a network between them on a fake clock. A script breaks what it likes.
type group struct {
	t      *testing.T
	agenda *emulator.EventQueue
	now    time.Duration
	random *rand.Rand
	nodes  map[string]*node
	labels []string
	// cut says whether a message from one to another is lost.
	cut func(from, to string) bool
	// delay is how long a message is under way.
	delay func(from, to string) time.Duration
	// changed is told of each change of state.
	changed func(at time.Duration, by string, change Change)
	bytes   map[string]int
	sent    map[string]int
}

type node struct {
	label    string
	detector *Detector
	up       bool
	still    bool
	older    bool // its version knows no probes
	held     []func()
	life     int
	clockOff time.Duration
	drift    float64
	drops    map[DropReason]int
	waiting  map[uint64]func(int, []byte)
	request  uint64
}

const (
	testLease = 1500 * time.Millisecond // the leader's
	testTick  = testLease / 15
	testWall  = int64(1_700_000_000_000)
)

func testSettings(self string, labels []string) Settings {
	s := Settings{Self: self, Interval: testLease / 5, Timeout: testLease / 10, Suspicion: 2 * testLease, SuspicionFactor: 3,
		Steady: 20 * time.Second, Stall: testLease * 3 / 10, ClockError: 25 * time.Millisecond}
	for _, l := range labels {
		if l != self {
			s.Peers = append(s.Peers, l)
		}
	}
	return s
}

func newGroup(t *testing.T, seed uint64, n int) *group {
	g := &group{t: t, agenda: &emulator.EventQueue{}, random: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node{}, bytes: map[string]int{}, sent: map[string]int{},
		cut:     func(string, string) bool { return false },
		delay:   func(string, string) time.Duration { return 2 * time.Millisecond },
		changed: func(time.Duration, string, Change) {}}
	for i := range n {
		g.labels = append(g.labels, fmt.Sprintf("n%02d", i))
	}
	for _, l := range g.labels {
		g.nodes[l] = &node{label: l}
		g.boot(l)
	}
	return g
}

func (g *group) after(d time.Duration, do func()) {
	g.agenda.After(d, func() {
		g.now = g.agenda.Now()
		do()
	})
}

func (g *group) run(d time.Duration) {
	g.agenda.RunUntil(g.now + d)
	g.now = g.agenda.Now()
}

func (g *group) clock(n *node) Clock {
	drifted := time.Duration(float64(g.now) * (1 + n.drift))
	return Clock{Steady: drifted, Wall: testWall + (g.now + n.clockOff).Milliseconds()}
}

func (g *group) boot(label string) {
	n := g.nodes[label]
	n.life++
	n.up, n.still, n.held = true, false, nil
	n.drops, n.waiting = map[DropReason]int{}, map[uint64]func(int, []byte){}
	n.detector = New(testSettings(label, g.labels), rand.New(rand.NewPCG(g.random.Uint64(), 2)))
	life := n.life
	var beat func()
	beat = func() {
		if n.life != life || !n.up {
			return
		}
		if !n.still && !n.older {
			g.carry(n, n.detector.Tick(g.clock(n)))
		}
		g.after(testTick, beat)
	}
	g.after(time.Duration(g.random.Int64N(int64(testTick))), beat)
}

func (g *group) crash(label string) { g.nodes[label].up = false }

// freeze has a node handle nothing for a while; what comes meanwhile waits for it.
func (g *group) freeze(label string, d time.Duration) {
	n := g.nodes[label]
	n.still = true
	life := n.life
	g.after(d, func() {
		if n.life != life {
			return
		}
		n.still = false
		held := n.held
		n.held = nil
		g.carry(n, n.detector.Tick(g.clock(n)))
		for _, do := range held {
			do()
		}
	})
}

// handle runs something at a node, once it goes on.
func (g *group) handle(n *node, life int, do func()) {
	switch {
	case !n.up || n.life != life:
	case n.still:
		n.held = append(n.held, do)
	default:
		do()
	}
}

func (g *group) carry(n *node, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			g.send(n, a)
		case Respond:
			if answer := n.waiting[a.Request]; answer != nil {
				delete(n.waiting, a.Request)
				answer(a.Status, a.Body)
			}
		case Change:
			g.changed(g.now, n.label, a)
		case Drop:
			n.drops[a.Reason]++
		}
	}
}

func (g *group) send(n *node, s Send) {
	g.sent[n.label]++
	g.bytes[n.label] += len(s.Body)
	life, answered := n.life, false
	result := func(status int, body []byte) {
		g.handle(n, life, func() {
			if !answered {
				answered = true
				g.carry(n, n.detector.Answered(g.clock(n), s.ID, Answer{status, body}))
			}
		})
	}
	g.after(s.Timeout, func() { result(0, nil) })
	if g.cut(n.label, s.To) {
		return
	}
	to := g.nodes[s.To]
	g.after(g.delay(n.label, s.To), func() {
		if !to.up {
			return
		}
		toLife := to.life
		reply := func(status int, body []byte) {
			if g.cut(s.To, n.label) {
				return
			}
			g.bytes[s.To] += len(body)
			g.after(g.delay(s.To, n.label), func() { result(status, body) })
		}
		g.handle(to, toLife, func() {
			switch {
			case s.Heartbeat:
				reply(http.StatusOK, nil)
			case to.older:
				reply(http.StatusNotFound, nil)
			default:
				to.request++
				to.waiting[to.request] = reply
				g.carry(to, to.detector.Probed(g.clock(to), to.request, s.Body))
			}
		})
	})
}

func (g *group) state(by, of string) State { return g.nodes[by].detector.StateOf(of) }

// others are the labels but one.
func (g *group) others(but string) []string {
	var out []string
	for _, l := range g.labels {
		if l != but {
			out = append(out, l)
		}
	}
	return out
}
