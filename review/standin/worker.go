package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// job is what a worker needs to know of a job. Its user uploads it.
type job struct {
	uid     string
	service bool
	cores   float64
	fetch   time.Duration
	run     time.Duration
	// slowShard is a task that runs for slowRun, if slowRun is not 0.
	slowShard int
	slowRun   time.Duration
}

// runTime returns how long a task runs.
func (j *job) runTime(key taskKey) time.Duration {
	if j.slowRun > 0 && key.shard == fmt.Sprintf("%s/%d", j.uid, j.slowShard) {
		return j.slowRun
	}
	return j.run
}

// jobs are the uploaded descriptions.
type jobs struct {
	mu    sync.Mutex
	byUID map[string]*job
}

func (j *jobs) get(uid string) *job {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.byUID[uid]
}

func (j *jobs) put(added *job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.byUID[added.uid] = added
}

type taskKey struct {
	shard string
	try   uint64
}

type task struct {
	key      taskKey
	standing string
	cause    string
}

type order struct {
	Verb    string  `msgpack:"verb"`
	Shard   string  `msgpack:"shard"`
	Try     uint64  `msgpack:"try"`
	LeewayS float64 `msgpack:"leewayS"`
}

// workerSettings are the times of the workers, from the settings.
type workerSettings struct {
	report, lease time.Duration
}

// controllerAddress is where a worker reports.
type controllerAddress struct{ label, addr string }

// worker is a stand-in of a machine's agent, as PROTOCOL-claybarrow.md describes it.
type worker struct {
	machine     *machine
	size        flavour
	settings    workerSettings
	controllers []controllerAddress
	jobs        *jobs
	record      *recorder
	watch       *watcher
	ctx         context.Context
	stop        context.CancelFunc
	client      *http.Client

	mu      sync.Mutex
	shift   uint64
	tally   uint64
	mandate uint64
	leased  time.Time // when the last answered report was sent, or the session began
	tasks   map[taskKey]*task
	node    int
	news    chan struct{}
}

func (w *worker) start() error {
	w.shift, w.leased, w.tasks, w.news = 1, time.Now(), map[taskKey]*task{}, make(chan struct{}, 1)
	w.client = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}, Timeout: 4 * time.Second,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", w.serveCommands)
	mux.HandleFunc("GET /status", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		reply(rw, http.StatusOK, w.report())
	})
	addr, err := serveOn(w.ctx, mux)
	if err != nil {
		return err
	}
	w.machine.addr = addr
	go w.reportLoop()
	go w.leaseLoop()
	return nil
}

// end stops the machine with all that is on it.
func (w *worker) end() {
	w.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropAll("the machine is gone")
}

func (w *worker) dropAll(why string) {
	for key, t := range w.tasks {
		if t.standing == "running" {
			w.watch.left(w.machine.uid, key, why)
		}
	}
	w.tasks = map[taskKey]*task{}
}

func (w *worker) changed() {
	select {
	case w.news <- struct{}{}:
	default:
	}
}

// report returns the next report. The caller holds the lock.
func (w *worker) report() map[string]any {
	w.tally++
	shards := []map[string]any{}
	for _, t := range w.tasks {
		entry := map[string]any{"shard": t.key.shard, "try": t.key.try, "standing": t.standing}
		if t.cause != "" {
			entry["cause"] = t.cause
		}
		shards = append(shards, entry)
	}
	m := w.machine
	return map[string]any{"host": m.uid, "addr": m.addr, "flavour": m.flavour, "yard": m.yard, "borrowed": m.borrowed,
		"shift": w.shift, "tally": w.tally, "mandate": w.mandate, "warningS": nil, "shards": shards}
}

// leaseLoop ends the session when its lease is over.
func (w *worker) leaseLoop() {
	for w.ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		w.checkLease()
		w.mu.Unlock()
	}
}

func (w *worker) reportLoop() {
	const changePause = 500 * time.Millisecond
	for w.ctx.Err() == nil {
		sent := time.Now()
		wait, again := w.sendReport()
		if again {
			time.Sleep(wait)
			continue
		}
		select {
		case <-time.After(wait):
		case <-w.news:
			time.Sleep(changePause - min(changePause, time.Since(sent)))
		case <-w.ctx.Done():
		}
	}
}

