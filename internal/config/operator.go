package config

// Operator holds the contents of the operators' file. setDefaults sets the defaults of the keys that the file
// omits.
type Operator struct {
	// Green holds the scheduler's parameters, with the names of the GREEN paper (docs/design.md).
	Green struct {
		// Gamma is the degradation below which a job stops scaling out.
		Gamma float64 `toml:"gamma"`
		// UpperCap is the upper queue's maximum share of the fleet.
		UpperCap float64 `toml:"upper_cap"`
		// RoundS is the time between two scheduling rounds, and FillS the time between two
		// fills of free machines, in seconds.
		RoundS float64 `toml:"round_s"`
		FillS  float64 `toml:"fill_s"`
		// CountersS is the time between two writes of the jobs' counters, in seconds.
		CountersS float64 `toml:"counters_s"`
	} `toml:"green"`
	// Fleet holds the parameters of scaling out and in.
	Fleet struct {
		// Headroom scales the capacity that is kept free for jobs that arrive while a machine
		// boots.
		Headroom float64 `toml:"headroom"`
		// IdleRatio is how long an idle machine is kept, in multiples of its type's boot time.
		IdleRatio float64 `toml:"idle_ratio"`
		// Machines is the number of machines that the fleet is meant for; 0: derived from the
		// teams' guarantees.
		Machines int `toml:"machines"`
	} `toml:"fleet"`
	// Membership holds the parameters of the failure detector between controllers.
	Membership struct {
		Enabled bool `toml:"enabled"`
		// Probe is the time between two rounds of probes, Timeout how long a peer's ack may take
		// before other controllers are asked to probe the peer, and Suspicion the minimum time
		// for which a peer is suspect before it is declared dead. All are in leader's leases.
		Probe     float64 `toml:"probe"`
		Timeout   float64 `toml:"timeout"`
		Suspicion float64 `toml:"suspicion"`
		// Steady is how long a controller that was dead or left must be alive again before it
		// serves machines, in workers' leases.
		Steady float64 `toml:"steady"`
	} `toml:"membership"`
	// Upgrade holds the operators' control over a rolling upgrade.
	Upgrade struct {
		// Hold closes the feature gate or keeps it closed. It takes effect if any one controller sets
		// it.
		Hold bool `toml:"hold"`
	} `toml:"upgrade"`
	// EndJournal enables storing the completions of many tasks in one value, once the feature gate is
	// open.
	EndJournal struct {
		Enabled bool `toml:"enabled"`
	} `toml:"end_journal"`
	Telemetry struct {
		// Metrics enables GET /metrics on the peer listener.
		Metrics bool `toml:"metrics"`
		// TraceFile is the file that the trace spans of leader changes are appended to, one JSON
		// object per span; empty: spans are not written.
		TraceFile string `toml:"trace_file"`
	} `toml:"telemetry"`
}

// setDefaults sets the defaults, which docs/design.md documents.
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
