package controller

import (
	"maps"
	"slices"
	"time"
)

// pendingTable holds the requesters whose answer needs something that is under way. Each is answered by its
// deadline at the latest.
type pendingTable struct {
	env    *environment
	outbox *outbox

	pendingRequests map[uint64]*pendingRequest
}

// pendingRequest is somebody whose answer needs something that is under way.
type pendingRequest struct {
	from     requester
	deadline time.Duration
}

func sortedRequests(pending map[uint64]*pendingRequest) []uint64 {
	return slices.Sorted(maps.Keys(pending))
}

// expirePendingRequests answers what was given up, at once and finally.
func (p *pendingTable) expirePendingRequests() {
	for _, id := range sortedRequests(p.pendingRequests) {
		if w := p.pendingRequests[id]; p.env.now >= w.deadline {
			delete(p.pendingRequests, id)
			p.outbox.replyUnavailable(w.from)
		}
	}
}

// addPending notes that the requester is answered later, or refused at its deadline.
func (p *pendingTable) addPending(from requester) bool {
	if len(p.pendingRequests) >= p.env.cfg.Cluster.Resources.FDs/2 {
		p.outbox.reply(from, 429, nil, retryAfterSeconds)
		return false
	}
	p.pendingRequests[from.id] = &pendingRequest{from: from, deadline: p.env.now + decisionTimeout}
	return true
}

// refusePendingRequests answers all that wait, at once and with when to come back.
func (p *pendingTable) refusePendingRequests() {
	for _, id := range sortedRequests(p.pendingRequests) {
		w := p.pendingRequests[id]
		delete(p.pendingRequests, id)
		p.outbox.replyUnavailable(w.from)
	}
}

// takePending says whether the requester still waits, and ends that.
func (p *pendingTable) takePending(from requester) bool {
	if p.pendingRequests[from.id] == nil {
		return false
	}
	delete(p.pendingRequests, from.id)
	return true
}
