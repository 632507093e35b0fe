package emulator

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/btree"

	"claybarrow/internal/protocol"
)

// Limits that the protocol documentation sets for the state service.
const (
	maxItemsPerPage        = 1_000
	maxBytesPerPage        = 512 << 10
	maxRetainedEvents      = 10_000 // number of latest events that watches can read
	maxConditionsPerChange = 4
	maxWatchMillis         = 60_000
)

// Item is the value of a key, with the revision of its last change and the lease that it is attached to (0: none).
type Item struct {
	Value   []byte
	Version uint64
	Lease   uint64
}

// StateLimits holds the limits of the state service. A zero field means no limit.
type StateLimits struct {
	ValueBytes int // size of one value, encoded as JSON
	Changes    int // number of changes in a transaction
	// RequestRate and ChangeRate are per second; a burst may use one second's quota at once.
	RequestRate, ChangeRate float64
}

// StateStats counts the work of the state service. Bytes is the total size of the transactions' bodies, RateLimited
// counts the requests that exceeded a rate limit, and Conflicts the transactions whose conditions did not hold.
type StateStats struct {
	Requests, Transactions, Changes, Bytes, RateLimited, Conflicts int64
}

// StateService is a small key-value store with leases, watches and transactions.
type StateService struct {
	queue         *EventQueue
	items         btree.Map[string, *Item]
	leases        map[uint64]*lease
	revision      uint64
	lastLeaseID   uint64
	events        []protocol.WatchEvent
	watches       []*watch
	requestBudget tokenBucket
	changeBudget  tokenBucket

	// Injected faults: Down makes the service unavailable to all clients, RefusedClients to the clients in it.
	Down           bool
	RefusedClients map[int]bool
	// RefuseAsMalformed reports whether a transaction is refused as malformed (an injected fault); nil: none is.
	RefuseAsMalformed func(protocol.Transaction) bool
	Limits            StateLimits
	// MaxChanges is the number of changes that the settings allow in a transaction, independent of the current Limits.
	// A transaction with more changes violates the protocol. 0: not checked.
	MaxChanges int
	// TooLargeTransactions counts the transactions that were refused because they exceeded Limits.
	TooLargeTransactions int
	Stats                StateStats
	// OnViolation is called for each request that violates the protocol; nil: not called.
	OnViolation func(description string)
}

// NewStateService returns an empty store.
func NewStateService(queue *EventQueue, limits StateLimits) *StateService {
	return &StateService{queue: queue, leases: map[uint64]*lease{}, RefusedClients: map[int]bool{}, Limits: limits}
}

// Item returns the item of a key, or nil if the key does not exist.
func (s *StateService) Item(key string) *Item {
	item, _ := s.items.Get(key)
	return item
}

// Keys returns the keys in order.
func (s *StateService) Keys() []string { return s.items.Keys() }

// ForceChange puts a key, or deletes it if the item is nil, in a separate revision and without any checks.
func (s *StateService) ForceChange(key string, item *Item) {
	s.revision++
	s.applyChange(key, item)
	s.notifyWatches()
}

// Preset puts a key without a new revision and without an event, as part of the initial contents of the store.
func (s *StateService) Preset(key string, item *Item) { s.items.Set(key, item) }

// applyChange puts or deletes a key in the current revision, and retains the event for watches.
func (s *StateService) applyChange(key string, item *Item) {
	event := protocol.WatchEvent{Delete: key, Version: s.revision}
	if item == nil {
		s.items.Delete(key)
	} else {
		item.Version = s.revision
		s.items.Set(key, item)
		event = protocol.WatchEvent{Put: key, Value: item.Value, Version: s.revision}
	}
	s.events = append(s.events, event)
	if len(s.events) >= 2*maxRetainedEvents {
		s.events = append([]protocol.WatchEvent(nil), s.events[len(s.events)-maxRetainedEvents:]...)
	}
}

