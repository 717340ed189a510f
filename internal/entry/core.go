// Package entry implements the request path of a host: it authorizes a request,
// applies the team's rate limit, selects an upstream slot and relays the response.
//
// Contract: every request gets exactly one response. An error states "not run" only
// if no upstream can still run the request. Packages slots and replicated decide on
// placement and rate limits; this package connects them to callers and upstreams.
package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/quarantine"
	"github.com/masticscale/masticscale/internal/ratelimit/replicated"
	"github.com/masticscale/masticscale/internal/slots"
)

// Identity identifies a host and one of its process lifetimes.
type Identity struct {
	Name        string
	Incarnation string
	DataCentre  string
	PeerAddress string
}

// Core is the state shared by the request path, the batch runner and cluster
// membership of a host. One mutex guards it and is never held across I/O.
type Core struct {
	self Identity
	log  logrus.FieldLogger

	mu                  sync.Mutex
	config              *fleet.Config
	configConfirmedAt   time.Time // as of when the store last told this host of its configuration
	balancer            *slots.Balancer
	performance         performance
	queue               slots.Queue
	fair                *fairQueue // nil unless the waiting requests are ordered by team
	limiter             *replicated.Limiter
	peers               map[string]*peerRecord
	peerKeys            map[uint64]string // names of the peers by mesh.PeerKey
	links               []string          // hosts of other cells to which this host streams its state
	linksAt             time.Time         // when they were chosen
	linksOutdated       bool
	urgent              int64 // changes that all hosts need at once
	startedAt           time.Time
	unresponsiveDCs     map[string]bool // other data centres with no live host
	evacuated           map[string]*evacuatedDC
	members             map[string]HostInfo  // hosts registered in the store, by name
	listedSince         map[string]time.Time // when this host first heard of each of them
	signsOfLife         map[string]time.Time // latest answers through the store of hosts that aren't heard
	cells               *fleet.CellIndex     // of all known hosts and upstreams
	cellHosts           map[string]bool      // hosts of this host's cell, by name
	cellSince           map[string]time.Time // when those of them came into the cell that were in another
	cellUpdatedAt       time.Time            // when the upstreams of the cell were computed
	cellOutdated        bool                 // hosts or upstreams have changed since then
	cellUpstreams       cellUpstreamsFunc
	jobs                []string // IDs of the jobs that this host runs or has run
	waitingTokens       map[mesh.Backlog]int64
	cancelledJobs       []string                  // IDs of jobs
	outcomes            map[string]slots.Outcomes // as last published to peers, by upstream
	crashes             *quarantine.Table
	partCrashes         *quarantine.PartTable
	partTrials          map[string]partTrial // the latest of this host, by part
	itemRuns            *quarantine.ItemRuns // with parts that aren't known to be sound
	partCrashesRestored bool                 // those of the store were read
	loggedParts         map[string]int       // crashes of the quarantined parts, as last logged
	abandonedRuns       *quarantine.AbandonedRuns
	heldSlots           []*heldSlot   // of isolated runs that this host has ended
	brokenRuns          []brokenRun   // to be checked by Run
	breakWake           chan struct{} // signals Run that there are broken runs
	versions            mesh.Versions
	state               mesh.State // as last built for peers
	stateDirty          bool       // state must be rebuilt
	storeReachable      bool       // according to the watches
	storeReachableSince time.Time
	coldLogs            map[coldLogKey]coldLogState
	storeNewsAt         time.Time // when this host last learned of a change in the store, directly or from a peer
	storeCallFailed     bool      // the store didn't serve this host's last call
	watching            bool
	storePoller         bool
	leaving             bool
	random              *rand.Rand
	longestTimeouts     map[string]time.Duration // longest timeout seen in requests, by route
	onStateChange       func()
	onUrgentChange      func()
	onRelayedChange     func(toCell bool)
	batchWake           chan struct{}
	onPeerChange        func(PeerChange)
	onJobsCancelled     func(jobs []string)
	connector           Connector
	registry            Registry
	verifiedAt          map[quarantine.Instance]time.Time // latest verification of upstreams that are listed and count as crashed
	peerVerifyDelay     time.Duration                     // from the crash that a peer observed to its verification
	probes              sync.WaitGroup
}

