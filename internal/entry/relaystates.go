package entry

import (
	"time"

	"github.com/masticscale/masticscale/internal/mesh"
)

const (
	relayMargin         = 800 * time.Millisecond // for two cells to pass on a state beside the interval between them
	leastHeartbeatGap   = 200 * time.Millisecond // between two heartbeats; a smaller difference is that of two ways of one
	linkRefreshInterval = 500 * time.Millisecond // between choices of the hosts of other cells to stream to
	linkAttemptTime     = 2 * time.Second        // for which a host that doesn't seem to live is tried
)

// admission is a team's total of admissions at a peer, and the number of the peer's state
// with which it came.
type admission struct {
	team   string
	total  int64
	number int64
}

// admissionLog holds a peer's totals by team, the last changed ones last.
type admissionLog []admission

// put records the totals of a state.
func (l *admissionLog) put(totals map[string]int64, number int64) {
	for team, total := range totals {
		for n, a := range *l {
			if a.team == team {
				*l = append((*l)[:n], (*l)[n+1:]...)
				break
			}
		}
		*l = append(*l, admission{team: team, total: total, number: number})
	}
}

// since returns the totals that changed after the number.
func (l admissionLog) since(number int64) map[string]int64 {
	var totals map[string]int64
	for n := len(l) - 1; n >= 0 && l[n].number > number; n-- {
		if totals == nil {
			totals = map[string]int64{}
		}
		totals[l[n].team] = l[n].total
	}
	return totals
}

// remoteTimeout is the silence after which a host of another cell is unresponsive. The caller
// must hold mu.
func (c *Core) remoteTimeout() time.Duration {
	return time.Duration(remoteMissedIntervals*float64(mesh.CrossCellInterval(c.countRemotePeers()))) + relayMargin
}

// VisitRelayed implements mesh.Delegate. The states of this cell's hosts go to other cells,
// and those that came from outside to this cell; so none circulates.
func (c *Core) VisitRelayed(toCell bool, visit func(mesh.KnownPeer)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasOtherCells() {
		return
	}
	now := time.Now()
	timeout := c.remoteTimeout()
	for name, p := range c.peers {
		if p.unresponsive || c.cellHosts[name] == toCell || toCell && now.Sub(p.outsideAt) > timeout {
			continue
		}
		visit(mesh.KnownPeer{State: &p.state, Age: now.Sub(p.lastHeartbeat), AdmittedSince: p.admitted.since})
	}
}

// hasOtherCells reports whether the fleet has hosts outside this host's cell. The caller must
// hold mu.
func (c *Core) hasOtherCells() bool {
	return c.countRemotePeers() > 0 || len(c.cellHosts) < len(c.members)
}

// MergeRelayed implements mesh.Delegate.
func (c *Core) MergeRelayed(sender string, states []mesh.RelayedState) {
	now := time.Now()
	c.mu.Lock()
	fromOutside := !c.cellHosts[sender]
	timeout := c.remoteTimeout()
	urgent := false
	var joined []PeerChange
	var endedJobs []string
	for _, r := range states {
		name := c.relayedHost(r)
		if name == "" || name == c.self.Name || c.hearsDirectly(name, now) || r.Age > timeout {
			continue
		}
		before := c.urgentOf(name)
		change, merged := c.mergeRelayed(name, r, now.Add(-r.Age))
		if change != nil {
			joined = append(joined, *change)
		}
		p := c.peers[name]
		if p == nil {
			continue
		}
		if merged && r.State != nil && !r.CountsOnly {
			endedJobs = append(endedJobs, r.State.EndedJobs...)
		}
		if fromOutside {
			p.outsideAt = now
			urgent = urgent || p.state.Urgent != before
		}
	}
	c.mu.Unlock()
	if urgent {
		c.onRelayedChange(true)
	}
	c.reportJoined(joined)
	if len(endedJobs) > 0 {
		c.onJobsCancelled(endedJobs)
	}
}

// hearsDirectly reports whether the host is in this cell and streams its state to this host.
// The caller must hold mu.
func (c *Core) hearsDirectly(name string, now time.Time) bool {
	p, known := c.peers[name]
	return known && c.cellHosts[name] && now.Sub(p.directAt) <= heartbeatTimeout
}

