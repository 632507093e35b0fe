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
	most int

	mu   sync.Mutex
	open int
	// idle are the connections without a request, least lately used first.
	idle *list.List
	at   map[*limitedConn]*list.Element
}

func openDoor(addr string, most int) (*connLimiter, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	return newConnLimiter(l, most), nil
}

func newConnLimiter(l net.Listener, most int) *connLimiter {
	return &connLimiter{Listener: l, most: max(1, most), idle: list.New(), at: map[*limitedConn]*list.Element{}}
}

// Accept takes the next connection that there is room for.
func (d *connLimiter) Accept() (net.Conn, error) {
	for {
		conn, err := d.Listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil, err
			}
			// Out of sockets is no reason to end: let an idle one go, wait a
			// little and go on.
			d.letGo()
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if d.full() && !d.letGo() {
			conn.Close()
			continue
		}
		d.mu.Lock()
		d.open++
		d.mu.Unlock()
		return &limitedConn{Conn: conn, connLimiter: d}, nil
	}
}

func (d *connLimiter) full() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open >= d.most
}

// letGo closes the connection that has been idle for longest.
func (d *connLimiter) letGo() bool {
	d.mu.Lock()
	e := d.idle.Front()
	if e == nil {
		d.mu.Unlock()
		return false
	}
	c := d.idle.Remove(e).(*limitedConn)
	delete(d.at, c)
	d.mu.Unlock()
	c.Close()
	return true
}

// note follows a connection's state. One that is new and has sent nothing yet is
// as idle as one between two requests.
func (d *connLimiter) note(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*limitedConn)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.at[c]; e != nil {
		d.idle.Remove(e)
		delete(d.at, c)
	}
	if (state == http.StateNew || state == http.StateIdle) && !c.closed {
		d.at[c] = d.idle.PushBack(c)
	}
}

// busier says whether more than so many percent of the room is taken.
func (d *connLimiter) busier(percent int) bool {
	if d == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open*100 > d.most*percent
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
		if e := d.at[c]; e != nil {
			d.idle.Remove(e)
			delete(d.at, c)
		}
	}
	d.mu.Unlock()
	return c.Conn.Close()
}
