package main

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// stateService is a stand-in of the state service, as PROTOCOL-claybarrow.md describes it. Each controller has a
// listener of its own, so that the service can tell the controllers apart.
type stateService struct {
	limits stateLimits
	record *recorder

	mu       sync.Mutex
	changed  chan struct{} // closed at the next change
	ledger   uint64
	items    map[string]*item
	leases   map[uint64]*lease
	lastID   uint64
	events   []event
	requests bucket
	changes  bucket
}

type stateLimits struct {
	rps, writeRPS float64
	valueKB       float64
	txnOps        int
}

type item struct {
	data   msgpack.RawMessage
	stamp  uint64
	tenure uint64
}

type lease struct {
	life time.Duration
	ends time.Time
}

// event is a change. data is nil if the key was deleted.
type event struct {
	key   string
	data  msgpack.RawMessage
	stamp uint64
}

// keptEvents is how many changes a watch can go back.
const keptEvents = 10_000

// bucket is a token bucket that holds one second's worth.
type bucket struct {
	tokens float64
	at     time.Time
}

func (b *bucket) take(rate, n float64) bool {
	now := time.Now()
	if b.at.IsZero() {
		b.tokens = rate
	} else {
		b.tokens = min(rate, b.tokens+now.Sub(b.at).Seconds()*rate)
	}
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

func newStateService(limits stateLimits, record *recorder) *stateService {
	s := &stateService{limits: limits, record: record, changed: make(chan struct{}), items: map[string]*item{},
		leases: map[uint64]*lease{}}
	go func() {
		for {
			time.Sleep(10 * time.Millisecond)
			s.mu.Lock()
			s.endLeases()
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *stateService) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// endLeases removes the leases that have ended, with their keys.
func (s *stateService) endLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *stateService) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, found := range s.items {
		if found.tenure == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.ledger++
	slices.Sort(keys)
	for _, key := range keys {
		s.change(key, nil, 0)
	}
	s.record.printf("state: lease %d ended, deleted %s", id, strings.Join(keys, " "))
	s.wake()
}

// change puts a key, or deletes it if data is nil, at the present revision.
func (s *stateService) change(key string, data msgpack.RawMessage, tenure uint64) {
	if data == nil {
		delete(s.items, key)
	} else {
		s.items[key] = &item{data: data, stamp: s.ledger, tenure: tenure}
	}
	s.events = append(s.events, event{key: key, data: data, stamp: s.ledger})
	if len(s.events) > 2*keptEvents {
		s.events = append([]event(nil), s.events[len(s.events)-keptEvents:]...)
	}
}

// handler serves a controller.
func (s *stateService) handler(node int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, ok := readAll(w, r)
		if !ok {
			return
		}
		time.Sleep(2 * time.Millisecond)
		if r.URL.Path == "/follow" {
			s.follow(w, r)
			return
		}
		status, answer := s.serve(node, r, body)
		reply(w, status, answer)
	})
}

func (s *stateService) serve(node int, r *http.Request, body []byte) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLeases()
	if !s.requests.take(s.limits.rps, 1) {
		return http.StatusTooManyRequests, nil
	}
	switch path := r.URL.Path; {
	case path == "/store" && r.Method == http.MethodGet:
		return s.list(r)
	case strings.HasPrefix(path, "/store/") && r.Method == http.MethodGet:
		key := strings.TrimPrefix(path, "/store/")
		found := s.items[key]
		if found == nil {
			return http.StatusNotFound, map[string]any{"ledger": s.ledger}
		}
		return http.StatusOK, wireItem(key, found)
	case path == "/multi" && r.Method == http.MethodPost:
		return s.multi(node, body)
	case strings.HasPrefix(path, "/leases"):
		return s.serveLease(r, body)
	}
	return http.StatusBadRequest, nil
}

func wireItem(key string, found *item) map[string]any {
	return map[string]any{"k": key, "data": found.data, "stamp": found.stamp, "tenure": found.tenure}
}

func (s *stateService) list(r *http.Request) (int, any) {
	query := r.URL.Query()
	prefix, after := query.Get("under"), query.Get("after")
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 || limit > 1000 {
		limit = 1000
	}
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, key := range keys {
		size += len(key) + len(s.items[key].data) + 32
		if len(items) == limit || size > 500<<10 {
			more = true
			break
		}
		items = append(items, wireItem(key, s.items[key]))
	}
	return http.StatusOK, map[string]any{"items": items, "more": more, "ledger": s.ledger}
}

type condition struct {
	Key   string `msgpack:"k"`
	Stamp uint64 `msgpack:"stamp"`
}

type change struct {
	Put    string             `msgpack:"put"`
	Data   msgpack.RawMessage `msgpack:"data"`
	Tenure uint64             `msgpack:"tenure"`
	Delete string             `msgpack:"delete"`
}

type transaction struct {
	If    []condition `msgpack:"if"`
	Apply []change    `msgpack:"apply"`
}

