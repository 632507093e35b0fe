package coordination

import (
	"container/heap"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"claybarrow/internal/config"
	"claybarrow/internal/protocol"
)

// The stand-ins of this file play the state service, the cloud, the workers
// and the network after the protocol's page, on a fake clock. A script breaks
// what it likes; the world checks the rules as it goes.

const (
	tick    = 100 * time.Millisecond
	latency = 2 * time.Millisecond
)

type happening struct {
	at  time.Duration
	seq int
	do  func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

// fate is what the script lets happen to one call: the request is held back
// for a while or lost, and so is the response.
type fate struct {
	lost, answerLost bool
	hold             time.Duration
}

type world struct {
	t       *testing.T
	now     time.Duration
	seq     int
	agenda  agenda
	rng     *rand.Rand
	cfgs    []*config.Config
	nodes   []*simNode
	state   *simState
	cloud   *simCloud
	workers map[string]*simWorker
	specs   map[string]map[string]any
	told    map[string]string        // what users were told last
	stopped map[string]time.Duration // when users were told of a cancellation
	broken  []string
	checker
	// script decides the fate of a call from a node; nil: all goes well.
	script func(node int, c Call) fate
	// reports decides whether a worker's report and its answer get through.
	reports func(w *simWorker, node int) fate
	runs    func(task string) time.Duration
	// pulls is how long a task waits for its image; nil: a moment.
	pulls func(task string) time.Duration
	// off are the addresses that take no connections.
	off map[string]bool
}

type simNode struct {
	core  *Core
	alive bool
	life  int
	born  time.Duration // the steady clock of a process starts with it
	last  uint64
	wants map[uint64]func(Reply)
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), workers: map[string]*simWorker{}, specs: map[string]map[string]any{},
		told: map[string]string{}, stopped: map[string]time.Duration{}, checker: newChecker(),
		runs: func(string) time.Duration { return 30 * time.Second }}
	w.state = &simState{w: w, items: map[string]*simItem{}, leases: map[uint64]*simLease{}, refuse: map[int]bool{}}
	w.cloud = &simCloud{w: w, answers: map[string][]string{}}
	for i := range 3 {
		w.cfgs = append(w.cfgs, testConfig(t, i))
		w.nodes = append(w.nodes, &simNode{})
		w.boot(i)
	}
	w.watch()
	return w
}

// nodeZone puts the last controller into the second zone.
func nodeZone(i int) string { return []string{"a", "a", "b"}[i] }

func testConfig(t *testing.T, i int) *config.Config {
	t.Helper()
	var peers []string
	for k := range 3 {
		if k != i {
			peers = append(peers, fmt.Sprintf(`{"label":"n%d","zone":%q,"peer_addr":"10.0.0.%d:1"}`, k, nodeZone(k), k))
		}
	}
	cfg, err := config.Parse([]byte(fmt.Sprintf(`{"label":"n%d","zone":%q,"client_listen":"10.0.0.%d:2","peer_listen":"10.0.0.%d:1",
	"siblings":[%s],"services":{"cloud":"10.9.0.1:1","state":"10.9.0.2:1"},
	"cluster":{"teams":[{"name":"red","cpus":16,"cpus_max":32},{"name":"blue","cpus":8,"cpus_max":16}],
	"objectives":[{"kind":"wait","class":"web","within_s":5,"share":0.9}],
	"workers":{"report_s":1,"lease_s":10,"cancel_s":35,"gang_wait_s":30,"gang_peer_s":5},"state":{"rps":150,"write_rps":50,"value_kb":16,"txn_ops":32},
	"cloud":{"rps":8,"list_lag_s":5},"resources":{"cores":0.2,"mem_mb":98,"fd_limit":600}}}`, i, nodeZone(i), i, i, strings.Join(peers, ","))), nil)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func (w *world) at(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.agenda, happening{w.now + max(d, 0), w.seq, do})
}

