package controller

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/membership"
	"claybarrow/internal/protocol"
)

// worldObserver records the events that a controller of the world reports to its observer.
type worldObserver struct {
	noObserver
	w          *world
	node       int
	changes    []memberChange
	redirected map[string][]time.Duration // machines that were redirected, and when
	failovers  []Failover
	reroutes   int
	retries    int
}

type memberChange struct {
	at time.Duration
	membership.Change
}

func (o *worldObserver) MemberChanged(c membership.Change) {
	o.changes = append(o.changes, memberChange{o.w.Now(), c})
}

func (o *worldObserver) MachineRedirected(machine, _ string) {
	if o.redirected == nil {
		o.redirected = map[string][]time.Duration{}
	}
	o.redirected[machine] = append(o.redirected[machine], o.w.Now())
}

func (o *worldObserver) FailedOver(h Failover) { o.failovers = append(o.failovers, h) }
func (o *worldObserver) Rerouted()             { o.reroutes++ }
func (o *worldObserver) Retried()              { o.retries++ }

// became returns when a controller's view of another one first changed to a state, at or after a
// time; 0: never.
func (o *worldObserver) became(label string, state membership.State, since time.Duration) time.Duration {
	for _, c := range o.changes {
		if c.at >= since && c.Label == label && c.To == state {
			return c.at
		}
	}
	return 0
}

func newMembershipWorld(t *testing.T, seed uint64) *world {
	t.Helper()
	return newWorldWith(t, seed, []byte(membershipOn))
}

func label(i int) string { return fmt.Sprintf("n%d", i) }

// replicas starts services in both zones.
func (w *world) replicas() {
	w.t.Helper()
	w.submit("j-1", map[string]any{"shape": "service", "shards": 4, "apart": true, "cores": 4.0})
	w.submit("j-2", map[string]any{"shape": "service", "shards": 2, "owner": "blue"})
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 4 && w.running("j-2") == 2 })
	w.run(20 * second)
}

// Without failures nobody is suspected, whatever the load at the start.
func TestNobodySuspectedWithoutFailures(t *testing.T) {
	w := newMembershipWorld(t, 901)
	w.replicas()
	for _, n := range w.nodes {
		for _, c := range n.observer.changes {
			t.Errorf("n%d: %+v", n.observer.node, c)
		}
	}
	w.settle()
}

// placingStep is a step of placing a replica at which the leader ends.
type placingStep struct {
	name string
	// matches reports whether a call of the leader is the step; delivered: the call still arrives.
	matches   func(c Call) bool
	delivered bool
}

func carriesVerb(c Call, verb string) bool {
	var body protocol.Commands
	if c.Target != ToWorker || protocol.Decode(c.Body, &body) != nil {
		return false
	}
	for _, command := range body.Commands {
		if command.Verb == verb {
			return true
		}
	}
	return false
}

// writesUnder reports whether a transaction puts a key with the prefix.
func writesUnder(c Call, prefix string) bool {
	var body struct {
		Then []protocol.Change `msgpack:"apply"`
	}
	if c.Target != ToState || c.Path != "/multi" || protocol.Decode(c.Body, &body) != nil {
		return false
	}
	for _, change := range body.Then {
		if strings.HasPrefix(change.Put, prefix) {
			return true
		}
	}
	return false
}

var placingSteps = []placingStep{
	{"before the job's write", func(c Call) bool { return writesUnder(c, "j/") }, false},
	{"after the job's write without its answer", func(c Call) bool { return writesUnder(c, "j/") }, true},
	{"before the write of the place", func(c Call) bool { return writesUnder(c, "m/") }, false},
	{"after the write without its answer", func(c Call) bool { return writesUnder(c, "m/") }, true},
	{"before the run", func(c Call) bool { return carriesVerb(c, protocol.VerbRun) }, false},
	{"after the run without its answer", func(c Call) bool { return carriesVerb(c, protocol.VerbRun) }, true},
	{"before the completion's write", func(c Call) bool { return writesUnder(c, "d/") }, false},
	{"after the completion's write", func(c Call) bool { return writesUnder(c, "d/") }, true},
	{"before the clear", func(c Call) bool { return carriesVerb(c, protocol.VerbClear) }, false},
	{"after the clear", func(c Call) bool { return carriesVerb(c, protocol.VerbClear) }, true},
}

