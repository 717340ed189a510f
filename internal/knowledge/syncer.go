// Package knowledge keeps a host's configuration, upstreams and list of hosts up
// to date: from watches of the platform's store, and from snapshots of peers while
// the store is unavailable.
//
// A lower version of the configuration never replaces a higher one. An invalid
// document is logged and ignored, and the one before stays in force.
package knowledge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/objstore"
)

// KindHost is the kind of the hosts' entries in the store.
const KindHost objstore.Kind = "fleet-hosts"

// Decoder decodes the documents that the operator and the upstreams write into the
// store, and names their kinds.
type Decoder interface {
	ConfigKind() objstore.Kind
	ConfigName() string
	UpstreamKind() objstore.Kind
	EvacuationKind() objstore.Kind // objects named after the evacuated data centres
	DecodeConfig(raw json.RawMessage) (*fleet.Config, error)
	DecodeUpstream(id string, raw json.RawMessage) (fleet.Upstream, error)
}

// PeerClient connects to peers and fetches their snapshots.
type PeerClient interface {
	// FetchSnapshot fetches what the peer has beyond the known versions.
	FetchSnapshot(ctx context.Context, address string, known mesh.Versions) (mesh.Snapshot, error)
	// SetPeers replaces the peers: by address, whether each is in this host's cell.
	SetPeers(inCell map[string]bool)
}

const (
	initialRetryDelay     = 100 * time.Millisecond // after a failed watch
	maxRetryDelay         = 1500 * time.Millisecond
	peerInterval          = 250 * time.Millisecond  // between checks for peers with newer data
	expiryGracePeriod     = 2200 * time.Millisecond // after an outage of the store, live upstreams renew expired entries within two seconds
	maxRemovalDelay       = 1700 * time.Millisecond // after an event; a removed upstream serves for two seconds from the acknowledgement on
	maxConfirmationAge    = 2 * peerInterval        // of a list of upstreams by peers
	pruneInterval         = 250 * time.Millisecond
	pruneRetryInterval    = 2 * time.Second         // after an entry that couldn't be deleted
	pruneAfter            = 20 * time.Second        // without a heartbeat; the host was then removed for good
	electionCheckInterval = 500 * time.Millisecond  // between checks whether this host has become a store poller
	roleCheckInterval     = 40 * time.Millisecond   // between checks whether this host should watch the store
	startupGracePeriod    = 1500 * time.Millisecond // after startup, in which states of peers that already watch the store arrive
	listTimeout           = 4 * time.Second
	registerRetryInterval = 500 * time.Millisecond
)

// hostEntry is the value of a host's object in the store.
type hostEntry struct {
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	Incarnation string `json:"incarnation"`
}

// Syncer passes the configuration, the upstreams and the list of hosts to a core.
type Syncer struct {
	self           entry.Identity
	store          objstore.Store
	shortPollStore objstore.Store // used for watches while this host is a store poller
	decoder        Decoder
	core           *entry.Core
	peers          PeerClient
	seeds          []string
	closeIdle      func() // closes the idle connections to the store
	log            logrus.FieldLogger
	startedAt      time.Time

	mu                sync.Mutex
	config            json.RawMessage
	configVersion     int64
	configSince       time.Time // when the configuration came into force
	upstreams         *upstreamTable
	upstreamsVersion  int64
	upstreamsKnown    bool
	upstreamsListedAt time.Time            // when the store first listed the upstreams to this process
	pendingRemovals   map[string]time.Time // deferred removals of upstreams, and when they take effect
	removalDeferred   chan struct{}        // signals expiryLoop
	hosts             map[string]hostEntry
	hostsVersion      int64
	hostVersions      map[string]int64
	hostsKnown        bool
	failedWatches     map[objstore.Kind]bool
	respondedAt       map[objstore.Kind]time.Time // as of when the store last told this host of the kind
	storeRegainedAt   time.Time                   // end of the latest outage
	behindChecks      int                         // consecutive checks in which a peer had newer data
	registerRequests  chan struct{}
	registeredVersion int64 // of this host's entry, as written or read by this process

	// Whether a peer's list was adopted that differs from this host's, since the latest list
	// of the store was begun. That list and the events after it may be older.
	upstreamsAdopted bool
	hostsAdopted     bool

	watchesEvacuations bool
	evacuations        evacuations

	upstreamsListBegan      time.Time // the latest one
	upstreamsListEndsOutage bool      // the latest one follows a failed list or watch of upstreams
	upstreamsConfirmedAt    time.Time // when peers that reach the store last had no newer list
}

