package entry

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/mesh"
)

// publishOutcomes shares this host's counts of failed and of all runs with peers, for
// upstreams with failures. The caller must hold mu.
func (c *Core) publishOutcomes(now time.Time) {
	outcomes := c.balancer.Outcomes(now)
	if maps.Equal(outcomes, c.outcomes) {
		return
	}
	c.outcomes = outcomes
	c.notifyChange()
}

// logEjection logs that outlier detection ejected an upstream. The caller must hold mu.
func (c *Core) logEjection(id string, now time.Time) {
	own := c.balancer.Outcomes(now)[id]
	c.log.WithFields(logrus.Fields{"event": "upstream_suspected", "upstream": id, "failed_here": own.Failed, "ended_here": own.Ended, "for_ms": c.balancer.EjectedUntil(id).Sub(now).Milliseconds()}).
		Warn("upstream ejected for failing too many requests; used only as a last resort until the ejection ends")
}

// mergePeerOutcomes adds a peer's run counts to outlier detection. The caller must
// hold mu.
func (c *Core) mergePeerOutcomes(s mesh.State, now time.Time) {
	for _, id := range c.balancer.SetPeerOutcomes(s.Host, s.DataCentre == c.self.DataCentre, s.Outcomes, now) {
		c.logEjection(id, now)
	}
}