// placingFault is a further fault while the leader ends.
type placingFault struct {
	name string
	// fault affects each call; second: the next leader ends too, while it reads the stored records.
	fault  func(w *world, c Call) deliveryFault
	second bool
}

var placingFaults = []placingFault{
	{name: "alone"},
	{name: "the state service slow", fault: func(w *world, c Call) deliveryFault {
		if c.Target == ToState {
			return deliveryFault{hold: time.Duration(w.rng.Int64N(int64(400 * time.Millisecond)))}
		}
		return deliveryFault{}
	}},
	{name: "a second death during the failover", second: true},
}

// A leader that dies at each single step of placing: nothing runs twice and no job is orphaned,
// whichever other fault there is.
func TestLeaderDiesAtEachStepOfPlacing(t *testing.T) {
	for s, step := range placingSteps {
		for k, fault := range placingFaults {
			t.Run(step.name+", "+fault.name, func(t *testing.T) {
				w := newMembershipWorld(t, uint64(910+100*s+k))
				killLeaderWhilePlacing(w, step, fault)
			})
		}
	}
}

func killLeaderWhilePlacing(w *world, step placingStep, fault placingFault) {
	w.runs = func(string) time.Duration { return 6 * second }
	w.submit("j-1", map[string]any{"shape": "service", "shards": 3})
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 3 })
	w.run(10 * second)
	died, again := false, false
	w.script = func(node int, c Call) deliveryFault {
		f := deliveryFault{}
		if fault.fault != nil {
			f = fault.fault(w, c)
		}
		switch {
		case !died && step.matches(c):
			died = true
			w.restart(node, 3*second)
			w.crash(node)
			f.lost, f.answerLost = !step.delivered, true
		case died && fault.second && !again && c.Target == ToState && strings.HasPrefix(c.Path, "/store?under=j/"):
			again = true
			w.restart(node, 3*second)
			w.crash(node)
			f.lost = true
		}
		return f
	}
	w.submit("j-2", map[string]any{"shards": 2})
	w.submit("j-3", map[string]any{"shape": "service", "shards": 2, "owner": "blue"})
	w.until(60*second, "the leader ends at "+step.name, func() bool { return died })
	w.until(120*second, "all runs", func() bool { return w.running("j-1") == 3 && w.running("j-3") == 2 })
	w.awaitStatus(120*second, "j-2", protocol.Done)
	if fault.second && !again {
		w.t.Error("the second leader did not end")
	}
	w.settle()
}

// A late transaction of the former leader changes nothing, at whatever step it ended.
func TestLateTransactionOfALeaderThatDied(t *testing.T) {
	for _, prefix := range []string{"j/", "m/", "d/"} {
		t.Run("a write under "+strings.TrimSuffix(prefix, "/"), func(t *testing.T) {
			w := newMembershipWorld(t, 931)
			w.runs = func(string) time.Duration { return 6 * second }
			w.replicas()
			died := false
			w.script = func(node int, c Call) deliveryFault {
				if !died && writesUnder(c, prefix) {
					died = true
					w.restart(node, 2*second)
					w.crash(node)
					return deliveryFault{hold: 15 * second, answerLost: true}
				}
				return deliveryFault{}
			}
			w.submit("j-3", map[string]any{"shards": 2})
			w.until(60*second, "the leader ends", func() bool { return died })
			w.awaitStatus(120*second, "j-3", protocol.Done)
			w.run(20 * second)
			w.settle()
		})
	}
}

