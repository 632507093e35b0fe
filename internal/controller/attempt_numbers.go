package controller

import "claybarrow/internal/statestore"

// Attempt numbers are unique for ever and grow: a token in the high bits, a count in the low
// ones. A term that starts more than a block of them, which 4,000 workers at 420 starts a
// second do in eleven hours, reserves the next block: it raises the counter of tokens, so that no
// leader ever gets the token whose numbers it uses. Its own token, which the workers know,
// stays as it is.

// attemptBlockBits is how many low bits count within a token's block.
const attemptBlockBits = 24

// attemptNumbers gives out numbers from the blocks that are this leader's.
type attemptNumbers struct {
	env       *environment
	lease     *leaderLease
	placement *taskScheduler
	store     *statestore.Writer

	block     uint64 // a token that is this leader's for good
	used      uint64 // numbers of it
	next      uint64 // the next block; 0: not durably reserved
	reserving bool
}

func (n *attemptNumbers) left() uint64 { return 1<<attemptBlockBits - 1 - n.used }

// leastLeft is how many numbers there must be for a fill to begin: more than any fill starts.
const leastLeft = 1 << 20

// enough says whether a fill may take what it needs.
func (n *attemptNumbers) enough() bool { return n.next != 0 || n.left() >= leastLeft }

// take gives out the next number.
func (n *attemptNumbers) take() uint64 {
	if n.left() == 0 {
		n.block, n.used, n.next = n.next, 0, 0
	}
	n.used++
	return n.block<<attemptBlockBits | n.used
}

// reserveAttempts reserves the next block once half of this one is used.
func (n *attemptNumbers) reserveAttempts() {
	if n.reserving || n.next != 0 || n.left() > 1<<(attemptBlockBits-1) {
		return
	}
	n.reserving = true
	reserved := n.block + 1
	n.store.Mark(keyCounter, statestore.User, func() any { return counterRecord{Token: reserved} }, func() {
		n.next, n.reserving = reserved, false
		n.placement.fillPending = true
		n.env.log.Info("attempt number block reserved", "token", n.lease.token, "block", reserved)
	})
}