// NewSyncer returns a syncer that watches store, or shortPollStore while this
// host is a store poller. SetPeerClient must be called before Run.
func NewSyncer(self entry.Identity, store, shortPollStore objstore.Store, decoder Decoder, core *entry.Core, seeds []string, log logrus.FieldLogger) *Syncer {
	return &Syncer{
		self: self, store: store, shortPollStore: shortPollStore, decoder: decoder, core: core, seeds: seeds, closeIdle: func() {}, log: log, startedAt: time.Now(),
		upstreams: newUpstreamTable(), pendingRemovals: map[string]time.Time{}, removalDeferred: make(chan struct{}, 1),
		hosts: map[string]hostEntry{}, hostVersions: map[string]int64{},
		failedWatches: map[objstore.Kind]bool{}, respondedAt: map[objstore.Kind]time.Time{}, registerRequests: make(chan struct{}, 1),
	}
}

// SetIdleCloser sets a function that closes the idle connections to the store. It must be
// called before Run.
func (s *Syncer) SetIdleCloser(f func()) { s.closeIdle = f }

// SetPeerClient sets the client for calls to peers.
func (s *Syncer) SetPeerClient(p PeerClient) { s.peers = p }

// Ready reports whether a configuration, the lists of upstreams and hosts, and the evacuated data
// centres if this host follows them, are known.
func (s *Syncer) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configVersion > 0 && s.upstreamsKnown && s.hostsKnown && s.evacuationsReady()
}

// Run syncs from the store and from peers until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	s.connectPeers()
	var loops sync.WaitGroup
	loops.Go(func() { s.listAndWatchLoop(ctx, s.decoder.ConfigKind(), s.resetConfig, s.applyConfig) })
	loops.Go(func() { s.listAndWatchLoop(ctx, s.decoder.UpstreamKind(), s.resetUpstreams, s.applyUpstream) })
	loops.Go(func() { s.listAndWatchLoop(ctx, KindHost, s.resetHosts, s.applyHost) })
	if s.watchesEvacuations {
		loops.Go(func() { s.listAndWatchLoop(ctx, s.decoder.EvacuationKind(), s.resetEvacuations, s.applyEvacuation) })
	}
	loops.Go(func() { s.registerLoop(ctx) })
	loops.Go(func() { s.quarantineLoop(ctx, s.requestQuarantine()) })
	loops.Go(func() { s.quarantineLoop(ctx, s.partQuarantine()) })
	loops.Go(func() { s.expiryLoop(ctx) })
	loops.Go(func() { s.pruneLoop(ctx) })
	s.peerLoop(ctx)
	loops.Wait()
}

// listAndWatchLoop lists a kind and watches it. When a watch fails, the kind is
// listed again: a list shows at once that the store is available again, while a
// watch may wait for long.
func (s *Syncer) listAndWatchLoop(ctx context.Context, kind objstore.Kind, reset func([]objstore.Object, int64), apply func(objstore.Event)) {
	wait := initialRetryDelay
	for ctx.Err() == nil {
		listed, err := s.listAndWatch(ctx, kind, reset, apply)
		if listed {
			wait = initialRetryDelay
		}
		if errors.Is(err, errListOutdated) {
			s.log.WithFields(logrus.Fields{"event": "list_outdated", "kind": kind}).Info("adopted a peer's list; listing the kind again")
			continue
		}
		if errors.Is(err, objstore.ErrExpired) {
			s.log.WithFields(logrus.Fields{"event": "watch_expired", "kind": kind}).Info("watch position expired; listing the kind again")
			continue
		}
		s.watchFailed(kind, err)
		select {
		case <-ctx.Done():
		case <-time.After(wait/2 + rand.N(wait)):
		}
		wait = min(2*wait, maxRetryDelay)
	}
}