// NewCore returns a Core without configuration, upstreams or peers.
func NewCore(self Identity, log logrus.FieldLogger) *Core {
	seed := rand.Uint64()
	crashes := quarantine.NewTable()
	partCrashes := quarantine.NewPartTable(crashes)
	return &Core{
		self: self, log: log,
		balancer:        slots.NewBalancer(self.DataCentre, seed),
		limiter:         replicated.New(time.Now()),
		peers:           map[string]*peerRecord{},
		peerKeys:        map[uint64]string{},
		startedAt:       time.Now(),
		onRelayedChange: func(bool) {},
		members:         map[string]HostInfo{},
		listedSince:     map[string]time.Time{},
		signsOfLife:     map[string]time.Time{},
		evacuated:       map[string]*evacuatedDC{},
		coldLogs:        map[coldLogKey]coldLogState{},
		waitingTokens:   map[mesh.Backlog]int64{},
		stateDirty:      true,
		longestTimeouts: map[string]time.Duration{},
		crashes:         crashes,
		partCrashes:     partCrashes,
		itemRuns:        quarantine.NewItemRuns(partCrashes, time.Now()),
		partTrials:      map[string]partTrial{},
		loggedParts:     map[string]int{},
		abandonedRuns:   quarantine.NewAbandonedRuns(),
		breakWake:       make(chan struct{}, 1),
		random:          rand.New(rand.NewPCG(seed, 1)),
		onStateChange:   func() {},
		onUrgentChange:  func() {},
		onPeerChange:    func(PeerChange) {},
		onJobsCancelled: func([]string) {},
		connector:       noopConnector{},
		registry:        noRegistry{},
		verifiedAt:      map[quarantine.Instance]time.Time{},
		peerVerifyDelay: peerVerifyDelay + rand.N(peerVerifySpread),
		cells:           fleet.NewCellIndex(self.Name, map[string]string{self.Name: self.DataCentre}),
		cellUpstreams:   (*fleet.CellIndex).Upstreams,
		batchWake:       make(chan struct{}, 1),
	}
}

// OnStateChange sets the callback for changes of the state shared with peers. The
// callback must not block and must not call Core.
func (c *Core) OnStateChange(f func()) { c.onStateChange = f }

// OnUrgentChange sets the callback for changes that hosts of other cells need without
// delay too. The callback must not block and must not call Core.
func (c *Core) OnUrgentChange(f func()) { c.onUrgentChange = f }

// OnPeerChange sets the callback for peers that start, restart, become unresponsive or
// recover.
func (c *Core) OnPeerChange(f func(PeerChange)) { c.onPeerChange = f }

// OnJobsCancelled sets the callback for jobs that peers report as cancelled.
func (c *Core) OnJobsCancelled(f func(jobs []string)) { c.onJobsCancelled = f }

// SetConnector sets the connector that probes unreachable upstreams. It must be
// called before Run.
func (c *Core) SetConnector(connector Connector) { c.connector = connector }

// BatchWake returns a channel that receives when a batch item may find a slot.
func (c *Core) BatchWake() <-chan struct{} { return c.batchWake }

// Config returns the active configuration, or nil if there is none yet.
func (c *Core) Config() *fleet.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config
}

// SetConfig activates a configuration. It ignores a version that isn't newer and then
// returns false.
func (c *Core) SetConfig(config *fleet.Config) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config != nil && config.Version <= c.config.Version {
		return false
	}
	c.config = config
	c.setWarmUps(config)
	c.versions.Config = config.Version
	c.setTargets()
	c.countUnlimitedTeams()
	c.notifyUrgentChange()
	return true
}

// ConfirmConfig records that the store has told this host of its configuration, as of the
// given time.
func (c *Core) ConfirmConfig(asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configConfirmedAt = asOf
}

// ConfigAge returns the version of the active configuration, or zero, and the time since the
// store last told this host of its configuration, or since this host's start.
func (c *Core) ConfigAge(now time.Time) (version int64, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	asOf := c.configConfirmedAt
	if asOf.IsZero() {
		asOf = c.startedAt
	}
	return c.versions.Config, now.Sub(asOf)
}

// SetJobs replaces the jobs that this host owns.
func (c *Core) SetJobs(jobs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs = jobs
	c.notifyChange()
}

// SetStoreReachable records whether the platform's store responds to this host's
// watches.
func (c *Core) SetStoreReachable(up bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if up && !c.storeReachable {
		c.storeReachableSince = time.Now()
	}
	c.storeReachable = up
	c.stateDirty = true
}

// RecordStoreCall records whether the platform's store served this host's last call.
// On a host that doesn't watch the store, the calls are the only evidence.
func (c *Core) RecordStoreCall(served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeCallFailed != served {
		return
	}
	c.storeCallFailed = !served
	c.notifyUrgentChange()
	c.log.WithFields(logrus.Fields{"event": "store_calls", "served": served}).Info("availability of the platform's store for this host's calls changed")
}

