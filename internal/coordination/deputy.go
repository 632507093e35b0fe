package coordination

import (
	"cmp"
	"slices"
	"time"

	"claybarrow/internal/config"
	"claybarrow/internal/ledger"
	"claybarrow/internal/protocol"
)

// A zone that is cut off keeps its workers and, where there is one, a
// controller. That controller is the zone's deputy: it answers the workers in
// the leader's stead, with the token they show and no commands, so that their
// leases go on while nobody can start or stop anything there. Without it, a cut
// longer than a lease killed every task in the zone, and replicas that must be
// spread over zones had nowhere else to go.
//
// The safety of it is the leader's. It takes no lease in a zone for over by time
// alone unless every controller of that zone has told it since, in answer to a
// reading of its clock, that it had served nobody for a lease. A process that ends
// forgets what it served, so a new incarnation counts as having served until it
// was heard. While such a controller is silent, only the cloud's word proves that
// a machine there is gone. It needs no disk and no leave given in time: deputies
// that end in the middle of a cut go on where they were.

// deputy is what a controller that does not lead knows of the leader.
type deputy struct {
	leader      string // who answered as the leader, or is said to lead
	token       uint64 // of the last answer, with the leader's clock
	leaderClock uint64
	// served: the last answer given to a worker in the leader's stead.
	served   time.Duration
	serving  bool
	heard    time.Duration // when the leader last answered
	failed   bool          // the last request did not reach a leader
	lostAt   time.Duration // since when none did
	busy     bool
	next     time.Duration
	turn     int    // of the sibling asked when no leader is known
	highest  uint64 // highest token known to this process
	lookedAt time.Duration
}

// leaderLabel is who leads, as far as this controller knows: by the state
// service or, where that does not answer it, by the leader itself.
func (c *Core) leaderLabel() string {
	if l := c.view.leader; l != nil && (c.view.known || l.Token >= c.deputy.highest) {
		return l.Label
	}
	if d := &c.deputy; d.leader != "" && c.now < d.heard+c.cfg.Lease()/2 {
		return d.leader
	}
	return ""
}

// keepDeputy stays in touch with the leader.
func (c *Core) keepDeputy() {
	d := &c.deputy
	if c.view.leader != nil {
		d.highest = max(d.highest, c.view.leader.Token)
	}
	if c.term != nil {
		*d = deputy{highest: max(d.highest, c.term.token), served: d.served}
		return
	}
	if d.busy || c.now < d.next || len(c.cfg.Siblings) == 0 {
		return
	}
	asked := c.leaderLabel()
	if asked == "" || asked == c.cfg.Label || (d.failed && d.turn%2 == 1) {
		asked = c.cfg.Siblings[d.turn/2%len(c.cfg.Siblings)].Label
	}
	addr := c.addrOf(asked)
	if addr == "" {
		return
	}
	d.busy = true
	sent := c.now
	ask := protocol.Heartbeat{From: c.cfg.Label, Incarnation: c.incarnation, Token: d.highest, ServedMS: -1, UptimeMS: c.now.Milliseconds()}
	if d.token == d.highest {
		ask.LeaderClock = d.leaderClock
	}
	if d.served > 0 {
		ask.ServedMS = (c.now - d.served).Milliseconds()
	}
	c.call(ToPeer, addr, "POST", "/heartbeat", protocol.EncodePeer(ask), c.cfg.Lease()/10, func(res Result) {
		if c.term != nil {
			return
		}
		d.busy, d.next = false, sent+c.cfg.Heartbeat()
		var g protocol.HeartbeatReply
		ok := res.Status == 200 && protocol.DecodePeer(res.Body, &g) == nil && g.Token >= d.highest
		if ok && g.Leader != "" {
			d.highest, d.leader = max(d.highest, g.Token), g.Leader
		}
		if !ok || g.Leader != asked {
			d.turn++
			c.lostLeader()
			return
		}
		if d.serving {
			c.log.Info("the leader is heard again", "leader", g.Leader, "token", g.Token)
		}
		d.failed, d.serving, d.heard = false, false, c.now
		d.token, d.leaderClock = g.Token, g.LeaderClock
	})
}

