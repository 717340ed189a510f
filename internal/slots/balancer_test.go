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

func board(n, slotsEach int) *slots.Balancer {
	b := slots.NewBalancer("dc0", 1)
	b.SetUpstreams(upstreams(n, slotsEach))
	return b
}

func online(b *slots.Balancer, now time.Time) (*slots.Run, bool) {
	id, ok := b.PlaceOnline("lm", nil, now)
	if !ok {
		return nil, false
	}
	r := &slots.Run{Upstream: id}
	b.Start(r)
	return r, true
}

func item(b *slots.Balancer, due time.Time, now time.Time) (*slots.Run, bool) {
	id, ok := b.PlaceBatch("lm", false, now)
	if !ok {
		return nil, false
	}
	r := &slots.Run{Upstream: id, Batch: true, Due: due, Pause: func() {}}
	b.Start(r)
	return r, true
}

// TestPeakTakesSlotsFromBatch replays a peak that comes when batch items fill
// all that a trough has left: every online request starts at once, and no
// upstream gets more requests than it has slots once the items have paused.
func TestPeakTakesSlotsFromBatch(t *testing.T) {
	c := qt.New(t)
	b := board(9, 8)
	for {
		if _, ok := item(b, epoch, epoch); !ok {
			break
		}
	}
	filled := b.Capacity("lm", epoch)
	c.Assert(filled.Free <= 3, qt.IsTrue, qt.Commentf("%+v", filled))
	for n := range 72 {
		_, ok := online(b, epoch)
		c.Assert(ok, qt.IsTrue, qt.Commentf("request %d", n))
		for _, r := range b.PreemptBatch("h") {
			r.Pause()
		}
		c.Assert(b.Capacity("lm", epoch).Free >= 0, qt.IsTrue)
	}
	_, ok := online(b, epoch)
	c.Assert(ok, qt.IsFalse)
	c.Assert(b.Capacity("lm", epoch).Batch, qt.Equals, 0)
}

// TestTwoHostsPauseOneItem checks that of two hosts whose items share an
// upstream only one gives a slot back for one request.
func TestTwoHostsPauseOneItem(t *testing.T) {
	c := qt.New(t)
	boards := map[string]*slots.Balancer{"h1": board(1, 8), "h2": board(1, 8)}
	for _, b := range boards {
		for range 4 {
			b.Start(&slots.Run{Upstream: "u0", Batch: true, Due: epoch, Pause: func() {}})
		}
	}
	boards["h1"].SetPeerCounts("h2", boards["h2"].OwnCounts())
	boards["h2"].SetPeerCounts("h1", boards["h1"].OwnCounts())
	for _, b := range boards {
		b.SetPeerCounts("h3", map[string]slots.Counts{"u0": {Online: 1}})
	}
	paused := 0
	for name, b := range boards {
		paused += len(b.PreemptBatch(name))
	}
	c.Assert(paused, qt.Equals, 1)
}

// TestLatestDueIsPaused checks which item gives its slot back.
func TestLatestDueIsPaused(t *testing.T) {
	c := qt.New(t)
	b := board(1, 2)
	soon := &slots.Run{Upstream: "u0", Batch: true, Due: epoch.Add(time.Second)}
	late := &slots.Run{Upstream: "u0", Batch: true, Due: epoch.Add(time.Minute)}
	b.Start(soon)
	b.Start(late)
	b.Start(&slots.Run{Upstream: "u0"})
	paused := b.PreemptBatch("h")
	c.Assert(paused, qt.HasLen, 1)
	c.Assert(paused[0] == late, qt.IsTrue)
	c.Assert(b.PreemptBatch("h"), qt.HasLen, 0)
	b.Finish(late) // its run ends later
	c.Assert(b.OwnCounts()["u0"], qt.Equals, slots.Counts{Online: 1, Batch: 1})
}

