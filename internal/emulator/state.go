package emulator

import (
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/btree"
	"github.com/vmihailenco/msgpack/v5"

	"claybarrow/internal/protocol"
)

// Limits of the state service that the protocol's page names.
const (
	maxPageItems           = 1_000
	maxPageBytes           = 512 << 10
	maxKeptEvents          = 10_000
	maxConditionsPerChange = 4
	maxWatchMillis         = 60_000
	leaseExpiryRetry       = 20 * time.Millisecond
	statusTooOld           = 410
	statusTooMany          = 429
	statusUnavailable      = 503
)

// Item is a stored key.
type Item struct {
	Value   []byte
	Version uint64
	Lease   uint64
}

type lease struct{ expiresAt, ttl time.Duration }

// StateLimits bound what the state service takes. Zero: no limit.
type StateLimits struct {
	ValueBytes int // of one value, as JSON
	Changes    int // in a transaction
	// RequestRate and ChangeRate are per second, with bursts of one second's worth.
	RequestRate, ChangeRate float64
}

// StateStats counts what the state service did.
type StateStats struct {
	Requests, Transactions, Changes, Bytes, TooMany, Conflicts int64
}

// StateService is a small key-value store with leases, watches and transactions.
type StateService struct {
	queue         *EventQueue
	items         btree.Map[string, *Item]
	leases        map[uint64]*lease
	revision      uint64
	lastID        uint64
	events        []protocol.Event
	watches       []*watch
	requestBudget tokenBucket
	changeBudget  tokenBucket

	// Down: nobody is served. Refuse: these clients are not.
	Down   bool
	Refuse map[int]bool
	// Malformed says which transactions are called so; nil: none.
	Malformed func(protocol.Txn) bool
	Limits    StateLimits
	// MostChanges is what the settings allow in a transaction, whatever Limits say now; more
	// is a fault of the controller. 0: not looked at.
	MostChanges int
	// Over counts the transactions that were refused for their size.
	Over  int
	Stats StateStats
	// Wrong is told of requests that no controller may send; nil: nobody is.
	Wrong func(what string)
}

// watch is an open request for news of a prefix.
type watch struct {
	client        int
	prefix        string
	afterRevision uint64
	reply         Reply
	done          bool
}

// NewStateService makes an empty store.
func NewStateService(queue *EventQueue, limits StateLimits) *StateService {
	return &StateService{queue: queue, leases: map[uint64]*lease{}, Refuse: map[int]bool{}, Limits: limits}
}

// Item is what a key holds, or nil.
func (s *StateService) Item(key string) *Item {
	it, _ := s.items.Get(key)
	return it
}

// Keys lists the keys in order.
func (s *StateService) Keys() []string { return s.items.Keys() }

// Change puts or, with nil, deletes a key as a transaction of its own.
func (s *StateService) Change(key string, it *Item) {
	s.revision++
	s.applyChange(key, it)
	s.notifyWatches()
}

// Place puts a key without a change of the revision, as if it had always been there.
func (s *StateService) Place(key string, it *Item) { s.items.Set(key, it) }

func (s *StateService) applyChange(key string, it *Item) {
	event := protocol.Event{Delete: key, Version: s.revision}
	if it == nil {
		s.items.Delete(key)
	} else {
		it.Version = s.revision
		s.items.Set(key, it)
		event = protocol.Event{Put: key, Value: it.Value, Version: s.revision}
	}
	s.events = append(s.events, event)
	if len(s.events) >= 2*maxKeptEvents {
		s.events = append([]protocol.Event(nil), s.events[len(s.events)-maxKeptEvents:]...)
	}
}

// notifyWatches answers the watches that the last changes are news for.
func (s *StateService) notifyWatches() {
	s.watches = slices.DeleteFunc(s.watches, func(open *watch) bool { return s.answerWatch(open, false) })
}

// answerWatch answers with the news, if there are any or the time is over.
func (s *StateService) answerWatch(open *watch, over bool) bool {
	if open.done || s.Down || s.Refuse[open.client] {
		return open.done
	}
	out := protocol.Events{Revision: s.revision}
	first := len(s.events)
	for first > 0 && s.events[first-1].Version > open.afterRevision {
		first--
	}
	for _, e := range s.events[first:] {
		if strings.HasPrefix(e.Put, open.prefix) && e.Put != "" || strings.HasPrefix(e.Delete, open.prefix) && e.Delete != "" {
			out.Events = append(out.Events, e)
		}
	}
	if len(out.Events) == 0 && !over {
		open.afterRevision = s.revision
		return false
	}
	open.done = true
	open.reply(200, protocol.Encode(out))
	return true
}

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

