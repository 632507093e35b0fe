package membership

import "time"

// probeMethod is the kind of request that a member is probed with.
type probeMethod uint8

const (
	viaProbe     probeMethod = iota // the member's version supports probes
	viaHeartbeat                    // the member's version answers probes with 404, but supports heartbeats
)

// member is the detector's record of a peer. Times are monotonic.
type member struct {
	label       string
	state       State
	since       time.Duration // start of the current state
	incarnation Incarnation   // highest known incarnation
	sequence    uint64        // highest sequence number of that incarnation
	method      probeMethod

	suspicion suspicion
	// suspectedAtWall is when the member last became suspect, as Unix time in milliseconds.
	suspectedAtWall int64
	// reports are the suspicion reports about the member, by label of the reporting member.
	reports map[string]suspicionReport

	lastAckAt time.Duration // last direct or indirect ack
	// lastDirectAckAt and lastIndirectAckAt are the times of the last ack of each kind, and lastHelper is
	// the label of the helper that relayed the last indirect ack.
	lastDirectAckAt, lastIndirectAckAt time.Duration
	lastHelper                         string
	directProbeFailed                  bool // the last probe got no direct ack in time

	probeInFlight bool
	nextProbeAt   time.Duration // earliest time of the next probe
	// unconfirmedFailures counts consecutive failed probes without a nack from any helper.
	unconfirmedFailures int
	// loggedDrops are the reasons for which messages of the member were dropped; each is logged once.
	loggedDrops map[DropReason]bool
	// rejoinedAt is when the member last became alive after being dead or left; 0: never.
	rejoinedAt time.Duration
}

// isPresent reports whether the member keeps its machines: suspicion alone reassigns no machine.
func (m *member) isPresent() bool { return m.state == Alive || m.state == Suspect }

// claim returns the claim about the member that is sent to other members.
func (m *member) claim() Claim {
	return Claim{Label: m.label, State: m.state, Incarnation: m.incarnation}
}

// recordDirectAck records that the member answered a request of this controller.
func (m *member) recordDirectAck(now time.Duration) {
	m.lastAckAt, m.lastDirectAckAt, m.directProbeFailed = now, now, false
}

// recordIndirectAck records that a helper reached the member.
func (m *member) recordIndirectAck(now time.Duration, helper string) {
	m.lastAckAt, m.lastIndirectAckAt, m.lastHelper, m.unconfirmedFailures = now, now, helper, 0
}

// updateIncarnation stores an incarnation that is later than the known one, and reports whether it did.
// It ignores an incarnation from the future, which would make the member's real messages stale.
func (m *member) updateIncarnation(incarnation Incarnation, clock *detectorClock) bool {
	if incarnation <= m.incarnation || clock.isFuture(incarnation) {
		return false
	}
	m.incarnation, m.sequence = incarnation, 0
	m.discardOldReports()
	return true
}

// checkOrder checks that a message of the member is newer than all messages accepted before; otherwise ok is
// false and violation is the reason. It guards against duplicates, late deliveries and clocks that were
// set back.
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

// startedBefore reports whether the process of the known incarnation certainly started before the given wall
// clock time, allowing for the clock error.
func (m *member) startedBefore(wall int64, clockError time.Duration) bool {
	return int64(m.incarnation) <= wall-clockError.Milliseconds()
}

// isFirstDrop reports whether this is the first dropped message of the member for the reason, and records it.
// The member is nil for labels outside the group; their drops never count as first, as they could flood
// the log.
func (m *member) isFirstDrop(reason DropReason) bool {
	if m == nil || m.loggedDrops[reason] {
		return false
	}
	m.loggedDrops[reason] = true
	return true
}
