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
	"errors"
	"maps"
	"math/rand/v2"
	"net/http"
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
	// indirectTimeouts is how many timeouts those asked have for their answer.
	indirectTimeouts = 2
	// mostWitnesses is how many others are asked about a peer.
	mostWitnesses = 3
	// mostProbesAtOnce bounds a round: larger groups are gone through in turn.
	mostProbesAtOnce = 8
	// goneEvery is every which round the dead and those that left are probed.
	goneEvery = 4
	// roundsOnOurWord is how many probes must fail in a row before a peer is suspected though
	// none of those asked has answered: then it is rather us.
	roundsOnOurWord = 3
	// mostOnBehalf bounds the probes under way for others.
	mostOnBehalf = 32
	// accusationIntervals is for how many intervals a claim of another counts.
	accusationIntervals = 6
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
	health      health
	counters    Counters

	started   bool
	nextRound time.Duration
	round     int
	turn      int // of the labels, in large groups

	lastID    uint64
	questions map[uint64]*question
	probes    []*probe
	onBehalf  int

	out []Action
}

// New makes a detector. Random numbers are injected so that failures replay.
func New(settings Settings, random *rand.Rand) *Detector {
	d := &Detector{settings: settings, random: random, members: map[string]*member{}, questions: map[uint64]*question{}}
	for _, label := range settings.Peers {
		d.members[label] = &member{label: label, dropped: map[DropReason]bool{}}
	}
	d.labels = slices.Sorted(maps.Keys(d.members))
	return d
}

// Clock is a reading of the steady clock and of the time of day.
type Clock struct {
	Steady time.Duration
	Wall   int64 // ms
}

// begin reads the clock before anything is handled. After a standstill what was under way
// proves nothing, and suspicions begin anew.
func (d *Detector) begin(at Clock) {
	gap := at.Steady - d.now
	d.now, d.wall, d.out = max(d.now, at.Steady), at.Wall, nil
	if !d.started {
		d.started = true
		d.incarnation = Incarnation(max(1, at.Wall))
		d.nextRound = d.now
		for _, m := range d.members {
			m.since, m.answeredAt = d.now, d.now
		}
		return
	}
	switch {
	case gap > d.settings.Stall:
		d.stoodStill()
	case gap > d.settings.Timeout:
		d.health.worse() // it lacks processor time
	}
}

func (d *Detector) stoodStill() {
	d.counters.Stalls++
	d.health.worst()
	for _, p := range d.probes {
		d.deny(p)
		p.target.probing = false
	}
	d.probes, d.onBehalf = nil, 0
	clear(d.questions)
	for _, m := range d.members {
		if m.state == Suspect {
			m.suspicion = suspicion{since: d.now, accusers: map[string]bool{}}
		}
		clear(m.accused)
		m.onlyOurWord = 0
	}
	d.nextRound = d.now
}

// Tick lets time pass.
func (d *Detector) Tick(at Clock) []Action {
	d.begin(at)
	d.expireProbes()
	d.expireSuspicions()
	if d.now >= d.nextRound && !d.leaving {
		d.nextRound = d.now + d.health.stretch(d.settings.Interval)
		d.round++
		d.probeRound()
	}
	return d.out
}

// probeRound begins the probes of a round: of all others, in large groups of some in turn.
func (d *Detector) probeRound() {
	begun := 0
	for range d.labels {
		if begun == mostProbesAtOnce {
			return
		}
		d.turn = (d.turn + 1) % len(d.labels)
		m := d.members[d.labels[d.turn]]
		if m.probing || d.now < m.nextProbe || !m.present() && d.round%goneEvery != 0 {
			continue
		}
		begun++
		d.probe(&probe{target: m})
	}
}

// probe asks the target itself.
func (d *Detector) probe(p *probe) {
	p.sent, p.timeout = d.now, d.health.stretch(d.settings.Timeout)
	if !p.onBehalf {
		p.target.probing = true
	}
	d.counters.Probes++
	d.probes = append(d.probes, p)
	d.ask(p, "")
}

