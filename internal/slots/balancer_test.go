package slots_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/slots"
)

var epoch = time.Unix(1000, 0)

func upstreams(n, slotsEach int) []fleet.Upstream {
	var list []fleet.Upstream
	for i := range n {
		list = append(list, fleet.Upstream{ID: fmt.Sprint("u", i), Service: "lm", Address: fmt.Sprint("a", i), DataCentre: fmt.Sprint("dc", i%3), Slots: slotsEach})
	}
	return list
}

func newBalancer(n, slotsEach int) *slots.Balancer {
	b := slots.NewBalancer("dc0", 1)
	b.SetUpstreams(upstreams(n, slotsEach))
	return b
}

func startOnline(b *slots.Balancer, now time.Time) (*slots.Run, bool) {
	id, ok := b.PlaceOnline("lm", nil, now)
	if !ok {
		return nil, false
	}
	r := &slots.Run{Upstream: id}
	b.Start(r)
	return r, true
}

func startBatch(b *slots.Balancer, due time.Time, now time.Time) (*slots.Run, bool) {
	id, ok := b.PlaceBatch("lm", slots.InTime, nil, now)
	if !ok {
		return nil, false
	}
	r := &slots.Run{Upstream: id, Batch: true, Due: due, Pause: func() {}}
	b.Start(r)
	return r, true
}

// TestPeakTakesSlotsFromBatch simulates a peak of online load while batch items
// fill all slots but the reserve: every online request starts at once, and no
// upstream has more requests than slots after the preemptions.
func TestPeakTakesSlotsFromBatch(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(9, 8)
	for {
		if _, ok := startBatch(b, epoch, epoch); !ok {
			break
		}
	}
	filled := b.Capacity("lm", epoch)
	c.Assert(filled.Free <= 3, qt.IsTrue, qt.Commentf("%+v", filled))
	for n := range 72 {
		_, ok := startOnline(b, epoch)
		c.Assert(ok, qt.IsTrue, qt.Commentf("request %d", n))
		for _, r := range b.PreemptBatch("h") {
			r.Pause()
		}
		c.Assert(b.Capacity("lm", epoch).Free >= 0, qt.IsTrue)
	}
	_, ok := startOnline(b, epoch)
	c.Assert(ok, qt.IsFalse)
	c.Assert(b.Capacity("lm", epoch).Batch, qt.Equals, 0)
}

// TestTwoHostsPreemptOneItem checks that two hosts with batch items at the same
// upstream preempt only one item for one online request.
func TestTwoHostsPreemptOneItem(t *testing.T) {
	c := qt.New(t)
	balancers := map[string]*slots.Balancer{"h1": newBalancer(1, 8), "h2": newBalancer(1, 8)}
	for _, b := range balancers {
		for range 4 {
			b.Start(&slots.Run{Upstream: "u0", Batch: true, Due: epoch, Pause: func() {}})
		}
	}
	balancers["h1"].SetPeerCounts("h2", balancers["h2"].OwnCounts())
	balancers["h2"].SetPeerCounts("h1", balancers["h1"].OwnCounts())
	for _, b := range balancers {
		b.SetPeerCounts("h3", map[string]slots.Counts{"u0": {Online: 1}})
	}
	preempted := 0
	for name, b := range balancers {
		preempted += len(b.PreemptBatch(name))
	}
	c.Assert(preempted, qt.Equals, 1)
}

// TestLatestDueIsPreempted checks that the item with the latest deadline is
// preempted, and that its later end does not change the counts again.
func TestLatestDueIsPreempted(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(1, 2)
	soon := &slots.Run{Upstream: "u0", Batch: true, Due: epoch.Add(time.Second)}
	late := &slots.Run{Upstream: "u0", Batch: true, Due: epoch.Add(time.Minute)}
	b.Start(soon)
	b.Start(late)
	b.Start(&slots.Run{Upstream: "u0"})
	preempted := b.PreemptBatch("h")
	c.Assert(preempted, qt.HasLen, 1)
	c.Assert(preempted[0] == late, qt.IsTrue)
	c.Assert(b.PreemptBatch("h"), qt.HasLen, 0)
	b.Finish(late) // the run ends after the preemption
	c.Assert(b.OwnCounts()["u0"], qt.Equals, slots.Counts{Online: 1, Batch: 1})
}

