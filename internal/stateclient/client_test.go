package stateclient

import (
	"errors"
	"reflect"
	"slices"
	"testing"
	"time"

	"claybarrow/internal/apicall"
	"claybarrow/internal/protocol"
)

// request is a request that the client has sent. The test calls done to answer it.
type request struct {
	method, path string
	body         any
	timeout      time.Duration
	done         func(status int, body []byte)
}

// recorder is a transport that records the last request.
type recorder struct{ last request }

func (r *recorder) Call(method, path string, body any, timeout time.Duration, done func(int, []byte)) {
	r.last = request{method, path, body, timeout, done}
}

// The methods, paths and bodies of the requests are fixed: the state service and other tests depend on them.
func TestRequests(t *testing.T) {
	txn := protocol.Transaction{Then: []protocol.Change{{Put: "a/1", Value: "x"}}}
	for _, c := range []struct {
		name         string
		send         func(*Client)
		method, path string
		body         any
	}{
		{"get", func(c *Client) { c.Get("c/leader", time.Second, func(protocol.KeyValue, error) {}) }, "GET", "/store/c/leader", nil},
		{"first page", func(c *Client) { c.List("c/", "", 10, time.Second, func(Page, error) {}) }, "GET", "/store?under=c/&limit=10", nil},
		{"next page", func(c *Client) { c.List("j/", "j/a b&c", 1000, time.Second, func(Page, error) {}) },
			"GET", "/store?under=j/&limit=1000&after=j%2Fa+b%26c", nil},
		{"blocking watch", func(c *Client) { c.Watch("c/", 7, 12*time.Second, time.Second, func(protocol.WatchReply, error) {}) },
			"GET", "/follow?under=c/&after=7&blockMs=12000", nil},
		{"watch that does not block", func(c *Client) { c.Watch("j/", 0, 0, time.Second, func(protocol.WatchReply, error) {}) },
			"GET", "/follow?under=j/&after=0&blockMs=0", nil},
		{"commit", func(c *Client) { c.Commit(txn, time.Second, func(uint64, error) {}) }, "POST", "/multi", txn},
		{"grant", func(c *Client) { c.GrantLease(3*time.Second, time.Second, func(uint64, error) {}) },
			"POST", "/leases", protocol.LeaseRequest{TTLMillis: 3000}},
		{"renew", func(c *Client) { c.RenewLease(42, time.Second, func(error) {}) }, "POST", "/leases/42/extend", nil},
		{"revoke", func(c *Client) { c.RevokeLease(42, time.Second, func(error) {}) }, "DELETE", "/leases/42", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sent recorder
			c.send(New(&sent))
			got := sent.last
			if got.method != c.method || got.path != c.path || got.timeout != time.Second || !reflect.DeepEqual(got.body, c.body) {
				t.Errorf("sent %s %s %+v with timeout %v, want %s %s %+v with timeout 1s", got.method, got.path, got.body, got.timeout, c.method, c.path, c.body)
			}
		})
	}
}

// outcome is the result and the error of an operation.
type outcome struct {
	result any
	err    error
}

// operations has a function for each operation that sends the operation and stores its outcome.
var operations = map[string]func(*Client, *outcome){
	"get": func(c *Client, o *outcome) {
		c.Get("a/1", 0, func(r protocol.KeyValue, err error) { *o = outcome{r, err} })
	},
	"list": func(c *Client, o *outcome) { c.List("a/", "", 1, 0, func(r Page, err error) { *o = outcome{r, err} }) },
	"watch": func(c *Client, o *outcome) {
		c.Watch("a/", 1, 0, 0, func(r protocol.WatchReply, err error) { *o = outcome{r, err} })
	},
	"commit": func(c *Client, o *outcome) {
		c.Commit(protocol.Transaction{}, 0, func(r uint64, err error) { *o = outcome{r, err} })
	},
	"grant":  func(c *Client, o *outcome) { c.GrantLease(0, 0, func(r uint64, err error) { *o = outcome{r, err} }) },
	"renew":  func(c *Client, o *outcome) { c.RenewLease(1, 0, func(err error) { *o = outcome{nil, err} }) },
	"revoke": func(c *Client, o *outcome) { c.RevokeLease(1, 0, func(err error) { *o = outcome{nil, err} }) },
}

// answer sends an operation, answers the request and returns the outcome.
func answer(operation string, status int, body []byte) outcome {
	var sent recorder
	var got outcome
	operations[operation](New(&sent), &got)
	sent.last.done(status, body)
	return got
}

