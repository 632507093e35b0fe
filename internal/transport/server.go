// Package transport connects the controller to the network. It contains the HTTP servers for users, workers and other
// controllers, the HTTP clients for the state service, the cloud, workers and other controllers, and the event loop
// between them. Body sizes, connections, queues and durations are bounded. The package makes no decisions about jobs or
// machines.
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
	// Handle processes one event and returns the resulting effects. Only one goroutine calls it.
	Handle(controller.Clock, controller.Event) []controller.Effect
}

// Server runs the core's event loop and the HTTP servers and clients around it.
type Server struct {
	cfg  *config.Config
	core Core
	log  *slog.Logger
	// queue holds all events that wait for the event loop.
	queue *admissionQueue
	// clientListener is nil until Run opens it.
	clientListener *connLimiter
	shedding       loadShedding
	longest        longestEvent
	report         admissionReport
	observer       Observer
	clients        map[controller.Target]*http.Client
	peers          *peerConnections
	startTime      time.Time
	// metrics handles GET /metrics at peer_listen. If it is nil, the route does not exist.
	metrics http.Handler
	// shutdownCalls counts the in-flight requests that sendShutdownCalls has started.
	shutdownCalls sync.WaitGroup
}

// New returns a server for a core. The server listens only once Run is called.
func New(cfg *config.Config, core Core, log *slog.Logger) *Server {
	s := &Server{
		cfg:       cfg,
		core:      core,
		log:       log,
		clients:   newClients(cfg),
		peers:     newPeerConnections(cfg),
		observer:  noObserver{},
		startTime: time.Now(),
	}
	s.queue = newAdmissionQueue(cfg.Cluster.Resources.FDs, shortestQueueWait(cfg), s.onAdmissionViolation)
	return s
}

// StartTime returns the time at which the controller's monotonic clock is zero.
func (s *Server) StartTime() time.Time { return s.startTime }

// Observe sets the observer of the admission. It must be called before Run.
func (s *Server) Observe(observer Observer) { s.observer = observer }

// SetMetricsHandler sets the handler of GET /metrics at peer_listen. It must be called before Run.
func (s *Server) SetMetricsHandler(handler http.Handler) { s.metrics = handler }

// Run serves until ctx is cancelled, and then sends the core's last requests. It returns an error if it cannot listen,
// or if a listener fails while the server runs.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	maxSockets := s.cfg.Cluster.Resources.FDs
	clientListener, err := listen(s.cfg.ClientListen, maxSockets*inboundClientConnPercent/100)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	s.clientListener = clientListener
	peerListener, err := listen(s.cfg.PeerListen, maxSockets*inboundPeerConnPercent/100)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	serveErrors := make(chan error, 2) // one slot for each listener, so neither blocks on sending its error
	defer s.startHTTPServer(clientListener, s.clientRoutes(), serveErrors)()
	defer s.startHTTPServer(peerListener, s.peerRoutes(), serveErrors)()
	callCtx, cancelCalls := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelCalls()
	loopEnded := make(chan struct{})
	go s.runEventLoop(ctx, callCtx, loopEnded)
	select {
	case <-ctx.Done():
		s.awaitGracefulShutdown(loopEnded)
		return nil
	case err := <-serveErrors:
		return err
	}
}

// startHTTPServer starts an HTTP server and returns a function that closes the server and its connections.
func (s *Server) startHTTPServer(listener *connLimiter, handler http.Handler, serveErrors chan<- error) (closeServer func()) {
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
	go func() { serveErrors <- server.Serve(listener) }()
	return func() {
		if err := server.Close(); err != nil {
			s.log.Debug("failed to close HTTP server", "addr", listener.Addr(), "err", err)
		}
	}
}
