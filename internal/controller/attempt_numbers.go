package controller

import "claybarrow/internal/statestore"

// attemptNumbers allocates attempt numbers. They are unique for ever and grow: the high bits are a fencing
// token, the low bits count within the block of that token.
//
// A leadership that starts more attempts than a block has numbers, which 4,000 workers at 420 starts a second do
// in eleven hours, reserves the next block: it raises the counter of tokens, so that no leader ever gets the
// token whose numbers it uses. Its own token, which the workers know, stays as it is.
//
// It owns the blocks of its leadership. A successor begins with the block of its own token.
type attemptNumbers struct {
	env       *environment
	lease     *leaderLease
	placement *taskScheduler
	store     *statestore.Writer

	block     uint64 // the token of the block in use, which no other leader can get
	used      uint64 // how many numbers of the block were taken
	next      uint64 // the token of the next block; 0: none is durably reserved
	reserving bool   // a reservation is under way
}

const (
	// attemptBlockBits is how many low bits of an attempt number count within a block.
	attemptBlockBits = 24
	// attemptsPerBlock is how many numbers a block has: 0 is not used.
	attemptsPerBlock = 1<<attemptBlockBits - 1
	// reserveBelow is how many numbers are left when the next block is reserved: half of a block.
	reserveBelow = 1 << (attemptBlockBits - 1)
	// minNumbersLeft is how many numbers must be left for a placement round to begin: more than any round takes.
	minNumbersLeft = 1 << 20
)

// left is how many numbers of the block are left.
func (n *attemptNumbers) left() uint64 { return attemptsPerBlock - n.used }

// enough reports whether a placement round can get as many numbers as it may take.
func (n *attemptNumbers) enough() bool { return n.next != 0 || n.left() >= minNumbersLeft }

// take returns the next number.
func (n *attemptNumbers) take() uint64 {
	if n.left() == 0 {
		n.block, n.used, n.next = n.next, 0, 0
	}
	n.used++
	return n.block<<attemptBlockBits | n.used
}

// reserveBlock reserves the next block once half of this one is used. Placement, which may have waited for
// it, goes on as soon as the reservation is durable.
func (n *attemptNumbers) reserveBlock() {
	if n.reserving || n.next != 0 || n.left() > reserveBelow {
		return
	}
	n.reserving = true
	reserved := n.block + 1
	n.store.QueueWrite(keyCounter, statestore.PriorityUser, func() any { return counterRecord{Token: reserved} }, func() {
		n.next, n.reserving = reserved, false
		n.placement.fillPending = true
		n.env.log.Info("attempt number block reserved", "token", n.lease.token, "block", reserved)
	})
}
