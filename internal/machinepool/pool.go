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
	maxLaunched = 50  // of a request
	maxDeleted  = 100 // of a request
	listPage    = 500
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
	Count int
	name  string
	sent  time.Duration
}

func (r *LaunchRequest) request() protocol.LaunchRequest {
	return protocol.LaunchRequest{Request: r.name, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: r.Count}
}

// Pool is a leader's dealings with the cloud.
type Pool struct {
	host  Host
	log   *slog.Logger
	times Times
	token uint64

	listAt    time.Duration
	listing   bool
	listed    bool // one whole list has been read
	launches  uint64
	launching map[string]*LaunchRequest
	short     map[scheduler.Pool]shortage
	// removed are machines that are gone, with the time: lists lag, and reports come late.
	removed  map[string]time.Duration
	deleting bool
	deleteAt time.Duration
}

// shortage is how long a pool is left alone, longer with each time that it gave too few.
type shortage struct {
	until time.Duration
	times int
}

// maxBackoffSteps bounds the times that count.
const maxBackoffSteps = 4

// New makes the pool of a term. Names of rentals have its token, so that no other leader ever uses them.
func New(host Host, log *slog.Logger, times Times, token uint64) *Pool {
	return &Pool{host: host, log: log, times: times, token: token, launching: map[string]*LaunchRequest{}, short: map[scheduler.Pool]shortage{},
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
	p.delete()
	if !p.listing && now >= p.listAt && p.host.MayCall() {
		p.listing = true
		p.readPage("", now, map[string]bool{})
	}
}

// HasList says whether one whole list has been read.
func (p *Pool) HasList() bool { return p.listed }

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
func (p *Pool) IsShort(pool scheduler.Pool) bool { return p.host.Now() < p.short[pool].until }

func (p *Pool) readPage(after string, asked time.Duration, names map[string]bool) {
	path := fmt.Sprintf("/machines?limit=%d", listPage)
	if after != "" {
		path += "&after=" + after
	}
	p.host.Call("GET", path, nil, p.times.Lease/4, func(status int, body []byte) {
		if p.host.Ended() {
			return
		}
		var list protocol.MachineList
		if status != 200 || protocol.Decode(body, &list) != nil {
			p.listing, p.listAt = false, p.host.Now()+p.host.Pause()*4
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
		p.listing, p.listed = false, true
		p.listAt = p.host.Now() + p.times.ListEvery
		p.host.ListRead(asked, names)
	})
}

// delete has machines deleted, one request at a time, until the cloud says that they are gone.
func (p *Pool) delete() {
	if p.deleting || p.host.Now() < p.deleteAt || !p.host.MayCall() {
		return
	}
	names := p.host.ToDelete(maxDeleted)
	if len(names) == 0 {
		return
	}
	p.deleting = true
	p.host.Call("POST", "/machines/delete", protocol.MachineNames{Machines: names}, p.times.Lease/2, func(status int, _ []byte) {
		if p.host.Ended() {
			return
		}
		p.deleting = false
		if status != 200 {
			p.deleteAt = p.host.Now() + p.host.Pause()*2
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
	p.launches++
	q := &LaunchRequest{Pool: pool, Count: min(count, maxLaunched), name: fmt.Sprintf("r-%d-%d", p.token, p.launches), sent: p.host.Now()}
	p.send(q)
}

func (p *Pool) send(q *LaunchRequest) {
	p.launching[q.name] = q
	p.log.Info("renting", "request", q.name, "type", q.Type, "zone", q.Zone, "spot", q.Spot, "count", q.Count)
	p.host.Call("POST", "/machines", q.request(), p.times.Lease/2, func(status int, body []byte) {
		if !p.host.Ended() {
			p.answered(q, status, body)
		}
	})
}

// answered takes the answer to a rental.
func (p *Pool) answered(q *LaunchRequest, status int, body []byte) {
	var got protocol.MachineNames
	switch {
	case status == 200 && protocol.Decode(body, &got) == nil:
		p.onLaunched(q, got.Machines)
	case status == 503 && noCapacity(body):
		delete(p.launching, q.name)
		p.runShort(q.Pool)
	case status == 400:
		delete(p.launching, q.name)
		p.runShort(q.Pool)
		p.log.Error("a rental was called malformed", "request", q.name)
	case p.host.Now() > q.sent+4*p.times.Lease:
		// Whatever it still brings appears in the list.
		delete(p.launching, q.name)
	default:
		// No answer, or trouble: the same name again rents nothing twice.
		p.host.Later(p.host.Now()+p.host.Pause()*3, func() { p.send(q) })
	}
}

func (p *Pool) onLaunched(q *LaunchRequest, names []string) {
	delete(p.launching, q.name)
	for _, name := range names {
		if !p.WasRemoved(name) {
			p.host.Launched(q.Pool, name, q.sent)
		}
	}
	if len(names) < q.Count {
		p.runShort(q.Pool)
		return
	}
	delete(p.short, q.Pool)
	p.host.Short(q.Pool, false)
}

func noCapacity(body []byte) bool {
	var e struct {
		Error string `msgpack:"error"`
	}
	return protocol.Decode(body, &e) == nil && e.Error == "no capacity"
}

// runShort backs off from a pool that was refused or only partly filled.
func (p *Pool) runShort(pool scheduler.Pool) {
	s := p.short[pool]
	s.times = min(s.times+1, maxBackoffSteps)
	s.until = p.host.Now() + p.times.Lease*time.Duration(s.times)/2
	p.short[pool] = s
	p.host.Short(pool, true)
}
