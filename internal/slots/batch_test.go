package slots_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/slots"
)

// TestBatchItemIsHeldBecauseItsCellHasNoUpstream guards against an item that isn't placed
// while upstreams of other cells have room.
func TestBatchItemIsHeldBecauseItsCellHasNoUpstream(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(3, 8)
	b.SetCell(map[string]bool{"other-service": true}, map[string]bool{})
	for range 3 * 4 { // until half of the slots are taken
		r, ok := startBatch(b, epoch, epoch)
		c.Assert(ok, qt.IsTrue)
		c.Assert(b.OwnCounts()[r.Upstream].Batch <= 4, qt.IsTrue)
	}
	_, ok := startBatch(b, epoch, epoch)
	c.Assert(ok, qt.IsFalse)
	b.SetCell(map[string]bool{"u1": true}, map[string]bool{})
	for range 4 {
		r, ok := startBatch(b, epoch, epoch)
		c.Assert(ok, qt.IsTrue)
		c.Assert(r.Upstream, qt.Equals, "u1")
	}
}

// TestBatchItemIsHeldBecauseUpstreamsAreEjected guards against an item that isn't placed
// for as long as the only upstreams of its cell, or of all, are ejected.
func TestBatchItemIsHeldBecauseUpstreamsAreEjected(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(3, 8)
	b.SetCell(map[string]bool{"u0": true}, map[string]bool{})
	for range 8 {
		b.ReportRunResult("u0", true, epoch)
	}
	c.Assert(b.EjectedUntil("u0").After(epoch), qt.IsTrue)
	var runs []*slots.Run
	for range 6 {
		r, ok := startBatch(b, epoch, epoch)
		c.Assert(ok, qt.IsTrue)
		c.Assert(r.Upstream, qt.Not(qt.Equals), "u0")
		runs = append(runs, r)
	}
	for _, r := range runs {
		b.Finish(r)
	}
	b.ReportUnreachable("u1", epoch)
	b.ReportUnreachable("u2", epoch)
	r, ok := startBatch(b, epoch, epoch)
	c.Assert(ok, qt.IsTrue)
	c.Assert(r.Upstream, qt.Equals, "u0")
}

// TestOverdueItemIsHeldBecauseItsCellIsFull guards against an item that isn't placed after
// its cell has lost an upstream, though most slots of other cells are free.
func TestOverdueItemIsHeldBecauseItsCellIsFull(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(10, 8)
	b.SetCell(map[string]bool{"u0": true, "u1": true}, map[string]bool{"u2": true})
	for range 8 {
		b.Start(&slots.Run{Upstream: "u0"})
	}
	b.ReportFailure("u1", epoch)
	for range 4 { // until half of the slots are taken
		id, ok := b.PlaceBatch("lm", slots.NearlyDue, nil, epoch)
		c.Assert(ok, qt.IsTrue)
		c.Assert(id, qt.Equals, "u2", qt.Commentf("the only one of another cell that this host may use"))
		b.Start(&slots.Run{Upstream: id})
	}
	_, ok := b.PlaceBatch("lm", slots.NearlyDue, nil, epoch)
	c.Assert(ok, qt.IsFalse)
	for range 8 {
		b.ReportRunResult("u3", true, epoch)
	}
	c.Assert(b.EjectedUntil("u3").After(epoch), qt.IsTrue)
	b.SetCell(map[string]bool{"u0": true, "u1": true}, map[string]bool{"u2": true, "u3": true})
	_, ok = b.PlaceBatch("lm", slots.NearlyDue, nil, epoch)
	c.Assert(ok, qt.IsFalse, qt.Commentf("placed at an ejected upstream of another cell"))
}

// TestItemInTimeStaysInItsCell guards against items that take slots of other cells, whose
// load is known with a delay, because their own is full or its upstream backs off for a moment.
func TestItemInTimeStaysInItsCell(t *testing.T) {
	for name, occupy := range map[string]func(b *slots.Balancer){
		"all slots taken": func(b *slots.Balancer) {
			for range 8 {
				b.Start(&slots.Run{Upstream: "own"})
			}
		},
		"rejected for lack of slots": func(b *slots.Balancer) { b.ReportFull("own", epoch) },
		"failed":                     func(b *slots.Balancer) { b.ReportFailure("own", epoch) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := slots.NewBalancer("dc", 1)
			var list []fleet.Upstream
			for _, id := range []string{"own", "other"} {
				list = append(list, fleet.Upstream{ID: id, Service: "lm", Address: id, Slots: 8})
			}
			b.SetUpstreams(list)
			b.SetCell(map[string]bool{"own": true}, map[string]bool{"other": true})
			occupy(b)
			id, ok := b.PlaceBatch("lm", slots.InTime, nil, epoch)
			c.Assert(ok, qt.IsFalse, qt.Commentf("placed at %s", id))
			b.ReportUnreachable("own", epoch.Add(time.Millisecond))
			id, ok = b.PlaceBatch("lm", slots.InTime, nil, epoch.Add(time.Millisecond))
			c.Assert(ok, qt.IsTrue, qt.Commentf("the cell has no upstream left"))
			c.Assert(id, qt.Equals, "other")
		})
	}
}
