// Package config reads the platform's settings (JSON) and the operators' own
// (TOML), checks them, and derives every other constant as a ratio to them, so
// that one program serves sites of different sizes.
package config

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"os"
	"time"

	"github.com/BurntSushi/toml"
)

// Peer is another controller.
type Peer struct {
	Label string `json:"label"`
	Zone  string `json:"zone"`
	Addr  string `json:"peer_addr"`
}

// Team holds a team's guarantee and limit. Zero means none of that kind.
type Team struct {
	Name         string  `json:"name"`
	Cores        float64 `json:"cpus"`
	CoresMax     float64 `json:"cpus_max"`
	Accelerators float64 `json:"gpus"`
	AccelMax     float64 `json:"gpus_max"`
}

// Objective repeats one of the users' aims.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Times   float64 `json:"times"` // of a job's own deadline
	Share   float64 `json:"share"`
}

// Workers holds the workers' timing.
type Workers struct {
	ReportS float64 `json:"report_s"`
	LeaseS  float64 `json:"lease_s"`
	CancelS float64 `json:"cancel_s"`
	// GangPeerS is how long tasks of a gang wait for one another when they stop.
	GangPeerS float64 `json:"gang_peer_s"`
}

// State holds the state service's limits.
type State struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
	// Next are limits that will hold from some moment on, without notice.
	Next *NextState `json:"next"`
}

// NextState holds limits to come; 0: as now.
type NextState struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

// leastWriteRPS is the least rate of changes that leaves any to what nobody waits for,
// beside the half of a second's worth that is kept for what somebody does.
const leastWriteRPS = 3

// check says which of the limits to come is less than nothing.
func (n *NextState) check() error {
	if n == nil {
		return nil
	}
	for _, limit := range []struct {
		field string
		value float64
	}{{"rps", n.RPS}, {"write_rps", n.WriteRPS}, {"value_kb", n.ValueKB}, {"txn_ops", float64(n.TxnOps)}} {
		if !(limit.value >= 0) {
			return fmt.Errorf("settings: cluster.state.next.%s: %v is not 0 or more", limit.field, limit.value)
		}
	}
	return nil
}

// Both is what holds now and later: the lower of each limit. It is written within
// from the start, so that the moment of the change does not matter.
func (s State) Both() State {
	if n := s.Next; n != nil {
		lower := func(now, next float64) float64 {
			if next > 0 {
				return min(now, next)
			}
			return now
		}
		s.RPS, s.WriteRPS, s.ValueKB = lower(s.RPS, n.RPS), lower(s.WriteRPS, n.WriteRPS), lower(s.ValueKB, n.ValueKB)
		s.TxnOps = int(lower(float64(s.TxnOps), float64(n.TxnOps)))
	}
	return s
}

// Cloud holds the cloud's limits.
type Cloud struct {
	RPS      float64 `json:"rps"`
	ListLagS float64 `json:"list_lag_s"`
}

// Resources holds what this process may use.
type Resources struct {
	Cores float64 `json:"cores"`
	MemMB float64 `json:"mem_mb"`
	FDs   int     `json:"fd_limit"`
}

// Settings is the platform's file. Fields it has and we do not know are ignored.
type Settings struct {
	Label        string `json:"label"`
	Zone         string `json:"zone"`
	ClientListen string `json:"client_listen"`
	PeerListen   string `json:"peer_listen"`
	Siblings     []Peer `json:"siblings"`
	Services     struct {
		Cloud string `json:"cloud"`
		State string `json:"state"`
	} `json:"services"`
	Cluster struct {
		Size         int         `json:"size"`
		Zones        []string    `json:"zones"`
		Teams        []Team      `json:"teams"`
		Objectives   []Objective `json:"objectives"`
		Workers      Workers     `json:"workers"`
		State        State       `json:"state"`
		Cloud        Cloud       `json:"cloud"`
		Resources    Resources   `json:"resources"`
		ClockErrorMS float64     `json:"clock_error_ms"`
	} `json:"cluster"`
}

