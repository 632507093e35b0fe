// Package machinepool deals with the cloud for a leader: it rents machines, deletes them and reads their list, within
// the cloud's limits. What is rented and given back is decided elsewhere.
package machinepool

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
)

// Bounds of the cloud's protocol.
const (
	maxLaunchCount = 50  // of a request
	maxDeleteCount = 100 // of a request
	listPageSize   = 500
)

// Times are those that the pool's own follow from.
type Times struct {
	Lease   time.Duration // the workers'
	ListLag time.Duration
	// ListEvery is the least time between two lists.
	ListEvery time.Duration
}

// Host is the leader whose machines they are.
type Host interface {
	Now() time.Duration
	// Call asks the cloud; status 0: there was no answer.
	Call(method, path string, body any, timeout time.Duration, then func(status int, body []byte))
	// MayCall says whether the budget of calls allows one.
	MayCall() bool
	// Pause is a short wait before something is tried again.
	Pause() time.Duration
	// Later runs something at a later tick.
	Later(at time.Duration, do func())
	// Ended: the leader's term is over.
	Ended() bool

	// Listed takes a machine of the list, ListRead the names of a whole list and when it was asked for.
	Listed(machine *protocol.ListedMachine)
	ListRead(asked time.Duration, names map[string]bool)
	// ToDelete names machines whose deletion may leave, Deleted takes one that is gone.
	ToDelete(most int) []string
	Deleted(name string)
	// Launched takes a machine that was rented by a request of a time.
	Launched(pool scheduler.Pool, name string, asked time.Duration)
	// Short is told when a pool gave fewer than asked, and when it gave all.
	Short(pool scheduler.Pool, short bool)
}

// LaunchRequest is a request for machines that is under way.
type LaunchRequest struct {
	scheduler.Pool
	Count       int
	requestName string
	sentAt      time.Duration
}

func (r *LaunchRequest) request() protocol.LaunchRequest {
	return protocol.LaunchRequest{Request: r.requestName, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: r.Count}
}

// Pool is a leader's dealings with the cloud.
type Pool struct {
	host  Host
	log   *slog.Logger
	times Times
	token uint64

	nextListAt   time.Duration
	listInFlight bool
	listRead     bool // one whole list has been read
	lastLaunch   uint64
	launching    map[string]*LaunchRequest
	backoffs     map[scheduler.Pool]backoff
	// removed are machines that are gone, with the time: lists lag, and reports come late.
	removed        map[string]time.Duration
	deleteInFlight bool
	nextDeleteAt   time.Duration
}

// backoff is how long a pool is left alone, longer with each time that it gave too few.
type backoff struct {
	until    time.Duration
	failures int
}

// maxBackoffSteps bounds the times that count.
const maxBackoffSteps = 4

// New makes the pool of a term. Names of rentals have its token, so that no other leader ever uses them.
func New(host Host, log *slog.Logger, times Times, token uint64) *Pool {
	return &Pool{host: host, log: log, times: times, token: token, launching: map[string]*LaunchRequest{}, backoffs: map[scheduler.Pool]backoff{},
		removed: map[string]time.Duration{}}
}

// Tick deletes what may be deleted, and reads the list anew when it is time.
func (p *Pool) Tick() {
	now := p.host.Now()
	for name, at := range p.removed {
		if now > at+10*p.times.ListLag+10*p.times.Lease {
			delete(p.removed, name)
		}
	}
	p.deleteMachines()
	if !p.listInFlight && now >= p.nextListAt && p.host.MayCall() {
		p.listInFlight = true
		p.readPage("", now, map[string]bool{})
	}
}

// HasList says whether one whole list has been read.
func (p *Pool) HasList() bool { return p.listRead }

// Remove notes that a machine is gone: what still tells of it is old.
func (p *Pool) Remove(name string) { p.removed[name] = p.host.Now() }

// WasRemoved says whether a machine is gone.
func (p *Pool) WasRemoved(name string) bool { return p.removed[name] != 0 }

// Launching lists the requests that are under way, in a fixed order, so that runs replay.
func (p *Pool) Launching() []*LaunchRequest {
	out := make([]*LaunchRequest, 0, len(p.launching))
	for _, name := range slices.Sorted(maps.Keys(p.launching)) {
		out = append(out, p.launching[name])
	}
	return out
}

// IsShort says whether a pool is left alone for now.
func (p *Pool) IsShort(pool scheduler.Pool) bool { return p.host.Now() < p.backoffs[pool].until }

