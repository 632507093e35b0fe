package membership

import (
	"slices"
	"time"
)

// pendingProbe is a probe in flight. It ends with the first ack or when it times out.
type pendingProbe struct {
	target   *member
	sentAt   time.Duration // monotonic
	timeout  time.Duration // for the direct ack, lengthened by the local health score
	indirect bool          // whether the indirect phase has started
	helpers  int           // number of helpers that were asked
	nacks    int           // number of helpers that did not reach the target
	// forPeer marks an indirect probe that another member requested. requestID identifies the request,
	// requester is the member's label and requesterSequence the sequence number of its message.
	forPeer           bool
	requestID         uint64
	requester         string
	requesterSequence uint64
}

// indirectDeadline is when the indirect acks are due. Without an ack by then, an own probe has failed.
func (p *pendingProbe) indirectDeadline() time.Duration {
	return p.sentAt + (1+indirectTimeoutFactor)*p.timeout
}

// directDeadline is when the direct ack is due.
func (p *pendingProbe) directDeadline() time.Duration { return p.sentAt + p.timeout }

// pendingRequest is one request of a probe, sent to the target or to a helper.
type pendingRequest struct {
	probe     *pendingProbe
	helper    string // label of the helper; "": the request was sent to the target
	heartbeat bool   // whether a heartbeat was sent instead of a probe
	sequence  uint64
	sentAt    time.Duration // monotonic
}

// pendingProbes holds the probes in flight and their requests.
type pendingProbes struct {
	probes   []*pendingProbe
	requests map[uint64]*pendingRequest // by request ID
	forPeers int                        // number of probes that other members requested
}

// add registers a probe as in flight.
func (p *pendingProbes) add(probe *pendingProbe) {
	if probe.forPeer {
		p.forPeers++
	} else {
		probe.target.probeInFlight = true
	}
	p.probes = append(p.probes, probe)
}

// finish removes a probe and its requests. Responses that arrive later match no request and are ignored.
func (p *pendingProbes) finish(probe *pendingProbe) {
	i := slices.Index(p.probes, probe)
	if i < 0 {
		return
	}
	p.probes = slices.Delete(p.probes, i, i+1)
	if probe.forPeer {
		p.forPeers--
	} else {
		probe.target.probeInFlight = false
	}
	for id, request := range p.requests {
		if request.probe == probe {
			delete(p.requests, id)
		}
	}
}

// takeRequest removes and returns a request, or returns nil if its probe has ended.
func (p *pendingProbes) takeRequest(id uint64) *pendingRequest {
	request := p.requests[id]
	delete(p.requests, id)
	return request
}

// clear removes all probes and requests.
func (p *pendingProbes) clear() {
	for _, probe := range p.probes {
		probe.target.probeInFlight = false
	}
	p.probes, p.forPeers = nil, 0
	clear(p.requests)
}
