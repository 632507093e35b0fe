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

// Content types of request and response bodies.
const (
	contentTypeMessagePack = "application/msgpack"
	contentTypeCBOR        = "application/cbor" // for messages between controllers
)

// errExpired is returned for a request whose validity (Call.ValidUntil) has ended. Such a request must not be sent,
// because the decision that it carries may be out of date.
var errExpired = errors.New("request not sent: its validity ended while the process was paused")

// newClients returns an HTTP client for each kind of target but other controllers, which peerConnections serves. The limits of
// the connection pools divide the process's sockets between the targets.
func newClients(cfg *config.Config) map[controller.Target]*http.Client {
	maxSockets := cfg.Cluster.Resources.FDs
	return map[controller.Target]*http.Client{
		controller.ToState:  newClient(cfg, stateServiceConns, stateServiceConns),
		controller.ToCloud:  newClient(cfg, cloudConns, cloudConns),
		controller.ToWorker: newClient(cfg, connsPerWorker, maxSockets*workerIdleConnPercent/100),
	}
}

// newClient returns a client that opens at most connsPerHost connections to one address and keeps at most maxIdleConns
// idle connections in total. It does not follow redirects, because the core handles redirect responses itself.
func newClient(cfg *config.Config, connsPerHost, maxIdleConns int) *http.Client {
	dialer := &net.Dialer{Timeout: min(cfg.WorkerLease()/5, maxDialTimeout)}
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     connsPerHost,
			MaxIdleConnsPerHost: connsPerHost,
			MaxIdleConns:        maxIdleConns,
			IdleConnTimeout:     2 * cfg.WorkerLease(),
			DisableCompression:  true,
		},
	}
}

// executeCall sends a request and passes its outcome to the event loop. The status is 0 if no response was received.
func (s *Server) executeCall(ctx context.Context, call controller.Call) {
	connected := false
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true }})
	status, body, err := s.send(tracedCtx, call)
	if err != nil {
		s.logFailedCall(call, err)
	}
	if ctx.Err() != nil {
		return // the event loop has ended
	}
	// A controller without a free connection to another one does not know whether that one would refuse it.
	failed := !connected && !errors.Is(err, errNoConnection)
	result := controller.Result{ID: call.ID, Status: status, Body: body, ConnectionFailed: failed}
	s.queue.add(&queuedEvent{class: resultClass(call.Target), event: result, arrivedAt: s.now().Monotonic})
}

func (s *Server) logFailedCall(call controller.Call, err error) {
	s.log.Debug("request failed", "addr", call.Addr, "path", call.Path, "err", err)
}

// send sends a request and returns the status and body of its response. It returns errExpired if the request is no
// longer valid, and otherwise the error that prevented sending the request or reading the response.
func (s *Server) send(ctx context.Context, call controller.Call) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	client := s.clients[call.Target]
	if call.Target == controller.ToPeer {
		kind := kindOfPeerMessage(call.Path)
		release, err := s.peers.acquire(ctx, kind, call.Addr, call.Timeout)
		if err != nil {
			return 0, nil, err
		}
		defer release()
		client = s.peers.client(kind)
	}
	if call.ValidUntil > 0 && s.now().Monotonic > call.ValidUntil {
		return 0, nil, errExpired
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Addr+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return 0, nil, fmt.Errorf("create request: %w", err)
	}
	if len(call.Body) > 0 {
		request.Header.Set("Content-Type", contentType(call.Target))
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	// Closing the body returns the connection to the pool. An error of Close is ignored: it says nothing about the
	// response, which has been read by then.
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("read response body: %w", err)
	}
	return response.StatusCode, body, nil
}

func contentType(target controller.Target) string {
	if target == controller.ToPeer {
		return contentTypeCBOR
	}
	return contentTypeMessagePack
}
