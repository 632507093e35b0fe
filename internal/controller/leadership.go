package controller

import (
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/config"
	"claybarrow/internal/machinepool"
	"claybarrow/internal/scheduler"
	"claybarrow/internal/statestore"
)

// leadership holds the state of a leader for one term, from its election to its end, as a set of components that
// each own a part of that state; wire connects them. The whole value is discarded when the term ends: a successor
// loads the stored records and rebuilds the rest from the workers' heartbeats.
type leadership struct {
	controller *Controller
	// store writes records to the state service. Every write is conditional on the version of the leader key.
	store *statestore.Writer
	// state is the cluster state: jobs, machines, attempts and quotas.
	state *clusterstate.State
	// peers are the other controllers, by label.
	peers map[string]*peer
	// pool launches and deletes machines in the cloud.
	pool           *machinepool.Pool
	authority      *authority
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
	quarantine     *machineQuarantine
	jobs           *jobCompletion
	placement      *taskScheduler
	views          *schedulerViews
	forecast       *demandForecast
	scaler         *autoscaler
	consolidator   *consolidator
	accounting     *serviceAccounting
	summary        *fleetSummary
	featureGate    *featureGateManager
	attemptNumbers *attemptNumbers
	tokens         *commandTokens
	reachability   *reachability
	completions    *completionRecorder
	userRequests   *userRequests
	cache          *schedulerCache
}

// newLeadership creates the leadership for a won election. elected is the leader record that the election stored,
// version the version of the leader key, and leaseConfirmedAt the time when the last successful request for the
// lease was sent.
func newLeadership(c *Controller, elected *leaderRecord, version uint64, leaseConfirmedAt time.Duration) *leadership {
	cfg, now := c.env.cfg, c.env.now
	l := &leadership{
		controller: c,
		state:      newClusterState(cfg),
		peers:      map[string]*peer{},
		lease: &leaderLease{
			token: elected.Token, leaseID: elected.LeaseID, electedAt: now, leaseConfirmedAt: leaseConfirmedAt,
			renewLeaseAt: now + cfg.LeaderLease()/firstRenewalDivisor,
		},
		authority:      &authority{},
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
		quarantine:     &machineQuarantine{},
		jobs:           &jobCompletion{},
		placement:      newTaskScheduler(c.env),
		views:          &schedulerViews{},
		forecast:       &demandForecast{arrivals: map[string]*arrivalHistory{}},
		scaler:         &autoscaler{poolShortages: map[scheduler.Pool]*loggedCondition{}},
		consolidator:   &consolidator{},
		accounting:     &serviceAccounting{accruedUntil: now},
		summary:        &fleetSummary{},
		featureGate:    &featureGateManager{storedRecord: *elected},
		attemptNumbers: &attemptNumbers{block: elected.Token},
		tokens:         &commandTokens{reservedUntil: reservedAtElection(elected.Token)},
		reachability:   &reachability{},
		userRequests:   newUserRequests(),
		cache:          newSchedulerCache(),
	}
	for _, sibling := range cfg.Siblings {
		l.peers[sibling.Label] = &peer{zone: sibling.Zone}
	}
	l.connect(version)
	return l
}

// tick runs the leader's periodic steps. Each step returns immediately if it is not due yet.
func (l *leadership) tick() {
	l.lease.renewLeaderLease()
	if l.lease.ended {
		return
	}
	l.timers.runDue(l.controller.env.now)
	if !l.authority.mayServe() {
		return
	}
	l.health.watchMachines()
	if l.reachability.cannotReachWorkers() {
		l.stepDown()
		return
	}
	l.trace.expireFailover()
	l.featureGate.tick()
	l.completions.tick()
	l.tokens.reserve()
	l.pool.Tick()
	l.placement.runScheduling()
}

// afterEvent runs after each event: it runs a pending fill and sends the queued writes.
func (l *leadership) afterEvent() {
	if !l.authority.mayServe() {
		return
	}
	// While a transaction is in flight, new placements could only be stored by the next transaction. The fill
	// therefore waits until the writer is idle, and places a burst of submissions at once, not job by job.
	if l.placement.fillPending && !l.store.HasTransactionInFlight() {
		l.placement.runFill()
	}
	l.flush()
}

// flush sends the queued writes if the leader may decide.
func (l *leadership) flush() {
	if l.authority.mayDecide() {
		l.store.Flush()
	}
}

// connect creates the components whose constructors use other components, in dependency order, and then wires all
// components.
func (l *leadership) connect(version uint64) {
	l.featureGate.lease = l.lease
	l.store = l.newStore(version)
	l.featureGate.gate = l.newGate()
	l.completions = l.newCompletionRecorder()
	l.pool = l.newPool()
	l.wire()
	l.cache.rebuild()
}

// newClusterState returns a cluster state without jobs or machines, with the configured quota of each team.
func newClusterState(cfg *config.Config) *clusterstate.State {
	state := clusterstate.New(cfg.CompletionLayoutBytes(), cfg.MaxValueBytes())
	for _, team := range cfg.Cluster.Teams {
		state.Quotas[team.Name] = &scheduler.Quota{
			Guaranteed: scheduler.Resources{Cores: team.Cores, Accelerators: team.Accelerators},
			Maximum:    scheduler.Resources{Cores: team.CoresMax, Accelerators: team.AcceleratorsMax}}
	}
	return state
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
