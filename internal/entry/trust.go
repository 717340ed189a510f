package entry

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/mesh"
)

// tellOutcomes tells peers of runs that have failed, and of their number among
// all at these upstreams; the caller holds mu.
func (c *Core) tellOutcomes(now time.Time) {
	outcomes := c.board.Outcomes(now)
	if maps.Equal(outcomes, c.outcomes) {
		return
	}
	c.outcomes = outcomes
	c.changed()
}

// logSuspect notes that an upstream is used last from now on; the caller holds mu.
func (c *Core) logSuspect(id string, now time.Time) {
	own := c.board.Outcomes(now)[id]
	c.log.WithFields(logrus.Fields{"event": "upstream_suspected", "upstream": id, "failed_here": own.Failed, "ended_here": own.Ended, "for_ms": c.board.EjectedUntil(id).Sub(now).Milliseconds()}).
		Warn("an upstream fails too many requests and is used last for some seconds")
}

// judge takes in how runs of a peer have ended; the caller holds mu.
func (c *Core) judge(s mesh.State, now time.Time) {
	for _, id := range c.board.SetPeerOutcomes(s.Host, s.DataCentre == c.self.DataCentre, s.Outcomes, now) {
		c.logSuspect(id, now)
	}
}
