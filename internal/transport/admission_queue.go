package transport

import (
	"container/list"
	"context"
	"sync"
	"time"

	"claybarrow/internal/controller"
)

// queuedEvent is an event that waits for the event loop.
type queuedEvent struct {
	class eventClass
	event controller.Event // a Request without an ID, a Result or a Tick
	// reply receives the reply to a request; nil for other events. It has a buffer of one, so the event loop never
	// blocks on a handler.
	reply chan controller.Reply
	// clientGone is closed when the client has disconnected or given up; nil for events without a client.
	clientGone <-chan struct{}
	arrivedAt  time.Duration // reading of the monotonic clock
	// deadline is the time after which the request must not be handed to the core; 0: none.
	deadline time.Duration

	element *list.Element // position in the queue of its class; nil once it has left
	handed  bool          // the core has received it
}

// isAbandoned reports whether the client no longer waits for the reply.
func (e *queuedEvent) isAbandoned() bool {
	select {
	case <-e.clientGone: // never ready if it is nil
		return true
	default:
		return false
	}
}

// admissionQueue decides which requests wait for the event loop, for how long, and which event is served next.
//
// The state service's responses are served first; only a few are in flight at a time. All other classes share the event
// loop's time by start-time fair queueing: each class has a virtual time, which advances by the time that its events
// took, divided by its weight, and the class with the least virtual time is served next. A class that begins to wait
// gets no credit for the time in which it had nothing to do.
//
// A request leaves the queue without being served when its client has gone or when its deadline has passed. Otherwise a
// queue that once holds more work than the clients' patience would produce late answers only, for as long as the
// clients repeat their requests.
type admissionQueue struct {
	mu       sync.Mutex
	classes  [classCount]classQueue
	arrivals chan struct{} // holds a value if an event may be waiting
	// virtualTime is the virtual time of the class that was served last.
	virtualTime time.Duration
	// maxDebt bounds how far a class may be ahead of the virtual time, so that a single long event does not keep its
	// class waiting for many times its duration.
	maxDebt time.Duration
	// starvationBound is how much time other classes may use while a class waits.
	starvationBound time.Duration
	onViolation     func(AdmissionViolation)
}

// classQueue holds the waiting events of a class, oldest first, and its account.
type classQueue struct {
	events   list.List // of *queuedEvent
	capacity int       // 0: not limited
	// virtualTime is the time that the class has used, divided by its weight.
	virtualTime time.Duration
	// usedByOthers is the time that other classes have used since this one began to wait.
	usedByOthers time.Duration
	stats        classStats
}

// classStats counts what happened to the events of a class.
type classStats struct {
	served    uint64
	rejected  uint64        // the queue was full
	expired   uint64        // waited until the deadline
	abandoned uint64        // the client had gone
	busy      time.Duration // time that the core took
	// longestWait is the longest wait of a served or dropped event since the statistics were last taken.
	longestWait time.Duration
}

// newAdmissionQueue returns an empty queue for a process with a socket limit. shortestWait is the shortest time that a
// request may wait.
func newAdmissionQueue(maxSockets int, shortestWait time.Duration, onViolation func(AdmissionViolation)) *admissionQueue {
	totalWeight := 0.0
	for _, weight := range classWeights {
		totalWeight += weight
	}
	q := &admissionQueue{
		arrivals:        make(chan struct{}, 1),
		maxDebt:         time.Duration(float64(shortestWait) / (2 * totalWeight)),
		starvationBound: shortestWait,
		onViolation:     onViolation,
	}
	for class := range eventClass(classCount) {
		q.classes[class].capacity = classCapacity(class, maxSockets)
	}
	return q
}

// add queues an event. It returns false if the queue of the event's class is full.
func (q *admissionQueue) add(event *queuedEvent) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := &q.classes[event.class]
	if queue.capacity > 0 && queue.events.Len() >= queue.capacity {
		queue.stats.rejected++
		return false
	}
	if queue.events.Len() == 0 {
		queue.virtualTime = max(queue.virtualTime, q.virtualTime)
		queue.usedByOthers = 0
	}
	event.element = queue.events.PushBack(event)
	select {
	case q.arrivals <- struct{}{}:
	default:
	}
	return true
}

