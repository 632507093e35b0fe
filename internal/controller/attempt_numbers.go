package controller

// attemptNumbers allocates attempt numbers. They are never reused and increase over time: the high bits are a fencing
// token, and the low bits are a sequence number within the block of that token.
//
// A leadership that starts more attempts than a block has numbers, as 4,000 workers at 420 starts per second do in
// eleven hours, continues with the block of the next token that is reserved for it (commandTokens).
//
// It owns the blocks of its leadership. A successor starts with the block of its own token.
type attemptNumbers struct {
	lease  *leaderLease
	tokens *commandTokens

	block uint64 // token of the current block, which is never assigned to another leader
	used  uint64 // count of allocated numbers of the current block
}

const (
	// attemptBlockBits is the number of low bits of an attempt number that hold the sequence number in its block.
	attemptBlockBits = 24
	// attemptsPerBlock is the number of attempt numbers in a block. Sequence number 0 is not used.
	attemptsPerBlock = 1<<attemptBlockBits - 1
	// minRemainingNumbers is the remaining count that a fill requires: more than any fill allocates.
	minRemainingNumbers = 1 << 20
)

// remaining returns how many numbers of the current block have not been allocated.
func (n *attemptNumbers) remaining() uint64 { return attemptsPerBlock - n.used }

// hasEnough reports whether enough numbers are available for a fill.
func (n *attemptNumbers) hasEnough() bool {
	return n.block < n.tokens.highest() || n.remaining() >= minRemainingNumbers
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
		n.block, n.used = n.block+1, 0
	}
	n.used++
	return n.block<<attemptBlockBits | n.used
}
