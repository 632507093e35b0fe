package scalerun

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// Delays of messages that faults make late.
const (
	minLateness      = 2 * time.Second
	maxLateness      = 12 * time.Second
	quickRestart     = 200 * time.Millisecond
	slowStateLatency = 150 * time.Millisecond
	slowLinkDelay    = 100 * time.Millisecond
	// refusalBeforeOutage is how long the state service refuses one controller before it is out for all.
	refusalBeforeOutage = time.Second
)

// soakInjector injects the faults of a soak run. It must be used on the event loop only, except for links.
type soakInjector struct {
	region *region
	random *rand.Rand
	faults []SoakFault

	// Shares of messages that are affected now.
	lateWrites, lostAnswers, lateHeartbeats, lateCommands, cancelsAtEnd float64
	stateLatency                                                        time.Duration
	// cutTokens counts the cuts in force of a leader's direct requests, by the token of its election.
	cutTokens map[uint64]int
	// applied counts the faults that are in force on each link, so that overlapping ones end independently.
	applied map[*link][]linkState
}

func newSoakInjector(r *region, faults []SoakFault, seed uint64) *soakInjector {
	return &soakInjector{region: r, faults: faults, random: rand.New(rand.NewPCG(seed, soakStream+1)), cutTokens: map[uint64]int{}, applied: map[*link][]linkState{}}
}

// schedule schedules all faults, and sets the time at which the last one has ended.
func (s *soakInjector) schedule(ctx context.Context) {
	queue := s.region.loop.queue
	for _, fault := range s.faults {
		queue.After(seconds(fault.AtS), func() { s.inject(ctx, fault) })
	}
	queue.After(seconds(soakEndS(s.faults, s.region.plan.Control.RestartS)), func() { s.region.invariants.faultsEndedAt = queue.Now() })
}

// inject begins one fault and schedules its end.
func (s *soakInjector) inject(ctx context.Context, fault SoakFault) {
	if fault.Controller == soakLeader {
		fault.Controller = s.leader()
	}
	switch {
	case s.injectProcessFault(ctx, fault):
	case s.injectStateFault(fault):
	case s.injectLinkFault(fault):
	default:
		s.injectFleetFault(fault)
	}
}

// leader returns the number of the leader, or of the first controller if there is none.
func (s *soakInjector) leader() int {
	record, _ := s.region.leader.current()
	for i, c := range s.region.controlPlane.controllers {
		if c.label == record.Label {
			return i
		}
	}
	return 0
}

// injectProcessFault kills or suspends controllers; false: the fault is of another kind.
func (s *soakInjector) injectProcessFault(ctx context.Context, fault SoakFault) bool {
	plane := s.region.controlPlane
	c := plane.controllers[fault.Controller]
	switch fault.Kind {
	case SoakKill:
		plane.kill(ctx, c)
	case SoakKillQuickly:
		plane.killFor(ctx, c, quickRestart)
	case SoakKillAll:
		for _, c := range plane.controllers {
			plane.kill(ctx, c)
		}
	case SoakFreeze:
		c.freeze(seconds(fault.ForS))
	default:
		return false
	}
	return true
}

// injectStateFault makes the state service fail; false: the fault is of another kind.
func (s *soakInjector) injectStateFault(fault SoakFault) bool {
	state, queue := s.region.state, s.region.loop.queue
	switch fault.Kind {
	case SoakRefuse:
		state.RefusedClients[fault.Controller] = true
		queue.After(seconds(fault.ForS), func() { delete(state.RefusedClients, fault.Controller) })
	case SoakRefuseThenOut:
		state.RefusedClients[fault.Controller] = true
		queue.After(refusalBeforeOutage, func() {
			delete(state.RefusedClients, fault.Controller)
			s.outage(seconds(fault.ForS) - refusalBeforeOutage)
		})
	case SoakStateOutage:
		s.outage(seconds(fault.ForS))
	case SoakStateSlow:
		s.stateLatency += slowStateLatency
		queue.After(seconds(fault.ForS), func() { s.stateLatency -= slowStateLatency })
	case SoakLateWrites:
		s.raise(&s.lateWrites, fault)
	case SoakLostAnswers:
		s.raise(&s.lostAnswers, fault)
	default:
		return false
	}
	return true
}

