package controller

import (
	"fmt"
	"testing"
	"time"
)

// pauseProcess makes a controller handle nothing for a while; events are queued meanwhile.
func (w *world) pauseProcess(i int, d time.Duration) {
	n := w.nodes[i]
	n.paused = true
	w.at(d, func() {
		n.paused = false
		w.feed(i, Tick{})
		held := n.held
		n.held = nil
		for _, do := range held {
			do()
		}
	})
}

// A leader whose process was paused for longer than its lease, and which resumes while another
// leads, sends no command and declares no machine lost before it has found out.
func TestPausedLeaderAfterFailover(t *testing.T) {
	for _, d := range []time.Duration{8 * second, 30 * second, 2 * time.Minute} {
		t.Run(fmt.Sprintf("paused for %v", d), func(t *testing.T) {
			w := newWorld(t, 43)
			lead := w.awaitLeader()
			w.submit("j-1", map[string]any{"shape": "service", "shards": 4, "apart": true})
			w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 4 })
			w.run(5 * second)
			w.pauseProcess(lead, d)
			w.run(d - time.Millisecond)
			replaced := false
			for i, n := range w.nodes {
				replaced = replaced || i != lead && n.controller.leadership != nil && n.controller.leadership.loader.ready
			}
			if !replaced {
				t.Fatalf("after %v nobody else leads", d)
			}
			old := w.nodes[lead].controller
			commands := 0
			w.script = func(node int, c Call) deliveryFault {
				if node == lead && c.Target == ToWorker && old.leadership != nil {
					commands++
				}
				return deliveryFault{}
			}
			w.run(3 * second)
			if old.leadership != nil {
				t.Errorf("after %v it still leads", d)
			}
			if commands > 0 {
				t.Errorf("after %v it sent %d requests to workers first", d, commands)
			}
			for task, n := range w.starts {
				if n > 1 {
					t.Errorf("after %v %s was moved", d, task)
				}
			}
			w.script = nil
			w.settle()
		})
	}
}

// Nobody else could be elected meanwhile: the leader goes on where it was.
func TestPausedLeaderWithoutFailover(t *testing.T) {
	w := newWorld(t, 44)
	lead := w.awaitLeader()
	w.submit("j-1", map[string]any{"shards": 4})
	w.until(90*second, "tasks run", func() bool { return w.running("j-1") == 4 })
	w.state.Outage(8 * second)
	w.run(second)
	w.pauseProcess(lead, 4*second)
	w.run(15 * second)
	if l := w.nodes[lead].controller.leadership; l == nil || l.lease.verifiesLease() {
		t.Error("it does not lead any more")
	}
	w.awaitStatus(90*second, "j-1", "done")
	w.settle()
}
