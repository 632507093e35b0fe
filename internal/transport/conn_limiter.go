package transport

import (
	"container/list"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// connLimiter is a listener with a bounded number of connections, so that sockets stay free for
// the state service, the cloud and the workers. When it is full, the connection that has been idle
// for longest is closed in favour of the new one: when a controller ends or its peers can't be
// reached, all workers of a zone or two turn to one listener, and most connections open there then
// wait for nothing. The new connection is closed at once only if no other is idle.
type connLimiter struct {
	net.Listener
	maxConns int

	mu   sync.Mutex
	open int
	// idle holds the connections without a request under way, least recently used first.
	idle         *list.List
	idleElements map[*limitedConn]*list.Element
}

func listen(addr string, maxConns int) (*connLimiter, error) {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	return newConnLimiter(listener, maxConns), nil
}

func newConnLimiter(listener net.Listener, maxConns int) *connLimiter {
	return &connLimiter{
		Listener:     listener,
		maxConns:     max(1, maxConns),
		idle:         list.New(),
		idleElements: map[*limitedConn]*list.Element{},
	}
}

// Accept returns the next connection that there is room for. Its only error is that of a closed
// listener.
func (l *connLimiter) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			// Running out of sockets must not end the server: close an idle connection, and
			// try again after a pause.
			l.closeLongestIdle()
			time.Sleep(acceptRetryDelay)
			continue
		}
		if l.full() && !l.closeLongestIdle() {
			closeConn(conn)
			continue
		}
		l.mu.Lock()
		l.open++
		l.mu.Unlock()
		return &limitedConn{Conn: conn, connLimiter: l}, nil
	}
}

func (l *connLimiter) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open >= l.maxConns
}

// closeLongestIdle closes the connection that has been idle for longest. It returns false if none
// is idle.
func (l *connLimiter) closeLongestIdle() bool {
	l.mu.Lock()
	oldest := l.idle.Front()
	if oldest == nil {
		l.mu.Unlock()
		return false
	}
	conn := l.idle.Remove(oldest).(*limitedConn)
	delete(l.idleElements, conn)
	l.mu.Unlock()
	// Close takes the lock itself.
	closeConn(conn)
	return true
}

// closeConn closes a connection in favour of others. An error is of no use: the socket is free all
// the same, and the server may have closed the connection at the same moment.
func closeConn(conn net.Conn) { _ = conn.Close() }

// trackState is the http.Server's ConnState hook. A connection that is new and has sent nothing
// yet counts as idle, like one between two requests.
func (l *connLimiter) trackState(conn net.Conn, state http.ConnState) {
	limited, ok := conn.(*limitedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgetIdle(limited)
	if (state == http.StateNew || state == http.StateIdle) && !limited.closed {
		l.idleElements[limited] = l.idle.PushBack(limited)
	}
}

// forgetIdle takes a connection from the idle ones. The caller holds the lock.
func (l *connLimiter) forgetIdle(conn *limitedConn) {
	if element := l.idleElements[conn]; element != nil {
		l.idle.Remove(element)
		delete(l.idleElements, conn)
	}
}

// usedAbove says whether more than this percentage of the allowed connections are open. A server
// that does not listen yet has none.
func (l *connLimiter) usedAbove(percent int) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open*100 > l.maxConns*percent
}

// limitedConn is a connection that its connLimiter counts.
type limitedConn struct {
	net.Conn
	connLimiter *connLimiter
	closed      bool // guarded by the connLimiter's lock
}

// Close closes the connection. However often it is called, the connection is counted out once.
func (c *limitedConn) Close() error {
	limiter := c.connLimiter
	limiter.mu.Lock()
	if !c.closed {
		c.closed = true
		limiter.open--
		limiter.forgetIdle(c)
	}
	limiter.mu.Unlock()
	return c.Conn.Close()
}
