package controller

import (
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/config"
	"claybarrow/internal/machinepool"
	"claybarrow/internal/scheduler"
	"claybarrow/internal/statestore"
)

// leadership is all that a leader knows and does from its election to its end, as a composition of components
// that each own a part of it (wire connects them). It is dropped whole when it ends: a successor loads the
// stored records and learns the rest from the workers' heartbeats.
type leadership struct {
	controller *Controller
	// store writes the records to the state service, each on condition of the leader key's version.
	store *statestore.Writer
	// state is the cluster state: jobs, machines, attempts and quotas.
	state *clusterstate.State
	// peers are the other controllers, by label.
	peers map[string]*peer
	// pool launches and deletes machines in the cloud.
	pool           *machinepool.Pool
	lease          *leaderLease
	timers         *timerQueue
	loader         *stateLoader
	trace          *failoverTrace
	heartbeats     *heartbeatReceiver
	router         *heartbeatRouter
	dispatcher     *commandDispatcher
	attempts       *attemptTracker
	health         *machineHealth
	machines       *machineRegistry
	partitions     *partitionDetector
	failures       *failureTracker
	jobs           *jobCompletion
	placement      *taskScheduler
	views          *schedulerViews
	forecast       *demandForecast
	scaler         *autoscaler
	consolidator   *consolidator
	accounting     *serviceAccounting
	summary        *fleetSummary
	gating         *gateKeeper
	attemptNumbers *attemptNumbers
	reach          *reachability
	completions    *completionRecorder
	userRequests   *userRequests
	cache          *schedulerCache
}

// newLeadership makes the leadership of the election that stored a leader record. version is the version of
// the leader key, confirmed when the lease was asked for.
func newLeadership(c *Controller, elected *leaderRecord, version uint64, confirmed time.Duration) *leadership {
	cfg, now := c.env.cfg, c.env.now
	l := &leadership{
		controller: c,
		state:      newClusterState(cfg),
		peers:      map[string]*peer{},
		lease: &leaderLease{
			token: elected.Token, leaseID: elected.LeaseID, electedAt: now, leaseConfirmedAt: confirmed,
			renewLeaseAt: now + cfg.LeaderLease()/firstRenewalDivisor,
		},
		timers:         &timerQueue{},
		loader:         &stateLoader{},
		trace:          &failoverTrace{failover: &Failover{Token: elected.Token, Elected: now}},
		heartbeats:     &heartbeatReceiver{},
		router:         &heartbeatRouter{assignments: newAssignments(cfg)},
		dispatcher:     &commandDispatcher{callLimiter: newCallLimiter(cfg.Cluster.Resources)},
		attempts:       &attemptTracker{},
		health:         &machineHealth{},
		machines:       &machineRegistry{},
		partitions:     &partitionDetector{reconnectedAt: map[string]time.Duration{}},
		failures:       &failureTracker{},
		jobs:           &jobCompletion{},
		placement:      newTaskScheduler(c.env),
		views:          &schedulerViews{},
		forecast:       &demandForecast{arrivals: map[string]*arrivalHistory{}},
		scaler:         &autoscaler{shortPools: map[scheduler.Pool]*loggedCondition{}},
		consolidator:   &consolidator{},
		accounting:     &serviceAccounting{accrueAt: now},
		summary:        &fleetSummary{},
		gating:         &gateKeeper{storedRecord: *elected},
		attemptNumbers: &attemptNumbers{block: elected.Token},
		reach:          &reachability{},
		userRequests:   newUserRequests(),
		cache:          newSchedulerCache(),
	}
	for _, sibling := range cfg.Siblings {
		l.peers[sibling.Label] = &peer{zone: sibling.Zone}
	}
	l.connect(version)
	return l
}

// tick does the leader's periodic work. A step that is not due yet returns at once.
func (l *leadership) tick() {
	l.lease.renewLeaderLease()
	if l.lease.ended {
		return
	}
	l.timers.runDue(l.controller.env.now)
	if !l.mayAct() {
		return
	}
	l.health.watchMachines()
	if l.reach.cannotReachWorkers() {
		l.stepDown()
		return
	}
	l.trace.expireFailover()
	l.gating.tick()
	l.completions.tick()
	l.attemptNumbers.reserveBlock()
	l.pool.Tick()
	l.placement.runScheduling()
}

// mayAct reports whether the leader may take decisions: the cluster state is loaded, and no process pause has
// put its lease in doubt.
func (l *leadership) mayAct() bool { return l.loader.ready && !l.lease.verifiesLease() }

// afterEvent runs after each event and sends what it has caused to be written.
func (l *leadership) afterEvent() {
	if l.lease.ended || !l.mayAct() {
		return
	}
	// While a transaction is in flight, new decisions could only go out with the next one. So placement
	// waits for it: a burst of submissions is placed in one round, not job by job.
	if l.placement.fillPending && !l.store.Busy() {
		l.placement.runFill()
	}
	l.flush()
}

// flush sends pending writes while no other controller can have become leader.
func (l *leadership) flush() {
	if l.loader.ready && l.lease.holdsLease() {
		l.store.Flush()
	}
}

// connect makes the components that need others at once, in the order of their needs, and then wires all.
func (l *leadership) connect(version uint64) {
	l.gating.lease = l.lease
	l.store = l.newStore(version)
	l.gating.gate = l.newGate()
	l.completions = l.newCompletionRecorder()
	l.pool = l.newPool()
	l.wire()
	l.cache.rebuild()
}

// newClusterState returns an empty cluster state with the quotas of the teams.
func newClusterState(cfg *config.Config) *clusterstate.State {
	state := clusterstate.New(cfg.CompletionLayoutBytes(), cfg.MaxValueBytes())
	for _, team := range cfg.Cluster.Teams {
		state.Quotas[team.Name] = &scheduler.Quota{
			Guaranteed: scheduler.Resources{Cores: team.Cores, Accel: team.Accelerators},
			Maximum:    scheduler.Resources{Cores: team.CoresMax, Accel: team.AcceleratorsMax}}
	}
	return state
}

// seconds converts a number of seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
