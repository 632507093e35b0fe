package emulator

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"claybarrow/internal/protocol"
)

// lease is a lease held by a client. The keys that are attached to it are deleted when it expires.
type lease struct{ expiresAt, ttl time.Duration }

// leaseExpiryRetry is the shortest wait before the expiry of a lease is checked again. It applies to a lease whose time
// has run out while the service is down: leases expire only while the service is up.
const leaseExpiryRetry = 20 * time.Millisecond

// openLease grants a lease with the TTL that the client requests.
func (s *StateService) openLease(body []byte, reply Reply) {
	var request protocol.LeaseRequest
	if err := protocol.Decode(body, &request); err != nil {
		s.reportViolation("lease request cannot be decoded: %v", err)
		reply(http.StatusBadRequest, nil)
		return
	}
	s.lastLeaseID++
	id, ttl := s.lastLeaseID, time.Duration(request.TTLMillis)*time.Millisecond
	s.leases[id] = &lease{expiresAt: s.queue.Now() + ttl, ttl: ttl}
	s.queue.After(ttl, func() { s.expireLease(id) })
	reply(http.StatusOK, protocol.Encode(protocol.LeaseReply{Lease: id}))
}

// changeLease renews a lease, or revokes it on DELETE.
func (s *StateService) changeLease(method, path string, reply Reply) {
	id, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(path, "/leases/"), "/extend"), 10, 64)
	l := s.leases[id] // an ID that cannot be parsed yields 0, which is no lease's ID
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

// expireLease revokes a lease that has expired, or else schedules the next check.
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

// revokeLease ends a lease and deletes the keys that are attached to it, each in a separate revision.
func (s *StateService) revokeLease(id uint64) {
	delete(s.leases, id)
	var attached []string
	s.items.Scan(func(key string, item *Item) bool {
		if item.Lease == id {
			attached = append(attached, key)
		}
		return true
	})
	for _, key := range attached {
		s.ForceChange(key, nil)
	}
}
