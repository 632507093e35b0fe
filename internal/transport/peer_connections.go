package transport

import (
	"container/list"
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"claybarrow/internal/config"
	"claybarrow/internal/controller"
)

// peerMessage is a kind of message to other controllers.
type peerMessage int

// The kinds.
const (
	peerControl       peerMessage = iota // heartbeats and probes of the controllers
	peerUserRelay                        // users' requests
	peerWorkerForward                    // workers' heartbeats
	peerMessageKinds  = int(peerWorkerForward) + 1
)

// String returns the name of the kind in log lines and metrics.
func (k peerMessage) String() string {
	return [peerMessageKinds]string{"control", "user_relay", "worker_forward"}[k]
}

// kindOfPeerMessage returns the kind of a message by its path.
func kindOfPeerMessage(path string) peerMessage {
	switch path {
	case controller.RelayPath:
		return peerUserRelay
	case controller.ForwardedHeartbeatPath:
		return peerWorkerForward
	}
	return peerControl
}

// relayWeight and forwardWeight are the shares of the connections to a controller that relays and forwarded heartbeats
// get while both wait for one.
const (
	relayWeight   = 1
	forwardWeight = 2
)

// controlConnDivisor is a divisor: the connections to one controller divided by it serve the controllers' own messages
// only.
const controlConnDivisor = 8

// connectionWaitDivisor: a message gives up waiting for a connection after a quarter of its timeout. A message that got
// one later would use it without being answered in time, and so would all behind it.
const connectionWaitDivisor = 4

// errNoConnection is returned for a message to another controller that did not get a connection in time.
var errNoConnection = errors.New("no connection to the controller became free in time")

// peerConnections admits messages to other controllers to the connections. The controllers' own messages have some of
// their own, so that relayed requests which the leader holds for long do not delay them. Relays and forwarded heartbeats
// share the others: one that is free goes to whoever wants it, and while both kinds wait, to the one that has less than
// its share.
type peerConnections struct {
	control, shared *http.Client
	controlConns    int // to one controller
	sharedConns     int // to one controller

	mu    sync.Mutex
	peers map[string]*connectionSlots // by the controller's address
	stats [peerMessageKinds]poolStats
}

// poolStats counts the messages of a kind.
type poolStats struct {
	waiting     int           // for a connection
	sent        uint64        // got a connection
	gaveUp      uint64        // got none in time
	longestWait time.Duration // since the statistics were last taken
}

// connectionSlots are the connections to one controller.
type connectionSlots struct {
	inUse   [peerMessageKinds]int
	waiting [peerMessageKinds]list.List // of chan struct{}, closed when the message gets a connection
}

// newPeerConnections returns the admission to at most outboundPeerConnPercent of the process's sockets, or to
// minConnsPerPeer for each controller if that is more.
func newPeerConnections(cfg *config.Config) *peerConnections {
	peers := max(1, len(cfg.Siblings))
	connsPerPeer := max(minConnsPerPeer, cfg.Cluster.Resources.FDs*outboundPeerConnPercent/100/peers)
	control := max(1, connsPerPeer/controlConnDivisor)
	shared := connsPerPeer - control
	return &peerConnections{
		control: newClient(cfg, control, control*peers), controlConns: control,
		shared: newClient(cfg, shared, shared*peers), sharedConns: shared,
		peers: map[string]*connectionSlots{},
	}
}

// client returns the HTTP client for a kind of message.
func (p *peerConnections) client(kind peerMessage) *http.Client {
	if kind == peerControl {
		return p.control
	}
	return p.shared
}

// acquire waits until a message may use a connection to a controller, and returns a function that frees it again. It
// returns errNoConnection if none becomes free in time.
func (p *peerConnections) acquire(ctx context.Context, kind peerMessage, addr string, timeout time.Duration) (release func(), err error) {
	began := time.Now()
	granted, position := p.request(kind, addr)
	patience := time.NewTimer(timeout / connectionWaitDivisor)
	defer patience.Stop()
	select {
	case <-granted:
		p.countSent(kind, time.Since(began))
		return func() { p.release(kind, addr) }, nil
	case <-patience.C:
		err = errNoConnection
	case <-ctx.Done():
		err = ctx.Err()
	}
	p.giveUp(kind, addr, granted, position, time.Since(began))
	return nil, err
}

// request asks for a connection. granted is closed once the message may use one; position is its place in the queue, or
// nil if it need not wait.
func (p *peerConnections) request(kind peerMessage, addr string) (granted chan struct{}, position *list.Element) {
	p.mu.Lock()
	defer p.mu.Unlock()
	granted = make(chan struct{})
	slots := p.peers[addr]
	if slots == nil {
		slots = &connectionSlots{}
		p.peers[addr] = slots
	}
	if p.hasFree(slots, kind) {
		slots.inUse[kind]++
		close(granted)
		return granted, nil
	}
	p.stats[kind].waiting++
	return granted, slots.waiting[kind].PushBack(granted)
}

// hasFree reports whether a connection for a kind of message is free.
func (p *peerConnections) hasFree(slots *connectionSlots, kind peerMessage) bool {
	if kind == peerControl {
		return slots.inUse[peerControl] < p.controlConns
	}
	return slots.inUse[peerUserRelay]+slots.inUse[peerWorkerForward] < p.sharedConns
}

// giveUp takes a message out of the queue. If it got a connection in the meantime, the connection is freed.
func (p *peerConnections) giveUp(kind peerMessage, addr string, granted chan struct{}, position *list.Element, waited time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := &p.stats[kind]
	stats.gaveUp++
	stats.longestWait = max(stats.longestWait, waited)
	select {
	case <-granted:
		p.free(kind, p.peers[addr])
	default:
		stats.waiting--
		p.peers[addr].waiting[kind].Remove(position)
	}
}

// release frees a connection.
func (p *peerConnections) release(kind peerMessage, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free(kind, p.peers[addr])
}

// free frees a connection and hands it to the message that waits with the best claim.
func (p *peerConnections) free(kind peerMessage, slots *connectionSlots) {
	slots.inUse[kind]--
	next := kind
	if kind != peerControl {
		next = slots.nextShared()
	}
	first := slots.waiting[next].Front()
	if first == nil {
		return
	}
	slots.waiting[next].Remove(first)
	slots.inUse[next]++
	p.stats[next].waiting--
	close(first.Value.(chan struct{}))
}

// nextShared returns the kind that gets the next shared connection: of those that wait, the one with less than its
// share.
func (s *connectionSlots) nextShared() peerMessage {
	switch {
	case s.waiting[peerUserRelay].Len() == 0:
		return peerWorkerForward
	case s.waiting[peerWorkerForward].Len() == 0:
		return peerUserRelay
	case s.inUse[peerUserRelay]*forwardWeight < s.inUse[peerWorkerForward]*relayWeight:
		return peerUserRelay
	}
	return peerWorkerForward
}

// countSent counts a message that got a connection.
func (p *peerConnections) countSent(kind peerMessage, waited time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := &p.stats[kind]
	stats.sent++
	stats.longestWait = max(stats.longestWait, waited)
}

// takeStats returns the statistics and begins a new interval for the longest waits.
func (p *peerConnections) takeStats() [peerMessageKinds]poolStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	for kind := range p.stats {
		p.stats[kind].longestWait = 0
	}
	return stats
}
