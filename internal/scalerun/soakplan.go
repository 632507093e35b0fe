package scalerun

import "math/rand/v2"

// Times of a soak run, in seconds.
const (
	soakWarmupS = 8
	// soakQuietS is how long a run goes on after the last fault: longer than answerTimeout and waitTimeout.
	soakQuietS = 100
)

// plan returns the plan of a seed: a small region whose workers have short leases, with all kinds of jobs.
func (s *SoakSettings) plan(seed uint64, slot int) *Plan {
	p := DefaultPlan()
	p.Run = RunPlan{Program: s.Program, WarmupS: soakWarmupS, Seed: seed, BasePort: s.BasePort + slot*portsPerRegion, LogLevel: "info", KeepLogs: true, Links: true}
	p.Fleet = FleetPlan{Workers: s.Workers, Regions: 1, Zones: []string{"a", "b", "c"}, Types: []TypePlan{
		{Name: "m16", Share: 0.75, Cores: 16, MemoryGB: 64, CacheGB: 400, FetchGBPerS: 2, Price: 1, BootS: 5},
		{Name: "g64", Share: 0.25, Cores: 64, Accelerators: 8, MemoryGB: 384, CacheGB: 400, FetchGBPerS: 2, Price: 20, BootS: 5},
	}}
	p.Control = ControlPlan{Controllers: 3, Cores: 1, MemoryMB: 256, Sockets: 1024, RestartS: 3, Operator: s.Operator + s.features(seed)}
	if s.Share > 0 {
		p.Control.Cores, p.Control.HoldCores = s.Share, true
	}
	p.Control.LoadBalancer = s.LoadBalancer
	if s.Copies {
		p.Copies = soakCopies(seed)
	}
	p.Workers = WorkerPlan{ReportS: 1, LeaseS: 10, CancelS: 25, GangWaitS: 10, GangPeerS: 3}
	p.Cloud = CloudPlan{RPS: 12, ListLagS: 2}
	scale := float64(s.Workers)
	p.Teams = TeamPlan{Count: minTeams, Cores: scale, CoresMax: 4 * scale, Accelerators: scale / 8, AcceleratorsMax: scale / 2, UrgentWithinS: 4.5, UrgentStartShare: 0.95}
	rate := scale / soakWorkersPerStart
	if growth := scale / soakWorkersOfDefaultState; growth > 1 {
		p.State.RPS, p.State.WriteRPS = p.State.RPS*growth, p.State.WriteRPS*growth
	}
	p.Load = []LoadPlan{
		{Name: "single", Shape: "batch", Priority: "normal", StartsPerS: rate, Tasks: 1, RunS: 6, Cores: 2, MemoryGB: 3, Images: 4, ImageGB: 0.4, Cancelled: 0.2},
		{Name: "array", Shape: "batch", Priority: "normal", StartsPerS: rate, Tasks: 6, RunS: 10, Cores: 2, MemoryGB: 3, Images: 4, ImageGB: 0.4, Cancelled: 0.1},
		{Name: "replicas", Shape: "service", Priority: "production", StartsPerS: rate / 2, Tasks: 3, RunS: 40, Cores: 2, MemoryGB: 3, Images: 4, ImageGB: 0.4, Spread: true, Urgent: true},
		{Name: "gang", Shape: "group", Priority: "normal", StartsPerS: rate / 4, Tasks: 3, RunS: 10, Cores: 4, Accelerators: 1, MemoryGB: 20, Images: 2, ImageGB: 1},
	}
	return &p
}

// Bounds of the late copies of direct requests, of which the seed draws.
const (
	soakMaxCopies     = 4
	soakMinCopyDelayS = 0.2
	soakMaxCopyDelayS = 60.0
)

// soakCopies returns the late copies of a seed.
func soakCopies(seed uint64) CopyPlan {
	random := rand.New(rand.NewPCG(seed, copyStream))
	return CopyPlan{Share: random.Float64(), Most: 1 + random.IntN(soakMaxCopies), MinS: soakMinCopyDelayS,
		MaxS: soakMinCopyDelayS + random.Float64()*(soakMaxCopyDelayS-soakMinCopyDelayS)}
}

// copyStream separates the random numbers of the copies from those of the schedule.
const copyStream = soakStream + 2

// features returns the operators' settings that a seed turns on: of four seeds in a row one has none, one failure
// detection, one the completion journal and one both.
func (s *SoakSettings) features(seed uint64) string {
	const detection, journal = 1, 2 // bits of the seed
	text := ""
	if s.Features && seed&detection != 0 {
		text += "\n[membership]\nenabled = true\n"
	}
	if s.Features && seed&journal != 0 {
		text += "\n[end_journal]\nenabled = true\n"
	}
	return text
}

// soakWorkersOfDefaultState is the number of workers up to which the default limits of the state service carry the load.
const soakWorkersOfDefaultState = 1_000

// soakWorkersPerStart is the number of workers for each task start a second of a class.
const soakWorkersPerStart = 40
