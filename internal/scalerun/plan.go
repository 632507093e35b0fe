// Package scalerun plays a large fleet against real controller processes over loopback: hollow
// workers that speak the protocol, stand-ins for the state service and the cloud, and users.
// It checks the protocol's rules while it runs and measures what the size costs.
package scalerun

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/shirou/gopsutil/v4/mem"
	"golang.org/x/sys/unix"
)

// Plan is what a run is made of, as its TOML file says.
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
	Limits  LimitPlan   `toml:"limits"`
}

// RunPlan says how long a run takes and what it plays against.
type RunPlan struct {
	Program string `toml:"program"` // the deploy build
	// Older is the program that the controllers begin with; empty: they begin with Program.
	Older     string  `toml:"older"`
	WarmupS   float64 `toml:"warmup_s"`   // seconds before measuring begins
	DurationS float64 `toml:"duration_s"` // seconds that are measured
	Seed      uint64  `toml:"seed"`
	BasePort  int     `toml:"base_port"` // first of ten ports for each region
	LogLevel  string  `toml:"log_level"` // of the controllers
	KeepLogs  bool    `toml:"keep_logs"` // in the folder for temporary files
}

// FleetPlan is the machines. Workers are those of all regions.
type FleetPlan struct {
	Workers int        `toml:"workers"`
	Regions int        `toml:"regions"`
	Zones   []string   `toml:"zones"` // of each region
	Types   []TypePlan `toml:"types"`
}

// TypePlan is a machine type, with its share of the fleet.
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

// ControlPlan is the controllers of each region, one zone after the other.
type ControlPlan struct {
	Controllers int     `toml:"controllers"`
	Cores       float64 `toml:"cores"`
	MemoryMB    float64 `toml:"memory_mb"`
	Sockets     int     `toml:"sockets"`
	RestartS    float64 `toml:"restart_s"` // until a killed one is started again
	// Operator is added to the operators' settings of the controllers (TOML).
	Operator string `toml:"operator"`
	// OlderOperator is added to the settings of run.older.
	OlderOperator string `toml:"older_operator"`
}

// StatePlan is each region's state service.
type StatePlan struct {
	RPS       float64 `toml:"rps"`
	WriteRPS  float64 `toml:"write_rps"`
	ValueKB   float64 `toml:"value_kb"`
	TxnOps    int     `toml:"txn_ops"`
	LatencyMS float64 `toml:"latency_ms"`
}

// CloudPlan is each region's cloud.
type CloudPlan struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// WorkerPlan is the workers' timing.
type WorkerPlan struct {
	ReportS   float64 `toml:"report_s"`
	LeaseS    float64 `toml:"lease_s"`
	CancelS   float64 `toml:"cancel_s"`
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
}

// TeamPlan is the teams, all alike; cores and accelerators are those of all regions together.
type TeamPlan struct {
	Count            int     `toml:"count"`
	Cores            float64 `toml:"cores"`
	CoresMax         float64 `toml:"cores_max"`
	Accelerators     float64 `toml:"accelerators"`
	AcceleratorsMax  float64 `toml:"accelerators_max"`
	UrgentWithinS    float64 `toml:"urgent_within_s"` // the aim of classes that are urgent
	UrgentStartShare float64 `toml:"urgent_start_share"`
}

// LoadPlan is a class of jobs.
type LoadPlan struct {
	Name         string  `toml:"name"`
	Shape        string  `toml:"shape"` // batch, service or group
	Priority     string  `toml:"priority"`
	StartsPerS   float64 `toml:"starts_per_s"` // in all regions, at steady state
	Tasks        int     `toml:"tasks"`        // of each job
	RunS         float64 `toml:"run_s"`        // of a task; a service is cancelled after it
	Cores        float64 `toml:"cores"`
	Accelerators float64 `toml:"accelerators"`
	MemoryGB     float64 `toml:"memory_gb"`
	Images       int     `toml:"images"`
	ImageGB      float64 `toml:"image_gb"`
	Spread       bool    `toml:"spread"`
	Cancelled    float64 `toml:"cancelled"` // share of the jobs that their users call off halfway
	Urgent       bool    `toml:"urgent"`
}

// LimitPlan bounds what a run may take of the machine that it runs on.
type LimitPlan struct {
	MemoryShare float64 `toml:"memory_share"`
	Processes   int     `toml:"processes"`
}

// Bounds that no plan may raise, and estimates that plans are checked with.
const (
	maxMemoryShare = 0.5
	maxProcesses   = 300
	portsPerRegion = 10
	// workerBytes and connectionBytes are what a hollow worker and its connections take in
	// the region's process, generously.
	workerBytes    = 60 << 10
	regionBytes    = 200 << 20
	spareFiles     = 200
	filesPerWorker = 1.3 // its own connection, and a share of those for direct commands
)

// DefaultPlan is what a plan's file changes.
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

