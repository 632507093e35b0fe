package scalerun

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"claybarrow/internal/emulator"
)

// SoakSettings are the settings of a soak test.
type SoakSettings struct {
	Program  string
	Seed     uint64 // the first one
	Seeds    int
	Parallel int // runs at a time
	Workers  int // of each run
	BasePort int
	Dir      string // receives the results, and the logs of failed runs
	Operator string // operators' settings (TOML text) of the controllers
	// Share holds each controller to this share of a core; 0: not held.
	Share float64
	// LoadBalancer distributes users' connections as the protocol describes it.
	LoadBalancer bool
	// Features turns failure detection and the completion journal on or off by the seed.
	Features bool
	// Copies makes direct requests to workers arrive again, late, by the seed.
	Copies bool
}

// Limits of the settings.
const (
	maxSoakSeeds    = 10_000
	maxSoakParallel = 24
	minSoakWorkers  = 12
	maxSoakWorkers  = 4_000
	maxSoakShare    = 1.0
	minPort         = 1_024
	maxPort         = 65_535
)

// check returns a PlanError for the first invalid setting.
func (s *SoakSettings) check() error {
	switch {
	case s.Seeds < 1 || s.Seeds > maxSoakSeeds:
		return planError("seeds", "%d is not between 1 and %d", s.Seeds, maxSoakSeeds)
	case s.Parallel < 1 || s.Parallel > maxSoakParallel:
		return planError("parallel", "%d is not between 1 and %d", s.Parallel, maxSoakParallel)
	case s.Workers < minSoakWorkers || s.Workers > maxSoakWorkers:
		return planError("workers", "%d is not between %d and %d", s.Workers, minSoakWorkers, maxSoakWorkers)
	case s.BasePort < minPort || s.BasePort+s.Parallel*portsPerRegion > maxPort:
		return planError("base-port", "%d leaves no room for %d runs between %d and %d", s.BasePort, s.Parallel, minPort, maxPort)
	case !(s.Share >= 0 && s.Share <= maxSoakShare):
		return planError("share", "%v is not between 0 and %v", s.Share, maxSoakShare)
	case s.Dir == "":
		return planError("dir", "is empty")
	}
	if info, err := os.Stat(s.Program); err != nil || info.IsDir() {
		return planError("program", "%q is no file", s.Program)
	}
	return nil
}

// SoakRun is the result of one seed.
type SoakRun struct {
	Seed          uint64         `json:"seed"`
	Faults        []SoakFault    `json:"faults"`
	Jobs          int            `json:"jobs"`
	LeaderChanges int            `json:"leader_changes"`
	Starts        int64          `json:"starts"`
	Violation     *RuleViolation `json:"broken,omitempty"`
	Error         string         `json:"error,omitempty"`
	Repeat        string         `json:"repeat"`
	// Processes holds the measured use of each process, and MaxEventDelayS how late the emulation's events ran.
	Processes      map[string]ProcessUse `json:"processes"`
	MaxEventDelayS float64               `json:"stand_in_latest_s"`
	Copies         emulator.CopyOutcomes `json:"copies"`
	// Note says what of a run a seed determines.
	Note string `json:"note"`
}

// soakNote is SoakRun.Note.
const soakNote = "plan and schedule of faults follow from the seed; the timing of real processes does not"

// String returns the result in one line.
func (r *SoakRun) String() string {
	outcome := "ok"
	switch {
	case r.Violation != nil:
		outcome = "BROKEN " + r.Violation.Rule + ": " + r.Violation.Problem
	case r.Error != "":
		outcome = "ENDED " + r.Error
	}
	line := fmt.Sprintf("seed %d: %s; %d faults, %d jobs, %d starts, %d leader changes", r.Seed, outcome, len(r.Faults), r.Jobs, r.Starts, r.LeaderChanges)
	if r.Copies == (emulator.CopyOutcomes{}) {
		return line
	}
	return fmt.Sprintf("%s, copies executed %d, refused by token %d, by epoch %d", line, r.Copies.Executed, r.Copies.RefusedByToken, r.Copies.RefusedByEpoch)
}

// ErrSoakFailed is returned if a run of a soak test violated an invariant or ended early.
var ErrSoakFailed = errors.New("soak test failed")

