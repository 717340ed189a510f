package slots_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/slots"
)

// TestProtectionIsBoundedByOnlinePeaks guards against items that become nearly due together
// and keep the slots that online requests need in their next peak.
func TestProtectionIsBoundedByOnlinePeaks(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(9, 8)
	var online []*slots.Run
	for range 60 {
		r, ok := startOnline(b, epoch)
		c.Assert(ok, qt.IsTrue)
		online = append(online, r)
	}
	b.ObserveLoad(epoch)
	for _, r := range online {
		b.Finish(r)
	}
	now := epoch.Add(3 * time.Second)
	b.ObserveLoad(now)
	b.SetPeerCounts("h2", map[string]slots.Counts{"u0": {Online: 5, Protected: 5}}) // of another host
	protected := 0
	for b.MayProtect("lm") {
		id, ok := b.PlaceBatch("lm", slots.NearlyDue, nil, now)
		c.Assert(ok, qt.IsTrue)
		b.Start(&slots.Run{Upstream: id, Protected: true, Due: now})
		protected++
	}
	c.Assert(protected, qt.Equals, 72-60-5)
}

// TestDeferredItemCanBePreempted checks the counts when a protected item loses its
// protection.
func TestDeferredItemCanBePreempted(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(1, 2)
	paused := false
	r := &slots.Run{Upstream: "u0", Protected: true, Due: epoch, Pause: func() { paused = true }}
	b.Start(r)
	b.Start(&slots.Run{Upstream: "u0"})
	c.Assert(b.OwnCounts()["u0"], qt.Equals, slots.Counts{Online: 2, Protected: 1})
	_, ok := startOnline(b, epoch)
	c.Assert(ok, qt.IsFalse)
	b.MakePreemptible(r, epoch.Add(time.Minute))
	c.Assert(b.OwnCounts()["u0"], qt.Equals, slots.Counts{Online: 1, Batch: 1})
	_, ok = startOnline(b, epoch)
	c.Assert(ok, qt.IsTrue)
	for _, run := range b.PreemptBatch("h") {
		run.Pause()
	}
	c.Assert(paused, qt.IsTrue)
	c.Assert(b.OwnCounts()["u0"], qt.Equals, slots.Counts{Online: 2})
}