func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.agenda) > 0 && w.agenda[0].at <= end {
		h := heap.Pop(&w.agenda).(happening)
		w.now = h.at
		h.do()
	}
	w.now = end
}

// until runs until something holds.
func (w *world) until(limit time.Duration, what string, holds func() bool) {
	w.t.Helper()
	end := w.now + limit
	for !holds() {
		if w.now >= end {
			w.t.Fatalf("after %v: still not: %s", limit, what)
		}
		w.run(tick)
	}
}

func (w *world) breaks(format string, args ...any) {
	if len(w.broken) < 20 {
		w.broken = append(w.broken, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
	}
}

func (w *world) keptRules() {
	w.t.Helper()
	for _, b := range w.broken {
		w.t.Error(b)
	}
}

// --- controllers

func (w *world) boot(i int) {
	n := w.nodes[i]
	n.alive, n.life, n.born = true, n.life+1, w.now
	life := n.life
	n.wants = map[uint64]func(Reply){}
	var sink io.Writer = io.Discard
	if os.Getenv("CLAYBARROW_TEST_LOG") != "" {
		sink = os.Stderr
	}
	log := slog.New(slog.NewTextHandler(sink, &slog.HandlerOptions{Level: slog.LevelDebug})).With("node", i)
	n.core = New(w.cfgs[i], rand.New(rand.NewPCG(w.rng.Uint64(), 2)), log)
	var beat func()
	beat = func() {
		if n.alive && n.life == life {
			w.feed(i, Tick{})
			w.at(tick, beat)
		}
	}
	w.at(time.Duration(i)*time.Millisecond, beat)
}

func (w *world) crash(i int) { w.nodes[i].alive = false }

func (w *world) feed(i int, ev Event) {
	n := w.nodes[i]
	for _, e := range n.core.Handle(Clock{Steady: w.now - n.born, Wall: 1_700_000_000_000 + w.now.Milliseconds()}, ev) {
		switch e := e.(type) {
		case Reply:
			if f := n.wants[e.ID]; f != nil {
				delete(n.wants, e.ID)
				f(e)
			}
		case Call:
			w.carry(i, e)
		}
	}
}

// ask sends a request to a node; the answer may be none (status 0).
func (w *world) ask(i int, req Request, then func(Reply)) {
	n := w.nodes[i]
	if !n.alive {
		then(Reply{})
		return
	}
	n.last++
	req.ID = n.last
	life, done := n.life, false
	n.wants[req.ID] = func(r Reply) { done = true; then(r) }
	w.feed(i, req)
	w.at(5*time.Second, func() {
		if !done && n.life == life {
			delete(n.wants, req.ID)
		}
		if !done {
			done = true
			then(Reply{})
		}
	})
}

func (w *world) carry(i int, c Call) {
	life, answered := w.nodes[i].life, false
	result := func(status int, body []byte) {
		if answered || w.nodes[i].life != life || !w.nodes[i].alive {
			return
		}
		answered = true
		w.feed(i, Result{ID: c.ID, Status: status, Body: body, NoConn: status == 0 && w.off[c.Addr]})
	}
	var f fate
	if w.script != nil {
		f = w.script(i, c)
	}
	w.at(c.Timeout, func() { result(0, nil) })
	if f.lost {
		return
	}
	w.at(latency+f.hold, func() {
		reply := func(status int, body []byte) {
			if !f.answerLost {
				w.at(latency, func() { result(status, body) })
			}
		}
		switch c.Target {
		case ToState:
			w.state.serve(i, c, reply)
		case ToCloud:
			reply(w.cloud.serve(c))
		case ToWorker:
			if wk := w.byAddr(c.Addr); wk != nil && wk.reachable() {
				if wk.hung {
					wk.held = append(wk.held, func() { reply(wk.serve(c)) })
					return
				}
				reply(wk.serve(c))
			}
		case ToPeer:
			for k := range w.nodes {
				if c.Addr == fmt.Sprintf("10.0.0.%d:1", k) {
					op := map[string]Op{"/relay": OpRelay, "/heartbeat": OpHeartbeat, "/forward": OpForward}[c.Path]
					w.ask(k, Request{Op: op, Body: c.Body}, func(r Reply) {
						if r.Status != 0 {
							reply(r.Status, r.Body)
						}
					})
				}
			}
		}
	})
}

func (w *world) leader() int {
	for i, n := range w.nodes {
		if n.alive && n.core.term != nil && n.core.term.ready && n.core.term.certain() {
			return i
		}
	}
	return -1
}

func (w *world) awaitLeader() int {
	w.t.Helper()
	w.until(30*time.Second, "a leader", func() bool { return w.leader() >= 0 })
	return w.leader()
}

// --- users

func (w *world) spec(uid string, change map[string]any) map[string]any {
	m := map[string]any{"uid": uid, "tier": "jobs", "owner": "red", "shape": "batch", "rank": "normal", "shards": 1,
		"cores": 4.0, "accelerators": 0.0, "ramGb": 4.0, "bundle": "img", "sizeGb": 1.0, "flavours": nil, "yard": nil,
		"together": false, "apart": false, "borrowed": false, "expectS": 30.0, "saveEveryS": 0.0, "saveTakesS": 0.0, "dueS": nil}
	maps.Copy(m, change)
	w.specs[uid] = m
	return m
}

// user sends one request and notes what was told.
func (w *world) user(node int, op Op, uid string, then func(int, protocol.Standing)) {
	req := Request{Op: op, UID: uid}
	if op == OpSubmit {
		req.Body = protocol.Encode(w.specs[uid])
	}
	if op == OpCancel {
		w.wished[uid] = true
	}
	w.ask(node, req, func(r Reply) {
		var s protocol.Standing
		if r.Status == 200 || r.Status == 201 {
			if err := protocol.Decode(r.Body, &s); err != nil {
				w.breaks("an answer can't be read: %v", err)
			}
			w.tell(uid, s)
			w.noteAnswer(uid)
		}
		w.checkAnswer(op, uid, r.Status)
		if r.Status == 404 && w.told[uid] != "" {
			w.breaks("forgotten: %s", uid)
		}
		if (r.Status == 503 || r.Status == 429) && r.RetryAfter == 0 {
			w.breaks("%d without Retry-After", r.Status)
		}
		if then != nil {
			then(r.Status, s)
		}
	})
}

func (w *world) tell(uid string, s protocol.Standing) {
	before := w.told[uid]
	if (before == protocol.Done || before == protocol.Cancelled) && s.State != before {
		w.breaks("went_back: %s was %s, now %s", uid, before, s.State)
	}
	if s.State == protocol.Done {
		n := w.specs[uid]["shards"].(int)
		for k := range n {
			if !w.cloud.finished[uid+"/"+strconv.Itoa(k)] {
				w.breaks("not_done: %s/%d", uid, k)
			}
		}
	}
	if s.State == protocol.Cancelled && before != s.State {
		w.stopped[uid] = w.now
		if !w.wished[uid] {
			w.breaks("went_back: %s is called cancelled, and nobody asked for it", uid)
		}
	}
	w.told[uid] = s.State
}

// persist repeats a request at the nodes in turn, as users do.
func (w *world) persist(op Op, uid string, ok func(int, protocol.Standing) bool) {
	node := 0
	var again func()
	again = func() {
		node++
		w.user(node%3, op, uid, func(status int, s protocol.Standing) {
			if !ok(status, s) {
				w.at(time.Second, again)
			}
		})
	}
	again()
}

func (w *world) submit(uid string, change map[string]any) {
	w.spec(uid, change)
	w.persist(OpSubmit, uid, func(s int, _ protocol.Standing) bool { return s == 200 || s == 201 })
}

func (w *world) cancel(uid string) {
	w.persist(OpCancel, uid, func(s int, _ protocol.Standing) bool { return s == 200 })
}

func (w *world) awaitTold(limit time.Duration, uid, state string) {
	w.t.Helper()
	n := 0
	w.until(limit, uid+" told "+state, func() bool {
		if n++; n%20 == 1 {
			w.user(n/20%3, OpPoll, uid, nil)
		}
		return w.told[uid] == state
	})
}

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

// --- cloud

type simCloud struct {
	w        *world
	last     int
	answers  map[string][]string
	finished map[string]bool
	down     bool
	deleted  []string
}

func (cl *simCloud) serve(c Call) (int, []byte) {
	if cl.finished == nil {
		cl.finished = map[string]bool{}
	}
	if cl.down {
		return 503, protocol.Encode(map[string]any{"error": "trouble"})
	}
	w := cl.w
	switch {
	case c.Path == "/flavors":
		return 200, protocol.Encode(protocol.MachineTypes{Types: []protocol.MachineType{{Name: "m8", Cores: 8, MemoryGB: 32, CacheGB: 50,
			FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 10, Zones: []string{"a", "b"}}}})
	case c.Path == "/machines":
		var req protocol.Rent
		if err := protocol.Decode(c.Body, &req); err != nil {
			w.breaks("rental: %v", err)
		}
		if cl.answers[req.Request] == nil {
			for range req.Count {
				cl.last++
				id := fmt.Sprintf("i-%06d", cl.last)
				cl.answers[req.Request] = append(cl.answers[req.Request], id)
				wk := &simWorker{w: w, id: id, typ: req.Type, zone: req.Zone, spot: req.Spot, rented: w.now, session: 1,
					tasks: map[string]*simTask{}, images: map[string]time.Duration{}}
				w.workers[id] = wk
				w.at(10*time.Second, wk.boot)
			}
		}
		return 200, protocol.Encode(protocol.Rented{Machines: cl.answers[req.Request]})
	case strings.HasPrefix(c.Path, "/machines?"):
		list := protocol.MachineList{}
		for _, id := range slices.Sorted(maps.Keys(w.workers)) {
			wk := w.workers[id]
			if wk.gone || w.now < wk.rented+5*time.Second {
				continue
			}
			state := "booting"
			if wk.up {
				state = "running"
			}
			list.Machines = append(list.Machines, protocol.ListedMachine{ID: id, Addr: wk.addr(), Type: wk.typ, Zone: wk.zone,
				Spot: wk.spot, State: state, AgeS: (w.now - wk.rented).Seconds()})
		}
		return 200, protocol.Encode(list)
	case c.Path == "/machines/delete":
		var req protocol.Rented
		if err := protocol.Decode(c.Body, &req); err != nil {
			w.breaks("deletion: %v", err)
		}
		for _, id := range req.Machines {
			cl.deleted = append(cl.deleted, id)
			if wk := w.workers[id]; wk != nil {
				wk.die()
			}
		}
		return 200, nil
	}
	w.breaks("cloud: %s %s", c.Method, c.Path)
	return 400, nil
}

// --- workers

type simTask struct {
	halted            time.Duration // when a gang's task was told to stop
	alone             time.Duration // since when it misses another one
	uid, cause, state string
	try               uint64
	began             int // which life of the task this is
}

type simWorker struct {
	w                   *world
	id, typ, zone       string
	spot, up, gone, cut bool
	rented              time.Duration
	session, seq, token uint64
	tasks               map[string]*simTask
	images              map[string]time.Duration
	answered            time.Duration // sending time of the last answered report
	node                int
	busy                bool
	lives               int
	copies              [][]byte
	// deaf: reports arrive, answers and direct commands don't. mute: the other way
	// round. hung: it does nothing until it goes on, or for ever. held are the
	// commands that came meanwhile.
	deaf, mute, hung bool
	held             []func()
}

// fleet lists the workers in a fixed order, so runs repeat.
func (w *world) fleet() []*simWorker {
	var out []*simWorker
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		out = append(out, w.workers[id])
	}
	return out
}

