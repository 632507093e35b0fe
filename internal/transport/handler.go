package transport

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"claybarrow/internal/controller"
)

// retryAfterSeconds is the Retry-After value of the 503 responses that this package generates itself.
const retryAfterSeconds = 1

// handleWithoutBody returns a handler for an operation whose request has no body.
func (s *Server) handleWithoutBody(op controller.Op) http.HandlerFunc {
	admission := s.admissionFor(op)
	return func(w http.ResponseWriter, r *http.Request) {
		s.serve(w, r, controller.Request{Op: op, UID: r.PathValue("id")}, admission)
	}
}

// handleWithBody returns a handler for an operation whose request has a body.
func (s *Server) handleWithBody(op controller.Op) http.HandlerFunc {
	admission := s.admissionFor(op)
	return func(w http.ResponseWriter, r *http.Request) {
		body, ok := readBody(w, r, admission.maxBodyBytes)
		if !ok {
			return
		}
		s.serve(w, r, controller.Request{Op: op, UID: r.PathValue("id"), Body: body}, admission)
	}
}

// readBody reads a request body of at most maxBytes. If it returns false, the handler must not write a response:
// readBody has responded with 400 to a body that is too large, and writes no response if the body cannot be read for
// another reason, for example because the client has disconnected.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err == nil {
		return body, true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		w.WriteHeader(http.StatusBadRequest)
	}
	return nil, false
}

// serve passes a request to the event loop and writes its reply.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, request controller.Request, admission admission) {
	if s.clientListener.usageExceeds(admission.closeAbovePercent) {
		// Closing the connection after the response frees a socket for other clients of the same listener.
		w.Header().Set("Connection", "close")
	}
	pending := newRequest(r.Context(), request, s.now().Monotonic, admission.queueWait)
	if !s.queue.add(pending) {
		s.shedding.countRejection()
		writeUnavailable(w)
		return
	}
	s.awaitReply(w, pending, admission.queueWait)
}

// awaitReply writes the reply to a queued request, or 503 if it has not been handed to the core after queueWait, or not
// been answered after replyTimeout.
func (s *Server) awaitReply(w http.ResponseWriter, pending *queuedEvent, queueWait time.Duration) {
	timeout := time.NewTimer(queueWait)
	defer timeout.Stop()
	for waited := false; ; waited = true {
		select {
		case reply := <-pending.reply:
			s.writeReply(w, reply)
			return
		case <-timeout.C:
			withdrawn := s.queue.withdraw(pending, s.now().Monotonic)
			if withdrawn {
				s.shedding.countRejection()
			}
			if withdrawn || waited {
				writeUnavailable(w)
				return
			}
			timeout.Reset(max(0, replyTimeout-queueWait))
		case <-pending.clientGone:
			s.queue.withdraw(pending, s.now().Monotonic)
			return
		}
	}
}

// writeUnavailable responds with 503 and a Retry-After header.
func writeUnavailable(w http.ResponseWriter) {
	w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// writeReply writes the controller's reply. A reply that is no longer valid is replaced by a 503 response: the process
// was paused after the decision, and another leader may have decided otherwise in the meantime.
func (s *Server) writeReply(w http.ResponseWriter, reply controller.Reply) {
	if reply.ValidUntil > 0 && s.now().Monotonic > reply.ValidUntil {
		reply = controller.Reply{Status: http.StatusServiceUnavailable, RetryAfter: retryAfterSeconds}
	}
	if reply.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(reply.RetryAfter))
	}
	if len(reply.Body) > 0 {
		w.Header().Set("Content-Type", contentTypeMessagePack)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(reply.Body)))
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body) // a failed write means that the client has disconnected
}
