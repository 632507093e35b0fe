package scalerun

import (
	"errors"
	"fmt"
	"net"

	"github.com/shirou/gopsutil/v4/mem"
	"golang.org/x/sys/unix"
)

// Bounds that no plan may raise.
const (
	maxMemoryShare = 0.5 // of the machine's memory
	maxProcesses   = 300
)

// portsPerRegion is how many consecutive ports a region has.
const portsPerRegion = 10

// Generous estimates of what a run takes of the machine.
const (
	workerBytes    = 60 << 10 // memory of an emulated worker and its connections, in the region's process
	regionBytes    = 200 << 20
	spareFiles     = 200
	filesPerWorker = 1.3 // its own connection, and a share of those for direct commands
)

// processes is how many processes a run has: the parent, the regions and their controllers.
func (p *Plan) processes() int { return 1 + p.Fleet.Regions*(1+p.Control.Controllers) }

// memoryBytes is an upper estimate of the memory that a run takes.
func (p *Plan) memoryBytes() float64 {
	control := float64(p.Fleet.Regions*p.Control.Controllers) * p.Control.MemoryMB * (1 << 20)
	return control + float64(p.Fleet.Workers)*workerBytes + float64(p.Fleet.Regions)*regionBytes
}

// Errors of CheckMachine for plans that this machine has no room for.
var (
	errMemory    = errors.New("the plan takes more memory than it may")
	errProcesses = errors.New("the plan takes more processes than it may")
	errFiles     = errors.New("the plan takes more open files than a process may have")
)

// CheckMachine returns an error if the machine has no room for the plan (memory, processes or open
// files) or one of its ports is in use.
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

// checkPorts returns a PlanError if one of the plan's ports is in use.
func (p *Plan) checkPorts() error {
	for region := range p.Fleet.Regions {
		for i := range portsPerRegion {
			addr := fmt.Sprintf("127.0.0.1:%d", p.port(region, i))
			l, err := net.Listen("tcp4", addr)
			if err != nil {
				return planError("run.base_port", "%s is in use", addr)
			}
			closeQuietly(l)
		}
	}
	return nil
}

// port returns one of a region's ports, by its offset from the region's first. Each region also has a
// loopback network of its own.
func (p *Plan) port(region, i int) int { return p.Run.BasePort + region*portsPerRegion + i }