// PlanError names the setting that is wrong.
type PlanError struct{ Field, Problem string }

// Error is the one line that the user sees.
func (e *PlanError) Error() string { return e.Field + ": " + e.Problem }

func planError(field, format string, args ...any) error {
	return &PlanError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// LoadPlanFile reads and checks a plan.
func LoadPlanFile(path string) (*Plan, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParsePlan(string(raw))
}

// ParsePlan checks a plan's text.
func ParsePlan(text string) (*Plan, error) {
	p := DefaultPlan()
	meta, err := toml.Decode(text, &p)
	if err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, planError(unknown[0].String(), "unknown key")
	}
	return &p, p.check()
}

// bound is a setting with its bounds.
type bound struct {
	field    string
	value    float64
	min, max float64
}

func (p *Plan) check() error {
	for _, n := range p.numbers() {
		if !(n.value >= n.min && n.value <= n.max) {
			return planError(n.field, "%v is not between %v and %v", n.value, n.min, n.max)
		}
	}
	if err := p.checkFleet(); err != nil {
		return err
	}
	if err := p.checkLoad(); err != nil {
		return err
	}
	return p.checkFaults()
}

func (p *Plan) numbers() []bound {
	const day = 86_400
	list := []bound{
		{field: "run.warmup_s", value: p.Run.WarmupS, min: 0, max: day},
		{field: "run.duration_s", value: p.Run.DurationS, min: 1, max: day},
		{field: "run.base_port", value: float64(p.Run.BasePort), min: 1024, max: 60_000},
		{field: "fleet.workers", value: float64(p.Fleet.Workers), min: 1, max: 60_000},
		{field: "fleet.regions", value: float64(p.Fleet.Regions), min: 1, max: 4},
		{field: "control.controllers", value: float64(p.Control.Controllers), min: 1, max: 9},
		{field: "control.cores", value: p.Control.Cores, min: 0.01, max: 64},
		{field: "control.memory_mb", value: p.Control.MemoryMB, min: 16, max: 1 << 20},
		{field: "control.sockets", value: float64(p.Control.Sockets), min: 64, max: 1 << 20},
		{field: "control.restart_s", value: p.Control.RestartS, min: 0.1, max: day},
		{field: "state.rps", value: p.State.RPS, min: 5, max: 1e9},
		{field: "state.write_rps", value: p.State.WriteRPS, min: 3, max: 1e9},
		{field: "state.value_kb", value: p.State.ValueKB, min: 1, max: 1e6},
		{field: "state.txn_ops", value: float64(p.State.TxnOps), min: 2, max: 1e6},
		{field: "state.latency_ms", value: p.State.LatencyMS, min: 0, max: 1e4},
		{field: "cloud.rps", value: p.Cloud.RPS, min: 0.1, max: 1e9},
		{field: "cloud.list_lag_s", value: p.Cloud.ListLagS, min: 0, max: 3600},
		{field: "workers.report_s", value: p.Workers.ReportS, min: 0.1, max: 3600},
		{field: "workers.lease_s", value: p.Workers.LeaseS, min: 1, max: 3600},
		{field: "workers.cancel_s", value: p.Workers.CancelS, min: p.Workers.LeaseS, max: day},
		{field: "workers.gang_wait_s", value: p.Workers.GangWaitS, min: 0.1, max: 3600},
		{field: "workers.gang_peer_s", value: p.Workers.GangPeerS, min: 0.1, max: 3600},
		{field: "teams.count", value: float64(p.Teams.Count), min: 1, max: 10_000},
		{field: "limits.memory_share", value: p.Limits.MemoryShare, min: 0.01, max: maxMemoryShare},
		{field: "limits.processes", value: float64(p.Limits.Processes), min: 2, max: maxProcesses},
	}
	return list
}

func (p *Plan) checkFleet() error {
	if len(p.Fleet.Zones) == 0 {
		return planError("fleet.zones", "none is named")
	}
	seen := map[string]bool{}
	for _, zone := range p.Fleet.Zones {
		if zone == "" || seen[zone] {
			return planError("fleet.zones", "%q is empty or named twice", zone)
		}
		seen[zone] = true
	}
	if p.Fleet.Workers < p.Fleet.Regions*len(p.Fleet.Zones) {
		return planError("fleet.workers", "%d are fewer than the %d zones of all regions", p.Fleet.Workers, p.Fleet.Regions*len(p.Fleet.Zones))
	}
	if len(p.Fleet.Types) == 0 {
		return planError("fleet.types", "none is named")
	}
	sum := 0.0
	for i, t := range p.Fleet.Types {
		field := fmt.Sprintf("fleet.types[%d]", i)
		if t.Name == "" {
			return planError(field+".name", "missing")
		}
		if !(t.Share > 0 && t.Cores > 0 && t.MemoryGB > 0 && t.FetchGBPerS > 0 && t.Price > 0 && t.BootS > 0 && t.Accelerators >= 0 && t.CacheGB >= 0) {
			return planError(field, "share, cores, memory_gb, fetch_gb_per_s, price and boot_s must be more than 0")
		}
		sum += t.Share
	}
	const slack = 1e-6
	if sum < 1-slack || sum > 1+slack {
		return planError("fleet.types", "the shares add up to %v, not 1", sum)
	}
	return nil
}

