package controller

import (
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/config"
	"claybarrow/internal/machinepool"
	"claybarrow/internal/scheduler"
	"claybarrow/internal/statestore"
)

// leadership is all that a leader knows and does from its election to its end. It
// is dropped whole: nothing of it outlives the leadership.
type leadership struct {
	controller *Controller
	// store are written to the state service, each under the leader key's version.
	store *statestore.Writer
	state *clusterstate.State
	// peers are the other controllers, partitioned the zones that are cut off.
	peers map[string]*peer
	// pool deals with the cloud; what it says of shortages and late boots is logged once.
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

// newLeadership makes the leadership that an election has won: version is that of the leader key,
// confirmed when the lease was asked for.
func newLeadership(c *Controller, elected *leaderRecord, version uint64, confirmed time.Duration) *leadership {
	cfg, now := c.env.cfg, c.env.now
	l := &leadership{
		controller: c,
		state:      newClusterState(cfg),
		peers:      map[string]*peer{},
		lease: &leaderLease{token: elected.Token, leaseID: elected.LeaseID, electedAt: now, leaseConfirmedAt: confirmed,
			renewLeaseAt: now + cfg.LeaderTTL()/8},
		timers:         &timerQueue{},
		loader:         &stateLoader{},
		trace:          &failoverTrace{failover: &Failover{Token: elected.Token, Elected: now}},
		heartbeats:     &heartbeatReceiver{},
		router:         &heartbeatRouter{assignments: newAssignments(c)},
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
	l.gating.lease = l.lease
	l.store = l.newStore(version)
	l.gating.gate = l.newGate()
	l.completions = l.newCompletionRecorder()
	l.pool = l.newPool()
	l.wire()
	l.cache.rebuild()
	return l
}

// newClusterState makes an empty cluster state with the teams' quotas.
func newClusterState(cfg *config.Config) *clusterstate.State {
	state := clusterstate.New(cfg.LayoutBytes(), cfg.ValueBytes())
	for _, team := range cfg.Cluster.Teams {
		state.Quotas[team.Name] = &scheduler.Quota{
			Guaranteed: scheduler.Need{Cores: team.Cores, Accel: team.Accelerators},
			Maximum:    scheduler.Need{Cores: team.CoresMax, Accel: team.AccelMax}}
	}
	return state
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (l *leadership) tick() {
	l.lease.renewLeaderLease()
	if l.lease.ended {
		return
	}
	l.timers.runDue(l.controller.env.now)
	if !l.loader.ready || l.lease.verifiesLease() {
		return
	}
	l.health.watchMachines()
	if l.reach.cannotReachWorkers() {
		l.stepDown()
		return
	}
	l.trace.expireFailover()
	l.gating.tickFeatureGate()
	l.completions.tick()
	l.attemptNumbers.reserveAttempts()
	l.pool.Tick()
	l.placement.runScheduling()
}

// afterEvent runs after every message: what piled up leaves.
func (l *leadership) afterEvent() {
	if l.lease.ended || !l.loader.ready || l.lease.verifiesLease() {
		return
	}
	// What is decided while a transaction is under way could only leave with the
	// next one: a burst of arrivals is filled at once, not one by one.
	if l.placement.fillPending && !l.store.Busy() {
		l.placement.runFill()
	}
	l.flush()
}

// flush sends what is to be written, as long as nobody else can have become leader.
func (l *leadership) flush() {
	if l.loader.ready && l.lease.holdsLease() {
		l.store.Flush()
	}
}
