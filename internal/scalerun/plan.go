package scalerun

import (
	"fmt"
	"os"

	"github.com/BurntSushi/toml"

	"claybarrow/internal/emulator"
)

// Plan describes a run; it is read from a TOML file. The suffix of a field's name gives its unit: S is seconds, MS
// milliseconds, KB kilobytes, MB megabytes, GB gigabytes, RPS requests per second.
type Plan struct {
	Run     RunPlan     `toml:"run"`
	Fleet   FleetPlan   `toml:"fleet"`
	Control ControlPlan `toml:"control"`
	State   StatePlan   `toml:"state"`
	Cloud   CloudPlan   `toml:"cloud"`
	Workers WorkerPlan  `toml:"workers"`
	Teams   TeamPlan    `toml:"teams"`
	Load    []LoadPlan  `toml:"load"`
	Faults  []FaultPlan `toml:"faults"`
	Copies  CopyPlan    `toml:"copies"`
	Limits  LimitPlan   `toml:"limits"`
}

// RunPlan sets the programs under test, the duration of the run and the ports of its processes.
type RunPlan struct {
	Program string `toml:"program"` // path of the program under test, a deployment build
	// Older is the program that the controllers run before an upgrade; if empty, they run Program from the start.
	Older     string  `toml:"older"`
	WarmupS   float64 `toml:"warmup_s"`   // before the measured phase
	DurationS float64 `toml:"duration_s"` // of the measured phase
	Seed      uint64  `toml:"seed"`
	BasePort  int     `toml:"base_port"` // first port; each region uses ten consecutive ports
	LogLevel  string  `toml:"log_level"` // of the controllers
	KeepLogs  bool    `toml:"keep_logs"` // keep the regions' temporary directories
	// Links makes the controllers' connections go through links, which can be cut, held and delayed.
	Links bool `toml:"links"`
}

// FleetPlan sets the machines. Workers is the total over all regions.
type FleetPlan struct {
	Workers int        `toml:"workers"`
	Regions int        `toml:"regions"`
	Zones   []string   `toml:"zones"` // of each region
	Types   []TypePlan `toml:"types"`
}

// TypePlan sets a machine type and its share of the fleet, from 0 to 1.
type TypePlan struct {
	Name         string  `toml:"name"`
	Share        float64 `toml:"share"`
	Cores        float64 `toml:"cores"`
	Accelerators float64 `toml:"accelerators"`
	MemoryGB     float64 `toml:"memory_gb"`
	CacheGB      float64 `toml:"cache_gb"`
	FetchGBPerS  float64 `toml:"fetch_gb_per_s"`
	Price        float64 `toml:"price"`
	BootS        float64 `toml:"boot_s"`
}

// ControlPlan sets the controllers of each region, which are assigned to its zones round-robin.
type ControlPlan struct {
	Controllers int     `toml:"controllers"`
	Cores       float64 `toml:"cores"`
	MemoryMB    float64 `toml:"memory_mb"`
	Sockets     int     `toml:"sockets"`
	RestartS    float64 `toml:"restart_s"` // delay before a killed controller is restarted
	// HoldCores holds each controller to its share of a core by suspending it in short slices.
	HoldCores bool `toml:"hold_cores"`
	// LoadBalancer distributes users' connections by health checks with pauses, as the protocol describes it. Without
	// it, two checks decide and each request is sent to the next healthy controller.
	LoadBalancer bool `toml:"load_balancer"`
	// Operator is TOML text that is appended to the operator settings of controllers that run run.program.
	Operator string `toml:"operator"`
	// OlderOperator is TOML text that is appended to the operator settings of controllers that run run.older.
	OlderOperator string `toml:"older_operator"`
}

// StatePlan sets the limits and the latency of each region's state service.
type StatePlan struct {
	RPS       float64 `toml:"rps"`
	WriteRPS  float64 `toml:"write_rps"`
	ValueKB   float64 `toml:"value_kb"`
	TxnOps    int     `toml:"txn_ops"`
	LatencyMS float64 `toml:"latency_ms"`
}

// CloudPlan sets the request rate limit of each region's cloud and the staleness of its machine list.
type CloudPlan struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// WorkerPlan sets the timing of the workers' protocol.
type WorkerPlan struct {
	ReportS   float64 `toml:"report_s"`
	LeaseS    float64 `toml:"lease_s"`
	CancelS   float64 `toml:"cancel_s"`
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
}

// TeamPlan sets the teams, which all have the same quotas. Guarantees (cores, accelerators) and limits (cores_max,
// accelerators_max) apply to each team and are totals over all regions.
type TeamPlan struct {
	Count            int     `toml:"count"`
	Cores            float64 `toml:"cores"`
	CoresMax         float64 `toml:"cores_max"`
	Accelerators     float64 `toml:"accelerators"`
	AcceleratorsMax  float64 `toml:"accelerators_max"`
	UrgentWithinS    float64 `toml:"urgent_within_s"` // start latency objective for urgent classes
	UrgentStartShare float64 `toml:"urgent_start_share"`
}

