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

	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/upstream"
)

func newTestPool(upstreams ...string) *Pool {
	p := NewPool()
	p.Apply(snapshotOf(upstreams...))
	return p
}

func TestNewestBatchRequestIsPreemptedFirst(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
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

func TestOnlineRequestPreemptsBatchInPrefill(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		p := newTestPool("e1")
		for _, online := range reserve(t, p, Online, 1) {
			p.recordServed(online, 2*time.Second) // sets the mean time to first byte to 0.2 s
			online.Release(false)
		}
		older := reserve(t, p, Batch, 1)[0]
		time.Sleep(time.Second)
		newer := reserve(t, p, Batch, 1)[0]
		time.Sleep(time.Millisecond)
		reserve(t, p, Online, 1)
		c.Assert(newer.Preempted(), qt.IsTrue)
		c.Assert(older.Preempted(), qt.IsFalse)
	})
}

func TestPreemptionIsNotAnUpstreamFailure(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
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

func TestBatchCountsLoadOfOtherHosts(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		p := newTestPool("e1")
		p.RecordPeerLoad("other", idOf("e1"), PeerLoad{Batch: 4, At: time.Now()})
		reserve(t, p, Batch, 2)
		_, ok := p.Reserve(SlotRequest{Service: testService, Class: Batch})
		c.Assert(ok, qt.IsFalse)
		time.Sleep(2 * peerLoadLifetime)
		reserve(t, p, Batch, 4)
	})
}

func TestArrivalPreemptsBatchOfOtherHosts(t *testing.T) {
	c := qt.New(t)
	batchHost, other := newTestPool("e1"), newTestPool("e1")
	hosts := map[string][]BatchHost{testService: {{Name: "runner"}}}
	batchHost.SetBatchHosts("runner", hosts)
	other.SetBatchHosts("other", hosts)
	other.OnArrived(func(id upstream.ID, to []string, _ int) {
		c.Assert(to, qt.DeepEquals, []string{"runner"})
		batchHost.RecordArrivals("other", id, 1)
	})
	reserve(t, batchHost, Batch, 6)
	for n := range testSlots {
		reserve(t, other, Online, 1)
		s := batchHost.Statuses()[0]
		c.Assert(s.Batch+n+1 <= testSlots, qt.IsTrue, qt.Commentf("%d online, %+v", n+1, s))
	}
}

func TestReportedQueuePreemptsBatch(t *testing.T) {
	c := qt.New(t)
	p := newTestPool("e1")
	batch := reserve(t, p, Batch, 4)
	p.RecordReport(idOf("e1"), upstream.Load{Running: testSlots, Waiting: 3}, time.Now())
	preempted := 0
	for _, b := range batch {
		if b.Preempted() {
			preempted++
		}
	}
	c.Assert(preempted, qt.Equals, 3) // as many as requests wait
}

func TestLeastOutstandingCountsOwnRequests(t *testing.T) {
	c := qt.New(t)
	p := newTestPool("e1", "e2", "e3")
	// The lagging report shows more load at e1 and must not count.
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
	slots := reserve(t, p, Online, 2)
	_, ok := p.Reserve(SlotRequest{Service: testService, Class: Online})
	c.Assert(ok, qt.IsFalse)
	slots[0].Release(false)
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
				assigned += evenShare(h, list, slots)
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

func TestReleaseAfterAddressChange(t *testing.T) {
	c := qt.New(t)
	p := newTestPool("e1")
	slot := reserve(t, p, Online, 1)[0]
	s := snapshotOf("e1")
	s.Services[testService].Upstreams["e1"] = upstream.Spec{Address: "http://elsewhere", Slots: testSlots}
	p.Apply(s)
	slot.Release(false)
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
					slot, ok := p.Reserve(SlotRequest{Service: testService, Class: class})
					c.Assert(ok, qt.IsTrue)
					c.Assert(slot.ID, qt.Equals, idOf("e2"))
					slot.Release(false)
				}
			}
			for _, h := range held {
				c.Assert(h.Preempted(), qt.IsFalse)
			}
		})
	}
}

func TestUpstreamIsUsedAgainAfterDraining(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		p := newTestPool("e1")
		p.Observe(idOf("e1"), upstream.Draining)
		p.HintLeaving(idOf("e1"), time.Now())
		p.Observe(idOf("e1"), upstream.Alive)
		time.Sleep(2 * leavingHintLifetime)
		reserve(t, p, Online, 1)
	})
}

