package emulator

import "net/http"

// Reply takes the answer to a request: an HTTP status, 0 for none, and the body.
type Reply func(status int, body []byte)

// Statuses by which the emulated services refuse requests.
const (
	statusTooOld      = http.StatusGone            // the events that a watch asks for are no longer kept
	statusTooMany     = http.StatusTooManyRequests // over the rate limit
	statusUnavailable = http.StatusServiceUnavailable
)