func (p *Plan) checkLoad() error {
	if len(p.Load) == 0 {
		return planError("load", "no class of jobs")
	}
	for i, l := range p.Load {
		field := fmt.Sprintf("load[%d]", i)
		switch {
		case l.Name == "":
			return planError(field+".name", "missing")
		case l.Shape != "batch" && l.Shape != "service" && l.Shape != "group":
			return planError(field+".shape", "%q is not batch, service or group", l.Shape)
		case !strings.Contains(" production high normal idle ", " "+l.Priority+" ") || l.Priority == "":
			return planError(field+".priority", "%q is not production, high, normal or idle", l.Priority)
		case l.Tasks < 1 || l.Tasks > 100_000:
			return planError(field+".tasks", "%d is not between 1 and 100000", l.Tasks)
		case !(l.StartsPerS > 0) || !(l.RunS > 0):
			return planError(field, "starts_per_s and run_s must be more than 0")
		case !(l.Cores > 0) || !(l.MemoryGB > 0) || l.Accelerators < 0:
			return planError(field, "cores and memory_gb must be more than 0, accelerators 0 or more")
		case l.Images < 1 || !(l.ImageGB >= 0):
			return planError(field+".images", "%d is less than 1", l.Images)
		case !(l.Cancelled >= 0 && l.Cancelled <= 1):
			return planError(field+".cancelled", "%v is not between 0 and 1", l.Cancelled)
		}
	}
	return nil
}

// minTeams is how many teams a plan is scaled down to at the least.
const minTeams = 6

// Scale changes the size of a plan: workers, load and teams. The rates of the state service and
// of the cloud stay.
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

// Divide plays the plan's fleet in another number of regions. The rates of the state service
// and of the cloud are each region's, and stay.
func (p *Plan) Divide(regions int) error {
	p.Fleet.Regions = regions
	return p.check()
}

// regionWorkers is how many workers a region has.
func (p *Plan) regionWorkers(region int) int {
	n := p.Fleet.Workers / p.Fleet.Regions
	if region < p.Fleet.Workers%p.Fleet.Regions {
		n++
	}
	return n
}

// processes is how many processes a run has.
func (p *Plan) processes() int { return 1 + p.Fleet.Regions*(1+p.Control.Controllers) }

// memoryBytes is what a run may take of the machine's memory, at the most.
func (p *Plan) memoryBytes() float64 {
	control := float64(p.Fleet.Regions*p.Control.Controllers) * p.Control.MemoryMB * (1 << 20)
	return control + float64(p.Fleet.Workers)*workerBytes + float64(p.Fleet.Regions)*regionBytes
}

// Errors of plans that this machine has no room for.
var (
	errMemory    = errors.New("the plan takes more memory than it may")
	errProcesses = errors.New("the plan takes more processes than it may")
	errFiles     = errors.New("the plan takes more open files than a process may have")
)

// CheckMachine says whether the machine has room for the plan and its ports are free.
func (p *Plan) CheckMachine() error {
	memory, err := mem.VirtualMemory()
	if err != nil {
		return fmt.Errorf("memory of this machine: %w", err)
	}
	if most := float64(memory.Total) * p.Limits.MemoryShare; p.memoryBytes() > most {
		return fmt.Errorf("%w: %.0f MB of %.0f", errMemory, p.memoryBytes()/(1<<20), most/(1<<20))
	}
	if n := p.processes(); n > p.Limits.Processes {
		return fmt.Errorf("%w: %d of %d", errProcesses, n, p.Limits.Processes)
	}
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil {
		return fmt.Errorf("open files allowed: %w", err)
	}
	if need := uint64(float64(p.regionWorkers(0))*filesPerWorker) + spareFiles; need > files.Cur {
		return fmt.Errorf("%w: %d for a region's workers, %d are allowed", errFiles, need, files.Cur)
	}
	return p.checkPorts()
}

func (p *Plan) checkPorts() error {
	for region := range p.Fleet.Regions {
		for i := range portsPerRegion {
			addr := fmt.Sprintf("127.0.0.1:%d", p.port(region, i))
			l, err := net.Listen("tcp4", addr)
			if err != nil {
				return planError("run.base_port", "%s is in use", addr)
			}
			l.Close()
		}
	}
	return nil
}

// port is one of a region's ports. Each region also has a loopback network of its own.
func (p *Plan) port(region, i int) int { return p.Run.BasePort + region*portsPerRegion + i }
