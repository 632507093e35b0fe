package scalerun

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"claybarrow/internal/config"
)

// controller is a real process of the program.
type controller struct {
	label, zone   string
	clientAddress string // its address for users and workers
	settings      string // its settings file
	log           string

	mu      sync.Mutex
	command *exec.Cmd
	starts  int
	stopped bool // it is not to be started again
	killed  bool
	frozen  bool
	healthy bool
	// runsNewer: it runs the plan's program, not the older one; held: with the gate held closed.
	runsNewer, gateHeld bool
}

// operatorSettings keep idle machines: the fleet's size is the plan's, not the demand's.
const operatorSettings = "[fleet]\nidle_ratio = 1000.0\n"

// prepareControllers writes the settings of the region's controllers.
func (r *region) prepareControllers() error {
	if err := r.writeOperators(); err != nil {
		return err
	}
	for i := range r.plan.Control.Controllers {
		c := &controller{label: controllerLabel(i), zone: r.plan.Fleet.Zones[i%len(r.plan.Fleet.Zones)], clientAddress: r.clientAddress(i),
			settings: filepath.Join(r.dir, controllerLabel(i)+".json"), log: filepath.Join(r.dir, controllerLabel(i)+".log"),
			runsNewer: r.plan.Run.Older == ""}
		raw, err := json.Marshal(r.settingsOf(i))
		if err != nil {
			return fmt.Errorf("settings of %s: %w", c.label, err)
		}
		if err := os.WriteFile(c.settings, raw, 0o600); err != nil {
			return err
		}
		r.controllers = append(r.controllers, c)
	}
	return nil
}

func controllerLabel(i int) string { return fmt.Sprintf("controller-%d", i) }

func (r *region) clientAddress(i int) string {
	return fmt.Sprintf("%s:%d", controllerHost(r.number, i), r.plan.port(r.number, portClients))
}

func (r *region) peerAddress(i int) string {
	return fmt.Sprintf("%s:%d", controllerHost(r.number, i), r.plan.port(r.number, portPeers))
}

// settingsOf are a controller's settings, in the form of the deploy page. A team's
// guarantees and limits are divided evenly between the regions.
func (r *region) settingsOf(i int) *config.Settings {
	p := r.plan
	s := &config.Settings{Label: controllerLabel(i), Zone: p.Fleet.Zones[i%len(p.Fleet.Zones)], ClientListen: r.clientAddress(i), PeerListen: r.peerAddress(i)}
	for other := range p.Control.Controllers {
		if other != i {
			s.Siblings = append(s.Siblings, config.Peer{Label: controllerLabel(other), Zone: p.Fleet.Zones[other%len(p.Fleet.Zones)], Addr: r.peerAddress(other)})
		}
	}
	s.Services.State = fmt.Sprintf("127.0.0.1:%d", p.port(r.number, portState))
	s.Services.Cloud = fmt.Sprintf("127.0.0.1:%d", p.port(r.number, portCloud))
	c := &s.Cluster
	c.Size, c.Zones = p.Control.Controllers, p.Fleet.Zones
	regions := float64(p.Fleet.Regions)
	for n := range p.Teams.Count {
		c.Teams = append(c.Teams, config.Team{Name: teamName(n), Cores: p.Teams.Cores / regions, CoresMax: p.Teams.CoresMax / regions,
			Accelerators: p.Teams.Accelerators / regions, AccelMax: p.Teams.AcceleratorsMax / regions})
	}
	for _, l := range p.Load {
		if l.Urgent {
			c.Objectives = append(c.Objectives, config.Objective{Kind: "wait", Class: l.Name, WithinS: p.Teams.UrgentWithinS, Share: p.Teams.UrgentStartShare})
		}
	}
	c.Workers = config.Workers{ReportS: p.Workers.ReportS, LeaseS: p.Workers.LeaseS, CancelS: p.Workers.CancelS, GangPeerS: p.Workers.GangPeerS}
	c.State = config.State{RPS: p.State.RPS, WriteRPS: p.State.WriteRPS, ValueKB: p.State.ValueKB, TxnOps: p.State.TxnOps}
	c.Cloud = config.Cloud{RPS: p.Cloud.RPS, ListLagS: p.Cloud.ListLagS}
	c.Resources = config.Resources{Cores: p.Control.Cores, MemMB: p.Control.MemoryMB, FDs: p.Control.Sockets}
	c.ClockErrorMS = 25
	return s
}