func (w *world) byAddr(addr string) *simWorker {
	for _, wk := range w.workers {
		if wk.addr() == addr {
			return wk
		}
	}
	return nil
}

func (k *simWorker) addr() string    { return "10.1." + strings.TrimLeft(k.id[2:], "0") + ":9000" }
func (k *simWorker) reachable() bool { return k.up && !k.gone && !k.cut && !k.deaf }

// hang stops a machine for a while. What comes meanwhile is executed when it goes
// on, if its lease still runs then.
func (k *simWorker) hang(d time.Duration) {
	k.hung = true
	k.w.at(d, func() {
		k.hung = false
		held := k.held
		k.held = nil
		if k.gone {
			return
		}
		for _, do := range held {
			do()
		}
	})
}

func (k *simWorker) boot() {
	if k.gone {
		return
	}
	k.up, k.answered = true, k.w.now
	k.report()
	k.lapse()
}

func (k *simWorker) die() {
	k.gone, k.up = true, false
	k.tasks = map[string]*simTask{}
}

// lapse ends the session when the lease has run out.
func (k *simWorker) lapse() {
	if k.gone {
		return
	}
	if k.w.now > k.answered+10*time.Second {
		k.session++
		k.tasks = map[string]*simTask{}
		k.answered = k.w.now
	}
	k.w.at(tick, k.lapse)
}

