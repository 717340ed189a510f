// Package entry serves the callers of one fleet of upstreams: it matches a
// request to its route and team, admits it, places it and relays the answer.
//
// Contract: every request ends with one true answer. "Not run" is said only of
// a request that no upstream can act on any more. The decisions are in slots
// and ledger; this package joins them with the sockets.
package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/ratelimit/ledger"
	"github.com/masticscale/masticscale/internal/slots"
)

const (
	silentAfter    = 700 * time.Millisecond  // three heartbeats and a margin
	silentFarAfter = 1400 * time.Millisecond // the same for hosts of other cells
	dropAfter      = 3 * time.Second         // what a silent host ran has mostly ended
	checkPeriod    = 100 * time.Millisecond
)

// Identity says who this host is.
type Identity struct {
	Name        string
	Incarnation string
	DataCentre  string
	PeerAddress string
}

// peerView is what this host knows of a peer.
type peerView struct {
	state  mesh.State
	heard  time.Time
	silent bool
}

// Core is the shared state of a host's duties, guarded by one mutex that is
// never held across I/O.
type Core struct {
	self Identity
	log  logrus.FieldLogger

	mu        sync.Mutex
	config    *fleet.Config
	board     *slots.Board
	queue     slots.Queue
	ledger    *ledger.Ledger
	peers     map[string]*peerView
	roster    map[string]HostInfo // hosts of the store's list
	cell      fleet.Cell
	upstreams []fleet.Upstream
	jobs      []string // that this host runs or has run
	waiting   map[mesh.Backlog]int64
	ended     []string // jobs
	versions  Versions
	state     mesh.State // for peers, as it was built last
	stale     bool       // something has changed since
	storeUp   bool
	watching  bool
	sentinel  bool
	leaving   bool
	random    *rand.Rand
	longest   map[string]time.Duration // time that callers give at first, by route
	onChanged func()
	onUrgent  func()
	batchWake chan struct{}
	onPeer    func(PeerChange)
	onEnded   func(jobs []string)
}

// HostInfo is what the store's list tells of a host.
type HostInfo struct {
	Address    string
	DataCentre string
}

// Versions are the versions of what this host knows.
type Versions struct {
	Config    int64
	Upstreams int64
}

// PeerChange tells that a peer began anew, fell silent or was heard again.
type PeerChange struct {
	Host        string
	Address     string
	Incarnation string
	Silent      bool
}

// NewCore returns the core of a host.
func NewCore(self Identity, log logrus.FieldLogger) *Core {
	seed := rand.Uint64()
	return &Core{
		self: self, log: log,
		board:     slots.NewBoard(self.DataCentre, seed),
		ledger:    ledger.New(time.Now()),
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
		batchWake: make(chan struct{}, 1),
	}
}

// OnChanged sets what is called when the state for peers has changed.
func (c *Core) OnChanged(f func()) { c.onChanged = f }

// OnUrgent sets what is called when hosts of other cells should hear of a change
// soon too.
func (c *Core) OnUrgent(f func()) { c.onUrgent = f }

// OnPeer sets what is called when a peer begins anew, falls silent or is back.
func (c *Core) OnPeer(f func(PeerChange)) { c.onPeer = f }

// OnEnded sets what is called with the jobs that peers know to be ended.
func (c *Core) OnEnded(f func(jobs []string)) { c.onEnded = f }

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

// SetRoster replaces the hosts of the store's list. The version counts the
// changes of hosts and upstreams together.
func (c *Core) SetRoster(hosts map[string]HostInfo, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.roster = hosts
	c.versions.Upstreams = max(c.versions.Upstreams, version)
	c.stale = true
	c.formCell()
	for name, p := range c.peers {
		if _, listed := hosts[name]; !listed && p.silent {
			c.board.SetPeer(name, nil)
			c.ledger.Forget(p.state.Incarnation)
			delete(c.peers, name)
		}
	}
}

// formCell finds the cell of this host among the listed hosts; the caller holds
// mu.
func (c *Core) formCell() {
	hosts := map[string]string{c.self.Name: c.self.DataCentre}
	for name, h := range c.roster {
		hosts[name] = h.DataCentre
	}
	for name, p := range c.peers {
		hosts[name] = p.state.DataCentre
	}
	c.cell = fleet.CellOf(c.self.Name, hosts, c.upstreams)
	c.board.SetHome(c.cell.Upstreams)
}

// InCell reports whether the host is in this host's cell.
func (c *Core) InCell(host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cell.Hosts[host]
}

