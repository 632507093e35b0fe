package transport

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// pipeListener creates a pipe for each connection. Accept returns the local end; remote holds the other ends.
type pipeListener struct{ remote []net.Conn }

func (p *pipeListener) Accept() (net.Conn, error) {
	local, remote := net.Pipe()
	p.remote = append(p.remote, remote)
	return local, nil
}
func (p *pipeListener) Close() error   { return nil }
func (p *pipeListener) Addr() net.Addr { return nil }

// A full limiter closes the connection that has been idle for longest. It does not close a connection with a request in
// flight.
func TestFullLimiterClosesLongestIdleConnection(t *testing.T) {
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
		// Setting a deadline fails once the other end of the pipe is closed.
		if err := listener.remote[i].SetWriteDeadline(time.Time{}); errors.Is(err, io.ErrClosedPipe) == open {
			t.Errorf("connection %d: want open %v, but SetWriteDeadline returned %v", i, open, err)
		}
	}
	if limiter.open != 3 {
		t.Errorf("limiter counts %d open connections, want 3", limiter.open)
	}
	// Closing a connection twice subtracts it only once from the number of open connections.
	for range 2 {
		if err := active.Close(); err != nil {
			t.Error(err)
		}
	}
	if limiter.open != 2 {
		t.Errorf("limiter counts %d open connections after another one was closed, want 2", limiter.open)
	}
}
