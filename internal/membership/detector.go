package membership

import (
	"math/rand/v2"
	"time"
)

// Detector is one controller's failure detector. Its methods that take a Clock handle one event
// each and return the actions that follow from it, to be carried out in their order. It is not
// safe for concurrent use.
type Detector struct {
	groupView
	random   *rand.Rand
	started  bool // the first event was handled
	health   localHealth
	counters Counters
	schedule probeSchedule
	pending  pendingProbes
	out      outbox
}

// New makes a detector. The random numbers choose the helpers of indirect probes; they are injected
// so that failures replay.
func New(settings Settings, random *rand.Rand) *Detector {
	d := &Detector{groupView: newGroupView(settings), random: random,
		pending: pendingProbes{requests: map[uint64]*pendingRequest{}}}
	d.out = outbox{view: &d.groupView, counters: &d.counters}
	return d
}

// advanceClock begins an event. Every exported method that handles one calls it first.
func (d *Detector) advanceClock(reading Clock) {
	gap := d.clock.advance(reading)
	d.out.reset()
	switch {
	case !d.started:
		d.start()
	case gap > d.settings.PauseThreshold:
		d.recoverFromPause()
	case gap > d.settings.ProbeTimeout:
		d.health.degrade() // the process lacks processor time
	}
}

// start takes the first clock reading as the start of this process and of all members' states.
func (d *Detector) start() {
	d.started = true
	d.self.incarnation = Incarnation(max(1, d.clock.wall))
	d.schedule.nextRoundAt = d.clock.now
	for _, m := range d.members {
		m.since, m.lastAckAt = d.clock.now, d.clock.now
	}
}

// recoverFromPause ends the probes in flight and restarts all suspicions after this process did not run
// for a while: what it has not heard meanwhile proves nothing.
func (d *Detector) recoverFromPause() {
	d.counters.Pauses++
	d.health.degradeFully()
	for _, probe := range d.pending.probes {
		d.out.nack(probe)
	}
	d.pending.clear()
	for _, m := range d.members {
		if m.state == Suspect {
			m.suspicion = newSuspicion(d.clock.now)
		}
		clear(m.reports)
		m.unconfirmedFailures = 0
	}
	d.schedule.nextRoundAt = d.clock.now
}

// Tick lets time pass: it ends overdue probes and suspicions, and begins a round of probes when one is
// due. The caller calls it several times in a probe timeout.
func (d *Detector) Tick(at Clock) []Action {
	d.advanceClock(at)
	d.expireProbes()
	d.expireSuspicions()
	if !d.self.leaving {
		for _, target := range d.schedule.nextRound(&d.groupView, &d.health) {
			d.startProbe(&pendingProbe{target: target})
		}
	}
	return d.out.actions
}

// ObserveAck records that a peer answered a request other than a probe. sent is the monotonic time when the
// request was sent: an answer to an earlier request than the suspicion clears nothing.
func (d *Detector) ObserveAck(at Clock, label string, sent time.Duration) []Action {
	d.advanceClock(at)
	m := d.members[label]
	if m == nil {
		return d.out.actions
	}
	m.recordDirectAck(d.clock.now)
	if m.state == Suspect && sent >= m.suspicion.since || m.method == viaHeartbeat && sent >= m.since {
		d.markAlive(m, ReasonAck)
	}
	return d.out.actions
}

// Leave tells all peers that this controller leaves gracefully. From then on it probes nobody.
func (d *Detector) Leave(at Clock) []Action {
	d.advanceClock(at)
	d.self.leaving = true
	for _, label := range d.labels {
		if m := d.members[label]; m.isPresent() && m.method == viaProbe {
			d.out.sendProbe(label, d.out.newProbe(label), d.settings.ProbeTimeout)
		}
	}
	return d.out.actions
}
