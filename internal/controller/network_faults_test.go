package controller

import (
	"fmt"
	"time"
)

// networkFaults holds the network faults that are active during a compound failure.
type networkFaults struct {
	w *world
	// isolated lists the controllers that reach neither the state service nor other controllers.
	isolated map[int]bool
	// commandsLost lists the controllers whose direct commands to machines are lost.
	commandsLost map[int]bool
	// lateTransactions, delayedCommands and lostReplies are shares of calls: transactions that are applied late without
	// a reply, direct commands that are delayed by seconds, and direct commands whose reply is lost.
	lateTransactions, delayedCommands, lostReplies float64
	// slowState and slowLinks are upper bounds of the random delay of calls to the state service and of all calls.
	slowState, slowLinks time.Duration
}

func (w *world) injectNetworkFaults() *networkFaults {
	faults := &networkFaults{w: w, isolated: map[int]bool{}, commandsLost: map[int]bool{}}
	w.callFault = faults.faultFor
	return faults
}

func (faults *networkFaults) chance(share float64) bool {
	return share > 0 && faults.w.rng.Float64() < share
}

func (faults *networkFaults) randomUpTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(faults.w.rng.Int64N(int64(d)))
}

func (faults *networkFaults) faultFor(node int, c Call) deliveryFault {
	f := deliveryFault{delay: faults.randomUpTo(faults.slowLinks)}
	switch c.Target {
	case ToState:
		if faults.isolated[node] {
			return deliveryFault{lost: true}
		}
		f.delay += faults.randomUpTo(faults.slowState)
		if c.Path == "/multi" && faults.chance(faults.lateTransactions) {
			return deliveryFault{replyLost: true, delay: 2*second + faults.randomUpTo(10*second)}
		}
	case ToPeer:
		to := -1
		if _, err := fmt.Sscanf(c.Addr, "10.0.0.%d:", &to); err != nil {
			faults.w.t.Errorf("invalid address of a peer %q: %v", c.Addr, err)
		}
		if faults.isolated[node] || faults.isolated[to] {
			return deliveryFault{lost: true}
		}
	case ToWorker:
		if faults.commandsLost[node] {
			return deliveryFault{lost: true}
		}
		if faults.chance(faults.delayedCommands) {
			return deliveryFault{delay: 2*second + faults.randomUpTo(25*second), replyLost: faults.chance(0.5)}
		}
		f.replyLost = faults.chance(faults.lostReplies)
	case ToCloud: // only delayed
	}
	return f
}
