// Package apicall is shared by the clients of the state service and of the cloud. It defines the Transport
// that sends requests and the errors of failed requests. It does no I/O itself.
package apicall

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"claybarrow/internal/protocol"
)

// StatusNoAnswer is the status of a request without an answer: the connection failed or was lost, or the
// request timed out. The request may have been executed, or may be executed later.
const StatusNoAnswer = 0

// Transport sends requests to one service.
type Transport interface {
	// Call starts a request and returns without waiting for the answer. A nil body means that the request
	// has no body; any other value is encoded as MessagePack. done is called exactly once, after Call has
	// returned, with the HTTP status and the body of the answer, or with StatusNoAnswer and no body.
	Call(method, path string, body any, timeout time.Duration, done func(status int, body []byte))
}

// Reasons of a StatusError, for use with errors.Is.
var (
	// ErrNoAnswer means that the request had no answer. The request may have been executed.
	ErrNoAnswer = errors.New("no answer")
	// ErrMalformedAnswer means that the answer's body could not be decoded.
	ErrMalformedAnswer = errors.New("malformed answer")
	// ErrInvalidRequest means that the service rejected the request as invalid (400).
	ErrInvalidRequest = errors.New("invalid request")
	// ErrRateLimited means that the service's rate limit was exceeded (429). The request was not executed.
	ErrRateLimited = errors.New("rate limited")
	// ErrUnavailable means that the service currently executes no requests (503).
	ErrUnavailable = errors.New("service unavailable")
)

// StatusError is the error of a failed request. Every error that a client returns is a *StatusError.
type StatusError struct {
	// Operation is the requested operation, such as "renew lease".
	Operation string
	// Status is the HTTP status, or StatusNoAnswer.
	Status int
	// Reason is the meaning of the status for this operation; nil if it has no specific meaning.
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

// NewError creates the error of an operation that ended with a status other than 200. The reason is the
// status's general meaning, which is the same for all operations.
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

// DecodeAnswer decodes the body of an answer with status 200 into answer; a nil answer discards the body. It
// returns an error if the status is not 200 or the body cannot be decoded.
func DecodeAnswer(operation string, status int, body []byte, answer any) error {
	if status != http.StatusOK {
		return NewError(operation, status)
	}
	if answer == nil {
		return nil
	}
	return DecodeBody(operation, status, body, answer)
}

// Decoded adapts done to a raw answer: the returned function decodes the body of an answer with status 200 and
// passes it to done, or passes the zero value and an error.
func Decoded[Answer any](operation string, done func(Answer, error)) func(status int, body []byte) {
	return func(status int, body []byte) {
		var answer, zero Answer
		if err := DecodeAnswer(operation, status, body, &answer); err != nil {
			done(zero, err)
			return
		}
		done(answer, nil)
	}
}

// DecodeBody decodes the body of an answer with any status. status is used in the error only.
func DecodeBody(operation string, status int, body []byte, answer any) error {
	if err := protocol.Decode(body, answer); err != nil {
		return &StatusError{Operation: operation, Status: status, Reason: fmt.Errorf("%w: %w", ErrMalformedAnswer, err)}
	}
	return nil
}

// StatusOf returns the HTTP status of the StatusError in err, or StatusNoAnswer if err contains none.
func StatusOf(err error) int {
	if statusError := (*StatusError)(nil); errors.As(err, &statusError) {
		return statusError.Status
	}
	return StatusNoAnswer
}

// IsOutcomeUnknown reports whether a request that ended with this error may have been executed nevertheless:
// it had no answer, or its answer could not be decoded.
func IsOutcomeUnknown(err error) bool {
	return errors.Is(err, ErrNoAnswer) || errors.Is(err, ErrMalformedAnswer)
}

// IsRetryable reports whether a retry of the same request may succeed: the request had no answer, or the
// service was overloaded or failing (status 429 and above). A lower status is a verdict on the request
// itself, which a retry would not change.
func IsRetryable(err error) bool {
	statusError := (*StatusError)(nil)
	if !errors.As(err, &statusError) {
		return false
	}
	return statusError.Status == StatusNoAnswer || statusError.Status >= http.StatusTooManyRequests
}
