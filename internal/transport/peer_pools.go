package transport

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"claybarrow/internal/config"
	"claybarrow/internal/controller"
)

// peerMessage is a kind of message to other controllers. Each kind has connections of its own to each controller, so
// that relayed requests which the leader holds for long delay neither the other kinds nor the controllers' heartbeats.
type peerMessage int

// The kinds.
const (
	peerControl       peerMessage = iota // heartbeats and probes of the controllers
	peerUserRelay                        // users' requests
	peerWorkerForward                    // workers' heartbeats
	peerMessageKinds  = int(peerWorkerForward) + 1
)

// String returns the name of the kind in metrics.
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

// Shares of the connections to one controller, as divisors. Forwarded heartbeats get the rest.
const (
	controlConnDivisor = 8
	relayConnDivisor   = 3
)

// connectionWaitDivisor: a message gives up waiting for a connection after a quarter of its timeout. A message that got
// one later would use it without being answered in time, and so would all behind it.
const connectionWaitDivisor = 4

// errNoConnection is returned for a message to another controller that did not get a connection in time.
var errNoConnection = errors.New("no connection to the controller became free in time")

// peerPool is the connections for one kind of message, to all controllers.
type peerPool struct {
	client       *http.Client
	connsPerPeer int

	mu sync.Mutex
	// slots holds a value for each connection in use, by the controller's address.
	slots map[string]chan struct{}
	stats poolStats
}

// poolStats counts the messages of a pool.
type poolStats struct {
	waiting     int           // for a connection
	sent        uint64        // got a connection
	gaveUp      uint64        // got none in time
	longestWait time.Duration // since the statistics were last taken
}

// newPeerPools returns the pools for all kinds of messages. Together they open at most outboundPeerConnPercent of the
// process's sockets, or minConnsPerPeer to each controller if that is more.
func newPeerPools(cfg *config.Config) [peerMessageKinds]*peerPool {
	peers := max(1, len(cfg.Siblings))
	connsPerPeer := max(minConnsPerPeer, cfg.Cluster.Resources.FDs*outboundPeerConnPercent/100/peers)
	control := max(1, connsPerPeer/controlConnDivisor)
	relay := max(1, connsPerPeer/relayConnDivisor)
	newPool := func(conns int) *peerPool {
		return &peerPool{client: newClient(cfg, conns, conns*peers), connsPerPeer: conns, slots: map[string]chan struct{}{}}
	}
	return [peerMessageKinds]*peerPool{
		peerControl:       newPool(control),
		peerUserRelay:     newPool(relay),
		peerWorkerForward: newPool(connsPerPeer - control - relay),
	}
}

// acquire waits until a connection to a controller is free, and returns a function that frees it again. It returns
// errNoConnection if none becomes free in time.
func (p *peerPool) acquire(ctx context.Context, addr string, timeout time.Duration) (release func(), err error) {
	slots := p.slotsOf(addr)
	release = func() { <-slots }
	select {
	case slots <- struct{}{}:
		p.count(0, nil)
		return release, nil
	default:
	}
	began := time.Now()
	p.addWaiting(1)
	defer p.addWaiting(-1)
	patience := time.NewTimer(timeout / connectionWaitDivisor)
	defer patience.Stop()
	select {
	case slots <- struct{}{}:
		p.count(time.Since(began), nil)
		return release, nil
	case <-patience.C:
		err = errNoConnection
	case <-ctx.Done():
		err = ctx.Err()
	}
	p.count(time.Since(began), err)
	return nil, err
}

// slotsOf returns the slots of a controller.
func (p *peerPool) slotsOf(addr string) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.slots[addr] == nil {
		p.slots[addr] = make(chan struct{}, p.connsPerPeer)
	}
	return p.slots[addr]
}

// addWaiting changes the number of messages that wait.
func (p *peerPool) addWaiting(change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.waiting += change
}

// count counts a message that got a connection or gave up.
func (p *peerPool) count(waited time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.stats.sent++
	} else {
		p.stats.gaveUp++
	}
	p.stats.longestWait = max(p.stats.longestWait, waited)
}

// takeStats returns the statistics and begins a new interval for the longest wait.
func (p *peerPool) takeStats() poolStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	p.stats.longestWait = 0
	return stats
}