// listAndWatch reports whether the kind was listed, and why the watch ended.
func (s *Syncer) listAndWatch(ctx context.Context, kind objstore.Kind, reset func([]objstore.Object, int64), apply func(objstore.Event)) (bool, error) {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	s.beginList(kind)
	began := time.Now()
	objects, version, err := s.store.List(listCtx, kind, "")
	if err != nil {
		return false, errors.Wrap(err, "list")
	}
	s.listSucceeded(kind)
	s.storeResponded(kind, began)
	reset(objects, version)
	for {
		version, err = s.watch(ctx, kind, version, apply)
		if err != nil {
			return true, err
		}
	}
}

// errListOutdated means that a peer's list was adopted after the store's list was begun.
var errListOutdated = errors.New("a peer's list is newer than the store's list; list again")

// beginList records that a list begins, which reflects what was adopted before.
func (s *Syncer) beginList(kind objstore.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch kind {
	case KindHost:
		s.hostsAdopted = false
	case s.decoder.UpstreamKind():
		s.upstreamsAdopted = false
		s.upstreamsListBegan, s.upstreamsListEndsOutage = time.Now(), s.failedWatches[kind]
	}
}

func (s *Syncer) isListOutdated(kind objstore.Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch kind {
	case KindHost:
		return s.hostsAdopted
	case s.decoder.UpstreamKind():
		return s.upstreamsAdopted
	}
	return false
}

// watch applies the kind's events after the version, until this host becomes or
// ceases to be a store poller. It returns the version reached.
func (s *Syncer) watch(ctx context.Context, kind objstore.Kind, version int64, apply func(objstore.Event)) (int64, error) {
	if !s.awaitWatchRole(ctx) {
		return version, ctx.Err()
	}
	storePoller := s.core.IsStorePoller()
	store := s.store
	if storePoller && kind != KindHost {
		store = s.shortPollStore
	}
	if s.isListOutdated(kind) {
		return version, errListOutdated
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, err := store.Watch(watchCtx, kind, version)
	if err != nil {
		return version, err
	}
	defer w.Close()
	if !storePoller && kind != KindHost {
		var election sync.WaitGroup
		election.Go(func() { s.cancelOnElection(watchCtx, kind, cancel) })
		defer func() {
			cancel()
			election.Wait()
		}()
	}
	for {
		if !s.awaitWatchRole(ctx) {
			return version, ctx.Err()
		}
		e, err := w.Next()
		if watchCtx.Err() != nil {
			return version, ctx.Err()
		}
		if err != nil {
			return version, errors.Wrap(err, "watch")
		}
		s.storeResponded(kind, time.Now())
		version = max(version, e.Object.Version)
		if e.Type == objstore.EventBookmark && storePoller != s.core.IsStorePoller() {
			return version, nil
		}
		if e.Type != objstore.EventBookmark {
			apply(e)
		}
		if s.isListOutdated(kind) {
			return version, errListOutdated
		}
	}
}

// cancelOnElection cancels a watch once this host is a store poller, and closes idle
// connections. All may be dead, and no other host may have noticed.
func (s *Syncer) cancelOnElection(ctx context.Context, kind objstore.Kind, cancel context.CancelFunc) {
	for !s.core.IsStorePoller() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(electionCheckInterval):
		}
	}
	s.log.WithFields(logrus.Fields{"event": "store_poller_elected", "kind": kind}).Info("polling the platform's store at short intervals, on a new connection")
	s.closeIdle()
	cancel()
}

// awaitWatchRole waits until this host should watch the store itself. It returns
// false when ctx ends.
func (s *Syncer) awaitWatchRole(ctx context.Context) bool {
	for !s.startupOver() || !s.core.ShouldWatchStore() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(roleCheckInterval):
		}
	}
	return ctx.Err() == nil
}

// startupOver reports whether peers that already watch the store have had the time
// to report it to this host. In a fleet of one cell every host watches the store.
func (s *Syncer) startupOver() bool {
	s.mu.Lock()
	small := s.hostsKnown && !s.core.HasMultipleCells()
	s.mu.Unlock()
	return small || time.Since(s.startedAt) > startupGracePeriod
}

