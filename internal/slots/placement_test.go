package slots_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/slots"
)

// TestItemReturnsToTheUpstreamThatFailedIt guards against an item that is run at one
// faulty upstream again and again, though others are free.
func TestItemReturnsToTheUpstreamThatFailedIt(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(2, 8)
	first, ok := b.PlaceBatch("lm", slots.InTime, nil, epoch)
	c.Assert(ok, qt.IsTrue)
	for range 100 {
		next, ok := b.PlaceBatch("lm", slots.InTime, []string{first}, epoch)
		c.Assert(ok, qt.IsTrue)
		c.Assert(next, qt.Not(qt.Equals), first)
	}
	b = newBalancer(1, 8)
	only, ok := b.PlaceBatch("lm", slots.InTime, []string{first}, epoch)
	c.Assert(ok, qt.IsTrue, qt.Commentf("an upstream that is avoided is still used last"))
	c.Assert(only, qt.Equals, first)
}
