package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/mesh"
)

const (
	heartbeatTimeout      = 700 * time.Millisecond // for a peer of this cell: three heartbeats and a margin
	remoteMissedIntervals = 2.8                    // cross-cell intervals without a state after which a host of another cell is unresponsive
	peerCountsTTL         = 3 * time.Second        // most requests of an unresponsive host have ended by then
	peerCheckInterval     = 100 * time.Millisecond
	startSpread           = 2 * time.Second // in which the hosts of a fleet that starts hear each other
	crashReviewInterval   = time.Second
)

// peerRecord is the last known state of a peer.
type peerRecord struct {
	state         mesh.State
	lastHeartbeat time.Time
	joinedAt      time.Time // when the peer was last heard to start, restart or recover
	unresponsive  bool
	key           uint64       // mesh.PeerKey of the host and its incarnation
	directAt      time.Time    // when the peer last sent its state to this host
	outsideAt     time.Time    // when a host of another cell last passed its state on to this host
	admitted      admissionLog // of the incarnation

	samplesVersion int64 // of the incarnation's observed times that were merged last
}

// HostInfo is a host's registration in the store.
type HostInfo struct {
	Address    string
	DataCentre string
}

// PeerChange reports that a peer started, restarted, became unresponsive or recovered.
type PeerChange struct {
	Host         string
	Address      string
	Incarnation  string
	Unresponsive bool // the peer became unresponsive
}

// SetMembers replaces the registered hosts and forgets unresponsive peers that are no
// longer registered. The version is that of the list of hosts.
func (c *Core) SetMembers(hosts map[string]HostInfo, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = hosts
	c.noteListing(time.Now())
	if version > c.versions.Hosts {
		c.storeNewsAt = time.Now()
	}
	c.versions.Hosts = max(c.versions.Hosts, version)
	c.stateDirty = true
	for name, p := range c.peers {
		if _, listed := hosts[name]; !listed && p.unresponsive {
			c.balancer.SetPeerCounts(name, nil)
			c.limiter.ForgetPeer(p.state.Incarnation)
			delete(c.peerKeys, p.key)
			delete(c.peers, name)
		}
	}
	c.updateCell()
	c.updateUnresponsiveDCs()
}

// noteListing records since when the members are listed. The caller must hold mu.
func (c *Core) noteListing(now time.Time) {
	maps.DeleteFunc(c.listedSince, func(name string, _ time.Time) bool { _, listed := c.members[name]; return !listed })
	for name := range c.members {
		if _, known := c.listedSince[name]; !known {
			c.listedSince[name] = now
		}
	}
}

// countRemotePeers returns the number of known peers in other cells. The caller must
// hold mu.
func (c *Core) countRemotePeers() int {
	n := 0
	for name := range c.peers {
		if !c.cellHosts[name] {
			n++
		}
	}
	return n
}

// InCell reports whether the host is in this host's cell.
func (c *Core) InCell(host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cellHosts[host]
}

// StoreRelayPeer returns the address of a live peer that reaches the store.
func (c *Core) StoreRelayPeer() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		if !p.unresponsive && p.state.StoreReachable && !p.state.Leaving {
			return p.state.Address, true
		}
	}
	return "", false
}

// JobOwner returns the address of the live peer that owns the job.
func (c *Core) JobOwner(job string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		if !p.unresponsive && slices.Contains(p.state.Jobs, job) {
			return p.state.Address, true
		}
	}
	return "", false
}

// MergeState implements mesh.Delegate.
func (c *Core) MergeState(s mesh.State) {
	if s.Host == c.self.Name || s.Host == "" {
		return
	}
	now := time.Now()
	c.mu.Lock()
	before := c.urgentOf(s.Host)
	c.mergeCrashes(s.Host, s.Crashes)
	c.mergePartCrashes(s.Host, s.PartCrashes)
	shared := s.Performance
	s.Crashes, s.PartCrashes, s.Performance = nil, nil, mesh.Performance{}
	if p, known := c.peers[s.Host]; known && p.state.Incarnation == s.Incarnation && s.Number < p.state.Number {
		s = p.state // a relay was faster
		s.Admitted = nil
	}
	joined := c.mergePeer(s, now, true)
	c.mergePerformance(c.peers[s.Host], shared, now)
	fromCell := c.cellHosts[s.Host]
	if !fromCell {
		c.peers[s.Host].outsideAt = now
	}
	urgent := s.Urgent != before && c.hasOtherCells()
	c.mu.Unlock()
	if urgent {
		c.onRelayedChange(!fromCell)
	}
	if len(s.EndedJobs) > 0 {
		c.onJobsCancelled(s.EndedJobs)
	}
	if joined != nil {
		c.reportJoined([]PeerChange{*joined})
	}
}

