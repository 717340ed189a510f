package dispatch

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/upstream"
)

func newTestPool(upstreams ...string) *Pool {
	p := NewPool()
	p.Apply(snapshotOf(upstreams...))
	return p
}

func TestNewestBatchRequestYieldsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := newTestPool("e1")
		var batch []*Slot
		for range 6 {
			batch = append(batch, reserve(t, p, Batch, 1)...)
			time.Sleep(time.Second)
		}
		reserve(t, p, Online, 1)
		c.Assert(batch[5].Preempted(), qt.IsFalse)
		reserve(t, p, Online, 1)
		c.Assert(batch[5].Preempted(), qt.IsTrue)
		c.Assert(batch[4].Preempted(), qt.IsFalse)
	})
}

func TestBatchGivesUpAYoungPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := newTestPool("e1")
		for _, o := range reserve(t, p, Online, 1) {
			p.served(o, 2*time.Second) // the usual time to the first byte: 0.2 s
			o.Release(false)
		}
		old := reserve(t, p, Batch, 1)[0]
		time.Sleep(time.Second)
		young := reserve(t, p, Batch, 1)[0]
		time.Sleep(time.Millisecond)
		reserve(t, p, Online, 1)
		c.Assert(young.Preempted(), qt.IsTrue)
		c.Assert(old.Preempted(), qt.IsFalse)
	})
}

func TestYieldedAnswerIsNoFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet()
		f.gate = make(chan struct{})
		h := newHosts(f, 1, "e1")[0]
		ended := make(chan error, 1)
		go func() {
			_, err := h.run(context.Background(), Batch, "item")
			ended <- err
		}()
		synctest.Wait()
		reserve(t, h.pool, Online, testSlots)
		c.Assert(<-ended, qt.ErrorIs, ErrPreempted)
		c.Assert(h.pool.Statuses()[0].State, qt.Equals, "live")
		c.Assert(f.attempts, qt.Equals, 1)
	})
}

func TestBatchCountsOtherHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := newTestPool("e1")
		p.RecordPeerLoad("other", idOf("e1"), PeerLoad{Batch: 4, At: time.Now()})
		reserve(t, p, Batch, 2)
		_, ok := p.Reserve(SlotRequest{Service: testService, Class: Batch})
		c.Assert(ok, qt.IsFalse)
		time.Sleep(2 * peerLifetime)
		reserve(t, p, Batch, 4)
	})
}

func TestOtherHostsMakeRoomForArrivals(t *testing.T) {
	c := qt.New(t)
	runner, other := newTestPool("e1"), newTestPool("e1")
	hosts := map[string][]BatchHost{testService: {{Name: "runner"}}}
	runner.SetBatchHosts("runner", hosts)
	other.SetBatchHosts("other", hosts)
	other.OnArrived(func(id upstream.ID, to []string, _ int) {
		c.Assert(to, qt.DeepEquals, []string{"runner"})
		runner.RecordArrivals("other", id, 1)
	})
	reserve(t, runner, Batch, 6)
	for n := range testSlots {
		reserve(t, other, Online, 1)
		s := runner.Statuses()[0]
		c.Assert(s.Batch+n+1 <= testSlots, qt.IsTrue, qt.Commentf("%d online, %+v", n+1, s))
	}
}

func TestBusyReportMakesBatchYield(t *testing.T) {
	c := qt.New(t)
	p := newTestPool("e1")
	batch := reserve(t, p, Batch, 4)
	p.RecordReport(idOf("e1"), upstream.Load{Running: testSlots, Waiting: 3}, time.Now())
	yielded := 0
	for _, b := range batch {
		if b.Preempted() {
			yielded++
		}
	}
	c.Assert(yielded, qt.Equals, 3) // as many as wait
}

func TestChoosesWhereThisHostRunsLeast(t *testing.T) {
	c := qt.New(t)
	p := newTestPool("e1", "e2", "e3")
	// Reports that lag say the opposite.
	p.RecordReport(idOf("e1"), upstream.Load{Running: 2}, time.Now())
	reserve(t, p, Online, 12)
	for _, s := range p.Statuses() {
		c.Assert(s.Online, qt.Equals, 4, qt.Commentf("%+v", s))
	}
}

