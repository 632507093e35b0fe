package emulator

import (
	"fmt"
	"testing"
	"time"

	"claybarrow/internal/protocol"
)

func put(key string, lease uint64) protocol.Txn {
	return protocol.Txn{Then: []protocol.Change{{Put: key, Value: "x", Lease: lease}}}
}

// The state service keeps to the protocol's page: rates, sizes, leases, pages and old news.
func TestStateService(t *testing.T) {
	queue := &EventQueue{}
	s := NewStateService(queue, StateLimits{ValueBytes: 100, Changes: 4, ChangeRate: 5})
	ask := func(method, path string, body any) (status int, answer []byte) {
		status = -1
		s.Serve(0, method, path, protocol.Encode(body), func(got int, b []byte) { status, answer = got, b })
		return status, answer
	}
	for i := range 6 {
		want := 200
		if i == 5 {
			want = 429
		}
		if got, _ := ask("POST", "/multi", put(fmt.Sprint("a/", i), 0)); got != want {
			t.Errorf("change %d in one second: %d", i, got)
		}
	}
	queue.RunUntil(time.Second)
	long := protocol.Txn{Then: []protocol.Change{{Put: "a/9", Value: string(make([]byte, 200))}}}
	if got, _ := ask("POST", "/multi", long); got != 400 || s.Over != 1 {
		t.Errorf("a value that is too large: %d", got)
	}
	if got, _ := ask("POST", "/multi", put("a/9", 77)); got != 400 {
		t.Errorf("a put with a lease that is not there: %d", got)
	}
	_, body := ask("POST", "/leases", protocol.LeaseRequest{TTLMillis: 1000})
	var lease protocol.LeaseReply
	if err := protocol.Decode(body, &lease); err != nil {
		t.Fatal(err)
	}
	if got, _ := ask("POST", "/multi", put("a/lease", lease.Lease)); got != 200 {
		t.Errorf("a put with a lease: %d", got)
	}
	watched := -1
	s.Serve(0, "GET", "/follow?under=a/lease&after=6&blockMs=30000", nil, func(status int, _ []byte) { watched = status })
	queue.RunUntil(1900 * time.Millisecond)
	if watched != -1 || s.Item("a/lease") == nil {
		t.Error("a lease ended early")
	}
	queue.RunUntil(2200 * time.Millisecond)
	if watched != 200 || s.Item("a/lease") != nil {
		t.Errorf("a lease that has ended: watch %d, item %v", watched, s.Item("a/lease"))
	}
	_, body = ask("GET", "/store?under=a/&limit=2&after=a/1", nil)
	var page protocol.Items
	if err := protocol.Decode(body, &page); err != nil || len(page.Items) != 2 || page.Items[0].Key != "a/2" || !page.More {
		t.Errorf("a page after a/1: %+v, %v", page, err)
	}
	for range 3 * maxKeptEvents {
		s.Change("b", &Item{Value: protocol.Encode(1)})
	}
	if got, _ := ask("GET", "/follow?under=a/&after=1", nil); got != 410 {
		t.Errorf("news that are too old: %d", got)
	}
	s.Outage(time.Second)
	if got, _ := ask("GET", "/store/b", nil); got != 503 {
		t.Errorf("during an outage: %d", got)
	}
}

// A machine caches what it used last, fetches an image once, and refuses what does not fit.
func TestWorkerImagesAndRefusals(t *testing.T) {
	queue := &EventQueue{}
	f := NewFleet(queue, Timing{Report: time.Second, Lease: time.Minute, Look: time.Second, NextController: time.Second})
	jobs := map[string]*Job{}
	f.Jobs = func(uid string) *Job { return jobs[uid] }
	f.RunTime = func(string) time.Duration { return time.Hour }
	f.FetchTime, f.RefuseUnfit, f.Controllers = FetchImage, true, 1
	f.Carrier = func(_ *Worker, _ int, _ []byte, answer Reply) {
		queue.After(time.Millisecond, func() {
			answer(200, protocol.Encode(protocol.WorkerHeartbeatReply{Token: 1, Commands: []protocol.Command{}}))
		})
	}
	worker := f.Add("i-1", "", "m", "a", false)
	worker.Size = protocol.MachineType{Cores: 4, MemoryGB: 8, CacheGB: 10, FetchGBPerS: 1}
	worker.Boot()
	run := func(uid string, image string, gb, cores float64) *Task {
		jobs[uid] = &Job{Image: image, ImageGB: gb, Tasks: 1, Cores: cores, Memory: 1}
		worker.Execute([]protocol.Command{{Verb: protocol.VerbRun, Task: uid + "/0", Attempt: 1}})
		return worker.Tasks[Name(uid+"/0", 1)]
	}
	first, second := run("j-1", "x", 4, 1), run("j-2", "x", 4, 1)
	queue.RunUntil(3 * time.Second)
	if first.State != protocol.FetchingImage {
		t.Error("it runs before its image is there")
	}
	queue.RunUntil(5 * time.Second)
	if first.State != protocol.Running || second.State != protocol.Running {
		t.Errorf("after one fetch: %s and %s", first.State, second.State)
	}
	if third := run("j-3", "x", 4, 3); third.Cause != protocol.CauseNoRoom {
		t.Errorf("no room: %s", third.Cause)
	}
	worker.Execute([]protocol.Command{{Verb: protocol.VerbRun, Task: "j-1/0", Attempt: 2}})
	if again := worker.Tasks[Name("j-1/0", 2)]; again.Cause != protocol.CauseBusy {
		t.Errorf("the same task again: %s", again.Cause)
	}
	run("j-4", "y", 5, 0)
	queue.RunUntil(20 * time.Second)
	run("j-5", "z", 6, 0) // of x, y and z only two fit, and tasks run with x and y
	if len(worker.images.readyAt) != 3 {
		t.Errorf("images that are needed were dropped: %v", worker.images.readyAt)
	}
	delete(worker.Tasks, Name("j-4/0", 1))
	run("j-6", "w", 1, 0)
	if _, kept := worker.images.readyAt["y"]; kept {
		t.Error("the image that was used longest ago stays")
	}
	if worker.Token != 1 || worker.Session != 1 {
		t.Errorf("token %d, session %d", worker.Token, worker.Session)
	}
}
