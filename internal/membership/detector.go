// Package membership notices controllers that have failed. It is a deterministic state machine:
// messages and time go in, actions come out; it starts no goroutine and does no I/O.
//
// It follows SWIM with the additions of Lifeguard (Dadgar, Phillips, Currey 2018): peers are
// probed, and before one that does not answer is suspected others are asked to probe it; a
// suspect that has not refuted by a later incarnation after a timeout is dead; an observer
// that was slow itself trusts its own silence less. Unlike there, nobody is suspected by
// hearsay: claims of others only hasten our own probe and shorten the timeout of our own
// suspicion. Groups are small enough (two dozen) for everybody to probe everybody.
//
// Suspicion is no authority. Who leads is decided by the leader key and its lease in the state
// service alone; see docs/failure-detection.md.
package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Settings are a detector's times. Package config derives them from the leader's lease.
type Settings struct {
	Self  string
	Peers []string
	// Interval is the time between two probes of a peer, Timeout how long its answer may take
	// before others are asked, who then have twice as long.
	Interval, Timeout time.Duration
	// Suspicion is the least time from suspicion to death, with enough who confirm it;
	// SuspicionFactor times as long if nobody does.
	Suspicion       time.Duration
	SuspicionFactor float64
	// Steady is how long a member that came back must have been alive to serve machines.
	Steady time.Duration
	// Stall is a gap between two events after which the observer has stood still.
	Stall time.Duration
	// ClockError is how far the times of day of two controllers may differ.
	ClockError time.Duration
}

// Ratios of the detector's own bounds.
const (
	// indirectTimeoutFactor is how many timeouts those asked have for their answer.
	indirectTimeoutFactor = 2
	// maxHelpers is how many others are asked about a peer.
	maxHelpers = 3
	// maxProbesPerRound bounds a round: larger groups are gone through in turn.
	maxProbesPerRound = 8
	// absentProbeRounds is every which round the dead and those that left are probed.
	absentProbeRounds = 4
	// unconfirmedFailuresToSuspect is how many probes must fail in a row before a peer is suspected though
	// none of those asked has answered: then it is rather us.
	unconfirmedFailuresToSuspect = 3
	// maxProbesForPeers bounds the probes under way for others.
	maxProbesForPeers = 32
	// reportLifetimeIntervals is for how many intervals a claim of another counts.
	reportLifetimeIntervals = 6
)

// Counters are what a detector has counted since it began.
type Counters struct {
	Probes, Answers, Failures          uint64
	WitnessesAsked, WitnessesReached   uint64
	Suspicions, Deaths, Refutations    uint64 // Refutations: of claims against ourselves
	FalseSuspicions, FalseDeaths       uint64 // of others, who were alive after all
	Stalls, Dropped                    uint64
	BytesSent, BytesReceived, OnBehalf uint64
}

// Detector is one controller's view of the others.
type Detector struct {
	settings Settings
	random   *rand.Rand
	now      time.Duration
	wall     int64 // ms

	incarnation Incarnation
	sequence    uint64
	leaving     bool
	members     map[string]*member
	labels      []string // of the others, sorted
	health      localHealth
	counters    Counters

	started   bool
	nextRound time.Duration
	round     int
	cursor    int // of the labels, in large groups

	lastRequestID   uint64
	pendingRequests map[uint64]*pendingRequest
	probes          []*pendingProbe
	onBehalf        int

	out []Action
}

// New makes a detector. Random numbers are injected so that failures replay.
func New(settings Settings, random *rand.Rand) *Detector {
	d := &Detector{settings: settings, random: random, members: map[string]*member{}, pendingRequests: map[uint64]*pendingRequest{}}
	for _, label := range settings.Peers {
		d.members[label] = &member{label: label, loggedDrops: map[DropReason]bool{}}
	}
	d.labels = slices.Sorted(maps.Keys(d.members))
	return d
}

// Clock is a reading of the steady clock and of the time of day.
type Clock struct {
	Steady time.Duration
	Wall   int64 // ms
}

// advanceClock reads the clock before anything is handled. After a standstill what was under way
// proves nothing, and suspicions begin anew.
func (d *Detector) advanceClock(at Clock) {
	gap := at.Steady - d.now
	d.now, d.wall, d.out = max(d.now, at.Steady), at.Wall, nil
	if !d.started {
		d.started = true
		d.incarnation = Incarnation(max(1, at.Wall))
		d.nextRound = d.now
		for _, m := range d.members {
			m.since, m.lastAckAt = d.now, d.now
		}
		return
	}
	switch {
	case gap > d.settings.Stall:
		d.recoverFromPause()
	case gap > d.settings.Timeout:
		d.health.degrade() // it lacks processor time
	}
}

