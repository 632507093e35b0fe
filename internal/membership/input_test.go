package membership

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// single is one detector that is driven by hand.
type single struct {
	t        *testing.T
	detector *Detector
	now      time.Duration
	request  uint64
}

func newSingle(t *testing.T) *single {
	s := &single{t: t, detector: New(testSettings("a", []string{"a", "b", "c"}), rand.New(rand.NewPCG(1, 1)))}
	s.detector.Tick(s.clock())
	return s
}

func (s *single) clock() Clock { return Clock{Steady: s.now, Wall: testWall + s.now.Milliseconds()} }

// take gives the detector a message, and returns the answer's status and the reasons of drops.
func (s *single) take(body []byte) (status int, drops []DropReason) {
	s.t.Helper()
	s.request++
	for _, a := range s.detector.Probed(s.clock(), s.request, body) {
		switch a := a.(type) {
		case Respond:
			status = a.Status
		case Drop:
			drops = append(drops, a.Reason)
		case Change:
			s.t.Errorf("%+v", a)
		}
	}
	return status, drops
}

func good() Probe {
	return Probe{Version: Version, From: "b", Incarnation: Incarnation(testWall), Sequence: 5}
}

// What is not as it should be is dropped and counted, and changes nothing.
func TestBadMessages(t *testing.T) {
	change := func(f func(*Probe)) []byte {
		p := good()
		f(&p)
		return encode(p)
	}
	for name, tc := range map[string]struct {
		body   []byte
		status int
		drop   DropReason
	}{
		"empty":                     {nil, 400, DropMalformed},
		"truncated":                 {encode(good())[:9], 400, DropMalformed},
		"text":                      {[]byte("hello"), 400, DropMalformed},
		"oversized":                 {append(encode(good()), make([]byte, MostBytes)...), 400, DropMalformed},
		"too many claims":           {change(func(p *Probe) { p.Claims = make([]Claim, mostClaims+1) }), 400, DropMalformed},
		"another type":              {encode(map[int]string{1: "one"}), 400, DropMalformed},
		"a higher version":          {change(func(p *Probe) { p.Version++ }), 404, DropVersion},
		"an unknown label":          {change(func(p *Probe) { p.From = "z" }), 400, DropUnknown},
		"no label":                  {change(func(p *Probe) { p.From = "" }), 400, DropUnknown},
		"our own label":             {change(func(p *Probe) { p.From = "a" }), 400, DropUnknown},
		"an unknown target":         {change(func(p *Probe) { p.Sequence, p.Target = 9, "z" }), 400, DropUnknown},
		"an older incarnation":      {change(func(p *Probe) { p.Incarnation-- }), 409, DropIncarnation},
		"a sequence gone backwards": {change(func(p *Probe) { p.Sequence-- }), 409, DropSequence},
		"a copy":                    {change(func(*Probe) {}), 409, DropSequence},
		"an incarnation to come":    {change(func(p *Probe) { p.Incarnation += 3_600_000 }), 409, DropFuture},
		"the highest incarnation":   {change(func(p *Probe) { p.Incarnation = 1<<64 - 1 }), 409, DropFuture},
		"a sequence to come":        {change(func(p *Probe) { p.Sequence = 1 << 50 }), 409, DropFuture},
	} {
		s := newSingle(t)
		if status, drops := s.take(encode(good())); status != 200 || len(drops) > 0 {
			t.Fatalf("a good message: %d, %v", status, drops)
		}
		before := *s.detector.members["b"]
		status, drops := s.take(tc.body)
		if status != tc.status || !slices.Equal(drops, []DropReason{tc.drop}) {
			t.Errorf("%s: %d, %v", name, status, drops)
		}
		after := s.detector.members["b"]
		if after.state != before.state || after.incarnation != before.incarnation || name != "an unknown target" && after.sequence != before.sequence {
			t.Errorf("%s: the member was %+v, is %+v", name, before, *after)
		}
		if s.detector.Counters().Dropped != 1 {
			t.Errorf("%s: %d are counted", name, s.detector.Counters().Dropped)
		}
	}
}

// Claims are hearsay: none of them changes a state, whoever makes them, and of ourselves only what
// can be is refuted.
func TestClaimsChangeNoState(t *testing.T) {
	s := newSingle(t)
	own := s.detector.Incarnation()
	p := good()
	p.Claims = []Claim{
		{Label: "c", State: Dead, Incarnation: 7}, {Label: "c", State: Left, Incarnation: 7}, {Label: "c", State: 99},
		{Label: "c", State: Suspect, Incarnation: 1<<64 - 1}, {Label: "z", State: Dead}, {Label: "", State: Suspect},
		{Label: "a", State: Dead, Incarnation: 1<<64 - 1}, {Label: "a", State: Suspect, Incarnation: own - 1},
	}
	if status, drops := s.take(encode(p)); status != 200 || len(drops) > 0 {
		t.Errorf("%d, %v", status, drops)
	}
	if got := s.detector.Incarnation(); got != own {
		t.Errorf("our incarnation is %d, was %d", got, own)
	}
	p.Sequence++
	p.Claims = []Claim{{Label: "a", State: Suspect, Incarnation: own}}
	s.take(encode(p))
	if got := s.detector.Incarnation(); got != own+1 || s.detector.Counters().Refutations != 1 {
		t.Errorf("our incarnation is %d, was %d", got, own)
	}
}

// Drops of one kind from one peer are logged once.
func TestDropsAreLoggedOnce(t *testing.T) {
	s := newSingle(t)
	s.take(encode(good()))
	firsts := 0
	for range 5 {
		s.request++
		for _, a := range s.detector.Probed(s.clock(), s.request, encode(good())) {
			if d, is := a.(Drop); is && d.First {
				firsts++
			}
		}
	}
	if firsts != 1 {
		t.Errorf("%d firsts", firsts)
	}
}

