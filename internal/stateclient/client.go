// Package stateclient is the client of the state service, a small consistent key-value store. No other package
// depends on the service's paths and status codes. The client does no I/O: it passes requests to an
// apicall.Transport. Each method returns at once and passes the outcome to its done function later. Errors are
// *apicall.StatusError; errors.Is matches the reasons that the method's comment names.
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

// Paths of the service. Keys and prefixes in paths are not escaped, so they may contain slashes.
const (
	keyPathFormat   = "/store/%s"
	listPathFormat  = "/store?under=%s&limit=%d"
	watchPathFormat = "/follow?under=%s&after=%d&blockMs=%d"
	commitPath      = "/multi"
	leasesPath      = "/leases"
	leasePathFormat = "/leases/%d"
	renewPathFormat = "/leases/%d/extend"
)

// Names of the operations in error texts.
const (
	operationGet    = "get key"
	operationList   = "list keys"
	operationWatch  = "watch keys"
	operationCommit = "commit transaction"
	operationGrant  = "grant lease"
	operationRenew  = "renew lease"
	operationRevoke = "revoke lease"
)

// Reasons for failures that are specific to the state service.
var (
	// ErrNotFound means that a key does not exist (status 404).
	ErrNotFound = errors.New("key not found")
	// ErrConflict means that the versions of some keys differ from those that a transaction requires (status
	// 409). The transaction did not apply; a ConflictError names the keys.
	ErrConflict = errors.New("version conflict")
	// ErrLeaseExpired means that a lease does not exist (status 404), because it expired or was revoked.
	ErrLeaseExpired = errors.New("lease expired")
)

// ConflictError names the keys whose versions differ from those that a transaction requires.
type ConflictError struct{ Keys []string }

func (e *ConflictError) Error() string { return fmt.Sprintf("%v: %q", ErrConflict, e.Keys) }

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Page is one page of a list of keys.
type Page struct {
	protocol.KeyValuePage
	// Bytes is the size of the answer on the wire, which bounds the page's size in memory.
	Bytes int
}

// Client makes requests to the state service.
type Client struct{ transport apicall.Transport }

// New returns a client that sends its requests through the transport.
func New(transport apicall.Transport) *Client { return &Client{transport: transport} }

// Get reads a key. Specific reason for failure: ErrNotFound.
func (c *Client) Get(key string, timeout time.Duration, done func(protocol.KeyValue, error)) {
	c.transport.Call(http.MethodGet, fmt.Sprintf(keyPathFormat, key), nil, timeout, func(status int, body []byte) {
		if status == http.StatusNotFound {
			done(protocol.KeyValue{}, &apicall.StatusError{Operation: operationGet, Status: status, Reason: ErrNotFound})
			return
		}
		apicall.Decoded(operationGet, done)(status, body)
	})
}

// List reads a page of at most limit keys with the prefix, in the order of the keys. The page starts with the first
// key greater than after, or with the first key if after is empty.
func (c *Client) List(prefix, after string, limit int, timeout time.Duration, done func(Page, error)) {
	path := fmt.Sprintf(listPathFormat, prefix, limit)
	if after != "" {
		path += "&after=" + url.QueryEscape(after)
	}
	c.transport.Call(http.MethodGet, path, nil, timeout, func(status int, body []byte) {
		page := Page{Bytes: len(body)}
		if err := apicall.DecodeAnswer(operationList, status, body, &page.KeyValuePage); err != nil {
			done(Page{}, err)
			return
		}
		done(page, nil)
	})
}

// Watch reads the changes of the keys with the prefix after a revision, without that revision itself. If there are
// none, the service waits for a change for at most the duration block; if block is 0, it answers at once.
func (c *Client) Watch(prefix string, afterRevision uint64, block, timeout time.Duration, done func(protocol.WatchReply, error)) {
	path := fmt.Sprintf(watchPathFormat, prefix, afterRevision, block.Milliseconds())
	c.transport.Call(http.MethodGet, path, nil, timeout, apicall.Decoded(operationWatch, done))
}

// Commit executes a transaction: it applies all changes if all conditions hold, otherwise none. The result is the
// revision, which becomes the version of each key that was put. Specific reason for failure: ErrConflict with a
// *ConflictError. apicall.ErrInvalidRequest means that the transaction is malformed, exceeds the service's limits or
// names a lease that does not exist; the service does not distinguish these cases. If apicall.IsOutcomeUnknown
// returns true for the error, the transaction may have applied, or may apply later.
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

// GrantLease grants a lease that expires ttl after its last renewal. The request carries ttl in whole milliseconds.
func (c *Client) GrantLease(ttl, timeout time.Duration, done func(lease uint64, err error)) {
	request := protocol.LeaseRequest{TTLMillis: ttl.Milliseconds()}
	takeReply := func(reply protocol.LeaseReply, err error) { done(reply.Lease, err) }
	c.transport.Call(http.MethodPost, leasesPath, request, timeout, apicall.Decoded(operationGrant, takeReply))
}

// RenewLease renews a lease for its whole TTL. Specific reason for failure: ErrLeaseExpired.
func (c *Client) RenewLease(lease uint64, timeout time.Duration, done func(error)) {
	c.transport.Call(http.MethodPost, fmt.Sprintf(renewPathFormat, lease), nil, timeout, func(status int, _ []byte) {
		done(leaseError(operationRenew, status))
	})
}

// RevokeLease ends a lease and deletes the keys that are attached to it. Specific reason for failure:
// ErrLeaseExpired.
func (c *Client) RevokeLease(lease uint64, timeout time.Duration, done func(error)) {
	c.transport.Call(http.MethodDelete, fmt.Sprintf(leasePathFormat, lease), nil, timeout, func(status int, _ []byte) {
		done(leaseError(operationRevoke, status))
	})
}

// leaseError returns the error of a request on an existing lease, or nil on success.
func leaseError(operation string, status int) error {
	if status == http.StatusNotFound {
		return &apicall.StatusError{Operation: operation, Status: status, Reason: ErrLeaseExpired}
	}
	return apicall.DecodeAnswer(operation, status, nil, nil)
}
