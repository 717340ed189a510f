package entry

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/mesh"
)

// publishOutcomes tells peers of runs that have failed, and of their number among
// all at these upstreams; the caller holds mu.
func (c *Core) publishOutcomes(now time.Time) {
	outcomes := c.balancer.Outcomes(now)
	if maps.Equal(outcomes, c.outcomes) {
		return
	}
	c.outcomes = outcomes
	c.notifyChange()
}

// logEjection notes that an upstream is used last from now on; the caller holds mu.
func (c *Core) logEjection(id string, now time.Time) {
	own := c.balancer.Outcomes(now)[id]
	c.log.WithFields(logrus.Fields{"event": "upstream_suspected", "upstream": id, "failed_here": own.Failed, "ended_here": own.Ended, "for_ms": c.balancer.EjectedUntil(id).Sub(now).Milliseconds()}).
		Warn("an upstream fails too many requests and is used last for some seconds")
}

// mergePeerOutcomes takes in how runs of a peer have ended; the caller holds mu.
func (c *Core) mergePeerOutcomes(s mesh.State, now time.Time) {
	for _, id := range c.balancer.SetPeerOutcomes(s.Host, s.DataCentre == c.self.DataCentre, s.Outcomes, now) {
		c.logEjection(id, now)
	}
}
