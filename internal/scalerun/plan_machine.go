package scalerun

import (
	"errors"
	"fmt"
	"net"

	"github.com/shirou/gopsutil/v4/mem"
	"golang.org/x/sys/unix"
)

// Upper limits for the plan's settings in LimitPlan.
const (
	maxMemoryShare = 0.5 // of the host's memory
	maxProcesses   = 300
)

// portsPerRegion is the number of consecutive ports that a region uses.
const portsPerRegion = 10

// Upper estimates of the resources that a run uses on its host.
const (
	workerBytes    = 60 << 10  // memory of an emulated worker and its connections in the region's process
	regionBytes    = 200 << 20 // memory of a region's process without its workers
	reservedFiles  = 200       // open files of a region's process other than the workers' connections
	filesPerWorker = 1.3       // the worker's heartbeat connection, and on average 0.3 connections for direct commands
)

// processes returns the number of processes of a run: the parent, one per region and the controllers.
func (p *Plan) processes() int { return 1 + p.Fleet.Regions*(1+p.Control.Controllers) }

// memoryBytes returns an upper estimate of the memory that a run uses.
func (p *Plan) memoryBytes() float64 {
	control := float64(p.Fleet.Regions*p.Control.Controllers) * p.Control.MemoryMB * (1 << 20)
	return control + float64(p.Fleet.Workers)*workerBytes + float64(p.Fleet.Regions)*regionBytes
}

// Errors of CheckMachine for plans that exceed the resources of this host.
var (
	errMemory    = errors.New("the plan needs more memory than limits.memory_share allows")
	errProcesses = errors.New("the plan needs more processes than limits.processes allows")
	errFiles     = errors.New("the plan needs more open files than the limit of a process")
)

// CheckMachine returns an error if the plan needs more memory, processes or open files than it may use on this host, or
// if one of its ports is in use.
func (p *Plan) CheckMachine() error {
	memory, err := mem.VirtualMemory()
	if err != nil {
		return fmt.Errorf("read the memory size of this host: %w", err)
	}
	if maxBytes := float64(memory.Total) * p.Limits.MemoryShare; p.memoryBytes() > maxBytes {
		return fmt.Errorf("%w: needs %.0f MB, allowed %.0f MB", errMemory, p.memoryBytes()/(1<<20), maxBytes/(1<<20))
	}
	if n := p.processes(); n > p.Limits.Processes {
		return fmt.Errorf("%w: needs %d, allowed %d", errProcesses, n, p.Limits.Processes)
	}
	var fileLimit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &fileLimit); err != nil {
		return fmt.Errorf("read the limit of open files: %w", err)
	}
	if neededFiles := uint64(float64(p.regionWorkers(0))*filesPerWorker) + reservedFiles; neededFiles > fileLimit.Cur {
		return fmt.Errorf("%w: a region's process needs %d, allowed %d", errFiles, neededFiles, fileLimit.Cur)
	}
	return p.checkPorts()
}

// checkPorts returns a PlanError if one of the plan's ports is in use.
func (p *Plan) checkPorts() error {
	for region := range p.Fleet.Regions {
		for i := range portsPerRegion {
			addr := fmt.Sprintf("127.0.0.1:%d", p.port(region, i))
			listener, err := net.Listen("tcp4", addr)
			if err != nil {
				return planError("run.base_port", "%s is in use", addr)
			}
			closeQuietly(listener)
		}
	}
	return nil
}

// port returns the port with offset i from the region's first port. Each region also uses a separate loopback network;
// see workerAddress.
func (p *Plan) port(region, i int) int { return p.Run.BasePort + region*portsPerRegion + i }
