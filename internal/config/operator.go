package config

// Operator is the operators' own file. Keys that it does not name have the defaults that
// setDefaults gives them.
type Operator struct {
	// Green holds the scheduler's parameters, which the GREEN paper names (docs/design.md).
	Green struct {
		// Gamma is the degradation below which a job stops scaling out.
		Gamma float64 `toml:"gamma"`
		// UpperQueueCap is the upper queue's share of the fleet.
		UpperCap float64 `toml:"upper_cap"`
		// RoundS is the time between two scheduling rounds, and FillS between two fills of
		// free machines, in seconds.
		RoundS float64 `toml:"round_s"`
		FillS  float64 `toml:"fill_s"`
		// CountersS is the time between two writes of the jobs' counters, in seconds.
		CountersS float64 `toml:"counters_s"`
	} `toml:"green"`
	// Fleet holds the parameters of scaling out and in.
	Fleet struct {
		// Headroom scales the capacity kept free for jobs that arrive faster than a machine
		// boots.
		Headroom float64 `toml:"headroom"`
		// IdleRatio times a type's boot time is how long an idle machine is kept.
		IdleRatio float64 `toml:"idle_ratio"`
		// Machines is the size that the fleet is meant for; 0: derived from the teams'
		// guarantees.
		Machines int `toml:"machines"`
	} `toml:"fleet"`
	// Membership says how failed controllers are detected.
	Membership struct {
		Enabled bool `toml:"enabled"`
		// Probe is the time between two probes of a peer, Timeout how long its answer may
		// take before others are asked to probe it, and Suspicion the least time from
		// suspicion to death: all in leader's leases.
		Probe     float64 `toml:"probe"`
		Timeout   float64 `toml:"timeout"`
		Suspicion float64 `toml:"suspicion"`
		// Steady is how long a controller that came back must have been alive before it
		// serves machines again, in workers' leases.
		Steady float64 `toml:"steady"`
	} `toml:"membership"`
	// Upgrade is what operators say of a rolling upgrade.
	Upgrade struct {
		// Hold keeps the feature gate closed, or closes it, from any one controller.
		Hold bool `toml:"hold"`
	} `toml:"upgrade"`
	// EndJournal says whether the completions of many tasks are stored in one value, once the
	// feature gate is open.
	EndJournal struct {
		Enabled bool `toml:"enabled"`
	} `toml:"end_journal"`
	Telemetry struct {
		// Metrics turns on GET /metrics at the listener for peers.
		Metrics bool `toml:"metrics"`
		// TraceFile is the file that the spans of changes of leader are appended to, a JSON
		// object each; empty: none.
		TraceFile string `toml:"trace_file"`
	} `toml:"telemetry"`
}

// setDefaults sets the defaults, which are those of the design page.
func (o *Operator) setDefaults() {
	o.Green.Gamma = 0.9
	o.Green.UpperCap = 0.3
	o.Green.RoundS = 5
	o.Green.FillS = 60
	o.Green.CountersS = 60
	o.Fleet.Headroom = 1.0
	o.Fleet.IdleRatio = 0.3
	o.Membership.Probe = 0.2
	o.Membership.Timeout = 0.1
	o.Membership.Suspicion = 2
	o.Membership.Steady = 2
}
