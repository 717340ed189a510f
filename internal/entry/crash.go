package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/quarantine"
)

// FingerprintOf returns the fingerprint of a request's content. A request that is sent
// again has the same fingerprint, whatever its id.
func FingerprintOf(team, method, host, target string, body []byte) quarantine.Fingerprint {
	return quarantine.FingerprintOf(nil, body, team, method, host, target)
}

func (r *request) fingerprint() quarantine.Fingerprint {
	return FingerprintOf(r.team.Name, r.Method, r.Host, r.Target, r.Body)
}

// logEndedUpstreams logs the upstreams that the new list lacks or lists with another
// start time. The caller must hold mu.
func (c *Core) logEndedUpstreams(list []fleet.Upstream) {
	next := make(map[string]fleet.Upstream, len(list))
	for _, u := range list {
		next[u.ID] = u
	}
	for _, u := range c.upstreams {
		now, listed := next[u.ID]
		if listed && now.Started.Equal(u.Started) {
			continue
		}
		c.log.WithFields(logrus.Fields{
			"event": "upstream_ended", "upstream": u.ID, "address": u.Address, "was_leaving": u.Leaving,
			"restarted": listed, "started": u.Started.UTC().Format(time.RFC3339Nano),
		}).Info("upstream left the registry, or another process has taken its place")
	}
}
