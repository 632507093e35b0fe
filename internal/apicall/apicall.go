// Package apicall holds what the clients of the state service and of the cloud share: how a request
// leaves, and the errors that a request can end with. It does no I/O: the caller's Transport does.
package apicall

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"claybarrow/internal/protocol"
)

// StatusNoAnswer is the status of a request that had no answer: the connection failed or was lost,
// or the timeout passed. The request may have been executed, or may be executed later.
const StatusNoAnswer = 0

// Transport sends requests to one service.
type Transport interface {
	// Call sends a request and returns at once. A nil body means that the request has none; any
	// other value is encoded as MessagePack. Done is called once, later, with the HTTP status and
	// the body of the answer, or with StatusNoAnswer and no body.
	Call(method, path string, body any, timeout time.Duration, done func(status int, body []byte))
}

// The reasons for a failure that errors.Is finds in a StatusError.
var (
	// ErrNoAnswer means that there was no answer: the request may have been executed.
	ErrNoAnswer = errors.New("no answer")
	// ErrMalformedAnswer means that the answer's body could not be decoded.
	ErrMalformedAnswer = errors.New("malformed answer")
	// ErrInvalidRequest means that the service does not accept the request as it is (400).
	ErrInvalidRequest = errors.New("invalid request")
	// ErrRateLimited means that there were more requests than the service allows (429). The
	// request was not executed.
	ErrRateLimited = errors.New("rate limited")
	// ErrUnavailable means that the service executes nothing at the moment (503).
	ErrUnavailable = errors.New("service unavailable")
)

// StatusError is a request that did not succeed. Every error of a client is one.
type StatusError struct {
	// Operation is what was asked for, such as "renew lease".
	Operation string
	// Status is the HTTP status, or StatusNoAnswer.
	Status int
	// Reason is what the status means for this operation; nil if it means nothing special.
	Reason error
}

func (e *StatusError) Error() string {
	if e.Reason == nil {
		return fmt.Sprintf("%s: status %d", e.Operation, e.Status)
	}
	return fmt.Sprintf("%s: status %d: %v", e.Operation, e.Status, e.Reason)
}

// Unwrap returns the reason, or nil.
func (e *StatusError) Unwrap() error { return e.Reason }

// NewError makes the error of an operation that ended with a status other than 200. The reason is
// the one that this status has for all operations.
func NewError(operation string, status int) *StatusError {
	e := &StatusError{Operation: operation, Status: status}
	switch status {
	case StatusNoAnswer:
		e.Reason = ErrNoAnswer
	case http.StatusBadRequest:
		e.Reason = ErrInvalidRequest
	case http.StatusTooManyRequests:
		e.Reason = ErrRateLimited
	case http.StatusServiceUnavailable:
		e.Reason = ErrUnavailable
	}
	return e
}

// ReadAnswer decodes the body of an answer with status 200 into answer, which may be nil if the body
// does not matter. It returns an error if the status is another one or the body can't be decoded.
func ReadAnswer(operation string, status int, body []byte, answer any) error {
	if status != http.StatusOK {
		return NewError(operation, status)
	}
	if answer == nil {
		return nil
	}
	return DecodeBody(operation, status, body, answer)
}

// Decoded returns the function that takes the raw answer of an operation, and passes on the decoded body
// of one with status 200, or the error and no answer.
func Decoded[Answer any](operation string, done func(Answer, error)) func(status int, body []byte) {
	return func(status int, body []byte) {
		var answer, none Answer
		if err := ReadAnswer(operation, status, body, &answer); err != nil {
			done(none, err)
			return
		}
		done(answer, nil)
	}
}

// DecodeBody decodes the body of an answer of any status.
func DecodeBody(operation string, status int, body []byte, answer any) error {
	if err := protocol.Decode(body, answer); err != nil {
		return &StatusError{Operation: operation, Status: status, Reason: fmt.Errorf("%w: %w", ErrMalformedAnswer, err)}
	}
	return nil
}

// StatusOf returns the HTTP status that an error of a client carries; StatusNoAnswer if it has none.
func StatusOf(err error) int {
	if failure := (*StatusError)(nil); errors.As(err, &failure) {
		return failure.Status
	}
	return StatusNoAnswer
}

// IsOutcomeUnknown reports whether a request that ended with this error may have been executed all
// the same: there was no answer, or none that could be read.
func IsOutcomeUnknown(err error) bool {
	return errors.Is(err, ErrNoAnswer) || errors.Is(err, ErrMalformedAnswer)
}

// IsRetryable reports whether the same request may succeed later: there was no answer, or the
// service was overloaded or in trouble (429 and above). The lower statuses are answers to the
// request itself, which a repetition would not change.
func IsRetryable(err error) bool {
	failure := (*StatusError)(nil)
	if !errors.As(err, &failure) {
		return false
	}
	return failure.Status == StatusNoAnswer || failure.Status >= http.StatusTooManyRequests
}