// watchersPerCentre are the hosts of each data centre that follow the store for
// all: two, so that the loss of one delays nothing.
const watchersPerCentre = 2

// WatchDuty reports whether this host follows the store's changes itself. In a
// large fleet a few hosts of each data centre do, and tell the others.
func (c *Core) WatchDuty() bool {
	sentinel := c.Sentinel()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentinel = sentinel
	duty := c.watchDuty()
	c.stale = c.stale || duty != c.watching
	c.watching = duty
	return duty
}

// Large reports whether the fleet has more hosts than fit into one cell.
func (c *Core) Large() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.cell.Hosts) < len(c.roster)
}

// Sentinel reports whether this host is one of the two that poll the store at
// short intervals. Waiting polls can go deaf, when the store drops its history,
// without being cut; the sentinels find out and tell the others.
func (c *Core) Sentinel() bool {
	names := append(c.Staying(), c.self.Name)
	for range sentinels {
		first := Successor(sentinelDuty, names)
		if first == c.self.Name {
			return true
		}
		names = slices.DeleteFunc(names, func(name string) bool { return name == first })
	}
	return false
}

const (
	sentinels    = 2 // so that the loss of one delays nothing
	sentinelDuty = "short polls of the store"
)

// Watching reports whether this host follows the store's changes.
func (c *Core) Watching() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watching
}

// watchDuty decides it; the caller holds mu.
func (c *Core) watchDuty() bool {
	if len(c.cell.Hosts) > len(c.peers) {
		return true // the fleet is small, or nobody is heard
	}
	var nearby []string
	served := false
	for name, p := range c.peers {
		if p.silent || p.state.Leaving {
			continue
		}
		served = served || p.state.Watching && p.state.StoreReachable
		if p.state.DataCentre == c.self.DataCentre {
			nearby = append(nearby, name)
		}
	}
	if !served {
		return true
	}
	if c.sentinel {
		return true
	}
	for range watchersPerCentre {
		first := Successor(c.self.DataCentre, append(nearby, c.self.Name))
		if first == c.self.Name {
			return true
		}
		nearby = slices.DeleteFunc(nearby, func(name string) bool { return name == first })
	}
	return false
}

// SetJobs replaces the jobs that this host answers for.
func (c *Core) SetJobs(jobs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs = jobs
	c.changed()
}

// StorePeer returns the address of a heard peer that the store serves.
func (c *Core) StorePeer() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		if !p.silent && p.state.StoreReachable && !p.state.Leaving {
			return p.state.Address, true
		}
	}
	return "", false
}

// HostOf returns the address of the heard peer that answers for the job.
func (c *Core) HostOf(job string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		if !p.silent && slices.Contains(p.state.Jobs, job) {
			return p.state.Address, true
		}
	}
	return "", false
}

// SetStoreReachable notes whether the platform's store answers this host.
func (c *Core) SetStoreReachable(up bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeUp = up
	c.stale = true
}

// SetLeaving tells peers that this host stops.
func (c *Core) SetLeaving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	c.urgent()
}

// SetWaiting replaces the tokens that wait in this host's jobs.
func (c *Core) SetWaiting(waiting map[mesh.Backlog]int64) {
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
	admitted := make(map[string]int64, len(c.ledger.Report()))
	for team, n := range c.ledger.Report() {
		admitted[team] = n
	}
	return mesh.State{
		Host: c.self.Name, Incarnation: c.self.Incarnation, DataCentre: c.self.DataCentre,
		Address: c.self.PeerAddress, Leaving: c.leaving, Running: c.board.Own(), Admitted: admitted,
		Waiting: c.waiting, EndedJobs: c.ended, Jobs: c.jobs, Watching: c.watching, ConfigVersion: c.versions.Config, UpstreamsVersion: c.versions.Upstreams,
		StoreReachable: c.storeUp,
	}
}

