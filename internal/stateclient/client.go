// Package stateclient is the client of the state service, a small consistent key-value store. It
// alone knows the service's paths and status codes. It does no I/O: requests leave through an
// apicall.Transport, and each method returns at once and passes the outcome to its done function
// later. Errors are *apicall.StatusError; errors.Is finds the reasons named at each method.
package stateclient

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"claybarrow/internal/apicall"
	"claybarrow/internal/protocol"
)

// Paths of the service. Prefixes and keys in them are not escaped: their slashes stand as they are.
const (
	keyPathFormat   = "/store/%s"
	listPathFormat  = "/store?under=%s&limit=%d"
	watchPathFormat = "/follow?under=%s&after=%d&blockMs=%d"
	commitPath      = "/multi"
	leasesPath      = "/leases"
	leasePathFormat = "/leases/%d"
	renewPathFormat = "/leases/%d/extend"
)

// Names of the operations in errors.
const (
	operationGet    = "get key"
	operationList   = "list keys"
	operationWatch  = "watch keys"
	operationCommit = "commit transaction"
	operationGrant  = "grant lease"
	operationRenew  = "renew lease"
	operationRevoke = "revoke lease"
)

// The reasons for a failure that only the state service has.
var (
	// ErrNotFound means that a key is not there (404).
	ErrNotFound = errors.New("key not found")
	// ErrConflict means that keys had other versions than a transaction required (409). The
	// transaction did not apply; a ConflictError names the keys.
	ErrConflict = errors.New("version conflict")
	// ErrLeaseExpired means that a lease is not there (404): it expired or was revoked.
	ErrLeaseExpired = errors.New("lease expired")
)

// ConflictError names the keys that had other versions than a transaction required.
type ConflictError struct{ Keys []string }

func (e *ConflictError) Error() string { return fmt.Sprintf("%v: %q", ErrConflict, e.Keys) }

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Page is one page of a list of keys.
type Page struct {
	protocol.KeyValuePage
	// Bytes is the size of the answer on the wire, which bounds what the page takes in memory.
	Bytes int
}

// Client makes requests to the state service.
type Client struct{ transport apicall.Transport }

// New makes a client that sends its requests by a transport.
func New(transport apicall.Transport) *Client { return &Client{transport: transport} }

// Get reads a key. Reasons of its own: ErrNotFound.
func (c *Client) Get(key string, timeout time.Duration, done func(protocol.KeyValue, error)) {
	c.transport.Call(http.MethodGet, fmt.Sprintf(keyPathFormat, key), nil, timeout, func(status int, body []byte) {
		if status == http.StatusNotFound {
			done(protocol.KeyValue{}, &apicall.StatusError{Operation: operationGet, Status: status, Reason: ErrNotFound})
			return
		}
		apicall.Decoded(operationGet, done)(status, body)
	})
}

// List reads a page of at most limit keys under a prefix, in the order of the keys. It starts behind
// the key after; "" starts at the first.
func (c *Client) List(prefix, after string, limit int, timeout time.Duration, done func(Page, error)) {
	path := fmt.Sprintf(listPathFormat, prefix, limit)
	if after != "" {
		path += "&after=" + url.QueryEscape(after)
	}
	c.transport.Call(http.MethodGet, path, nil, timeout, func(status int, body []byte) {
		page := Page{Bytes: len(body)}
		if err := apicall.ReadAnswer(operationList, status, body, &page.KeyValuePage); err != nil {
			done(Page{}, err)
			return
		}
		done(page, nil)
	})
}

// Watch reads the changes of the keys under a prefix after a revision. If there are none, the service
// waits for one for as long as block says; 0: it answers at once.
func (c *Client) Watch(prefix string, afterRevision uint64, block, timeout time.Duration, done func(protocol.WatchReply, error)) {
	path := fmt.Sprintf(watchPathFormat, prefix, afterRevision, block.Milliseconds())
	c.transport.Call(http.MethodGet, path, nil, timeout, apicall.Decoded(operationWatch, done))
}

// Commit executes a transaction: all of its changes if all of its conditions hold, else none. It
// returns the revision, which is the version of each key that was put. Reasons of its own:
// ErrConflict with a *ConflictError. apicall.ErrInvalidRequest is a malformed transaction, one over
// the service's limits or one that names a lease that is not there: the service does not tell them
// apart. If apicall.IsOutcomeUnknown, it may have applied, or may apply later.
func (c *Client) Commit(txn protocol.Transaction, timeout time.Duration, done func(revision uint64, err error)) {
	c.transport.Call(http.MethodPost, commitPath, txn, timeout, func(status int, body []byte) {
		done(readCommitAnswer(status, body))
	})
}

func readCommitAnswer(status int, body []byte) (revision uint64, err error) {
	if status != http.StatusOK && status != http.StatusConflict {
		return 0, apicall.NewError(operationCommit, status)
	}
	var reply protocol.TransactionReply
	if err := apicall.DecodeBody(operationCommit, status, body, &reply); err != nil {
		return 0, err
	}
	if status == http.StatusConflict {
		return 0, &apicall.StatusError{Operation: operationCommit, Status: status, Reason: &ConflictError{Keys: reply.Failed}}
	}
	return reply.Revision, nil
}

// GrantLease opens a lease that expires ttl after its last renewal. The wire has whole milliseconds.
func (c *Client) GrantLease(ttl, timeout time.Duration, done func(lease uint64, err error)) {
	request := protocol.LeaseRequest{TTLMillis: ttl.Milliseconds()}
	takeReply := func(reply protocol.LeaseReply, err error) { done(reply.Lease, err) }
	c.transport.Call(http.MethodPost, leasesPath, request, timeout, apicall.Decoded(operationGrant, takeReply))
}

// RenewLease has a lease run for its whole time again. Reasons of its own: ErrLeaseExpired.
func (c *Client) RenewLease(lease uint64, timeout time.Duration, done func(error)) {
	c.transport.Call(http.MethodPost, fmt.Sprintf(renewPathFormat, lease), nil, timeout, func(status int, _ []byte) {
		done(leaseError(operationRenew, status))
	})
}

// RevokeLease ends a lease and deletes the keys that hang on it. Reasons of its own: ErrLeaseExpired.
func (c *Client) RevokeLease(lease uint64, timeout time.Duration, done func(error)) {
	c.transport.Call(http.MethodDelete, fmt.Sprintf(leasePathFormat, lease), nil, timeout, func(status int, _ []byte) {
		done(leaseError(operationRevoke, status))
	})
}

// leaseError is the error of a request about a lease that is expected to be there; nil at success.
func leaseError(operation string, status int) error {
	if status == http.StatusNotFound {
		return &apicall.StatusError{Operation: operation, Status: status, Reason: ErrLeaseExpired}
	}
	return apicall.ReadAnswer(operation, status, nil, nil)
}