func (k *simWorker) message() protocol.Report {
	k.seq++
	m := protocol.Report{Machine: k.id, Addr: k.addr(), Type: k.typ, Zone: k.zone, Spot: k.spot, Session: k.session, Seq: k.seq, Token: k.token,
		Tasks: []protocol.TaskReport{}}
	for _, name := range slices.Sorted(maps.Keys(k.tasks)) {
		t := k.tasks[name]
		task, _, _ := strings.Cut(name, "@")
		m.Tasks = append(m.Tasks, protocol.TaskReport{Task: task, Attempt: t.try, State: t.state, Cause: t.cause})
	}
	return m
}

func (k *simWorker) report() {
	if k.gone {
		return
	}
	w := k.w
	next := func(d time.Duration) { w.at(d, k.report) }
	if k.cut || k.hung {
		next(time.Second)
		return
	}
	var f fate
	if w.reports != nil {
		f = w.reports(k, k.node)
	}
	f.lost = f.lost || k.mute
	f.answerLost = f.answerLost || k.deaf
	body := protocol.Encode(k.message())
	k.copies = append(k.copies, body)
	if w.lateCopy != nil {
		if late := w.lateCopy(); late > 0 {
			// A copy goes to whichever controller; its answer reaches nobody.
			to := w.rng.IntN(3)
			w.at(late, func() { w.ask(to, Request{Op: OpReport, Body: body}, func(Reply) {}) })
		}
	}
	sent, session := w.now, k.session
	if f.lost {
		k.node = (k.node + 1) % 3
		next(4 * time.Second)
		return
	}
	w.at(latency, func() {
		w.ask(k.node, Request{Op: OpReport, Body: body}, func(r Reply) {
			if f.answerLost || k.gone || k.hung || k.deaf {
				next(4 * time.Second)
				return
			}
			switch {
			case r.Status == 200:
				var reply protocol.ReportReply
				if err := protocol.Decode(r.Body, &reply); err != nil {
					w.breaks("report's answer: %v", err)
				}
				if reply.Token >= k.token && session == k.session {
					k.token, k.answered = reply.Token, sent
					k.execute(reply.Commands)
				}
				next(time.Second)
			case r.Status == 421:
				var e protocol.Elsewhere
				_ = protocol.Decode(r.Body, &e) // a missing name is allowed
				if n, err := strconv.Atoi(strings.TrimPrefix(e.Leader, "n")); err == nil && n != k.node {
					k.node = n
					next(100 * time.Millisecond)
					return
				}
				k.node = (k.node + 1) % 3
				next(time.Second)
			default:
				k.node = (k.node + 1) % 3
				next(time.Second)
			}
		})
	})
}

