package scalerun

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"claybarrow/internal/config"
)

// clockErrorMS is the maximum clock difference between controllers that their settings declare, in milliseconds.
const clockErrorMS = 25

func controllerLabel(i int) string { return fmt.Sprintf("controller-%d", i) }

// controllerZone returns the zone of a region's i-th controller. Zones are assigned round-robin.
func (p *Plan) controllerZone(i int) string { return p.Fleet.Zones[i%len(p.Fleet.Zones)] }

// clientAddress returns the address on which a region's i-th controller listens for clients and workers.
func (p *Plan) clientAddress(region, i int) string {
	return fmt.Sprintf("%s:%d", controllerHost(region, i), p.port(region, portClients))
}

// peerAddress returns the address on which a region's i-th controller listens for the other controllers.
func (p *Plan) peerAddress(region, i int) string {
	return fmt.Sprintf("%s:%d", controllerHost(region, i), p.port(region, portPeers))
}

// writeControllerSettings writes the settings file of a region's i-th controller.
func (p *Plan) writeControllerSettings(path string, region, i int) error {
	raw, err := json.Marshal(p.controllerSettings(region, i))
	if err != nil {
		return fmt.Errorf("encode settings of %s: %w", controllerLabel(i), err)
	}
	return os.WriteFile(path, raw, 0o600)
}

// controllerSettings returns the settings of a region's i-th controller, in the format that the deployment
// documentation describes.
func (p *Plan) controllerSettings(region, i int) *config.Settings {
	s := &config.Settings{Label: controllerLabel(i), Zone: p.controllerZone(i), ClientListen: p.clientAddress(region, i), PeerListen: p.peerAddress(region, i)}
	for other := range p.Control.Controllers {
		if other != i {
			s.Siblings = append(s.Siblings, config.Peer{Label: controllerLabel(other), Zone: p.controllerZone(other), Addr: p.peerAddressFrom(region, i, other)})
		}
	}
	s.Services.State = p.serviceAddressFrom(region, i, portState)
	s.Services.Cloud = p.serviceAddressFrom(region, i, portCloud)
	c := &s.Cluster
	c.Size, c.Zones = p.Control.Controllers, p.Fleet.Zones
	c.Teams, c.Objectives = p.teamSettings(), p.objectiveSettings()
	c.Workers = config.Workers{HeartbeatS: p.Workers.ReportS, LeaseS: p.Workers.LeaseS, CancelS: p.Workers.CancelS, GangPeerS: p.Workers.GangPeerS}
	c.State = config.State{RPS: p.State.RPS, WriteRPS: p.State.WriteRPS, ValueKB: p.State.ValueKB, TxnOps: p.State.TxnOps}
	c.Cloud = config.Cloud{RPS: p.Cloud.RPS, ListLagS: p.Cloud.ListLagS}
	c.Resources = config.Resources{Cores: p.Control.Cores, MemMB: p.Control.MemoryMB, FDs: p.Control.Sockets}
	c.ClockErrorMS = clockErrorMS
	return s
}

// teamSettings returns the teams' settings. Guarantees and limits are divided evenly among the regions.
func (p *Plan) teamSettings() (teams []config.Team) {
	regions := float64(p.Fleet.Regions)
	for n := range p.Teams.Count {
		teams = append(teams, config.Team{Name: teamName(n), Cores: p.Teams.Cores / regions, CoresMax: p.Teams.CoresMax / regions,
			Accelerators: p.Teams.Accelerators / regions, AcceleratorsMax: p.Teams.AcceleratorsMax / regions})
	}
	return teams
}

// objectiveSettings returns a service-level objective on the start latency of each urgent job class.
func (p *Plan) objectiveSettings() (objectives []config.Objective) {
	for _, l := range p.Load {
		if l.Urgent {
			objectives = append(objectives, config.Objective{Kind: "wait", Class: l.Name, WithinS: p.Teams.UrgentWithinS, Share: p.Teams.UrgentStartShare})
		}
	}
	return objectives
}

// baseOperatorSettings keeps controllers from deleting idle machines, because the plan sets the size of the fleet.
const baseOperatorSettings = "[fleet]\nidle_ratio = 1000.0\n"

// operatorFiles holds the paths of three operator settings files: for run.older, for run.program, and for
// run.program with the feature gate held closed.
type operatorFiles struct{ older, newer, gateHeld string }

func writeOperatorFiles(dir string, control *ControlPlan) (operatorFiles, error) {
	files := operatorFiles{older: filepath.Join(dir, "older.toml"), newer: filepath.Join(dir, "operator.toml"), gateHeld: filepath.Join(dir, "held.toml")}
	contents := map[string]string{
		files.older:    control.OlderOperator,
		files.newer:    control.Operator,
		files.gateHeld: control.Operator + "\n[upgrade]\nhold = true\n",
	}
	for path, text := range contents {
		if err := os.WriteFile(path, []byte(baseOperatorSettings+text), 0o600); err != nil {
			return files, err
		}
	}
	return files, nil
}
