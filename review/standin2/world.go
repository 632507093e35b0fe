package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// loop is the goroutine that owns the emulated state service, cloud and workers. It runs their event queue on the real
// clock.
type loop struct {
	queue *emulator.EventQueue
	start time.Time
	inbox chan func()
}

func newLoop() *loop {
	return &loop{queue: &emulator.EventQueue{}, start: time.Now(), inbox: make(chan func(), 1<<14)}
}

func (l *loop) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		l.queue.RunUntil(time.Since(l.start))
		wait := time.Second
		if next, pending := l.queue.NextDueAt(); pending {
			wait = max(0, next-time.Since(l.start))
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case fn := <-l.inbox:
			l.queue.RunUntil(time.Since(l.start))
			fn()
		case <-timer.C:
		}
	}
}

// record writes the lines of record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.file, line)
}

// world holds all stand-ins and the controllers of a case.
type world struct {
	*loop
	ctx         context.Context
	record      *record
	dir         string
	state       *emulator.StateService
	cloud       *emulator.Cloud
	fleet       *fleet
	verbose     bool
	controllers []*controller
	stateAddr   string
	cloudAddr   string
}

// loopbackHost returns the loopback address of this play, so that plays at the same time can't meet on a port.
func loopbackHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x7f, pid>>8&0xff, max(1, pid&0xff))
}

// listen opens a listener on a free port of this play's loopback address.
func listen() (net.Listener, string, error) {
	listener, err := net.Listen("tcp4", loopbackHost()+":0")
	if err != nil {
		return nil, "", err
	}
	return listener, listener.Addr().String(), nil
}

// freeAddr returns a loopback address that nobody listens on.
func freeAddr() (string, error) {
	listener, addr, err := listen()
	if err != nil {
		return "", err
	}
	return addr, listener.Close()
}

// newWorld starts the stand-ins of the state service and the cloud.
func newWorld(ctx context.Context, dir, recordPath string, s *site) (*world, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{loop: newLoop(), ctx: ctx, record: rec, dir: dir}
	w.state = emulator.NewStateService(w.queue, emulator.StateLimits{ValueBytes: int(s.ValueKB * 1024), Changes: s.TxnOps,
		RequestRate: s.RPS, ChangeRate: s.WriteRPS})
	w.cloud = emulator.NewCloud(w.queue)
	w.cloud.Types = s.Types
	w.cloud.ListLag = time.Duration(s.ListLagS * float64(time.Second))
	w.cloud.RequestRate = s.CloudRPS
	w.cloud.BootTime = func(string) time.Duration { return s.Boot }
	w.cloud.MachineName = func(n int) string { return fmt.Sprintf("i-%06d", n) }
	w.cloud.MachineAddr = func(id string) string { return w.fleet.open(id) }
	w.cloud.OnLaunch = func(m *emulator.Machine) { w.fleet.add(m) }
	w.cloud.OnDelete = func(m *emulator.Machine) { w.fleet.terminate(m.ID) }
	w.fleet = newFleet(w, s)
	if w.stateAddr, err = w.serve(func(r *http.Request, body []byte, reply emulator.Reply) {
		w.state.Serve(0, r.Method, r.URL.RequestURI(), body, func(status int, answer []byte) {
			w.queue.After(s.StateLatency, func() { reply(status, answer) })
		})
	}); err != nil {
		return nil, err
	}
	if w.cloudAddr, err = w.serve(func(r *http.Request, body []byte, reply emulator.Reply) {
		reply(w.cloud.Serve(r.Method, r.URL.RequestURI(), body))
	}); err != nil {
		return nil, err
	}
	go w.run(ctx)
	return w, nil
}

// serve starts an HTTP server whose requests are handled on the loop.
func (w *world) serve(handle func(*http.Request, []byte, emulator.Reply)) (string, error) {
	listener, addr, err := listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: w.handler(handle), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(w.ctx, func() { _ = server.Close() })
	return addr, nil
}

func (w *world) handler(handle func(*http.Request, []byte, emulator.Reply)) http.Handler {
	type answer struct {
		status int
		body   []byte
	}
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(out, r.Body, 2*protocol.MaxBodyBytes))
		if err != nil {
			return
		}
		answers := make(chan answer, 1)
		w.inbox <- func() { handle(r, body, func(status int, body []byte) { answers <- answer{status, body} }) }
		select {
		case a := <-answers:
			if a.status == 0 {
				panic(http.ErrAbortHandler)
			}
			out.Header().Set("Content-Type", "application/msgpack")
			out.WriteHeader(a.status)
			_, _ = out.Write(a.body)
		case <-r.Context().Done():
		case <-w.ctx.Done():
		}
	})
}

// call runs a function on the loop and waits for it.
func (l *loop) call(fn func()) {
	done := make(chan struct{})
	l.inbox <- func() { fn(); close(done) }
	<-done
}
