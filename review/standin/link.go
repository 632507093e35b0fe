package main

import (
	"context"
	"net"
	"sync"
	"time"
)

// link is the network between the load balancer and a controller. While it is interrupted it holds all data back; they are
// delivered in order once the interruption ends.
type link struct {
	target string

	mu   sync.Mutex
	open chan struct{} // closed while the link is not interrupted
}

// startLink starts a link to a controller and returns its address.
func startLink(ctx context.Context, target string) (*link, string, error) {
	l := &link{target: target, open: make(chan struct{})}
	close(l.open)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return l, listener.Addr().String(), nil
}

// interrupt holds the data back for a while.
func (l *link) interrupt(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = make(chan struct{})
	opened := l.open
	time.AfterFunc(d, func() { close(opened) })
}

func (l *link) await() {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	<-open
}

func (l *link) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	l.await()
	other, err := net.Dial("tcp4", l.target)
	if err != nil {
		return
	}
	defer func() { _ = other.Close() }()
	pipe(conn, other, l.await)
}

// pipe copies data in both directions until both have ended. Before a piece of data, or the end, is passed on, it calls
// await.
func pipe(a, b net.Conn, await func()) {
	var group sync.WaitGroup
	for _, direction := range [][2]net.Conn{{a, b}, {b, a}} {
		group.Add(1)
		go func() {
			defer group.Done()
			from, to := direction[0], direction[1]
			buffer := make([]byte, 64<<10)
			for {
				n, err := from.Read(buffer)
				await()
				if n > 0 {
					_, _ = to.Write(buffer[:n]) // fails if the other side has closed; its last data still pass
				}
				if err != nil {
					if tcp, ok := to.(*net.TCPConn); ok {
						_ = tcp.CloseWrite()
					}
					return
				}
			}
		}()
	}
	group.Wait()
}
