package coordination

import (
	"fmt"
	"time"

	"claybarrow/internal/ledger"
	"claybarrow/internal/protocol"
	"claybarrow/internal/sched"
	"claybarrow/internal/statestore"
)

// cloudState is what the leader knows of its dealings with the cloud.
type cloudState struct {
	listAt  time.Duration
	listing bool
	listed  bool // one whole list has been read
	hires   int
	renting map[string]*rental
	short   map[sched.Pool]shortage
	// Conditions that are logged when they begin and end.
	shortPools map[sched.Pool]*condition
	lateBoots  condition
	removed    map[string]time.Duration
	deleting   bool
	deleteAt   time.Duration
}

type rental struct {
	req  protocol.Rent
	sent time.Duration
}

type shortage struct {
	until time.Duration
	times int
}

func newCloudState() cloudState {
	return cloudState{renting: map[string]*rental{}, short: map[sched.Pool]shortage{}, shortPools: map[sched.Pool]*condition{}, removed: map[string]time.Duration{}}
}

func (r *term) keepCloud() {
	c := r.c
	for id, at := range r.removed {
		if c.now > at+10*c.cfg.ListLag()+10*c.cfg.Lease() {
			delete(r.removed, id)
		}
	}
	r.deletions()
	if !r.listing && c.now >= r.listAt && c.cloud.Has(c.now, 1) {
		r.listing = true
		r.listPage("", c.now, map[string]bool{})
	}
}

func (r *term) listPage(after string, asked time.Duration, seen map[string]bool) {
	c := r.c
	path := "/machines?limit=500"
	if after != "" {
		path += "&after=" + after
	}
	c.cloudCall("GET", path, nil, c.cfg.Lease()/4, func(res Result) {
		if c.term != r {
			return
		}
		var list protocol.MachineList
		if res.Status != 200 || protocol.Decode(res.Body, &list) != nil {
			r.listing, r.listAt = false, c.now+c.pause()*4
			return
		}
		for i := range list.Machines {
			seen[list.Machines[i].ID] = true
			r.onListed(&list.Machines[i])
		}
		if list.More && len(list.Machines) > 0 {
			r.listPage(list.Machines[len(list.Machines)-1].ID, asked, seen)
			return
		}
		r.listing, r.listed = false, true
		r.listAt = c.now + max(c.cfg.ListLag()/2, seconds(4/c.cfg.Cluster.Cloud.RPS))
		r.missing(asked, seen)
	})
}

func (r *term) onListed(l *protocol.ListedMachine) {
	c := r.c
	if r.removed[l.ID] != 0 {
		return
	}
	m := r.Machines[l.ID]
	if m == nil {
		m = r.AddMachine(l.ID)
		m.Exists = c.now
		m.Rented = c.now - seconds(l.AgeS)
		c.log.Info("machine found in the list", "machine", l.ID, "type", l.Type, "zone", l.Zone, "state", l.State)
	}
	if m.Type == "" {
		m.Type, m.Zone, m.Spot = l.Type, l.Zone, l.Spot
		m.Size = r.sizeOf(m.Type)
	}
	if age := c.now - seconds(l.AgeS); age < m.Rented {
		m.Rented = age
	}
	if l.Addr != "" {
		m.Addr = l.Addr
	}
	m.Listed = l.State == "running"
	if l.State == "failed" && !m.Returning {
		c.log.Info("machine failed", "machine", m.ID, "tasks", len(m.Attempts))
		for _, a := range m.Sorted() {
			r.gone(a, machineFailed)
		}
		r.giveBack(m, "failed")
	}
}

// missing drops machines that are gone: a list describes a moment at most
// twice the lag before it was asked for, and one that surely existed by then
// would be in it.
func (r *term) missing(asked time.Duration, seen map[string]bool) {
	for _, m := range r.machines() {
		if !seen[m.ID] && asked > m.Exists+2*r.c.cfg.ListLag()+r.c.cfg.ListLag()/5 {
			r.removeGone(m, machineUnlisted)
		}
	}
}