// ask sends one request of a probe: to its target, or to a witness.
func (d *Detector) ask(p *probe, witness string) {
	d.lastID++
	q := &question{probe: p, witness: witness, sent: d.now}
	d.questions[d.lastID] = q
	to, timeout := p.target.label, p.sent+(1+indirectTimeouts)*p.timeout-d.now
	if p.onBehalf {
		timeout = p.timeout
	}
	if witness == "" && p.target.speech == byHeartbeats {
		q.heartbeat = true
		d.out = append(d.out, Send{ID: d.lastID, To: to, Heartbeat: true, Timeout: timeout})
		return
	}
	message := d.message(to)
	if witness != "" {
		to, timeout = witness, indirectTimeouts*p.timeout
		message = d.message(to)
		message.Target = p.target.label
	}
	q.sequence = message.Sequence
	body := encode(message)
	d.counters.BytesSent += uint64(len(body))
	d.out = append(d.out, Send{ID: d.lastID, To: to, Body: body, Timeout: timeout})
}

// message is a probe for a peer, with our claims.
func (d *Detector) message(to string) Probe {
	d.sequence++
	return Probe{Version: Version, From: d.settings.Self, Incarnation: d.incarnation, Sequence: d.sequence, Claims: d.claims(to)}
}

// claims are what a peer should know: who is not alive for us, and who accuses the peer.
func (d *Detector) claims(to string) []Claim {
	var out []Claim
	if d.leaving {
		out = append(out, Claim{Label: d.settings.Self, State: Left, Incarnation: d.incarnation})
	}
	for _, label := range d.labels {
		m := d.members[label]
		if m.state != Alive && len(out) < mostClaims-1 {
			out = append(out, Claim{Label: label, State: m.state, Incarnation: m.incarnation})
		}
	}
	if m := d.members[to]; m != nil && m.state == Alive {
		// Whoever accuses it may not reach it: it hears of that from us.
		worst := accusation{}
		for _, a := range m.accused {
			if d.fresh(a) && a.incarnation >= worst.incarnation && a.state > worst.state {
				worst = a
			}
		}
		if worst.state != Alive {
			out = append(out, Claim{Label: to, State: worst.state, Incarnation: worst.incarnation})
		}
	}
	return out
}

func (d *Detector) fresh(a accusation) bool {
	return d.now < a.at+accusationIntervals*d.settings.Interval
}

// expireProbes asks others where the direct way took too long, and gives up what none answered.
func (d *Detector) expireProbes() {
	for _, p := range slices.Clone(d.probes) {
		switch {
		case p.onBehalf && d.now >= p.sent+p.timeout:
			d.deny(p)
			d.end(p)
		case p.onBehalf:
		case d.now >= p.sent+(1+indirectTimeouts)*p.timeout:
			d.end(p)
			d.failed(p)
		case !p.asked && d.now >= p.sent+p.timeout:
			d.askWitnesses(p)
		}
	}
}

// end forgets a probe; answers that still come find no question.
func (d *Detector) end(p *probe) {
	i := slices.Index(d.probes, p)
	if i < 0 {
		return
	}
	d.probes = slices.Delete(d.probes, i, i+1)
	if p.onBehalf {
		d.onBehalf--
	} else {
		p.target.probing = false
	}
	for id, q := range d.questions {
		if q.probe == p {
			delete(d.questions, id)
		}
	}
}

// askWitnesses has others probe the target, so that a bad link of ours convicts nobody, and asks it
// once more itself: a single message that was lost is no reason for a suspicion.
func (d *Detector) askWitnesses(p *probe) {
	p.asked = true
	p.target.unreached = true
	d.ask(p, "")
	var able []string
	for _, label := range d.labels {
		if m := d.members[label]; m != p.target && m.state == Alive && m.speech == byProbes {
			able = append(able, label)
		}
	}
	d.random.Shuffle(len(able), func(i, j int) { able[i], able[j] = able[j], able[i] })
	for _, label := range able[:min(len(able), mostWitnesses)] {
		p.witnesses++
		d.counters.WitnessesAsked++
		d.ask(p, label)
	}
}

// failed takes a probe that had no sign of life in time.
func (d *Detector) failed(p *probe) {
	m := p.target
	if m.answeredAt >= p.sent {
		return
	}
	d.counters.Failures++
	others := d.othersAlive(m)
	switch {
	case p.denials > 0:
		m.onlyOurWord = 0
		d.suspect(m, ReasonSilent)
	case others > 0 && p.witnesses > 0:
		// None of those asked answered us either: it is rather us.
		d.health.worse()
		if m.onlyOurWord++; m.onlyOurWord >= roundsOnOurWord {
			d.suspect(m, ReasonSilent)
		}
	default:
		d.suspect(m, ReasonOnlyOurWord)
	}
}

