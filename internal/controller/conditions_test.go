package controller

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"claybarrow/internal/scheduler"
)

// A condition is logged once when it begins and once when it ends.
func TestConditionsAreLoggedOnce(t *testing.T) {
	w := newWorld(t, 95)
	l := w.leadership()
	var logOutput bytes.Buffer
	l.controller.env.log = slog.New(slog.NewTextHandler(&logOutput, nil))
	logged := func(text string) int { return strings.Count(logOutput.String(), text) }
	for _, id := range []string{"i-900001", "i-900002", "i-900003"} {
		m := l.state.AddMachine(id)
		m.Type, m.Zone, m.LaunchedAt = "m8", "a", l.controller.env.now
	}
	l.scaler.watchBootTimes()
	l.controller.env.now += seconds(l.controller.catalog.machineType("m8").BootS * 2)
	for range 5 {
		l.scaler.watchBootTimes()
	}
	if logged("machine boots are late") != 1 || logged("on time again") != 0 {
		t.Errorf("log after late boots: %s", logOutput.String())
	}
	for _, m := range l.machines.sortedMachines() {
		m.EverReported = true
	}
	l.scaler.watchBootTimes()
	l.scaler.watchBootTimes()
	if logged("on time again") != 1 {
		t.Errorf("log after boots on time: %s", logOutput.String())
	}
	p := scheduler.Pool{Type: "m8", Zone: "a"}
	for _, short := range []bool{true, true, false, false, true} {
		l.scaler.onPoolShortage(p, short)
	}
	if logged("pool short of capacity") != 2 || logged("pool has capacity") != 1 {
		t.Errorf("log of the pool's capacity: %s", logOutput.String())
	}
}
