package membership

import "slices"

// startProbe starts a probe by sending a request to its target.
func (d *Detector) startProbe(probe *pendingProbe) {
	probe.sentAt, probe.timeout = d.clock.now, d.health.scale(d.settings.ProbeTimeout)
	d.counters.Probes++
	d.pending.add(probe)
	d.sendDirect(probe)
}

// sendDirect sends a request to the target of a probe.
func (d *Detector) sendDirect(probe *pendingProbe) {
	timeout := probe.indirectDeadline() - d.clock.now
	if probe.forPeer {
		timeout = probe.timeout
	}
	target := probe.target.label
	request := &pendingRequest{probe: probe, sentAt: d.clock.now}
	if probe.target.method == viaHeartbeat {
		request.heartbeat = true
		d.pending.requests[d.out.sendHeartbeat(target, timeout)] = request
		return
	}
	message := d.out.newProbe(target)
	request.sequence = message.Sequence
	d.pending.requests[d.out.sendProbe(target, message, timeout)] = request
}

// sendIndirect asks a helper to probe the target (ping-req in SWIM).
func (d *Detector) sendIndirect(probe *pendingProbe, helper string) {
	// An indirect probe uses two sequence numbers, as in earlier versions; receivers only require that
	// sequence numbers increase.
	d.self.nextSequence()
	message := d.out.newProbe(helper)
	message.Target = probe.target.label
	id := d.out.sendProbe(helper, message, indirectTimeoutFactor*probe.timeout)
	d.pending.requests[id] = &pendingRequest{probe: probe, helper: helper, sequence: message.Sequence, sentAt: d.clock.now}
}

// startIndirectProbes asks helpers to probe the target, so that a bad link between this controller and the
// target causes no suspicion. It also repeats the direct request, so that a single lost message causes none.
func (d *Detector) startIndirectProbes(probe *pendingProbe) {
	probe.indirect = true
	probe.target.directProbeFailed = true
	d.sendDirect(probe)
	helpers := d.helpersFor(probe.target)
	d.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	for _, helper := range helpers[:min(len(helpers), maxHelpers)] {
		probe.helpers++
		d.counters.IndirectProbes++
		d.sendIndirect(probe, helper)
	}
}

// expireProbes starts the indirect phase of own probes without a direct ack in time, fails own probes whose
// indirect acks are overdue too, and answers overdue probes for other members with a nack.
func (d *Detector) expireProbes() {
	now := d.clock.now
	for _, probe := range slices.Clone(d.pending.probes) {
		switch {
		case probe.forPeer:
			if now >= probe.directDeadline() {
				d.out.nack(probe)
				d.pending.finish(probe)
			}
		case now >= probe.indirectDeadline():
			d.pending.finish(probe)
			d.handleProbeFailure(probe)
		case !probe.indirect && now >= probe.directDeadline():
			d.startIndirectProbes(probe)
		}
	}
}

// handleProbeFailure marks the target of a failed probe as suspect, unless this controller itself appears to
// be cut off.
func (d *Detector) handleProbeFailure(probe *pendingProbe) {
	target := probe.target
	if target.lastAckAt >= probe.sentAt {
		return // the target answered another request in the meantime
	}
	d.counters.ProbeFailures++
	switch {
	case probe.nacks > 0:
		target.unconfirmedFailures = 0
		d.markSuspect(target, ReasonUnreachable)
	case probe.helpers > 0 && d.countAliveExcept(target) > 0:
		// No helper answered either: this controller is probably the one that is cut off.
		d.health.degrade()
		target.unconfirmedFailures++
		if target.unconfirmedFailures >= unconfirmedFailuresToSuspect {
			d.markSuspect(target, ReasonUnreachable)
		}
	default:
		d.markSuspect(target, ReasonUnconfirmed)
	}
}
