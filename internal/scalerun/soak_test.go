package scalerun

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

func TestInvalidSoakSettingsAreNamed(t *testing.T) {
	valid := SoakSettings{Program: os.Args[0], Seed: 1, Seeds: 1, Parallel: 1, Workers: 40, BasePort: 22000, Dir: "soak"}
	for field, change := range map[string]func(s *SoakSettings){
		"seeds":     func(s *SoakSettings) { s.Seeds = 0 },
		"parallel":  func(s *SoakSettings) { s.Parallel = maxSoakParallel + 1 },
		"workers":   func(s *SoakSettings) { s.Workers = 1 },
		"base-port": func(s *SoakSettings) { s.BasePort = 65_530 },
		"share":     func(s *SoakSettings) { s.Share = 1.5 },
		"dir":       func(s *SoakSettings) { s.Dir = "" },
		"program":   func(s *SoakSettings) { s.Program = "no such file" },
	} {
		settings := valid
		change(&settings)
		err := Soak(context.Background(), &settings, io.Discard)
		var planErr *PlanError
		if !errors.As(err, &planErr) || planErr.Field != field || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", field, err)
		}
	}
}

func TestSoakScheduleFollowsFromTheSeed(t *testing.T) {
	for name, kinds := range map[string][]SoakKind{"plain": soakKinds, "with features": soakKindsWithFeatures} {
		t.Run(name, func(t *testing.T) { testSoakSchedule(t, kinds) })
	}
}

func testSoakSchedule(t *testing.T, allowed []SoakKind) {
	kinds, overlaps := map[SoakKind]bool{}, 0
	for seed := range uint64(200) {
		faults := soakSchedule(seed, allowed, 3, 25)
		if !slices.Equal(faults, soakSchedule(seed, allowed, 3, 25)) {
			t.Fatalf("seed %d has two schedules", seed)
		}
		for i, fault := range faults {
			kinds[fault.Kind] = true
			if fault.Peer == fault.Controller || fault.AtS > soakFaultPhase+1 || fault.AtS+fault.ForS > soakEndS(faults, 3) {
				t.Errorf("seed %d: %v", seed, fault)
			}
			if i > 0 && fault.AtS < faults[i-1].AtS+faults[i-1].ForS {
				overlaps++
			}
		}
	}
	if len(kinds) != len(allowed) || overlaps == 0 {
		t.Errorf("%d of %d kinds, %d overlaps", len(kinds), len(allowed), overlaps)
	}
	if slices.Equal(soakSchedule(1, allowed, 3, 25), soakSchedule(2, allowed, 3, 25)) {
		t.Error("two seeds have the same schedule")
	}
}

// The seeds of earlier soak runs, which drew from soakKinds, stand for the same faults as then.
func TestPlainSoakSchedulesHaveNotChanged(t *testing.T) {
	const want = uint64(0xbf1c2723e748590e) // of the seeds below 200
	hash := fnv.New64a()
	for seed := range uint64(200) {
		for _, fault := range soakSchedule(seed, soakKinds, 3, 25) {
			_, _ = fmt.Fprintln(hash, seed, fault) // a hash returns no error
		}
	}
	if got := hash.Sum64(); got != want {
		t.Errorf("hash of the schedules %#x, want %#x", got, want)
	}
}

// echoServer accepts connections and sends back what it receives; it returns its address.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(listener) })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				closeQuietly(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// startTestLink starts a link to an echo server and connects to it.
func startTestLink(t *testing.T) (*link, net.Conn) {
	t.Helper()
	reserved, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := reserved.Addr().String()
	closeQuietly(reserved)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	l := newLink(address, echoServer(t), nil)
	if err := l.run(ctx, &sync.WaitGroup{}); err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(conn) })
	return l, conn
}

// echoes reports whether a message comes back within a duration.
func echoes(t *testing.T, conn net.Conn, message string, within time.Duration) bool {
	t.Helper()
	if _, err := io.WriteString(conn, message); err != nil {
		return false
	}
	return arrives(conn, message, within)
}

// arrives reports whether a message arrives within a duration.
func arrives(conn net.Conn, message string, within time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(within)) // on an error the read below fails
	received := make([]byte, len(message))
	_, err := io.ReadFull(conn, received)
	return err == nil && string(received) == message
}

const linkTestTimeout = 5 * time.Second

func TestLinkHoldsAndDeliversInOrder(t *testing.T) {
	for name, held := range map[string]linkState{"requests": {holdRequests: true}, "replies": {holdReplies: true}} {
		t.Run(name, func(t *testing.T) {
			l, conn := startTestLink(t)
			if !echoes(t, conn, "first", linkTestTimeout) {
				t.Fatal("no answer over a healthy link")
			}
			l.set(held)
			if echoes(t, conn, "second", 200*time.Millisecond) {
				t.Error("an answer over a link that holds data")
			}
			if _, err := io.WriteString(conn, "third"); err != nil {
				t.Fatal(err)
			}
			l.set(linkState{})
			if !arrives(conn, "secondthird", linkTestTimeout) {
				t.Error("held data did not arrive in order")
			}
		})
	}
}