func (s *stateService) multi(node int, body []byte) (int, any) {
	var t transaction
	if msgpack.Unmarshal(body, &t) != nil || s.tooLarge(&t, len(body)) {
		return http.StatusBadRequest, nil
	}
	if !s.changes.take(s.limits.writeRPS, float64(len(t.Apply))) {
		return http.StatusTooManyRequests, nil
	}
	for _, c := range t.Apply {
		if c.Put != "" && c.Tenure != 0 && s.leases[c.Tenure] == nil {
			return http.StatusBadRequest, map[string]any{"error": "no such lease"}
		}
	}
	if failed := s.failed(&t); len(failed) > 0 {
		return http.StatusConflict, map[string]any{"failed": failed, "ledger": s.ledger}
	}
	if len(t.Apply) == 0 {
		return http.StatusOK, map[string]any{"ledger": s.ledger}
	}
	s.ledger++
	var puts []string
	for _, c := range t.Apply {
		if c.Delete != "" {
			if s.items[c.Delete] != nil {
				s.change(c.Delete, nil, 0)
			}
			puts = append(puts, "-"+c.Delete)
			continue
		}
		s.change(c.Put, c.Data, c.Tenure)
		puts = append(puts, c.Put)
	}
	s.record.printf("state: node %d applied %s at %d", node, strings.Join(puts, " "), s.ledger)
	s.wake()
	return http.StatusOK, map[string]any{"ledger": s.ledger}
}

func (s *stateService) serveLease(r *http.Request, body []byte) (int, any) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/leases"), "/")
	if len(parts) == 1 && r.Method == http.MethodPost {
		var request struct {
			LifeMS int64 `msgpack:"lifeMs"`
		}
		if msgpack.Unmarshal(body, &request) != nil || request.LifeMS < 100 || request.LifeMS > 600_000 {
			return http.StatusBadRequest, nil
		}
		s.lastID++
		life := time.Duration(request.LifeMS) * time.Millisecond
		s.leases[s.lastID] = &lease{life: life, ends: time.Now().Add(life)}
		return http.StatusOK, map[string]any{"tenure": s.lastID}
	}
	id, err := strconv.ParseUint(parts[1], 10, 64)
	l := s.leases[id]
	if err != nil || l == nil {
		return http.StatusNotFound, nil
	}
	if r.Method == http.MethodDelete {
		s.endLease(id)
		return http.StatusOK, nil
	}
	l.ends = time.Now().Add(l.life)
	return http.StatusOK, nil
}

// follow answers a watch.
func (s *stateService) follow(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("under")
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	block, _ := strconv.Atoi(query.Get("blockMs"))
	timeout := time.NewTimer(time.Duration(min(block, 60_000)) * time.Millisecond)
	defer timeout.Stop()
	s.mu.Lock()
	if !s.requests.take(s.limits.rps, 1) {
		s.mu.Unlock()
		reply(w, http.StatusTooManyRequests, nil)
		return
	}
	over := false
	for {
		news, tooOld := s.newsAfter(prefix, after)
		if tooOld || len(news) > 0 || over {
			ledger := s.ledger
			s.mu.Unlock()
			if tooOld {
				reply(w, http.StatusGone, nil)
				return
			}
			reply(w, http.StatusOK, map[string]any{"ledger": ledger, "news": news})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			over = true
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
}

func (s *stateService) newsAfter(prefix string, after uint64) (news []map[string]any, tooOld bool) {
	news = []map[string]any{}
	if len(s.events) >= keptEvents && s.events[0].stamp > after+1 {
		return nil, true
	}
	for _, e := range s.events {
		if e.stamp <= after || !strings.HasPrefix(e.key, prefix) {
			continue
		}
		if e.data == nil {
			news = append(news, map[string]any{"delete": e.key, "stamp": e.stamp})
		} else {
			news = append(news, map[string]any{"put": e.key, "data": e.data, "stamp": e.stamp})
		}
	}
	return news, false
}

// tooLarge reports whether a transaction exceeds the limits.
func (s *stateService) tooLarge(t *transaction, bytes int) bool {
	return len(t.Apply) > s.limits.txnOps || len(t.If) > 4*s.limits.txnOps || bytes > 64<<10 ||
		slices.ContainsFunc(t.Apply, func(c change) bool { return float64(len(c.Data)) > s.limits.valueKB*1024 })
}

// failed returns the keys whose versions differ from the conditions.
func (s *stateService) failed(t *transaction) (keys []string) {
	for _, c := range t.If {
		stamp := uint64(0)
		if found := s.items[c.Key]; found != nil {
			stamp = found.stamp
		}
		if stamp != c.Stamp {
			keys = append(keys, c.Key)
		}
	}
	return keys
}

// setLimits changes the limits, without notice.
func (s *stateService) setLimits(limits stateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	s.record.printf("state: the limits are now %+v", limits)
}
