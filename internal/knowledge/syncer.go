// Package knowledge keeps what a host knows of the configuration, the
// upstreams and its peers: from watches of the platform's store, and from peers
// while the store is out of reach.
//
// Contract: a lower version of the configuration never replaces a higher one.
// What can't be read is left out with a log line, and what was known stays.
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

// KindHost holds an entry for each host.
const KindHost objstore.Kind = "fleet-hosts"

// Decoder reads what the operator and the upstreams write into the store, and
// names the kinds that they use.
type Decoder interface {
	ConfigKind() objstore.Kind
	ConfigName() string
	UpstreamKind() objstore.Kind
	DecodeConfig(raw json.RawMessage) (*fleet.Config, error)
	DecodeUpstream(id string, raw json.RawMessage) (fleet.Upstream, error)
}

// PeerClient asks peers what they know, and is told which peers there are.
type PeerClient interface {
	FetchSnapshot(ctx context.Context, address string, config, upstreams int64) (mesh.Snapshot, error)
	SetPeers(near map[string]bool)
}

const (
	retryFirst   = 100 * time.Millisecond // after the store has failed a watch
	retryMax     = 1500 * time.Millisecond
	peerPeriod   = 250 * time.Millisecond  // between looks at what peers know
	lapseGrace   = 2200 * time.Millisecond // entries that lapsed in an outage of the store are back within two seconds
	pruneAfter   = 20 * time.Second        // of silence, for hosts that were removed for good
	dutyPeriod   = 40 * time.Millisecond   // between looks at whether this host is to follow the store
	introduction = 1500 * time.Millisecond // after the start, in which peers are heard that follow the store already
	listTimeout  = 4 * time.Second
	publishRetry = 500 * time.Millisecond
)

// hostEntry is a host's object in the store.
type hostEntry struct {
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	Incarnation string `json:"incarnation"`
}

// Syncer keeps a core's knowledge up to date.
type Syncer struct {
	self    entry.Identity
	store   objstore.Store
	quick   objstore.Store // whose polls are short
	decode  Decoder
	core    *entry.Core
	peers   PeerClient
	seeds   []string
	log     logrus.FieldLogger
	started time.Time

	mu               sync.Mutex
	config           json.RawMessage
	configVersion    int64
	upstreams        map[string]json.RawMessage
	upstreamsVersion int64
	upstreamsKnown   bool
	lapsed           map[string]time.Time // removed after an outage, and when that takes effect
	hosts            map[string]hostEntry
	hostVersions     map[string]int64
	hostsKnown       bool
	down             map[objstore.Kind]bool
	regained         time.Time
	behind           int // looks in a row at which a peer knew more
	publish          chan struct{}
}

// NewSyncer returns a source that follows store, and quick while this host is a
// sentinel. SetPeers must be called before Run.
func NewSyncer(self entry.Identity, store, quick objstore.Store, decode Decoder, core *entry.Core, seeds []string, log logrus.FieldLogger) *Syncer {
	return &Syncer{
		self: self, store: store, quick: quick, decode: decode, core: core, seeds: seeds, log: log, started: time.Now(),
		upstreams: map[string]json.RawMessage{}, lapsed: map[string]time.Time{},
		hosts: map[string]hostEntry{}, hostVersions: map[string]int64{},
		down: map[objstore.Kind]bool{}, publish: make(chan struct{}, 1),
	}
}

// SetPeerClient sets how peers are asked.
func (s *Syncer) SetPeerClient(p PeerClient) { s.peers = p }

// Ready reports whether the host knows enough to serve.
func (s *Syncer) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configVersion > 0 && s.upstreamsKnown && s.hostsKnown
}

// Run follows the store and the peers until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	s.join()
	var duties sync.WaitGroup
	duties.Go(func() { s.follow(ctx, s.decode.ConfigKind(), s.resetConfig, s.applyConfig) })
	duties.Go(func() { s.follow(ctx, s.decode.UpstreamKind(), s.resetUpstreams, s.applyUpstream) })
	duties.Go(func() { s.follow(ctx, KindHost, s.resetHosts, s.applyHost) })
	duties.Go(func() { s.publishLoop(ctx) })
	s.peerLoop(ctx)
	duties.Wait()
}

// follow lists a kind and watches it. When a watch fails, the kind is listed
// again: unlike a poll, which may wait for long, a list tells at once that the
// store answers again.
func (s *Syncer) follow(ctx context.Context, kind objstore.Kind, reset func([]objstore.Object, int64), apply func(objstore.Event)) {
	wait := retryFirst
	for ctx.Err() == nil {
		listed, err := s.followOnce(ctx, kind, reset, apply)
		if listed {
			wait = retryFirst
		}
		if errors.Is(err, objstore.ErrExpired) {
			s.log.WithFields(logrus.Fields{"event": "watch_expired", "kind": kind}).Info("the watch's position has expired; the kind is listed again")
			continue
		}
		s.lost(kind, err)
		select {
		case <-ctx.Done():
		case <-time.After(wait/2 + rand.N(wait)):
		}
		wait = min(2*wait, retryMax)
	}
}