func (k *simWorker) serve(c Call) (int, []byte) {
	var req protocol.Commands
	if err := protocol.Decode(c.Body, &req); err != nil {
		k.w.breaks("commands: %v", err)
	}
	if req.Token < k.token || req.Session != k.session {
		return 409, protocol.Encode(k.message())
	}
	k.token = req.Token
	k.execute(req.Commands)
	return 200, protocol.Encode(k.message())
}

func (k *simWorker) execute(cmds []protocol.Command) {
	w := k.w
	for _, c := range cmds {
		name := fmt.Sprintf("%s@%d", c.Task, c.Attempt)
		t := k.tasks[name]
		switch c.Verb {
		case protocol.VerbRun:
			if t == nil {
				uid, _, _ := strings.Cut(c.Task, "/")
				k.lives++
				t = &simTask{uid: uid, try: c.Attempt, state: protocol.Pulling, began: k.lives}
				k.tasks[name] = t
				wait := 200 * time.Millisecond
				if w.pulls != nil {
					wait = w.pulls(c.Task)
				}
				life := t.began
				w.at(wait, func() {
					if k.tasks[name] != t || t.state != protocol.Pulling || t.began != life || k.gone {
						return
					}
					k.start(c.Task, t)
					if w.specs[t.uid]["shape"] == "group" {
						t.state = protocol.Gathering
						w.gather(t.uid, t.try)
						w.at(30*time.Second, func() {
							if t.state == protocol.Gathering {
								t.state, t.cause = protocol.Exited, protocol.CauseIncomplete
							}
						})
					}
				})
			}
		case protocol.VerbHalt:
			if t == nil || t.state == protocol.Exited {
				continue
			}
			if t.halted == 0 {
				t.halted = w.now
				w.halts[t.uid] = append(w.halts[t.uid], halted{w.now, c.GraceS})
			}
			if takes := w.specs[t.uid]["saveTakesS"].(float64); t.state == protocol.Running && takes > 0 && c.GraceS >= takes {
				t.state = protocol.Saving
				w.at(time.Duration(takes*float64(time.Second)), func() {
					if t.state == protocol.Saving {
						t.state, t.cause = protocol.Exited, protocol.CauseHalted
					}
				})
				continue
			}
			t.state, t.cause = protocol.Exited, protocol.CauseHalted
		case protocol.VerbClear:
			if t != nil && t.state == protocol.Exited {
				delete(k.tasks, name)
			}
		}
	}
}

