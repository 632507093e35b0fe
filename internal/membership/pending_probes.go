package membership

import (
	"slices"
	"time"
)

// pendingProbe is a probe in flight. It ends with the first ack, or with its timeout.
type pendingProbe struct {
	target   *member
	sentAt   time.Duration // monotonic
	timeout  time.Duration // of the direct ack, stretched by the local health
	indirect bool          // helpers were asked, if there were any
	helpers  int           // how many were asked
	nacks    int           // how many of them do not reach the target either
	// forPeer marks an indirect probe for another member. requestID is its request to us,
	// requester its label and requesterSequence its message's sequence.
	forPeer           bool
	requestID         uint64
	requester         string
	requesterSequence uint64
}

// indirectDeadline is when a probe of our own has failed: when the indirect acks are due.
func (p *pendingProbe) indirectDeadline() time.Duration {
	return p.sentAt + (1+indirectTimeoutFactor)*p.timeout
}

// directDeadline is when the direct ack is due.
func (p *pendingProbe) directDeadline() time.Duration { return p.sentAt + p.timeout }

// pendingRequest is one request of a probe: to its target, or to a helper.
type pendingRequest struct {
	probe     *pendingProbe
	helper    string // "": the request is to the target itself
	heartbeat bool   // a heartbeat was sent instead of a probe
	sequence  uint64
	sentAt    time.Duration // monotonic
}

// pendingProbes are the probes in flight and their requests.
type pendingProbes struct {
	probes   []*pendingProbe
	requests map[uint64]*pendingRequest // by ID
	forPeers int                        // how many of the probes are for other members
}

// add begins a probe.
func (p *pendingProbes) add(probe *pendingProbe) {
	if probe.forPeer {
		p.forPeers++
	} else {
		probe.target.probeInFlight = true
	}
	p.probes = append(p.probes, probe)
}

// finish ends a probe. Responses that still come find no request and are ignored.
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

// takeRequest removes and returns a request; nil: its probe has ended.
func (p *pendingProbes) takeRequest(id uint64) *pendingRequest {
	request := p.requests[id]
	delete(p.requests, id)
	return request
}

// clear ends all probes.
func (p *pendingProbes) clear() {
	for _, probe := range p.probes {
		probe.target.probeInFlight = false
	}
	p.probes, p.forPeers = nil, 0
	clear(p.requests)
}
