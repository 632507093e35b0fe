package transport

import (
	"container/list"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// connLimiter is a listener that bounds its number of open connections. The bound reserves sockets for requests to the
// state service, the cloud and the workers. When the limit is reached, the limiter closes the connection that has been
// idle for longest and accepts the new one: after a controller has ended, or while its peers are unreachable, all
// workers of one or two zones connect to a single listener, and most of the connections open there are idle. The
// limiter closes the new connection immediately only if no other connection is idle.
type connLimiter struct {
	net.Listener
	maxConns int

	mu   sync.Mutex
	open int
	// idle holds the connections without a request in flight, least recently used first.
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

// Accept waits for the next connection that fits within the limit and returns it. It returns an error only if the
// listener is closed.
func (l *connLimiter) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			// The process may have run out of sockets, which must not stop the server: an idle connection
			// is closed, and Accept is retried after a delay.
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
		return &limitedConn{Conn: conn, limiter: l}, nil
	}
}

func (l *connLimiter) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open >= l.maxConns
}

// closeLongestIdle closes the connection that has been idle for longest. It returns false if no connection is idle.
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
	// The lock is released first because limitedConn.Close acquires it.
	closeConn(conn)
	return true
}

// closeConn closes a connection to free its socket. The error is ignored: the socket is freed in any case, and the HTTP
// server may have closed the connection concurrently.
func closeConn(conn net.Conn) { _ = conn.Close() }

// trackState is the http.Server's ConnState hook. A new connection that has not sent a request yet counts as idle, like
// a connection between two requests.
func (l *connLimiter) trackState(conn net.Conn, state http.ConnState) {
	limited, ok := conn.(*limitedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeIdle(limited)
	if (state == http.StateNew || state == http.StateIdle) && !limited.closed {
		l.idleElements[limited] = l.idle.PushBack(limited)
	}
}

// removeIdle removes a connection from the list of idle connections. The caller must hold the lock.
func (l *connLimiter) removeIdle(conn *limitedConn) {
	if element := l.idleElements[conn]; element != nil {
		l.idle.Remove(element)
		delete(l.idleElements, conn)
	}
}

// usageExceeds reports whether the open connections exceed the given percentage of the limit. It returns false for a
// nil limiter, which a server has before it listens.
func (l *connLimiter) usageExceeds(percent int) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open*100 > l.maxConns*percent
}

// limitedConn is an accepted connection that counts towards the limit of its connLimiter.
type limitedConn struct {
	net.Conn
	limiter *connLimiter
	closed  bool // guarded by limiter.mu
}

// Close closes the connection and subtracts it from the number of open connections. Repeated calls subtract it only
// once.
func (c *limitedConn) Close() error {
	limiter := c.limiter
	limiter.mu.Lock()
	if !c.closed {
		c.closed = true
		limiter.open--
		limiter.removeIdle(c)
	}
	limiter.mu.Unlock()
	return c.Conn.Close()
}