// othersAlive counts whom we hold alive beside a member.
func (d *Detector) othersAlive(but *member) int {
	n := 0
	for _, m := range d.members {
		if m != but && m.state == Alive {
			n++
		}
	}
	return n
}

func (d *Detector) suspect(m *member, why Reason) {
	if m.state != Alive {
		return
	}
	d.counters.Suspicions++
	m.suspicion, m.suspectedWall = suspicion{since: d.now, accusers: map[string]bool{}}, d.wall
	for by, a := range m.accused {
		if d.fresh(a) && a.incarnation >= m.incarnation {
			m.suspicion.accusers[by] = true
		}
	}
	d.change(m, Suspect, why)
	m.nextProbe = 0
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
			d.change(m, Dead, ReasonTimeout)
		}
	}
}

func (d *Detector) change(m *member, to State, why Reason) {
	d.out = append(d.out, Change{Label: m.label, From: m.state, To: to, Reason: why, Incarnation: m.incarnation, After: d.now - m.since})
	m.state, m.since = to, d.now
}

// alive takes a sign of life that clears a member of what it is held for.
func (d *Detector) alive(m *member, why Reason) {
	if m.state == Alive {
		return
	}
	// Of a process that began before it was suspected, the claim was wrong.
	restarted := int64(m.incarnation) > m.suspectedWall-d.settings.ClockError.Milliseconds()
	switch {
	case m.state == Suspect && !restarted:
		d.counters.FalseSuspicions++
	case m.state == Dead && !restarted:
		d.counters.FalseDeaths++
	}
	if !m.present() {
		m.returnedAt = max(1, d.now)
	}
	d.change(m, Alive, why)
}

// later takes a member's incarnation if it is later than what is known, and returns whether it is.
func (d *Detector) later(m *member, incarnation Incarnation) bool {
	if incarnation <= m.incarnation || d.inFuture(incarnation) {
		return false
	}
	m.incarnation, m.sequence = incarnation, 0
	m.forgive()
	return true
}

// inFuture says whether an incarnation can't be yet, by the bound on the times of day.
func (d *Detector) inFuture(incarnation Incarnation) bool {
	return int64(incarnation) < 0 || int64(incarnation) > d.wall+2*d.settings.ClockError.Milliseconds()+d.settings.Steady.Milliseconds()
}

// Answer is the outcome of a Send. Status 0: there was no answer.
type Answer struct {
	Status int
	Body   []byte
}

// Answered takes the outcome of a request.
func (d *Detector) Answered(at Clock, id uint64, a Answer) []Action {
	d.begin(at)
	q := d.questions[id]
	if q == nil {
		return d.out
	}
	delete(d.questions, id)
	d.counters.BytesReceived += uint64(len(a.Body))
	if q.witness != "" {
		d.witnessed(q, a)
	} else {
		d.direct(q, a)
	}
	return d.out
}

// direct takes the target's own answer, or that there was none.
func (d *Detector) direct(q *question, a Answer) {
	p, m := q.probe, q.probe.target
	reply, ok := d.readReply(m.label, q, a)
	switch {
	case ok:
		d.sign(m, q, reply)
	case a.Status == http.StatusNotFound && !q.heartbeat:
		// It is there, and its version knows no probes: from now on heartbeats tell.
		m.speech = byHeartbeats
		d.sign(m, q, ProbeReply{})
	case a.Status == http.StatusOK && q.heartbeat:
		d.sign(m, q, ProbeReply{})
	case p.onBehalf:
		d.deny(p)
		d.end(p)
		return
	case !p.asked:
		d.askWitnesses(p) // refused, say: no need to wait for the timeout
		return
	default:
		return
	}
	if p.onBehalf {
		d.confirm(p)
	}
	d.end(p)
}

// sign takes a sign of life that the member gave to a question of ours.
func (d *Detector) sign(m *member, q *question, reply ProbeReply) {
	d.counters.Answers++
	m.answeredAt, m.directAt, m.unreached, m.onlyOurWord = d.now, d.now, false, 0
	d.health.better()
	switch {
	case d.later(m, reply.Incarnation):
		d.alive(m, ReasonRefuted)
	case m.state == Suspect && q.sent >= m.suspicion.since, m.state != Suspect && m.speech == byHeartbeats && q.sent >= m.since:
		d.alive(m, ReasonAnswered)
	}
	d.hear(m.label, reply.Claims)
}

