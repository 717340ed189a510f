package slots

import (
	"time"

	"github.com/masticscale/masticscale/internal/fleet"
)

// An upstream that could not be reached gets no requests until a connection to it
// succeeds. During a network partition, each request sent to an upstream on the
// other side would take a connection timeout, longer than callers want to wait,
// and every host would make such attempts again and again. Connections are
// therefore probed independently of requests; see DueProbes.

// ReportUnreachable records that a connection failed or no response came.
func (b *Balancer) ReportUnreachable(id string, now time.Time) {
	if u, ok := b.upstreams[id]; ok {
		u.backOff(now)
		u.unreachable = true
		u.warmUp.evaluate(u, now)
	}
}

// ReportReachable records that a connection succeeded. It reports whether the
// upstream was unreachable before.
func (b *Balancer) ReportReachable(id string) bool {
	u, ok := b.upstreams[id]
	if !ok || !u.unreachable {
		return false
	}
	u.markReachable()
	u.backoffUntil = time.Time{}
	return true
}

// markReachable records that the upstream was reached. If it was unreachable, it may have
// become cold since.
func (u *upstream) markReachable() {
	u.warmUp.regained = u.warmUp.regained || u.unreachable
	u.unreachable = false
}

// SetUnresponsiveDataCentres sets the data centres whose hosts are all
// unresponsive, because of a partition or because the hosts alone failed. Their
// upstreams get no requests until a connection succeeds, and are probed at once
// when hosts there respond again.
func (b *Balancer) SetUnresponsiveDataCentres(dataCentres map[string]bool) {
	for _, u := range b.ordered() {
		was, is := b.unresponsive[u.DataCentre], dataCentres[u.DataCentre]
		if is && !was {
			u.unreachable = true
		}
		if is != was && u.unreachable {
			u.backoffUntil = time.Time{}
		}
	}
	b.unresponsive = dataCentres
}

// DueProbes returns the upstreams to probe with a connection now. Each is due
// again after the interval, unless ReportUnreachable or ReportReachable is called
// before.
func (b *Balancer) DueProbes(now time.Time, interval time.Duration) []fleet.Upstream {
	var due []fleet.Upstream
	for _, u := range b.ordered() {
		if u.unreachable && !u.isLeaving() && !now.Before(u.backoffUntil) {
			u.backoffUntil = now.Add(interval)
			due = append(due, u.Upstream)
		}
	}
	return due
}
