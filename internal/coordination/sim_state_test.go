package coordination

import (
	"encoding/json"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"claybarrow/internal/protocol"
)

// --- state service

type simItem struct {
	value   []byte
	version uint64
	lease   uint64
}

type simLease struct{ ends, ttl time.Duration }

type simState struct {
	w        *world
	items    map[string]*simItem
	leases   map[uint64]*simLease
	revision uint64
	lastID   uint64
	events   []protocol.Event
	watches  []func() bool
	down     bool
	refuse   map[int]bool
	// malformed says which transactions are called so; nil: none.
	malformed func(protocol.Txn) bool
	// limits are what it takes; over counts the transactions that it refused for them.
	limits stateLimits
	over   int
}

// stateLimits bound a value's bytes, as JSON, and a transaction's changes.
type stateLimits struct{ valueBytes, changes int }

// allows says whether a transaction is within the limits.
func (l stateLimits) allows(t protocol.Txn) bool {
	for _, ch := range t.Then {
		if text, err := json.Marshal(ch.Value); err != nil || len(text) > l.valueBytes {
			return false
		}
	}
	return len(t.Then) <= l.changes
}

func (s *simState) change(key string, it *simItem) {
	s.revision++
	s.set(key, it)
	s.wake()
}

func (s *simState) set(key string, it *simItem) {
	if it == nil {
		delete(s.items, key)
		s.events = append(s.events, protocol.Event{Delete: key, Version: s.revision})
		return
	}
	it.version = s.revision
	s.items[key] = it
	s.events = append(s.events, protocol.Event{Put: key, Value: it.value, Version: s.revision})
}

func (s *simState) wake() {
	s.watches = slices.DeleteFunc(s.watches, func(f func() bool) bool { return f() })
}

func (s *simState) expire(id uint64) {
	l := s.leases[id]
	if l == nil {
		return
	}
	if s.down || s.w.now < l.ends {
		s.w.at(max(l.ends-s.w.now, 20*time.Millisecond), func() { s.expire(id) })
		return
	}
	s.end(id)
}

func (s *simState) end(id uint64) {
	delete(s.leases, id)
	for _, k := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[k].lease == id {
			s.change(k, nil)
		}
	}
}

// outage stops the service for a while; leases have their full time after it.
func (s *simState) outage(d time.Duration) {
	s.down = true
	s.w.at(d, func() {
		s.down = false
		for _, l := range s.leases {
			l.ends = s.w.now + l.ttl
		}
	})
}

func (s *simState) serve(node int, c Call, reply func(int, []byte)) {
	watch := strings.HasPrefix(c.Path, "/follow")
	if (s.down || s.refuse[node]) && !watch {
		reply(503, nil)
		return
	}
	path, query, _ := strings.Cut(c.Path, "?")
	q, _ := url.ParseQuery(query)
	switch {
	case c.Method == "GET" && path == "/store":
		limit, _ := strconv.Atoi(q.Get("limit"))
		out := protocol.Items{Revision: s.revision}
		for _, k := range slices.Sorted(maps.Keys(s.items)) {
			if !strings.HasPrefix(k, q.Get("under")) || k <= q.Get("after") {
				continue
			}
			if len(out.Items) == limit {
				out.More = true
				break
			}
			it := s.items[k]
			out.Items = append(out.Items, protocol.Item{Key: k, Value: it.value, Version: it.version, Lease: it.lease})
		}
		reply(200, protocol.Encode(out))
	case c.Method == "GET" && strings.HasPrefix(path, "/store/"):
		key := strings.TrimPrefix(path, "/store/")
		it := s.items[key]
		if it == nil {
			reply(404, protocol.Encode(map[string]any{"ledger": s.revision}))
			return
		}
		reply(200, protocol.Encode(protocol.Item{Key: key, Value: it.value, Version: it.version, Lease: it.lease}))
	case path == "/multi":
		s.txn(c, reply)
	case path == "/leases":
		var req protocol.LeaseRequest
		s.decode(c, &req)
		s.lastID++
		id, ttl := s.lastID, time.Duration(req.TTLMillis)*time.Millisecond
		s.leases[id] = &simLease{ends: s.w.now + ttl, ttl: ttl}
		s.w.at(ttl, func() { s.expire(id) })
		reply(200, protocol.Encode(protocol.LeaseReply{Lease: id}))
	case strings.HasPrefix(path, "/leases/"):
		id, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(path, "/leases/"), "/extend"), 10, 64)
		l := s.leases[id]
		switch {
		case l == nil:
			reply(404, nil)
		case c.Method == "DELETE":
			s.end(id)
			reply(200, nil)
		default:
			l.ends = s.w.now + l.ttl
			reply(200, nil)
		}
	case watch:
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		block, _ := strconv.Atoi(q.Get("blockMs"))
		done := false
		look := func(over bool) bool {
			if done || s.down || s.refuse[node] {
				return done
			}
			out := protocol.Events{Revision: s.revision}
			for _, e := range s.events {
				if e.Version > after && (strings.HasPrefix(e.Put, q.Get("under")) && e.Put != "" || strings.HasPrefix(e.Delete, q.Get("under")) && e.Delete != "") {
					out.Events = append(out.Events, e)
				}
			}
			if len(out.Events) > 0 || over {
				done = true
				reply(200, protocol.Encode(out))
			}
			return done
		}
		if !look(false) {
			s.watches = append(s.watches, func() bool { return look(false) })
			s.w.at(time.Duration(block)*time.Millisecond, func() { look(true) })
		}
	default:
		s.w.breaks("state service: %s %s", c.Method, c.Path)
	}
}

func (s *simState) decode(c Call, v any) {
	if err := protocol.Decode(c.Body, v); err != nil {
		s.w.breaks("%s can't be read: %v", c.Path, err)
	}
}

func (s *simState) txn(c Call, reply func(int, []byte)) {
	var t protocol.Txn
	s.decode(c, &t)
	if len(t.Then) > 32 || len(t.If) > 128 || len(c.Body) > protocol.MaxBody {
		s.w.breaks("a transaction over the limits: %d changes, %d conditions", len(t.Then), len(t.If))
	}
	if !s.limits.allows(t) {
		s.over++
		reply(400, nil)
		return
	}
	if s.malformed != nil && s.malformed(t) {
		reply(400, nil)
		return
	}
	var failed []string
	for _, cond := range t.If {
		have := uint64(0)
		if it := s.items[cond.Key]; it != nil {
			have = it.version
		}
		if have != cond.Version {
			failed = append(failed, cond.Key)
		}
	}
	if len(failed) > 0 {
		reply(409, protocol.Encode(protocol.TxnReply{Revision: s.revision, Failed: failed}))
		return
	}
	for _, ch := range t.Then {
		if ch.Lease != 0 && s.leases[ch.Lease] == nil {
			reply(400, nil)
			return
		}
	}
	s.revision++
	for _, ch := range t.Then {
		if ch.Delete != "" {
			if s.items[ch.Delete] != nil {
				s.set(ch.Delete, nil)
			}
			continue
		}
		s.set(ch.Put, &simItem{value: protocol.Encode(ch.Value), lease: ch.Lease})
	}
	reply(200, protocol.Encode(protocol.TxnReply{Revision: s.revision}))
	s.wake()
}
