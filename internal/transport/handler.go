package transport

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"claybarrow/internal/controller"
)

// retryAfterSeconds is what a request that could not be answered is told to wait before the next.
const retryAfterSeconds = 1

// pendingRequest is a request that waits for the event loop.
type pendingRequest struct {
	request controller.Request
	// reply has room for the one reply, so that the event loop never waits for a handler.
	reply chan controller.Reply
}

// handle serves an operation without a body.
func (s *Server) handle(op controller.Op) http.HandlerFunc {
	admission := s.admissionOf(op)
	return func(w http.ResponseWriter, r *http.Request) {
		s.serve(w, r, controller.Request{Op: op, UID: r.PathValue("id")}, admission)
	}
}

// handleWithBody serves an operation whose request has a body.
func (s *Server) handleWithBody(op controller.Op) http.HandlerFunc {
	admission := s.admissionOf(op)
	return func(w http.ResponseWriter, r *http.Request) {
		body, ok := readBody(w, r, admission.maxBodyBytes)
		if !ok {
			return
		}
		s.serve(w, r, controller.Request{Op: op, UID: r.PathValue("id"), Body: body}, admission)
	}
}

// readBody reads a body of limited size. If it returns false, the request has been answered as far
// as it can be: with 400 if the body is too large, and with nothing if the sender has gone.
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
	if s.clientListener.usedAbove(admission.closeAbovePercent) {
		// Room for others that come by the same listener.
		w.Header().Set("Connection", "close")
	}
	timeout := time.NewTimer(replyTimeout)
	defer timeout.Stop()
	pending := pendingRequest{request: request, reply: make(chan controller.Reply, 1)}
	select {
	case admission.queue <- pending:
	default:
		// The queue is bounded: what exceeds it is refused at once.
		s.shedding.countRejection()
		writeUnavailable(w)
		return
	}
	select {
	case reply := <-pending.reply:
		s.writeReply(w, reply)
	case <-timeout.C:
		writeUnavailable(w)
	case <-r.Context().Done():
	}
}

// writeUnavailable answers 503 with the time of the next attempt.
func writeUnavailable(w http.ResponseWriter) {
	w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// writeReply writes the controller's reply. One that is no longer valid is replaced by 503: the
// process was paused since the decision, and another leader may have decided otherwise.
func (s *Server) writeReply(w http.ResponseWriter, reply controller.Reply) {
	if reply.ValidUntil > 0 && s.now().Steady > reply.ValidUntil {
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
	_, _ = w.Write(reply.Body) // fails if the other side has gone: nobody is left to be told
}
