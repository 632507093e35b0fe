package apicall

import (
	"errors"
	"testing"

	"claybarrow/internal/protocol"
)

func TestReadAnswer(t *testing.T) {
	names := protocol.Encode(protocol.MachineIDs{Machines: []string{"i-1"}})
	for _, c := range []struct {
		name           string
		status         int
		body           []byte
		reason         error // nil: none
		success        bool
		outcomeUnknown bool
		retryable      bool
	}{
		{name: "success", status: 200, body: names, success: true},
		{name: "undecodable body", status: 200, body: []byte{0xc1}, reason: ErrMalformedAnswer, outcomeUnknown: true},
		{name: "empty body", status: 200, reason: ErrMalformedAnswer, outcomeUnknown: true},
		{name: "no answer", status: 0, reason: ErrNoAnswer, outcomeUnknown: true, retryable: true},
		{name: "no content", status: 204},
		{name: "invalid request", status: 400, reason: ErrInvalidRequest},
		{name: "not found", status: 404},
		{name: "last status that is not retried", status: 428},
		{name: "rate limited", status: 429, reason: ErrRateLimited, retryable: true},
		{name: "internal error", status: 500, retryable: true},
		{name: "unavailable", status: 503, reason: ErrUnavailable, retryable: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var answer protocol.MachineIDs
			err := DecodeAnswer("test", c.status, c.body, &answer)
			if (err == nil) != c.success {
				t.Fatalf("error %v, want success: %v", err, c.success)
			}
			if c.success {
				if len(answer.Machines) != 1 {
					t.Errorf("decoded as %+v", answer)
				}
				return
			}
			for _, reason := range []error{ErrNoAnswer, ErrMalformedAnswer, ErrInvalidRequest, ErrRateLimited, ErrUnavailable} {
				if errors.Is(err, reason) != errors.Is(c.reason, reason) {
					t.Errorf("%v: is %q: %v", err, reason, errors.Is(err, reason))
				}
			}
			if StatusOf(err) != c.status || IsOutcomeUnknown(err) != c.outcomeUnknown || IsRetryable(err) != c.retryable {
				t.Errorf("%v: status %d, outcome unknown %v, retryable %v", err, StatusOf(err), IsOutcomeUnknown(err), IsRetryable(err))
			}
		})
	}
}

func TestDecoded(t *testing.T) {
	names := protocol.Encode(protocol.MachineIDs{Machines: []string{"i-1"}})
	for _, c := range []struct {
		name     string
		status   int
		body     []byte
		machines int
		err      error
	}{
		{"success", 200, names, 1, nil},
		{"failure", 503, names, 0, ErrUnavailable},
		{"undecodable body", 200, names[:len(names)-1], 0, ErrMalformedAnswer},
	} {
		t.Run(c.name, func(t *testing.T) {
			calls := 0
			Decoded("test", func(answer protocol.MachineIDs, err error) {
				calls++
				if !errors.Is(err, c.err) || len(answer.Machines) != c.machines {
					t.Errorf("decoded as %+v, error %v, want error %v", answer, err, c.err)
				}
			})(c.status, c.body)
			if calls != 1 {
				t.Errorf("done was called %d times, want once", calls)
			}
		})
	}
}

func TestReadAnswerWithoutABody(t *testing.T) {
	if err := DecodeAnswer("test", 200, nil, nil); err != nil {
		t.Error(err)
	}
	if err := DecodeAnswer("test", 503, nil, nil); !errors.Is(err, ErrUnavailable) {
		t.Error(err)
	}
}

func TestOtherErrors(t *testing.T) {
	err := errors.New("another error")
	if StatusOf(err) != StatusNoAnswer || IsOutcomeUnknown(err) || IsRetryable(err) || IsRetryable(nil) {
		t.Error("an error of another package is handled like a StatusError")
	}
}

func TestErrorText(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want string
	}{
		{"with a reason", NewError("commit", 503), "commit: status 503: service unavailable"},
		{"without a reason", NewError("commit", 500), "commit: status 500"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.err.Error() != c.want {
				t.Errorf("%q, want %q", c.err, c.want)
			}
		})
	}
}
