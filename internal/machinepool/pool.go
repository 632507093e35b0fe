// Package machinepool sends a leader's requests to the cloud: it launches, deletes and lists machines, within
// the cloud's limits. Its callers decide which machines to launch and to delete.
package machinepool

import (
	"log/slog"
	"time"

	"claybarrow/internal/cloudclient"
	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
)

// Limits of the cloud's API, in machines.
const (
	maxLaunchCount = 50  // per launch request
	maxDeleteCount = 100 // per deletion request
	listPageSize   = 500 // per page of the list
)

// Timeouts of the requests, as divisors of the workers' lease.
const (
	listTimeoutDivisor   = 4
	deleteTimeoutDivisor = 2
	launchTimeoutDivisor = 2
)

// Delays before a retry, in multiples of Host.RetryPause.
const (
	listRetryPauses   = 4
	deleteRetryPauses = 2
	launchRetryPauses = 3
)

// How long a removed machine is remembered: removedListLags times the lag of the list plus removedLeases times
// the workers' lease. Lists and heartbeats that still contain the machine may arrive late.
const (
	removedListLags = 10
	removedLeases   = 10
)

// Times holds the durations from which the pool derives its timeouts and intervals.
type Times struct {
	Lease   time.Duration // workers' lease
	ListLag time.Duration // usual lag of the cloud's list
	// ListInterval is the minimum time between two reads of the list.
	ListInterval time.Duration
}

// Host is the leader on whose behalf the pool sends requests.
type Host interface {
	// Now returns the controller's current time.
	Now() time.Duration
	// MayRequest reports whether the rate limit allows a request to the cloud.
	MayRequest() bool
	// RetryPause returns the base delay before a retry.
	RetryPause() time.Duration
	// RunAt calls run at the first tick after the given time, unless the leadership has ended.
	RunAt(at time.Duration, run func())
	// HasEnded reports whether the leadership has ended.
	HasEnded() bool

	// OnListed is called for each listed machine that is not known to be removed.
	OnListed(machine *protocol.ListedMachine)
	// OnListRead is called after a complete read of the list, with the time of the first request and the
	// names of all listed machines.
	OnListRead(requestedAt time.Duration, names map[string]bool)
	// MachinesToDelete returns the names of at most limit machines to delete.
	MachinesToDelete(limit int) []string
	// OnDeleted is called for each machine that was deleted.
	OnDeleted(name string)
	// OnLaunched is called for each launched machine, with the time of the request's first attempt.
	OnLaunched(pool scheduler.Pool, name string, requestedAt time.Duration)
	// SetExhausted records whether a pool's last launch request was rejected or filled only in part (true),
	// or filled completely (false).
	SetExhausted(pool scheduler.Pool, exhausted bool)
}

// Pool sends a leader's requests to the cloud. At most one read of the list and one deletion are in flight.
type Pool struct {
	host   Host
	client *cloudclient.Client
	log    *slog.Logger
	times  Times
	token  uint64

	nextListAt   time.Duration
	listInFlight bool
	listRead     bool // whether the list has been read completely once

	lastLaunch uint64 // number of the last launch request
	launching  map[string]*LaunchRequest
	backoffs   map[scheduler.Pool]backoff

	// removed maps machines that no longer exist to the time at which their removal was noticed.
	removed        map[string]time.Duration
	deleteInFlight bool
	nextDeleteAt   time.Duration
}

// New creates the pool for one term of a leader. The names of launch requests contain the term's fencing token,
// so that no other leader uses the same names.
func New(host Host, client *cloudclient.Client, log *slog.Logger, times Times, token uint64) *Pool {
	return &Pool{
		host: host, client: client, log: log, times: times, token: token,
		launching: map[string]*LaunchRequest{}, backoffs: map[scheduler.Pool]backoff{}, removed: map[string]time.Duration{},
	}
}

// Tick starts the next deletion and the next read of the list when they are due.
func (p *Pool) Tick() {
	p.expireRemoved()
	p.deleteMachines()
	p.readList()
}

// HasList reports whether the list has been read completely at least once.
func (p *Pool) HasList() bool { return p.listRead }

// MarkRemoved records that a machine no longer exists. Lists and heartbeats that still name it are outdated.
func (p *Pool) MarkRemoved(name string) { p.removed[name] = p.host.Now() }

// WasRemoved reports whether a machine was marked as removed.
func (p *Pool) WasRemoved(name string) bool { return p.removed[name] != 0 }

// expireRemoved deletes the entries of machines for which no outdated list or heartbeat can arrive any more.
func (p *Pool) expireRemoved() {
	now := p.host.Now()
	for name, removedAt := range p.removed {
		if now > removedAt+removedListLags*p.times.ListLag+removedLeases*p.times.Lease {
			delete(p.removed, name)
		}
	}
}

// readList starts reading the list if it is due and no read is in flight.
func (p *Pool) readList() {
	now := p.host.Now()
	if p.listInFlight || now < p.nextListAt || !p.host.MayRequest() {
		return
	}
	p.listInFlight = true
	p.readPage("", now, map[string]bool{})
}

// readPage reads the page of the list that starts after a machine, and then the following pages. names collects
// the machines of all pages.
func (p *Pool) readPage(after string, requestedAt time.Duration, names map[string]bool) {
	p.client.List(after, listPageSize, p.times.Lease/listTimeoutDivisor, func(list protocol.MachineList, err error) {
		if p.host.HasEnded() {
			return
		}
		if err != nil {
			p.listInFlight, p.nextListAt = false, p.host.Now()+p.host.RetryPause()*listRetryPauses
			return
		}
		p.handlePage(list.Machines, names)
		if list.More && len(list.Machines) > 0 {
			p.readPage(list.Machines[len(list.Machines)-1].ID, requestedAt, names)
			return
		}
		p.listInFlight, p.listRead = false, true
		p.nextListAt = p.host.Now() + p.times.ListInterval
		p.host.OnListRead(requestedAt, names)
	})
}

// handlePage passes the machines of a page to the host, except machines that were removed.
func (p *Pool) handlePage(machines []protocol.ListedMachine, names map[string]bool) {
	for i := range machines {
		machine := &machines[i]
		names[machine.ID] = true
		if !p.WasRemoved(machine.ID) {
			p.host.OnListed(machine)
		}
	}
}

// deleteMachines sends a deletion request if there are machines to delete and no deletion is in flight. The
// host returns the machines of a failed request again, which retries the deletion.
func (p *Pool) deleteMachines() {
	if p.deleteInFlight || p.host.Now() < p.nextDeleteAt || !p.host.MayRequest() {
		return
	}
	names := p.host.MachinesToDelete(maxDeleteCount)
	if len(names) == 0 {
		return
	}
	p.deleteInFlight = true
	p.client.Delete(names, p.times.Lease/deleteTimeoutDivisor, func(err error) {
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
