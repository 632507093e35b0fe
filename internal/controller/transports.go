package controller

import (
	"time"

	"claybarrow/internal/cloudclient"
	"claybarrow/internal/stateclient"
)

// The typed clients of the state service and the cloud handle paths and status codes. These transports turn their
// requests into effects of the controller, counted against its rate limits.

// stateTransport sends the requests of the state service client.
type stateTransport struct{ outbox *outbox }

func newStateClient(o *outbox) *stateclient.Client { return stateclient.New(stateTransport{o}) }

// Call is part of apicall.Transport.
func (t stateTransport) Call(method, path string, body any, timeout time.Duration, done func(status int, body []byte)) {
	t.outbox.stateCall(method, path, body, timeout, func(res Result) { done(res.Status, res.Body) })
}

// cloudTransport sends the requests of the cloud client.
type cloudTransport struct{ outbox *outbox }

func newCloudClient(o *outbox) *cloudclient.Client { return cloudclient.New(cloudTransport{o}) }

// Call is part of apicall.Transport.
func (t cloudTransport) Call(method, path string, body any, timeout time.Duration, done func(status int, body []byte)) {
	t.outbox.cloudCall(method, path, body, timeout, func(res Result) { done(res.Status, res.Body) })
}