// reportJoined logs and reports peers that started, restarted or recovered.
func (c *Core) reportJoined(changes []PeerChange) {
	for _, change := range changes {
		c.log.WithFields(logrus.Fields{"event": "peer_heard", "peer": change.Host, "incarnation": change.Incarnation}).Info("peer started, restarted or recovered")
		c.onPeerChange(change)
	}
}

// mergePeer replaces the state of a peer that was heard at the time, directly or through a
// relay. It returns a change if the peer started, restarted or recovered. The caller must hold
// mu.
func (c *Core) mergePeer(s mesh.State, heard time.Time, direct bool) *PeerChange {
	p, known := c.peers[s.Host]
	restarted := known && p.state.Incarnation != s.Incarnation
	joined := !known || p.unresponsive || restarted
	if !known {
		p = &peerRecord{}
		c.peers[s.Host] = p
	}
	if restarted {
		c.limiter.ForgetPeer(p.state.Incarnation)
		p.admitted, p.lastHeartbeat, p.samplesVersion = nil, time.Time{}, 0
	}
	if !known || restarted {
		delete(c.peerKeys, p.key)
		p.key = mesh.PeerKey(s.Host, s.Incarnation)
		c.peerKeys[p.key] = s.Host
	}
	countsChanged := joined || !maps.Equal(p.state.Running, s.Running)
	outcomesChanged := !maps.Equal(p.state.Outcomes, s.Outcomes)
	p.state, p.unresponsive = s, false
	if heard.After(p.lastHeartbeat) {
		p.lastHeartbeat = heard
	}
	if direct {
		p.directAt = heard
	}
	p.admitted.put(s.Admitted, s.Number)
	if joined {
		p.joinedAt = time.Now()
		c.linksOutdated = true
		c.updateCell()
		c.updateUnresponsiveDCs()
	}
	c.limiter.ApplyPeerReport(s.Incarnation, s.Admitted)
	if outcomesChanged {
		c.mergePeerOutcomes(s, time.Now())
	}
	if countsChanged {
		c.balancer.SetPeerCounts(s.Host, s.Running)
	}
	if queuedChanged := c.mergeQueued(s.Host, s.Queued, direct); countsChanged || queuedChanged {
		c.schedule()
	}
	if !joined {
		return nil
	}
	return &PeerChange{Host: s.Host, Address: s.Address, Incarnation: s.Incarnation}
}

// Run detects unresponsive peers, probes unreachable upstreams and checks broken runs
// until ctx is done.
func (c *Core) Run(ctx context.Context) {
	tick := time.NewTicker(peerCheckInterval)
	defer tick.Stop()
	review := time.NewTicker(crashReviewInterval)
	defer review.Stop()
	defer c.probes.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.breakWake:
			c.checkBrokenRuns(ctx)
			continue
		case now := <-review.C:
			c.reviewCrashes(ctx, now)
			c.forgetAnnouncements(now)
			c.reviewEvacuations(now)
			continue
		case <-tick.C:
		}
		c.probeDueUpstreams(ctx, time.Now())
		c.checkAbandonedUpstreams(ctx, time.Now())
		c.reviewHeldSlots(ctx, time.Now())
		c.pingSilentUpstreams(ctx, time.Now())
		c.reviewWarmUps(ctx, time.Now())
		c.releaseLostRuns(time.Now())
		for _, change := range c.checkPeers(time.Now()) {
			c.log.WithFields(logrus.Fields{"event": "peer_silent", "peer": change.Host}).Warn("peer became unresponsive")
			c.onPeerChange(change)
		}
	}
}

func (c *Core) checkPeers(now time.Time) []PeerChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changes []PeerChange
	remoteTimeout := c.remoteTimeout()
	for name, p := range c.peers {
		age := now.Sub(p.lastHeartbeat)
		timeout := c.silenceLimit(name, now, remoteTimeout)
		if !p.unresponsive && age > timeout {
			p.unresponsive = true
			c.linksOutdated = true
			p.state.Outcomes = nil
			c.balancer.SetPeerOutcomes(name, false, nil, now)
			c.limiter.ForgetPeer(p.state.Incarnation)
			changes = append(changes, PeerChange{Host: name, Address: p.state.Address, Incarnation: p.state.Incarnation, Unresponsive: true})
		}
		if p.unresponsive && age > peerCountsTTL {
			c.balancer.SetPeerCounts(name, nil)
		}
	}
	if len(changes) > 0 {
		c.updateUnresponsiveDCs()
	}
	c.updateOutdatedCell(now)
	c.publishOutcomes(now)
	c.balancer.ObserveLoad(now)
	c.publishSamples(now)
	c.logPerformance(now)
	c.updateOrderingHosts()
	c.updateShares(now)
	c.schedule() // the back-off of upstreams may have expired
	return changes
}

