package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/fleet"
)

// reportLeaving records that an upstream has announced that it shuts down, in a response of
// the given kind. It takes effect at once, also if the registry can't be read.
func (c *Core) reportLeaving(u fleet.Upstream, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.balancer.ReportLeaving(u, time.Now()) {
		c.logLeaving(u, source)
	}
	c.reviewQueue()
}

// logLeaving logs the first announcement of an upstream. The caller must hold mu.
func (c *Core) logLeaving(u fleet.Upstream, source string) {
	entry, registered := c.balancer.Upstream(u.ID)
	c.log.WithFields(logrus.Fields{
		"event": "upstream_leaving", "upstream": u.ID, "source": source, "started": u.Started.UTC().Format(time.RFC3339Nano),
		"registered": registered, "registered_leaving": entry.Leaving,
	}).Info("upstream announced that it shuts down; it gets no new requests")
}

// forgetAnnouncements removes the announcements of upstreams that are long gone.
func (c *Core) forgetAnnouncements(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.ForgetAnnouncements(now)
}

// isLeaving reports whether the registry says that the upstream leaves, or its process has
// announced so. The caller must hold mu.
func (c *Core) isLeaving(u fleet.Upstream) bool {
	return u.Leaving || c.balancer.HasAnnouncedLeaving(u)
}
