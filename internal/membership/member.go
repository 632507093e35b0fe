package membership

import "time"

// speech is how a member can be asked for a sign of life.
type speech uint8

const (
	byProbes     speech = iota // as this version does
	byHeartbeats               // its version answers probes with 404
)

// member is what the detector knows of another controller.
type member struct {
	label       string
	state       State
	since       time.Duration // when the state began
	incarnation Incarnation   // highest known
	sequence    uint64        // highest of that incarnation
	speech      speech

	suspicion suspicion
	// suspectedWall is the time of day, in ms, when it was last suspected.
	suspectedWall int64
	// accused is by whom it was lately held suspect or dead, while we hold it alive.
	accused map[string]accusation

	answeredAt time.Duration // when it or a witness last gave a sign of life
	// The last ways that it was reached by: directly, and by another member.
	directAt, viaAt time.Duration
	via             string
	unreached       bool // the last probe of it had no answer by the direct way

	probing   bool          // a probe of it is under way
	nextProbe time.Duration // not before
	// onlyOurWord counts failed probes in a row without any witness.
	onlyOurWord int
	dropped     map[DropReason]bool // logged once
	// returnedAt is when it was last back from being dead or gone; 0: never.
	returnedAt time.Duration
}

type accusation struct {
	at          time.Duration
	state       State
	incarnation Incarnation
}

// present says whether it keeps its machines: suspicion alone moves nothing.
func (m *member) present() bool { return m.state == Alive || m.state == Suspect }

// accuse notes a claim against the member.
func (m *member) accuse(by string, a accusation) {
	if m.accused == nil {
		m.accused = map[string]accusation{}
	}
	m.accused[by] = a
}

// forgive forgets claims against incarnations before the member's.
func (m *member) forgive() {
	for by, a := range m.accused {
		if a.incarnation < m.incarnation {
			delete(m.accused, by)
		}
	}
}

// probe is a question under way: whether a member gives a sign of life.
type probe struct {
	target  *member
	sent    time.Duration
	timeout time.Duration // of the direct way, stretched
	asked   bool          // others were asked, too
	// Those asked, and those of them who said that they don't reach it either.
	witnesses, denials int
	// For another controller that asked us: its request, and its message's sequence.
	onBehalf bool
	request  uint64
	asker    string
	echo     uint64
}

// question is one request of a probe.
type question struct {
	probe   *probe
	witness string // "" for the target itself
	// heartbeat: it was asked by a heartbeat.
	heartbeat bool
	sequence  uint64
	sent      time.Duration
}
