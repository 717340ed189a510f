package knowledge

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/objstore"
)

func (s *Syncer) resetHosts(objects []objstore.Object, version int64) {
	s.mu.Lock()
	s.upstreamsVersion = max(s.upstreamsVersion, version)
	s.hosts, s.hostVersions = map[string]hostEntry{}, map[string]int64{}
	for _, o := range objects {
		s.takeHost(o)
	}
	s.hostsKnown = true
	s.mu.Unlock()
	s.tellHosts()
}

func (s *Syncer) applyHost(e objstore.Event) {
	s.mu.Lock()
	s.upstreamsVersion = max(s.upstreamsVersion, e.Object.Version)
	if e.Type == objstore.EventPut {
		s.takeHost(e.Object)
	} else {
		delete(s.hosts, e.Object.Name)
		delete(s.hostVersions, e.Object.Name)
	}
	s.mu.Unlock()
	s.tellHosts()
}

// takeHost reads a host's entry; the caller holds mu.
func (s *Syncer) takeHost(o objstore.Object) {
	var h hostEntry
	if err := o.Decode(&h); err != nil {
		s.log.WithFields(logrus.Fields{"event": "host_unreadable", "peer": o.Name, "error": err}).Warn("the entry of a host can't be read and is left out")
		return
	}
	s.hosts[o.Name], s.hostVersions[o.Name] = h, o.Version
}

// tellHosts passes the list of hosts on.
func (s *Syncer) tellHosts() {
	s.mu.Lock()
	roster := map[string]entry.HostInfo{}
	for name, h := range s.hosts {
		roster[name] = entry.HostInfo{Address: h.Address, DataCentre: h.DataCentre}
	}
	version := s.upstreamsVersion
	_, listed := s.hosts[s.self.Name]
	s.mu.Unlock()
	s.core.SetMembers(roster, version)
	s.join()
	if !listed {
		s.askPublish()
	}
}

// join connects with the hosts of the list, the seeds and the peers heard.
func (s *Syncer) join() {
	addresses := map[string]bool{}
	s.mu.Lock()
	for name, h := range s.hosts {
		addresses[h.Address] = s.core.InCell(name)
	}
	if !s.hostsKnown {
		for _, seed := range s.seeds {
			addresses[seed] = true
		}
	}
	s.mu.Unlock()
	for name, p := range s.core.Peers() {
		addresses[p.Address] = s.core.InCell(name)
	}
	delete(addresses, s.self.PeerAddress)
	s.peers.SetPeers(addresses)
}

func (s *Syncer) askPublish() {
	select {
	case s.publish <- struct{}{}:
	default: // asked already
	}
}

// publishLoop writes this host's entry at the start and when it is missing.
func (s *Syncer) publishLoop(ctx context.Context) {
	s.askPublish()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.publish:
		}
		if err := s.publishOnce(ctx); err != nil {
			s.log.WithFields(logrus.Fields{"event": "host_not_published", "error": err}).Warn("this host's entry could not be written")
			time.AfterFunc(publishRetry, s.askPublish)
		}
	}
}

func (s *Syncer) publishOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	mine := hostEntry{Address: s.self.PeerAddress, DataCentre: s.self.DataCentre, Incarnation: s.self.Incarnation}
	_, err := s.store.Create(ctx, KindHost, s.self.Name, mine)
	if !errors.Is(err, objstore.ErrConflict) {
		return err
	}
	o, err := s.store.Get(ctx, KindHost, s.self.Name)
	if err != nil {
		return err
	}
	var there hostEntry
	if err := o.Decode(&there); err == nil && there.Address == mine.Address {
		return nil // peers learn the incarnation from this host itself
	}
	_, err = s.store.Update(ctx, KindHost, s.self.Name, o.Version, mine)
	return err
}

// peerLoop looks at what peers know, and after hosts that are gone for good.
func (s *Syncer) peerLoop(ctx context.Context) {
	tick := time.NewTicker(peerPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.dropLapsed(now)
			s.learn(ctx)
			s.join()
			s.prune(ctx, now)
		}
	}
}

// learn asks a peer that knows more.
func (s *Syncer) learn(ctx context.Context) {
	s.mu.Lock()
	config, upstreams := s.configVersion, s.upstreamsVersion
	newer := func(p mesh.State) bool { return p.ConfigVersion > config || p.UpstreamsVersion > upstreams }
	peers := s.core.Peers()
	patient := len(s.down) == 0 && s.core.IsWatchingStore()
	if !s.fallsBehind(peers, newer) || patient && s.behind < behindLooks {
		s.mu.Unlock()
		return
	}
	s.mu.Unlock()
	for name, p := range peers {
		if !newer(p) {
			continue
		}
		d, err := s.peers.FetchSnapshot(ctx, p.Address, config, upstreams)
		if err != nil {
			s.log.WithFields(logrus.Fields{"event": "knowledge_not_fetched", "peer": name, "error": err}).Info("a peer that knows more could not be asked")
			continue
		}
		s.takeDocument(d, name)
		return
	}
}

// behindLooks is how many looks in a row a peer must know more before a host that
// follows the store itself asks it: its own watch mostly tells within one.
const behindLooks = 2

// fallsBehind counts the looks at which a peer knew more; the caller holds mu.
func (s *Syncer) fallsBehind(peers map[string]mesh.State, newer func(mesh.State) bool) bool {
	for _, p := range peers {
		if newer(p) {
			s.behind++
			return true
		}
	}
	s.behind = 0
	return false
}

// takeDocument adopts what a peer knows.
func (s *Syncer) takeDocument(d mesh.Snapshot, from string) {
	if d.ConfigVersion > 0 {
		s.adoptConfig(d.Config, from)
	}
	s.mu.Lock()
	newer := d.UpstreamsVersion > s.upstreamsVersion
	if newer {
		s.upstreams = map[string]json.RawMessage{}
		for id, raw := range d.Upstreams {
			s.upstreams[id] = raw
		}
		s.upstreamsVersion = d.UpstreamsVersion
		s.upstreamsKnown = true
		s.tellUpstreams(from)
	}
	learned := newer && len(d.Hosts) > 0
	if learned {
		s.hosts = map[string]hostEntry{}
		for name, h := range d.Hosts {
			s.hosts[name] = hostEntry{Address: h.Address, DataCentre: h.DataCentre}
		}
		s.hostsKnown = true
	}
	s.mu.Unlock()
	if learned {
		s.tellHosts()
	}
}

// prune deletes the entries of hosts that have been silent for long. One that
// lives writes its entry again.
func (s *Syncer) prune(ctx context.Context, now time.Time) {
	if now.Sub(s.started) < pruneAfter || !s.core.IsWatchingStore() {
		return
	}
	s.mu.Lock()
	var gone []string
	for name := range s.hostVersions {
		if name != s.self.Name && s.core.TimeSinceHeartbeat(name, now) > pruneAfter {
			gone = append(gone, name)
		}
	}
	unreachable := len(s.down) > 0
	s.mu.Unlock()
	if unreachable {
		return
	}
	for _, name := range gone {
		if !s.core.IsRendezvousHost(name) {
			continue
		}
		s.deleteHost(ctx, name)
	}
}

func (s *Syncer) deleteHost(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	s.mu.Lock()
	version := s.hostVersions[name]
	delete(s.hostVersions, name) // tried once; the watch brings it back if it stays
	s.mu.Unlock()
	err := s.store.Delete(ctx, KindHost, name, version)
	s.log.WithFields(logrus.Fields{"event": "host_removed", "peer": name, "error": err}).Info("the entry of a host that is gone was removed")
}
