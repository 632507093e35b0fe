// Command standin2 plays the cases of the second review: it starts the controllers with the command of the deploy file and
// plays the state service, the cloud, the workers and the users for them.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"claybarrow/internal/config"
	"claybarrow/internal/protocol"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// caseTimeout bounds a case.
const caseTimeout = 117 * time.Second

// cases are the cases by name.
var cases = map[string]func(ctx context.Context, w *world, s *site, trouble bool) int{
	"gang": playGang, "mistake": playMistake, "starved": playStarved, "yard": playYard, "fetch": playFetch, "month": playMonth,
}

// smallSite returns a small deployment: three controllers and the state service of the parking deployment, and machines
// that boot within two seconds, as the cloud's page allows.
func smallSite() *site {
	zones := []string{"a", "b", "c"}
	return &site{
		Controllers: 3, Zones: zones,
		Teams: []config.Team{
			{Name: "appeals-desk", Cores: 200, CoresMax: 1000},
			{Name: "fines-casework", Cores: 400, CoresMax: 1000},
			{Name: "meter-data", Cores: 200, CoresMax: 4000},
			{Name: "transport-research", CoresMax: 400},
		},
		Types: []protocol.MachineType{{Name: "kerry-gpu96", Cores: 96, Accelerators: 8, MemoryGB: 768, CacheGB: 400, FetchGBPerS: 10,
			Price: 21.51, SpotPrice: 9.06, BootS: 2, Zones: zones}},
		ReportS: 1, LeaseS: 10, CancelS: 35, RPS: 150, WriteRPS: 50, ValueKB: 16, TxnOps: 32, CloudRPS: 8, ListLagS: 5,
		Cores: 0.144, MemMB: 98, FDs: 600, Boot: 2 * time.Second, RunTime: 20 * time.Second, StateLatency: 3 * time.Millisecond,
	}
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE DIRECTORY RECORD, the directory for settings and logs")
		os.Exit(exitCouldNot)
	}
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	code := playCase(ctx, os.Args[1], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	cancel()
	os.Exit(code)
}

// playCase plays a case and ends all processes that it started.
func playCase(ctx context.Context, name, dir, recordPath string, trouble bool) int {
	s := smallSite()
	w, err := newWorld(ctx, dir, recordPath, s)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	defer w.stopControllers()
	w.record.printf("case %s, trouble %v", name, trouble)
	code := cases[name](ctx, w, s, trouble)
	w.record.printf("exit %d", code)
	return code
}
