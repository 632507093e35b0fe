package scalerun

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"claybarrow/internal/emulator"
)

// heartbeatCarrier takes reports to the controllers, over one connection for each worker that stays
// open, as a worker's does.
type heartbeatCarrier struct {
	loop      *eventLoop
	addresses []string // of the controllers
	metrics   *metrics
	// onAnswer is told, by the loop, of each answer that a worker takes.
	onAnswer    func(machine string, controller int)
	mu          sync.Mutex
	connections map[string]*connection
	readers     sync.Pool
}

// connection is a worker's connection. Only its one report in flight uses it.
type connection struct {
	conn       net.Conn
	controller int
}

// heartbeatTimeout is how long a worker waits for the answer to a report.
const heartbeatTimeout = 4 * time.Second

const maxAnswerBytes = 1 << 20

func newHeartbeatCarrier(l *eventLoop, addresses []string, m *metrics) *heartbeatCarrier {
	return &heartbeatCarrier{loop: l, addresses: addresses, metrics: m, connections: map[string]*connection{},
		readers: sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4096) }}}
}

// send is the fleet's Carrier: it is called by the loop, and answers by it.
func (c *heartbeatCarrier) send(worker *emulator.Worker, controller int, body []byte, answer emulator.Reply) {
	if worker.ReportsLost {
		c.loop.queue.After(heartbeatTimeout, func() { answer(0, nil) })
		return
	}
	id, sent := worker.ID, time.Now()
	go func() {
		status, reply, traffic := c.exchange(id, controller, body)
		c.loop.post(func() {
			c.metrics.report(status, time.Since(sent), traffic)
			if worker.Hung || worker.AnswersLost {
				c.loop.queue.After(heartbeatTimeout, func() { answer(0, nil) })
				return
			}
			if status == http.StatusOK {
				c.onAnswer(id, controller)
			}
			answer(status, reply)
		})
	}()
}

// takeConnection is the worker's link, if it has one to that controller.
func (c *heartbeatCarrier) takeConnection(id string, controller int) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.connections[id]
	if l == nil {
		return nil
	}
	delete(c.connections, id)
	if l.controller != controller {
		l.conn.Close()
		return nil
	}
	return l.conn
}

func (c *heartbeatCarrier) keepConnection(id string, controller int, conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connections[id] = &connection{conn, controller}
}

// closeConnection closes the connection of a worker that is gone.
func (c *heartbeatCarrier) closeConnection(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.connections[id]; l != nil {
		l.conn.Close()
		delete(c.connections, id)
	}
}

// exchange sends one report and reads its answer; status 0: there was none. An old connection
// may have been closed by the other side, so then a new one is tried.
func (c *heartbeatCarrier) exchange(id string, controller int, body []byte) (status int, reply []byte, traffic int64) {
	deadline := time.Now().Add(heartbeatTimeout)
	if conn := c.takeConnection(id, controller); conn != nil {
		status, reply, traffic = c.roundTrip(id, controller, conn, body, deadline)
		if status != 0 || time.Now().After(deadline) {
			return status, reply, traffic
		}
	}
	conn, err := net.DialTimeout("tcp4", c.addresses[controller], time.Until(deadline))
	if err != nil {
		return 0, nil, traffic
	}
	var more int64
	status, reply, more = c.roundTrip(id, controller, conn, body, deadline)
	return status, reply, traffic + more
}

func (c *heartbeatCarrier) roundTrip(id string, controller int, conn net.Conn, body []byte, deadline time.Time) (int, []byte, int64) {
	_ = conn.SetDeadline(deadline) // a connection that takes no deadline fails below
	var request bytes.Buffer
	fmt.Fprintf(&request, "POST /hello HTTP/1.1\r\nHost: %s\r\nContent-Type: application/msgpack\r\nContent-Length: %d\r\n\r\n", c.addresses[controller], len(body))
	request.Write(body)
	if _, err := conn.Write(request.Bytes()); err != nil {
		conn.Close()
		return 0, nil, 0
	}
	traffic := int64(request.Len())
	reader := c.readers.Get().(*bufio.Reader)
	counted := &countingReader{Reader: conn}
	reader.Reset(counted)
	defer c.readers.Put(reader)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		conn.Close()
		return 0, nil, traffic + counted.bytes
	}
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	response.Body.Close()
	traffic += counted.bytes
	if err != nil {
		conn.Close()
		return 0, nil, traffic
	}
	if response.Close || response.StatusCode == http.StatusMisdirectedRequest {
		conn.Close()
	} else {
		c.keepConnection(id, controller, conn)
	}
	return response.StatusCode, reply, traffic
}

// countingReader counts what is read.
type countingReader struct {
	io.Reader
	bytes int64
}

// Read is part of io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.bytes += int64(n)
	return n, err
}
