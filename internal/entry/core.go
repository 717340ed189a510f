// Package entry serves the callers of one fleet of upstreams: it matches a
// request to its route and team, admits it, places it and relays the answer.
//
// Contract: every request ends with one true answer. "Not run" is said only of
// a request that no upstream can act on any more. The decisions are in slots
// and ledger; this package joins them with the sockets.
package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/ratelimit/replicated"
	"github.com/masticscale/masticscale/internal/slots"
)

// Identity says who this host is.
type Identity struct {
	Name        string
	Incarnation string
	DataCentre  string
	PeerAddress string
}

// Core is the shared state of a host's duties, guarded by one mutex that is
// never held across I/O.
type Core struct {
	self Identity
	log  logrus.FieldLogger

	mu            sync.Mutex
	config        *fleet.Config
	board         *slots.Balancer
	queue         slots.Queue
	ledger        *replicated.Limiter
	peers         map[string]*peerView
	unheard       map[string]bool     // other data centres all of whose hosts are silent
	roster        map[string]HostInfo // hosts of the store's list
	cell          fleet.Cell
	upstreams     []fleet.Upstream
	jobs          []string // that this host runs or has run
	waiting       map[mesh.Backlog]int64
	ended         []string                  // jobs
	outcomes      map[string]slots.Outcomes // as peers are told
	versions      Versions
	state         mesh.State // for peers, as it was built last
	stale         bool       // something has changed since
	storeUp       bool       // as the watches tell
	storeUnserved bool       // the store did not serve this host's last call
	watching      bool
	sentinel      bool
	leaving       bool
	random        *rand.Rand
	longest       map[string]time.Duration // time that callers give at first, by route
	onChanged     func()
	onUrgent      func()
	batchWake     chan struct{}
	onPeer        func(PeerChange)
	onEnded       func(jobs []string)
	reacher       Connector
	probes        sync.WaitGroup
}

// Versions are the versions of what this host knows.
type Versions struct {
	Config    int64
	Upstreams int64
}

// NewCore returns the core of a host.
func NewCore(self Identity, log logrus.FieldLogger) *Core {
	seed := rand.Uint64()
	return &Core{
		self: self, log: log,
		board:     slots.NewBalancer(self.DataCentre, seed),
		ledger:    replicated.New(time.Now()),
		peers:     map[string]*peerView{},
		roster:    map[string]HostInfo{},
		waiting:   map[mesh.Backlog]int64{},
		stale:     true,
		longest:   map[string]time.Duration{},
		random:    rand.New(rand.NewPCG(seed, 1)),
		onChanged: func() {},
		onUrgent:  func() {},
		onPeer:    func(PeerChange) {},
		onEnded:   func([]string) {},
		reacher:   alwaysReachable{},
		batchWake: make(chan struct{}, 1),
	}
}

// OnStateChange sets what is called when the state for peers has changed.
func (c *Core) OnStateChange(f func()) { c.onChanged = f }

// OnUrgentChange sets what is called when hosts of other cells should hear of a change
// soon too.
func (c *Core) OnUrgentChange(f func()) { c.onUrgent = f }

// OnPeerChange sets what is called when a peer begins anew, falls silent or is back.
func (c *Core) OnPeerChange(f func(PeerChange)) { c.onPeer = f }

// OnJobsCancelled sets what is called with the jobs that peers know to be ended.
func (c *Core) OnJobsCancelled(f func(jobs []string)) { c.onEnded = f }

// SetConnector sets how connections to upstreams are tried. It must be called
// before Run.
func (c *Core) SetConnector(r Connector) { c.reacher = r }

// BatchWake tells that a batch item may find a slot.
func (c *Core) BatchWake() <-chan struct{} { return c.batchWake }

// Config returns the configuration in force, or nil.
func (c *Core) Config() *fleet.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config
}

// SetConfig puts a configuration in force. An older one is ignored.
func (c *Core) SetConfig(config *fleet.Config) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config != nil && config.Version <= c.config.Version {
		return false
	}
	c.config = config
	c.versions.Config = config.Version
	c.urgent()
	return true
}

