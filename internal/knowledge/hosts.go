package knowledge

import (
	"context"
	"maps"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/objstore"
)

func (s *Syncer) resetHosts(objects []objstore.Object, version int64) {
	s.mu.Lock()
	if s.hostsAdopted {
		s.mu.Unlock()
		return
	}
	s.hostsVersion = max(s.hostsVersion, version)
	s.hosts, s.hostVersions = map[string]hostEntry{}, map[string]int64{}
	for _, o := range objects {
		s.putHost(o)
	}
	s.hostsKnown = true
	s.mu.Unlock()
	s.updateMembers()
}

func (s *Syncer) applyHost(e objstore.Event) {
	s.mu.Lock()
	if s.hostsAdopted {
		s.mu.Unlock()
		return
	}
	s.hostsVersion = max(s.hostsVersion, e.Object.Version)
	if e.Type == objstore.EventPut {
		s.putHost(e.Object)
	} else {
		delete(s.hosts, e.Object.Name)
		delete(s.hostVersions, e.Object.Name)
	}
	s.mu.Unlock()
	s.updateMembers()
}

// putHost stores a host's entry unless it is invalid. The caller holds mu.
func (s *Syncer) putHost(o objstore.Object) {
	var h hostEntry
	if err := o.Decode(&h); err != nil {
		s.log.WithFields(logrus.Fields{"event": "host_unreadable", "peer": o.Name, "error": err}).Warn("ignoring an invalid host entry")
		return
	}
	s.hosts[o.Name], s.hostVersions[o.Name] = h, o.Version
}

// updateMembers passes the list of hosts to the core, and requests registration
// if this host is missing from the list.
func (s *Syncer) updateMembers() {
	s.mu.Lock()
	members := map[string]entry.HostInfo{}
	for name, h := range s.hosts {
		members[name] = entry.HostInfo{Address: h.Address, DataCentre: h.DataCentre}
	}
	version := s.hostsVersion
	_, listed := s.hosts[s.self.Name]
	s.mu.Unlock()
	s.core.SetMembers(members, version)
	s.connectPeers()
	if !listed {
		s.requestRegistration()
	}
}

// connectPeers connects to the hosts that the core names. The seeds are used until a list of
// hosts is known.
func (s *Syncer) connectPeers() {
	addresses := s.core.PeerAddresses(time.Now())
	s.mu.Lock()
	if !s.hostsKnown {
		for _, seed := range s.seeds {
			if _, named := addresses[seed]; !named {
				addresses[seed] = false
			}
		}
	}
	s.mu.Unlock()
	delete(addresses, s.self.PeerAddress)
	s.peers.SetPeers(addresses)
}

func (s *Syncer) requestRegistration() {
	select {
	case s.registerRequests <- struct{}{}:
	default: // a request is pending
	}
}

// registerLoop writes this host's entry at startup and when the entry is missing.
func (s *Syncer) registerLoop(ctx context.Context) {
	s.requestRegistration()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.registerRequests:
		}
		if !s.lacksRegistration() {
			continue
		}
		if err := s.register(ctx); err != nil {
			s.log.WithFields(logrus.Fields{"event": "host_not_published", "error": err}).Warn("failed to write this host's entry")
			time.AfterFunc(registerRetryInterval, s.requestRegistration)
		}
	}
}

func (s *Syncer) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	own := hostEntry{Address: s.self.PeerAddress, DataCentre: s.self.DataCentre, Incarnation: s.self.Incarnation}
	created, err := s.store.Create(ctx, KindHost, s.self.Name, own)
	if err == nil {
		s.noteRegistration(created.Version)
	}
	if !errors.Is(err, objstore.ErrConflict) {
		return err
	}
	o, err := s.store.Get(ctx, KindHost, s.self.Name)
	if err != nil {
		return err
	}
	var stored hostEntry
	if err := o.Decode(&stored); err == nil && stored.Address == own.Address {
		s.noteRegistration(o.Version)
		return nil // the stored incarnation may differ: peers get it from this host's state
	}
	updated, err := s.store.Update(ctx, KindHost, s.self.Name, o.Version, own)
	if err == nil {
		s.noteRegistration(updated.Version)
	}
	return err
}

// noteRegistration records the version with which this host's entry is in the store.
func (s *Syncer) noteRegistration(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registeredVersion = max(s.registeredVersion, version)
}

// lacksRegistration reports whether this host has to write its entry: it hasn't yet, or a
// later list lacks it. A list from before the entry says nothing.
func (s *Syncer) lacksRegistration() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, listed := s.hosts[s.self.Name]
	return s.registeredVersion == 0 || !listed && s.hostsVersion > s.registeredVersion
}

// peerLoop pulls newer data from peers.
func (s *Syncer) peerLoop(ctx context.Context) {
	tick := time.NewTicker(peerInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.pullFromPeers(ctx)
			s.connectPeers()
		}
	}
}

// pruneLoop prunes hosts that were removed for good. The store may take seconds for each.
func (s *Syncer) pruneLoop(ctx context.Context) {
	wait := pruneInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = pruneInterval
		if err := s.pruneHosts(ctx, time.Now()); err != nil {
			s.log.WithFields(logrus.Fields{"event": "hosts_not_pruned", "error": err}).Info("the entry of an unresponsive host can't be removed; retrying")
			wait = pruneRetryInterval
		}
	}
}