// Absorb implements mesh.Peer.
func (c *Core) Absorb(s mesh.State) {
	if s.Host == c.self.Name || s.Host == "" {
		return
	}
	c.mu.Lock()
	p, known := c.peers[s.Host]
	news := !known || p.silent || p.state.Incarnation != s.Incarnation
	if !known {
		p = &peerView{}
		c.peers[s.Host] = p
	}
	if known && p.state.Incarnation != s.Incarnation {
		c.ledger.Forget(p.state.Incarnation)
	}
	moved := news || !maps.Equal(p.state.Running, s.Running)
	p.state, p.heard, p.silent = s, time.Now(), false
	if news {
		c.formCell()
	}
	c.ledger.Absorb(s.Incarnation, s.Admitted)
	if moved {
		c.board.SetPeer(s.Host, s.Running)
		c.schedule()
	}
	c.mu.Unlock()
	if len(s.EndedJobs) > 0 {
		c.onEnded(s.EndedJobs)
	}
	if news {
		c.log.WithFields(logrus.Fields{"event": "peer_heard", "peer": s.Host, "incarnation": s.Incarnation}).Info("a peer is heard")
		c.onPeer(PeerChange{Host: s.Host, Address: s.Address, Incarnation: s.Incarnation})
	}
}

// Run looks after peers that fall silent until ctx ends.
func (c *Core) Run(ctx context.Context) {
	tick := time.NewTicker(checkPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, change := range c.checkPeers(time.Now()) {
			c.log.WithFields(logrus.Fields{"event": "peer_silent", "peer": change.Host}).Warn("a peer is silent")
			c.onPeer(change)
		}
	}
}

func (c *Core) checkPeers(now time.Time) []PeerChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changes []PeerChange
	for name, p := range c.peers {
		age := now.Sub(p.heard)
		limit := silentFarAfter
		if c.cell.Hosts[name] {
			limit = silentAfter
		}
		if !p.silent && age > limit {
			p.silent = true
			c.ledger.Forget(p.state.Incarnation)
			changes = append(changes, PeerChange{Host: name, Address: p.state.Address, Incarnation: p.state.Incarnation, Silent: true})
		}
		if p.silent && age > dropAfter {
			c.board.SetPeer(name, nil)
		}
	}
	c.schedule() // upstreams that were down may be tried again
	return changes
}

// Peers returns the peers that are heard, by name, and their states.
func (c *Core) Peers() map[string]mesh.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	heard := map[string]mesh.State{}
	for name, p := range c.peers {
		if !p.silent {
			heard[name] = p.state
		}
	}
	return heard
}

// SilentFor returns for how long a peer has been silent. A host that was never
// heard counts from this host's start.
func (c *Core) SilentFor(host string, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, known := c.peers[host]
	if !known {
		return neverHeard
	}
	return now.Sub(p.heard)
}

const neverHeard = time.Hour

// Silent returns the peers that are silent, with the time since they were heard.
func (c *Core) Silent(now time.Time) map[string]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	silent := map[string]time.Duration{}
	for name, p := range c.peers {
		if p.silent {
			silent[name] = now.Sub(p.heard)
		}
	}
	return silent
}

// part returns the fraction of the fleet's hosts that this host hears; the
// caller holds mu.
func (c *Core) part() float64 {
	all, heard := 1, 1
	for _, p := range c.peers {
		if p.state.Leaving {
			continue
		}
		all++
		if !p.silent {
			heard++
		}
	}
	for name := range c.roster {
		if _, known := c.peers[name]; !known && name != c.self.Name {
			all++
		}
	}
	return float64(heard) / float64(all)
}

// HearsMost reports whether this host hears more than half of the fleet's hosts.
func (c *Core) HearsMost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.part() > 0.5
}

// SetEnded tells peers of jobs that were ended a short time ago.
func (c *Core) SetEnded(jobs []string) {
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
	for _, run := range c.board.Overcommitted(c.self.Name) {
		run.Pause()
	}
	c.wakeBatch()
}

func ledgerRate(t fleet.Team) ledger.Rate { return ledger.Rate{PerSecond: t.Rate, Burst: t.Burst} }

// Successor returns the host that takes over for the key: hosts that know the
// same hosts pick the same one. It returns "" where there is none.
func Successor(key string, hosts []string) string {
	best, bestSum := "", uint64(0)
	for _, h := range hosts {
		if sum := xxhash.Sum64String(h + "\x00" + key); best == "" || sum > bestSum {
			best, bestSum = h, sum
		}
	}
	return best
}

// Staying returns the heard peers that are not about to stop.
func (c *Core) Staying() []string {
	var names []string
	for name, s := range c.Peers() {
		if !s.Leaving {
			names = append(names, name)
		}
	}
	return names
}

// Succeeds reports whether this host takes over for the key.
func (c *Core) Succeeds(key string) bool {
	return Successor(key, append(c.Staying(), c.self.Name)) == c.self.Name
}

// UpstreamAddresses returns the addresses of the listed upstreams.
func (c *Core) UpstreamAddresses() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.board.Addresses()
}