func (d *Detector) recoverFromPause() {
	d.counters.Stalls++
	d.health.degradeFully()
	for _, p := range d.probes {
		d.sendNack(p)
		p.target.probeInFlight = false
	}
	d.probes, d.onBehalf = nil, 0
	clear(d.pendingRequests)
	for _, m := range d.members {
		if m.state == Suspect {
			m.suspicion = suspicion{since: d.now, confirmations: map[string]bool{}}
		}
		clear(m.reports)
		m.unconfirmedFailures = 0
	}
	d.nextRound = d.now
}

// Tick lets time pass.
func (d *Detector) Tick(at Clock) []Action {
	d.advanceClock(at)
	d.expireProbes()
	d.expireSuspicions()
	if d.now >= d.nextRound && !d.leaving {
		d.nextRound = d.now + d.health.stretch(d.settings.Interval)
		d.round++
		d.probeRound()
	}
	return d.out
}

func (d *Detector) markSuspect(m *member, why Reason) {
	if m.state != Alive {
		return
	}
	d.counters.Suspicions++
	m.suspicion, m.suspectedAtWall = suspicion{since: d.now, confirmations: map[string]bool{}}, d.wall
	for by, a := range m.reports {
		if d.isRecent(a) && a.incarnation >= m.incarnation {
			m.suspicion.confirmations[by] = true
		}
	}
	d.setState(m, Suspect, why)
	m.nextProbeAt = 0
}

// expireSuspicions declares dead who was suspected for the whole timeout.
func (d *Detector) expireSuspicions() {
	for _, label := range d.labels {
		m := d.members[label]
		if m.state != Suspect {
			continue
		}
		timeout := m.suspicion.timeout(d.settings.Suspicion, d.settings.SuspicionFactor, len(d.labels)-1)
		if d.now >= m.suspicion.since+d.health.stretch(timeout) {
			d.counters.Deaths++
			d.setState(m, Dead, ReasonSuspicionTimeout)
		}
	}
}

func (d *Detector) setState(m *member, to State, why Reason) {
	d.out = append(d.out, Change{Label: m.label, From: m.state, To: to, Reason: why, Incarnation: m.incarnation, After: d.now - m.since})
	m.state, m.since = to, d.now
}

// markAlive takes a sign of life that clears a member of what it is held for.
func (d *Detector) markAlive(m *member, why Reason) {
	if m.state == Alive {
		return
	}
	// Of a process that began before it was suspected, the claim was wrong.
	restarted := int64(m.incarnation) > m.suspectedAtWall-d.settings.ClockError.Milliseconds()
	switch {
	case m.state == Suspect && !restarted:
		d.counters.FalseSuspicions++
	case m.state == Dead && !restarted:
		d.counters.FalseDeaths++
	}
	if !m.present() {
		m.rejoinedAt = max(1, d.now)
	}
	d.setState(m, Alive, why)
}

// updateIncarnation takes a member's incarnation if it is later than what is known, and returns whether it is.
func (d *Detector) updateIncarnation(m *member, incarnation Incarnation) bool {
	if incarnation <= m.incarnation || d.isFuture(incarnation) {
		return false
	}
	m.incarnation, m.sequence = incarnation, 0
	m.discardOldReports()
	return true
}

// isFuture says whether an incarnation can't be yet, by the bound on the times of day.
func (d *Detector) isFuture(incarnation Incarnation) bool {
	return int64(incarnation) < 0 || int64(incarnation) > d.wall+2*d.settings.ClockError.Milliseconds()+d.settings.Steady.Milliseconds()
}

// Heard takes a sign of life that a peer gave by another way than probes, in answer to a
// request that was sent at a time.
func (d *Detector) Heard(at Clock, label string, sent time.Duration) []Action {
	d.advanceClock(at)
	m := d.members[label]
	if m == nil {
		return d.out
	}
	m.lastAckAt, m.lastDirectAckAt, m.directProbeFailed = d.now, d.now, false
	if m.state == Suspect && sent >= m.suspicion.since || m.method == viaHeartbeat && sent >= m.since {
		d.markAlive(m, ReasonAck)
	}
	return d.out
}

// Leave says goodbye to all peers. Nothing is probed from then on.
func (d *Detector) Leave(at Clock) []Action {
	d.advanceClock(at)
	d.leaving = true
	for _, label := range d.labels {
		if m := d.members[label]; m.present() && m.method == viaProbe {
			d.lastRequestID++
			body := encode(d.newProbe(label))
			d.counters.BytesSent += uint64(len(body))
			d.out = append(d.out, Send{ID: d.lastRequestID, To: label, Body: body, Timeout: d.settings.Timeout})
		}
	}
	return d.out
}
