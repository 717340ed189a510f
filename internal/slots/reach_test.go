package slots_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/slots"
)

const probeTime = 600 * time.Millisecond

// TestCutDataCentresGetNoWork replays a cut: this host hears none of the other
// data centres' hosts. No request waits for a connection beyond the cut, and the
// connections that are tried come further and further apart.
func TestCutDataCentresGetNoWork(t *testing.T) {
	c := qt.New(t)
	b := board(9, 8) // 24 slots in each data centre
	b.SetUnresponsiveDataCentres(map[string]bool{"dc1": true, "dc2": true})
	for range 24 {
		r, ok := online(b, epoch)
		c.Assert(ok, qt.IsTrue)
		c.Assert(dataCentreOf(b, r), qt.Equals, "dc0")
	}
	_, ok := online(b, epoch)
	c.Assert(ok, qt.IsFalse)
	tried := 0
	for now := epoch; now.Before(epoch.Add(12 * time.Second)); now = now.Add(100 * time.Millisecond) {
		for _, u := range b.DueProbes(now, probeTime) {
			tried++
			b.ReportUnreachable(u.ID, now.Add(500*time.Millisecond))
		}
		_, ok := online(b, now)
		c.Assert(ok, qt.IsFalse)
	}
	c.Assert(tried <= 6*8, qt.IsTrue, qt.Commentf("%d connections", tried))
	end := epoch.Add(12 * time.Second)
	b.SetUnresponsiveDataCentres(map[string]bool{"dc2": true}) // the cut has healed for one
	for _, u := range b.DueProbes(end, probeTime) {
		if u.DataCentre == "dc1" {
			c.Assert(b.ReportReachable(u.ID), qt.IsTrue)
			c.Assert(b.ReportReachable(u.ID), qt.IsFalse)
		}
	}
	for range 24 {
		r, ok := online(b, end)
		c.Assert(ok, qt.IsTrue)
		c.Assert(dataCentreOf(b, r), qt.Equals, "dc1")
	}
}

// TestLostHostsLeaveTheirUpstreams replays the loss of all hosts of a data centre
// whose upstreams live on: they get work again as soon as a connection was made.
func TestLostHostsLeaveTheirUpstreams(t *testing.T) {
	c := qt.New(t)
	b := board(9, 8)
	b.SetUnresponsiveDataCentres(map[string]bool{"dc1": true})
	c.Assert(b.Capacity("lm", epoch).Upstreams, qt.Equals, 6)
	due := b.DueProbes(epoch, probeTime)
	c.Assert(due, qt.HasLen, 3)
	c.Assert(b.DueProbes(epoch.Add(probeTime/2), probeTime), qt.HasLen, 0) // they are under way
	for _, u := range due {
		b.ReportReachable(u.ID)
	}
	c.Assert(b.Capacity("lm", epoch).Upstreams, qt.Equals, 9)
	b.SetUnresponsiveDataCentres(map[string]bool{"dc1": true}) // nothing has changed
	c.Assert(b.Capacity("lm", epoch).Upstreams, qt.Equals, 9)
}

// TestCutOffUpstreamCostsOneRequest replays an upstream that this host can't reach
// for half a minute: after the first request that fails none is sent there.
func TestCutOffUpstreamCostsOneRequest(t *testing.T) {
	c := qt.New(t)
	b := board(2, 8)
	b.ReportUnreachable("u0", epoch)
	for now := epoch; now.Before(epoch.Add(30 * time.Second)); now = now.Add(100 * time.Millisecond) {
		for _, u := range b.DueProbes(now, probeTime) {
			b.ReportUnreachable(u.ID, now)
		}
		r, ok := online(b, now)
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