// Outage stops the service for a while; leases have their full time after it.
func (s *StateService) Outage(d time.Duration) {
	s.Down = true
	s.queue.After(d, func() {
		s.Down = false
		for _, l := range s.leases {
			l.expiresAt = s.queue.Now() + l.ttl
		}
		s.notifyWatches()
	})
}

// Serve answers one request of a client.
func (s *StateService) Serve(client int, method, target string, body []byte, reply Reply) {
	s.Stats.Requests++
	isWatch := strings.HasPrefix(target, "/follow")
	if (s.Down || s.Refuse[client]) && !isWatch {
		reply(statusUnavailable, nil)
		return
	}
	if !s.requestBudget.allow(s.queue.Now(), s.Limits.RequestRate, 1) {
		s.Stats.TooMany++
		reply(statusTooMany, nil)
		return
	}
	path, query, _ := strings.Cut(target, "?")
	values, err := url.ParseQuery(query)
	if err != nil {
		reply(400, nil)
		return
	}
	switch {
	case method == "GET" && path == "/store":
		s.list(values, reply)
	case method == "GET" && strings.HasPrefix(path, "/store/"):
		s.get(strings.TrimPrefix(path, "/store/"), reply)
	case method == "POST" && path == "/multi":
		s.transact(body, reply)
	case method == "POST" && path == "/leases":
		s.openLease(body, reply)
	case strings.HasPrefix(path, "/leases/"):
		s.changeLease(method, path, reply)
	case isWatch:
		s.openWatch(client, values, reply)
	default:
		s.reportViolation("%s %s", method, target)
		reply(400, nil)
	}
}

func (s *StateService) reportViolation(format string, args ...any) {
	if s.Wrong != nil {
		s.Wrong("state service: " + fmt.Sprintf(format, args...))
	}
}

func (s *StateService) list(values url.Values, reply Reply) {
	limit, _ := strconv.Atoi(values.Get("limit"))
	if limit <= 0 {
		limit = maxPageItems
	}
	limit = min(limit, maxPageItems)
	prefix, after := values.Get("under"), values.Get("after")
	out := protocol.Items{Revision: s.revision}
	size := 0
	s.items.Ascend(max(prefix, after), func(key string, it *Item) bool {
		if key <= after && after != "" {
			return true
		}
		if !strings.HasPrefix(key, prefix) {
			return false
		}
		size += len(key) + len(it.Value)
		if len(out.Items) == limit || size > maxPageBytes {
			out.More = true
			return false
		}
		out.Items = append(out.Items, protocol.Item{Key: key, Value: it.Value, Version: it.Version, Lease: it.Lease})
		return true
	})
	reply(200, protocol.Encode(out))
}

func (s *StateService) get(key string, reply Reply) {
	it := s.Item(key)
	if it == nil {
		reply(404, protocol.Encode(protocol.TxnReply{Revision: s.revision}))
		return
	}
	reply(200, protocol.Encode(protocol.Item{Key: key, Value: it.Value, Version: it.Version, Lease: it.Lease}))
}

func (s *StateService) openLease(body []byte, reply Reply) {
	var request protocol.LeaseRequest
	if err := protocol.Decode(body, &request); err != nil {
		s.reportViolation("a lease request can't be read: %v", err)
		reply(400, nil)
		return
	}
	s.lastID++
	id, life := s.lastID, time.Duration(request.TTLMillis)*time.Millisecond
	s.leases[id] = &lease{expiresAt: s.queue.Now() + life, ttl: life}
	s.queue.After(life, func() { s.expireLease(id) })
	reply(200, protocol.Encode(protocol.LeaseReply{Lease: id}))
}

func (s *StateService) changeLease(method, path string, reply Reply) {
	id, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(path, "/leases/"), "/extend"), 10, 64)
	l := s.leases[id]
	switch {
	case l == nil:
		reply(404, nil)
	case method == "DELETE":
		s.revokeLease(id)
		reply(200, nil)
	default:
		l.expiresAt = s.queue.Now() + l.ttl
		reply(200, nil)
	}
}