// addTick queues a tick unless one waits already.
func (q *admissionQueue) addTick(now time.Duration) {
	q.mu.Lock()
	waiting := q.classes[classTick].events.Len() > 0
	q.mu.Unlock()
	if !waiting { // only the event loop adds ticks
		q.add(&queuedEvent{class: classTick, event: controller.Tick{}, arrivedAt: now})
	}
}

// withdraw takes a request out of the queue because its client has gone or its deadline has passed. It returns false if
// the core has received the request.
func (q *admissionQueue) withdraw(event *queuedEvent, now time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if event.handed {
		return false
	}
	if event.element != nil {
		q.drop(event, now)
	}
	return true
}

// drop removes a waiting request and counts why.
func (q *admissionQueue) drop(event *queuedEvent, now time.Duration) {
	stats := &q.classes[event.class].stats
	if event.isAbandoned() {
		stats.abandoned++
	} else {
		stats.expired++
	}
	q.remove(event, now)
}

// remove takes an event out of the queue of its class.
func (q *admissionQueue) remove(event *queuedEvent, now time.Duration) {
	queue := &q.classes[event.class]
	queue.events.Remove(event.element)
	queue.stats.longestWait = max(queue.stats.longestWait, now-event.arrivedAt)
	event.element = nil
}

// next takes the event that is served next out of the queue, or returns nil if none waits. Only the event loop calls
// it.
func (q *admissionQueue) next(now time.Duration) *queuedEvent {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropStale(now)
	class, ok := q.nextClass()
	if !ok {
		return nil
	}
	event := q.classes[class].events.Front().Value.(*queuedEvent)
	q.remove(event, now)
	event.handed = true
	q.checkServed(event, now)
	return event
}

// dropStale drops the requests at the front of each class that are not worth serving.
func (q *admissionQueue) dropStale(now time.Duration) {
	for class := range eventClass(classCount) {
		events := &q.classes[class].events
		for front := events.Front(); front != nil; front = events.Front() {
			event := front.Value.(*queuedEvent)
			expired := event.deadline > 0 && now > event.deadline
			if !expired && !event.isAbandoned() {
				break
			}
			q.drop(event, now)
		}
	}
}

// nextClass returns the class that is served next, or false if no event waits.
func (q *admissionQueue) nextClass() (eventClass, bool) {
	if q.classes[classStateResult].events.Len() > 0 {
		return classStateResult, true
	}
	best, found := classStateResult, false
	for class := classTick; class <= classRelay; class++ {
		if q.classes[class].events.Len() == 0 {
			continue
		}
		if !found || q.classes[class].virtualTime < q.classes[best].virtualTime {
			best, found = class, true
		}
	}
	return best, found
}

// served charges an event's class for the time that the core took.
func (q *admissionQueue) served(class eventClass, duration time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := &q.classes[class]
	queue.stats.served++
	queue.stats.busy += duration
	queue.usedByOthers = 0
	if class == classStateResult {
		return
	}
	q.virtualTime = max(q.virtualTime, queue.virtualTime)
	charged := time.Duration(float64(max(duration, minEventCharge)) / classWeights[class])
	queue.virtualTime = min(queue.virtualTime+charged, q.virtualTime+q.maxDebt)
	for other := classTick; other <= classRelay; other++ {
		if waiting := &q.classes[other]; other != class && waiting.events.Len() > 0 {
			waiting.usedByOthers += min(duration, q.starvationBound/starvationEventDivisor)
		}
	}
}

// takeStats returns the statistics of all classes and begins a new interval for the longest waits.
func (q *admissionQueue) takeStats() (stats [classCount]classStats, waiting [classCount]int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for class := range eventClass(classCount) {
		queue := &q.classes[class]
		stats[class], waiting[class] = queue.stats, queue.events.Len()
		queue.stats.longestWait = 0
	}
	return stats, waiting
}

// minEventCharge is what an event is charged at least, so that events that take no measurable time still take turns.
const minEventCharge = time.Microsecond

// starvationEventDivisor bounds what a single event counts towards the starvation bound, as a divisor of it: an event
// can't be interrupted, and each class may have one.
const starvationEventDivisor = 4 * time.Duration(classCount)

// newRequest returns a request that may wait for the event loop until its deadline.
func newRequest(ctx context.Context, request controller.Request, now, wait time.Duration) *queuedEvent {
	return &queuedEvent{class: classOf(request.Op), event: request, reply: make(chan controller.Reply, 1),
		clientGone: ctx.Done(), arrivedAt: now, deadline: now + wait}
}