// silenceLimit returns the silence after which the peer is unresponsive. One that has lately
// come into this cell from another may not stream its state to this host yet. The caller must
// hold mu.
func (c *Core) silenceLimit(name string, now time.Time, remoteTimeout time.Duration) time.Duration {
	if !c.cellHosts[name] || now.Sub(c.cellSince[name]) <= remoteTimeout {
		return remoteTimeout
	}
	return heartbeatTimeout
}

// relayedHost returns the name of the host of a relayed state, or "" if it isn't known. The
// caller must hold mu.
func (c *Core) relayedHost(r mesh.RelayedState) string {
	if r.State != nil && !r.CountsOnly {
		return r.State.Host
	}
	return c.peerKeys[r.Key]
}

func (c *Core) urgentOf(name string) int64 {
	if p, known := c.peers[name]; known {
		return p.state.Urgent
	}
	return 0
}

// mergeRelayed adopts what is newer of a relayed state, and reports whether there was any.
// The host was heard at the time. The caller must hold mu.
func (c *Core) mergeRelayed(name string, r mesh.RelayedState, heard time.Time) (*PeerChange, bool) {
	p, known := c.peers[name]
	full := r.State != nil && !r.CountsOnly
	switch {
	case !known && !full, known && !full && p.key != r.Key:
		return nil, false
	case !known, full && r.State.Incarnation != p.state.Incarnation:
		if known && !c.replaces(p, r.State, heard) {
			return nil, false
		}
		return c.mergePeer(*r.State, heard, false), true
	}
	if p.unresponsive && heard.Sub(p.lastHeartbeat) < leastHeartbeatGap {
		return nil, false // another relay has yet to notice the silence
	}
	next, merged := p.state, false
	next.Admitted = nil
	if r.State != nil && r.State.Number > p.state.Number {
		merged = true
		if full {
			next = *r.State
		} else {
			next.Number, next.Running, next.Outcomes, next.Admitted = r.State.Number, r.State.Running, r.State.Outcomes, r.State.Admitted
		}
	}
	return c.mergePeer(next, heard, false), merged
}

// replaces reports whether the relayed state of another incarnation takes the place of what is
// known of the peer: if it started later, or if the known one has been silent. The caller must
// hold mu.
func (c *Core) replaces(p *peerRecord, s *mesh.State, heard time.Time) bool {
	return s.Incarnation > p.state.Incarnation || heard.Sub(p.lastHeartbeat) > c.remoteTimeout()
}

// OnRelayedChange sets the callback for changes of other hosts' states that are to be passed
// on without delay, to this host's cell or to others. The callback must not block and must
// not call Core.
func (c *Core) OnRelayedChange(f func(toCell bool)) { c.onRelayedChange = f }

// PeerAddresses returns the addresses of the hosts to which this host streams its state, and
// whether each is in its cell: all hosts of the cell, and those of other cells for which this
// host is a relay.
func (c *Core) PeerAddresses(now time.Time) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	addresses := map[string]bool{}
	for name := range c.cellHosts {
		addresses[c.addressOf(name)] = true
	}
	if c.linksOutdated || now.Sub(c.linksAt) >= linkRefreshInterval {
		c.links, c.linksAt, c.linksOutdated = c.cells.Links(c.isLive, int(now.Sub(c.startedAt)/linkAttemptTime)), now, false
	}
	for _, name := range c.links {
		addresses[c.addressOf(name)] = false
	}
	delete(addresses, "")
	delete(addresses, c.self.PeerAddress)
	return addresses
}

// isLive reports whether the peer is heard. The caller must hold mu.
func (c *Core) isLive(name string) bool {
	p, known := c.peers[name]
	return known && !p.unresponsive && !p.state.Leaving
}

// addressOf returns the address of a host, as it last said itself or as it is registered. The
// caller must hold mu.
func (c *Core) addressOf(name string) string {
	p, known := c.peers[name]
	if member, registered := c.members[name]; registered && (!known || p.unresponsive) {
		return member.Address
	}
	if known {
		return p.state.Address
	}
	return ""
}
