package transport

import "time"

// Shares of the process's socket limit (cluster.resources.fd_limit), in percent. Direct requests to workers that are in
// flight use a further eighth (see package controller). The remaining twentieth is for the state service, the cloud and
// the process itself.
const (
	inboundClientConnPercent = 50 // accepted from users and workers at client_listen
	inboundPeerConnPercent   = 12 // accepted from other controllers at peer_listen
	outboundPeerConnPercent  = 8  // opened to other controllers
	workerIdleConnPercent    = 12 // idle connections kept open to workers
)

// Percentages of the connection limit of client_listen. While more connections are open, the server closes a connection
// after its response. Users' connections are closed first: a user opens a new connection for the next request, but a
// worker that cannot connect loses its lease.
const (
	closeUsersAbovePercent   = 70
	closeWorkersAbovePercent = 85
	neverClosePercent        = 100 // is never exceeded, because the listener enforces its limit
)

// Limits on the connections to one address, active and idle together.
const (
	stateServiceConns = 8
	cloudConns        = 4
	connsPerWorker    = 2
	minConnsPerPeer   = 4 // for each peer, also where the socket limit is small
)

// minRequestQueueSize is the lower bound of the queue capacities that are derived from the socket limit.
const minRequestQueueSize = 16

// Timeouts and delays.
const (
	// replyTimeout bounds how long a request may wait for its reply. Users give up after 5 s. The controller itself
	// normally replies much earlier.
	replyTimeout = 4500 * time.Millisecond
	// maxDialTimeout is the upper bound of the dial timeout, which is otherwise a fifth of the workers' lease.
	maxDialTimeout = 2 * time.Second
	// acceptRetryDelay is the delay after a failed accept. Without it, a process that has run out of sockets would
	// retry in a busy loop.
	acceptRetryDelay = 10 * time.Millisecond
)

// Size limits, in bytes.
const (
	// maxResponseBytes bounds how much of a response body is read. The state service does not limit the size of its
	// watch responses; its pages hold 512 KiB.
	maxResponseBytes = 4 << 20
	// maxHeaderBytes bounds the headers of an incoming request.
	maxHeaderBytes = 8 << 10
	// forwardingOverheadBytes is added to the body limit of a forwarded request, which is wrapped in a message between
	// controllers.
	forwardingOverheadBytes = 1 << 10
)