// start checks the rules of the moment a task begins to be on its machine.
func (k *simWorker) start(task string, t *simTask) {
	w := k.w
	spec := w.specs[t.uid]
	t.state = protocol.Running
	// Stricter than the protocol's page, which allows cancel_s: "from then on no
	// task of the job may be started".
	if _, told := w.stopped[t.uid]; told {
		w.breaks("ran_cancelled: %s starts", task)
	}
	zones, total, used := map[string]int{}, 0, map[string]float64{}
	for _, o := range w.workers {
		for name, x := range o.tasks {
			if !x.here() || o.gone {
				continue
			}
			other, _, _ := strings.Cut(name, "@")
			if other == task && (o != k || x != t) {
				w.breaks("ran_twice: %s on %s and %s", task, o.id, k.id)
			}
			if x.uid == t.uid {
				zones[o.zone]++
				total++
			}
			used[w.specs[x.uid]["owner"].(string)] += w.specs[x.uid]["cores"].(float64)
		}
	}
	if n := spec["shards"].(int); spec["apart"].(bool) && zones[k.zone] > (n+1)/2 {
		w.breaks("wrong_place: %d of %d tasks of %s in one zone", zones[k.zone], n, t.uid)
	}
	if spec["together"].(bool) && total != zones[k.zone] {
		w.breaks("wrong_place: %s in two zones", t.uid)
	}
	for team, most := range map[string]float64{"red": 32, "blue": 16} {
		if used[team] > most {
			w.breaks("quota: %s uses %v", team, used[team])
		}
	}
	if spec["shape"] != "batch" {
		return
	}
	life := t.began
	var end func()
	end = func() {
		if k.hung {
			w.at(tick, end) // it does not execute its tasks meanwhile
			return
		}
		if !k.gone && t.state == protocol.Running && t.began == life && k.tasks[fmt.Sprintf("%s@%d", task, t.try)] == t {
			t.state, t.cause = protocol.Exited, protocol.CauseDone
			if w.cloud.finished == nil {
				w.cloud.finished = map[string]bool{}
			}
			w.cloud.finished[task] = true
			if w.ended != nil {
				w.ended(t.uid)
			}
		}
	}
	w.at(w.runs(task), end)
}