// standsIn says whether this controller answers the worker in the leader's
// stead: it reaches neither a leader nor the state service that would name one,
// and the worker is of its own zone and has had a leader.
func (c *Core) standsIn(msg *protocol.Report) bool {
	d := &c.deputy
	if !d.failed || msg.Zone != c.cfg.Zone || msg.Token == 0 || (c.view.known && c.view.leader != nil) {
		return false
	}
	if !d.serving {
		c.log.Info("standing in for the leader in this zone", "token", msg.Token)
	}
	d.serving, d.served = true, c.now
	return true
}

// lostLeader notes that the leader did not answer. Is it lost, or are we? The
// state service tells, if it answers us.
func (c *Core) lostLeader() {
	d := &c.deputy
	if !d.failed {
		d.failed, d.lostAt = true, c.now
	}
	if c.view.known && c.now > d.lookedAt+c.cfg.LeaderTTL() {
		d.lookedAt = c.now
		c.view.refresh(c.now)
	}
}

func (c *Core) standIn(from asker, msg *protocol.Report) {
	c.reply(from, 200, protocol.Encode(protocol.ReportReply{Token: msg.Token, Commands: []protocol.Command{}}), 0)
}

// forwards says whether the worker's report is passed on to the leader: workers
// report to a controller of their own zone, so that none has to look for one
// when the zone is cut off. Looking took up to 4 s a controller, and longer than
// a lease where the next two were outside.
func (c *Core) forwards(msg *protocol.Report) bool {
	d := &c.deputy
	return msg.Zone == c.cfg.Zone && d.token != 0 && d.token >= d.highest && !d.failed && c.addrOf(d.leader) != ""
}

// forwardWithin is well inside the 4 s that a worker waits: one whose leader is
// cut off from us must get our own answer in that time.
const forwardWithin = reportWait / 2

// How long a worker waits for the answer to a report, and until it tries the
// next controller.
const (
	reportWait  = 4 * time.Second
	reportPause = time.Second
)

func (c *Core) forward(from asker, msg *protocol.Report, body []byte) {
	d := &c.deputy
	leader := d.leader
	relay := protocol.EncodePeer(protocol.Relay{Op: string(OpReport), Body: body})
	c.call(ToPeer, c.addrOf(leader), "POST", "/forward", relay, min(c.cfg.Lease()/8, forwardWithin), func(res Result) {
		var reply protocol.RelayReply
		switch {
		case c.term != nil:
			c.refuse(from)
		case res.Status == 200 && protocol.DecodePeer(res.Body, &reply) == nil && reply.Status >= 200 && reply.Status <= 599:
			c.reply(from, reply.Status, reply.Body, reply.RetryAfter)
		default:
			if leader == d.leader {
				c.lostLeader()
			}
			if c.standsIn(msg) {
				c.standIn(from, msg)
				return
			}
			c.reply(from, 421, protocol.Encode(protocol.Elsewhere{Leader: c.leaderLabel()}), 0)
		}
	})
}

// reporter names the controller that the worker is to report to: one of its own
// zone that is in touch with us, or none. A worker that comes back from there
// can't reach it, and is left alone for a while.
func (r *term) reporter(m *ledger.Machine, msg *protocol.Report) string {
	c := r.c
	if m.Zone == c.cfg.Zone || m.Zone == "" || msg.Token != r.token || c.now < r.since+c.cfg.Lease()/2 || c.now < m.DirectUntil {
		return ""
	}
	var near []string
	for _, s := range c.cfg.Siblings {
		if s.Zone == m.Zone && c.now < r.peers[s.Label].asked+c.cfg.Lease()/8 && r.peers[s.Label].asked > 0 {
			near = append(near, s.Label)
		}
	}
	if len(near) == 0 {
		return ""
	}
	to := slices.MinFunc(near, func(a, b string) int { return cmp.Compare(c.detour(a), c.detour(b)) })
	// One that has ended since is no reason: on a day of restarts one after the
	// other the workers of a zone were left with the leader, and lost in a cut.
	// As its end may not be known yet, the first time counts for little.
	process := r.peers[to].incarnation
	if m.SentTo != process {
		m.Bounces = 0
	} else if c.now < m.SentAway+3*c.cfg.Lease() {
		m.DirectUntil = c.now + c.cfg.Lease()/2<<min(m.Bounces, 5)
		m.Bounces++
		m.SentAway = 0
		return ""
	}
	m.SentAway, m.SentTo = c.now, process
	return to
}