// Process pauses of half a lease, one and several leases, of the leader, of a zone's relay, and of
// both at once: no task is on two machines, and nothing moves for a pause shorter than the workers'
// leases.
func TestStallsAndResumes(t *testing.T) {
	lease := 1500 * time.Millisecond
	for k, stall := range []time.Duration{lease / 2, lease, 3 * lease, 6 * lease} {
		for _, who := range []string{"leader", "relay", "both"} {
			t.Run(fmt.Sprintf("%s for %v", who, stall), func(t *testing.T) {
				w := newMembershipWorld(t, uint64(940+k))
				w.replicas()
				lead := w.awaitLeader()
				relay := 2
				if lead == 2 {
					relay = 0
				}
				began := w.Now()
				if who != "relay" {
					w.pauseProcess(lead, stall)
				}
				if who != "leader" {
					w.pauseProcess(relay, stall)
				}
				w.run(stall + 30*second)
				if stall < lease {
					for i, n := range w.nodes {
						for _, c := range n.observer.changes {
							if c.at >= began && c.To == membership.Dead {
								t.Errorf("n%d: %+v", i, c)
							}
						}
					}
				}
				if stall <= 6*lease {
					for task, n := range w.starts {
						if n > 1 && who != "both" {
							t.Errorf("%s was moved", task)
						}
					}
				}
				w.settle()
			})
		}
	}
}

// A controller that resumes has nothing refused and refuses everything until it has had contact
// with another one: no answer, command or write follows from what it believed before.
func TestResumedLeaderDoesNothingFirst(t *testing.T) {
	w := newMembershipWorld(t, 951)
	w.replicas()
	lead := w.awaitLeader()
	n := w.nodes[lead]
	w.pauseProcess(lead, 8*second)
	w.run(8*second - time.Millisecond)
	early := []string{}
	w.script = func(node int, c Call) deliveryFault {
		if node == lead && n.controller.pause.isRecovering() {
			switch {
			case c.Target == ToWorker, c.Path == "/multi", c.Path == "/relay", c.Path == "/forward":
				early = append(early, c.Path)
			}
		}
		return deliveryFault{}
	}
	n.paused = false
	w.feed(lead, Tick{}) // it resumes
	if !n.controller.pause.isRecovering() {
		t.Fatal("it does not notice that its process was paused")
	}
	for _, op := range []Op{OpPoll, OpCancel} {
		w.ask(lead, Request{Op: op, UID: "j-1"}, func(r Reply) {
			if r.Status != http.StatusServiceUnavailable || r.RetryAfter == 0 {
				t.Errorf("%s is answered %d, come back in %d", op, r.Status, r.RetryAfter)
			}
		})
	}
	var heartbeat []byte
	for _, worker := range w.workers() {
		if worker.Up && !worker.Deleted {
			heartbeat = protocol.Encode(worker.Message())
		}
	}
	w.ask(lead, Request{Op: OpWorkerHeartbeat, Body: heartbeat}, func(r Reply) {
		if r.Status == http.StatusOK {
			t.Error("a worker's lease is renewed")
		}
	})
	beat := protocol.PeerHeartbeat{From: label((lead + 1) % 3), Incarnation: n.controller.env.incarnation, Token: n.controller.leadership.lease.token}
	w.ask(lead, Request{Op: OpPeerHeartbeat, Body: protocol.EncodePeer(beat)}, func(r Reply) {
		var reply protocol.PeerHeartbeatReply
		if err := protocol.DecodePeer(r.Body, &reply); err != nil || reply.Leader != "" || reply.LeaderClock != 0 {
			t.Errorf("it says that it leads: %+v, %v", reply, err)
		}
	})
	w.run(5 * second)
	if len(early) > 0 {
		t.Errorf("it sent %v first", early)
	}
	if n.controller.pause.isRecovering() {
		t.Error("it has heard of nobody")
	}
	w.settle()
}