// SetLeaving announces to peers that this host is shutting down.
func (c *Core) SetLeaving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	c.notifyUrgentChange()
}

// SetWaitingTokens replaces the queued tokens of this host's jobs.
func (c *Core) SetWaitingTokens(waiting map[mesh.Backlog]int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitingTokens = waiting
	c.notifyChange()
}

// WaitingTokens returns the tokens queued on all hosts under the key.
func (c *Core) WaitingTokens(key mesh.Backlog) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := c.waitingTokens[key]
	for _, p := range c.peers {
		sum += p.state.Waiting[key]
	}
	return sum
}

// State implements mesh.Delegate.
func (c *Core) State() mesh.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stateDirty {
		c.stateDirty = false
		c.state = c.buildState()
	}
	return c.state
}

// buildState returns the current state. The caller must hold mu.
func (c *Core) buildState() mesh.State {
	admitted := make(map[string]int64, len(c.limiter.AdmissionCounts()))
	for team, n := range c.limiter.AdmissionCounts() {
		admitted[team] = n
	}
	crashes, crashesVersion := c.crashes.Shared()
	partCrashes, partCrashesVersion := c.partCrashes.Shared()
	next := mesh.State{
		Host: c.self.Name, Incarnation: c.self.Incarnation, DataCentre: c.self.DataCentre,
		Address: c.self.PeerAddress, Leaving: c.leaving, Running: c.balancer.OwnCounts(), Outcomes: c.outcomes, Admitted: admitted,
		Waiting: c.waitingTokens, EndedJobs: c.cancelledJobs, Jobs: c.jobs, Watching: c.watching, ConfigVersion: c.versions.Config, UpstreamsVersion: c.versions.Upstreams, HostsVersion: c.versions.Hosts, EvacuationsVersion: c.versions.Evacuations,
		Crashes: crashes, CrashesVersion: crashesVersion, PartCrashes: partCrashes, PartCrashesVersion: partCrashesVersion,
		StoreReachable: c.reachesStore(), Performance: c.sharedPerformance(time.Now()), Queued: c.queuedGroups(),
		Number: c.state.Number + 1, Details: c.state.Details, Urgent: c.urgent,
	}
	if !next.SameDetails(&c.state) {
		next.Details = next.Number
	}
	return next
}

// reachesStore reports whether the platform's store serves this host. The caller must hold mu.
func (c *Core) reachesStore() bool {
	return c.storeReachable && (c.watching || !c.storeCallFailed)
}

// SetCancelledJobs replaces the recently cancelled jobs that are shared with peers.
func (c *Core) SetCancelledJobs(jobs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelledJobs = jobs
	c.notifyUrgentChange()
}

// notifyChange reports a change of the shared state to this cell. The caller must
// hold mu.
func (c *Core) notifyChange() {
	c.stateDirty = true
	c.onStateChange()
}

// notifyUrgentChange reports a change of the shared state to all cells. The caller must
// hold mu.
func (c *Core) notifyUrgentChange() {
	c.urgent++
	c.stateDirty = true
	c.onUrgentChange()
}

// wakeBatch notifies the batch runner that a slot may be free.
func (c *Core) wakeBatch() {
	select {
	case c.batchWake <- struct{}{}:
	default: // a notification is pending
	}
}

// schedule grants free slots to queued online requests and pauses batch items at
// overcommitted upstreams. The caller must hold mu.
func (c *Core) schedule() {
	now := time.Now()
	if c.fair != nil {
		c.grantInOrder(now)
	} else {
		c.grantByArrival(now)
	}
	for _, run := range c.balancer.PreemptBatch(c.self.Name) {
		run.Pause()
	}
	c.wakeBatch()
}

// grantByArrival grants free slots to queued requests by priority and arrival. The caller must
// hold mu.
func (c *Core) grantByArrival(now time.Time) {
	full := map[string]bool{} // services none of whose upstreams takes a request
	for _, w := range c.queue.Sorted(now) {
		if full[w.Service] {
			continue
		}
		id, ok := c.place(w, now)
		if !ok {
			full[w.Service] = w.MayUseAny()
			continue
		}
		c.queue.Remove(w)
		w.Granted(id)
	}
}

func rateOf(t fleet.Team) replicated.Rate { return replicated.Rate{PerSecond: t.Rate, Burst: t.Burst} }

// UpstreamAddresses returns the addresses of the registered upstreams.
func (c *Core) UpstreamAddresses() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balancer.Addresses()
}
