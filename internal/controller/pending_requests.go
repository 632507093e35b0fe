package controller

import (
	"maps"
	"net/http"
	"slices"
	"time"
)

// requester is the sender of a Request, who gets its Reply.
type requester struct {
	id uint64 // of the Request
	// relayed: another controller relayed the request, and gets the answer as a protocol.ForwardedReply.
	relayed bool
	// forwardedBy is the controller that forwarded a worker's heartbeat; empty: the worker sent it here,
	// or the controller does not name itself.
	forwardedBy string
}

// pendingTable holds the requesters whose answer waits for something that is under way: a stored record,
// or the leader's answer. Each is answered by its deadline at the latest. At the end of a leadership all of
// them are refused.
type pendingTable struct {
	env    *environment
	outbox *outbox

	pendingRequests map[uint64]*pendingRequest // by the Request's ID
}

// pendingRequest is a requester who waits, and until when.
type pendingRequest struct {
	from     requester
	deadline time.Duration
}

// decisionTimeout is how long a request may wait for its answer. Users wait 5 s for a submission or a
// cancellation and 2 s for a poll, by the users' protocol; this is well inside both, so that they are told to
// come back rather than left without an answer.
const decisionTimeout = 1500 * time.Millisecond

// pendingSocketShare is the share of the process's file descriptors, as a divisor, that requests may hold
// open while they wait.
const pendingSocketShare = 2

// add has the requester wait for an answer. It returns false, and has refused the request, if too many wait
// already.
func (p *pendingTable) add(from requester) bool {
	if p.isFull() {
		p.outbox.reply(from, http.StatusTooManyRequests, nil, retryAfterSeconds)
		return false
	}
	p.start(from)
	return true
}

// start has the requester wait for an answer, however many wait already.
func (p *pendingTable) start(from requester) {
	p.pendingRequests[from.id] = &pendingRequest{from: from, deadline: p.env.now + decisionTimeout}
}

// take ends the wait of a requester who is about to be answered. It returns false if the requester does not
// wait any more, as it has been refused meanwhile: nothing may be sent to it then.
func (p *pendingTable) take(from requester) bool {
	if !p.isWaiting(from) {
		return false
	}
	delete(p.pendingRequests, from.id)
	return true
}

// expire refuses the requests whose deadline has passed.
func (p *pendingTable) expire() {
	for _, id := range p.sortedIDs() {
		if pending := p.pendingRequests[id]; p.env.now >= pending.deadline {
			p.refuse(pending)
		}
	}
}

// refuseAll refuses all that wait, so that the users come back at once rather than at their own timeouts.
func (p *pendingTable) refuseAll() {
	for _, id := range p.sortedIDs() {
		p.refuse(p.pendingRequests[id])
	}
}

// isFull reports whether no more requests may wait.
func (p *pendingTable) isFull() bool {
	return len(p.pendingRequests) >= p.env.cfg.Cluster.Resources.FDs/pendingSocketShare
}

// isWaiting reports whether the requester still waits for its answer.
func (p *pendingTable) isWaiting(from requester) bool { return p.pendingRequests[from.id] != nil }

func (p *pendingTable) refuse(pending *pendingRequest) {
	delete(p.pendingRequests, pending.from.id)
	p.outbox.replyUnavailable(pending.from)
}

// sortedIDs returns the waiting requests in the order in which they came, so that runs of a simulation repeat.
func (p *pendingTable) sortedIDs() []uint64 { return slices.Sorted(maps.Keys(p.pendingRequests)) }
