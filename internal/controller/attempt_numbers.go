package controller

import "claybarrow/internal/statestore"

// attemptNumbers allocates attempt numbers. They are never reused and increase over time: the high bits are a fencing
// token, and the low bits are a sequence number within the block of that token.
//
// A leadership that starts more attempts than a block has numbers, as 4,000 workers at 420 starts per second do in
// eleven hours, reserves the next block. It increments the token counter, so that the token of the reserved block is
// never assigned to a leader. The leadership's own fencing token, which the workers check, does not change.
//
// It owns the blocks of its leadership. A successor starts with the block of its own token.
type attemptNumbers struct {
	env       *environment
	lease     *leaderLease
	placement *taskScheduler
	store     *statestore.Writer

	block         uint64 // token of the current block, which is never assigned to another leader
	used          uint64 // count of allocated numbers of the current block
	reservedBlock uint64 // token of the next block; 0: no block is durably reserved
	reserving     bool   // a reservation is in progress
}

const (
	// attemptBlockBits is the number of low bits of an attempt number that hold the sequence number in its block.
	attemptBlockBits = 24
	// attemptsPerBlock is the number of attempt numbers in a block. Sequence number 0 is not used.
	attemptsPerBlock = 1<<attemptBlockBits - 1
	// reserveThreshold is the remaining count at which the next block is reserved: half of a block.
	reserveThreshold = 1 << (attemptBlockBits - 1)
	// minRemainingNumbers is the remaining count that a fill requires: more than any fill allocates.
	minRemainingNumbers = 1 << 20
)

// remaining returns how many numbers of the current block have not been allocated.
func (n *attemptNumbers) remaining() uint64 { return attemptsPerBlock - n.used }

// hasEnough reports whether enough numbers are available for a fill.
func (n *attemptNumbers) hasEnough() bool {
	return n.reservedBlock != 0 || n.remaining() >= minRemainingNumbers
}

// isAllocated reports whether this leadership has allocated the number.
func (n *attemptNumbers) isAllocated(number uint64) bool {
	block, sequence := number>>attemptBlockBits, number&attemptsPerBlock
	if block == n.block {
		return sequence <= n.used
	}
	return block >= n.lease.token && block < n.block
}

// allocate allocates the next attempt number.
func (n *attemptNumbers) allocate() uint64 {
	if n.remaining() == 0 {
		n.block, n.used, n.reservedBlock = n.reservedBlock, 0, 0
	}
	n.used++
	return n.block<<attemptBlockBits | n.used
}

// reserveBlock reserves the next block once half of the current one is used. Placement, which may be waiting for the
// block, is triggered when the reservation is durable.
func (n *attemptNumbers) reserveBlock() {
	if n.reserving || n.reservedBlock != 0 || n.remaining() > reserveThreshold {
		return
	}
	n.reserving = true
	nextBlock := n.block + 1
	n.store.QueueWrite(keyCounter, statestore.PriorityUser, func() any { return counterRecord{Token: nextBlock} }, func() {
		n.reservedBlock, n.reserving = nextBlock, false
		n.placement.fillPending = true
		n.env.log.Info("attempt number block reserved", "token", n.lease.token, "block", nextBlock)
	})
}
