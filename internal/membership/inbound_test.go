package membership

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// singleDetector is a detector with label a, whose peers b and c are simulated by the test.
type singleDetector struct {
	t             *testing.T
	detector      *Detector
	now           time.Duration
	lastRequestID uint64
}

func newSingleDetector(t *testing.T) *singleDetector {
	s := &singleDetector{t: t, detector: New(testSettings("a", []string{"a", "b", "c"}), rand.New(rand.NewPCG(1, 1)))}
	s.detector.Tick(s.clock())
	return s
}

func (s *singleDetector) clock() Clock {
	return Clock{Monotonic: s.now, Wall: testWall + s.now.Milliseconds()}
}

// deliver passes a probe to the detector, and returns the status of the response and the reasons of dropped
// messages. A state change fails the test.
func (s *singleDetector) deliver(body []byte) (status int, drops []DropReason) {
	s.t.Helper()
	s.lastRequestID++
	for _, a := range s.detector.HandleProbe(s.clock(), s.lastRequestID, body) {
		switch a := a.(type) {
		case Respond:
			status = a.Status
		case DroppedMessage:
			drops = append(drops, a.Reason)
		case StateChange:
			s.t.Errorf("unexpected state change: %+v", a)
		}
	}
	return status, drops
}

func validProbe() Probe {
	return Probe{Version: ProtocolVersion, From: "b", Incarnation: Incarnation(testWall), Sequence: 5}
}

// Invalid messages are dropped and counted, and do not change the state of their sender.
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
				t.Fatalf("a valid message was not accepted: status %d, drops %v", status, drops)
			}
			before := *s.detector.members["b"]
			status, drops := s.deliver(tc.body)
			if status != tc.status || !slices.Equal(drops, []DropReason{tc.drop}) {
				t.Errorf("status %d, drops %v, want %d, %v", status, drops, tc.status, tc.drop)
			}
			after := s.detector.members["b"]
			if after.state != before.state || after.incarnation != before.incarnation || name != "an unknown target" && after.sequence != before.sequence {
				t.Errorf("the invalid message changed the member from %+v to %+v", before, *after)
			}
			if s.detector.Counters().DroppedMessages != 1 {
				t.Errorf("%d dropped messages were counted, want 1", s.detector.Counters().DroppedMessages)
			}
		})
	}
}

// A claim about a third member changes no state. Claims against this controller are refuted only if their
// incarnation is possible.
func TestClaimsOfOthersChangeNoState(t *testing.T) {
	s := newSingleDetector(t)
	initial := s.detector.Incarnation()
	p := validProbe()
	p.Claims = []Claim{
		{Label: "c", State: Dead, Incarnation: 7}, {Label: "c", State: Left, Incarnation: 7}, {Label: "c", State: 99},
		{Label: "c", State: Suspect, Incarnation: 1<<64 - 1}, {Label: "z", State: Dead}, {Label: "", State: Suspect},
		{Label: "a", State: Dead, Incarnation: 1<<64 - 1}, {Label: "a", State: Suspect, Incarnation: initial - 1},
	}
	if status, drops := s.deliver(encode(p)); status != 200 || len(drops) > 0 {
		t.Errorf("a probe with claims was not accepted: status %d, drops %v", status, drops)
	}
	if got := s.detector.Incarnation(); got != initial {
		t.Errorf("claims about impossible or older incarnations were refuted: the own incarnation is %d, was %d", got, initial)
	}
	p.Sequence++
	p.Claims = []Claim{{Label: "a", State: Suspect, Incarnation: initial}}
	s.deliver(encode(p))
	if got := s.detector.Incarnation(); got != initial+1 || s.detector.Counters().Refutations != 1 {
		t.Errorf("the claim was not refuted once: the own incarnation is %d, was %d", got, initial)
	}
}

// Only the first drop for a peer and reason is marked as first, so that it is logged once.
func TestDropsAreLoggedOnce(t *testing.T) {
	s := newSingleDetector(t)
	s.deliver(encode(validProbe()))
	firsts := 0
	for range 5 {
		s.lastRequestID++
		for _, a := range s.detector.HandleProbe(s.clock(), s.lastRequestID, encode(validProbe())) {
			if d, is := a.(DroppedMessage); is && d.First {
				firsts++
			}
		}
	}
	if firsts != 1 {
		t.Errorf("%d drops were marked as first, want 1", firsts)
	}
}

// The number of probes for peers is bounded, and each requester is answered.
func TestProbesForPeersAreBounded(t *testing.T) {
	s := newSingleDetector(t)
	refused := 0
	p := validProbe()
	for i := range 2 * maxProbesForPeers {
		p.Sequence, p.Target = uint64(10+i), "c"
		if status, _ := s.deliver(encode(p)); status == http.StatusServiceUnavailable {
			refused++
		}
	}
	if refused != maxProbesForPeers {
		t.Errorf("%d requests were refused, want the number beyond the bound", refused)
	}
	answered := 0
	for range 20 {
		s.now += testTick
		for _, a := range s.detector.Tick(s.clock()) {
			if r, is := a.(Respond); is {
				var reply ProbeReply
				if err := cbor.Unmarshal(r.Body, &reply); err != nil || reply.Reached {
					t.Errorf("want a nack: %+v, error %v", reply, err)
				}
				answered++
			}
		}
	}
	if answered != maxProbesForPeers || s.detector.pending.forPeers != 0 {
		t.Errorf("%d probes for peers were answered, %d are still pending", answered, s.detector.pending.forPeers)
	}
}

// A reply that does not match its probe is dropped and is not an ack.
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
				t.Errorf("want no reply and one dropped message: %+v", c)
			}
		})
	}
}

// FuzzProbed passes arbitrary bytes as a probe and as a response. The detector must not panic, and the only
// allowed state change is that the sender leaves.
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
		clock := Clock{Monotonic: time.Second, Wall: testWall}
		d.Tick(clock)
		for i := range 2 {
			for _, a := range d.HandleProbe(clock, uint64(i+1), body) {
				if c, is := a.(StateChange); is && c.To != Left {
					t.Errorf("unexpected state change: %+v", c)
				}
			}
			d.HandleResponse(clock, uint64(i+1), Response{Status: 200, Body: body})
		}
		if len(d.pending.probes) > 4+maxProbesForPeers || len(d.pending.requests) > 64 {
			t.Errorf("too many probes (%d) or requests (%d) are pending", len(d.pending.probes), len(d.pending.requests))
		}
	})
}