// LoadPlan sets a class of jobs.
type LoadPlan struct {
	Name         string  `toml:"name"`
	Shape        string  `toml:"shape"` // batch, service or group
	Priority     string  `toml:"priority"`
	StartsPerS   float64 `toml:"starts_per_s"` // task starts in all regions at steady state
	Tasks        int     `toml:"tasks"`        // per job
	RunS         float64 `toml:"run_s"`        // run time of a task; a service is cancelled after this time
	Cores        float64 `toml:"cores"`
	Accelerators float64 `toml:"accelerators"`
	MemoryGB     float64 `toml:"memory_gb"`
	Images       int     `toml:"images"`
	ImageGB      float64 `toml:"image_gb"`
	Spread       bool    `toml:"spread"`
	Cancelled    float64 `toml:"cancelled"` // share of the jobs that clients cancel after half of run_s
	Urgent       bool    `toml:"urgent"`
}

// CopyPlan sets late copies of direct requests to workers: after a request was executed and answered, it arrives again.
type CopyPlan struct {
	Share float64 `toml:"share"` // of the executed requests, from 0 to 1
	Most  int     `toml:"most"`  // copies of one request
	// A copy arrives from min_s to max_s after the answer.
	MinS float64 `toml:"min_s"`
	MaxS float64 `toml:"max_s"`
}

// settings returns the settings of the emulated fleet.
func (c *CopyPlan) settings() emulator.CopySettings {
	return emulator.CopySettings{Share: c.Share, MaxCopies: c.Most, MinDelay: seconds(c.MinS), MaxDelay: seconds(c.MaxS)}
}

// LimitPlan limits the resources that a run may use on its host: a share of the memory and a number of processes.
type LimitPlan struct {
	MemoryShare float64 `toml:"memory_share"`
	Processes   int     `toml:"processes"`
}

// DefaultPlan returns the defaults for settings that a plan file leaves out.
func DefaultPlan() Plan {
	return Plan{
		Run:     RunPlan{Program: "target/claybarrow", WarmupS: 20, DurationS: 30, Seed: 1, BasePort: 21_000, LogLevel: "info"},
		Fleet:   FleetPlan{Workers: 50, Regions: 1, Zones: []string{"a", "b", "c"}},
		Control: ControlPlan{Controllers: 3, Cores: 1, MemoryMB: 512, Sockets: 8192, RestartS: 3},
		State:   StatePlan{RPS: 350, WriteRPS: 120, ValueKB: 8, TxnOps: 24, LatencyMS: 3},
		Cloud:   CloudPlan{RPS: 12, ListLagS: 5},
		Workers: WorkerPlan{ReportS: 6, LeaseS: 31, CancelS: 61, GangWaitS: 30, GangPeerS: 5},
		Teams:   TeamPlan{Count: 6, UrgentWithinS: 4.5, UrgentStartShare: 0.95},
		Limits:  LimitPlan{MemoryShare: maxMemoryShare, Processes: maxProcesses},
	}
}

// PlanError reports an invalid setting of a plan.
type PlanError struct{ Field, Problem string }

// Error returns the setting and the problem in one line.
func (e *PlanError) Error() string { return e.Field + ": " + e.Problem }

func planError(field, format string, args ...any) error {
	return &PlanError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// LoadPlanFile reads and checks a plan file. It returns the errors of os.ReadFile and ParsePlan.
func LoadPlanFile(path string) (*Plan, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParsePlan(string(raw))
}

// ParsePlan parses and checks the TOML text of a plan. It returns a *PlanError for an unknown or invalid setting.
func ParsePlan(text string) (*Plan, error) {
	p := DefaultPlan()
	meta, err := toml.Decode(text, &p)
	if err != nil {
		return nil, fmt.Errorf("parse plan: %w", err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, planError(unknown[0].String(), "unknown key")
	}
	return &p, p.check()
}

// minTeams is the minimum number of teams after scaling.
const minTeams = 6

// Scale multiplies the workers, the load and the teams by a factor (more than 0, at most 100). It does not change the
// rate limits of the state service and the cloud.
func (p *Plan) Scale(factor float64) error {
	if !(factor > 0 && factor <= 100) {
		return planError("scale", "%v is not between 0 and 100", factor)
	}
	p.Fleet.Workers = int(float64(p.Fleet.Workers)*factor + 0.5)
	p.Teams.Count = max(minTeams, int(float64(p.Teams.Count)*factor+0.5))
	for i := range p.Load {
		p.Load[i].StartsPerS *= factor
	}
	return p.check()
}

// Divide changes the number of regions into which the fleet is divided. It does not change the rate limits of the state
// service and the cloud, which apply to each region.
func (p *Plan) Divide(regions int) error {
	p.Fleet.Regions = regions
	return p.check()
}

// regionWorkers returns the number of workers in a region. The first regions get one more if there is a remainder.
func (p *Plan) regionWorkers(region int) int {
	n := p.Fleet.Workers / p.Fleet.Regions
	if region < p.Fleet.Workers%p.Fleet.Regions {
		n++
	}
	return n
}
