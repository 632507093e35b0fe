package membership

import "time"

// probeMethod is how a member is asked for an ack.
type probeMethod uint8

const (
	viaProbe     probeMethod = iota // its version answers probes
	viaHeartbeat                    // its version answers probes with 404, and heartbeats
)

// member is what the detector knows of a peer. Times are monotonic.
type member struct {
	label       string
	state       State
	since       time.Duration // when the state began
	incarnation Incarnation   // highest known
	sequence    uint64        // highest of that incarnation
	method      probeMethod

	suspicion suspicion
	// suspectedAtWall is when it was last suspected, as Unix time in milliseconds.
	suspectedAtWall int64
	// reports are the suspicions of other members, by label, that came lately while it was not
	// suspected here.
	reports map[string]suspicionReport

	lastAckAt time.Duration // direct or indirect
	// lastDirectAckAt, lastIndirectAckAt and lastHelper tell how it was last reached: directly,
	// and through another member.
	lastDirectAckAt, lastIndirectAckAt time.Duration
	lastHelper                         string
	directProbeFailed                  bool // the last probe had no direct ack in time

	probeInFlight bool
	nextProbeAt   time.Duration // the earliest time of the next probe
	// unconfirmedFailures counts failed probes in a row of which no helper sent a nack.
	unconfirmedFailures int
	// loggedDrops are the reasons for which a message of it was dropped: each is logged once.
	loggedDrops map[DropReason]bool
	// rejoinedAt is when it last came back from being dead or left; 0: never.
	rejoinedAt time.Duration
}

// isPresent reports whether the member keeps its machines: suspicion alone moves nothing.
func (m *member) isPresent() bool { return m.state == Alive || m.state == Suspect }

// claim is what we tell others about the member.
func (m *member) claim() Claim {
	return Claim{Label: m.label, State: m.state, Incarnation: m.incarnation}
}

// recordDirectAck notes that the member answered us.
func (m *member) recordDirectAck(now time.Duration) {
	m.lastAckAt, m.lastDirectAckAt, m.directProbeFailed = now, now, false
}

// recordIndirectAck notes that a helper reached the member.
func (m *member) recordIndirectAck(now time.Duration, helper string) {
	m.lastAckAt, m.lastIndirectAckAt, m.lastHelper, m.unconfirmedFailures = now, now, helper, 0
}

// updateIncarnation takes an incarnation that is later than the known one, and reports whether it is.
// One from the future is not taken: it would make the member's own messages stale.
func (m *member) updateIncarnation(incarnation Incarnation, clock *detectorClock) bool {
	if incarnation <= m.incarnation || clock.isFuture(incarnation) {
		return false
	}
	m.incarnation, m.sequence = incarnation, 0
	m.discardOldReports()
	return true
}

// checkOrder checks that a message of the member is later than all that were taken before; if it is
// not, ok is false. It guards against copies, late deliveries and clocks that were set back.
func (m *member) checkOrder(message Probe, clock *detectorClock) (violation DropReason, ok bool) {
	switch {
	case clock.isFuture(message.Incarnation) || message.Sequence > maxSequence:
		return DropFuture, false
	case message.Incarnation < m.incarnation:
		return DropIncarnation, false
	case message.Incarnation == m.incarnation && message.Sequence <= m.sequence:
		return DropSequence, false
	}
	return "", true
}

// startedBefore reports whether the process of the known incarnation began before a time of day, with
// the clocks' error granted to it.
func (m *member) startedBefore(wall int64, clockError time.Duration) bool {
	return int64(m.incarnation) <= wall-clockError.Milliseconds()
}

// isFirstDrop reports whether no message of the member was dropped for the reason before. There may be
// no member: labels that are not in the group are never the first, or they could fill the log.
func (m *member) isFirstDrop(reason DropReason) bool {
	if m == nil || m.loggedDrops[reason] {
		return false
	}
	m.loggedDrops[reason] = true
	return true
}
