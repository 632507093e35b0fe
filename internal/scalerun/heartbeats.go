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

// heartbeatCarrier sends the workers' heartbeats to the controllers. Like a real worker, each emulated worker has one
// connection, which stays open between heartbeats.
type heartbeatCarrier struct {
	loop      *eventLoop
	addresses []string // of the controllers
	metrics   *metrics
	// onAnswer is called on the event loop for each response with status 200 that reaches its worker.
	onAnswer    func(machine string, controller int)
	mu          sync.Mutex
	connections map[string]*connection
	readers     sync.Pool
}

// connection is a worker's open connection to a controller. It needs no lock, because a worker has at most one
// heartbeat in flight.
type connection struct {
	conn       net.Conn
	controller int
}

const (
	// heartbeatTimeout is how long a worker waits for the response to a heartbeat.
	heartbeatTimeout = 4 * time.Second
	// maxAnswerBytes is how much of a response body is read at most.
	maxAnswerBytes   = 1 << 20
	readerBufferSize = 4096
)

func newHeartbeatCarrier(l *eventLoop, addresses []string, m *metrics) *heartbeatCarrier {
	return &heartbeatCarrier{loop: l, addresses: addresses, metrics: m, connections: map[string]*connection{},
		readers: sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readerBufferSize) }}}
}

// send implements emulator.Fleet.SendHeartbeat. It must be called on the event loop, and it calls answer on the event
// loop.
func (c *heartbeatCarrier) send(worker *emulator.Worker, controller int, body []byte, answer emulator.Reply) {
	if worker.HeartbeatsLost {
		c.loop.queue.After(heartbeatTimeout, func() { answer(0, nil) })
		return
	}
	id, sent := worker.ID, time.Now()
	go func() {
		status, reply, traffic := c.exchange(id, controller, body)
		c.loop.post(func() {
			c.metrics.heartbeat(status, time.Since(sent), traffic)
			if worker.Hung || worker.RepliesLost {
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

// takeConnection removes the worker's open connection and returns it if it leads to the given controller. It closes a
// connection to another controller and returns nil.
func (c *heartbeatCarrier) takeConnection(id string, controller int) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.connections[id]
	if l == nil {
		return nil
	}
	delete(c.connections, id)
	if l.controller != controller {
		closeQuietly(l.conn)
		return nil
	}
	return l.conn
}

// keepConnection stores an open connection for the worker's next heartbeat.
func (c *heartbeatCarrier) keepConnection(id string, controller int, conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connections[id] = &connection{conn, controller}
}

// closeConnection closes the open connection of a worker whose machine has ended, if there is one.
func (c *heartbeatCarrier) closeConnection(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.connections[id]; l != nil {
		closeQuietly(l.conn)
		delete(c.connections, id)
	}
}

// exchange sends one heartbeat and reads the response. Status 0 means that no response arrived in time. The controller
// may have closed the worker's open connection since the last heartbeat; therefore a failure on that connection is
// retried on a new one. traffic counts the bytes in both directions.
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

// roundTrip sends one heartbeat over a connection, and stores the connection for the next heartbeat if it is reusable.
func (c *heartbeatCarrier) roundTrip(id string, controller int, conn net.Conn, body []byte, deadline time.Time) (int, []byte, int64) {
	_ = conn.SetDeadline(deadline) // on an error, the write below fails too
	var request bytes.Buffer
	fmt.Fprintf(&request, "POST /hello HTTP/1.1\r\nHost: %s\r\nContent-Type: application/msgpack\r\nContent-Length: %d\r\n\r\n", c.addresses[controller], len(body))
	request.Write(body)
	if _, err := conn.Write(request.Bytes()); err != nil {
		closeQuietly(conn)
		return 0, nil, 0
	}
	traffic := int64(request.Len())
	reader := c.readers.Get().(*bufio.Reader)
	counted := &countingReader{Reader: conn}
	reader.Reset(counted)
	defer c.readers.Put(reader)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		closeQuietly(conn)
		return 0, nil, traffic + counted.bytes
	}
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	closeQuietly(response.Body)
	traffic += counted.bytes
	if err != nil {
		closeQuietly(conn)
		return 0, nil, traffic
	}
	if response.Close || response.StatusCode == http.StatusMisdirectedRequest {
		closeQuietly(conn)
	} else {
		c.keepConnection(id, controller, conn)
	}
	return response.StatusCode, reply, traffic
}

// countingReader counts the bytes read through it.
type countingReader struct {
	io.Reader
	bytes int64
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.bytes += int64(n)
	return n, err
}
