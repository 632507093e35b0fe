package controller

import (
	"testing"

	"claybarrow/internal/protocol"
)

// leaveAttemptNumbers leaves the leader only so many unused attempt numbers of its block.
func (w *world) leaveAttemptNumbers(left uint64) {
	n := w.leadership().attemptNumbers
	n.used = 1<<attemptBlockBits - 1 - left
}

// A leadership that started more tasks than a block has numbers used those of the next leader's
// block, so that two attempts of a task had the same number and a run command was taken for an
// earlier one.
func TestAttemptNumbersBeyondABlock(t *testing.T) {
	w := newWorld(t, 71)
	w.awaitLeader()
	token := w.leadership().lease.token
	w.leaveAttemptNumbers(minNumbersLeft + 3)
	w.run(2 * second)
	w.leaveAttemptNumbers(3)
	w.submit("j-1", map[string]any{"shards": 6})
	w.until(90*second, "tasks run", func() bool { return w.running("j-1") == 6 })
	tries := map[uint64]bool{}
	for _, m := range w.leadership().state.Machines {
		for _, a := range m.Attempts {
			if tries[a.Number] {
				t.Errorf("two attempts have the number %d", a.Number)
			}
			tries[a.Number] = true
		}
	}
	var counter counterRecord
	if err := protocol.Decode(w.state.Item(keyCounter).Value, &counter); err != nil {
		t.Fatal(err)
	}
	for try := range tries {
		if block := try >> attemptBlockBits; block != token && block > counter.Token {
			t.Errorf("number %d is of a block that a later leader gets, the counter is %d", try, counter.Token)
		}
	}
	if w.leadership().lease.token != token {
		t.Error("the leader changed")
	}
	// The next leader's fencing token is beyond the block.
	w.crash(w.leader())
	w.awaitLeader()
	if next := w.leadership().lease.token; next <= counter.Token {
		t.Errorf("the next leader has token %d, block %d was used", next, counter.Token)
	}
	w.awaitStatus(90*second, "j-1", "done")
	w.settle()
}

// Nothing is started from a used-up block until the reservation of the next one is durable.
func TestNoStartWithoutAttemptNumbers(t *testing.T) {
	w := newWorld(t, 72)
	lead := w.awaitLeader()
	w.script = func(node int, c Call) deliveryFault {
		return deliveryFault{lost: node == lead && c.Path == "/multi"}
	}
	w.leaveAttemptNumbers(3)
	w.run(second)
	if l := w.leadership(); l.attemptNumbers.enough() {
		t.Error("a fill may begin with three numbers left")
	}
	w.script = nil
	w.run(5 * second)
	w.submit("j-1", map[string]any{"shards": 6})
	w.awaitStatus(120*second, "j-1", "done")
	w.settle()
}