func (p *Pool) readPage(after string, asked time.Duration, names map[string]bool) {
	path := fmt.Sprintf("/machines?limit=%d", listPageSize)
	if after != "" {
		path += "&after=" + after
	}
	p.host.Call("GET", path, nil, p.times.Lease/4, func(status int, body []byte) {
		if p.host.Ended() {
			return
		}
		var list protocol.MachineList
		if status != 200 || protocol.Decode(body, &list) != nil {
			p.listInFlight, p.nextListAt = false, p.host.Now()+p.host.Pause()*4
			return
		}
		for i := range list.Machines {
			m := &list.Machines[i]
			names[m.ID] = true
			if !p.WasRemoved(m.ID) {
				p.host.Listed(m)
			}
		}
		if list.More && len(list.Machines) > 0 {
			p.readPage(list.Machines[len(list.Machines)-1].ID, asked, names)
			return
		}
		p.listInFlight, p.listRead = false, true
		p.nextListAt = p.host.Now() + p.times.ListEvery
		p.host.ListRead(asked, names)
	})
}

// deleteMachines has machines deleted, one request at a time, until the cloud says that they are gone.
func (p *Pool) deleteMachines() {
	if p.deleteInFlight || p.host.Now() < p.nextDeleteAt || !p.host.MayCall() {
		return
	}
	names := p.host.ToDelete(maxDeleteCount)
	if len(names) == 0 {
		return
	}
	p.deleteInFlight = true
	p.host.Call("POST", "/machines/delete", protocol.MachineNames{Machines: names}, p.times.Lease/2, func(status int, _ []byte) {
		if p.host.Ended() {
			return
		}
		p.deleteInFlight = false
		if status != 200 {
			p.nextDeleteAt = p.host.Now() + p.host.Pause()*2
			return
		}
		for _, name := range names {
			p.host.Deleted(name)
		}
	})
}

// Launch asks for machines. The name holds the token and a counter: no node ever
// uses it again.
func (p *Pool) Launch(pool scheduler.Pool, count int) {
	p.lastLaunch++
	q := &LaunchRequest{Pool: pool, Count: min(count, maxLaunchCount), requestName: fmt.Sprintf("r-%d-%d", p.token, p.lastLaunch), sentAt: p.host.Now()}
	p.sendLaunch(q)
}

func (p *Pool) sendLaunch(q *LaunchRequest) {
	p.launching[q.requestName] = q
	p.log.Info("renting", "request", q.requestName, "type", q.Type, "zone", q.Zone, "spot", q.Spot, "count", q.Count)
	p.host.Call("POST", "/machines", q.request(), p.times.Lease/2, func(status int, body []byte) {
		if !p.host.Ended() {
			p.onLaunchAnswer(q, status, body)
		}
	})
}

// onLaunchAnswer takes the answer to a rental.
func (p *Pool) onLaunchAnswer(q *LaunchRequest, status int, body []byte) {
	var got protocol.MachineNames
	switch {
	case status == 200 && protocol.Decode(body, &got) == nil:
		p.onLaunched(q, got.Machines)
	case status == 503 && noCapacity(body):
		delete(p.launching, q.requestName)
		p.backOff(q.Pool)
	case status == 400:
		delete(p.launching, q.requestName)
		p.backOff(q.Pool)
		p.log.Error("a rental was called malformed", "request", q.requestName)
	case p.host.Now() > q.sentAt+4*p.times.Lease:
		// Whatever it still brings appears in the list.
		delete(p.launching, q.requestName)
	default:
		// No answer, or trouble: the same name again rents nothing twice.
		p.host.Later(p.host.Now()+p.host.Pause()*3, func() { p.sendLaunch(q) })
	}
}

func (p *Pool) onLaunched(q *LaunchRequest, names []string) {
	delete(p.launching, q.requestName)
	for _, name := range names {
		if !p.WasRemoved(name) {
			p.host.Launched(q.Pool, name, q.sentAt)
		}
	}
	if len(names) < q.Count {
		p.backOff(q.Pool)
		return
	}
	delete(p.backoffs, q.Pool)
	p.host.Short(q.Pool, false)
}

func noCapacity(body []byte) bool {
	var e struct {
		Error string `msgpack:"error"`
	}
	return protocol.Decode(body, &e) == nil && e.Error == "no capacity"
}

// backOff backs off from a pool that was refused or only partly filled.
func (p *Pool) backOff(pool scheduler.Pool) {
	s := p.backoffs[pool]
	s.failures = min(s.failures+1, maxBackoffSteps)
	s.until = p.host.Now() + p.times.Lease*time.Duration(s.failures)/2
	p.backoffs[pool] = s
	p.host.Short(pool, true)
}
