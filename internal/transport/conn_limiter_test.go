package transport

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// pipeListener accepts one end of a pipe for each connection, and keeps the other.
type pipeListener struct{ remote []net.Conn }

func (p *pipeListener) Accept() (net.Conn, error) {
	local, remote := net.Pipe()
	p.remote = append(p.remote, remote)
	return local, nil
}
func (p *pipeListener) Close() error   { return nil }
func (p *pipeListener) Addr() net.Addr { return nil }

// When the limiter is full, the connection that has been idle for longest is closed; one with a
// request under way never is.
func TestFullLimiterClosesTheLongestIdle(t *testing.T) {
	listener := &pipeListener{}
	limiter := newConnLimiter(listener, 3)
	accept := func() net.Conn {
		t.Helper()
		conn, err := limiter.Accept()
		if err != nil {
			t.Fatal(err)
		}
		limiter.trackState(conn, http.StateNew)
		return conn
	}
	active, idleLast, idleFirst := accept(), accept(), accept()
	for _, conn := range []net.Conn{active, idleLast, idleFirst} {
		limiter.trackState(conn, http.StateActive)
	}
	limiter.trackState(idleFirst, http.StateIdle)
	limiter.trackState(idleLast, http.StateIdle)
	accept()
	for i, open := range []bool{true, true, false, true} {
		// A pipe that one end has closed takes no deadline.
		if err := listener.remote[i].SetWriteDeadline(time.Time{}); errors.Is(err, io.ErrClosedPipe) == open {
			t.Errorf("connection %d: open %v, but %v", i, open, err)
		}
	}
	if limiter.open != 3 {
		t.Errorf("%d counted as open", limiter.open)
	}
	// Closed twice, counted once.
	for range 2 {
		if err := active.Close(); err != nil {
			t.Error(err)
		}
	}
	if limiter.open != 2 {
		t.Errorf("%d counted as open after one more has gone", limiter.open)
	}
}
