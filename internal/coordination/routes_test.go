package coordination

import (
	"testing"
	"time"
)

// The workers of a zone lose the way to their zone's controller, which stays in touch
// with the leader: none is sent there again and again, so that no lease runs out and
// nothing has to move. Once the way is back, they report there again.
func TestControllerThatWorkersCannotReach(t *testing.T) {
	w := newWorld(t, 37)
	lead := w.awaitLeader()
	if lead == 2 {
		t.Fatal("the leader is in the second zone")
	}
	w.submit("j-1", map[string]any{"shape": "service", "shards": 8, "apart": true, "cores": 4.0})
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 8 })
	var far []*simWorker
	for _, k := range w.fleet() {
		if k.zone == "b" && len(k.tasks) > 0 {
			far = append(far, k)
		}
	}
	if len(far) < 2 {
		t.Fatalf("%d workers in the second zone", len(far))
	}
	there := func() bool {
		for _, k := range far {
			if k.node != 2 {
				return false
			}
		}
		return true
	}
	w.until(30*second, "they report to their zone's controller", there)
	w.run(40 * second)
	w.reports = func(_ *simWorker, node int) fate { return fate{lost: node == 2} }
	started := map[string]int{}
	for task, n := range w.starts {
		started[task] = n
	}
	w.run(60 * second)
	for _, k := range far {
		if k.session > 1 {
			t.Errorf("the lease of %s ran out", k.id)
		}
	}
	for task, n := range w.starts {
		if n > started[task] {
			t.Errorf("%s was moved", task)
		}
	}
	w.reports = nil
	w.until(120*second, "they report there again", there)
	w.keptRules()
}

// Workers are sent to a controller one at a time until reports come by it, ever more
// seldom if they come back.
func TestRouteIsTriedOneWorkerAtATime(t *testing.T) {
	const report, lease = time.Second, 10 * time.Second
	var rt route
	now := time.Minute
	if !rt.takes(now, report) || rt.takes(now, report) {
		t.Error("the first trial is not a single worker")
	}
	waits := []time.Duration{}
	for range 3 {
		now += reportWait + reportPause
		rt.noteReturn(now, lease)
		from := now
		for !rt.takes(now, report) {
			now += report / 10
		}
		waits = append(waits, now-from)
	}
	if waits[0] < lease/2 || waits[1] < lease || waits[2] < 2*lease {
		t.Errorf("trials after %v", waits)
	}
	rt.noteForwarded(now)
	if !rt.takes(now, report) || !rt.takes(now+report, report) {
		t.Error("reports come by it, and workers are not sent there")
	}
	if rt.noteReturn(now+report, lease); rt.takes(now+report, report) {
		t.Error("a worker that came back is no reason to wait")
	}
}

// The leader stands still and another controller has ended: the controller of a zone
// keeps its workers meanwhile. Sent to the leader, they would wait for both of the others,
// for longer than their lease.
func TestLeaderStandsStill(t *testing.T) {
	w := newWorld(t, 38)
	lead := w.awaitLeader()
	if lead == 2 {
		t.Fatal("the leader is in the second zone")
	}
	w.submit("j-1", map[string]any{"shape": "service", "shards": 4, "apart": true})
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 4 })
	w.until(30*second, "workers report to their zone's controller", func() bool {
		for _, k := range w.fleet() {
			if k.zone == "b" && len(k.tasks) > 0 && k.node != 2 {
				return false
			}
		}
		return true
	})
	w.crash(1 - lead)
	w.run(5 * second)
	w.script = func(node int, c Call) fate {
		return fate{lost: node == lead || c.Target == ToPeer && c.Addr != w.cfgs[2].PeerListen}
	}
	w.reports = func(_ *simWorker, node int) fate { return fate{lost: node != 2} }
	w.run(25 * second)
	for _, k := range w.fleet() {
		if k.zone == "b" && k.session > 1 {
			t.Errorf("the lease of %s ran out", k.id)
		}
	}
	if w.leader() != 2 {
		t.Errorf("leader %d", w.leader())
	}
	w.keptRules()
}

// Workers that look for a controller for less than a lease keep their tasks.
func TestWorkerFindsAControllerBeforeItsLeaseEnds(t *testing.T) {
	w := newWorld(t, 39)
	w.submit("j-1", map[string]any{"shape": "service", "shards": 2, "cores": 4.0, "apart": true})
	w.until(60*second, "replicas run", func() bool { return w.running("j-1") == 2 })
	w.run(5 * second)
	k := w.fleet()[0]
	k.reportsLost = true
	w.run(7 * second)
	k.reportsLost = false
	w.run(10 * second)
	for task, n := range w.starts {
		if n > 1 {
			t.Errorf("%s was moved", task)
		}
	}
	w.settle()
}