// ControllerError is a controller that did not start or ended by itself.
type ControllerError struct {
	Label    string
	Cause    error
	LastLine string // of its log
}

// Error names the process and its log's last line.
func (e *ControllerError) Error() string {
	return fmt.Sprintf("%s ended by itself: %v: %s", e.Label, e.Cause, e.LastLine)
}

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

// startController runs the program. The process ends with this one, however that ends.
func (r *region) startController(c *controller) error {
	log, err := os.OpenFile(c.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	program, operator := r.programOf(c)
	command := exec.Command(program, "--operator", operator, "--config", c.settings)
	command.Stderr = log
	command.Env = append(os.Environ(), "LOG_LEVEL="+r.plan.Run.LogLevel)
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
	r.metrics.watchProcess(c.label, command.Process.Pid)
	go func() {
		err := command.Wait()
		c.mu.Lock()
		byItself := !c.killed && !c.stopped
		c.healthy = false
		c.mu.Unlock()
		if byItself {
			r.fail(&ControllerError{c.label, err, lastLine(c.log)})
		}
	}()
	return nil
}

// kill ends a controller, which is started again after the plan's time.
func (r *region) kill(ctx context.Context, c *controller) {
	c.mu.Lock()
	c.killed = true
	if c.command != nil {
		_ = c.command.Process.Kill() // it may have ended
	}
	c.mu.Unlock()
	time.AfterFunc(seconds(r.plan.Control.RestartS), func() {
		if ctx.Err() != nil {
			return
		}
		if err := r.startController(c); err != nil {
			r.fail(err)
		}
	})
}

// freeze has a controller stand still for a while: the process is stopped, with its sockets open
// and its clocks running on.
func (r *region) freeze(c *controller, d time.Duration) {
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

// other is a controller that neither leads nor stands still.
func (r *region) other() *controller {
	leader, _ := r.leader()
	for _, c := range r.controllers {
		c.mu.Lock()
		able := c.label != leader.Label && !c.frozen && !c.killed
		c.mu.Unlock()
		if able {
			return c
		}
	}
	return nil
}

// stopControllers ends all of them for good and waits for it.
func (r *region) stopControllers() {
	for _, c := range r.controllers {
		c.mu.Lock()
		c.stopped = true
		if c.command != nil {
			_ = c.command.Process.Kill() // it may have ended
		}
		c.mu.Unlock()
	}
}

// probe asks each controller about once a second whether it takes requests, as the load
// balancer does: two failures in a row make it unhealthy, two successes healthy.
func (r *region) probe(ctx context.Context, c *controller) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}}
	streak := 0
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		ok := false
		if response, err := client.Get("http://" + c.clientAddress + "/ready"); err == nil {
			ok = response.StatusCode == http.StatusOK
			response.Body.Close()
		}
		c.mu.Lock()
		if ok != c.healthy {
			streak++
		} else {
			streak = 0
		}
		if streak >= 2 || ok && c.starts == 1 {
			c.healthy, streak = ok, 0
		}
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// dialTimeout is when the load balancer gives up a connection to a controller.
const dialTimeout = 500 * time.Millisecond

// pick chooses the healthy controllers in turn; none if no one is.
func (r *region) pick() *controller {
	n := len(r.controllers)
	for range n {
		r.nextController++
		c := r.controllers[r.nextController%n]
		c.mu.Lock()
		ok := c.healthy
		c.mu.Unlock()
		if ok {
			return c
		}
	}
	return nil
}
