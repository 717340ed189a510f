package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/mesh"
)

const (
	heartbeatTimeout      = 700 * time.Millisecond // three heartbeats and a margin
	remoteMissedIntervals = 2.8                    // periods without a state, after which a host of another cell counts as silent
	peerCountsTTL         = 3 * time.Second        // what a silent host ran has mostly ended
	peerCheckInterval     = 100 * time.Millisecond
)

// peerRecord is what this host knows of a peer.
type peerRecord struct {
	state         mesh.State
	lastHeartbeat time.Time
	unresponsive  bool
}

// HostInfo is what the store's list tells of a host.
type HostInfo struct {
	Address    string
	DataCentre string
}

// PeerChange tells that a peer began anew, fell silent or was heard again.
type PeerChange struct {
	Host        string
	Address     string
	Incarnation string
	Silent      bool
}

// SetMembers replaces the hosts of the store's list. The version counts the
// changes of hosts and upstreams together.
func (c *Core) SetMembers(hosts map[string]HostInfo, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = hosts
	c.versions.Upstreams = max(c.versions.Upstreams, version)
	c.stateDirty = true
	c.updateCell()
	for name, p := range c.peers {
		if _, listed := hosts[name]; !listed && p.unresponsive {
			c.balancer.SetPeerCounts(name, nil)
			c.limiter.ForgetPeer(p.state.Incarnation)
			delete(c.peers, name)
		}
	}
	c.updateUnresponsiveDCs()
}

// updateCell finds the cell of this host among the listed hosts; the caller holds
// mu.
func (c *Core) updateCell() {
	hosts := map[string]string{c.self.Name: c.self.DataCentre}
	for name, h := range c.members {
		hosts[name] = h.DataCentre
	}
	for name, p := range c.peers {
		hosts[name] = p.state.DataCentre
	}
	c.cell = fleet.CellOf(c.self.Name, hosts, c.upstreams)
	c.balancer.SetCell(c.cell.Upstreams, c.cell.Others)
}

// countRemotePeers returns the number of known hosts of other cells; the caller holds mu.
func (c *Core) countRemotePeers() int {
	n := 0
	for name := range c.peers {
		if !c.cell.Hosts[name] {
			n++
		}
	}
	return n
}

// InCell reports whether the host is in this host's cell.
func (c *Core) InCell(host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cell.Hosts[host]
}

// StoreRelayPeer returns the address of a heard peer that the store serves.
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

// JobOwner returns the address of the heard peer that answers for the job.
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
	c.mu.Lock()
	p, known := c.peers[s.Host]
	joined := !known || p.unresponsive || p.state.Incarnation != s.Incarnation
	if !known {
		p = &peerRecord{}
		c.peers[s.Host] = p
	}
	if known && p.state.Incarnation != s.Incarnation {
		c.limiter.ForgetPeer(p.state.Incarnation)
	}
	countsChanged := joined || !maps.Equal(p.state.Running, s.Running)
	outcomesChanged := !maps.Equal(p.state.Outcomes, s.Outcomes)
	p.state, p.lastHeartbeat, p.unresponsive = s, time.Now(), false
	if joined {
		c.updateCell()
		c.updateUnresponsiveDCs()
	}
	c.limiter.ApplyPeerReport(s.Incarnation, s.Admitted)
	if outcomesChanged {
		c.mergePeerOutcomes(s, time.Now())
	}
	if countsChanged {
		c.balancer.SetPeerCounts(s.Host, s.Running)
		c.schedule()
	}
	c.mu.Unlock()
	if len(s.EndedJobs) > 0 {
		c.onJobsCancelled(s.EndedJobs)
	}
	if joined {
		c.log.WithFields(logrus.Fields{"event": "peer_heard", "peer": s.Host, "incarnation": s.Incarnation}).Info("a peer is heard")
		c.onPeerChange(PeerChange{Host: s.Host, Address: s.Address, Incarnation: s.Incarnation})
	}
}