// detour is how many controllers a worker tries between this one and the next of
// the same zone, should it end: they go through them in turn, and each that is
// cut off costs 4 s of a lease.
func (c *Core) detour(label string) int {
	type node struct{ label, zone string }
	all := []node{{c.cfg.Label, c.cfg.Zone}}
	for _, s := range c.cfg.Siblings {
		all = append(all, node{s.Label, s.Zone})
	}
	slices.SortFunc(all, func(a, b node) int {
		return cmp.Or(cmp.Compare(len(a.label), len(b.label)), cmp.Compare(a.label, b.label))
	})
	at := slices.IndexFunc(all, func(n node) bool { return n.label == label })
	for i := 1; i < len(all); i++ {
		if all[(at+i)%len(all)].zone == all[at].zone {
			return i
		}
	}
	return len(all)
}

// peer is what a leader knows of another controller.
type peer struct {
	zone        string
	incarnation string
	contact     time.Duration // when it was first heard in this term
	asked       time.Duration // and last
	started     time.Duration // when its process did, by our clock
	// clear: up to here it had served nobody later than served.
	clear, served time.Duration
}

// onHeartbeat answers a controller that stays in touch with the leader.
func (c *Core) onHeartbeat(from asker, body []byte) {
	var ask protocol.Heartbeat
	if protocol.DecodePeer(body, &ask) != nil || c.addrOf(ask.From) == "" {
		c.reply(from, 400, nil, 0)
		return
	}
	r := c.term
	if r != nil && ask.Token > r.token {
		c.endTerm("another controller knows a later leader")
		r = nil
	}
	g := protocol.HeartbeatReply{Token: c.deputy.highest}
	if r == nil {
		g.Leader = c.leaderLabel()
		c.reply(from, 200, protocol.EncodePeer(g), 0)
		return
	}
	g.Leader, g.Token, g.LeaderClock = c.cfg.Label, r.token, uint64(c.now)
	p := r.peers[ask.From]
	p.asked = c.now
	if p.contact == 0 {
		p.contact = c.now
	}
	if p.incarnation != ask.Incarnation {
		p.incarnation, p.served = ask.Incarnation, c.now
		p.started = c.now - time.Duration(ask.UptimeMS)*time.Millisecond
	}
	if ask.ServedMS >= 0 {
		p.served = max(p.served, c.now-time.Duration(ask.ServedMS)*time.Millisecond)
	}
	if ask.Token == r.token && ask.LeaderClock != 0 {
		p.clear = max(p.clear, time.Duration(ask.LeaderClock))
	}
	c.reply(from, 200, protocol.EncodePeer(g), 0)
}

// leaseOver says whether the worker's lease is proved over: nobody can have
// answered it for that long.
func (r *term) leaseOver(m *ledger.Machine) bool {
	c := r.c
	lease := config.Drift(c.cfg.Lease()) + c.cfg.Lease()/50
	// An earlier term of our own may have answered it until we were elected.
	last := max(m.Answered, m.FreshAt, r.since)
	for _, p := range r.peers {
		if p.zone == m.Zone || m.Zone == "" {
			last = max(last, p.served)
		}
		if m.FreshAt > 0 {
			continue
		}
		// The worker has not shown our token: an earlier leader may have
		// answered it, until we heard of that one or for as long as it could
		// go on without the state service.
		if p.contact > 0 {
			last = max(last, p.contact)
		} else {
			last = max(last, r.since+config.Drift(c.cfg.Coast()))
		}
	}
	if c.now <= last+lease || m.Heard+lease > c.now {
		return false
	}
	for _, p := range r.peers {
		if (p.zone == m.Zone || m.Zone == "") && p.clear <= last+lease {
			return false
		}
	}
	return true
}