func (s *StateService) openWatch(client int, values url.Values, reply Reply) {
	after, _ := strconv.ParseUint(values.Get("after"), 10, 64)
	block, _ := strconv.Atoi(values.Get("blockMs"))
	if len(s.events) >= maxKeptEvents && after+1 < s.events[0].Version {
		reply(statusTooOld, nil)
		return
	}
	open := &watch{client: client, prefix: values.Get("under"), afterRevision: after, reply: reply}
	if s.answerWatch(open, false) {
		return
	}
	s.watches = append(s.watches, open)
	s.queue.After(time.Duration(min(block, maxWatchMillis))*time.Millisecond, func() { s.answerWatch(open, true) })
}

// transaction is a request to change keys, with values as they came.
type transaction struct {
	If   []protocol.Condition `msgpack:"if"`
	Then []struct {
		Put    string             `msgpack:"put"`
		Value  msgpack.RawMessage `msgpack:"data"`
		Lease  uint64             `msgpack:"tenure"`
		Delete string             `msgpack:"delete"`
	} `msgpack:"apply"`
}

// tooLarge says whether a transaction is over the limits.
func (s *StateService) tooLarge(t *transaction) bool {
	if s.Limits.Changes > 0 && len(t.Then) > s.Limits.Changes {
		return true
	}
	if s.Limits.ValueBytes == 0 {
		return false
	}
	for _, change := range t.Then {
		// The text is at most a few times as long as what came.
		const mostGrowth = 6
		if len(change.Value)*mostGrowth <= s.Limits.ValueBytes {
			continue
		}
		var value any
		if len(change.Value) > 0 && protocol.Decode(change.Value, &value) != nil {
			return true
		}
		if text, err := json.Marshal(value); err != nil || len(text) > s.Limits.ValueBytes {
			return true
		}
	}
	return false
}

func (s *StateService) transact(body []byte, reply Reply) {
	s.Stats.Transactions++
	s.Stats.Bytes += int64(len(body))
	var t transaction
	if err := protocol.Decode(body, &t); err != nil {
		s.reportViolation("a transaction can't be read: %v", err)
		reply(400, nil)
		return
	}
	if most := s.MostChanges; most > 0 && (len(body) > protocol.MaxBody || len(t.Then) > most || len(t.If) > maxConditionsPerChange*most) {
		s.reportViolation("a transaction over the limits: %d changes, %d conditions, %d bytes", len(t.Then), len(t.If), len(body))
	}
	if s.tooLarge(&t) {
		s.Over++
		reply(400, nil)
		return
	}
	if s.Malformed != nil {
		var whole protocol.Txn
		if protocol.Decode(body, &whole) != nil || s.Malformed(whole) {
			reply(400, nil)
			return
		}
	}
	if !s.changeBudget.allow(s.queue.Now(), s.Limits.ChangeRate, float64(len(t.Then))) {
		s.Stats.TooMany++
		reply(statusTooMany, nil)
		return
	}
	s.apply(&t, reply)
}

func (s *StateService) apply(t *transaction, reply Reply) {
	var failed []string
	for _, condition := range t.If {
		have := uint64(0)
		if it := s.Item(condition.Key); it != nil {
			have = it.Version
		}
		if have != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		s.Stats.Conflicts++
		reply(409, protocol.Encode(protocol.TxnReply{Revision: s.revision, Failed: failed}))
		return
	}
	for _, change := range t.Then {
		if change.Lease != 0 && s.leases[change.Lease] == nil {
			reply(400, nil)
			return
		}
	}
	s.revision++
	s.Stats.Changes += int64(len(t.Then))
	for _, change := range t.Then {
		if change.Delete != "" {
			if s.Item(change.Delete) != nil {
				s.applyChange(change.Delete, nil)
			}
			continue
		}
		s.applyChange(change.Put, &Item{Value: change.Value, Lease: change.Lease})
	}
	reply(200, protocol.Encode(protocol.TxnReply{Revision: s.revision}))
	s.notifyWatches()
}

// tokenBucket is a budget of so many a second, with a burst of one second's worth.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
	started    bool
}

// allow says whether there is room for n more; a rate of 0 has no bound.
func (b *tokenBucket) allow(now time.Duration, perSecond, n float64) bool {
	if perSecond <= 0 {
		return true
	}
	return b.allowBurst(now, perSecond, perSecond, n)
}

// allowBurst is take with a burst of its own.
func (b *tokenBucket) allowBurst(now time.Duration, perSecond, burst, n float64) bool {
	if !b.started {
		b.started, b.tokens = true, burst
	}
	b.tokens = min(burst, b.tokens+perSecond*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}