// outage makes the state service unavailable, unless it is already.
func (s *soakInjector) outage(duration time.Duration) {
	if !s.region.state.Down {
		s.region.state.InjectOutage(duration)
	}
}

// raise adds a fault's share to a share for the duration of the fault.
func (s *soakInjector) raise(share *float64, fault SoakFault) {
	*share += fault.Share
	s.region.loop.queue.After(seconds(fault.ForS), func() { *share = max(0, *share-fault.Share) })
}

// injectLinkFault changes the state of links; false: the fault is of another kind.
func (s *soakInjector) injectLinkFault(fault SoakFault) bool {
	all, i := s.region.links, fault.Controller
	cut, hold := linkState{cut: true}, linkState{holdRequests: true}
	switch fault.Kind {
	case SoakCutState:
		s.disturb(fault, cut, all.state[i])
	case SoakHoldState:
		s.disturb(fault, hold, all.state[i])
	case SoakHoldAnswers:
		s.disturb(fault, linkState{holdReplies: true}, all.state[i])
	case SoakCutCloud:
		s.disturb(fault, cut, all.cloud[i])
	case SoakCutWorkers:
		s.disturb(fault, cut, all.workers[i])
	case SoakHoldWorkers:
		s.disturb(fault, hold, all.workers[i])
	case SoakCutUsers:
		s.disturb(fault, cut, all.users[i])
	case SoakDelay:
		s.disturb(fault, linkState{delay: slowLinkDelay}, append([]*link{all.users[i], all.workers[i], all.state[i], all.cloud[i]}, all.peers[i]...)...)
	default:
		return s.injectPeerFault(fault)
	}
	return true
}

// injectPeerFault changes the state of links between controllers; false: the fault is of another kind.
func (s *soakInjector) injectPeerFault(fault SoakFault) bool {
	all, i, j := s.region.links, fault.Controller, fault.Peer
	if i == j {
		j = (i + 1) % len(all.peers)
	}
	cut := linkState{cut: true}
	switch fault.Kind {
	case SoakCutPeer:
		s.disturb(fault, cut, all.peers[i][j], all.peers[j][i])
	case SoakHoldPeer:
		s.disturb(fault, linkState{holdRequests: true}, all.peers[i][j])
	case SoakRefusePeers:
		for from := range all.peers {
			s.disturb(fault, cut, all.peers[from]...)
		}
	case SoakIsolate:
		s.disturb(fault, cut, append([]*link{all.state[i]}, all.peers[i]...)...)
		for from := range all.peers {
			s.disturb(fault, cut, all.peers[from][i])
		}
	default:
		return false
	}
	return true
}

// disturb applies a state to links for the duration of a fault. Nil links are skipped.
func (s *soakInjector) disturb(fault SoakFault, state linkState, affected ...*link) {
	for _, l := range affected {
		if l == nil {
			continue
		}
		s.applied[l] = append(s.applied[l], state)
		l.set(combined(s.applied[l]))
		s.region.loop.queue.After(seconds(fault.ForS), func() {
			s.applied[l] = withoutFirst(s.applied[l], state)
			l.set(combined(s.applied[l]))
		})
	}
}

// withoutFirst returns the states without the first one that equals state.
func withoutFirst(states []linkState, state linkState) []linkState {
	for i := range states {
		if states[i] == state {
			return append(append([]linkState(nil), states[:i]...), states[i+1:]...)
		}
	}
	return states
}

// combined returns the state in which all given states are in force.
func combined(states []linkState) linkState {
	var all linkState
	for _, s := range states {
		all.cut = all.cut || s.cut
		all.holdRequests = all.holdRequests || s.holdRequests
		all.holdReplies = all.holdReplies || s.holdReplies
		all.delay += s.delay
	}
	return all
}