func TestLoadIsCorrectedForLag(t *testing.T) {
	c := qt.New(t)
	p := newTestPool("e1")
	p.RecordReport(idOf("e1"), upstream.Load{Running: 6}, time.Now())
	places := reserve(t, p, Online, 2)
	_, ok := p.Reserve(SlotRequest{Service: testService, Class: Online})
	c.Assert(ok, qt.IsFalse)
	places[0].Release(false)
	reserve(t, p, Online, 1)
}

func TestSharesNeverExceedTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []string
		for i := range rapid.IntRange(1, 48).Draw(t, "hosts") {
			hosts = append(hosts, fmt.Sprintf("h%d", i))
		}
		var ids []upstream.ID
		for i := range rapid.IntRange(1, 20).Draw(t, "upstreams") {
			ids = append(ids, idOf(fmt.Sprintf("e%d", i)))
		}
		slots := rapid.IntRange(1, 64).Draw(t, "slots")
		has := map[string]bool{}
		for _, id := range ids {
			list := assign(ids, hosts)[id]
			assigned, rendezvous := 0, 0
			for _, h := range hosts {
				assigned += assignedShare(h, list, slots)
				rendezvous += rendezvousShare(h, hosts, id.String(), slots)
				has[h] = has[h] || slices.Contains(list, h)
			}
			if assigned != slots || rendezvous != slots {
				t.Fatalf("shares sum to %d and %d, want %d", assigned, rendezvous, slots)
			}
			if len(list) != 1 && len(hosts) <= len(ids) {
				t.Fatalf("%v run batch at %s", list, id)
			}
		}
		if len(has) != len(hosts) {
			t.Fatalf("only %d of %d hosts can run batch", len(has), len(hosts))
		}
	})
}

func TestReleaseAfterTheAddressChanged(t *testing.T) {
	c := qt.New(t)
	p := newTestPool("e1")
	place := reserve(t, p, Online, 1)[0]
	s := snapshotOf("e1")
	s.Services[testService].Upstreams["e1"] = upstream.Spec{Address: "http://elsewhere", Slots: testSlots}
	p.Apply(s)
	place.Release(false)
	c.Assert(p.Statuses()[0].Online, qt.Equals, 0)
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	for name, leave := range map[string]func(*Pool){
		"host list":    func(p *Pool) { p.MarkLeaving(map[string]bool{"e1": true}) },
		"health check": func(p *Pool) { p.Observe(idOf("e1"), upstream.Draining) },
		"peer's hint": func(p *Pool) {
			p.Merge(LoadRow{Host: "other", At: time.Now(), Upstreams: []UpstreamLoad{{ID: idOf("e1"), Leaving: true}}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newTestPool("e1", "e2")
			held := reserve(t, p, Online, 6)
			leave(p)
			for _, class := range []Class{Online, Batch} {
				for range 4 {
					place, ok := p.Reserve(SlotRequest{Service: testService, Class: class})
					c.Assert(ok, qt.IsTrue)
					c.Assert(place.ID, qt.Equals, idOf("e2"))
					place.Release(false)
				}
			}
			for _, h := range held {
				c.Assert(h.Preempted(), qt.IsFalse)
			}
		})
	}
}

func TestUpstreamThatStaysIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool("e1")
		p.Observe(idOf("e1"), upstream.Draining)
		p.HintLeaving(idOf("e1"), time.Now())
		p.Observe(idOf("e1"), upstream.Alive)
		time.Sleep(2 * hintLifetime)
		reserve(t, p, Online, 1)
	})
}

func TestHintsAreNotPassedOn(t *testing.T) {
	c := qt.New(t)
	p := newTestPool("e1")
	p.HintLeaving(idOf("e1"), time.Now())
	c.Assert(p.ownRow(time.Now()), qt.HasLen, 0)
	p.Observe(idOf("e1"), upstream.Draining)
	c.Assert(p.ownRow(time.Now())[0].Leaving, qt.IsTrue)
}

func TestRetriesAreAFractionOfTheTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet()
		f.flaky = true
		h := newHosts(f, 1, "e1", "e2", "e3")[0]
		const requests = 1000
		for range requests {
			_, err := h.run(context.Background(), Online, "hello")
			for err != nil && err.Error() == "no place" {
				time.Sleep(maxPause)
				_, err = h.run(context.Background(), Online, "hello")
			}
			c.Assert(err, qt.IsNotNil)
		}
		c.Assert(f.attempts <= requests*11/10+int(retryReserve), qt.IsTrue, qt.Commentf("%d attempts", f.attempts))
	})
}

func TestFailingUpstreamPausesLongerEachTime(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	var h health
	var last time.Duration
	for range 5 {
		h.fail(now)
		c.Assert(h.pausedTo.Sub(now) > last, qt.IsTrue)
		last = h.pausedTo.Sub(now)
		now = h.pausedTo
	}
	for range 20 {
		h.fail(now)
	}
	c.Assert(h.pausedTo.Sub(now), qt.Equals, maxPause)
	h.served()
	c.Assert(h.paused(now), qt.IsFalse)
}

func TestHostWithoutRecentRowKeepsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHosts(newFleet(), 1, "e1")[0]
		x := NewGossip(h.pool, h.suspects, nil, alone{name: "a"}, logrus.New())
		x.Merge([]LoadRow{{Host: "other", At: time.Now(), BatchServices: []string{testService}}})
		x.meet(membership.Host{Name: "other", PeerAddress: "other"})
		for range 4 {
			time.Sleep(rowLifetime / 2)
			x.Rows()
			x.share()
			c.Assert(h.pool.shares.hosts[testService], qt.DeepEquals, []BatchHost{{Name: "other"}})
		}
		time.Sleep(demandRowLifetime)
		x.share()
		c.Assert(h.pool.shares.hosts[testService], qt.HasLen, 0)
	})
}

func TestWaitingBetweenStepsIsNoShortageOfSlots(t *testing.T) {
	c := qt.New(t)
	p := newTestPool("e1")
	batch := reserve(t, p, Batch, 4)
	report := upstream.Load{Running: 4, Waiting: 2}
	start := time.Now()
	p.RecordReport(idOf("e1"), report, start)
	c.Assert(p.Statuses()[0].Batch, qt.Equals, len(batch))
	p.RecordReport(idOf("e1"), report, start.Add(reportInterval)) // they still wait
	c.Assert(p.Statuses()[0].Batch, qt.Equals, len(batch)-2)
}

func TestBatchStartsLessDuringABurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := newTestPool("e1")
		reserve(t, p, Online, 2)
		reserve(t, p, Batch, 1)
		time.Sleep(10 * usualLifetime)
		reserve(t, p, Online, 2)
		_, ok := p.Reserve(SlotRequest{Service: testService, Class: Batch})
		c.Assert(ok, qt.IsFalse)
		time.Sleep(10 * usualLifetime) // the burst has become usual
		reserve(t, p, Batch, 1)
	})
}

func TestBatchStartsBetweenOnlineArrivals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := newTestPool("e1")
		const firstByte = 200 * time.Millisecond
		arrive := func() {
			o := reserve(t, p, Online, 1)[0]
			p.targets[idOf("e1")].firstByte = firstByte
			o.Release(false)
		}
		starts := func() bool {
			_, ok := p.Reserve(SlotRequest{Service: testService, Class: Batch})
			return ok
		}
		reserve(t, p, Batch, 1)
		time.Sleep(firstByte)
		arrive()
		c.Assert(starts(), qt.IsFalse)
		time.Sleep(2 * firstByte)
		c.Assert(starts(), qt.IsTrue)
		started := 0
		for range 10 * busyPace { // no time in between
			time.Sleep(firstByte / 2)
			arrive()
			if starts() {
				started++
			}
		}
		c.Assert(started > 1, qt.IsTrue) // not starved
	})
}