func TestResults(t *testing.T) {
	item := protocol.KeyValue{Key: "a/1", Value: protocol.Encode("x"), Version: 5}
	items := protocol.KeyValuePage{Items: []protocol.KeyValue{item}, More: true, Revision: 9}
	events := protocol.WatchReply{Revision: 9, Events: []protocol.WatchEvent{{Delete: "a/1", Version: 9}}}
	for _, c := range []struct {
		operation string
		body      []byte
		want      any
	}{
		{"get", protocol.Encode(item), item},
		{"list", protocol.Encode(items), Page{KeyValuePage: items, Bytes: len(protocol.Encode(items))}},
		{"watch", protocol.Encode(events), events},
		{"commit", protocol.Encode(protocol.TransactionReply{Revision: 9}), uint64(9)},
		{"grant", protocol.Encode(protocol.LeaseReply{Lease: 42}), uint64(42)},
		{"renew", nil, nil},
		{"revoke", nil, nil},
	} {
		t.Run(c.operation, func(t *testing.T) {
			got := answer(c.operation, 200, c.body)
			if got.err != nil || !reflect.DeepEqual(got.result, c.want) {
				t.Errorf("result %+v, error %v, want %+v", got.result, got.err, c.want)
			}
		})
	}
}

func TestFailures(t *testing.T) {
	conflict := protocol.Encode(protocol.TransactionReply{Failed: []string{"a/1"}})
	undecodable := []byte{0xc1}
	for _, c := range []struct {
		name       string
		operations []string
		status     int
		body       []byte
		reason     error // nil: none
	}{
		{"no answer", []string{"get", "list", "watch", "commit", "grant", "renew", "revoke"}, 0, nil, apicall.ErrNoAnswer},
		{"invalid request", []string{"get", "list", "watch", "commit", "grant", "renew", "revoke"}, 400, nil, apicall.ErrInvalidRequest},
		{"rate limited", []string{"get", "list", "watch", "commit", "grant", "renew", "revoke"}, 429, nil, apicall.ErrRateLimited},
		{"unavailable", []string{"get", "list", "watch", "commit", "grant", "renew", "revoke"}, 503, nil, apicall.ErrUnavailable},
		{"another status", []string{"get", "list", "watch", "commit", "grant", "renew", "revoke"}, 410, nil, nil},
		{"undecodable answer", []string{"get", "list", "watch", "commit", "grant"}, 200, undecodable, apicall.ErrMalformedAnswer},
		{"key not found", []string{"get"}, 404, nil, ErrNotFound},
		{"lease expired", []string{"renew", "revoke"}, 404, nil, ErrLeaseExpired},
		{"not found without a meaning", []string{"list", "watch", "commit", "grant"}, 404, nil, nil},
		{"conflict", []string{"commit"}, 409, conflict, ErrConflict},
		{"conflict that can't be read", []string{"commit"}, 409, undecodable, apicall.ErrMalformedAnswer},
		{"conflict without a meaning", []string{"get", "list", "watch", "grant", "renew", "revoke"}, 409, conflict, nil},
	} {
		for _, operation := range c.operations {
			t.Run(c.name+"/"+operation, func(t *testing.T) {
				err := answer(operation, c.status, c.body).err
				if err == nil || apicall.StatusOf(err) != c.status {
					t.Fatalf("no error with the status of the answer: %v", err)
				}
				checkReason(t, err, c.reason)
			})
		}
	}
}

// checkReason checks that an error matches this reason and no other.
func checkReason(t *testing.T, err, want error) {
	t.Helper()
	for _, reason := range []error{apicall.ErrNoAnswer, apicall.ErrMalformedAnswer, apicall.ErrInvalidRequest, apicall.ErrRateLimited,
		apicall.ErrUnavailable, ErrNotFound, ErrConflict, ErrLeaseExpired} {
		if errors.Is(err, reason) != errors.Is(want, reason) {
			t.Errorf("error %v: wrongly matches %q or not: %v", err, reason, errors.Is(err, reason))
		}
	}
}

func TestConflictNamesTheKeys(t *testing.T) {
	err := answer("commit", 409, protocol.Encode(protocol.TransactionReply{Failed: []string{"a/1", "a/2"}})).err
	var conflict *ConflictError
	if !errors.As(err, &conflict) || !slices.Equal(conflict.Keys, []string{"a/1", "a/2"}) {
		t.Errorf("error %v, want a ConflictError with the keys a/1 and a/2", err)
	}
}
