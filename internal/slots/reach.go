package slots

import (
	"time"

	"github.com/masticscale/masticscale/internal/fleet"
)

// An upstream that could not be reached gets no work until a connection to it
// was made. It answers upstreams and data centres that are cut off: an attempt at
// one costs its request a connection timeout, which is longer than callers want to
// wait, and a cut that lasts is met by every host again and again. Connections
// are tried beside the requests; see DueProbes.

// ReportUnreachable notes that no answer came from an upstream, or no connection.
func (b *Balancer) ReportUnreachable(id string, now time.Time) {
	if u, ok := b.upstreams[id]; ok {
		u.fail(now)
		u.unreached = true
	}
}

// ReportReachable notes that a connection to an upstream was made. It reports whether
// there was none before.
func (b *Balancer) ReportReachable(id string) bool {
	u, ok := b.upstreams[id]
	if !ok || !u.unreached {
		return false
	}
	u.unreached = false
	u.downUntil = time.Time{}
	return true
}

// SetUnresponsiveDataCentres sets the data centres that have hosts none of which is heard: they
// are cut off, or only their hosts are gone. Their upstreams get no work until
// connections were made, and are tried at once when hosts there are heard again.
func (b *Balancer) SetUnresponsiveDataCentres(dataCentres map[string]bool) {
	for _, u := range b.upstreams {
		was, is := b.unheard[u.DataCentre], dataCentres[u.DataCentre]
		if is && !was {
			u.unreached = true
		}
		if is != was && u.unreached {
			u.downUntil = time.Time{}
		}
	}
	b.unheard = dataCentres
}

// DueProbes returns the upstreams to which a connection is to be tried now. Each
// is due again after the time, unless Unreached or Reached tells the outcome
// before.
func (b *Balancer) DueProbes(now time.Time, again time.Duration) []fleet.Upstream {
	var due []fleet.Upstream
	for _, u := range b.upstreams {
		if u.unreached && !u.Leaving && !now.Before(u.downUntil) {
			u.downUntil = now.Add(again)
			due = append(due, u.Upstream)
		}
	}
	return due
}