// storeResponded records that the store has told this host of the kind, as of the given time.
func (s *Syncer) storeResponded(kind objstore.Kind, asOf time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.respondedAt[kind] = asOf
	if kind == s.decoder.ConfigKind() {
		s.core.ConfirmConfig(asOf)
	}
}

// watchFailed records that a list or watch has failed.
func (s *Syncer) watchFailed(kind objstore.Kind, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.failedWatches) == 0
	s.failedWatches[kind] = true
	fields := logrus.Fields{"event": "store_watch_failed", "kind": kind, "error": err}
	if at, known := s.respondedAt[kind]; known {
		fields["silent_ms"] = time.Since(at).Milliseconds()
	}
	s.log.WithFields(fields).Info("failed to list or watch a kind of the platform's store")
	if first {
		s.core.SetStoreReachable(false)
		s.log.WithFields(logrus.Fields{"event": "store_lost", "kind": kind, "error": err}).Warn("platform store unavailable; keeping the last known data")
	}
}

// listSucceeded records that a kind could be listed. The store counts as reachable only if no
// other kind has failed since: peers rely on this host's watches of all kinds.
func (s *Syncer) listSucceeded(kind objstore.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.failedWatches[kind]
	delete(s.failedWatches, kind)
	if was {
		s.storeRegainedAt = time.Now()
	}
	if len(s.failedWatches) > 0 {
		return
	}
	s.core.SetStoreReachable(true)
	if was {
		s.log.WithFields(logrus.Fields{"event": "store_regained"}).Info("platform store available again")
	}
}

func (s *Syncer) resetConfig(objects []objstore.Object, _ int64) {
	for _, o := range objects {
		s.putConfig(o)
	}
}

func (s *Syncer) applyConfig(e objstore.Event) {
	if e.Type == objstore.EventPut {
		s.putConfig(e.Object)
	}
}

func (s *Syncer) putConfig(o objstore.Object) {
	if o.Name == s.decoder.ConfigName() {
		s.activateConfig(o.Value, "store")
	}
}

// activateConfig puts a configuration in force if it is valid and newer.
func (s *Syncer) activateConfig(raw json.RawMessage, from string) {
	config, err := s.decoder.DecodeConfig(raw)
	if err != nil {
		s.log.WithFields(logrus.Fields{"event": "config_unreadable", "from": from, "error": err}).Error("ignoring an invalid configuration; the previous one stays in force")
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.core.SetConfig(config) {
		return
	}
	replaced, since := s.configVersion, s.configSince
	s.config, s.configVersion, s.configSince = raw, config.Version, now
	fields := logrus.Fields{"event": "config_in_force", "version": config.Version, "from": from, "routes": len(config.Routes), "teams": len(config.Teams)}
	if replaced > 0 {
		fields["replaced"], fields["replaced_after_ms"] = replaced, now.Sub(since).Milliseconds()
	}
	s.log.WithFields(fields).Info("new configuration in force")
}

// versions returns the versions of what this host knows. The caller holds mu.
func (s *Syncer) versions() mesh.Versions {
	return mesh.Versions{Config: s.configVersion, Upstreams: s.upstreamsVersion, Hosts: s.hostsVersion, Evacuations: s.evacuations.version}
}

// Snapshot implements mesh.SnapshotProvider.
func (s *Syncer) Snapshot() mesh.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	snapshot := mesh.Snapshot{
		Versions: s.versions(), Config: s.config, PendingRemovals: s.remainingTimes(now), UnknownExpiries: s.unknownExpiries(now),
		Upstreams: map[string][]byte{}, Hosts: map[string]mesh.HostAddress{}, Evacuated: s.evacuations.names(),
	}
	for id, e := range s.upstreams.entries {
		snapshot.Upstreams[id] = e.raw
	}
	for name, h := range s.hosts {
		snapshot.Hosts[name] = mesh.HostAddress{Address: h.Address, DataCentre: h.DataCentre}
	}
	return snapshot
}
