// Package transport connects the controller to the network: HTTP servers for users, workers and
// other controllers, HTTP clients for the services, workers and other controllers, and the event
// loop between them. Bodies, connections, queues and times are bounded. The package decides
// nothing about jobs or machines.
package transport

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"claybarrow/internal/config"
	"claybarrow/internal/controller"
)

// Core is the state machine that the server drives.
type Core interface {
	// Handle takes one event and returns what is to be done about it. It is called by one
	// goroutine only.
	Handle(controller.Clock, controller.Event) []controller.Effect
}

// Server runs the core's event loop and the HTTP servers and clients around it.
type Server struct {
	cfg  *config.Config
	core Core
	log  *slog.Logger
	// stateResults takes the state service's answers, which go before all others: after a change
	// of leader thousands of workers answer at once, and the lease's renewal once waited behind
	// them until the new leader had lost it.
	stateResults chan controller.Event
	// results takes the answers of workers, the cloud and other controllers.
	results chan controller.Event
	// requests takes the requests of users, forwarded ones, and the load balancer's checks.
	requests chan pendingRequest
	// heartbeats takes the heartbeats of workers and other controllers, and probes.
	heartbeats chan pendingRequest
	// clientListener is nil until Run listens.
	clientListener *connLimiter
	shedding       loadShedding
	clients        map[controller.Target]*http.Client
	start          time.Time
	// metrics answers GET /metrics at peer_listen; nil: there is no such route.
	metrics http.Handler
	// shutdownCalls counts the last requests under way, once the process is told to end.
	shutdownCalls sync.WaitGroup
}

// New returns a server for a core. It does not listen before Run.
func New(cfg *config.Config, core Core, log *slog.Logger) *Server {
	maxSockets := cfg.Cluster.Resources.FDs
	return &Server{
		cfg:          cfg,
		core:         core,
		log:          log,
		stateResults: make(chan controller.Event, stateResultQueue),
		results:      make(chan controller.Event, maxSockets),
		// What waits here is answered within a second or so even by a slow share of a core;
		// more than that is refused at once.
		requests: make(chan pendingRequest, max(minRequestQueue, maxSockets/4)),
		// Each worker waits for one answer at a time, so this is bounded by the connections
		// there can be.
		heartbeats: make(chan pendingRequest, max(minRequestQueue, maxSockets/2)),
		clients:    newClients(cfg),
		start:      time.Now(),
	}
}

// Start is the zero of the core's steady clock.
func (s *Server) Start() time.Time { return s.start }

// ServeMetrics makes the listener for peers answer GET /metrics. It must be called before Run.
func (s *Server) ServeMetrics(handler http.Handler) { s.metrics = handler }

// Run serves until the context ends, and then sends the core's last requests. It returns an error
// if it cannot listen, or if a listener fails while it serves.
func (s *Server) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	maxSockets := s.cfg.Cluster.Resources.FDs
	clients, err := listen(s.cfg.ClientListen, maxSockets*clientConnPercent/100)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	s.clientListener = clients
	peers, err := listen(s.cfg.PeerListen, maxSockets*peerConnPercent/100)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	failed := make(chan error, 2) // one for each listener, so that none waits for a reader
	defer s.serveAt(clients, s.clientRoutes(), failed)()
	defer s.serveAt(peers, s.peerRoutes(), failed)()
	calls, stopCalls := context.WithCancel(context.WithoutCancel(ctx))
	defer stopCalls()
	loopEnded := make(chan struct{})
	go s.loop(ctx, calls, loopEnded)
	select {
	case <-ctx.Done():
		s.awaitGracefulShutdown(loopEnded)
		return nil
	case err := <-failed:
		return err
	}
}

// serveAt starts an HTTP server and returns what closes it with its connections.
func (s *Server) serveAt(listener *connLimiter, handler http.Handler, failed chan<- error) (closeServer func()) {
	lease := s.cfg.WorkerLease()
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: lease,
		ReadTimeout:       lease,
		WriteTimeout:      lease,
		IdleTimeout:       4 * lease,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         listener.trackState,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	go func() { failed <- server.Serve(listener) }()
	return func() {
		if err := server.Close(); err != nil {
			s.log.Debug("closing a listener failed", "addr", listener.Addr(), "err", err)
		}
	}
}
