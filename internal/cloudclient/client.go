// Package cloudclient is the client of the cloud's API for machines. It encapsulates the API's paths, status
// codes and error texts. It does no I/O itself: requests are sent through an apicall.Transport. Each
// method returns without waiting and passes the outcome to its done function later. Errors are of type
// *apicall.StatusError.
package cloudclient

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"claybarrow/internal/apicall"
	"claybarrow/internal/protocol"
)

// Paths of the cloud's API. The machine's name that follows listAfter is not escaped.
const (
	typesPath      = "/flavors"
	machinesPath   = "/machines"
	deletePath     = "/machines/delete"
	listPathFormat = "/machines?limit=%d"
	listAfter      = "&after="
)

// Operation names in errors.
const (
	operationTypes  = "list machine types"
	operationList   = "list machines"
	operationLaunch = "launch machines"
	operationDelete = "delete machines"
)

// noCapacityText is the error text that distinguishes a 503 for lack of capacity from an outage.
const noCapacityText = "no capacity"

// ErrNoCapacity means that the cloud has no free machine of the type in the zone (503 with the text "no
// capacity"). A 503 with any other text is an outage: apicall.ErrUnavailable.
var ErrNoCapacity = errors.New("no capacity")

// Client sends requests to the cloud.
type Client struct{ transport apicall.Transport }

// New creates a client that sends its requests through a transport.
func New(transport apicall.Transport) *Client { return &Client{transport: transport} }

// MachineTypes lists the machine types with their current prices. The list may be empty.
func (c *Client) MachineTypes(timeout time.Duration, done func([]protocol.MachineType, error)) {
	takeAnswer := func(answer protocol.MachineTypes, err error) { done(answer.Types, err) }
	c.transport.Call(http.MethodGet, typesPath, nil, timeout, apicall.Decoded(operationTypes, takeAnswer))
}

// List reads a page of at most limit machines, sorted by name. The page starts after the machine named after,
// or with the first machine if after is "".
func (c *Client) List(after string, limit int, timeout time.Duration, done func(protocol.MachineList, error)) {
	path := fmt.Sprintf(listPathFormat, limit)
	if after != "" {
		path += listAfter + after
	}
	c.transport.Call(http.MethodGet, path, nil, timeout, apicall.Decoded(operationList, done))
}

// Launch requests machines and passes the names of the launched machines to done, which may be fewer than
// requested. It is idempotent: a retry with the same request name launches no further machines. Besides
// the general reasons, the error's reason may be ErrNoCapacity.
func (c *Client) Launch(request protocol.LaunchRequest, timeout time.Duration, done func(names []string, err error)) {
	takeAnswer := func(launched protocol.MachineIDs, err error) { done(launched.Machines, err) }
	c.transport.Call(http.MethodPost, machinesPath, request, timeout, func(status int, body []byte) {
		if status == http.StatusServiceUnavailable && isNoCapacity(body) {
			done(nil, &apicall.StatusError{Operation: operationLaunch, Status: status, Reason: ErrNoCapacity})
			return
		}
		apicall.Decoded(operationLaunch, takeAnswer)(status, body)
	})
}

// Delete deletes machines. On success all of them have been deleted.
func (c *Client) Delete(names []string, timeout time.Duration, done func(error)) {
	request := protocol.MachineIDs{Machines: names}
	c.transport.Call(http.MethodPost, deletePath, request, timeout, func(status int, _ []byte) {
		done(apicall.DecodeAnswer(operationDelete, status, nil, nil))
	})
}

func isNoCapacity(body []byte) bool {
	var answer struct {
		Error string `msgpack:"error"`
	}
	return protocol.Decode(body, &answer) == nil && answer.Error == noCapacityText
}