// TestNearlyDueItemKeepsItsSlot checks that a nearly due batch item counts as an
// online request and is not preempted.
func TestNearlyDueItemKeepsItsSlot(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(1, 1)
	id, ok := b.PlaceBatch("lm", slots.NearlyDue, nil, epoch)
	c.Assert(ok, qt.IsTrue)
	b.Start(&slots.Run{Upstream: id})
	_, ok = startOnline(b, epoch)
	c.Assert(ok, qt.IsFalse)
}

// TestFailedUpstreamIsAvoidedThenTriedAgain checks the backoff after a crash that
// lasts a few seconds.
func TestFailedUpstreamIsAvoidedThenTriedAgain(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(2, 8)
	b.ReportFailure("u0", epoch)
	for range 8 {
		r, ok := startOnline(b, epoch)
		c.Assert(ok, qt.IsTrue)
		c.Assert(r.Upstream, qt.Equals, "u1")
	}
	_, ok := startOnline(b, epoch)
	c.Assert(ok, qt.IsFalse)
	r, ok := startOnline(b, epoch.Add(2*time.Second))
	c.Assert(ok, qt.IsTrue)
	c.Assert(r.Upstream, qt.Equals, "u0")
}

func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(1, 8)
	list := upstreams(1, 8)
	list[0].Leaving = true
	b.SetUpstreams(list)
	_, ok := startOnline(b, epoch)
	c.Assert(ok, qt.IsFalse)
	c.Assert(b.HasRegistered("lm", nil), qt.IsFalse)
}

// TestReregisteredUpstreamKeepsCounts checks that runs at an upstream whose entry
// expired and was written again are still counted.
func TestReregisteredUpstreamKeepsCounts(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(1, 8)
	r, _ := startOnline(b, epoch)
	b.SetUpstreams(nil)
	b.SetUpstreams(upstreams(1, 8))
	c.Assert(b.OwnCounts()["u0"], qt.Equals, slots.Counts{Online: 1})
	b.Finish(r)
	c.Assert(b.OwnCounts(), qt.HasLen, 0)
}

// TestCountsAgainstModel compares the counts with a simple model after random
// sequences of starts and ends.
func TestCountsAgainstModel(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 0))
		b := newBalancer(4, 8)
		var runs []*slots.Run
		for range 300 {
			if len(runs) > 0 && random.IntN(3) == 0 {
				i := random.IntN(len(runs))
				b.Finish(runs[i])
				runs = append(runs[:i], runs[i+1:]...)
				continue
			}
			if r, ok := startOnline(b, epoch); ok {
				runs = append(runs, r)
			}
		}
		want := map[string]slots.Counts{}
		for _, r := range runs {
			c := want[r.Upstream]
			c.Online++
			want[r.Upstream] = c
		}
		qt.Assert(t, b.OwnCounts(), qt.DeepEquals, want)
	}
}

// TestUpstreamThatContinuesCancelledRequests simulates an engine that continues
// preempted items: while its reported load shows no free slots, requests go to
// other upstreams.
func TestUpstreamThatContinuesCancelledRequests(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(2, 8)
	b.ReportLoad("u0", 8, epoch)
	for range 8 {
		r, ok := startOnline(b, epoch)
		c.Assert(ok, qt.IsTrue)
		c.Assert(r.Upstream, qt.Equals, "u1")
	}
	_, ok := startOnline(b, epoch)
	c.Assert(ok, qt.IsFalse)
	_, ok = startOnline(b, epoch.Add(time.Second))
	c.Assert(ok, qt.IsTrue)
	b.ReportLoad("u1", 3, epoch) // fewer than the hosts count: nothing is unaccounted for
	c.Assert(b.Capacity("lm", epoch.Add(time.Second)).Free, qt.Equals, 7)
}

// TestPlacementSpreads checks that requests go to the upstreams with the most free
// slots, and among equals to those in the host's data centre.
func TestPlacementSpreads(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(9, 8)
	for range 36 {
		_, ok := startOnline(b, epoch)
		c.Assert(ok, qt.IsTrue)
	}
	for id, n := range b.OwnCounts() {
		c.Assert(n.Online >= 3 && n.Online <= 6, qt.IsTrue, qt.Commentf("%s has %d", id, n.Online))
	}
}
