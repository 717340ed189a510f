package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/fleet"
)

// probeTimeout bounds one try at a connection: a little more than the pool's own
// timeout.
const probeTimeout = 600 * time.Millisecond

// Connector makes a connection to an upstream.
type Connector interface {
	// Connect returns when a connection was made, which is kept for a request.
	Connect(ctx context.Context, u fleet.Upstream) error
}

// noopConnector is used where no way to try connections is set.
type noopConnector struct{}

func (noopConnector) Connect(context.Context, fleet.Upstream) error { return nil }

// reportUnreachable keeps work away from an upstream until a connection was made.
func (c *Core) reportUnreachable(u fleet.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.ReportUnreachable(u.ID, time.Now())
}

// probeDueUpstreams tries connections to the upstreams that are due.
func (c *Core) probeDueUpstreams(ctx context.Context, now time.Time) {
	c.mu.Lock()
	due := c.balancer.DueProbes(now, 2*probeTimeout)
	c.mu.Unlock()
	for _, u := range due {
		c.probes.Go(func() { c.probeUpstream(ctx, u) })
	}
}

func (c *Core) probeUpstream(ctx context.Context, u fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := c.connector.Connect(ctx, u); err != nil {
		c.reportUnreachable(u)
		return
	}
	c.mu.Lock()
	regained := c.balancer.ReportReachable(u.ID)
	c.schedule()
	c.mu.Unlock()
	if regained {
		c.log.WithFields(logrus.Fields{"event": "upstream_reached", "upstream": u.ID, "data_centre": u.DataCentre, "address": u.Address}).Info("an upstream is in reach again")
	}
}
