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

// controller is one controller of a region. It runs as a real process of the program under test, which is restarted
// after each injected fault that ends it.
type controller struct {
	label         string
	clientAddress string // host and port for clients and workers
	settings      string // path of its settings file
	log           string // path of its log; successive processes append to it

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{} // closed when the process of command has exited
	starts  int
	stopped bool // no process may be started any more
	killed  bool // an injected fault killed the process and it has not been restarted
	frozen  bool
	healthy bool // the load balancer's probes find it ready
	// runsNewer selects run.program rather than run.older. gateHeld starts run.program with the feature gate held
	// closed.
	runsNewer, gateHeld bool
}

// ControllerError reports a controller whose process did not start or exited without an injected fault.
type ControllerError struct {
	Label    string
	Cause    error
	LastLine string // last line of the controller's log
}

// Error returns the controller's label, the cause and the last line of its log.
func (e *ControllerError) Error() string {
	return fmt.Sprintf("%s did not start or exited unexpectedly: %v: %s", e.Label, e.Cause, e.LastLine)
}

// Unwrap returns the start error or the exit status of the process.
func (e *ControllerError) Unwrap() error { return e.Cause }

// lastLine returns the last non-empty line of a file, or the text of the error if the file can't be read.
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

// freeze suspends the process for d (SIGSTOP, then SIGCONT). Its sockets stay open and its clocks keep running.
// freeze does nothing if the process has exited or is already frozen.
func (c *controller) freeze(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.command == nil || c.frozen || c.stopped {
		return
	}
	process := c.command.Process
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return // the process has exited
	}
	c.frozen = true
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.frozen = false
		_ = process.Signal(syscall.SIGCONT) // fails if the process has exited
	})
}

// terminate kills the process, if one was started. The caller must hold c.mu.
func (c *controller) terminate() {
	if c.command != nil {
		_ = c.command.Process.Kill() // fails if the process has exited
	}
}

// isHealthy reports whether the load balancer's probes find the controller ready.
func (c *controller) isHealthy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.healthy
}

// controlPlane manages a region's controllers: it starts, kills and upgrades their processes and distributes client
// requests among them.
type controlPlane struct {
	plan          *Plan
	region        int
	dir           string // holds settings files and logs
	metrics       *metrics
	fail          func(error) // ends the run
	controllers   []*controller
	operatorFiles operatorFiles
	lastPicked    int // position of pick's round robin; used by the event loop only
	// balancer is nil unless control.load_balancer is set; used by the event loop only.
	balancer *loadBalancer
}

// prepare writes the operator settings files and the settings of all controllers.
func (p *controlPlane) prepare() error {
	var err error
	if p.operatorFiles, err = writeOperatorFiles(p.dir, &p.plan.Control); err != nil {
		return err
	}
	for i := range p.plan.Control.Controllers {
		label := controllerLabel(i)
		c := &controller{label: label, clientAddress: p.plan.userAddress(p.region, i), settings: filepath.Join(p.dir, label+".json"),
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

// logs returns the paths of the controllers' logs.
func (p *controlPlane) logs() []string {
	var paths []string
	for _, c := range p.controllers {
		paths = append(paths, c.log)
	}
	return paths
}

// start starts a controller's process, unless the controller is stopped. Pdeathsig makes the kernel kill the child
// however this process ends. A child that exits without an injected fault ends the run.
func (p *controlPlane) start(c *controller) error {
	logFile, err := os.OpenFile(c.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer closeQuietly(logFile) // the child has its own descriptor; this process writes nothing to the file
	program, operator := p.programOf(c)
	command := exec.Command(program, "--operator", operator, "--config", c.settings)
	command.Stderr = logFile
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
	c.command, c.killed, c.exited = command, false, make(chan struct{})
	c.starts++
	p.metrics.watchProcess(c.label, command.Process.Pid)
	go p.awaitExit(c, command, c.exited)
	return nil
}

// awaitExit waits until a controller's process exits, and ends the run if no injected fault was the cause.
func (p *controlPlane) awaitExit(c *controller, command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	close(exited)
	c.mu.Lock()
	unexpected := !c.killed && !c.stopped
	c.healthy = false
	c.mu.Unlock()
	if unexpected {
		p.fail(&ControllerError{c.label, err, lastLine(c.log)})
	}
}

// kill kills a controller's process and restarts it after control.restart_s.
func (p *controlPlane) kill(ctx context.Context, c *controller) {
	p.killFor(ctx, c, seconds(p.plan.Control.RestartS))
}

// killFor kills a controller's process and restarts it after a delay. It does nothing if the process is already killed.
func (p *controlPlane) killFor(ctx context.Context, c *controller, delay time.Duration) {
	c.mu.Lock()
	alreadyKilled, exited := c.killed, c.exited
	c.killed = true
	c.terminate()
	c.mu.Unlock()
	if alreadyKilled {
		return
	}
	time.AfterFunc(delay, func() {
		awaitClosed(exited) // its ports are free only then
		if ctx.Err() != nil {
			return
		}
		if err := p.start(c); err != nil {
			p.fail(err)
		}
	})
}

// runningExcept returns the first controller that is neither frozen nor killed and does not have the given label,
// or nil.
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

// stopAll kills all controllers and prevents restarts. It waits for the processes to exit.
func (p *controlPlane) stopAll() {
	for _, c := range p.controllers {
		c.mu.Lock()
		c.stopped = true
		c.terminate()
		c.mu.Unlock()
	}
	for _, c := range p.controllers {
		c.mu.Lock()
		exited := c.exited
		c.mu.Unlock()
		awaitClosed(exited)
	}
}

// exitTimeout bounds the wait for a killed process to exit.
const exitTimeout = 10 * time.Second

// awaitClosed waits until a channel is closed, for exitTimeout at most. A nil channel stands for no process.
func awaitClosed(exited <-chan struct{}) {
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(exitTimeout):
	}
}

// Parameters of the load balancer's health checks.
const (
	probeInterval = time.Second
	probeTimeout  = time.Second
	// dialTimeout bounds how long a probe or a client waits for a connection to a controller.
	dialTimeout = 500 * time.Millisecond
	// probesToChange is how many consecutive probes must contradict a controller's health before it changes.
	probesToChange = 2
)

// probe emulates the load balancer's health checks of a controller, one each probeInterval. Two consecutive failures
// make the controller unhealthy, two consecutive successes healthy. Until its first restart, one success is enough.
func (p *controlPlane) probe(ctx context.Context, c *controller) {
	client := newProbeClient()
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

// newProbeClient returns the client of a load balancer's health checks.
func newProbeClient() *http.Client {
	return &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}}
}

// isReady reports whether a controller's readiness check returns 200.
func isReady(client *http.Client, address string) bool {
	response, err := client.Get("http://" + address + "/ready")
	if err != nil {
		return false
	}
	defer closeQuietly(response.Body)
	return response.StatusCode == http.StatusOK
}

// pick returns the next healthy controller (round robin), or nil if no controller is healthy.
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