func TestLinkCutResetsAndRefuses(t *testing.T) {
	l, conn := startTestLink(t)
	if !echoes(t, conn, "first", linkTestTimeout) {
		t.Fatal("no answer over a healthy link")
	}
	l.set(linkState{cut: true})
	if echoes(t, conn, "second", linkTestTimeout) {
		t.Error("an answer over a link that is cut")
	}
	if again, err := net.Dial("tcp4", l.address); err == nil && echoes(t, again, "third", linkTestTimeout) {
		t.Error("an answer over a new connection while the link is cut")
	}
	l.set(linkState{})
	again, err := net.Dial("tcp4", l.address)
	if err != nil || !echoes(t, again, "fourth", linkTestTimeout) {
		t.Errorf("no answer after the cut: %v", err)
	}
}

func TestOverlappingLinkFaultsEndIndependently(t *testing.T) {
	states := []linkState{{cut: true}, {cut: true}, {holdRequests: true}}
	if got := combined(withoutFirst(states, linkState{cut: true})); !got.cut || !got.holdRequests {
		t.Errorf("after the end of one of two cuts: %+v", got)
	}
}

func TestStateClientIsTheControllerOfTheLink(t *testing.T) {
	for addr, want := range map[string]int{linkHost(0, serviceLinkOctet, 3) + ":4711": 2, "127.0.0.1:4711": 0, "nonsense": 0} {
		if got := stateClient(addr); got != want {
			t.Errorf("%s: controller %d, want %d", addr, got, want)
		}
	}
}

func TestWaitingJobs(t *testing.T) {
	setup := func(b *invariantsFixture, free float64) *emulator.Fleet {
		fleet := emulator.NewFleet(b.queue, emulator.Timing{})
		fleet.Jobs = func(string) *emulator.Job { return &b.job.Job }
		worker := fleet.Add("i-9", "", "m", "a", false)
		worker.Up, worker.MachineType = true, protocol.MachineType{Cores: free, MemoryGB: 64}
		b.job.acceptedAt, b.job.team, b.faultsEndedAt = 1, teamName(0), 1
		return fleet
	}
	check := func(b *invariantsFixture, fleet *emulator.Fleet) {
		b.checkWaiting(fleet)
		b.queue.RunUntil(b.queue.Now() + waitTimeout + time.Second)
		b.checkWaiting(fleet)
	}
	testInvariants(t, []invariantsCase{
		{"a machine has room", "waiting", func(b *invariantsFixture) { check(b, setup(b, 16)) }},
		{"no machine has room", "", func(b *invariantsFixture) { check(b, setup(b, 1)) }},
		{"the team is at its limit", "", func(b *invariantsFixture) {
			fleet := setup(b, 16)
			b.teams[teamName(0)].cores = 4
			check(b, fleet)
		}},
		{"a task runs", "", func(b *invariantsFixture) {
			fleet := setup(b, 16)
			b.start(b.workerInZoneA, "j-1/0")
			check(b, fleet)
		}},
		{"the job is to be cancelled", "", func(b *invariantsFixture) {
			fleet := setup(b, 16)
			b.job.cancelRequested = true
			check(b, fleet)
		}},
	})
}

func TestControllersAtTheEndOfASoakRun(t *testing.T) {
	testInvariants(t, []invariantsCase{
		{"a controller is not ready", "unready", func(b *invariantsFixture) { b.checkControllers([]*controller{{label: "c"}}, nil) }},
		{"a ready controller answers nothing", "unanswered", func(b *invariantsFixture) {
			b.faultsEndedAt = 1
			b.queue.RunUntil(answerTimeout + time.Second)
			b.checkControllers([]*controller{{label: "c", healthy: true}}, nil)
		}},
		{"a ready controller answers", "", func(b *invariantsFixture) {
			b.queue.RunUntil(answerTimeout + time.Second)
			b.checkControllers([]*controller{{label: "c", healthy: true}}, map[string]time.Duration{"c": answerTimeout})
		}},
	})
}

func TestAnswersAboutUnknownJobs(t *testing.T) {
	testInvariants(t, []invariantsCase{
		{"a job that nobody submitted", "invented", func(b *invariantsFixture) { b.unknownJobAnswered(b.job, opPoll, 200) }},
		{"an invalid submission is accepted", "invalid_accepted", func(b *invariantsFixture) { b.unknownJobAnswered(b.job, opSubmit, 201) }},
		{"refused", "", func(b *invariantsFixture) { b.unknownJobAnswered(b.job, opPoll, 404) }},
	})
}