// Soak runs the seeds and writes one line for each to out. The results and the logs of failed runs are kept in the
// directory. It returns a *PlanError for an invalid setting, and ErrSoakFailed if a run failed.
func Soak(ctx context.Context, settings *SoakSettings, out io.Writer) error {
	if err := settings.check(); err != nil {
		return err
	}
	if err := os.MkdirAll(settings.Dir, 0o755); err != nil {
		return planError("dir", "%v", err)
	}
	var (
		seeds  = make(chan uint64)
		group  sync.WaitGroup
		mu     sync.Mutex
		failed int
	)
	for slot := range settings.Parallel {
		group.Go(func() {
			for seed := range seeds {
				run := settings.runSeed(ctx, seed, slot)
				mu.Lock()
				if run.Violation != nil || run.Error != "" {
					failed++
				}
				_, _ = fmt.Fprintln(out, run) // the result is kept in the directory too
				mu.Unlock()
			}
		})
	}
	for n := range settings.Seeds {
		select {
		case seeds <- settings.Seed + uint64(n):
		case <-ctx.Done():
		}
	}
	close(seeds)
	group.Wait()
	if err := context.Cause(ctx); err != nil {
		return err
	}
	if failed > 0 {
		return fmt.Errorf("%w: %d of %d seeds; see %s", ErrSoakFailed, failed, settings.Seeds, settings.Dir)
	}
	return nil
}

// runSeed runs one seed and keeps its result. slot separates the ports of runs beside each other.
func (s *SoakSettings) runSeed(ctx context.Context, seed uint64, slot int) *SoakRun {
	plan := s.plan(seed, slot)
	run := &SoakRun{Seed: seed, Faults: soakSchedule(seed, s.kinds(), plan.Control.Controllers, plan.Workers.CancelS), Note: soakNote,
		Repeat: s.repeatCommand(seed)}
	plan.Run.DurationS = soakEndS(run.Faults, plan.Control.RestartS) + soakQuietS
	dir := filepath.Join(s.Dir, fmt.Sprintf("seed-%d", seed))
	if err := s.play(ctx, plan, dir, run); err != nil {
		if !errors.As(err, &run.Violation) {
			run.Error = strings.TrimSpace(err.Error())
		}
	} else if err := removeLogs(dir); err != nil {
		run.Error = err.Error()
	}
	if err := run.write(filepath.Join(s.Dir, fmt.Sprintf("seed-%d.json", seed))); err != nil && run.Error == "" {
		run.Error = err.Error()
	}
	return run
}

// kinds returns the kinds of faults that the schedules draw from.
func (s *SoakSettings) kinds() []SoakKind {
	if s.Features {
		return soakKindsWithFeatures
	}
	return soakKinds
}

// repeatCommand returns the command that plays a seed again.
func (s *SoakSettings) repeatCommand(seed uint64) string {
	command := fmt.Sprintf("scalerun soak --seed %d --seeds 1 --workers %d --program %s --dir %s", seed, s.Workers, s.Program, s.Dir)
	if s.Share > 0 {
		command += fmt.Sprintf(" --share %v", s.Share)
	}
	if s.LoadBalancer {
		command += " --load-balancer"
	}
	if s.Features {
		command += " --features"
	}
	if s.Copies {
		command += " --copies"
	}
	return command
}

// play runs the region of a seed.
func (s *SoakSettings) play(ctx context.Context, plan *Plan, dir string, run *SoakRun) error {
	if err := plan.CheckMachine(); err != nil {
		return err
	}
	if err := removeLogs(dir); err != nil { // of an earlier run
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	r := newRegion(plan, 0, dir)
	r.soak, r.soakUsers = newSoakInjector(r, run.Faults, run.Seed), newSoakUsers(r, run.Seed)
	result, err := r.run(ctx)
	if result != nil {
		run.Jobs, run.LeaderChanges, run.Starts = r.clients.jobsSubmitted, result.LeaderChanges, result.Starts
		run.Processes, run.MaxEventDelayS, run.Copies = result.Processes, result.MaxEventDelayS, result.Copies
	}
	if err != nil {
		return err
	}
	return violationInLogs(r.controlPlane.logs())
}

// removeLogs removes the directory of a run.
func removeLogs(dir string) error { return os.RemoveAll(dir) }

// write writes the result as indented JSON.
func (r *SoakRun) write(path string) error {
	encoded, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(encoded, '\n'), 0o644)
}

// violationMarks are texts that a controller logs if it was about to violate an invariant, or has panicked.
var violationMarks = []string{`msg="invariant violated"`, "panic:", `msg="stored versions differ from memory"`}

// violationInLogs returns a RuleViolation if a controller has reported one.
func violationInLogs(paths []string) error {
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for line := range strings.Lines(string(raw)) {
			for _, mark := range violationMarks {
				if strings.Contains(line, mark) {
					return &RuleViolation{Rule: "reported", Problem: filepath.Base(path) + ": " + strings.TrimSpace(line)}
				}
			}
		}
	}
	return nil
}
