package controller

import (
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/statestore"
)

// commandTokens allots the fencing tokens under which a leader commands the workers: the token of its election, and higher
// ones that it has reserved in the state service, so that no other controller is ever elected with them.
//
// The election reserves a block, so that a leader that loses the state service can still fence. A worker refuses each message with a lower token than the highest one that it has seen. By a higher token the leader
// therefore revokes all its earlier messages to a worker, whichever copies of them may still arrive, and however late. Each
// machine has a token of its own: raising it costs no write, and is sent with a command that the machine gets anyway.
//
// It owns the reservation; the machines' tokens are in the cluster state. A successor's token is higher than all reserved ones.
type commandTokens struct {
	attemptNumbers *attemptNumbers
	env            *environment
	lease          *leaderLease
	placement      *taskScheduler
	store          *statestore.Writer

	reservedUntil uint64 // highest token that is durably reserved
	highestUsed   uint64 // highest token of any machine
	reserving     bool   // a reservation is in progress
}

// tokenBlock is the number of tokens that one write reserves. The next block is reserved once half of it is used: a machine
// uses one token for all exits that are cleared together, at most two a second.
const tokenBlock = 1 << 10

// reservedAtElection returns the highest token that the transaction of an election reserves with the elected one. An older
// version reserves none: its successor is elected with the next token.
func reservedAtElection(elected uint64) uint64 { return elected + tokenBlock }

// highest returns the highest token that may be used.
func (t *commandTokens) highest() uint64 { return max(t.lease.token, t.reservedUntil) }

// isOfLaterLeader reports whether only a later leader can have sent the token.
func (t *commandTokens) isOfLaterLeader(token uint64) bool { return token > t.highest() }

// of returns the token that messages to the machine carry now.
func (t *commandTokens) of(m *clusterstate.Machine) uint64 { return max(t.lease.token, m.CommandToken) }

// fence reports whether the token of messages to the machine is higher than the given one. It raises the token if necessary,
// which fails while no higher token is reserved.
func (t *commandTokens) fence(m *clusterstate.Machine, above uint64) bool {
	if t.of(m) > above {
		return true
	}
	if above >= t.highest() {
		return false
	}
	m.CommandToken = above + 1
	t.highestUsed = max(t.highestUsed, m.CommandToken)
	return true
}

// recordStart records that a message with a start command is sent to the machine under its present token.
func (t *commandTokens) recordStart(m *clusterstate.Machine) { m.StartToken = t.of(m) }

// recordShown records the token of a worker's newest message. A token above the machine's is of a machine that was removed
// from the cluster state and has come back: what was sent to it under that token is not known.
func (t *commandTokens) recordShown(m *clusterstate.Machine, token uint64) {
	if token > t.of(m) {
		m.CommandToken, m.StartToken = token, token
		t.highestUsed = max(t.highestUsed, token)
	}
}

// remaining returns the number of reserved tokens above those in use, as tokens or as blocks of attempt numbers.
func (t *commandTokens) remaining() uint64 {
	used := max(t.highestUsed, t.attemptNumbers.block)
	return t.highest() - min(used, t.highest())
}

// reserve reserves the next block of tokens once half of the present one is used. Placement, which may be waiting for a block
// of attempt numbers, is triggered when the reservation is durable.
func (t *commandTokens) reserve() {
	if t.reserving || t.remaining() > tokenBlock/2 {
		return
	}
	t.reserving = true
	until := t.highest() + tokenBlock
	t.store.QueueWrite(keyCounter, statestore.PriorityUser, func() any { return counterRecord{Token: until} }, func() {
		t.reservedUntil, t.reserving = until, false
		t.placement.fillPending = true
		t.env.log.Info("command tokens reserved", "token", t.lease.token, "until", until)
	})
}
