package scalerun

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// linkState is the state of a link. The zero value passes all data.
type linkState struct {
	// cut resets the connections of the link and refuses new ones.
	cut bool
	// holdRequests and holdReplies hold data in one direction; it is delivered in order once the link is healed.
	holdRequests, holdReplies bool
	// delay is added to each chunk of data in both directions.
	delay time.Duration
}

// link is a TCP proxy between a controller and another component. Its state can be changed at any time, from any
// goroutine.
type link struct {
	address, target string
	// source is the local IP address of the connections to the target, by which an emulated server tells the
	// controllers apart; nil: any.
	source net.IP

	mu      sync.Mutex
	state   linkState
	changed chan struct{} // closed at the next change of the state
	conns   map[net.Conn]struct{}
}

// linkDialTimeout bounds how long a link waits for a connection to its target.
const linkDialTimeout = time.Second

// linkBufferSize is how much data a link reads from a connection at once, and how much it holds.
const linkBufferSize = 64 << 10

// maxLinkConns bounds the open connections of a link.
const maxLinkConns = 4096

func newLink(address, target string, source net.IP) *link {
	return &link{address: address, target: target, source: source, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
}

// set changes the state of the link. A cut resets all its connections.
func (l *link) set(state linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	close(l.changed)
	l.changed = make(chan struct{})
	if state.cut {
		for conn := range l.conns {
			resetConn(conn)
		}
	}
}

// resetConn closes a connection with a reset instead of an orderly end.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // on an error the connection ends in order
	}
	closeQuietly(conn)
}

// current returns the state of the link and a channel that is closed at its next change.
func (l *link) current() (linkState, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.changed
}

// run accepts connections until the context ends. listeners counts the link until its listener is closed.
func (l *link) run(ctx context.Context, listeners *sync.WaitGroup) error {
	listener, err := net.Listen("tcp4", l.address)
	if err != nil {
		return err
	}
	listeners.Add(1)
	context.AfterFunc(ctx, func() {
		closeQuietly(listener)
		l.set(linkState{cut: true})
		listeners.Done()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				time.Sleep(linkAcceptPause)
				continue
			}
			go l.serve(ctx, conn)
		}
	}()
	return nil
}

// linkAcceptPause is the pause after a failed accept.
const linkAcceptPause = 10 * time.Millisecond

// track adds a connection unless the link is cut or has too many.
func (l *link) track(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.cut || len(l.conns) >= maxLinkConns {
		return false
	}
	l.conns[conn] = struct{}{}
	return true
}

func (l *link) untrack(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
	closeQuietly(conn)
}

// serve proxies one connection. A connection that is opened while requests are held is reset: an attempt that was given
// up does not complete later.
func (l *link) serve(ctx context.Context, client net.Conn) {
	if !l.track(client) {
		resetConn(client)
		return
	}
	defer l.untrack(client)
	if !l.awaitOpen(ctx) {
		resetConn(client)
		return
	}
	dialer := net.Dialer{Timeout: linkDialTimeout}
	if l.source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: l.source}
	}
	server, err := dialer.DialContext(ctx, "tcp4", l.target)
	if err != nil {
		resetConn(client)
		return
	}
	if !l.track(server) {
		resetConn(server)
		return
	}
	defer l.untrack(server)
	finished := make(chan struct{}, 2)
	go func() {
		l.pump(ctx, client, server, func(s linkState) bool { return s.holdRequests })
		finished <- struct{}{}
	}()
	go func() {
		l.pump(ctx, server, client, func(s linkState) bool { return s.holdReplies })
		finished <- struct{}{}
	}()
	<-finished
	<-finished
}

// awaitOpen waits until requests are not held, at most for linkDialTimeout, and reports whether they are not.
func (l *link) awaitOpen(ctx context.Context) bool {
	timeout := time.NewTimer(linkDialTimeout)
	defer timeout.Stop()
	for {
		state, changed := l.current()
		if !state.holdRequests {
			return !state.cut
		}
		select {
		case <-changed:
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// pump copies data from one connection to another, and holds or delays it as the state of the link says. The end of the
// data is passed on too.
func (l *link) pump(ctx context.Context, from, to net.Conn, isHeld func(linkState) bool) {
	buffer := make([]byte, linkBufferSize)
	for {
		n, err := from.Read(buffer)
		if !l.awaitDelivery(ctx, isHeld) {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				closeQuietly(from)
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // fails if the connection has ended
			}
			return
		}
	}
}

// awaitDelivery waits until data may be delivered in a direction. It returns false when the context ends.
func (l *link) awaitDelivery(ctx context.Context, isHeld func(linkState) bool) bool {
	for {
		state, changed := l.current()
		if !isHeld(state) {
			if state.delay > 0 {
				time.Sleep(state.delay)
			}
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
