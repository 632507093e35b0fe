package scalerun

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// controller is one controller of a region: a real process of the program, which is started again
// after the injected faults that end it.
type controller struct {
	label         string
	clientAddress string // host and port for clients and workers
	settings      string // path of its settings file
	log           string // path of its log, to which all of its processes append

	mu      sync.Mutex
	command *exec.Cmd
	starts  int
	stopped bool // it is not to be started again
	killed  bool // by an injected fault, until it is started again
	frozen  bool
	healthy bool
	// runsNewer: it runs run.program, not run.older. gateHeld: with the feature gate held closed.
	runsNewer, gateHeld bool
}

// ControllerError is a controller that did not start, or whose process ended by itself.
type ControllerError struct {
	Label    string
	Cause    error
	LastLine string // of its log
}

// Error names the controller and gives the last line of its log.
func (e *ControllerError) Error() string {
	return fmt.Sprintf("%s ended by itself: %v: %s", e.Label, e.Cause, e.LastLine)
}

// Unwrap returns why the process did not start or how it ended.
func (e *ControllerError) Unwrap() error { return e.Cause }

// lastLine returns a file's last line that is not empty, or why the file can't be read.
func lastLine(path string) string {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	end := len(raw)
	for end > 0 && raw[end-1] == '\n' {
		end--
	}
	begin := end
	for begin > 0 && raw[begin-1] != '\n' {
		begin--
	}
	return string(raw[begin:end])
}

// freeze stops the process for a while (SIGSTOP, SIGCONT): its sockets stay open and its clocks run
// on. It does nothing if the process has ended or is frozen already.
func (c *controller) freeze(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.command == nil || c.frozen || c.stopped {
		return
	}
	process := c.command.Process
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return // it has ended
	}
	c.frozen = true
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.frozen = false
		_ = process.Signal(syscall.SIGCONT) // it may have ended
	})
}

// terminate kills the process, if there is one. The caller holds the lock.
func (c *controller) terminate() {
	if c.command != nil {
		_ = c.command.Process.Kill() // it may have ended
	}
}

// isHealthy says whether the load balancer's probes find the controller ready.
func (c *controller) isHealthy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.healthy
}

// controlPlane is a region's controllers: it starts, ends and upgrades their processes and balances
// the clients' requests over them.
type controlPlane struct {
	plan          *Plan
	region        int
	dir           string // for settings and logs
	metrics       *metrics
	fail          func(error) // ends the run
	controllers   []*controller
	operatorFiles operatorFiles
	lastPicked    int // by pick; only the event loop uses it
}

// prepare writes the settings of all controllers.
func (p *controlPlane) prepare() error {
	var err error
	if p.operatorFiles, err = writeOperatorFiles(p.dir, &p.plan.Control); err != nil {
		return err
	}
	for i := range p.plan.Control.Controllers {
		label := controllerLabel(i)
		c := &controller{label: label, clientAddress: p.plan.clientAddress(p.region, i), settings: filepath.Join(p.dir, label+".json"),
			log: filepath.Join(p.dir, label+".log"), runsNewer: p.plan.Run.Older == ""}
		if err := p.plan.writeControllerSettings(c.settings, p.region, i); err != nil {
			return err
		}
		p.controllers = append(p.controllers, c)
	}
	return nil
}

// find returns the controller with a label, or nil.
func (p *controlPlane) find(label string) *controller {
	for _, c := range p.controllers {
		if c.label == label {
			return c
		}
	}
	return nil
}

// logs lists the paths of the controllers' logs.
func (p *controlPlane) logs() []string {
	var paths []string
	for _, c := range p.controllers {
		paths = append(paths, c.log)
	}
	return paths
}

// start runs a controller's program, unless the run is over. The kernel kills the process when this
// one ends, in whatever way (Pdeathsig). A process that ends by itself ends the run.
func (p *controlPlane) start(c *controller) error {
	log, err := os.OpenFile(c.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer closeQuietly(log) // the process has a descriptor of its own; nothing is written through this one
	program, operator := p.programOf(c)
	command := exec.Command(program, "--operator", operator, "--config", c.settings)
	command.Stderr = log
	command.Env = append(os.Environ(), "LOG_LEVEL="+p.plan.Run.LogLevel)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return nil
	}
	if err := command.Start(); err != nil {
		return &ControllerError{c.label, err, lastLine(c.log)}
	}
	c.command, c.killed = command, false
	c.starts++
	p.metrics.watchProcess(c.label, command.Process.Pid)
	go p.await(c, command)
	return nil
}

// await waits for the end of a controller's process, and ends the run if no fault was its cause.
func (p *controlPlane) await(c *controller, command *exec.Cmd) {
	err := command.Wait()
	c.mu.Lock()
	unexpected := !c.killed && !c.stopped
	c.healthy = false
	c.mu.Unlock()
	if unexpected {
		p.fail(&ControllerError{c.label, err, lastLine(c.log)})
	}
}

// kill ends a controller's process; it is started again after control.restart_s.
func (p *controlPlane) kill(ctx context.Context, c *controller) {
	c.mu.Lock()
	c.killed = true
	c.terminate()
	c.mu.Unlock()
	time.AfterFunc(seconds(p.plan.Control.RestartS), func() {
		if ctx.Err() != nil {
			return
		}
		if err := p.start(c); err != nil {
			p.fail(err)
		}
	})
}

// runningExcept returns the first controller other than the one with a label that is neither frozen
// nor killed, or nil.
func (p *controlPlane) runningExcept(label string) *controller {
	for _, c := range p.controllers {
		c.mu.Lock()
		running := c.label != label && !c.frozen && !c.killed
		c.mu.Unlock()
		if running {
			return c
		}
	}
	return nil
}

// stopAll kills all controllers for good, without waiting for their ends.
func (p *controlPlane) stopAll() {
	for _, c := range p.controllers {
		c.mu.Lock()
		c.stopped = true
		c.terminate()
		c.mu.Unlock()
	}
}

// The load balancer's health checks.
const (
	probeInterval = time.Second
	probeTimeout  = time.Second
	// dialTimeout is when the load balancer gives up a connection to a controller.
	dialTimeout = 500 * time.Millisecond
	// probesToChange is how many probes in a row must contradict a controller's health to change it.
	probesToChange = 2
)

// probe asks a controller about once a second whether it takes requests, as the load balancer does:
// two failures in a row make it unhealthy, two successes healthy. Its first start needs one success.
func (p *controlPlane) probe(ctx context.Context, c *controller) {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}}
	contradictions := 0
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		ready := isReady(client, c.clientAddress)
		c.mu.Lock()
		if ready != c.healthy {
			contradictions++
		} else {
			contradictions = 0
		}
		if contradictions >= probesToChange || ready && c.starts == 1 {
			c.healthy, contradictions = ready, 0
		}
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// isReady says whether a controller answers its readiness check with 200.
func isReady(client *http.Client, address string) bool {
	response, err := client.Get("http://" + address + "/ready")
	if err != nil {
		return false
	}
	defer closeQuietly(response.Body)
	return response.StatusCode == http.StatusOK
}

// pick chooses among the healthy controllers in turn (round robin), or returns nil if none is.
func (p *controlPlane) pick() *controller {
	n := len(p.controllers)
	for range n {
		p.lastPicked++
		if c := p.controllers[p.lastPicked%n]; c.isHealthy() {
			return c
		}
	}
	return nil
}