// updateUnresponsiveDCs determines the other data centres with no live host. Their
// upstreams get no work before a probe has connected. The caller must hold mu.
func (c *Core) updateUnresponsiveDCs() {
	unresponsive := map[string]bool{}
	for _, p := range c.peers {
		dc := p.state.DataCentre
		otherDown, known := unresponsive[dc]
		unresponsive[dc] = p.unresponsive && (otherDown || !known)
	}
	delete(unresponsive, c.self.DataCentre)
	maps.DeleteFunc(unresponsive, func(_ string, down bool) bool { return !down })
	if maps.Equal(unresponsive, c.unresponsiveDCs) {
		return
	}
	c.log.WithFields(logrus.Fields{"event": "unheard_data_centres", "now": slices.Sorted(maps.Keys(unresponsive)), "before": slices.Sorted(maps.Keys(c.unresponsiveDCs))}).
		Warn("set of data centres without a live host changed; their upstreams get no work until a probe connects")
	c.unresponsiveDCs = unresponsive
	c.balancer.SetUnresponsiveDataCentres(unresponsive)
}

// Peers returns the states of the live peers, by name.
func (c *Core) Peers() map[string]mesh.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	live := map[string]mesh.State{}
	for name, p := range c.peers {
		if !p.unresponsive {
			live[name] = p.state
		}
	}
	return live
}

// HasOutdatedConfig reports whether a live peer has a newer configuration than this host.
func (c *Core) HasOutdatedConfig() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		if !p.unresponsive && p.state.ConfigVersion > c.versions.Config {
			return true
		}
	}
	return false
}

// signOfLifeTTL is the time for which signs of life are remembered.
const signOfLifeTTL = time.Minute

// SilentHosts returns the hosts that this one doesn't hear, with the time since which it doesn't:
// the unresponsive peers, and the registered hosts that it hasn't heard since its start.
func (c *Core) SilentHosts() map[string]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	silent := map[string]time.Time{}
	for name, p := range c.peers {
		if p.unresponsive {
			silent[name] = p.lastHeartbeat
		}
	}
	for name := range c.members {
		if _, known := c.peers[name]; !known && name != c.self.Name {
			silent[name] = c.listedSince[name]
		}
	}
	return silent
}

// HostAddress returns the last known address of a host, whether it is live or not.
func (c *Core) HostAddress(name string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, known := c.peers[name]; known {
		return p.state.Address, true
	}
	info, listed := c.members[name]
	return info.Address, listed
}

// IsResponsibleFor reports whether this host carries out the duties of a host that it hasn't
// heard since the time: whether it is the rendezvous host among itself and the active peers.
// Peers that started or recovered later don't take part, since they may not know of the loss.
func (c *Core) IsResponsibleFor(host string, silentSince time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	candidates := []string{c.self.Name}
	for name, p := range c.peers {
		if !p.unresponsive && !p.state.Leaving && p.joinedAt.Sub(silentSince) < startSpread {
			candidates = append(candidates, name)
		}
	}
	return RendezvousHost(host, candidates) == c.self.Name
}

// ReportSignOfLife records that a host that this one doesn't hear has answered through the store.
func (c *Core) ReportSignOfLife(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.signsOfLife[host] = time.Now()
	maps.DeleteFunc(c.signsOfLife, func(_ string, at time.Time) bool { return time.Since(at) > signOfLifeTTL })
}

// IsGone reports whether there was no heartbeat and no other sign of life of the host for the
// given time, signOfLifeTTL at most.
func (c *Core) IsGone(host string, now time.Time, after time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, known := c.peers[host]; known && now.Sub(p.lastHeartbeat) <= after {
		return false
	}
	return now.Sub(c.signsOfLife[host]) > after
}

// visibleFraction returns the fraction of the fleet's hosts that are live to this
// host, itself included. Hosts that shut down don't count. The caller must hold mu.
func (c *Core) visibleFraction() float64 {
	total, live := 1, 1
	for _, p := range c.peers {
		if p.state.Leaving {
			continue
		}
		total++
		if !p.unresponsive {
			live++
		}
	}
	for name := range c.members {
		if _, known := c.peers[name]; !known && name != c.self.Name {
			total++
		}
	}
	return float64(live) / float64(total)
}

// SeesMajority reports whether more than half of the fleet's hosts are live to this
// host, itself included.
func (c *Core) SeesMajority() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.visibleFraction() > 0.5
}
