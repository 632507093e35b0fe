// Package cloudclient is the client of the cloud's interface for machines. It alone knows the
// cloud's paths, status codes and error texts. It does no I/O: requests leave through an
// apicall.Transport, and each method returns at once and passes the outcome to its done function
// later. Errors are *apicall.StatusError.
package cloudclient

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"claybarrow/internal/apicall"
	"claybarrow/internal/protocol"
)

// Paths of the cloud. The machine's name behind listAfter is not escaped.
const (
	typesPath      = "/flavors"
	machinesPath   = "/machines"
	deletePath     = "/machines/delete"
	listPathFormat = "/machines?limit=%d"
	listAfter      = "&after="
)

// Names of the operations in errors.
const (
	operationTypes  = "list machine types"
	operationList   = "list machines"
	operationLaunch = "launch machines"
	operationDelete = "delete machines"
)

// noCapacityText is the error text of a 503 that is no outage.
const noCapacityText = "no capacity"

// ErrNoCapacity means that the cloud has no machine left of a type in a zone (503 with the text "no
// capacity"). A 503 with another text is an outage: apicall.ErrUnavailable.
var ErrNoCapacity = errors.New("no capacity")

// Client makes requests to the cloud.
type Client struct{ transport apicall.Transport }

// New makes a client that sends its requests by a transport.
func New(transport apicall.Transport) *Client { return &Client{transport: transport} }

// MachineTypes reads the machine types with their current prices. The list may be empty.
func (c *Client) MachineTypes(timeout time.Duration, done func([]protocol.MachineType, error)) {
	takeAnswer := func(answer protocol.MachineTypes, err error) { done(answer.Types, err) }
	c.transport.Call(http.MethodGet, typesPath, nil, timeout, apicall.Decoded(operationTypes, takeAnswer))
}

// List reads a page of at most limit machines, in the order of their names. It starts behind the
// machine after; "" starts at the first.
func (c *Client) List(after string, limit int, timeout time.Duration, done func(protocol.MachineList, error)) {
	path := fmt.Sprintf(listPathFormat, limit)
	if after != "" {
		path += listAfter + after
	}
	c.transport.Call(http.MethodGet, path, nil, timeout, apicall.Decoded(operationList, done))
}

// Launch asks for machines and returns the names of those that were launched, which may be fewer than
// asked for. It is idempotent: the same request name launches nothing twice. Reasons of its own:
// ErrNoCapacity.
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

// Delete deletes machines. After success all of them are gone.
func (c *Client) Delete(names []string, timeout time.Duration, done func(error)) {
	request := protocol.MachineIDs{Machines: names}
	c.transport.Call(http.MethodPost, deletePath, request, timeout, func(status int, _ []byte) {
		done(apicall.ReadAnswer(operationDelete, status, nil, nil))
	})
}

func isNoCapacity(body []byte) bool {
	var answer struct {
		Error string `msgpack:"error"`
	}
	return protocol.Decode(body, &answer) == nil && answer.Error == noCapacityText
}
