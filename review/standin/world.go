package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// site are the settings of a deployment.
type site struct {
	zones       []string
	teams       []map[string]any
	objectives  []map[string]any
	reportS     float64
	leaseS      float64
	cancelS     float64
	state       stateLimits
	nextState   *stateLimits // the limits that the state service will have; nil: the same
	cloudRPS    float64
	listLagS    float64
	cores       float64
	memMB       float64
	fdLimit     int
	clockMS     float64
	flavours    []flavour
	restartTime time.Duration
}

// world is a deployment with its stand-ins.
type world struct {
	site        *site
	ctx         context.Context
	record      *recorder
	dir         string
	cloudAddr   string
	stateAddrs  []string
	state       *stateService
	cloud       *cloud
	jobs        *jobs
	watch       *watcher
	controllers []*controller

	mu      sync.Mutex
	workers map[string]*worker
}

// newWorld starts the stand-ins and writes the controllers' settings into dir. It starts no controller.
func newWorld(ctx context.Context, s *site, record *recorder, dir string) (*world, error) {
	run, err := runLine("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	w := &world{site: s, ctx: ctx, record: record, dir: dir, jobs: &jobs{byUID: map[string]*job{}}, watch: newWatcher(record),
		workers: map[string]*worker{}}
	w.state = newStateService(s.state, record)
	w.cloud = newCloud(s.cloudRPS, time.Duration(s.listLagS*float64(time.Second)), s.flavours, record)
	w.cloud.boot, w.cloud.onGone = w.boot, w.machineGone
	if w.cloudAddr, err = serveOn(ctx, w.cloud.handler()); err != nil {
		return nil, err
	}
	for i, zone := range s.zones {
		c := &controller{label: fmt.Sprintf("barrowhand-%d", i), zone: zone, run: run, pause: s.restartTime, record: record}
		// Outgoing connections come from 127.0.0.1 and so can't take a controller's port while it is down.
		host := fmt.Sprintf("127.77.0.%d", i+1)
		if c.client, err = freeAddress(host); err != nil {
			return nil, err
		}
		if c.peer, err = freeAddress(host); err != nil {
			return nil, err
		}
		w.controllers = append(w.controllers, c)
	}
	for i := range w.controllers {
		stateAddr, err := serveOn(ctx, w.state.handler(i))
		if err != nil {
			return nil, err
		}
		w.stateAddrs = append(w.stateAddrs, stateAddr)
	}
	return w, w.writeSettings()
}

// writeSettings writes the settings files of all controllers by the present site.
func (w *world) writeSettings() error {
	for i, c := range w.controllers {
		if err := c.writeSettings(w.dir, w.settings(c, w.stateAddrs[i], w.cloudAddr)); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) settings(c *controller, stateAddr, cloudAddr string) map[string]any {
	s := w.site
	state := wireLimits(s.state)
	if s.nextState != nil {
		state["next"] = wireLimits(*s.nextState)
	}
	siblings := []map[string]any{}
	for _, other := range w.controllers {
		if other != c {
			siblings = append(siblings, map[string]any{"label": other.label, "zone": other.zone, "peer_addr": other.peer})
		}
	}
	return map[string]any{
		"label": c.label, "zone": c.zone, "client_listen": c.client, "peer_listen": c.peer, "siblings": siblings,
		"services": map[string]any{"cloud": cloudAddr, "state": stateAddr},
		"cluster": map[string]any{
			"size": len(s.zones), "zones": s.zones, "teams": s.teams, "objectives": s.objectives,
			"workers":   map[string]any{"report_s": s.reportS, "lease_s": s.leaseS, "gang_wait_s": 30.0, "gang_peer_s": 5.0, "cancel_s": s.cancelS},
			"state":     state,
			"cloud":     map[string]any{"rps": s.cloudRPS, "list_lag_s": s.listLagS},
			"resources": map[string]any{"cores": s.cores, "mem_mb": s.memMB, "fd_limit": s.fdLimit}, "clock_error_ms": s.clockMS,
		},
	}
}

func wireLimits(l stateLimits) map[string]any {
	return map[string]any{"rps": l.rps, "write_rps": l.writeRPS, "value_kb": l.valueKB, "txn_ops": l.txnOps}
}

// boot starts the worker of a machine that is up. The cloud holds its lock.
func (w *world) boot(m *machine, f flavour) {
	ctx, stop := context.WithCancel(w.ctx)
	started := &worker{machine: m, size: f, jobs: w.jobs, record: w.record, watch: w.watch, ctx: ctx, stop: stop,
		settings: workerSettings{report: time.Duration(w.site.reportS * float64(time.Second)), lease: time.Duration(w.site.leaseS * float64(time.Second))}}
	for i, c := range w.controllers {
		started.controllers = append(started.controllers, controllerAddress{c.label, c.client})
		if c.zone == m.yard {
			started.node = i
		}
	}
	if err := started.start(); err != nil {
		panic(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[m.uid] = started
}

func (w *world) machineGone(m *machine) {
	w.mu.Lock()
	gone := w.workers[m.uid]
	delete(w.workers, m.uid)
	w.mu.Unlock()
	if gone != nil {
		gone.stop()
		go gone.end()
	}
}

// publicAddresses returns where the load balancer reaches the controllers.
func (w *world) publicAddresses() (nodes []controllerAddress) {
	for _, c := range w.controllers {
		nodes = append(nodes, controllerAddress{c.label, cmp.Or(c.public, c.client)})
	}
	return nodes
}

// start starts controllers.
func (w *world) start(controllers ...*controller) error {
	for _, c := range controllers {
		if err := c.start(); err != nil {
			return err
		}
	}
	return nil
}

// stopAll ends all controllers.
func (w *world) stopAll() {
	for _, c := range w.controllers {
		c.stop()
	}
}

// await waits until a condition holds, and reports whether it did in time.
func await(patience time.Duration, holds func() bool) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// ready reports whether a controller answers GET /ready with 200.
func ready(c *controller) bool {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	request, err := http.NewRequest(http.MethodGet, "http://"+c.client+"/ready", nil)
	if err != nil {
		return false
	}
	status, _ := exchange(client, request)
	return status == http.StatusOK
}

// startAll writes the settings, starts all controllers and the load balancer, and returns the balancer's address.
func (w *world) startAll() (address string, err error) {
	if err := w.writeSettings(); err != nil {
		return "", err
	}
	if err := w.start(w.controllers...); err != nil {
		return "", err
	}
	allReady := func() bool {
		return !slices.ContainsFunc(w.controllers, func(c *controller) bool { return !ready(c) })
	}
	if !await(20*time.Second, allReady) {
		return "", errors.New("not all controllers are ready")
	}
	if address, err = startBalancer(w.ctx, w.publicAddresses(), w.record); err != nil {
		return "", err
	}
	time.Sleep(1500 * time.Millisecond)
	return address, nil
}

// restartAll restarts the controllers one after the other, with a pause before the next one.
func (w *world) restartAll(pause time.Duration) error {
	for _, c := range w.controllers {
		c.kill()
		time.Sleep(w.site.restartTime)
		if err := w.start(c); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	w.record.printf("test: all controllers are restarted")
	return nil
}