func TestViolationInAControllersLogFailsARun(t *testing.T) {
	path := filepath.Join(t.TempDir(), "controller-0.log")
	for text, fails := range map[string]bool{"level=INFO msg=starting\n": false, "level=ERROR msg=\"invariant violated\" subject=j-1\n": true, "panic: nil map\n": true} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var violation *RuleViolation
		if got := errors.As(violationInLogs([]string{path}), &violation); got != fails {
			t.Errorf("%q: violation %t, want %t", text, got, fails)
		}
	}
}

func TestCutCommandsAreThoseOfOneLeader(t *testing.T) {
	r := newRegion(soakTestPlan(t), 0, t.TempDir())
	injector := newSoakInjector(r, nil, 1)
	body := func(token uint64) []byte { return protocol.Encode(protocol.CommandRequest{Token: token}) }
	put := protocol.Encode(map[string]any{"apply": []map[string]any{{"put": leaderKey, "data": map[string]any{"l": "controller-1", "n": 7}}}})
	r.state.Serve(0, "POST", "/multi", put, func(status int, _ []byte) {
		if status != 200 {
			t.Fatalf("writing the leader key: status %d", status)
		}
	})
	injector.cutCommands(time.Second)
	if !injector.losesCommand(body(7)) || injector.losesCommand(body(8)) || injector.losesCommand(nil) {
		t.Error("the cut does not concern the leader's commands alone")
	}
	r.loop.queue.RunUntil(r.loop.queue.Now() + 2*time.Second)
	if injector.losesCommand(body(7)) {
		t.Error("the cut does not end")
	}
}

// soakTestPlan returns the plan of a soak run.
func soakTestPlan(t *testing.T) *Plan {
	t.Helper()
	settings := SoakSettings{Program: os.Args[0], Workers: minSoakWorkers, BasePort: 32000, Dir: t.TempDir()}
	return settings.plan(1, 0)
}

func TestCopiesOfASeed(t *testing.T) {
	settings := SoakSettings{Workers: minSoakWorkers, BasePort: 32000, Copies: true}
	for seed := range uint64(200) {
		plan := settings.plan(seed, 0)
		plan.Run.DurationS = soakQuietS
		if plan.Copies != settings.plan(seed, 0).Copies || plan.Copies.Most < 1 || plan.Copies.Most > soakMaxCopies {
			t.Errorf("seed %d: copies %+v", seed, plan.Copies)
		}
		if err := plan.check(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
	if settings.plan(1, 0).Copies == settings.plan(2, 0).Copies {
		t.Error("two seeds have the same copies")
	}
}

// A cut of the leader's commands concerns those under the tokens that it has reserved, too.
func TestCutCommandsIncludeReservedTokens(t *testing.T) {
	r := newRegion(soakTestPlan(t), 0, t.TempDir())
	injector := newSoakInjector(r, nil, 1)
	put := protocol.Encode(map[string]any{"apply": []map[string]any{
		{"put": leaderKey, "data": map[string]any{"l": "controller-1", "n": 7}}, {"put": counterKey, "data": map[string]any{"n": 20}}}})
	r.state.Serve(0, "POST", "/multi", put, func(int, []byte) {})
	injector.cutCommands(time.Second)
	for token, want := range map[uint64]bool{6: false, 7: true, 8: true, 20: true, 21: false} {
		if got := injector.losesCommand(protocol.Encode(protocol.CommandRequest{Token: token})); got != want {
			t.Errorf("token %d: command lost %t, want %t", token, got, want)
		}
	}
}

func TestFeaturesOfASeed(t *testing.T) {
	settings := SoakSettings{Workers: minSoakWorkers, Share: 0.3, LoadBalancer: true, Features: true}
	for seed, want := range []string{"", "membership", "end_journal", "membership,end_journal"} {
		plan := settings.plan(uint64(seed), 0)
		var got []string
		for _, feature := range []string{"membership", "end_journal"} {
			if strings.Contains(plan.Control.Operator, "["+feature+"]") {
				got = append(got, feature)
			}
		}
		if strings.Join(got, ",") != want {
			t.Errorf("seed %d: %v, want %q", seed, got, want)
		}
		if !plan.Control.HoldCores || plan.Control.Cores != 0.3 || !plan.Control.LoadBalancer {
			t.Errorf("seed %d: control %+v", seed, plan.Control)
		}
	}
}

// Two seeds with real processes, beside each other.
func TestSoak(t *testing.T) {
	program, dir := buildProgram(t), t.TempDir()
	var out bytes.Buffer
	settings := &SoakSettings{Program: program, Seed: 1, Seeds: 2, Parallel: 2, Workers: minSoakWorkers, BasePort: 32000, Dir: dir, Copies: true}
	if err := Soak(context.Background(), settings, &out); err != nil {
		t.Errorf("%v\n%s", err, out.String())
	}
	if lines := strings.Count(out.String(), "\n"); lines != settings.Seeds {
		t.Errorf("%d lines for %d seeds:\n%s", lines, settings.Seeds, out.String())
	}
	assertNoProcesses(t, program)
}