// readReply reads an answer to a probe. Also a refused probe (409) is answered by a process that lives.
func (d *Detector) readReply(from string, q *question, a Answer) (ProbeReply, bool) {
	if q.heartbeat || a.Status != http.StatusOK && a.Status != http.StatusConflict {
		return ProbeReply{}, false
	}
	reply, err := decodeReply(a.Body)
	if err != nil {
		d.drop(from, dropReasonOf(err))
		return ProbeReply{}, false
	}
	if reply.From != from || reply.Sequence != q.sequence {
		d.drop(from, DropUnknown)
		return ProbeReply{}, false
	}
	return reply, true
}

// witnessed takes a witness's answer.
func (d *Detector) witnessed(q *question, a Answer) {
	p, m := q.probe, q.probe.target
	reply, ok := d.readReply(q.witness, q, a)
	if !ok {
		return // silent
	}
	w := d.members[q.witness]
	d.sign(w, q, ProbeReply{Incarnation: reply.Incarnation, Claims: reply.Claims})
	if !reply.Reached {
		p.denials++
		return
	}
	d.counters.WitnessesReached++
	m.answeredAt, m.viaAt, m.via, m.onlyOurWord = d.now, d.now, q.witness, 0
	switch {
	case d.later(m, reply.TargetIncarnation):
		d.alive(m, ReasonRefuted)
	case m.state == Suspect && q.sent >= m.suspicion.since:
		d.alive(m, ReasonOthers)
	}
	d.end(p)
}

// confirm and deny answer the controller that asked for a probe.
func (d *Detector) confirm(p *probe) {
	d.respond(p.request, http.StatusOK, ProbeReply{Sequence: p.echo, Reached: true, TargetIncarnation: p.target.incarnation, Claims: d.claims(p.asker)})
}

func (d *Detector) deny(p *probe) {
	if p.onBehalf {
		d.respond(p.request, http.StatusOK, ProbeReply{Sequence: p.echo, Claims: d.claims(p.asker)})
	}
}

func (d *Detector) respond(request uint64, status int, reply ProbeReply) {
	reply.Version, reply.From, reply.Incarnation = Version, d.settings.Self, d.incarnation
	body := encode(reply)
	d.counters.BytesSent += uint64(len(body))
	d.out = append(d.out, Respond{Request: request, Status: status, Body: body})
}

// refuse answers a message that is not taken.
func (d *Detector) refuse(request uint64, status int, from string, why DropReason) {
	d.drop(from, why)
	d.out = append(d.out, Respond{Request: request, Status: status})
}

// drop counts a message that is not taken.
func (d *Detector) drop(from string, why DropReason) {
	d.counters.Dropped++
	first := false
	if m := d.members[from]; m != nil && !m.dropped[why] {
		m.dropped[why], first = true, true
	}
	d.out = append(d.out, Drop{Label: from, Reason: why, First: first})
}

func dropReasonOf(err error) DropReason {
	if errors.Is(err, errVersion) {
		return DropVersion
	}
	return DropMalformed
}

// Probed takes a peer's probe. Its Respond may come with a later call, when it is about a third one.
func (d *Detector) Probed(at Clock, request uint64, body []byte) []Action {
	d.begin(at)
	d.counters.BytesReceived += uint64(min(len(body), MostBytes))
	message, err := decodeProbe(body)
	m := d.members[message.From]
	switch {
	case errors.Is(err, errVersion):
		// As one that knows no probes: the later version judges us by heartbeats.
		d.refuse(request, http.StatusNotFound, message.From, DropVersion)
	case err != nil:
		d.refuse(request, http.StatusBadRequest, "", DropMalformed)
	case m == nil:
		d.refuse(request, http.StatusBadRequest, message.From, DropUnknown)
	default:
		d.probed(request, m, message)
	}
	return d.out
}

