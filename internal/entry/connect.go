package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/fleet"
)

// probeTimeout limits one connection attempt. It is slightly longer than the timeout
// of the connection pool.
const probeTimeout = 600 * time.Millisecond

// Connector opens connections to upstreams.
type Connector interface {
	// Connect opens a connection and keeps it in the pool for a later request.
	Connect(ctx context.Context, u fleet.Upstream) error
}

// noopConnector is the default Connector and treats every upstream as reachable.
type noopConnector struct{}

func (noopConnector) Connect(context.Context, fleet.Upstream) error { return nil }

// reportUnreachable stops new work for an upstream until a probe has connected.
func (c *Core) reportUnreachable(u fleet.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.ReportUnreachable(u.ID, time.Now())
}

// probeDueUpstreams starts a probe of each unreachable upstream that is due.
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
	recovered := c.balancer.ReportReachable(u.ID)
	c.schedule()
	c.mu.Unlock()
	if recovered {
		c.log.WithFields(logrus.Fields{"event": "upstream_reached", "upstream": u.ID, "data_centre": u.DataCentre, "address": u.Address}).Info("upstream is reachable again")
	}
}
