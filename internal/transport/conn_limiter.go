package transport

import (
	"container/list"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// connLimiter is a listener with a bounded number of connections, so that room stays
// for the state service, the cloud and the workers. When it is full, the
// connection that has been idle for longest gives way to the new one: when a
// controller ends or its peers can't be reached, all workers of a zone or two
// turn to one listener, and most of what is open there then waits for nothing. Only
// if none is idle is the new one closed at once.
type connLimiter struct {
	net.Listener
	maxConns int

	mu   sync.Mutex
	open int
	// idle are the connections without a request, least lately used first.
	idle         *list.List
	idleElements map[*limitedConn]*list.Element
}

func listen(addr string, most int) (*connLimiter, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	return newConnLimiter(l, most), nil
}

func newConnLimiter(l net.Listener, most int) *connLimiter {
	return &connLimiter{Listener: l, maxConns: max(1, most), idle: list.New(), idleElements: map[*limitedConn]*list.Element{}}
}

// Accept takes the next connection that there is room for.
func (l *connLimiter) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil, err
			}
			// Out of sockets is no reason to end: let an idle one go, wait a
			// little and go on.
			l.closeLongestIdle()
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if l.full() && !l.closeLongestIdle() {
			conn.Close()
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

// closeLongestIdle closes the connection that has been idle for longest.
func (l *connLimiter) closeLongestIdle() bool {
	l.mu.Lock()
	e := l.idle.Front()
	if e == nil {
		l.mu.Unlock()
		return false
	}
	c := l.idle.Remove(e).(*limitedConn)
	delete(l.idleElements, c)
	l.mu.Unlock()
	c.Close()
	return true
}

// trackState follows a connection's state. One that is new and has sent nothing yet is
// as idle as one between two requests.
func (l *connLimiter) trackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*limitedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.idleElements[c]; e != nil {
		l.idle.Remove(e)
		delete(l.idleElements, c)
	}
	if (state == http.StateNew || state == http.StateIdle) && !c.closed {
		l.idleElements[c] = l.idle.PushBack(c)
	}
}

// usedAbove says whether more than so many percent of the room is taken.
func (l *connLimiter) usedAbove(percent int) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open*100 > l.maxConns*percent
}

type limitedConn struct {
	net.Conn
	connLimiter *connLimiter
	closed      bool // guarded by the connLimiter's lock
}

// Close closes the connection and counts it out once.
func (c *limitedConn) Close() error {
	d := c.connLimiter
	d.mu.Lock()
	if !c.closed {
		c.closed = true
		d.open--
		if e := d.idleElements[c]; e != nil {
			d.idle.Remove(e)
			delete(d.idleElements, c)
		}
	}
	d.mu.Unlock()
	return c.Conn.Close()
}
