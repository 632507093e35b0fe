package membership

import "time"

// probeMethod is how a member can be asked for a sign of life.
type probeMethod uint8

const (
	viaProbe     probeMethod = iota // as this version does
	viaHeartbeat                    // its version answers probes with 404
)

// member is what the detector knows of another controller.
type member struct {
	label       string
	state       State
	since       time.Duration // when the state began
	incarnation Incarnation   // highest known
	sequence    uint64        // highest of that incarnation
	method      probeMethod

	suspicion suspicion
	// suspectedAtWall is the time of day, in ms, when it was last suspected.
	suspectedAtWall int64
	// reports is by whom it was lately held suspect or dead, while we hold it alive.
	reports map[string]suspicionReport

	lastAckAt time.Duration // when it or a witness last gave a sign of life
	// The last ways that it was reached by: directly, and by another member.
	lastDirectAckAt, lastIndirectAckAt time.Duration
	lastHelper                         string
	directProbeFailed                  bool // the last probe of it had no answer by the direct way

	probeInFlight bool          // a probe of it is under way
	nextProbeAt   time.Duration // not before
	// unconfirmedFailures counts failed probes in a row without any witness.
	unconfirmedFailures int
	loggedDrops         map[DropReason]bool // logged once
	// rejoinedAt is when it was last back from being dead or gone; 0: never.
	rejoinedAt time.Duration
}

type suspicionReport struct {
	at          time.Duration
	state       State
	incarnation Incarnation
}

// present says whether it keeps its machines: suspicion alone moves nothing.
func (m *member) present() bool { return m.state == Alive || m.state == Suspect }

// addReport notes a claim against the member.
func (m *member) addReport(by string, a suspicionReport) {
	if m.reports == nil {
		m.reports = map[string]suspicionReport{}
	}
	m.reports[by] = a
}

// discardOldReports forgets claims against incarnations before the member's.
func (m *member) discardOldReports() {
	for by, a := range m.reports {
		if a.incarnation < m.incarnation {
			delete(m.reports, by)
		}
	}
}

// pendingProbe is a question under way: whether a member gives a sign of life.
type pendingProbe struct {
	target   *member
	sentAt   time.Duration
	timeout  time.Duration // of the direct way, stretched
	indirect bool          // others were asked, too
	// Those asked, and those of them who said that they don't reach it either.
	helpers, nacks int
	// For another controller that asked us: its request, and its message's sequence.
	forPeer           bool
	requestID         uint64
	requester         string
	requesterSequence uint64
}

// pendingRequest is one request of a probe.
type pendingRequest struct {
	probe  *pendingProbe
	helper string // "" for the target itself
	// heartbeat: it was asked by a heartbeat.
	heartbeat bool
	sequence  uint64
	sentAt    time.Duration
}
