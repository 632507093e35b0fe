// Package machinepool makes a leader's requests to the cloud: it launches machines, deletes them and
// reads their list, within the cloud's limits. Which machines are launched and deleted is decided
// elsewhere.
package machinepool

import (
	"log/slog"
	"time"

	"claybarrow/internal/cloudclient"
	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
)

// Limits of the cloud's protocol, in machines.
const (
	maxLaunchCount = 50  // of a launch request
	maxDeleteCount = 100 // of a deletion
	listPageSize   = 500
)

// Timeouts of the requests, as shares of the workers' lease.
const (
	listTimeoutShare   = 4
	deleteTimeoutShare = 2
	launchTimeoutShare = 2
)

// Waits before a request is repeated, in pauses of the host.
const (
	listRetryPauses   = 4
	deleteRetryPauses = 2
	launchRetryPauses = 3
)

// How long a removed machine is remembered, in lags of the list and in leases of the workers: lists lag,
// and heartbeats come late.
const (
	removedListLags = 10
	removedLeases   = 10
)

// Times are the durations that the pool's own follow from.
type Times struct {
	Lease   time.Duration // the workers'
	ListLag time.Duration // by which the cloud's list may be behind
	// ListInterval is the least time between two lists.
	ListInterval time.Duration
}

// Host is the leader that the machines belong to.
type Host interface {
	// Now is the controller's present time.
	Now() time.Duration
	// MayRequest reports whether the budget allows a request to the cloud.
	MayRequest() bool
	// RetryPause is a short wait before something is tried again.
	RetryPause() time.Duration
	// RunAt runs a function at the first tick after a time, unless the leadership has ended.
	RunAt(at time.Duration, do func())
	// HasEnded reports whether the leadership has ended.
	HasEnded() bool

	// OnListed takes one machine of the list.
	OnListed(machine *protocol.ListedMachine)
	// OnListRead takes the names of a whole list and the time at which it was asked for.
	OnListRead(asked time.Duration, names map[string]bool)
	// MachinesToDelete returns the names of at most so many machines whose deletion may be sent.
	MachinesToDelete(most int) []string
	// OnDeleted takes a machine that is gone.
	OnDeleted(name string)
	// OnLaunched takes a machine that was launched by a request sent at a time.
	OnLaunched(pool scheduler.Pool, name string, asked time.Duration)
	// SetExhausted is told that a pool of machines gave fewer than asked for (true) or all of them (false).
	SetExhausted(pool scheduler.Pool, short bool)
}

// Pool makes a leader's requests to the cloud. At most one list and one deletion are in flight.
type Pool struct {
	host   Host
	client *cloudclient.Client
	log    *slog.Logger
	times  Times
	token  uint64

	nextListAt   time.Duration
	listInFlight bool
	listRead     bool // one whole list has been read

	lastLaunch uint64 // number of the last launch request
	launching  map[string]*LaunchRequest
	backoffs   map[scheduler.Pool]backoff

	// removed are machines that are gone, with the time at which they were found gone.
	removed        map[string]time.Duration
	deleteInFlight bool
	nextDeleteAt   time.Duration
}

// New makes the pool of a leader's term. The names of launch requests have its fencing token, so that no
// other leader ever uses them.
func New(host Host, client *cloudclient.Client, log *slog.Logger, times Times, token uint64) *Pool {
	return &Pool{
		host: host, client: client, log: log, times: times, token: token,
		launching: map[string]*LaunchRequest{}, backoffs: map[scheduler.Pool]backoff{}, removed: map[string]time.Duration{},
	}
}

// Tick deletes the machines that may be deleted, and reads the list anew when it is time.
func (p *Pool) Tick() {
	p.forgetRemoved()
	p.deleteMachines()
	p.readList()
}

// HasList reports whether one whole list has been read.
func (p *Pool) HasList() bool { return p.listRead }

// MarkRemoved notes that a machine is gone: lists and heartbeats that still name it are old.
func (p *Pool) MarkRemoved(name string) { p.removed[name] = p.host.Now() }

// WasRemoved reports whether a machine is gone.
func (p *Pool) WasRemoved(name string) bool { return p.removed[name] != 0 }

// forgetRemoved forgets the machines of which nothing old can come any more.
func (p *Pool) forgetRemoved() {
	now := p.host.Now()
	for name, at := range p.removed {
		if now > at+removedListLags*p.times.ListLag+removedLeases*p.times.Lease {
			delete(p.removed, name)
		}
	}
}

// readList begins to read the list if it is time and none is being read.
func (p *Pool) readList() {
	now := p.host.Now()
	if p.listInFlight || now < p.nextListAt || !p.host.MayRequest() {
		return
	}
	p.listInFlight = true
	p.readPage("", now, map[string]bool{})
}

// readPage reads the page of the list behind a machine, and then the next one. Names collects the machines
// of the pages.
func (p *Pool) readPage(after string, asked time.Duration, names map[string]bool) {
	p.client.List(after, listPageSize, p.times.Lease/listTimeoutShare, func(list protocol.MachineList, err error) {
		if p.host.HasEnded() {
			return
		}
		if err != nil {
			p.listInFlight, p.nextListAt = false, p.host.Now()+p.host.RetryPause()*listRetryPauses
			return
		}
		p.takePage(list.Machines, names)
		if list.More && len(list.Machines) > 0 {
			p.readPage(list.Machines[len(list.Machines)-1].ID, asked, names)
			return
		}
		p.listInFlight, p.listRead = false, true
		p.nextListAt = p.host.Now() + p.times.ListInterval
		p.host.OnListRead(asked, names)
	})
}

// takePage passes the machines of a page on, except those that are known to be gone.
func (p *Pool) takePage(machines []protocol.ListedMachine, names map[string]bool) {
	for i := range machines {
		machine := &machines[i]
		names[machine.ID] = true
		if !p.WasRemoved(machine.ID) {
			p.host.OnListed(machine)
		}
	}
}

// deleteMachines has machines deleted, one request at a time, until the cloud says that they are gone.
func (p *Pool) deleteMachines() {
	if p.deleteInFlight || p.host.Now() < p.nextDeleteAt || !p.host.MayRequest() {
		return
	}
	names := p.host.MachinesToDelete(maxDeleteCount)
	if len(names) == 0 {
		return
	}
	p.deleteInFlight = true
	p.client.Delete(names, p.times.Lease/deleteTimeoutShare, func(err error) {
		if p.host.HasEnded() {
			return
		}
		p.deleteInFlight = false
		if err != nil {
			p.nextDeleteAt = p.host.Now() + p.host.RetryPause()*deleteRetryPauses
			return
		}
		for _, name := range names {
			p.host.OnDeleted(name)
		}
	})
}