// Run looks after peers that fall silent, and upstreams that are out of reach,
// until ctx ends.
func (c *Core) Run(ctx context.Context) {
	tick := time.NewTicker(peerCheckInterval)
	defer tick.Stop()
	defer c.probes.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		c.probeDueUpstreams(ctx, time.Now())
		for _, change := range c.checkPeers(time.Now()) {
			c.log.WithFields(logrus.Fields{"event": "peer_silent", "peer": change.Host}).Warn("a peer is silent")
			c.onPeerChange(change)
		}
	}
}

func (c *Core) checkPeers(now time.Time) []PeerChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changes []PeerChange
	farLimit := time.Duration(remoteMissedIntervals * float64(mesh.CrossCellInterval(c.countRemotePeers())))
	for name, p := range c.peers {
		age := now.Sub(p.lastHeartbeat)
		limit := farLimit
		if c.cell.Hosts[name] {
			limit = heartbeatTimeout
		}
		if !p.unresponsive && age > limit {
			p.unresponsive = true
			p.state.Outcomes = nil
			c.balancer.SetPeerOutcomes(name, false, nil, now)
			c.limiter.ForgetPeer(p.state.Incarnation)
			changes = append(changes, PeerChange{Host: name, Address: p.state.Address, Incarnation: p.state.Incarnation, Silent: true})
		}
		if p.unresponsive && age > peerCountsTTL {
			c.balancer.SetPeerCounts(name, nil)
		}
	}
	if len(changes) > 0 {
		c.updateUnresponsiveDCs()
	}
	c.publishOutcomes(now)
	c.schedule() // upstreams that were down may be tried again
	return changes
}

// updateUnresponsiveDCs finds the other data centres all of whose known hosts are silent;
// the caller holds mu.
func (c *Core) updateUnresponsiveDCs() {
	unheard := map[string]bool{}
	for _, p := range c.peers {
		dc := p.state.DataCentre
		others, known := unheard[dc]
		unheard[dc] = p.unresponsive && (others || !known)
	}
	delete(unheard, c.self.DataCentre)
	maps.DeleteFunc(unheard, func(_ string, silent bool) bool { return !silent })
	if maps.Equal(unheard, c.unresponsiveDCs) {
		return
	}
	c.log.WithFields(logrus.Fields{"event": "unheard_data_centres", "now": slices.Sorted(maps.Keys(unheard)), "before": slices.Sorted(maps.Keys(c.unresponsiveDCs))}).
		Warn("no host of some data centres is heard; their upstreams get no work before connections to them were made")
	c.unresponsiveDCs = unheard
	c.balancer.SetUnresponsiveDataCentres(unheard)
}

// Peers returns the peers that are heard, by name, and their states.
func (c *Core) Peers() map[string]mesh.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	heard := map[string]mesh.State{}
	for name, p := range c.peers {
		if !p.unresponsive {
			heard[name] = p.state
		}
	}
	return heard
}

// TimeSinceHeartbeat returns for how long a peer has been silent. A host that was never
// heard counts from this host's start.
func (c *Core) TimeSinceHeartbeat(host string, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, known := c.peers[host]
	if !known {
		return neverSeenAge
	}
	return now.Sub(p.lastHeartbeat)
}

const neverSeenAge = time.Hour

// UnresponsivePeers returns the peers that are silent, with the time since they were heard.
func (c *Core) UnresponsivePeers(now time.Time) map[string]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	silent := map[string]time.Duration{}
	for name, p := range c.peers {
		if p.unresponsive {
			silent[name] = now.Sub(p.lastHeartbeat)
		}
	}
	return silent
}

// visibleFraction returns the fraction of the fleet's hosts that this host hears; the
// caller holds mu.
func (c *Core) visibleFraction() float64 {
	all, heard := 1, 1
	for _, p := range c.peers {
		if p.state.Leaving {
			continue
		}
		all++
		if !p.unresponsive {
			heard++
		}
	}
	for name := range c.members {
		if _, known := c.peers[name]; !known && name != c.self.Name {
			all++
		}
	}
	return float64(heard) / float64(all)
}

// SeesMajority reports whether this host hears more than half of the fleet's hosts.
func (c *Core) SeesMajority() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.visibleFraction() > 0.5
}