// InjectOutage makes the service unavailable for a duration. All leases are renewed at the end of the outage.
func (s *StateService) InjectOutage(duration time.Duration) {
	s.Down = true
	s.queue.After(duration, func() {
		s.Down = false
		for _, l := range s.leases {
			l.expiresAt = s.queue.Now() + l.ttl
		}
		s.notifyWatches()
	})
}

// Serve handles one request of a client. The client's number is its key in RefusedClients.
func (s *StateService) Serve(client int, method, target string, body []byte, reply Reply) {
	s.Stats.Requests++
	// While the service is unavailable, watches stay open without a response.
	if isWatch := strings.HasPrefix(target, watchPath); !isWatch && (s.Down || s.RefusedClients[client]) {
		reply(statusUnavailable, nil)
		return
	}
	if !s.requestBudget.allow(s.queue.Now(), s.Limits.RequestRate, 1) {
		s.Stats.RateLimited++
		reply(statusTooMany, nil)
		return
	}
	path, query, _ := strings.Cut(target, "?")
	values, err := url.ParseQuery(query)
	if err != nil {
		reply(http.StatusBadRequest, nil)
		return
	}
	if !s.serveLease(method, path, body, reply) && !s.serveKeys(client, method, path, values, body, reply) {
		s.reportViolation("%s %s", method, target)
		reply(http.StatusBadRequest, nil)
	}
}

// watchPath is the path prefix of watch requests.
const watchPath = "/follow"

// serveKeys handles reads, watches and transactions; false: the request is of another kind.
func (s *StateService) serveKeys(client int, method, path string, values url.Values, body []byte, reply Reply) bool {
	switch {
	case method == http.MethodGet && path == "/store":
		s.list(values, reply)
	case method == http.MethodGet && strings.HasPrefix(path, "/store/"):
		s.get(strings.TrimPrefix(path, "/store/"), reply)
	case method == http.MethodPost && path == "/multi":
		s.transact(body, reply)
	case strings.HasPrefix(path, watchPath):
		s.openWatch(client, values, reply)
	default:
		return false
	}
	return true
}

// serveLease handles requests to open, renew or revoke a lease; false: the request is of another kind.
func (s *StateService) serveLease(method, path string, body []byte, reply Reply) bool {
	switch {
	case method == http.MethodPost && path == "/leases":
		s.openLease(body, reply)
	case strings.HasPrefix(path, "/leases/"):
		s.changeLease(method, path, reply)
	default:
		return false
	}
	return true
}

// reportViolation passes a request that violates the protocol to OnViolation.
func (s *StateService) reportViolation(format string, args ...any) {
	if s.OnViolation != nil {
		s.OnViolation("state service: " + fmt.Sprintf(format, args...))
	}
}

// list replies with one page of the keys under a prefix, with their values.
func (s *StateService) list(values url.Values, reply Reply) {
	limit, _ := strconv.Atoi(values.Get("limit")) // absent: 0
	if limit <= 0 {
		limit = maxItemsPerPage
	}
	limit = min(limit, maxItemsPerPage)
	prefix, after := values.Get("under"), values.Get("after")
	page := protocol.KeyValuePage{Revision: s.revision}
	pageBytes := 0
	s.items.Ascend(max(prefix, after), func(key string, item *Item) bool {
		if key <= after && after != "" {
			return true
		}
		if !strings.HasPrefix(key, prefix) {
			return false
		}
		pageBytes += len(key) + len(item.Value)
		if len(page.Items) == limit || pageBytes > maxBytesPerPage {
			page.More = true
			return false
		}
		page.Items = append(page.Items, protocol.KeyValue{Key: key, Value: item.Value, Version: item.Version, Lease: item.Lease})
		return true
	})
	reply(http.StatusOK, protocol.Encode(page))
}

// get replies with the value of one key.
func (s *StateService) get(key string, reply Reply) {
	item := s.Item(key)
	if item == nil {
		reply(http.StatusNotFound, protocol.Encode(protocol.TransactionReply{Revision: s.revision}))
		return
	}
	reply(http.StatusOK, protocol.Encode(protocol.KeyValue{Key: key, Value: item.Value, Version: item.Version, Lease: item.Lease}))
}
