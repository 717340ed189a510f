package slots_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/slots"
)

func TestWaitersInOrder(t *testing.T) {
	c := qt.New(t)
	now := epoch.Add(time.Second)
	late := &slots.Waiter{Arrived: epoch, StartBy: epoch.Add(300 * time.Millisecond)}
	first := &slots.Waiter{Arrived: epoch.Add(800 * time.Millisecond), StartBy: now.Add(100 * time.Millisecond)}
	second := &slots.Waiter{Arrived: epoch.Add(900 * time.Millisecond), StartBy: now.Add(200 * time.Millisecond)}
	lowRank := &slots.Waiter{Priority: 1, Arrived: epoch.Add(700 * time.Millisecond), StartBy: now.Add(time.Second)}
	returner := &slots.Waiter{Priority: 1, Returned: true, Arrived: epoch.Add(950 * time.Millisecond), StartBy: now.Add(time.Second)}
	var q slots.Queue
	for _, w := range []*slots.Waiter{late, lowRank, second, first, returner} {
		q.Push(w)
	}
	c.Assert(slices.Equal(q.Sorted(now), []*slots.Waiter{returner, first, second, lowRank, late}), qt.IsTrue)
	c.Assert(q.Remove(first), qt.IsTrue)
	c.Assert(q.Remove(first), qt.IsFalse)
	c.Assert(q.Len(), qt.Equals, 4)
}

// TestRefusalComesEarly checks that a newcomer is refused within a quarter of
// its aim, and that a returner, whose last chance it is, waits for longer.
func TestRefusalComesEarly(t *testing.T) {
	c := qt.New(t)
	newcomer := slots.WaitBudget{Aim: 300 * time.Millisecond, Left: 5 * time.Second}
	c.Assert(newcomer.MaxWait() <= 75*time.Millisecond, qt.IsTrue)
	returner := newcomer
	returner.Returned = true
	c.Assert(returner.MaxWait() > newcomer.MaxWait(), qt.IsTrue)
	c.Assert(returner.MaxWait() < returner.Aim, qt.IsTrue)
	hurried := slots.WaitBudget{Aim: time.Second, Left: 100 * time.Millisecond}
	c.Assert(hurried.MaxWait() <= 50*time.Millisecond, qt.IsTrue)
}

// TestReturnersAreSpread checks that those who are turned away in one peak don't
// come back together, and not later than they can.
func TestReturnersAreSpread(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	var buckets [4]int
	for range 1000 {
		d := slots.RetryAfter(4800*time.Millisecond, random)
		c.Assert(d > 0 && d <= 1600*time.Millisecond, qt.IsTrue, qt.Commentf("%v", d))
		buckets[int((d-750*time.Millisecond)/(200*time.Millisecond))]++
	}
	for _, n := range buckets {
		c.Assert(n > 100, qt.IsTrue, qt.Commentf("%v", buckets))
	}
	c.Assert(slots.RetryAfter(60*time.Millisecond, random) <= 60*time.Millisecond, qt.IsTrue)
}
