package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/slots"
)

// hostListTTL is the time for which a list of hosts counts as current without news from the
// store, if hosts of the list aren't heard. It is half of the time after which these remove the
// entry of a host that they don't hear, and divide its requests among themselves.
const hostListTTL = 10 * time.Second

// setWarmUps puts the warm-ups of a configuration in force. The caller must hold mu.
func (c *Core) setWarmUps(config *fleet.Config) {
	applied := map[string]fleet.WarmUp{}
	for name, service := range config.Services {
		if service.WarmUp.Applies() {
			applied[name] = service.WarmUp
		}
		if service.WarmUp.IsInvalid() {
			c.log.WithFields(logrus.Fields{
				"event": "warm_up_invalid", "service": name, "version": config.Version,
				"cold_s": service.WarmUp.Time.Seconds(), "per_s": service.WarmUp.Rate,
			}).Warn("the figures of a warm-up aren't both positive; the service has none")
		}
	}
	c.balancer.SetWarmUps(applied)
}

// registeredHosts returns the data centres of the registered hosts by name, or nil if the list
// may be outdated. The caller must hold mu.
func (c *Core) registeredHosts(now time.Time) map[string]string {
	if now.Sub(c.storeNewsAt) > hostListTTL && !c.hearsAllMembers() {
		return nil
	}
	hosts := map[string]string{}
	for name, h := range c.members {
		hosts[name] = h.DataCentre
	}
	return hosts
}

// hearsAllMembers reports whether all registered hosts are live to this host. The caller must
// hold mu.
func (c *Core) hearsAllMembers() bool {
	for name := range c.members {
		if p, known := c.peers[name]; name != c.self.Name && (!known || p.unresponsive) {
			return false
		}
	}
	return true
}

// reviewWarmUps updates the share of this host in the requests that cold upstreams get, and
// starts a health check of each upstream whose state is unknown.
func (c *Core) reviewWarmUps(ctx context.Context, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.SetRegisteredHosts(c.self.Name, c.registeredHosts(now), now) // also without warm-ups: one may be configured later
	if !c.balancer.HasWarmUps() {
		return
	}
	for _, change := range c.balancer.ReviewWarmUps(now) {
		c.logWarmUp(change)
	}
	pinger, ok := c.connector.(Pinger)
	if !ok {
		return
	}
	for _, u := range c.balancer.DueColdChecks(now) {
		if path := c.config.Services[u.Service].HealthPath; path != "" {
			c.probes.Go(func() { c.checkColdState(ctx, pinger, u, path) })
		}
	}
}

func (c *Core) logWarmUp(change slots.WarmUpChange) {
	log := c.log.WithFields(logrus.Fields{
		"upstream": change.Upstream.ID, "service": change.Upstream.Service, "data_centre": change.Upstream.DataCentre,
		"source": change.Source, "age_ms": change.Age.Milliseconds(),
	})
	if change.Cold {
		log.WithFields(logrus.Fields{"event": "upstream_cold", "cold_ms": change.Left.Milliseconds(), "share": change.Share, "hosts": len(c.members)}).
			Info("upstream is cold; this host sends it no more requests in a second than its share")
		return
	}
	log.WithFields(logrus.Fields{"event": "upstream_warm", "lasted_ms": change.Lasted.Milliseconds(), "sent": change.Sent}).
		Info("upstream is no longer cold, or is out of reach")
}

// checkColdState asks an upstream for its remaining cold time. Without a response the next
// review asks again.
func (c *Core) checkColdState(ctx context.Context, pinger Pinger, u fleet.Upstream, path string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	health, err := pinger.Ping(ctx, u, path)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.logColdState("cold_state_unknown", "no response to a health check; the upstream counts as cold", u, logrus.Fields{"error": err})
		return
	}
	if health.Leaving {
		c.reportLeaving(u, "health_check")
	}
	c.reportColdLeft(u, health)
}

// reportColdLeft records the remaining cold time that a response to a health check states.
func (c *Core) reportColdLeft(u fleet.Upstream, health Health) {
	if !health.Started.IsZero() && health.Started.UnixMilli() != u.Started.UnixMilli() {
		return // another process responded
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if config := c.config; config == nil || !config.Services[u.Service].WarmUp.Applies() {
		return
	}
	c.balancer.ReportColdLeft(u, health.ColdLeft, time.Now())
	if health.ColdLeft == nil {
		c.logColdState("cold_state_unknown", "a health check states no valid remaining cold time; the upstream counts as cold for the whole time", u,
			logrus.Fields{"error": "the response states no remaining cold time"})
		return
	}
	c.logInvalidColdTime(u, *health.ColdLeft, "a health check states more than the cold time of the service; it counts as that")
	c.schedule()
}

// WarmUpStats returns the number of cold upstreams, and of the requests that this host has sent
// to cold upstreams since its start.
func (c *Core) WarmUpStats() (cold int, requests int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balancer.WarmUpStats()
}