// An asymmetric partition between a follower and the leader: the requests of its users are relayed
// by the third controller, and nobody is suspected.
func TestRelayAroundAnAsymmetricPartition(t *testing.T) {
	for _, toLeader := range []bool{true, false} {
		t.Run(fmt.Sprintf("to the leader %v", toLeader), func(t *testing.T) {
			w := newMembershipWorld(t, 952)
			w.replicas()
			lead := w.awaitLeader()
			from := (lead + 1) % 3
			began := w.Now()
			w.script = func(node int, c Call) deliveryFault {
				if node == from && c.Target == ToPeer && c.Addr == w.cfgs[lead].PeerListen {
					return deliveryFault{lost: toLeader, answerLost: true}
				}
				return deliveryFault{}
			}
			w.run(5 * second)
			answered := 0
			for range 5 {
				w.user(from, OpPoll, "j-1", func(status int, _ protocol.JobStatus) {
					if status == http.StatusOK {
						answered++
					}
				})
				w.run(second)
			}
			if answered < 5 {
				t.Errorf("requests lost %v: %d of 5 questions are answered", toLeader, answered)
			}
			if w.nodes[from].observer.reroutes == 0 {
				t.Error("no request went round")
			}
			for i, n := range w.nodes {
				if at := n.observer.became(label(lead), membership.Suspect, began); at > 0 {
					t.Errorf("n%d suspects the leader", i)
				}
			}
			w.settle()
		})
	}
}

// A refused connection to the leader is tried once more, after a pause, and not again: a user is
// answered by the second try, or told at once to come back.
func TestRefusedConnectionIsTriedOnceMore(t *testing.T) {
	for _, again := range []bool{true, false} {
		t.Run(fmt.Sprintf("refused again %v", again), func(t *testing.T) {
			w := newMembershipWorld(t, 956)
			w.replicas()
			lead := w.awaitLeader()
			from := (lead + 1) % 3
			var tries []time.Duration
			w.script = func(node int, c Call) deliveryFault {
				if node != from || c.Path != "/relay" {
					return deliveryFault{}
				}
				tries = append(tries, w.Now())
				return deliveryFault{refused: again || len(tries) == 1}
			}
			asked := w.Now()
			status, answered := 0, time.Duration(0)
			w.user(from, OpPoll, "j-1", func(got int, _ protocol.JobStatus) { status, answered = got, w.Now() })
			w.run(2 * second)
			want := 200
			if again {
				want = 503
			}
			if len(tries) != 2 || status != want || answered-asked > decisionTimeout {
				t.Errorf("refused again %v: %d tries, %d after %v", again, len(tries), status, answered-asked)
			}
			if len(tries) == 2 && tries[1]-tries[0] < 50*time.Millisecond {
				t.Errorf("tried again after %v", tries[1]-tries[0])
			}
			w.settle()
		})
	}
}

// A link that flaps every few seconds, and a share of the messages between controllers lost: no
// controller is declared dead, the leader does not change and no lease expires; up to a loss of one
// in twenty, nothing moves.
func TestFlappingLinkAndLoss(t *testing.T) {
	for k, loss := range []float64{0, 0.05, 0.10, 0.20} {
		t.Run(fmt.Sprintf("loss %v", loss), func(t *testing.T) {
			w := newMembershipWorld(t, uint64(960+k))
			w.replicas()
			lead := w.awaitLeader()
			token := w.leadership().lease.token
			began := w.Now()
			w.script = func(node int, c Call) deliveryFault {
				if c.Target != ToPeer {
					return deliveryFault{}
				}
				if loss > 0 {
					return deliveryFault{lost: w.rng.Float64() < loss, answerLost: w.rng.Float64() < loss}
				}
				between := node == lead || c.Addr == w.cfgs[lead].PeerListen
				return deliveryFault{lost: between && int(w.Now()/second)%5 < 2}
			}
			w.run(60 * second)
			if w.awaitLeader() != lead || w.leadership().lease.token != token {
				t.Errorf("loss %v: the leader changed", loss)
			}
			for i, n := range w.nodes {
				for _, c := range n.observer.changes {
					if c.at >= began && c.To == membership.Dead {
						t.Errorf("loss %v: n%d: %+v", loss, i, c)
					}
				}
			}
			for _, worker := range w.workers() {
				if worker.Up && !worker.Deleted && worker.Session > 1 {
					t.Errorf("loss %v: the lease of %s ran out", loss, worker.ID)
				}
			}
			for task, n := range w.starts {
				if n > 1 && loss <= 0.05 {
					t.Errorf("loss %v: %s was moved", loss, task)
				}
			}
			w.settle()
		})
	}
}

// Monotonic clocks that drift apart by the bound.
func TestDriftingClocks(t *testing.T) {
	w := newMembershipWorld(t, 965)
	w.nodes[0].drift, w.nodes[1].drift = 0.0005, 0.0002
	w.replicas()
	w.crash(w.awaitLeader())
	w.run(60 * second)
	w.settle()
}

