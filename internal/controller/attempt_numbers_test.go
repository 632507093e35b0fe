package controller

import (
	"testing"

	"claybarrow/internal/protocol"
)

// setRemainingAttemptNumbers leaves the leader the given number of unused attempt numbers in its block, and no other block.
func (w *world) setRemainingAttemptNumbers(remaining uint64) {
	n := w.leadership().attemptNumbers
	n.used = 1<<attemptBlockBits - 1 - remaining
	n.tokens.reservedUntil = n.block
}

// A leader that starts more tasks than its block has attempt numbers must reserve another block. When
// it continued into the next leader's block, two attempts of a task got the same number, and a run
// command was mistaken for an earlier one.
func TestAttemptNumbersBeyondABlock(t *testing.T) {
	w := newWorld(t, 71)
	w.awaitLeader()
	token := w.leadership().lease.token
	w.setRemainingAttemptNumbers(minRemainingNumbers + 3)
	w.run(2 * second)
	w.setRemainingAttemptNumbers(3)
	w.submit("j-1", map[string]any{"shards": 6})
	w.until(90*second, "tasks run", func() bool { return w.running("j-1") == 6 })
	numbers := map[uint64]bool{}
	for _, m := range w.leadership().state.Machines {
		for _, a := range m.Attempts {
			if numbers[a.Number] {
				t.Errorf("two attempts have the number %d", a.Number)
			}
			numbers[a.Number] = true
		}
	}
	var counter counterRecord
	if err := protocol.Decode(w.state.Item(keyCounter).Value, &counter); err != nil {
		t.Fatal(err)
	}
	for number := range numbers {
		if block := number >> attemptBlockBits; block != token && block > counter.Token {
			t.Errorf("attempt number %d belongs to a block that a later leader will use, the token counter is %d", number, counter.Token)
		}
	}
	if w.leadership().lease.token != token {
		t.Error("the leader changed")
	}
	// The next leader's fencing token must be higher than each block that this leader has used.
	w.crash(w.leader())
	w.awaitLeader()
	if next := w.leadership().lease.token; next <= counter.Token {
		t.Errorf("the next leader has token %d, want more than %d, the last reserved block", next, counter.Token)
	}
	w.awaitStatus(90*second, "j-1", "done")
	w.settle()
}

// When the block of attempt numbers is nearly used up, no task is started until the reservation of the
// next block is durable.
func TestNoStartWithoutAttemptNumbers(t *testing.T) {
	w := newWorld(t, 72)
	lead := w.awaitLeader()
	w.callFault = func(node int, c Call) deliveryFault {
		return deliveryFault{lost: node == lead && c.Path == "/multi"}
	}
	w.setRemainingAttemptNumbers(3)
	w.run(second)
	if l := w.leadership(); l.attemptNumbers.hasEnough() {
		t.Error("a fill may begin with only three attempt numbers left")
	}
	w.callFault = nil
	w.run(5 * second)
	w.submit("j-1", map[string]any{"shards": 6})
	w.awaitStatus(120*second, "j-1", "done")
	w.settle()
}
