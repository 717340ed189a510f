package entry

import (
	"time"

	"github.com/masticscale/masticscale/internal/fleet"
)

// cellUpdateInterval is the least time between two computations of the upstreams of this
// host's cell. Many upstreams register or leave within seconds.
const cellUpdateInterval = 100 * time.Millisecond

// cellUpstreamsFunc is the type of (*fleet.CellIndex).Upstreams.
type cellUpstreamsFunc func(*fleet.CellIndex) (preferred, outside map[string]bool)

// SetUpstreams replaces the list of upstreams.
func (c *Core) SetUpstreams(list []fleet.Upstream, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordEndedUpstreams(list)
	c.balancer.SetUpstreams(list)
	c.logInvalidColdTimes(list)
	c.cells.SetUpstreams(list)
	c.updateCellUpstreams(time.Now())
	c.reviewQueue()
	c.setUpstreamsVersion(version)
}

// UpdateUpstreams adds or replaces upstreams and removes others. It takes effect at once,
// except that a new upstream may be left out of the cell for up to cellUpdateInterval. The
// version is that of the resulting list.
func (c *Core) UpdateUpstreams(changed []fleet.Upstream, removed []string, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.applyUpstreams(changed, removed) {
		c.cellOutdated = true
		c.updateOutdatedCell(time.Now())
	}
	c.reviewQueue()
	c.setUpstreamsVersion(version)
}

// applyUpstreams reports whether the change affects the upstreams of cells. The caller must
// hold mu.
func (c *Core) applyUpstreams(changed []fleet.Upstream, removed []string) bool {
	affected := false
	c.logInvalidColdTimes(changed)
	for _, u := range changed {
		before, registered := c.balancer.Upstream(u.ID)
		if registered && instanceOf(before) != instanceOf(u) {
			c.recordUpstreamEnd(before, true)
		}
		c.balancer.PutUpstream(u)
		affected = c.cells.PutUpstream(u) || affected
	}
	for _, id := range removed {
		before, registered := c.balancer.Upstream(id)
		if !registered {
			continue
		}
		c.recordUpstreamEnd(before, false)
		c.balancer.RemoveUpstream(id)
		c.cells.RemoveUpstream(id)
		affected = true
	}
	return affected
}

// setUpstreamsVersion records the version of the list of upstreams and tells peers. Hosts
// of other cells hear at once only from the few hosts that watch the store: the others have
// the list from one of these, and messages from all to all grow with the square of the
// hosts. The caller must hold mu.
func (c *Core) setUpstreamsVersion(version int64) {
	if version > c.versions.Upstreams {
		c.storeNewsAt = time.Now()
	}
	c.versions.Upstreams = max(c.versions.Upstreams, version)
	if c.watching {
		c.notifyUrgentChange()
		return
	}
	c.notifyChange()
}

// updateCell computes the hosts of this host's cell from the registered hosts and the known
// peers, and its upstreams if they may be computed again. The caller must hold mu.
func (c *Core) updateCell() {
	c.cells.SetHosts(c.dataCentres())
	before := c.cellHosts
	c.cellHosts = c.cells.Hosts()
	c.noteCellHosts(before, time.Now())
	c.crashes.ShareAll(c.hasOtherCells())
	c.partCrashes.ShareAll(c.hasOtherCells())
	c.linksOutdated = true
	c.cellOutdated = true
	c.updateOutdatedCell(time.Now())
}

// noteCellHosts records when hosts came into this host's cell that were heard through relays
// before. The caller must hold mu.
func (c *Core) noteCellHosts(before map[string]bool, now time.Time) {
	since := map[string]time.Time{}
	for name := range c.cellHosts {
		p, known := c.peers[name]
		switch at, noted := c.cellSince[name]; {
		case before[name] && noted:
			since[name] = at
		case !before[name] && known && now.Sub(p.directAt) > heartbeatTimeout:
			since[name] = now
		}
	}
	c.cellSince = since
}

// updateOutdatedCell computes the upstreams of this host's cell again, but not more often
// than each cellUpdateInterval. The caller must hold mu.
func (c *Core) updateOutdatedCell(now time.Time) {
	if c.cellOutdated && now.Sub(c.cellUpdatedAt) >= cellUpdateInterval {
		c.updateCellUpstreams(now)
	}
}

// updateCellUpstreams computes the upstreams of this host's cell. The caller must hold mu.
func (c *Core) updateCellUpstreams(now time.Time) {
	c.balancer.SetCell(c.cellUpstreams(c.cells))
	c.cellUpdatedAt, c.cellOutdated = now, false
}

// dataCentres returns the data centres of the registered hosts and the known peers, by host.
// The caller must hold mu.
func (c *Core) dataCentres() map[string]string {
	hosts := map[string]string{c.self.Name: c.self.DataCentre}
	for name, h := range c.members {
		hosts[name] = h.DataCentre
	}
	for name, p := range c.peers {
		hosts[name] = p.state.DataCentre
	}
	return hosts
}