func (d *Detector) probed(request uint64, m *member, message Probe) {
	switch {
	case d.inFuture(message.Incarnation) || message.Sequence > mostSequence:
		d.outOfOrder(request, m, message, DropFuture)
		return
	case message.Incarnation < m.incarnation:
		d.outOfOrder(request, m, message, DropIncarnation)
		return
	case message.Incarnation == m.incarnation && message.Sequence <= m.sequence:
		d.outOfOrder(request, m, message, DropSequence)
		return
	}
	if m.speech == byHeartbeats {
		m.speech = byProbes // it was upgraded
	}
	if d.later(m, message.Incarnation) {
		m.answeredAt = d.now
		d.alive(m, ReasonRefuted)
	}
	m.sequence = message.Sequence
	d.hear(m.label, message.Claims)
	target := d.members[message.Target]
	switch {
	case message.Target == "" || message.Target == d.settings.Self:
		d.respond(request, http.StatusOK, ProbeReply{Sequence: message.Sequence, Reached: true, TargetIncarnation: d.incarnation, Claims: d.claims(m.label)})
	case target == nil:
		d.refuse(request, http.StatusBadRequest, m.label, DropUnknown)
	case d.onBehalf >= mostOnBehalf:
		d.out = append(d.out, Respond{Request: request, Status: http.StatusServiceUnavailable})
	default:
		d.onBehalf++
		d.counters.OnBehalf++
		d.probe(&probe{target: target, onBehalf: true, request: request, asker: m.label, echo: message.Sequence})
	}
}

// outOfOrder refuses a message without taking anything from it. The answer tells the sender
// what is known of it, so that one whose clock was set back gets a later incarnation.
func (d *Detector) outOfOrder(request uint64, m *member, message Probe, why DropReason) {
	d.drop(m.label, why)
	d.respond(request, http.StatusConflict, ProbeReply{Sequence: message.Sequence,
		Claims: append(d.claims(m.label), Claim{Label: m.label, State: m.state, Incarnation: m.incarnation})})
}

// hear takes the claims of a peer. Those about others change no state.
func (d *Detector) hear(from string, claims []Claim) {
	for _, claim := range claims {
		if claim.Label == d.settings.Self {
			d.hearOfSelf(claim)
			continue
		}
		m := d.members[claim.Label]
		if m == nil || claim.State > Left || d.inFuture(claim.Incarnation) {
			continue
		}
		switch {
		case claim.Label == from && claim.State == Left && claim.Incarnation == m.incarnation && m.present():
			d.change(m, Left, ReasonSaidGoodbye)
		case claim.Label != from && claim.State != Alive && claim.Incarnation >= m.incarnation:
			d.accused(m, from, claim)
		}
	}
}

// accused notes that another holds a member suspect, dead or gone.
func (d *Detector) accused(m *member, by string, claim Claim) {
	m.accuse(by, accusation{at: d.now, state: min(claim.State, Dead), incarnation: claim.Incarnation})
	switch m.state {
	case Suspect:
		m.suspicion.accusers[by] = true
	case Alive:
		if !m.probing && d.now > m.answeredAt+d.settings.Timeout {
			d.probe(&probe{target: m}) // is it so for us?
		}
	}
}

// hearOfSelf refutes what is claimed of us, by an incarnation after the claimed one.
func (d *Detector) hearOfSelf(claim Claim) {
	if d.leaving || d.inFuture(claim.Incarnation) {
		return
	}
	against := claim.State != Alive && claim.Incarnation >= d.incarnation
	if !against && claim.Incarnation <= d.incarnation {
		return
	}
	if against {
		d.counters.Refutations++
		d.health.worse()
	}
	d.incarnation, d.sequence = claim.Incarnation+1, 0
}

// Heard takes a sign of life that a peer gave by another way than probes, in answer to a
// request that was sent at a time.
func (d *Detector) Heard(at Clock, label string, sent time.Duration) []Action {
	d.begin(at)
	m := d.members[label]
	if m == nil {
		return d.out
	}
	m.answeredAt, m.directAt, m.unreached = d.now, d.now, false
	if m.state == Suspect && sent >= m.suspicion.since || m.speech == byHeartbeats && sent >= m.since {
		d.alive(m, ReasonAnswered)
	}
	return d.out
}

// Leave says goodbye to all peers. Nothing is probed from then on.
func (d *Detector) Leave(at Clock) []Action {
	d.begin(at)
	d.leaving = true
	for _, label := range d.labels {
		if m := d.members[label]; m.present() && m.speech == byProbes {
			d.lastID++
			body := encode(d.message(label))
			d.counters.BytesSent += uint64(len(body))
			d.out = append(d.out, Send{ID: d.lastID, To: label, Body: body, Timeout: d.settings.Timeout})
		}
	}
	return d.out
}
