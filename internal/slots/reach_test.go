package slots_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/slots"
)

const probeInterval = 600 * time.Millisecond

// TestPartitionedDataCentresGetNoRequests simulates a partition in which all hosts
// of the other data centres are unresponsive: no request waits for a connection
// across the partition, and the intervals between probes grow.
func TestPartitionedDataCentresGetNoRequests(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(9, 8) // 24 slots in each data centre
	b.SetUnresponsiveDataCentres(map[string]bool{"dc1": true, "dc2": true})
	for range 24 {
		r, ok := startOnline(b, epoch)
		c.Assert(ok, qt.IsTrue)
		c.Assert(dataCentreOf(b, r), qt.Equals, "dc0")
	}
	_, ok := startOnline(b, epoch)
	c.Assert(ok, qt.IsFalse)
	probes := 0
	for now := epoch; now.Before(epoch.Add(12 * time.Second)); now = now.Add(100 * time.Millisecond) {
		for _, u := range b.DueProbes(now, probeInterval) {
			probes++
			b.ReportUnreachable(u.ID, now.Add(500*time.Millisecond))
		}
		_, ok := startOnline(b, now)
		c.Assert(ok, qt.IsFalse)
	}
	c.Assert(probes <= 6*8, qt.IsTrue, qt.Commentf("%d connections", probes))
	end := epoch.Add(12 * time.Second)
	b.SetUnresponsiveDataCentres(map[string]bool{"dc2": true}) // the partition from dc1 has ended
	for _, u := range b.DueProbes(end, probeInterval) {
		if u.DataCentre == "dc1" {
			c.Assert(b.ReportReachable(u.ID), qt.IsTrue)
			c.Assert(b.ReportReachable(u.ID), qt.IsFalse)
		}
	}
	for range 24 {
		r, ok := startOnline(b, end)
		c.Assert(ok, qt.IsTrue)
		c.Assert(dataCentreOf(b, r), qt.Equals, "dc1")
	}
}

// TestUpstreamsStayInUseWhenTheirHostsFail simulates the loss of all hosts of a data
// centre whose upstreams still run: these get requests again as soon as a connection
// succeeds.
func TestUpstreamsStayInUseWhenTheirHostsFail(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(9, 8)
	b.SetUnresponsiveDataCentres(map[string]bool{"dc1": true})
	c.Assert(b.Capacity("lm", epoch).Upstreams, qt.Equals, 6)
	due := b.DueProbes(epoch, probeInterval)
	c.Assert(due, qt.HasLen, 3)
	c.Assert(b.DueProbes(epoch.Add(probeInterval/2), probeInterval), qt.HasLen, 0) // the probes are in flight
	for _, u := range due {
		b.ReportReachable(u.ID)
	}
	c.Assert(b.Capacity("lm", epoch).Upstreams, qt.Equals, 9)
	b.SetUnresponsiveDataCentres(map[string]bool{"dc1": true}) // unchanged
	c.Assert(b.Capacity("lm", epoch).Upstreams, qt.Equals, 9)
}

// TestUnreachableUpstreamCostsOneRequest simulates an upstream that this host can't
// reach for 30 s: no request is sent there after the first failed one.
func TestUnreachableUpstreamCostsOneRequest(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(2, 8)
	b.ReportUnreachable("u0", epoch)
	for now := epoch; now.Before(epoch.Add(30 * time.Second)); now = now.Add(100 * time.Millisecond) {
		for _, u := range b.DueProbes(now, probeInterval) {
			b.ReportUnreachable(u.ID, now)
		}
		r, ok := startOnline(b, now)
		c.Assert(ok, qt.IsTrue)
		c.Assert(r.Upstream, qt.Equals, "u1")
		b.Finish(r)
	}
	list := upstreams(2, 8)
	list[0].Started = epoch // another instance
	b.SetUpstreams(list)
	c.Assert(b.Capacity("lm", epoch).Upstreams, qt.Equals, 2)
}

func dataCentreOf(b *slots.Balancer, r *slots.Run) string {
	u, _ := b.Upstream(r.Upstream)
	return u.DataCentre
}
