package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/fleet"
)

// probeTime bounds one try at a connection: a little more than the pool's own
// timeout.
const probeTime = 600 * time.Millisecond

// Connector makes a connection to an upstream.
type Connector interface {
	// Connect returns when a connection was made, which is kept for a request.
	Connect(ctx context.Context, u fleet.Upstream) error
}

// alwaysReachable is used where no way to try connections is set.
type alwaysReachable struct{}

func (alwaysReachable) Connect(context.Context, fleet.Upstream) error { return nil }

// noteUnreached keeps work away from an upstream until a connection was made.
func (c *Core) noteUnreached(u fleet.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.board.ReportUnreachable(u.ID, time.Now())
}

// probe tries connections to the upstreams that are due.
func (c *Core) probe(ctx context.Context, now time.Time) {
	c.mu.Lock()
	due := c.board.DueProbes(now, 2*probeTime)
	c.mu.Unlock()
	for _, u := range due {
		c.probes.Go(func() { c.probeOne(ctx, u) })
	}
}

func (c *Core) probeOne(ctx context.Context, u fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	if err := c.reacher.Connect(ctx, u); err != nil {
		c.noteUnreached(u)
		return
	}
	c.mu.Lock()
	regained := c.board.ReportReachable(u.ID)
	c.schedule()
	c.mu.Unlock()
	if regained {
		c.log.WithFields(logrus.Fields{"event": "upstream_reached", "upstream": u.ID, "data_centre": u.DataCentre, "address": u.Address}).Info("an upstream is in reach again")
	}
}