// sameZone moves all controllers into the first zone, so that its machines are divided between
// them.
func (w *world) sameZone() {
	for i, cfg := range w.cfgs {
		cfg.Zone = "a"
		for k := range cfg.Siblings {
			cfg.Siblings[k].Zone = "a"
		}
		w.boot(i)
	}
}

// controllersInFirstZone maps each running machine of the first zone to the index of its controller.
func (w *world) controllersInFirstZone() map[string]int {
	out := map[string]int{}
	for _, worker := range w.workers() {
		if worker.Up && !worker.Deleted && worker.Zone == w.topology.zones[0] {
			out[worker.ID] = worker.Controller
		}
	}
	return out
}

func (w *world) byID(id string) *emulator.Worker {
	for _, worker := range w.workers() {
		if worker.ID == id {
			return worker
		}
	}
	return nil
}

// The machines of a controller that died are redirected to the others once each, and no other
// machine is; they are redirected back once it has been steady, and not all at once. Suspicion
// alone moves none.
func TestMachinesMoveOncePerDeath(t *testing.T) {
	w := newMembershipWorld(t, 970)
	w.sameZone()
	w.submit("j-1", map[string]any{"shape": "service", "shards": 8, "cores": 4.0, "yard": "a"})
	w.submit("j-2", map[string]any{"shape": "service", "shards": 4, "cores": 4.0, "yard": "a", "owner": "blue"})
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 8 && w.running("j-2") == 4 })
	settled := func() bool {
		l := w.leadership()
		for _, m := range l.state.Machines {
			worker := w.byID(m.ID)
			if worker != nil && worker.Up && !worker.Deleted && m.Zone == "a" && label(worker.Controller) != l.router.ownerOf(m) {
				return false
			}
		}
		return true
	}
	w.until(60*second, "each machine sends heartbeats to its owner", settled)
	lead := w.awaitLeader()
	before := w.controllersInFirstZone()
	victim := -1
	for _, c := range before {
		if c != lead {
			victim = c
		}
	}
	if victim < 0 {
		t.Fatalf("all machines send heartbeats to the leader: %v", before)
	}
	// Suspicion alone, shorter than the timeout: the probes are lost, everything else works.
	began := w.Now()
	w.script = func(node int, c Call) deliveryFault {
		return deliveryFault{lost: c.Path == probePath && (node == victim || c.Addr == w.cfgs[victim].PeerListen)}
	}
	w.run(2800 * time.Millisecond)
	for id, c := range w.controllersInFirstZone() {
		if c != before[id] {
			t.Errorf("%s moved from %d to %d while it was suspected", id, before[id], c)
		}
	}
	w.script = nil
	w.run(10 * second)
	if w.nodes[lead].observer.became(label(victim), membership.Suspect, began) == 0 || w.nodes[lead].observer.became(label(victim), membership.Dead, began) > 0 {
		t.Errorf("it is not just suspected: %+v", w.nodes[lead].observer.changes)
	}
	for id, c := range w.controllersInFirstZone() {
		if c != before[id] {
			t.Errorf("%s moved from %d to %d at a suspicion", id, before[id], c)
		}
	}
	w.until(60*second, "each machine sends heartbeats to its owner", settled)
	w.nodes[lead].observer.redirected = nil
	before = w.controllersInFirstZone()
	w.crash(victim)
	w.run(30 * second)
	if !settled() {
		t.Errorf("not all machines send heartbeats to their owners")
	}
	for id, c := range w.controllersInFirstZone() {
		if before[id] != victim && c != before[id] {
			t.Errorf("%s moved from %d to %d though %d died", id, before[id], c, victim)
		}
		if sent := len(w.nodes[lead].observer.redirected[id]); sent > 1 {
			t.Errorf("%s was sent elsewhere %d times for one death", id, sent)
		}
	}
	w.boot(victim)
	w.run(10 * second)
	for id, c := range w.controllersInFirstZone() {
		if c == victim {
			t.Errorf("%s is back at a controller that is not steady yet", id)
		}
	}
	w.until(60*second, "each machine is back", settled)
	for _, worker := range w.workers() {
		if worker.Up && !worker.Deleted && worker.Session > 1 {
			t.Errorf("the lease of %s ran out", worker.ID)
		}
	}
	w.settle()
}