// sendReport sends a report. It returns how long to wait, and whether the next report follows then in any case.
func (w *worker) sendReport() (wait time.Duration, again bool) {
	w.mu.Lock()
	sent, shift, body, target := time.Now(), w.shift, encode(w.report()), w.controllers[w.node]
	w.mu.Unlock()
	status, answer := post(w.ctx, w.client, "http://"+target.addr+"/hello", body)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkLease()
	if time.Since(sent) > 4*time.Second {
		status = 0
	}
	switch status {
	case http.StatusOK:
		var message struct {
			Mandate uint64  `msgpack:"mandate"`
			Orders  []order `msgpack:"orders"`
		}
		if msgpack.Unmarshal(answer, &message) == nil && message.Mandate >= w.mandate && shift == w.shift {
			w.raise(message.Mandate)
			w.leased = sent
			w.execute(message.Orders, target.label)
		} else {
			w.record.printf("worker %s: dropped an answer of %s with mandate %d, has %d", w.machine.uid, target.label, message.Mandate, w.mandate)
		}
		return time.Duration(float64(w.settings.report) * (0.75 + rand.Float64()/2)), false
	case http.StatusMisdirectedRequest:
		w.client.CloseIdleConnections()
		var message struct {
			Foreman string `msgpack:"foreman"`
		}
		_ = msgpack.Unmarshal(answer, &message)
		i := slices.IndexFunc(w.controllers, func(c controllerAddress) bool { return c.label == message.Foreman })
		if i >= 0 && i != w.node {
			w.node = i
			return time.Duration(rand.Int64N(int64(500 * time.Millisecond))), true
		}
	}
	w.node = (w.node + 1) % len(w.controllers)
	return time.Second, true
}

func (w *worker) raise(mandate uint64) {
	if mandate > w.mandate {
		w.mandate = mandate
		w.changed()
	}
}

func (w *worker) serveCommands(rw http.ResponseWriter, r *http.Request) {
	body, ok := readAll(rw, r)
	if !ok {
		return
	}
	var message struct {
		Mandate *uint64 `msgpack:"mandate"`
		Shift   *uint64 `msgpack:"shift"`
		Orders  []order `msgpack:"orders"`
	}
	if msgpack.Unmarshal(body, &message) != nil || message.Mandate == nil || message.Shift == nil {
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx.Err() != nil {
		return
	}
	w.checkLease()
	if *message.Mandate < w.mandate || *message.Shift != w.shift {
		reply(rw, http.StatusConflict, w.report())
		return
	}
	w.raise(*message.Mandate)
	w.execute(message.Orders, fmt.Sprintf("mandate %d", *message.Mandate))
	reply(rw, http.StatusOK, w.report())
}

// execute executes commands in order. The caller holds the lock.
func (w *worker) execute(orders []order, from string) {
	for _, o := range orders {
		key := taskKey{o.Shard, o.Try}
		w.record.printf("worker %s: %s %s try %d (%s)", w.machine.uid, o.Verb, o.Shard, o.Try, from)
		t := w.tasks[key]
		switch {
		case o.Verb == "run" && t == nil:
			w.run(key)
		case o.Verb == "halt" && t != nil && t.standing != "exited":
			w.exit(t, "halted")
		case o.Verb == "clear" && t != nil && t.standing == "exited":
			delete(w.tasks, key)
			w.changed()
		}
	}
}

func (w *worker) run(key taskKey) {
	uid, _, _ := strings.Cut(key.shard, "/")
	described := w.jobs.get(uid)
	t := &task{key: key, standing: "pulling"}
	w.tasks[key] = t
	w.changed()
	if described == nil {
		t.standing, t.cause = "exited", "no_such"
		return
	}
	used := 0.0
	for other, o := range w.tasks {
		if o == t || o.standing == "exited" {
			continue
		}
		if other.shard == key.shard {
			t.standing, t.cause = "exited", "busy"
			return
		}
		otherUID, _, _ := strings.Cut(other.shard, "/")
		used += w.jobs.get(otherUID).cores
	}
	if used+described.cores > w.size.Cores+1e-9 {
		t.standing, t.cause = "exited", "no_room"
		return
	}
	w.after(described.fetch, t, "pulling", func() {
		t.standing = "running"
		w.watch.started(w.machine.uid, key)
		w.changed()
		if !described.service {
			w.after(described.runTime(key), t, "running", func() { w.exit(t, "done") })
		}
	})
}

// after runs a function later, if the task is still in the given state.
func (w *worker) after(d time.Duration, t *task, standing string, do func()) {
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.checkLease()
		if w.ctx.Err() == nil && w.tasks[t.key] == t && t.standing == standing {
			do()
		}
	})
}

func (w *worker) exit(t *task, cause string) {
	if t.standing == "running" {
		w.watch.left(w.machine.uid, t.key, cause)
	}
	if cause == "done" {
		w.watch.completed(t.key.shard)
	}
	t.standing, t.cause = "exited", cause
	w.changed()
}

// post sends a request and returns the status, 0 if there was no answer in time.
func post(ctx context.Context, client *http.Client, url string, body []byte) (int, []byte) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/msgpack")
	return exchange(client, request)
}

func exchange(client *http.Client, request *http.Request) (int, []byte) {
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// checkLease ends the session if its lease is over. The caller holds the lock.
func (w *worker) checkLease() {
	if time.Since(w.leased) <= w.settings.lease || w.ctx.Err() != nil {
		return
	}
	w.shift++
	w.leased = time.Now()
	w.record.printf("worker %s: lease over, %d tasks killed, session %d", w.machine.uid, len(w.tasks), w.shift)
	w.dropAll("lease over")
	w.changed()
}