// followOnce reports whether the kind was listed, and why the watch ended.
func (s *Syncer) followOnce(ctx context.Context, kind objstore.Kind, reset func([]objstore.Object, int64), apply func(objstore.Event)) (bool, error) {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	objects, version, err := s.store.List(listCtx, kind, "")
	if err != nil {
		return false, err
	}
	s.found(kind)
	reset(objects, version)
	for {
		version, err = s.watch(ctx, kind, version, apply)
		if err != nil {
			return true, err
		}
	}
}

// watch follows the kind from the version until this host becomes or ceases to
// be a sentinel. It returns the version that was reached.
func (s *Syncer) watch(ctx context.Context, kind objstore.Kind, version int64, apply func(objstore.Event)) (int64, error) {
	if !s.awaitDuty(ctx) {
		return version, ctx.Err()
	}
	sentinel := s.core.IsStorePoller()
	store := s.store
	if sentinel && kind != KindHost {
		store = s.quick
	}
	w, err := store.Watch(ctx, kind, version)
	if err != nil {
		return version, err
	}
	defer w.Close()
	for {
		if !s.awaitDuty(ctx) {
			return version, ctx.Err()
		}
		e, err := w.Next()
		if err != nil {
			return version, err
		}
		version = max(version, e.Object.Version)
		if e.Type == objstore.EventBookmark && sentinel != s.core.IsStorePoller() {
			return version, nil
		}
		if e.Type != objstore.EventBookmark {
			apply(e)
		}
	}
}

// awaitDuty waits until this host is to follow the store itself. It reports
// false when ctx ends.
func (s *Syncer) awaitDuty(ctx context.Context) bool {
	for !s.introduced() || !s.core.ShouldWatchStore() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(dutyPeriod):
		}
	}
	return ctx.Err() == nil
}

// introduced reports whether this host has had the time to hear of peers that
// follow the store already. In a small fleet every host does.
func (s *Syncer) introduced() bool {
	s.mu.Lock()
	small := s.hostsKnown && !s.core.HasMultipleCells()
	s.mu.Unlock()
	return small || time.Since(s.started) > introduction
}

// lost notes that a watch has failed.
func (s *Syncer) lost(kind objstore.Kind, err error) {
	s.mu.Lock()
	first := len(s.down) == 0
	s.down[kind] = true
	s.mu.Unlock()
	if first {
		s.core.SetStoreReachable(false)
		s.log.WithFields(logrus.Fields{"event": "store_lost", "kind": kind, "error": err}).Warn("the platform's store does not answer; what is known stays in force")
	}
}

// found notes that a watch works.
func (s *Syncer) found(kind objstore.Kind) {
	s.mu.Lock()
	was := s.down[kind]
	delete(s.down, kind)
	back := was && len(s.down) == 0
	if was {
		s.regained = time.Now()
	}
	s.mu.Unlock()
	if back {
		s.log.WithFields(logrus.Fields{"event": "store_regained"}).Info("the platform's store answers again")
	}
	if back || !was {
		s.core.SetStoreReachable(true)
	}
}

func (s *Syncer) resetConfig(objects []objstore.Object, _ int64) {
	for _, o := range objects {
		s.takeConfig(o)
	}
}

func (s *Syncer) applyConfig(e objstore.Event) {
	if e.Type == objstore.EventPut {
		s.takeConfig(e.Object)
	}
}

func (s *Syncer) takeConfig(o objstore.Object) {
	if o.Name == s.decode.ConfigName() {
		s.adoptConfig(o.Value, "store")
	}
}

// adoptConfig puts a configuration in force if it can be read and is newer.
func (s *Syncer) adoptConfig(raw json.RawMessage, from string) {
	config, err := s.decode.DecodeConfig(raw)
	if err != nil {
		s.log.WithFields(logrus.Fields{"event": "config_unreadable", "from": from, "error": err}).Error("a configuration can't be read; the one before stays in force")
		return
	}
	if !s.core.SetConfig(config) {
		return
	}
	s.mu.Lock()
	s.config, s.configVersion = raw, config.Version
	s.mu.Unlock()
	s.log.WithFields(logrus.Fields{"event": "config_in_force", "version": config.Version, "from": from, "routes": len(config.Routes), "teams": len(config.Teams)}).Info("a configuration is in force")
}

// Snapshot implements mesh.Knowledge.
func (s *Syncer) Snapshot() mesh.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := mesh.Snapshot{
		ConfigVersion: s.configVersion, Config: s.config, UpstreamsVersion: s.upstreamsVersion,
		Upstreams: map[string][]byte{}, Hosts: map[string]mesh.HostAddress{},
	}
	for id, raw := range s.upstreams {
		d.Upstreams[id] = raw
	}
	for name, h := range s.hosts {
		d.Hosts[name] = mesh.HostAddress{Address: h.Address, DataCentre: h.DataCentre}
	}
	return d
}