// findDark looks for zones that are cut off: nearly all machines there are
// silent, those of other zones are not, and a controller of the zone, silent
// too, may be keeping their leases.
func (r *term) findDark() {
	c := r.c
	type count struct{ up, silent int }
	zones := map[string]*count{}
	for _, m := range r.Machines {
		if !m.Up || m.Returning {
			continue
		}
		z := zones[m.Zone]
		if z == nil {
			z = &count{}
			zones[m.Zone] = z
		}
		z.up++
		if c.now-max(m.Heard, r.since) > c.cfg.Lease()*3/10 {
			z.silent++
		}
	}
	heard := false
	for _, z := range zones {
		heard = heard || z.silent*2 < z.up
	}
	asked := map[string]time.Duration{}
	for _, p := range r.peers {
		asked[p.zone] = max(asked[p.zone], p.asked, r.since)
	}
	delete(asked, c.cfg.Zone)
	dark := map[string]time.Duration{}
	for zone, at := range asked {
		z := zones[zone]
		if z == nil {
			z = &count{}
		}
		since, was := r.dark[zone]
		if !was {
			since = c.now
		}
		// Once dark, it stays so until something there is heard, or for as long
		// as its deputy may act: its silent machines may have been returned.
		if c.now > at+c.cfg.Lease()/4 && z.silent*5 >= z.up*4 &&
			(was && c.now < since+c.cfg.Coast() || !was && heard && z.silent > 0) {
			dark[zone] = since
		}
	}
	for zone := range dark {
		if _, was := r.dark[zone]; !was {
			c.log.Info("zone is dark", "zone", zone, "machines", zones[zone].up)
		}
	}
	for zone := range r.dark {
		if _, is := dark[zone]; !is {
			c.log.Info("zone is no longer dark", "zone", zone)
			// Its workers need a moment to find the leader again: they were once
			// all returned as silent when a cut had ended.
			r.lit[zone] = c.now
		}
	}
	r.dark = dark
}

// forsaken says whether a dark zone has most probably lost its tasks: it has a
// single controller, was silent when we were elected, and all other controllers
// ended with the leader before us, so that its own has most probably ended too.
// Its workers then went through all the others before it was back, which takes
// longer than a lease. Its machines are returned, as their tasks can go on
// elsewhere only with the cloud's word.
func (r *term) forsaken(zone string) bool {
	c := r.c
	if !r.isDark(zone) || c.now < r.since+c.cfg.Lease() {
		return false
	}
	controllers, heard, ended := 0, 0, 0
	// Those that ended with that leader started about when we were elected, or
	// later; an end some time before the cut is no sign.
	with := r.since - c.cfg.Lease()/4
	if with < 0 {
		ended++ // we ended ourselves
	}
	for _, p := range r.peers {
		switch {
		case p.zone == zone:
			controllers++
		case p.contact > 0:
			heard++
			if p.started > with {
				ended++
			} else {
				return false
			}
		}
	}
	if controllers != 1 || heard == 0 || ended < 2 {
		return false
	}
	// Going through all the others and a report's wait must take longer than the
	// lease. Where it does not, its workers found their controller again, which
	// stands in for the leader: the machines of a zone of 158 were once returned
	// with all that ran on them.
	if c.goRound() <= c.cfg.Lease() {
		return false
	}
	for _, m := range r.Machines {
		if m.Zone == zone && m.FreshAt > 0 {
			return false
		}
	}
	return true
}

// goRound is how long a worker may need to go through all the other controllers
// when none of them answers.
func (c *Core) goRound() time.Duration {
	return time.Duration(len(c.cfg.Siblings))*(reportWait+reportPause) + c.cfg.Report()*5/4
}

// isDark says whether the zone is cut off.
func (r *term) isDark(zone string) bool {
	_, is := r.dark[zone]
	return is
}