// TestNearlyDueItemKeepsItsSlot checks that a run which isn't pausable counts
// like an online request.
func TestNearlyDueItemKeepsItsSlot(t *testing.T) {
	c := qt.New(t)
	b := board(1, 1)
	id, ok := b.PlaceBatch("lm", true, epoch)
	c.Assert(ok, qt.IsTrue)
	b.Start(&slots.Run{Upstream: id})
	_, ok = online(b, epoch)
	c.Assert(ok, qt.IsFalse)
}

// TestFailedUpstreamIsAvoidedThenTriedAgain replays a crash of seconds.
func TestFailedUpstreamIsAvoidedThenTriedAgain(t *testing.T) {
	c := qt.New(t)
	b := board(2, 8)
	b.ReportFailure("u0", epoch)
	for range 8 {
		r, ok := online(b, epoch)
		c.Assert(ok, qt.IsTrue)
		c.Assert(r.Upstream, qt.Equals, "u1")
	}
	_, ok := online(b, epoch)
	c.Assert(ok, qt.IsFalse)
	r, ok := online(b, epoch.Add(2*time.Second))
	c.Assert(ok, qt.IsTrue)
	c.Assert(r.Upstream, qt.Equals, "u0")
}

func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	c := qt.New(t)
	b := board(1, 8)
	list := upstreams(1, 8)
	list[0].Leaving = true
	b.SetUpstreams(list)
	_, ok := online(b, epoch)
	c.Assert(ok, qt.IsFalse)
	c.Assert(b.CountRegistered("lm"), qt.Equals, 0)
}

// TestListedAgain checks that the runs at an upstream whose entry lapsed for a
// while are still counted.
func TestListedAgain(t *testing.T) {
	c := qt.New(t)
	b := board(1, 8)
	r, _ := online(b, epoch)
	b.SetUpstreams(nil)
	b.SetUpstreams(upstreams(1, 8))
	c.Assert(b.OwnCounts()["u0"], qt.Equals, slots.Counts{Online: 1})
	b.Finish(r)
	c.Assert(b.OwnCounts(), qt.HasLen, 0)
}

// TestCountsAgainstModel checks the counts after random histories.
func TestCountsAgainstModel(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 0))
		b := board(4, 8)
		var runs []*slots.Run
		for range 300 {
			if len(runs) > 0 && random.IntN(3) == 0 {
				i := random.IntN(len(runs))
				b.Finish(runs[i])
				runs = append(runs[:i], runs[i+1:]...)
				continue
			}
			if r, ok := online(b, epoch); ok {
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

// TestUpstreamThatGoesOnAfterACancel replays an engine that keeps working on
// paused items: while it tells that its slots are taken, requests go elsewhere.
func TestUpstreamThatGoesOnAfterACancel(t *testing.T) {
	c := qt.New(t)
	b := board(2, 8)
	b.ReportLoad("u0", 8, epoch)
	for range 8 {
		r, ok := online(b, epoch)
		c.Assert(ok, qt.IsTrue)
		c.Assert(r.Upstream, qt.Equals, "u1")
	}
	_, ok := online(b, epoch)
	c.Assert(ok, qt.IsFalse)
	_, ok = online(b, epoch.Add(time.Second))
	c.Assert(ok, qt.IsTrue)
	b.ReportLoad("u1", 3, epoch) // fewer than are known: nothing is hidden
	c.Assert(b.Capacity("lm", epoch.Add(time.Second)).Free, qt.Equals, 7)
}

// TestPlacementSpreads checks that requests fill the emptiest upstreams first,
// and the own data centre's among equals.
func TestPlacementSpreads(t *testing.T) {
	c := qt.New(t)
	b := board(9, 8)
	for range 36 {
		_, ok := online(b, epoch)
		c.Assert(ok, qt.IsTrue)
	}
	for id, n := range b.OwnCounts() {
		c.Assert(n.Online >= 3 && n.Online <= 6, qt.IsTrue, qt.Commentf("%s has %d", id, n.Online))
	}
}