// SetUpstreams replaces the list of upstreams.
func (c *Core) SetUpstreams(list []fleet.Upstream, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.board.SetUpstreams(list)
	c.upstreams = list
	c.formCell()
	c.versions.Upstreams = max(c.versions.Upstreams, version)
	c.urgent()
}

// SetJobs replaces the jobs that this host answers for.
func (c *Core) SetJobs(jobs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs = jobs
	c.changed()
}

// SetStoreReachable notes whether the platform's store answers this host.
func (c *Core) SetStoreReachable(up bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeUp = up
	c.stale = true
}

// RecordStoreCall notes whether the platform's store served this host's last call.
// A host that doesn't watch the store learns only from its calls.
func (c *Core) RecordStoreCall(served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeUnserved != served {
		return
	}
	c.storeUnserved = !served
	c.urgent()
	c.log.WithFields(logrus.Fields{"event": "store_calls", "served": served}).Info("the platform's store began or ceased to serve this host's calls")
}

// SetLeaving tells peers that this host stops.
func (c *Core) SetLeaving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	c.urgent()
}

// SetWaitingTokens replaces the tokens that wait in this host's jobs.
func (c *Core) SetWaitingTokens(waiting map[mesh.Backlog]int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = waiting
	c.changed()
}

// WaitingTokens returns the tokens of a team that wait on all hosts.
func (c *Core) WaitingTokens(key mesh.Backlog) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := c.waiting[key]
	for _, p := range c.peers {
		sum += p.state.Waiting[key]
	}
	return sum
}

// State implements mesh.Peer.
func (c *Core) State() mesh.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stale {
		c.stale = false
		c.state = c.buildState()
	}
	return c.state
}

// buildState returns the state as of now; the caller holds mu.
func (c *Core) buildState() mesh.State {
	admitted := make(map[string]int64, len(c.ledger.AdmissionCounts()))
	for team, n := range c.ledger.AdmissionCounts() {
		admitted[team] = n
	}
	return mesh.State{
		Host: c.self.Name, Incarnation: c.self.Incarnation, DataCentre: c.self.DataCentre,
		Address: c.self.PeerAddress, Leaving: c.leaving, Running: c.board.OwnCounts(), Outcomes: c.outcomes, Admitted: admitted,
		Waiting: c.waiting, EndedJobs: c.ended, Jobs: c.jobs, Watching: c.watching, ConfigVersion: c.versions.Config, UpstreamsVersion: c.versions.Upstreams,
		StoreReachable: c.storeUp && (c.watching || !c.storeUnserved),
	}
}

// SetCancelledJobs tells peers of jobs that were ended a short time ago.
func (c *Core) SetCancelledJobs(jobs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = jobs
	c.urgent()
}

// changed tells that the state for peers is another; the caller holds mu.
func (c *Core) changed() {
	c.stale = true
	c.onChanged()
}

// urgent tells that all hosts should hear of a change soon; the caller holds mu.
func (c *Core) urgent() {
	c.stale = true
	c.onUrgent()
}

// wakeBatch tells the batch runner that a slot may be free.
func (c *Core) wakeBatch() {
	select {
	case c.batchWake <- struct{}{}:
	default: // it has been told
	}
}

// schedule gives free slots to waiters, and takes slots back from batch items
// where more requests were sent than there are slots; the caller holds mu.
func (c *Core) schedule() {
	now := time.Now()
	for _, w := range c.queue.Sorted(now) {
		id, ok := c.board.PlaceOnline(w.Service, w.Without, now)
		if !ok {
			continue
		}
		c.queue.Remove(w)
		w.Granted(id)
	}
	for _, run := range c.board.PreemptBatch(c.self.Name) {
		run.Pause()
	}
	c.wakeBatch()
}

func rateOf(t fleet.Team) replicated.Rate { return replicated.Rate{PerSecond: t.Rate, Burst: t.Burst} }

// UpstreamAddresses returns the addresses of the listed upstreams.
func (c *Core) UpstreamAddresses() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.board.Addresses()
}
