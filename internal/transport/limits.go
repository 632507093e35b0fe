package transport

import "time"

// Shares of the process's limit on sockets (cluster.resources.fd_limit), in percent. With the
// direct requests to workers that are under way, an eighth (see package controller), they leave a
// twentieth for the state service, the cloud and the process itself.
const (
	clientConnPercent     = 50 // from users and workers, at client_listen
	peerConnPercent       = 12 // from other controllers
	peerCallPercent       = 8  // to other controllers
	workerIdleConnPercent = 12 // kept open to workers between two requests
)

// Percentages of the connections allowed at client_listen above which a connection is closed after
// its answer. Users' connections are closed first: they open a new one at their next request, while
// a worker that cannot connect loses its lease.
const (
	closeUsersAbovePercent   = 70
	closeWorkersAbovePercent = 85
	neverClosePercent        = 100 // the number of connections never exceeds its limit
)

// Connections to one address, both in use and idle.
const (
	stateConns     = 8
	cloudConns     = 4
	connsPerWorker = 2
	minPeerConns   = 4 // for each peer, however few sockets the process may have
)

// Capacities of the queues before the event loop.
const (
	// stateResultQueue bounds the state service's answers that wait: it has a few requests under
	// way at a time.
	stateResultQueue = 64
	// minRequestQueue applies where the limit on sockets is small.
	minRequestQueue = 16
)

// Bounds of time.
const (
	// replyTimeout bounds how long a request may wait for the event loop: users give up after
	// 5 s, and the controller itself answers long before.
	replyTimeout = 4500 * time.Millisecond
	// maxDialTimeout bounds the making of a connection however long the workers' lease is.
	maxDialTimeout = 2 * time.Second
	// acceptRetryDelay is the pause after a failed accept, so that a process without free
	// sockets does not spin.
	acceptRetryDelay = 10 * time.Millisecond
)

// Bounds of sizes, in bytes.
const (
	// maxResponseBytes bounds what is read of a response. The state service's answers have no
	// size limit of their own (watches), and its pages hold 512 KiB.
	maxResponseBytes = 4 << 20
	// maxHeaderBytes bounds the header of an incoming request.
	maxHeaderBytes = 8 << 10
	// forwardingOverheadBytes is what a forwarded request may be larger than a user's: it is
	// wrapped in a message between controllers.
	forwardingOverheadBytes = 1 << 10
)
