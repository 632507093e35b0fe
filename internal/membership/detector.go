package membership

import (
	"math/rand/v2"
	"time"
)

// Detector is the failure detector of one controller. Each method that takes a Clock handles one event
// and returns the resulting actions, which the caller carries out in order. A Detector is not safe for
// concurrent use.
type Detector struct {
	groupView
	random   *rand.Rand
	started  bool // whether the first event was handled
	health   localHealth
	counters Counters
	schedule probeSchedule
	pending  pendingProbes
	out      outbox
}

// New creates a detector. The random source selects the helpers of indirect probes; it is injected so
// that a failure can be replayed from its seed.
func New(settings Settings, random *rand.Rand) *Detector {
	d := &Detector{groupView: newGroupView(settings), random: random,
		pending: pendingProbes{requests: map[uint64]*pendingRequest{}}}
	d.out = outbox{view: &d.groupView, counters: &d.counters}
	return d
}

// advanceClock starts the handling of an event. Every exported method that handles an event calls it first.
func (d *Detector) advanceClock(reading Clock) {
	gap := d.clock.advance(reading)
	d.out.reset()
	switch {
	case !d.started:
		d.start()
	case gap > d.settings.PauseThreshold:
		d.recoverFromPause()
	case gap > d.settings.ProbeTimeout:
		d.health.degrade() // this process was starved of CPU time
	}
}

// start uses the first clock reading as the start time of this process and of the state of every member.
func (d *Detector) start() {
	d.started = true
	d.self.incarnation = Incarnation(max(1, d.clock.wall))
	d.schedule.nextRoundAt = d.clock.now
	for _, m := range d.members {
		m.since, m.lastAckAt = d.clock.now, d.clock.now
	}
}

// recoverFromPause cancels the probes in flight and restarts all suspicion timers after a pause of this
// process: answers that are missing because of the pause are no evidence of a failure.
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

// Tick handles the passage of time: it expires probes and suspicions, and starts a round of probes when
// one is due. The caller calls it several times per probe timeout.
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
// request was sent. The answer clears a suspicion only if the request was sent after the suspicion started. It
// makes a dead or left peer alive only if the peer is monitored by heartbeats and the request was sent after the
// peer became dead or left.
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

// Leave announces to all peers that this controller leaves gracefully, and stops the rounds of probes.
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
