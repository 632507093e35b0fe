package controller

import (
	"maps"
	"net/http"
	"slices"
	"time"
)

// requester identifies the sender of a Request, which gets the Reply.
type requester struct {
	id uint64 // the Request's ID
	// relayed is true if another controller relayed the request; that controller gets the reply as a
	// protocol.ForwardedReply.
	relayed bool
	// forwardedBy is the label of the controller that forwarded a worker's heartbeat. It is empty if the worker sent
	// the heartbeat directly, or if the controller did not send its label.
	forwardedBy string
}

// pendingTable holds the requesters whose reply waits for a write to the state service or for the leader's reply to a
// relayed request. Each requester gets its reply by its deadline. When a leadership ends, all requesters are refused.
type pendingTable struct {
	env    *environment
	outbox *outbox

	pendingRequests map[uint64]*pendingRequest // by the Request's ID
}

// pendingRequest is a waiting requester with its deadline.
type pendingRequest struct {
	from     requester
	deadline time.Duration
}

// decisionTimeout is how long a request may wait for its reply. By the users' protocol, clients time out after 5 s for
// a submission or a cancellation and after 2 s for a poll. This timeout is well below both, so that clients get a
// refusal, and can retry, before they time out.
const decisionTimeout = 1500 * time.Millisecond

// pendingSocketDivisor is a divisor: waiting requests may use at most the process's file descriptors divided by it.
const pendingSocketDivisor = 2

// add adds the requester to the table until it gets its reply. If too many requesters wait already, add refuses the
// request with status 429 and returns false.
func (p *pendingTable) add(from requester) bool {
	if p.isFull() {
		p.outbox.refusals.record(refusedTooManyPending)
		p.outbox.reply(from, http.StatusTooManyRequests, nil, retryAfterSeconds)
		return false
	}
	p.start(from)
	return true
}

// start adds the requester to the table without a check of the limit.
func (p *pendingTable) start(from requester) {
	p.pendingRequests[from.id] = &pendingRequest{from: from, deadline: p.env.now + decisionTimeout}
}

// take removes a requester from the table before its reply is sent. It returns false if the requester has been refused
// in the meantime; no second reply may be sent to it.
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
			p.refuse(pending, refusedTimedOut)
		}
	}
}

// refuseAll refuses all waiting requests, so that the users retry at once instead of after their own timeouts.
func (p *pendingTable) refuseAll(reason refusal) {
	for _, id := range p.sortedIDs() {
		p.refuse(p.pendingRequests[id], reason)
	}
}

// isFull reports whether the limit of waiting requests is reached.
func (p *pendingTable) isFull() bool {
	return len(p.pendingRequests) >= p.env.cfg.Cluster.Resources.FDs/pendingSocketDivisor
}

// isWaiting reports whether the requester still waits for its reply.
func (p *pendingTable) isWaiting(from requester) bool { return p.pendingRequests[from.id] != nil }

func (p *pendingTable) refuse(pending *pendingRequest, reason refusal) {
	delete(p.pendingRequests, pending.from.id)
	p.outbox.refuse(pending.from, reason)
}

// sortedIDs returns the IDs of the waiting requests in order of arrival, which keeps simulation runs reproducible.
func (p *pendingTable) sortedIDs() []uint64 { return slices.Sorted(maps.Keys(p.pendingRequests)) }
