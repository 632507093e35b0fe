package transport

import (
	"context"
	"testing"
	"time"

	"claybarrow/internal/controller"
)

// newTestQueue returns a queue that fails the test if an invariant of the admission is violated.
func newTestQueue(t *testing.T) *admissionQueue {
	t.Helper()
	return newAdmissionQueue(600, time.Second, func(violation AdmissionViolation) { t.Errorf("violated: %+v", violation) })
}

// addRequest queues a request without a client's timeout.
func addRequest(queue *admissionQueue, op controller.Op) {
	queue.add(&queuedEvent{class: classOf(op), event: controller.Request{Op: op}})
}

// Ticks and the state service's responses have priority over the responses and heartbeats of workers. Without this
// order, a new leader with 5,500 workers lost its lease in a scale run because the response to its lease renewal waited
// behind the workers' responses. The next leader lost its lease in the same way: there were four leaders in four
// seconds.
func TestStateServiceResponsesHavePriority(t *testing.T) {
	server := newTestServer(t)
	server.queue = newTestQueue(t)
	ticks := make(chan time.Time, 1)
	for id := range uint64(4) {
		server.queue.add(&queuedEvent{class: classWorkerResult, event: controller.Result{ID: 100 + id}})
		addRequest(server.queue, controller.OpWorkerHeartbeat)
		addRequest(server.queue, controller.OpPoll)
	}
	for id := range uint64(2) {
		server.queue.add(&queuedEvent{class: classStateResult, event: controller.Result{ID: id}})
	}
	ticks <- time.Time{}
	waitCtx, stopWaiting := context.WithTimeout(context.Background(), 5*time.Second)
	defer stopWaiting()
	served := map[eventClass]int{}
	serve := func(events int) {
		for range events {
			event := server.nextEvent(waitCtx, ticks)
			if event == nil {
				t.Fatalf("no further event is taken after %v", served)
			}
			server.queue.served(event.class, time.Millisecond)
			served[event.class]++
		}
	}
	serve(3)
	if served[classStateResult] != 2 || served[classTick] != 1 {
		t.Errorf("the first 3 events contain %d responses of the state service and %d ticks, want 2 and 1",
			served[classStateResult], served[classTick])
	}
	serve(12) // four of each class of the workers and users
	for _, class := range []eventClass{classWorkerResult, classHeartbeat, classQuestion} {
		if served[class] != 4 {
			t.Errorf("%d of 4 events of class %s were taken", served[class], class)
		}
	}
	if served[classStateResult] != 2 || served[classTick] != 1 {
		t.Errorf("served %v: an event was taken twice", served)
	}
	addRequest(server.queue, controller.OpPoll)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if event := server.nextEvent(ctx, ticks); event != nil {
		t.Errorf("nextEvent returned %v after ctx was cancelled, want nil", event)
	}
}

// serveBacklog serves events from a queue in which all given classes always have events, and returns the time that each
// class got.
func serveBacklog(queue *admissionQueue, total time.Duration, costs map[eventClass]time.Duration) map[eventClass]time.Duration {
	got := map[eventClass]time.Duration{}
	for class := range costs {
		queue.add(&queuedEvent{class: class})
		queue.add(&queuedEvent{class: class})
	}
	for now := time.Duration(0); now < total; {
		event := queue.next(now)
		cost := costs[event.class]
		now += cost
		queue.served(event.class, cost)
		got[event.class] += cost
		queue.add(&queuedEvent{class: event.class, arrivedAt: now})
	}
	return got
}

// While all classes have events waiting, each gets the share of the time that its weight entitles it to, whatever its
// events cost.
func TestClassesShareTheEventLoopByWeight(t *testing.T) {
	costs := map[eventClass]time.Duration{}
	totalWeight := 0.0
	for class := classTick; class <= classRelay; class++ {
		costs[class] = time.Duration(1+int(class)%3) * time.Millisecond
		totalWeight += classWeights[class]
	}
	const total = time.Minute
	got := serveBacklog(newTestQueue(t), total, costs)
	for class := classTick; class <= classRelay; class++ {
		want := classWeights[class] / totalWeight
		if share := got[class].Seconds() / total.Seconds(); share < 0.95*want || share > 1.05*want {
			t.Errorf("%s got %.3f of the time, want %.3f", class, share, want)
		}
	}
}

// A share that a class does not use goes to the others.
func TestUnusedShareGoesToTheOtherClasses(t *testing.T) {
	got := serveBacklog(newTestQueue(t), time.Minute, map[eventClass]time.Duration{classQuestion: time.Millisecond})
	if got[classQuestion] < time.Minute {
		t.Errorf("the only class with events got %s of a minute", got[classQuestion])
	}
}

// A class that had nothing to do for a while gets no credit for it, which would keep the other classes waiting.
func TestIdleClassDoesNotStarveTheOthersAfterwards(t *testing.T) {
	queue := newTestQueue(t)
	serveBacklog(queue, time.Minute, map[eventClass]time.Duration{classHeartbeat: 10 * time.Millisecond})
	got := serveBacklog(queue, time.Second, map[eventClass]time.Duration{classHeartbeat: 10 * time.Millisecond, classQuestion: 10 * time.Millisecond})
	if got[classHeartbeat] < got[classQuestion] {
		t.Errorf("in the first second heartbeats got %s, questions %s", got[classHeartbeat], got[classQuestion])
	}
}

// A single long event does not keep its class waiting for many times its duration.
func TestLongEventDoesNotStarveItsClass(t *testing.T) {
	queue := newTestQueue(t)
	addRequest(queue, controller.OpPoll)
	queue.served(queue.next(0).class, 10*time.Second)
	addRequest(queue, controller.OpPoll)
	for now := 10 * time.Second; ; now += 10 * time.Millisecond {
		addRequest(queue, controller.OpWorkerHeartbeat)
		event := queue.next(now)
		if event.class == classQuestion {
			return
		}
		queue.served(event.class, 10*time.Millisecond)
		if now > 11*time.Second {
			t.Fatal("a question waits for over a second of other events after one that took long")
		}
	}
}

// The invariants of the admission are reported when a fault is planted in the queue.
func TestAdmissionViolationsAreReported(t *testing.T) {
	for _, tc := range []struct {
		invariant AdmissionInvariant
		plant     func(*admissionQueue)
	}{
		{DeadlineIsKept, func(queue *admissionQueue) {
			late := &queuedEvent{class: classQuestion, deadline: time.Second}
			queue.add(late)
			queue.checkServed(late, 2*time.Second)
		}},
		{NoClassStarves, func(queue *admissionQueue) {
			addRequest(queue, controller.OpPoll)
			for now := time.Duration(0); now < 5*time.Second; now += 10 * time.Millisecond {
				queue.classes[classQuestion].virtualTime = now + time.Hour // never the least
				addRequest(queue, controller.OpWorkerHeartbeat)
				queue.served(queue.next(now).class, 10*time.Millisecond)
			}
		}},
	} {
		t.Run(string(tc.invariant), func(t *testing.T) {
			var reported []AdmissionViolation
			queue := newAdmissionQueue(600, time.Second, func(violation AdmissionViolation) { reported = append(reported, violation) })
			tc.plant(queue)
			if len(reported) == 0 || reported[0].Invariant != tc.invariant || reported[0].Class != classQuestion.String() {
				t.Errorf("reported %+v, want %q", reported, tc.invariant)
			}
		})
	}
}