// injectFleetFault disturbs workers, their messages, or jobs.
func (s *soakInjector) injectFleetFault(fault SoakFault) {
	queue, workers := s.region.loop.queue, s.region.faults.randomWorkers
	switch fault.Kind {
	case SoakWorkersDeaf:
		for _, worker := range workers(fault.Share) {
			worker.RepliesLost = true
			queue.After(seconds(fault.ForS), func() { worker.RepliesLost = false })
		}
	case SoakWorkersMute:
		for _, worker := range workers(fault.Share) {
			worker.HeartbeatsLost = true
			queue.After(seconds(fault.ForS), func() { worker.HeartbeatsLost = false })
		}
	case SoakWorkersHung:
		for _, worker := range workers(fault.Share) {
			worker.InjectHang(seconds(fault.ForS))
		}
	case SoakWorkersDead:
		for _, worker := range workers(fault.Share / 4) {
			worker.Terminate()
		}
	case SoakLateHeartbeats:
		s.raise(&s.lateHeartbeats, fault)
	case SoakLateCommands:
		s.raise(&s.lateCommands, fault)
	case SoakCancelAtTheEnd:
		s.raise(&s.cancelsAtEnd, fault)
	case SoakCutCommands:
		s.cutCommands(seconds(fault.ForS))
	case SoakCancelManyAtOnce:
		s.region.clients.cancelShare(fault.Share)
	default:
		// The other kinds are injected by the functions above.
	}
}

// cutCommands loses the present leader's direct requests to workers for a time.
func (s *soakInjector) cutCommands(duration time.Duration) {
	record, _ := s.region.leader.current()
	s.cutTokens[record.Token]++
	s.region.loop.queue.After(duration, func() { s.cutTokens[record.Token]-- })
}

// losesCommand reports whether a direct request is lost because its sender's are cut.
func (s *soakInjector) losesCommand(body []byte) bool {
	var request protocol.CommandRequest
	if len(body) == 0 || protocol.Decode(body, &request) != nil {
		return false
	}
	return s.cutTokens[s.region.leader.electedToken(request.Token)] > 0
}

// happens draws whether a message is affected by a share.
func (s *soakInjector) happens(share float64) bool { return s.random.Float64() < share }

// lateness draws how late a message arrives.
func (s *soakInjector) lateness() time.Duration {
	return minLateness + time.Duration(s.random.Float64()*float64(maxLateness-minLateness))
}

// serveState serves a request to the state service under the faults in force.
func (s *soakInjector) serveState(client int, request *http.Request, body []byte, reply emulator.Reply) {
	r, uri := s.region, request.URL.RequestURI()
	isTransaction := request.Method == http.MethodPost && request.URL.Path == "/multi"
	refused := r.state.Down || r.state.RefusedClients[client]
	switch {
	case isTransaction && !refused && s.happens(s.lateWrites):
		r.loop.queue.After(s.lateness(), func() { r.state.Serve(client, request.Method, uri, body, func(int, []byte) {}) })
	case isTransaction && !refused && s.happens(s.lostAnswers):
		r.state.Serve(client, request.Method, uri, body, func(int, []byte) {})
	default:
		r.state.Serve(client, request.Method, uri, body, func(status int, answer []byte) {
			r.loop.queue.After(s.stateLatency+seconds(r.plan.State.LatencyMS/millisPerSecond), func() { reply(status, answer) })
		})
	}
}

// delaysCommand reports whether a direct request is executed late and without an answer.
func (s *soakInjector) delaysCommand(worker *emulator.Worker, path string, body []byte) bool {
	if !s.happens(s.lateCommands) {
		return false
	}
	s.region.loop.queue.After(s.lateness(), func() {
		if worker.Reachable() {
			worker.Serve(path, body, func(int, []byte) {})
		}
	})
	return true
}

// copyHeartbeat sends a late copy of a heartbeat to a random controller, whose answer is dropped.
func (s *soakInjector) copyHeartbeat(worker *emulator.Worker, body []byte) {
	if !s.happens(s.lateHeartbeats) {
		return
	}
	id, to := "copy of "+worker.ID, s.random.IntN(s.region.plan.Control.Controllers)
	s.region.loop.queue.After(s.lateness(), func() {
		go func() {
			s.region.heartbeatSender.exchange(id, to, body)
			s.region.heartbeatSender.closeConnection(id)
		}()
	})
}
