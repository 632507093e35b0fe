package cloudclient

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"claybarrow/internal/apicall"
	"claybarrow/internal/protocol"
)

// request is a request that was sent, with the function that delivers its answer.
type request struct {
	method, path string
	body         any
	timeout      time.Duration
	done         func(status int, body []byte)
}

// recorder is a transport that stores the last request.
type recorder struct{ last request }

func (r *recorder) Call(method, path string, body any, timeout time.Duration, done func(int, []byte)) {
	r.last = request{method, path, body, timeout, done}
}

// outcome is the result and the error of an operation.
type outcome struct {
	result any
	err    error
}

var launch = protocol.LaunchRequest{Request: "r-7-1", Type: "m8", Zone: "a", Count: 2}

// operations starts an operation by name and stores its outcome.
var operations = map[string]func(*Client, *outcome){
	"types": func(c *Client, o *outcome) {
		c.MachineTypes(time.Second, func(r []protocol.MachineType, err error) { *o = outcome{r, err} })
	},
	"list": func(c *Client, o *outcome) {
		c.List("", 500, time.Second, func(r protocol.MachineList, err error) { *o = outcome{r, err} })
	},
	"list on": func(c *Client, o *outcome) {
		c.List("i-2", 500, time.Second, func(r protocol.MachineList, err error) { *o = outcome{r, err} })
	},
	"launch": func(c *Client, o *outcome) {
		c.Launch(launch, time.Second, func(r []string, err error) { *o = outcome{r, err} })
	},
	"delete": func(c *Client, o *outcome) {
		c.Delete([]string{"i-1"}, time.Second, func(err error) { *o = outcome{nil, err} })
	},
}

// Guards the requests, whose paths are part of the cloud's API.
func TestRequests(t *testing.T) {
	for _, c := range []struct {
		operation, method, path string
		body                    any
	}{
		{"types", "GET", "/flavors", nil},
		{"list", "GET", "/machines?limit=500", nil},
		{"list on", "GET", "/machines?limit=500&after=i-2", nil},
		{"launch", "POST", "/machines", launch},
		{"delete", "POST", "/machines/delete", protocol.MachineIDs{Machines: []string{"i-1"}}},
	} {
		t.Run(c.operation, func(t *testing.T) {
			var sent recorder
			operations[c.operation](New(&sent), new(outcome))
			got := sent.last
			if got.method != c.method || got.path != c.path || got.timeout != time.Second || !reflect.DeepEqual(got.body, c.body) {
				t.Errorf("%s %s %+v within %v, want %s %s %+v", got.method, got.path, got.body, got.timeout, c.method, c.path, c.body)
			}
		})
	}
}

func TestOutcomes(t *testing.T) {
	types := []protocol.MachineType{{Name: "m8", Zones: []string{"a"}}}
	list := protocol.MachineList{Machines: []protocol.ListedMachine{{ID: "i-1"}}, More: true}
	noCapacity := protocol.Encode(map[string]any{"error": "no capacity"})
	outage := protocol.Encode(map[string]any{"error": "trouble"})
	undecodable := []byte{0xc1}
	for _, c := range []struct {
		name, operation string
		status          int
		body            []byte
		result          any
		failed          bool
		reason          error // reason of the failure; nil: none
	}{
		{name: "types", operation: "types", status: 200, body: protocol.Encode(protocol.MachineTypes{Types: types}), result: types},
		{name: "list", operation: "list", status: 200, body: protocol.Encode(list), result: list},
		{name: "launched", operation: "launch", status: 200, body: protocol.Encode(protocol.MachineIDs{Machines: []string{"i-1"}}), result: []string{"i-1"}},
		{name: "deleted, whatever the body", operation: "delete", status: 200, body: undecodable},
		{name: "undecodable types", operation: "types", status: 200, body: undecodable, failed: true, reason: apicall.ErrMalformedAnswer},
		{name: "undecodable list", operation: "list", status: 200, body: undecodable, failed: true, reason: apicall.ErrMalformedAnswer},
		{name: "undecodable launch", operation: "launch", status: 200, body: undecodable, failed: true, reason: apicall.ErrMalformedAnswer},
		{name: "launch without an answer", operation: "launch", failed: true, reason: apicall.ErrNoAnswer},
		{name: "no capacity", operation: "launch", status: 503, body: noCapacity, failed: true, reason: ErrNoCapacity},
		{name: "outage", operation: "launch", status: 503, body: outage, failed: true, reason: apicall.ErrUnavailable},
		{name: "outage without a body", operation: "launch", status: 503, failed: true, reason: apicall.ErrUnavailable},
		{name: "the text at another status", operation: "launch", status: 500, body: noCapacity, failed: true},
		{name: "the text at another operation", operation: "delete", status: 503, body: noCapacity, failed: true, reason: apicall.ErrUnavailable},
		{name: "invalid launch", operation: "launch", status: 400, failed: true, reason: apicall.ErrInvalidRequest},
		{name: "rate limited deletion", operation: "delete", status: 429, failed: true, reason: apicall.ErrRateLimited},
		{name: "list without an answer", operation: "list", failed: true, reason: apicall.ErrNoAnswer},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sent recorder
			var got outcome
			operations[c.operation](New(&sent), &got)
			sent.last.done(c.status, c.body)
			if (got.err != nil) != c.failed || !c.failed && !reflect.DeepEqual(got.result, c.result) {
				t.Fatalf("result %+v, error %v", got.result, got.err)
			}
			for _, reason := range []error{apicall.ErrNoAnswer, apicall.ErrMalformedAnswer, apicall.ErrInvalidRequest,
				apicall.ErrRateLimited, apicall.ErrUnavailable, ErrNoCapacity} {
				if errors.Is(got.err, reason) != errors.Is(c.reason, reason) {
					t.Errorf("%v: is %q: %v", got.err, reason, errors.Is(got.err, reason))
				}
			}
		})
	}
}
