package membership

import (
	"net/http"
	"time"
)

// outbox composes the messages to peers and collects the actions of one event.
type outbox struct {
	view          *groupView
	counters      *Counters
	actions       []Action
	lastRequestID uint64
}

// reset discards the actions of the previous event.
func (o *outbox) reset() { o.actions = nil }

// newProbe returns the next probe for a peer, with the claims for that peer.
func (o *outbox) newProbe(peer string) Probe {
	self := &o.view.self
	return Probe{Version: ProtocolVersion, From: self.label, Incarnation: self.incarnation, Sequence: self.nextSequence(),
		Claims: o.view.claimsFor(peer)}
}

// sendProbe adds a Send action for a probe and returns the ID of the request.
func (o *outbox) sendProbe(peer string, probe Probe, timeout time.Duration) uint64 {
	o.lastRequestID++
	body := encode(probe)
	o.counters.BytesSent += uint64(len(body))
	o.actions = append(o.actions, Send{ID: o.lastRequestID, To: peer, Body: body, Timeout: timeout})
	return o.lastRequestID
}

// sendHeartbeat adds a Send action for a heartbeat and returns the ID of the request.
func (o *outbox) sendHeartbeat(peer string, timeout time.Duration) uint64 {
	o.lastRequestID++
	o.actions = append(o.actions, Send{ID: o.lastRequestID, To: peer, Heartbeat: true, Timeout: timeout})
	return o.lastRequestID
}

// respond answers a probe with a reply.
func (o *outbox) respond(requestID uint64, status int, reply ProbeReply) {
	reply.Version, reply.From, reply.Incarnation = ProtocolVersion, o.view.self.label, o.view.self.incarnation
	body := encode(reply)
	o.counters.BytesSent += uint64(len(body))
	o.actions = append(o.actions, Respond{Request: requestID, Status: status, Body: body})
}

// respondEmpty answers a probe with a status and no body.
func (o *outbox) respondEmpty(requestID uint64, status int) {
	o.actions = append(o.actions, Respond{Request: requestID, Status: status})
}

// ack answers the peer that requested an indirect probe: the target acked.
func (o *outbox) ack(probe *pendingProbe) {
	o.respond(probe.requestID, http.StatusOK, ProbeReply{Sequence: probe.requesterSequence, Reached: true,
		TargetIncarnation: probe.target.incarnation, Claims: o.view.claimsFor(probe.requester)})
}

// nack answers the peer that requested an indirect probe: the target did not ack. It does nothing for this
// controller's own probes.
func (o *outbox) nack(probe *pendingProbe) {
	if probe.forPeer {
		o.respond(probe.requestID, http.StatusOK, ProbeReply{Sequence: probe.requesterSequence, Claims: o.view.claimsFor(probe.requester)})
	}
}

// reject drops a probe and answers it with a status and no body.
func (o *outbox) reject(requestID uint64, status int, from string, reason DropReason) {
	o.drop(from, reason)
	o.respondEmpty(requestID, status)
}

// drop counts a dropped message and adds a DroppedMessage action.
func (o *outbox) drop(from string, reason DropReason) {
	o.counters.DroppedMessages++
	first := o.view.members[from].isFirstDrop(reason)
	o.actions = append(o.actions, DroppedMessage{Label: from, Reason: reason, First: first})
}

// reportChange adds a StateChange action.
func (o *outbox) reportChange(change StateChange) { o.actions = append(o.actions, change) }
