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

// heartbeatSender sends the workers' heartbeats to the controllers. Like a real worker, each emulated worker has one
// connection, which stays open between heartbeats.
type heartbeatSender struct {
	loop      *eventLoop
	addresses []string // of the controllers
	metrics   *metrics
	// onResponse is called on the event loop for each response with status 200 that reaches its worker.
	onResponse  func(machine string, controller int)
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
	// maxResponseBytes is how much of a response body is read at most.
	maxResponseBytes = 1 << 20
	readerBufferSize = 4096
)

func newHeartbeatSender(l *eventLoop, addresses []string, m *metrics) *heartbeatSender {
	return &heartbeatSender{loop: l, addresses: addresses, metrics: m, connections: map[string]*connection{},
		readers: sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readerBufferSize) }}}
}

// send implements emulator.Fleet.SendHeartbeat. It must be called on the event loop, and it calls answer on the event
// loop.
func (c *heartbeatSender) send(worker *emulator.Worker, controller int, body []byte, answer emulator.Reply) {
	if worker.HeartbeatsLost {
		c.loop.queue.After(heartbeatTimeout, func() { answer(0, nil) })
		return
	}
	id, sent := worker.ID, time.Now()
	go func() {
		status, reply, traffic := c.exchange(id, controller, body)
		c.loop.post(func() {
			c.metrics.heartbeatCompleted(status, time.Since(sent), traffic)
			if worker.Hung || worker.RepliesLost {
				c.loop.queue.After(heartbeatTimeout, func() { answer(0, nil) })
				return
			}
			if status == http.StatusOK {
				c.onResponse(id, controller)
			}
			answer(status, reply)
		})
	}()
}

// takeConnection removes the worker's open connection and returns it if it leads to the given controller. It closes a
// connection to another controller and returns nil.
func (c *heartbeatSender) takeConnection(id string, controller int) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := c.connections[id]
	if open == nil {
		return nil
	}
	delete(c.connections, id)
	if open.controller != controller {
		closeQuietly(open.conn)
		return nil
	}
	return open.conn
}

// storeConnection stores an open connection for the worker's next heartbeat.
func (c *heartbeatSender) storeConnection(id string, controller int, conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connections[id] = &connection{conn, controller}
}

// closeConnection closes the open connection of a worker whose machine has ended, if there is one.
func (c *heartbeatSender) closeConnection(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if open := c.connections[id]; open != nil {
		closeQuietly(open.conn)
		delete(c.connections, id)
	}
}

// exchange sends one heartbeat and reads the response. Status 0 means that no response arrived in time. The controller
// may have closed the worker's open connection since the last heartbeat; therefore a failure on that connection is
// retried on a new one. traffic counts the bytes in both directions.
func (c *heartbeatSender) exchange(id string, controller int, body []byte) (status int, reply []byte, traffic int64) {
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
	var retryTraffic int64
	status, reply, retryTraffic = c.roundTrip(id, controller, conn, body, deadline)
	return status, reply, traffic + retryTraffic
}

// roundTrip sends one heartbeat over a connection, and stores the connection for the next heartbeat if it is reusable.
func (c *heartbeatSender) roundTrip(id string, controller int, conn net.Conn, body []byte, deadline time.Time) (int, []byte, int64) {
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
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	closeQuietly(response.Body)
	traffic += counted.bytes
	if err != nil {
		closeQuietly(conn)
		return 0, nil, traffic
	}
	if response.Close || response.StatusCode == http.StatusMisdirectedRequest {
		closeQuietly(conn)
	} else {
		c.storeConnection(id, controller, conn)
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