// Operator is the operators' own file. The defaults are those of the design page.
type Operator struct {
	Green struct {
		// Gamma is the degradation below which a job stops scaling up.
		Gamma float64 `toml:"gamma"`
		// UpperCap is the upper queue's share of the fleet.
		UpperCap float64 `toml:"upper_cap"`
		// RoundS and FillS are the seconds between rounds and between fills.
		RoundS float64 `toml:"round_s"`
		FillS  float64 `toml:"fill_s"`
		// CountersS is the time between two writes of the counters.
		CountersS float64 `toml:"counters_s"`
	} `toml:"green"`
	Fleet struct {
		// Headroom scales the room kept free for arrivals faster than a boot.
		Headroom float64 `toml:"headroom"`
		// IdleRatio times a type's boot time is how long an idle machine is kept.
		IdleRatio float64 `toml:"idle_ratio"`
		// Machines is the size that the fleet is meant for; 0: derived from the teams' guarantees.
		Machines int `toml:"machines"`
	} `toml:"fleet"`
	// Membership is how failed controllers are noticed.
	Membership struct {
		Enabled bool `toml:"enabled"`
		// Probe is the time between two probes of a peer, Timeout how long its answer may take
		// before others are asked, Suspicion the least time from suspicion to death: in
		// leader's leases.
		Probe     float64 `toml:"probe"`
		Timeout   float64 `toml:"timeout"`
		Suspicion float64 `toml:"suspicion"`
		// Steady is how long a controller that came back must have been alive before it serves
		// machines again, in workers' leases.
		Steady float64 `toml:"steady"`
	} `toml:"membership"`
	// Upgrade is what operators say of a rolling upgrade.
	Upgrade struct {
		// Hold keeps the feature gate closed, or closes it, from any one controller.
		Hold bool `toml:"hold"`
	} `toml:"upgrade"`
	// EndJournal has the ends of tasks stored many in one value, once the feature gate is open.
	EndJournal struct {
		Enabled bool `toml:"enabled"`
	} `toml:"end_journal"`
	Telemetry struct {
		// Metrics turns on GET /metrics at the peers' listener.
		Metrics bool `toml:"metrics"`
		// TraceFile takes the spans of handovers, a JSON object each; empty: none.
		TraceFile string `toml:"trace_file"`
	} `toml:"telemetry"`
}

// Config is what the rest of the program sees.
type Config struct {
	Settings
	Operator Operator
	// namesGate: the operators' file has keys that versions before the feature gate refuse.
	namesGate bool
}

// Load reads and checks the platform's file and, if named, the operators'.
func Load(platform, operator string) (*Config, error) {
	raw, err := os.ReadFile(platform)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var overrides []byte
	if operator != "" {
		if overrides, err = os.ReadFile(operator); err != nil {
			return nil, fmt.Errorf("operators' settings: %w", err)
		}
	}
	return Parse(raw, overrides)
}

