package slots_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/slots"
)

// TestPlacementIgnoresAnnouncement guards against a way to place a request at an upstream
// that has announced that it leaves, as a last resort or for want of another.
func TestPlacementIgnoresAnnouncement(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	list := upstreams(1, 8)
	for name, prepare := range map[string]func(b *slots.Balancer){
		"alone":         func(*slots.Balancer) {},
		"in no cell":    func(b *slots.Balancer) { b.SetCell(map[string]bool{}, map[string]bool{list[0].ID: true}) },
		"ejected":       func(b *slots.Balancer) { failRuns(b, list[0].ID, now) },
		"in a backoff":  func(b *slots.Balancer) { b.ReportFailure(list[0].ID, now.Add(-time.Minute)) },
		"has responded": func(b *slots.Balancer) { b.ReportSuccess(list[0].ID) },
		"connected": func(b *slots.Balancer) {
			b.ReportUnreachable(list[0].ID, now.Add(-time.Minute))
			b.ReportReachable(list[0].ID)
		},
	} {
		b := slots.NewBalancer("dc", 1)
		b.SetUpstreams(list)
		c.Assert(b.ReportLeaving(list[0], now), qt.IsTrue)
		c.Assert(b.ReportLeaving(list[0], now), qt.IsFalse)
		prepare(b)
		placed := map[string]bool{}
		_, placed["online"] = b.PlaceOnline(list[0].Service, nil, now)
		_, placed["batch"] = b.PlaceBatch(list[0].Service, slots.InTime, nil, now)
		_, placed["batch, nearly due"] = b.PlaceBatch(list[0].Service, slots.NearlyDue, nil, now)
		_, placed["move"] = b.PlaceMove(list[0].Service, nil, 2*time.Second, now)
		for kind, ok := range placed {
			c.Check(ok, qt.IsFalse, qt.Commentf("%s: %s", name, kind))
		}
		c.Check(b.Capacity(list[0].Service, now), qt.Equals, slots.Capacity{}, qt.Commentf("%s", name))
		c.Check(b.HasRegistered(list[0].Service, nil), qt.IsFalse, qt.Commentf("%s", name))
	}
}

// failRuns ejects the upstream, if that is possible.
func failRuns(b *slots.Balancer, id string, now time.Time) {
	for range 8 {
		b.ReportRunResult(id, true, now)
	}
}

// TestCellOfLeavingUpstreamsHoldsUpItems guards against items that wait for the upstreams of
// their cell, though all of these have announced that they leave.
func TestCellOfLeavingUpstreamsHoldsUpItems(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newBalancer(2, 8)
	list := upstreams(2, 8)
	b.SetCell(map[string]bool{list[0].ID: true}, nil)
	b.ReportFull(list[0].ID, now)
	_, ok := b.PlaceBatch(list[0].Service, slots.InTime, nil, now)
	c.Assert(ok, qt.IsFalse)
	b.ReportLeaving(list[0], now)
	id, ok := b.PlaceBatch(list[0].Service, slots.InTime, nil, now)
	c.Assert(ok, qt.IsTrue)
	c.Assert(id, qt.Equals, list[1].ID)
}

// TestLeavingUpstreamIsProbed guards against connections that are made for requests to an
// upstream that gets none any more.
func TestLeavingUpstreamIsProbed(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newBalancer(1, 8)
	list := upstreams(1, 8)
	b.ReportUnreachable(list[0].ID, now)
	now = now.Add(time.Minute)
	b.ReportLeaving(list[0], now)
	c.Assert(b.DueProbes(now, time.Second), qt.HasLen, 0)
}

// TestAnnouncementsTakeMemoryForGood guards against a record of each upstream that has ever
// left. As long as an entry may return, its announcement holds.
func TestAnnouncementsTakeMemoryForGood(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := slots.NewBalancer("dc", 1)
	gone := fleet.Upstream{ID: "gone", Service: "lm", Started: now}
	stays := fleet.Upstream{ID: "stays", Service: "lm", Started: now}
	restarts := fleet.Upstream{ID: "restarts", Service: "lm", Started: now}
	list := []fleet.Upstream{gone, stays, restarts}
	b.SetUpstreams(list)
	for _, u := range list {
		b.ReportLeaving(u, now)
	}
	restarted := restarts
	restarted.Started = now.Add(time.Second)
	b.SetUpstreams([]fleet.Upstream{stays, restarted})
	var known []string
	for range 20 {
		now = now.Add(time.Minute)
		b.ForgetAnnouncements(now)
		held := ""
		for _, u := range list {
			if b.HasAnnouncedLeaving(u) {
				held += " " + u.ID
			}
		}
		known = append(known, held)
	}
	c.Assert(known[8], qt.Equals, " gone stays restarts")
	c.Assert(known[19], qt.Equals, " stays", qt.Commentf("%v", known))
	b.ForgetAnnouncements(now.Add(time.Hour)) // by a host that was suspended
	c.Assert(b.HasAnnouncedLeaving(stays), qt.IsTrue)
}

// TestAnyHistoryUsesLeavingProcess guards against an order of announcements and changes of
// the registry after which a process that has announced that it leaves gets requests, or
// another one gets none.
func TestAnyHistoryUsesLeavingProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0) // before the starts: no announcement can be that of a later start
		b := slots.NewBalancer("dc", 1)
		registered := map[string]fleet.Upstream{}
		announced := map[fleet.Upstream]bool{}
		drawn := rapid.Custom(func(t *rapid.T) fleet.Upstream {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			start := rapid.IntRange(1, 3).Draw(t, "start")
			return fleet.Upstream{ID: id, Service: "lm", Slots: 8, Started: time.Unix(1_000_000+int64(start), 0)}
		})
		t.Repeat(map[string]func(*rapid.T){
			"register": func(t *rapid.T) {
				u := drawn.Draw(t, "upstream")
				b.PutUpstream(u)
				registered[u.ID] = u
			},
			"remove": func(t *rapid.T) {
				id := drawn.Draw(t, "upstream").ID
				b.RemoveUpstream(id)
				delete(registered, id)
			},
			"list": func(t *rapid.T) {
				list := rapid.SliceOfNDistinct(drawn, 0, 3, func(u fleet.Upstream) string { return u.ID }).Draw(t, "list")
				b.SetUpstreams(list)
				clear(registered)
				for _, u := range list {
					registered[u.ID] = u
				}
			},
			"announce": func(t *rapid.T) {
				u := drawn.Draw(t, "upstream")
				b.ReportLeaving(u, now)
				announced[u] = true
			},
			"review": func(*rapid.T) {
				now = now.Add(time.Second)
				b.ForgetAnnouncements(now)
			},
			"": func(t *rapid.T) {
				usable := map[string]bool{}
				for id, u := range registered {
					usable[id] = !announced[u]
				}
				for id := range registered {
					others := map[string]bool{"a": true, "b": true, "c": true}
					delete(others, id)
					if _, placed := b.PlaceOnline("lm", others, now); placed != usable[id] {
						t.Fatalf("%s: placed is %v", id, placed)
					}
				}
			},
		})
	})
}
