package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"claybarrow/internal/config"
	"claybarrow/internal/protocol"
)

// site describes a small deployment.
type site struct {
	Controllers            int
	Zones                  []string
	Teams                  []config.Team
	Types                  []protocol.MachineType
	ReportS, LeaseS        float64
	CancelS                float64
	RPS, WriteRPS, ValueKB float64
	TxnOps                 int
	CloudRPS, ListLagS     float64
	Cores, MemMB           float64
	FDs                    int
	Boot, RunTime          time.Duration
	FetchFactor            func(machine string) float64
	StateLatency           time.Duration
}

func (s *site) report() time.Duration { return time.Duration(s.ReportS * float64(time.Second)) }
func (s *site) lease() time.Duration  { return time.Duration(s.LeaseS * float64(time.Second)) }

// controller is a process of the program.
type controller struct {
	label, zone, client, peer string
	settings                  string
	process                   *exec.Cmd
	ended                     chan struct{} // closed when the process has ended
	down                      atomic.Bool   // it is being restarted
}

// prepareControllers chooses the addresses of the controllers and writes their settings.
func (w *world) prepareControllers(s *site) error {
	for i := range s.Controllers {
		c := &controller{label: fmt.Sprintf("barrowhand-%d", i), zone: s.Zones[i%len(s.Zones)]}
		var err error
		if c.client, err = freeAddr(); err != nil {
			return err
		}
		if c.peer, err = freeAddr(); err != nil {
			return err
		}
		w.controllers = append(w.controllers, c)
	}
	for _, c := range w.controllers {
		if err := w.writeSettings(c, s); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes the settings file of a controller, in the form of the deployment page.
func (w *world) writeSettings(c *controller, s *site) error {
	settings := &config.Settings{Label: c.label, Zone: c.zone, ClientListen: c.client, PeerListen: c.peer, Siblings: []config.Peer{}}
	for _, other := range w.controllers {
		if other != c {
			settings.Siblings = append(settings.Siblings, config.Peer{Label: other.label, Zone: other.zone, Addr: other.peer})
		}
	}
	settings.Services.State, settings.Services.Cloud = w.stateAddr, w.cloudAddr
	cluster := &settings.Cluster
	cluster.Size, cluster.Zones, cluster.Teams = s.Controllers, s.Zones, s.Teams
	cluster.Objectives = []config.Objective{}
	cluster.Workers = config.Workers{HeartbeatS: s.ReportS, LeaseS: s.LeaseS, CancelS: s.CancelS, GangPeerS: 5}
	cluster.State = config.State{RPS: s.RPS, WriteRPS: s.WriteRPS, ValueKB: s.ValueKB, TxnOps: s.TxnOps}
	cluster.Cloud = config.Cloud{RPS: s.CloudRPS, ListLagS: s.ListLagS}
	cluster.Resources = config.Resources{Cores: s.Cores, MemMB: s.MemMB, FDs: s.FDs}
	cluster.ClockErrorMS = 25
	text, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		return err
	}
	c.settings = filepath.Join(w.dir, c.label+".json")
	return os.WriteFile(c.settings, text, 0o600)
}

// start starts a controller with the command of the deploy file.
func (w *world) start(c *controller) error {
	log, err := os.OpenFile(filepath.Join(w.dir, c.label+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	run := strings.Fields(os.Getenv("CLAYBARROW_RUN"))
	command := exec.Command(run[0], append(run[1:], c.settings)...)
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	c.process, c.ended = command, make(chan struct{})
	w.record.printf("controller %s started", c.label)
	go func(ended chan struct{}) {
		err := command.Wait()
		w.record.printf("controller %s ended: %v", c.label, err)
		close(ended)
	}(c.ended)
	return nil
}

// stopControllers ends all processes that the case has started.
func (w *world) stopControllers() {
	for _, c := range w.controllers {
		if c.process != nil {
			_ = c.process.Process.Kill() // fails if it has ended
			<-c.ended
		}
	}
}