// A controller of an older version is judged by its heartbeats, never suspected for its 404 to
// probes, and leads and follows as before.
func TestMixedVersions(t *testing.T) {
	for older := range 3 {
		t.Run(fmt.Sprintf("older controller %v", older), func(t *testing.T) {
			w := newMembershipWorld(t, uint64(980+older))
			w.cfgs[older].Operator.Membership.Enabled = false
			w.nodes[older].older = true
			w.boot(older)
			w.replicas()
			for i, n := range w.nodes {
				for _, c := range n.observer.changes {
					if c.Label == label(older) {
						t.Errorf("n%d: %+v", i, c)
					}
				}
			}
			began := w.Now()
			w.crash(older)
			w.run(20 * second)
			for i, n := range w.nodes {
				if i != older && n.observer.became(label(older), membership.Dead, began) == 0 {
					t.Errorf("n%d does not hold n%d dead", i, older)
				}
			}
			w.boot(older)
			w.run(20 * second)
			w.settle()
		})
	}
}

// Probes are answered 404 while the feature is off, as by a version that does not know them.
func TestProbesReturn404WhileDisabled(t *testing.T) {
	w := newWorldWith(t, 985, nil)
	w.awaitLeader()
	w.ask(0, Request{Op: OpProbe, Body: []byte{0xa0}}, func(r Reply) {
		if r.Status != http.StatusNotFound {
			t.Errorf("a probe is answered %d", r.Status)
		}
	})
}

// A graceful shutdown of the leader causes a failover at once, and is not taken for a death.
func TestGracefulShutdown(t *testing.T) {
	w := newMembershipWorld(t, 986)
	w.replicas()
	lead := w.awaitLeader()
	began := w.Now()
	w.feed(lead, Shutdown{})
	w.run(20 * time.Millisecond)
	w.crash(lead)
	w.until(second, "another leads", func() bool { l := w.leader(); return l >= 0 && l != lead })
	w.run(20 * second)
	for i, n := range w.nodes {
		if i == lead {
			continue
		}
		if n.observer.became(label(lead), membership.Left, began) == 0 {
			t.Errorf("n%d does not know that it left: %+v", i, n.observer.changes)
		}
		if n.observer.became(label(lead), membership.Suspect, began) > 0 {
			t.Errorf("n%d suspects it", i)
		}
	}
	w.settle()
}

// storeMany stores records of completed jobs, so that a failover reads them in pages.
func (w *world) storeMany(n int) {
	for i := range n {
		w.state.Change(fmt.Sprintf("j/j-9%06d", i), &emulator.Item{Value: protocol.Encode(map[string]any{"s": protocol.Done, "n": 1})})
	}
}

