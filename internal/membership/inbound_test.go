package membership

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// singleDetector is a detector with the peers b and c, which the test itself plays.
type singleDetector struct {
	t        *testing.T
	detector *Detector
	now      time.Duration
	request  uint64
}

func newSingleDetector(t *testing.T) *singleDetector {
	s := &singleDetector{t: t, detector: New(testSettings("a", []string{"a", "b", "c"}), rand.New(rand.NewPCG(1, 1)))}
	s.detector.Tick(s.clock())
	return s
}

func (s *singleDetector) clock() Clock {
	return Clock{Monotonic: s.now, Wall: testWall + s.now.Milliseconds()}
}

// deliver passes a probe to the detector, and returns the response's status and the reasons of drops. A
// change of state is an error.
func (s *singleDetector) deliver(body []byte) (status int, drops []DropReason) {
	s.t.Helper()
	s.request++
	for _, a := range s.detector.HandleProbe(s.clock(), s.request, body) {
		switch a := a.(type) {
		case Respond:
			status = a.Status
		case DroppedMessage:
			drops = append(drops, a.Reason)
		case StateChange:
			s.t.Errorf("%+v", a)
		}
	}
	return status, drops
}

func validProbe() Probe {
	return Probe{Version: ProtocolVersion, From: "b", Incarnation: Incarnation(testWall), Sequence: 5}
}

// Invalid messages are dropped and counted, and change nothing.
func TestInvalidMessagesAreDropped(t *testing.T) {
	change := func(f func(*Probe)) []byte {
		p := validProbe()
		f(&p)
		return encode(p)
	}
	for name, tc := range map[string]struct {
		body   []byte
		status int
		drop   DropReason
	}{
		"empty":                     {nil, 400, DropMalformed},
		"truncated":                 {encode(validProbe())[:9], 400, DropMalformed},
		"text":                      {[]byte("hello"), 400, DropMalformed},
		"oversized":                 {append(encode(validProbe()), make([]byte, MaxMessageBytes)...), 400, DropMalformed},
		"too many claims":           {change(func(p *Probe) { p.Claims = make([]Claim, maxClaims+1) }), 400, DropMalformed},
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
		t.Run(name, func(t *testing.T) {
			s := newSingleDetector(t)
			if status, drops := s.deliver(encode(validProbe())); status != 200 || len(drops) > 0 {
				t.Fatalf("a valid message: status %d, drops %v", status, drops)
			}
			before := *s.detector.members["b"]
			status, drops := s.deliver(tc.body)
			if status != tc.status || !slices.Equal(drops, []DropReason{tc.drop}) {
				t.Errorf("status %d, drops %v", status, drops)
			}
			after := s.detector.members["b"]
			if after.state != before.state || after.incarnation != before.incarnation || name != "an unknown target" && after.sequence != before.sequence {
				t.Errorf("the member was %+v, is %+v", before, *after)
			}
			if s.detector.Counters().DroppedMessages != 1 {
				t.Errorf("%d drops are counted", s.detector.Counters().DroppedMessages)
			}
		})
	}
}

// A claim about a third member changes no state, and of the claims against ourselves only those about a
// possible incarnation are refuted.
func TestClaimsOfOthersChangeNoState(t *testing.T) {
	s := newSingleDetector(t)
	own := s.detector.Incarnation()
	p := validProbe()
	p.Claims = []Claim{
		{Label: "c", State: Dead, Incarnation: 7}, {Label: "c", State: Left, Incarnation: 7}, {Label: "c", State: 99},
		{Label: "c", State: Suspect, Incarnation: 1<<64 - 1}, {Label: "z", State: Dead}, {Label: "", State: Suspect},
		{Label: "a", State: Dead, Incarnation: 1<<64 - 1}, {Label: "a", State: Suspect, Incarnation: own - 1},
	}
	if status, drops := s.deliver(encode(p)); status != 200 || len(drops) > 0 {
		t.Errorf("%d, %v", status, drops)
	}
	if got := s.detector.Incarnation(); got != own {
		t.Errorf("our incarnation is %d, was %d", got, own)
	}
	p.Sequence++
	p.Claims = []Claim{{Label: "a", State: Suspect, Incarnation: own}}
	s.deliver(encode(p))
	if got := s.detector.Incarnation(); got != own+1 || s.detector.Counters().Refutations != 1 {
		t.Errorf("our incarnation is %d, was %d", got, own)
	}
}

// Drops for one reason from one peer are marked as first once, so that they are logged once.
func TestDropsAreLoggedOnce(t *testing.T) {
	s := newSingleDetector(t)
	s.deliver(encode(validProbe()))
	firsts := 0
	for range 5 {
		s.request++
		for _, a := range s.detector.HandleProbe(s.clock(), s.request, encode(validProbe())) {
			if d, is := a.(DroppedMessage); is && d.First {
				firsts++
			}
		}
	}
	if firsts != 1 {
		t.Errorf("%d firsts", firsts)
	}
}

// Indirect probes for peers are bounded, and each is answered.
func TestProbesForPeersAreBounded(t *testing.T) {
	s := newSingleDetector(t)
	busy := 0
	p := validProbe()
	for i := range 2 * maxProbesForPeers {
		p.Sequence, p.Target = uint64(10+i), "c"
		if status, _ := s.deliver(encode(p)); status == http.StatusServiceUnavailable {
			busy++
		}
	}
	if busy != maxProbesForPeers {
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
	if answered != maxProbesForPeers || s.detector.pending.forPeers != 0 {
		t.Errorf("%d answered, %d left", answered, s.detector.pending.forPeers)
	}
}

// Replies that don't match their probe are no acks.
func TestMismatchedRepliesAreDropped(t *testing.T) {
	for name, change := range map[string]func(*ProbeReply){
		"of another":       func(r *ProbeReply) { r.From = "c" },
		"to another probe": func(r *ProbeReply) { r.Sequence++ },
		"higher version":   func(r *ProbeReply) { r.Version++ },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSingleDetector(t)
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
			reply := ProbeReply{Version: ProtocolVersion, From: "b", Incarnation: Incarnation(testWall), Sequence: p.Sequence}
			change(&reply)
			s.detector.HandleResponse(s.clock(), sent.ID, Response{Status: 200, Body: encode(reply)})
			if c := s.detector.Counters(); c.Replies != 0 || c.DroppedMessages != 1 {
				t.Errorf("%+v", c)
			}
		})
	}
}

// FuzzProbed passes any bytes as a probe and as a response: no crash, and no change of state except that
// the sender leaves.
func FuzzProbed(f *testing.F) {
	f.Add(encode(validProbe()))
	p := validProbe()
	p.Target, p.Claims = "c", []Claim{{Label: "a", State: Suspect, Incarnation: Incarnation(testWall)}, {Label: "c", State: Dead}}
	f.Add(encode(p))
	f.Add([]byte{0xa0})
	f.Add([]byte{0xbf, 0xff})
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		d := New(testSettings("a", []string{"a", "b", "c"}), rand.New(rand.NewPCG(1, 1)))
		at := Clock{Monotonic: time.Second, Wall: testWall}
		d.Tick(at)
		for i := range 2 {
			for _, a := range d.HandleProbe(at, uint64(i+1), body) {
				if c, is := a.(StateChange); is && c.To != Left {
					t.Errorf("%+v", c)
				}
			}
			d.HandleResponse(at, uint64(i+1), Response{Status: 200, Body: body})
		}
		if len(d.pending.probes) > 4+maxProbesForPeers || len(d.pending.requests) > 64 {
			t.Errorf("%d probes, %d requests", len(d.pending.probes), len(d.pending.requests))
		}
	})
}
