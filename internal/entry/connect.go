package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"
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

// ErrReplaced says that another process responds at the address of an upstream.
var ErrReplaced = errors.New("another upstream responds at the address")

// Pinger is a Connector that can also ask an upstream for a response.
type Pinger interface {
	// Ping sends a health check over a new connection, and returns what the upstream
	// responded. Any response of the upstream is a success, since it shows that the
	// upstream sends bytes. That of another one is an ErrReplaced.
	Ping(ctx context.Context, u fleet.Upstream, healthPath string) (Health, error)
}

// Health is an upstream's response to a health check.
type Health struct {
	Healthy bool
	Leaving bool      // the upstream announces that it shuts down
	Started time.Time // of the process that responded; zero if it doesn't tell

	ColdLeft *time.Duration // for which the upstream is still cold; nil if it doesn't tell
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

// pingSilentUpstreams starts a ping of each silent upstream that is due.
func (c *Core) pingSilentUpstreams(ctx context.Context, now time.Time) {
	pinger, ok := c.connector.(Pinger)
	if !ok {
		return
	}
	c.mu.Lock()
	due := c.balancer.DuePings(now)
	config := c.config
	c.mu.Unlock()
	for _, u := range due {
		if path := config.Services[u.Service].HealthPath; path != "" {
			c.probes.Go(func() { c.pingUpstream(ctx, pinger, u, path) })
		}
	}
}

func (c *Core) pingUpstream(ctx context.Context, pinger Pinger, u fleet.Upstream, path string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	log := c.log.WithFields(logrus.Fields{"event": "upstream_pinged", "upstream": u.ID})
	health, err := pinger.Ping(ctx, u, path)
	if err != nil {
		log.WithField("error", err).Info("upstream is silent to a new connection too")
		return
	}
	if health.Leaving {
		c.reportLeaving(u, "health_check")
	}
	if health.ColdLeft != nil {
		c.reportColdLeft(u, health)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if health.Healthy {
		c.balancer.ReportHealthy(u.ID, time.Now())
	} else {
		c.balancer.ReportResponse(u.ID, time.Now())
	}
	log.WithField("healthy", health.Healthy).Info("upstream responds on a new connection; those of silent requests may be lost")
}

// releaseLostRuns gives the slots of runs whose connections are lost to others.
func (c *Core) releaseLostRuns(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	released := c.balancer.ReviewLostRuns(now)
	if released == 0 {
		return
	}
	c.notifyChange()
	c.schedule()
	c.log.WithFields(logrus.Fields{"event": "lost_slots_released", "slots": released}).Info("slots of requests whose connections are lost were given back")
}