func TestLeavingHintsAreNotRelayed(t *testing.T) {
	c := qt.New(t)
	p := newTestPool("e1")
	p.HintLeaving(idOf("e1"), time.Now())
	c.Assert(p.localLoad(time.Now()), qt.HasLen, 0)
	p.Observe(idOf("e1"), upstream.Draining)
	c.Assert(p.localLoad(time.Now())[0].Leaving, qt.IsTrue)
}

func TestRetryBudgetLimitsRetries(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet()
		f.breakAttempts = true
		h := newHosts(f, 1, "e1", "e2", "e3")[0]
		const requests = 1000
		for range requests {
			_, err := h.run(context.Background(), Online, "hello")
			for err != nil && err.Error() == "no slot" {
				time.Sleep(maxPause)
				_, err = h.run(context.Background(), Online, "hello")
			}
			c.Assert(err, qt.IsNotNil)
		}
		c.Assert(f.attempts <= requests*11/10+int(retryReserve), qt.IsTrue, qt.Commentf("%d attempts", f.attempts))
	})
}

func TestPauseGrowsWithConsecutiveFailures(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	var h health
	var last time.Duration
	for range 5 {
		h.recordFailure(now)
		c.Assert(h.pausedUntil.Sub(now) > last, qt.IsTrue)
		last = h.pausedUntil.Sub(now)
		now = h.pausedUntil
	}
	for range 20 {
		h.recordFailure(now)
	}
	c.Assert(h.pausedUntil.Sub(now), qt.Equals, maxPause)
	h.recordSuccess()
	c.Assert(h.paused(now), qt.IsFalse)
}

func TestHostWithoutRecentRowKeepsItsShare(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHosts(newFleet(), 1, "e1")[0]
		g := NewGossip(h.pool, h.suspects, nil, singleHost{name: "a"}, logrus.New())
		g.Merge([]LoadRow{{Host: "other", At: time.Now(), BatchServices: []string{testService}}})
		g.rememberPeers(membership.Host{Name: "other", PeerAddress: "other"})
		for range 4 {
			time.Sleep(rowLifetime / 2)
			g.Rows()
			g.updateBatchShares()
			c.Assert(h.pool.shares.hosts[testService], qt.DeepEquals, []BatchHost{{Name: "other"}})
		}
		time.Sleep(demandRowLifetime)
		g.updateBatchShares()
		c.Assert(h.pool.shares.hosts[testService], qt.HasLen, 0)
	})
}

func TestRequestsWaitingBetweenStepsDoNotPreemptBatch(t *testing.T) {
	c := qt.New(t)
	p := newTestPool("e1")
	batch := reserve(t, p, Batch, 4)
	report := upstream.Load{Running: 4, Waiting: 2}
	start := time.Now()
	p.RecordReport(idOf("e1"), report, start)
	c.Assert(p.Statuses()[0].Batch, qt.Equals, len(batch))
	p.RecordReport(idOf("e1"), report, start.Add(reportInterval)) // the same requests still wait
	c.Assert(p.Statuses()[0].Batch, qt.Equals, len(batch)-2)
}

func TestBurstDelaysBatchStart(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		p := newTestPool("e1")
		reserve(t, p, Online, 2)
		reserve(t, p, Batch, 1)
		time.Sleep(10 * onlineMeanTimeConstant)
		reserve(t, p, Online, 2)
		_, ok := p.Reserve(SlotRequest{Service: testService, Class: Batch})
		c.Assert(ok, qt.IsFalse)
		time.Sleep(10 * onlineMeanTimeConstant) // the moving average has reached the new load
		reserve(t, p, Batch, 1)
	})
}

func TestBatchStartsBetweenOnlineArrivals(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		p := newTestPool("e1")
		const ttfb = 200 * time.Millisecond
		runOnline := func() {
			online := reserve(t, p, Online, 1)[0]
			p.targets[idOf("e1")].meanTTFB = ttfb
			online.Release(false)
		}
		batchStarts := func() bool {
			_, ok := p.Reserve(SlotRequest{Service: testService, Class: Batch})
			return ok
		}
		reserve(t, p, Batch, 1)
		time.Sleep(ttfb)
		runOnline()
		c.Assert(batchStarts(), qt.IsFalse)
		time.Sleep(2 * ttfb)
		c.Assert(batchStarts(), qt.IsTrue)
		started := 0
		for range 10 * busyStartTTFBs { // arrivals closer together than the quiet period
			time.Sleep(ttfb / 2)
			runOnline()
			if batchStarts() {
				started++
			}
		}
		c.Assert(started > 1, qt.IsTrue) // not starved
	})
}
