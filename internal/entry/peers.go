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
	silentAfter = 700 * time.Millisecond // three heartbeats and a margin
	farMissed   = 2.8                    // periods without a state, after which a host of another cell counts as silent
	dropAfter   = 3 * time.Second        // what a silent host ran has mostly ended
	checkPeriod = 100 * time.Millisecond
)

// peerView is what this host knows of a peer.
type peerView struct {
	state  mesh.State
	heard  time.Time
	silent bool
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
	c.roster = hosts
	c.versions.Upstreams = max(c.versions.Upstreams, version)
	c.stale = true
	c.formCell()
	for name, p := range c.peers {
		if _, listed := hosts[name]; !listed && p.silent {
			c.board.SetPeerCounts(name, nil)
			c.ledger.ForgetPeer(p.state.Incarnation)
			delete(c.peers, name)
		}
	}
	c.noteUnheard()
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
	c.board.SetCell(c.cell.Upstreams, c.cell.Others)
}

// farPeers returns the number of known hosts of other cells; the caller holds mu.
func (c *Core) farPeers() int {
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
		if !p.silent && p.state.StoreReachable && !p.state.Leaving {
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
		if !p.silent && slices.Contains(p.state.Jobs, job) {
			return p.state.Address, true
		}
	}
	return "", false
}

// MergeState implements mesh.Peer.
func (c *Core) MergeState(s mesh.State) {
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
		c.ledger.ForgetPeer(p.state.Incarnation)
	}
	moved := news || !maps.Equal(p.state.Running, s.Running)
	judged := !maps.Equal(p.state.Outcomes, s.Outcomes)
	p.state, p.heard, p.silent = s, time.Now(), false
	if news {
		c.formCell()
		c.noteUnheard()
	}
	c.ledger.ApplyPeerReport(s.Incarnation, s.Admitted)
	if judged {
		c.judge(s, time.Now())
	}
	if moved {
		c.board.SetPeerCounts(s.Host, s.Running)
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

// Run looks after peers that fall silent, and upstreams that are out of reach,
// until ctx ends.
func (c *Core) Run(ctx context.Context) {
	tick := time.NewTicker(checkPeriod)
	defer tick.Stop()
	defer c.probes.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		c.probe(ctx, time.Now())
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
	farLimit := time.Duration(farMissed * float64(mesh.CrossCellInterval(c.farPeers())))
	for name, p := range c.peers {
		age := now.Sub(p.heard)
		limit := farLimit
		if c.cell.Hosts[name] {
			limit = silentAfter
		}
		if !p.silent && age > limit {
			p.silent = true
			p.state.Outcomes = nil
			c.board.SetPeerOutcomes(name, false, nil, now)
			c.ledger.ForgetPeer(p.state.Incarnation)
			changes = append(changes, PeerChange{Host: name, Address: p.state.Address, Incarnation: p.state.Incarnation, Silent: true})
		}
		if p.silent && age > dropAfter {
			c.board.SetPeerCounts(name, nil)
		}
	}
	if len(changes) > 0 {
		c.noteUnheard()
	}
	c.tellOutcomes(now)
	c.schedule() // upstreams that were down may be tried again
	return changes
}

// noteUnheard finds the other data centres all of whose known hosts are silent;
// the caller holds mu.
func (c *Core) noteUnheard() {
	unheard := map[string]bool{}
	for _, p := range c.peers {
		dc := p.state.DataCentre
		others, known := unheard[dc]
		unheard[dc] = p.silent && (others || !known)
	}
	delete(unheard, c.self.DataCentre)
	maps.DeleteFunc(unheard, func(_ string, silent bool) bool { return !silent })
	if maps.Equal(unheard, c.unheard) {
		return
	}
	c.log.WithFields(logrus.Fields{"event": "unheard_data_centres", "now": slices.Sorted(maps.Keys(unheard)), "before": slices.Sorted(maps.Keys(c.unheard))}).
		Warn("no host of some data centres is heard; their upstreams get no work before connections to them were made")
	c.unheard = unheard
	c.board.SetUnresponsiveDataCentres(unheard)
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

// TimeSinceHeartbeat returns for how long a peer has been silent. A host that was never
// heard counts from this host's start.
func (c *Core) TimeSinceHeartbeat(host string, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, known := c.peers[host]
	if !known {
		return neverHeard
	}
	return now.Sub(p.heard)
}

const neverHeard = time.Hour

// UnresponsivePeers returns the peers that are silent, with the time since they were heard.
func (c *Core) UnresponsivePeers(now time.Time) map[string]time.Duration {
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

// SeesMajority reports whether this host hears more than half of the fleet's hosts.
func (c *Core) SeesMajority() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.part() > 0.5
}
