package scalerun

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// A task start under an earlier fencing token after a start under a later one means that two leaders own the job.
func TestOwnership(t *testing.T) {
	o := newOwnership()
	const first, second = uint64(3 << attemptBlockBits), uint64(4 << attemptBlockBits)
	if o.taskStarted("j-1", first|1, 0) || o.taskStarted("j-1", second|1, 0) || !o.taskStarted("j-1", first|2, 0) {
		t.Error("taskStarted did not report exactly the start under the earlier token")
	}
	o.workerAnswered("i-1", 0, 0)
	o.reset()
	o.workerAnswered("i-1", 0, 0)
	o.workerAnswered("i-1", 2, 0)
	o.workerAnswered("i-1", 1, 0)
	o.workerAnswered("i-2", 1, 0)
	if s := o.totals(); s.Machines != 2 || s.MachineMoves != 2 || s.MaxMachineMoves != 2 || s.Jobs != 1 {
		t.Errorf("totals %+v, want 2 machines, 2 moves, at most 2 of one machine, 1 job", s)
	}
}

// Detection times are read from the controllers' logs. Older program versions word the log messages differently.
func TestDetectionFromLogs(t *testing.T) {
	for name, words := range map[string][2]string{
		"this version":   {`"elected leader"`, `"cluster state loaded"`},
		"older versions": {"leader", `"ledger read"`},
	} {
		t.Run(name, func(t *testing.T) { checkDetectionFromLogs(t, words[0], words[1]) })
	}
}

func checkDetectionFromLogs(t *testing.T, elected, loaded string) {
	t.Helper()
	at := time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC)
	log := filepath.Join(t.TempDir(), "log")
	text := `time=2026-12-02T09:59:59.000Z level=INFO msg="controller is suspect" node=c1 controller=c0 was=alive
time=2026-12-02T10:00:00.500Z level=INFO msg="controller is suspect" node=c1 controller=c0 was=alive why="neither we nor others reach it"
time=2026-12-02T10:00:00.700Z level=INFO msg="controller is suspect" node=c2 controller=c0 was=alive
time=2026-12-02T10:00:01.250Z level=INFO msg=` + elected + ` node=c2 token=2 lease=3
time=2026-12-02T10:00:01.300Z level=INFO msg=` + loaded + ` node=c2 token=2
not a log line
time=2026-12-02T10:00:03.000Z level=INFO msg="controller is dead" node=c1 controller=c0 was=suspect
`
	if err := os.WriteFile(log, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	d := newDetection()
	now := at
	d.now = func() time.Time { return now }
	d.faultInjected("c0", FaultKillLeader, 0, 1)
	now = at.Add(1400 * time.Millisecond)
	d.taskStarted(1)
	d.taskStarted(2)
	got := d.results([]string{log, filepath.Join(t.TempDir(), "missing")})
	want := Detection{Kind: FaultKillLeader, FirstSuspectMS: 500, LastSuspectMS: 700, FirstDeadMS: 3000, LastDeadMS: 3000, ElectedMS: 1250, LoadedMS: 1300, FirstPlacementMS: 1400}
	if len(got) != 1 || got[0] != want {
		t.Errorf("detections %+v, want one: %+v", got, want)
	}
}
