package emulator

import "net/http"

// Reply receives the response to a request: the HTTP status, 0 if there was no response, and the body.
type Reply func(status int, body []byte)

// HTTP statuses with which the emulated services refuse requests.
const (
	statusTooOld      = http.StatusGone            // the events after the requested revision are no longer retained
	statusTooMany     = http.StatusTooManyRequests // the request exceeds the rate limit
	statusUnavailable = http.StatusServiceUnavailable
)
