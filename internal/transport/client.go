package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"claybarrow/internal/config"
	"claybarrow/internal/controller"
)

// Content types of bodies.
const (
	contentTypeMessagePack = "application/msgpack"
	contentTypeCBOR        = "application/cbor" // between controllers
)

// errExpired is the error of a request that must not be sent any more.
var errExpired = errors.New("the process was paused after the request was decided")

// newClients returns an HTTP client for each kind of target, with its share of the sockets.
func newClients(cfg *config.Config) map[controller.Target]*http.Client {
	maxSockets := cfg.Cluster.Resources.FDs
	peerConns := maxSockets * peerCallPercent / 100
	connsPerPeer := max(minPeerConns, peerConns/max(1, len(cfg.Siblings)))
	return map[controller.Target]*http.Client{
		controller.ToState:  newClient(cfg, stateConns, stateConns),
		controller.ToCloud:  newClient(cfg, cloudConns, cloudConns),
		controller.ToWorker: newClient(cfg, connsPerWorker, maxSockets*workerIdleConnPercent/100),
		controller.ToPeer:   newClient(cfg, connsPerPeer, peerConns),
	}
}

// newClient returns a client that opens at most connsPerHost connections to one address and keeps
// at most maxIdle idle ones to all. It does not follow redirects: the core reads them itself.
func newClient(cfg *config.Config, connsPerHost, maxIdle int) *http.Client {
	dialer := &net.Dialer{Timeout: min(cfg.WorkerLease()/5, maxDialTimeout)}
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     connsPerHost,
			MaxIdleConnsPerHost: connsPerHost,
			MaxIdleConns:        maxIdle,
			IdleConnTimeout:     2 * cfg.WorkerLease(),
			DisableCompression:  true,
		},
	}
}

// call sends a request and passes its outcome to the event loop: status 0 if there is no response.
func (s *Server) call(ctx context.Context, call controller.Call) {
	connected := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true }})
	status, body, err := s.send(traced, call)
	if err != nil {
		s.logFailedCall(call, err)
	}
	results := s.results
	if call.Target == controller.ToState {
		results = s.stateResults
	}
	select {
	case results <- controller.Result{ID: call.ID, Status: status, Body: body, ConnectionFailed: !connected}:
	case <-ctx.Done():
	}
}

func (s *Server) logFailedCall(call controller.Call, err error) {
	s.log.Debug("request failed", "addr", call.Addr, "path", call.Path, "err", err)
}

// send sends a request and returns its response's status and body. The error is errExpired if the
// request is no longer valid, and otherwise what kept the response from coming or from being read.
func (s *Server) send(ctx context.Context, call controller.Call) (status int, body []byte, err error) {
	if call.ValidUntil > 0 && s.now().Steady > call.ValidUntil {
		return 0, nil, errExpired
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Addr+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return 0, nil, fmt.Errorf("request: %w", err)
	}
	if len(call.Body) > 0 {
		request.Header.Set("Content-Type", contentType(call.Target))
	}
	response, err := s.clients[call.Target].Do(request)
	if err != nil {
		return 0, nil, err
	}
	// Closing a body that was read returns the connection; an error of it tells nothing more.
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("response: %w", err)
	}
	return response.StatusCode, body, nil
}

func contentType(target controller.Target) string {
	if target == controller.ToPeer {
		return contentTypeCBOR
	}
	return contentTypeMessagePack
}
