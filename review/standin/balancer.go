package main

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// balancer is a stand-in of the users' load balancer: it works at the connection level and prefers healthy nodes with
// fewer open connections.
type balancer struct {
	record *recorder
	mu     sync.Mutex
	nodes  []*balancedNode
}

// balancedNode is what the load balancer knows of a controller.
type balancedNode struct {
	label, addr  string
	healthy      bool
	everHealthy  bool
	last         []bool // the last six probes, the newest last
	lostAt       time.Time
	removals     []time.Time
	conns        map[net.Conn]net.Conn // by the user's side
	failures     int
	skippedUntil time.Time
}

// startBalancer starts the load balancer and returns the address for users.
func startBalancer(ctx context.Context, nodes []controllerAddress, record *recorder) (address string, err error) {
	b := &balancer{record: record}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	for _, node := range nodes {
		n := &balancedNode{label: node.label, addr: node.addr, conns: map[net.Conn]net.Conn{}}
		b.nodes = append(b.nodes, n)
		go b.probe(ctx, n)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.assign(conn)
		}
	}()
	return listener.Addr().String(), nil
}

// probe checks a node about once a second.
func (b *balancer) probe(ctx context.Context, n *balancedNode) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.addr+"/ready", nil)
		if err != nil {
			return
		}
		status, _ := exchange(client, request)
		b.probed(n, status == http.StatusOK)
		time.Sleep(time.Second)
	}
}

func (b *balancer) probed(n *balancedNode, passed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n.last = append(n.last, passed)
	n.last = n.last[max(0, len(n.last)-6):]
	twice := len(n.last) >= 2 && n.last[len(n.last)-1] == n.last[len(n.last)-2]
	switch {
	case n.healthy && !passed && (twice || n.failed() >= 3):
		n.healthy, n.lostAt = false, time.Now()
		n.removals = append(n.removals, n.lostAt)
		b.record.printf("balancer: %s is unhealthy", n.label)
	case !n.healthy && passed && (!n.everHealthy || twice && time.Since(n.lostAt) > n.pause()):
		n.healthy, n.everHealthy = true, true
		b.record.printf("balancer: %s is healthy", n.label)
	case !n.healthy && n.everHealthy && time.Since(n.lostAt) > 5*time.Second:
		n.reset()
	}
}

// pause is how long a removed node stays away: 3 s, doubled by each further removal within two minutes, up to 60 s.
func (n *balancedNode) pause() time.Duration {
	pause := 1500 * time.Millisecond
	for _, at := range n.removals {
		if time.Since(at) < 2*time.Minute {
			pause = min(2*pause, time.Minute)
		}
	}
	return pause
}

// assign connects a new connection to a node, trying up to three.
func (b *balancer) assign(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	tried := map[*balancedNode]bool{}
	for range 3 {
		n := b.choose(tried)
		if n == nil {
			return
		}
		tried[n] = true
		other, err := net.DialTimeout("tcp4", n.addr, 500*time.Millisecond)
		b.mu.Lock()
		if err != nil {
			if n.failures++; n.failures >= 3 {
				n.failures, n.skippedUntil = 0, time.Now().Add(3*time.Second)
			}
			b.mu.Unlock()
			continue
		}
		n.failures = 0
		n.conns[conn] = other
		b.mu.Unlock()
		b.record.printf("balancer: user's connection %s to %s", conn.RemoteAddr(), n.label)
		pipe(conn, other, func() {})
		_ = other.Close()
		b.mu.Lock()
		delete(n.conns, conn)
		b.mu.Unlock()
		return
	}
}

// choose returns the healthy node with the fewest open connections, or nil.
func (b *balancer) choose(tried map[*balancedNode]bool) *balancedNode {
	b.mu.Lock()
	defer b.mu.Unlock()
	var healthy []*balancedNode
	for _, n := range b.nodes {
		if n.healthy && !tried[n] && time.Now().After(n.skippedUntil) {
			healthy = append(healthy, n)
		}
	}
	if len(healthy) == 0 {
		return nil
	}
	return slices.MinFunc(healthy, func(x, y *balancedNode) int { return len(x.conns) - len(y.conns) })
}

// failed returns how many of the last six probes failed.
func (n *balancedNode) failed() int {
	failed := 0
	for _, passed := range n.last {
		if !passed {
			failed++
		}
	}
	return failed
}

// reset ends the node's connections.
func (n *balancedNode) reset() {
	for conn, other := range n.conns {
		_ = conn.Close()
		_ = other.Close()
	}
}
