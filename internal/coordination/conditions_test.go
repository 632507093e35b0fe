package coordination

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"claybarrow/internal/sched"
)

// A state that lasts is logged when it begins and when it is over, not in between.
func TestConditionsAreLoggedOnce(t *testing.T) {
	w := newWorld(t, 95)
	r := w.term()
	var out bytes.Buffer
	r.c.log = slog.New(slog.NewTextHandler(&out, nil))
	logged := func(what string) int { return strings.Count(out.String(), what) }
	for _, id := range []string{"i-900001", "i-900002", "i-900003"} {
		m := r.AddMachine(id)
		m.Type, m.Zone, m.Rented = "m8", "a", r.c.now
	}
	r.watchBoots()
	r.c.now += seconds(r.c.typeOf("m8").BootS * 2)
	for range 5 {
		r.watchBoots()
	}
	if logged("machines come up late") != 1 || logged("in time again") != 0 {
		t.Errorf("late boots: %s", out.String())
	}
	for _, m := range r.machines() {
		m.Up = true
	}
	r.watchBoots()
	r.watchBoots()
	if logged("in time again") != 1 {
		t.Errorf("boots in time again: %s", out.String())
	}
	p := sched.Pool{Type: "m8", Zone: "a"}
	for _, short := range []bool{true, true, false, false, true} {
		r.poolShort(p, short)
	}
	if logged("pool is short") != 2 || logged("pool has machines") != 1 {
		t.Errorf("pools: %s", out.String())
	}
}
