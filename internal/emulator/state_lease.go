package emulator

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"claybarrow/internal/protocol"
)

// lease is a lease of a client: the keys that are attached to it are deleted when it expires.
type lease struct{ expiresAt, ttl time.Duration }

// leaseExpiryRetry is how soon a lease is looked at again that was due to expire while the service was
// down: it expires only once the service is up.
const leaseExpiryRetry = 20 * time.Millisecond

// openLease grants a lease for the time that the client asks for.
func (s *StateService) openLease(body []byte, reply Reply) {
	var request protocol.LeaseRequest
	if err := protocol.Decode(body, &request); err != nil {
		s.reportViolation("a lease request can't be read: %v", err)
		reply(http.StatusBadRequest, nil)
		return
	}
	s.lastID++
	id, ttl := s.lastID, time.Duration(request.TTLMillis)*time.Millisecond
	s.leases[id] = &lease{expiresAt: s.queue.Now() + ttl, ttl: ttl}
	s.queue.After(ttl, func() { s.expireLease(id) })
	reply(http.StatusOK, protocol.Encode(protocol.LeaseReply{Lease: id}))
}

// changeLease renews a lease, or revokes it on DELETE.
func (s *StateService) changeLease(method, path string, reply Reply) {
	id, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(path, "/leases/"), "/extend"), 10, 64)
	l := s.leases[id] // an id that can't be parsed is 0, which no lease has
	switch {
	case l == nil:
		reply(http.StatusNotFound, nil)
	case method == http.MethodDelete:
		s.revokeLease(id)
		reply(http.StatusOK, nil)
	default:
		l.expiresAt = s.queue.Now() + l.ttl
		reply(http.StatusOK, nil)
	}
}

// expireLease revokes a lease whose time is over, or looks again when it will be.
func (s *StateService) expireLease(id uint64) {
	l := s.leases[id]
	if l == nil {
		return
	}
	if now := s.queue.Now(); s.Down || now < l.expiresAt {
		s.queue.After(max(l.expiresAt-now, leaseExpiryRetry), func() { s.expireLease(id) })
		return
	}
	s.revokeLease(id)
}

// revokeLease ends a lease and deletes the keys that are attached to it, each as a change of its own.
func (s *StateService) revokeLease(id uint64) {
	delete(s.leases, id)
	var attached []string
	s.items.Scan(func(key string, it *Item) bool {
		if it.Lease == id {
			attached = append(attached, key)
		}
		return true
	})
	for _, key := range attached {
		s.Change(key, nil)
	}
}