// Parse checks both files' contents.
func Parse(platform, operator []byte) (*Config, error) {
	c := &Config{}
	if err := json.Unmarshal(platform, &c.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	g := &c.Operator.Green
	g.Gamma, g.UpperCap, g.RoundS, g.FillS, g.CountersS = 0.9, 0.3, 5, 60, 60
	c.Operator.Fleet.Headroom, c.Operator.Fleet.IdleRatio = 1.0, 0.3
	m := &c.Operator.Membership
	m.Probe, m.Timeout, m.Suspicion, m.Steady = 0.2, 0.1, 2, 2
	meta, err := toml.Decode(string(operator), &c.Operator)
	if err != nil {
		return nil, fmt.Errorf("operators' settings: %w", err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("operators' settings: unknown key %s", unknown[0])
	}
	c.namesGate = meta.IsDefined("upgrade") || meta.IsDefined("end_journal")
	if err := c.check(); err != nil {
		return nil, err
	}
	return c, nil
}

// check names the first setting that is wrong.
func (c *Config) check() error {
	for _, part := range []func() error{c.checkAddresses, c.checkSiblings, c.checkTeams, c.Cluster.State.Next.check, c.checkNumbers, c.checkMembership} {
		if err := part(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) checkAddresses() error {
	for _, a := range []struct{ field, value string }{
		{"client_listen", c.ClientListen}, {"peer_listen", c.PeerListen},
		{"services.cloud", c.Services.Cloud}, {"services.state", c.Services.State},
	} {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return fmt.Errorf("settings: %s: %w", a.field, err)
		}
	}
	return nil
}

func (c *Config) checkSiblings() error {
	if c.Label == "" {
		return fmt.Errorf("settings: label: missing")
	}
	seen := map[string]bool{c.Label: true}
	for i, s := range c.Siblings {
		if s.Label == "" || seen[s.Label] {
			return fmt.Errorf("settings: siblings[%d].label: missing or used twice", i)
		}
		seen[s.Label] = true
		if _, _, err := net.SplitHostPort(s.Addr); err != nil {
			return fmt.Errorf("settings: siblings[%d].peer_addr: %w", i, err)
		}
	}
	return nil
}

func (c *Config) checkTeams() error {
	names := map[string]bool{}
	for i, t := range c.Cluster.Teams {
		if t.Name == "" || names[t.Name] {
			return fmt.Errorf("settings: cluster.teams[%d].name: missing or used twice", i)
		}
		names[t.Name] = true
		for _, v := range []float64{t.Cores, t.CoresMax, t.Accelerators, t.AccelMax} {
			if !(v >= 0) || math.IsInf(v, 0) {
				return fmt.Errorf("settings: cluster.teams[%d]: amounts must be 0 or more", i)
			}
		}
	}
	return nil
}

// checkNumbers compares amounts with what makes sense.
func (c *Config) checkNumbers() error {
	w, s, cl, r := c.Cluster.Workers, c.Cluster.State, c.Cluster.Cloud, c.Cluster.Resources
	both := s.Both()
	g, f := c.Operator.Green, c.Operator.Fleet
	for _, n := range []struct {
		field    string
		value    float64
		min, max float64
	}{
		{"settings: cluster.workers.report_s", w.ReportS, 0.01, 3600},
		{"settings: cluster.workers.lease_s", w.LeaseS, 0.5, 3600},
		{"settings: cluster.workers.cancel_s", w.CancelS, w.LeaseS, 86400},
		{"settings: cluster.state.rps", s.RPS, 5, 1e9},
		{"settings: cluster.state.write_rps", s.WriteRPS, leastWriteRPS, 1e9},
		{"settings: cluster.state.value_kb", s.ValueKB, 1, 1e6},
		{"settings: cluster.state.txn_ops", float64(s.TxnOps), 2, 1e6},
		{"settings: cluster.state.next.rps", both.RPS, 5, 1e9},
		{"settings: cluster.state.next.write_rps", both.WriteRPS, leastWriteRPS, 1e9},
		{"settings: cluster.state.next.value_kb", both.ValueKB, 1, 1e6},
		{"settings: cluster.state.next.txn_ops", float64(both.TxnOps), 2, 1e6},
		{"settings: cluster.workers.gang_peer_s", w.GangPeerS, 0, 3600},
		{"settings: cluster.cloud.rps", cl.RPS, 0.1, 1e9},
		{"settings: cluster.cloud.list_lag_s", cl.ListLagS, 0, 3600},
		{"settings: cluster.resources.cores", r.Cores, 0.001, 1e6},
		{"settings: cluster.resources.mem_mb", r.MemMB, 16, 1e9},
		{"settings: cluster.resources.fd_limit", float64(r.FDs), 32, 1e9},
		{"operators' settings: green.gamma", g.Gamma, 0, 1},
		{"operators' settings: green.upper_cap", g.UpperCap, 0, 1},
		{"operators' settings: green.round_s", g.RoundS, 1, 86400},
		{"operators' settings: green.fill_s", g.FillS, 0.1, 86400},
		{"operators' settings: green.counters_s", g.CountersS, 1, 86400},
		{"operators' settings: fleet.headroom", f.Headroom, 0, 100},
		{"operators' settings: fleet.idle_ratio", f.IdleRatio, 0, 1000},
		{"operators' settings: fleet.machines", float64(f.Machines), 0, 1e6},
	} {
		if !(n.value >= n.min && n.value <= n.max) {
			return fmt.Errorf("%s: %v is not between %v and %v", n.field, n.value, n.min, n.max)
		}
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Drift stretches a duration by twice the most that two steady clocks may
// drift apart (0.05%), to be safe against rounding too.
func Drift(d time.Duration) time.Duration { return d + d/1000 }

// Report is the time between two reports of a worker.
func (c *Config) Report() time.Duration { return seconds(c.Cluster.Workers.ReportS) }

// Lease is the workers' lease.
func (c *Config) Lease() time.Duration { return seconds(c.Cluster.Workers.LeaseS) }

// LeaderTTL is the leader's lease in the state service: 3/20 of the workers'
// lease, so that a successor stands well before that runs out, or less where
// that costs nothing. Larger fleets have longer leases of their workers, which
// is no reason to leave users without a leader for longer. What bounds it from
// below is the work that may keep a leader from renewing: half a second of a
// whole core, and a take-over of the whole fleet; and its five renewals, which
// may take a hundredth of the state service's requests.
func (c *Config) LeaderTTL() time.Duration {
	cores, rps := c.Cluster.Resources.Cores, c.Cluster.State.RPS
	least := seconds(max(0.5/cores, 500/rps, c.TakeOver().Seconds()))
	return max(min(c.Lease()*3/20, least), 500*time.Millisecond)
}

// Tick is the time between two looks at what time alone tells.
func (c *Config) Tick() time.Duration { return c.LeaderTTL() / 15 }

// Heartbeat is the time between two signs of life of a controller to the leader.
func (c *Config) Heartbeat() time.Duration { return c.LeaderTTL() / 3 }

// Cancel is how long the tasks of a cancelled job may take to end.
func (c *Config) Cancel() time.Duration { return seconds(c.Cluster.Workers.CancelS) }

// Coast is how long a leader may go on answering workers after it sent the
// last lease renewal that was confirmed, and how long a zone's silence is taken
// for a cut. Longer than most cuts and outages, as nobody is told of a
// cancellation before its tasks are proved gone; bounded, as until it is over
// tasks that cannot be reached count as running.
func (c *Config) Coast() time.Duration { return 12 * c.Lease() }

// ListLag is the cloud list's usual lag.
func (c *Config) ListLag() time.Duration { return seconds(c.Cluster.Cloud.ListLagS) }

// ValueBytes is the state service's limit on one value, now and later.
func (c *Config) ValueBytes() int { return int(c.Cluster.State.Both().ValueKB * 1024) }

// LayoutBytes is what the layout of stored completions is computed from: the limit
// as it was when the first were written, whatever it will be, as a key must not
// change its meaning.
func (c *Config) LayoutBytes() int { return int(c.Cluster.State.ValueKB * 1024) }

// GangPeer is how long tasks of a gang wait for one another when they stop.
func (c *Config) GangPeer() time.Duration { return seconds(c.Cluster.Workers.GangPeerS) }