// Probes for others are bounded, and each is answered.
func TestProbesForOthersAreBounded(t *testing.T) {
	s := newSingle(t)
	busy := 0
	p := good()
	for i := range 2 * mostOnBehalf {
		p.Sequence, p.Target = uint64(10+i), "c"
		if status, _ := s.take(encode(p)); status == http.StatusServiceUnavailable {
			busy++
		}
	}
	if busy != mostOnBehalf {
		t.Errorf("%d were refused", busy)
	}
	answered := 0
	for range 20 {
		s.now += testTick
		for _, a := range s.detector.Tick(s.clock()) {
			if r, is := a.(Respond); is {
				var reply ProbeReply
				if err := cbor.Unmarshal(r.Body, &reply); err != nil || reply.Reached {
					t.Errorf("%+v, %v", reply, err)
				}
				answered++
			}
		}
	}
	if answered != mostOnBehalf || s.detector.onBehalf != 0 {
		t.Errorf("%d answered, %d left", answered, s.detector.onBehalf)
	}
}

// Replies that don't fit their probe are no sign of life.
func TestBadReplies(t *testing.T) {
	for name, change := range map[string]func(*ProbeReply){
		"of another":       func(r *ProbeReply) { r.From = "c" },
		"to another probe": func(r *ProbeReply) { r.Sequence++ },
		"higher version":   func(r *ProbeReply) { r.Version++ },
	} {
		s := newSingle(t)
		var sent Send
		for sent.To != "b" {
			s.now += testTick
			for _, a := range s.detector.Tick(s.clock()) {
				if send, is := a.(Send); is && send.To == "b" && len(send.Body) > 0 {
					sent = send
				}
			}
		}
		var p Probe
		if err := cbor.Unmarshal(sent.Body, &p); err != nil {
			t.Fatal(err)
		}
		reply := ProbeReply{Version: Version, From: "b", Incarnation: Incarnation(testWall), Sequence: p.Sequence}
		change(&reply)
		s.detector.Answered(s.clock(), sent.ID, Answer{Status: 200, Body: encode(reply)})
		if c := s.detector.Counters(); c.Answers != 0 || c.Dropped != 1 {
			t.Errorf("%s: %+v", name, c)
		}
	}
}

// FuzzProbed takes any bytes as a probe: no crash, and no change of anybody's state.
func FuzzProbed(f *testing.F) {
	f.Add(encode(good()))
	p := good()
	p.Target, p.Claims = "c", []Claim{{Label: "a", State: Suspect, Incarnation: Incarnation(testWall)}, {Label: "c", State: Dead}}
	f.Add(encode(p))
	f.Add([]byte{0xa0})
	f.Add([]byte{0xbf, 0xff})
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		d := New(testSettings("a", []string{"a", "b", "c"}), rand.New(rand.NewPCG(1, 1)))
		at := Clock{Steady: time.Second, Wall: testWall}
		d.Tick(at)
		for i := range 2 {
			for _, a := range d.Probed(at, uint64(i+1), body) {
				if c, is := a.(Change); is && c.To != Left {
					t.Errorf("%+v", c)
				}
			}
			d.Answered(at, uint64(i+1), Answer{Status: 200, Body: body})
		}
		if len(d.probes) > 4+mostOnBehalf || len(d.questions) > 64 {
			t.Errorf("%d probes, %d questions", len(d.probes), len(d.questions))
		}
	})
}

// When one of several is gone its keys alone move, each to one of the others, and evenly.
func TestOwners(t *testing.T) {
	all := []string{"n0", "n1", "n2", "n3"}
	const keys = 4000
	moved := map[string]int{}
	share := map[string]int{}
	var a Assignment
	for i := range keys {
		key := fmt.Sprintf("i-%06d", i)
		owner := a.Owner(key, all)
		share[owner]++
		if owner != Owner(key, []string{"n3", "n1", "n0", "n2"}) {
			t.Fatalf("the owner of %s depends on the order", key)
		}
		without := Owner(key, []string{"n0", "n2", "n3"})
		if owner != "n1" && without != owner {
			t.Errorf("%s moves from %s to %s though n1 is gone", key, owner, without)
		}
		if owner == "n1" {
			moved[without]++
		}
	}
	for _, l := range all {
		if share[l] < keys/4*9/10 || share[l] > keys/4*11/10 {
			t.Errorf("%s has %d of %d", l, share[l], keys)
		}
		if l != "n1" && moved[l] < share["n1"]/3*8/10 {
			t.Errorf("%s gets %d of %d", l, moved[l], share["n1"])
		}
	}
	if Owner("i-1", nil) != "" {
		t.Error("nobody owns something")
	}
}

// Ranks are a permutation that differs from token to token.
func TestRanks(t *testing.T) {
	all := []string{"n0", "n1", "n2", "n3", "n4"}
	firsts := map[string]int{}
	for token := range uint64(200) {
		ranks := map[int]bool{}
		for _, l := range all {
			rank := Rank(l, token, all)
			ranks[rank] = true
			if rank == 0 {
				firsts[l]++
			}
		}
		if len(ranks) != len(all) {
			t.Fatalf("token %d: ranks %v", token, ranks)
		}
	}
	if len(firsts) != len(all) {
		t.Errorf("firsts: %v", firsts)
	}
	if Rank("gone", 1, all) != len(all) {
		t.Error("one that is not among them has a rank")
	}
}