// removeGone takes a machine that is proved gone out of the ledger.
func (r *term) removeGone(m *ledger.Machine, why goneReason) {
	if r.Machines[m.ID] != m {
		return
	}
	r.c.log.Info("machine gone", "machine", m.ID, "why", why, "tasks", len(m.Attempts))
	for _, a := range m.Sorted() {
		r.gone(a, why)
	}
	r.RemoveMachine(m)
	r.removed[m.ID] = r.c.now
	r.record(m, statestore.Lazy, nil)
}

// giveBack returns a machine. The mark is durable before the deletion leaves,
// so that a late deletion hits nothing in use.
func (r *term) giveBack(m *ledger.Machine, why string) {
	if m.Returning {
		return
	}
	r.c.log.Info("returning", "machine", m.ID, "type", m.Type, "zone", m.Zone, "spot", m.Spot, "why", why)
	m.Returning = true
	r.record(m, statestore.Done, func() { m.Returned = true })
}

func (r *term) deletions() {
	c := r.c
	if r.deleting || c.now < r.deleteAt || !c.cloud.Has(c.now, 1) {
		return
	}
	var names []string
	for _, m := range r.machines() {
		if m.Returned && len(names) < 100 {
			names = append(names, m.ID)
		}
	}
	if len(names) == 0 {
		return
	}
	r.deleting = true
	c.cloudCall("POST", "/machines/delete", protocol.Rented{Machines: names}, c.cfg.Lease()/2, func(res Result) {
		if c.term != r {
			return
		}
		r.deleting = false
		if res.Status != 200 {
			r.deleteAt = c.now + c.pause()*2
			return
		}
		for _, id := range names {
			if m := r.Machines[id]; m != nil {
				r.removeGone(m, machineDeleted)
			}
		}
	})
}

// rent asks for machines. The name holds the token and a counter: no node ever
// uses it again.
func (r *term) rent(p sched.Pool, count int) {
	r.hires++
	r.hire(&rental{sent: r.c.now, req: protocol.Rent{Request: fmt.Sprintf("r-%d-%d", r.token, r.hires),
		Type: p.Type, Zone: p.Zone, Spot: p.Spot, Count: min(count, 50)}}, p)
}

func (r *term) hire(q *rental, p sched.Pool) {
	c := r.c
	r.renting[q.req.Request] = q
	c.log.Info("renting", "request", q.req.Request, "type", p.Type, "zone", p.Zone, "spot", p.Spot, "count", q.req.Count)
	c.cloudCall("POST", "/machines", q.req, c.cfg.Lease()/2, func(res Result) {
		if c.term != r {
			return
		}
		var got protocol.Rented
		switch {
		case res.Status == 200 && protocol.Decode(res.Body, &got) == nil:
			delete(r.renting, q.req.Request)
			for _, id := range got.Machines {
				if r.removed[id] != 0 {
					continue
				}
				m := r.AddMachine(id)
				m.Type, m.Zone, m.Spot = p.Type, p.Zone, p.Spot
				m.Size = r.sizeOf(m.Type)
				m.Exists, m.Rented = c.now, q.sent
				r.record(m, statestore.Lazy, nil)
			}
			if len(got.Machines) < q.req.Count {
				r.runShort(p)
			} else {
				delete(r.short, p)
				r.poolShort(p, false)
			}
		case res.Status == 503 && q.refused(res.Body):
			delete(r.renting, q.req.Request)
			r.runShort(p)
		case res.Status == 400:
			delete(r.renting, q.req.Request)
			r.runShort(p)
			c.log.Error("a rental was called malformed", "request", q.req.Request)
		case c.now > q.sent+4*c.cfg.Lease():
			// Whatever it still brings appears in the list.
			delete(r.renting, q.req.Request)
		default:
			// No answer, or trouble: the same name again rents nothing twice.
			r.later(c.now+c.pause()*3, func() { r.hire(q, p) })
		}
	})
}

func (q *rental) refused(body []byte) bool {
	var e struct {
		Error string `msgpack:"error"`
	}
	return protocol.Decode(body, &e) == nil && e.Error == "no capacity"
}

// runShort backs off from a pool that was refused or only partly filled.
func (r *term) runShort(p sched.Pool) {
	s := r.short[p]
	s.times = min(s.times+1, 4)
	s.until = r.c.now + r.c.cfg.Lease()*time.Duration(s.times)/2
	r.short[p] = s
	r.poolShort(p, true)
	r.planAt = r.c.now
}