// pullFromPeers fetches a snapshot from a peer that has newer data.
func (s *Syncer) pullFromPeers(ctx context.Context) {
	s.mu.Lock()
	known := s.versions()
	newer := func(p mesh.State) bool {
		return p.ConfigVersion > known.Config || p.UpstreamsVersion > known.Upstreams || p.HostsVersion > known.Hosts || s.hasNewerEvacuations(p, known)
	}
	peers := s.core.Peers()
	s.confirmUpstreams(peers)
	watchWorks := len(s.failedWatches) == 0 && s.core.IsWatchingStore()
	if !s.countBehind(peers, newer) || watchWorks && s.behindChecks < minBehindChecks {
		s.mu.Unlock()
		return
	}
	s.mu.Unlock()
	maps.DeleteFunc(peers, func(_ string, p mesh.State) bool { return !newer(p) })
	s.fetchFromFirst(ctx, peers, known)
}

// confirmUpstreams records that a peer reaches the store and none has a newer list of
// upstreams than this host. The caller holds mu.
func (s *Syncer) confirmUpstreams(peers map[string]mesh.State) {
	storeReached := false
	for _, p := range peers {
		if p.UpstreamsVersion > s.upstreamsVersion {
			return
		}
		storeReached = storeReached || p.StoreReachable
	}
	if storeReached {
		s.upstreamsConfirmedAt = time.Now()
	}
}

// minBehindChecks is the number of consecutive checks in which a peer must have
// newer data before a host with a working watch fetches it. The host's own watch
// mostly delivers the change within one check.
const minBehindChecks = 2

// countBehind counts the consecutive checks in which a peer had newer data. It
// reports whether one has. The caller holds mu.
func (s *Syncer) countBehind(peers map[string]mesh.State, newer func(mesh.State) bool) bool {
	for _, p := range peers {
		if newer(p) {
			s.behindChecks++
			return true
		}
	}
	s.behindChecks = 0
	return false
}

// applySnapshot adopts the parts of a peer's snapshot that are newer.
func (s *Syncer) applySnapshot(snapshot mesh.Snapshot, from string) {
	if snapshot.Versions.Config > 0 {
		s.activateConfig(snapshot.Config, from)
	}
	s.adoptEvacuations(snapshot, from) // before upstreams that it may concern
	s.adoptUpstreams(snapshot, from)
	if s.adoptHosts(snapshot) {
		s.updateMembers()
	}
}

// adoptHosts reports whether the list of hosts was newer than this host's.
func (s *Syncer) adoptHosts(snapshot mesh.Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.Versions.Hosts <= s.hostsVersion || len(snapshot.Hosts) == 0 {
		return false
	}
	before := s.hosts
	s.hosts = map[string]hostEntry{}
	for name, h := range snapshot.Hosts {
		s.hosts[name] = hostEntry{Address: h.Address, DataCentre: h.DataCentre}
	}
	s.hostsVersion = snapshot.Versions.Hosts
	s.hostsAdopted = s.hostsAdopted || !maps.EqualFunc(before, s.hosts, sameHost)
	s.hostsKnown = true
	return true
}

// sameHost compares what a snapshot holds of a host.
func sameHost(a, b hostEntry) bool { return a.Address == b.Address && a.DataCentre == b.DataCentre }

// pruneHosts deletes the entries of hosts that have been unresponsive for long. A
// live host whose entry was deleted writes it again.
func (s *Syncer) pruneHosts(ctx context.Context, now time.Time) error {
	if now.Sub(s.startedAt) < pruneAfter || !s.core.IsWatchingStore() {
		return nil
	}
	s.mu.Lock()
	var stale []string
	for name := range s.hostVersions {
		if name != s.self.Name && s.core.IsGone(name, now, pruneAfter) {
			stale = append(stale, name)
		}
	}
	unreachable := len(s.failedWatches) > 0
	s.mu.Unlock()
	if unreachable {
		return nil
	}
	var lastErr error
	for _, name := range stale {
		if !s.core.IsRendezvousWatcher(name) {
			continue
		}
		if err := s.deleteHost(ctx, name); err != nil {
			lastErr = err
		}
	}
	return lastErr
}

// deleteHost deletes the host's entry. An entry that has changed meanwhile stays; the watch
// brings its version.
func (s *Syncer) deleteHost(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	s.mu.Lock()
	version := s.hostVersions[name]
	s.mu.Unlock()
	err := s.store.Delete(ctx, KindHost, name, version)
	if err != nil && !errors.Is(err, objstore.ErrConflict) && !errors.Is(err, objstore.ErrNotFound) {
		return errors.Wrapf(err, "delete the entry of host %q", name)
	}
	s.log.WithFields(logrus.Fields{"event": "host_removed", "peer": name, "error": err}).Info("removed the entry of an unresponsive host")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hostVersions[name] == version {
		delete(s.hostVersions, name)
	}
	return nil
}