// here says whether a task is on its machine, as the protocol's page counts it.
func (t *simTask) here() bool {
	return t.state == protocol.Running || t.state == protocol.Saving || t.state == protocol.Gathering
}

// gang lists a gang's tasks under one attempt that are on machines.
func (w *world) gang(uid string, try uint64) (out []*simTask) {
	for _, k := range w.fleet() {
		for _, name := range slices.Sorted(maps.Keys(k.tasks)) {
			if t := k.tasks[name]; t.uid == uid && t.try == try && t.here() && !k.gone {
				out = append(out, t)
			}
		}
	}
	return out
}

// gather starts a gang once its last task is there. They end together.
func (w *world) gather(uid string, try uint64) {
	all := w.gang(uid, try)
	whole := func(state string) bool {
		n := 0
		for _, t := range all {
			if t.state == state && t.halted == 0 {
				n++
			}
		}
		return n == w.specs[uid]["shards"].(int)
	}
	if !whole(protocol.Gathering) {
		return
	}
	for _, t := range all {
		t.state = protocol.Running
	}
	w.wholes[uid]++
	w.at(w.runs(uid+"/0"), func() {
		if len(w.gang(uid, try)) != len(all) || !whole(protocol.Running) {
			return
		}
		for i, t := range all {
			t.state, t.cause = protocol.Exited, protocol.CauseDone
			w.cloud.finished[uid+"/"+strconv.Itoa(i)] = true
		}
		if w.ended != nil {
			w.ended(uid)
		}
	})
}

// breakGangs has running tasks notice that others of their gang are gone or were
// told to stop and they weren't.
func (w *world) breakGangs() {
	for _, k := range w.fleet() {
		for _, t := range k.tasks {
			if w.specs[t.uid]["shape"] != "group" || t.state != protocol.Running || k.hung {
				continue
			}
			n := 0
			for _, mate := range w.gang(t.uid, t.try) {
				if mate.state == protocol.Running && mate.halted == 0 {
					n++
				}
			}
			switch {
			case n == w.specs[t.uid]["shards"].(int):
				t.alone = 0
			case t.alone == 0:
				t.alone = w.now
			case w.now >= t.alone+4*time.Second:
				t.state, t.cause = protocol.Exited, protocol.CauseMatesGone
			}
		}
	}
}

// running counts a job's tasks on machines.
func (w *world) running(uid string) int {
	n := 0
	for _, k := range w.fleet() {
		for _, t := range k.tasks {
			if t.uid == uid && t.here() && !k.gone {
				n++
			}
		}
	}
	return n
}

// lateCancelled checks ran_cancelled for tasks that stay.
func (w *world) lateCancelled() {
	for uid, told := range w.stopped {
		if w.now > told+35*time.Second && w.running(uid) > 0 {
			w.breaks("ran_cancelled: %s is still there", uid)
		}
	}
}