// A successor preloads the stored records while the leader is suspected; what the leader wrote
// after that is known all the same, and if too much has changed everything is read anew.
func TestSuccessorPreloadsClusterState(t *testing.T) {
	for _, tooMuch := range []bool{false, true} {
		t.Run(fmt.Sprintf("too many changes %v", tooMuch), func(t *testing.T) {
			w := newMembershipWorld(t, 990)
			w.storeMany(3500)
			w.replicas()
			lead := w.awaitLeader()
			w.submit("j-5", map[string]any{"shape": "service", "owner": "blue"})
			w.until(60*second, "it runs", func() bool { return w.running("j-5") == 1 })
			// The other controllers don't reach the leader, so that they suspect it while it works on.
			w.script = func(node int, c Call) deliveryFault {
				return deliveryFault{lost: c.Target == ToPeer && (node == lead || c.Addr == w.cfgs[lead].PeerListen)}
			}
			ahead := func() bool {
				for i, n := range w.nodes {
					if a := n.controller.preparer.preparation.preload; i != lead && a != nil && a.finished {
						return true
					}
				}
				return false
			}
			w.until(10*second, "records are read ahead", ahead)
			// Its last write: a job that no preload has read.
			w.ask(lead, Request{Op: OpSubmit, Body: protocol.Encode(w.spec("j-6", map[string]any{"shape": "service", "owner": "blue"}))}, func(r Reply) {
				if r.Status != http.StatusCreated {
					t.Errorf("the submission is answered %d", r.Status)
				}
				w.recordStatus("j-6", protocol.JobStatus{UID: "j-6", State: protocol.Pending}, w.Now())
				w.startPolling("j-6")
			})
			w.cancelRequested["j-5"] = true
			w.ask(lead, Request{Op: OpCancel, UID: "j-5"}, func(Reply) {})
			w.run(300 * time.Millisecond)
			w.crash(lead)
			w.script = func(_ int, c Call) deliveryFault {
				if tooMuch && writesUnder(c, keyLeader) {
					w.storeMany(25_000) // more changes than the state service keeps, just before the election
				}
				return deliveryFault{}
			}
			next := w.awaitLeader()
			w.script = nil
			w.run(15 * second)
			h := w.nodes[next].observer.failovers
			if len(h) == 0 {
				t.Fatal("no failover is observed")
			}
			if got := h[len(h)-1].Preloaded; (got >= 3500) == tooMuch {
				t.Errorf("too much %v: %d records were preloaded", tooMuch, got)
			}
			w.until(60*second, "the last job runs", func() bool { return w.running("j-6") == 1 })
			if w.running("j-5") > 0 {
				t.Error("the cancelled job runs")
			}
			w.settle()
		})
	}
}

// Candidates do not all campaign in the same instant.
func TestCandidatesDoNotCampaignAtOnce(t *testing.T) {
	w := newMembershipWorld(t, 995)
	w.replicas()
	lead := w.awaitLeader()
	campaigns := map[int]time.Duration{}
	w.script = func(node int, c Call) deliveryFault {
		if c.Path == "/multi" && w.nodes[node].controller.leadership == nil && campaigns[node] == 0 {
			campaigns[node] = w.Now()
		}
		return deliveryFault{lost: c.Path == "/multi"} // nobody wins, so that all of them try
	}
	w.crash(lead)
	w.run(4 * second)
	if len(campaigns) != 2 {
		t.Fatalf("campaigns: %v", campaigns)
	}
	var first, last time.Duration
	for _, at := range campaigns {
		if first == 0 || at < first {
			first = at
		}
		last = max(last, at)
	}
	if last-first < 50*time.Millisecond {
		t.Errorf("they campaign %v apart", last-first)
	}
	w.settle()
}

// Random sequences of process pauses, deaths, partitions, loss and outages, judged by the checker
// alone.
func TestRandomFailuresOfControllers(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newMembershipWorld(t, 1000+seed)
			w.initialJobs()
			loss := 0.0
			cutFrom, cutTo := -1, -1
			w.script = func(node int, c Call) deliveryFault {
				if c.Target != ToPeer {
					return deliveryFault{}
				}
				cut := node == cutFrom && c.Addr == w.cfgs[max(0, cutTo)].PeerListen
				return deliveryFault{lost: cut || w.rng.Float64() < loss, answerLost: w.rng.Float64() < loss}
			}
			for step := range 12 {
				node := w.rng.IntN(3)
				switch w.rng.IntN(6) {
				case 0:
					if w.nodes[node].alive {
						w.pauseProcess(node, w.randomMilliseconds(200, 10_000))
					}
				case 1:
					w.crash(node)
					w.restart(node, w.randomMilliseconds(100, 8000))
				case 2:
					cutFrom, cutTo = node, (node+1)%3
				case 3:
					cutFrom, cutTo, loss = -1, -1, 0
				case 4:
					loss = w.rng.Float64() * 0.2
				case 5:
					w.state.Outage(w.randomMilliseconds(500, 6000))
				}
				w.submit(fmt.Sprintf("j-7%d", step), map[string]any{"shards": 1 + w.rng.IntN(3), "cores": 1.0})
				w.run(w.randomMilliseconds(1000, 8000))
			}
			w.settle()
		})
	}
}
