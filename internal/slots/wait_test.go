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
	lowPriority := &slots.Waiter{Priority: 1, Arrived: epoch.Add(700 * time.Millisecond), StartBy: now.Add(time.Second)}
	retry := &slots.Waiter{Priority: 1, IsRetry: true, Arrived: epoch.Add(950 * time.Millisecond), StartBy: now.Add(time.Second)}
	var q slots.Queue
	for _, w := range []*slots.Waiter{late, lowPriority, second, first, retry} {
		q.Push(w)
	}
	c.Assert(slices.Equal(q.Sorted(now), []*slots.Waiter{retry, first, second, lowPriority, late}), qt.IsTrue)
	c.Assert(q.Remove(first), qt.IsTrue)
	c.Assert(q.Remove(first), qt.IsFalse)
	c.Assert(q.Sorted(now), qt.HasLen, 4)
}

// TestFirstAttemptIsRefusedEarly checks that a first attempt is refused within a
// quarter of its latency target, and that a retry waits longer, but less than the
// target.
func TestFirstAttemptIsRefusedEarly(t *testing.T) {
	c := qt.New(t)
	firstAttempt := slots.WaitBudget{LatencyTarget: 300 * time.Millisecond, TimeLeft: 5 * time.Second}
	c.Assert(firstAttempt.MaxWait() <= 75*time.Millisecond, qt.IsTrue)
	retry := firstAttempt
	retry.IsRetry = true
	c.Assert(retry.MaxWait() > firstAttempt.MaxWait(), qt.IsTrue)
	c.Assert(retry.MaxWait() < retry.LatencyTarget, qt.IsTrue)
	shortDeadline := slots.WaitBudget{LatencyTarget: time.Second, TimeLeft: 100 * time.Millisecond}
	c.Assert(shortDeadline.MaxWait() <= 50*time.Millisecond, qt.IsTrue)
}

// TestResumptionWaitsNoLongerThanAFirstAttempt guards against a stream that is broken off
// after the wait that suits a first event, though half of its time is left.
func TestResumptionWaitsNoLongerThanAFirstAttempt(t *testing.T) {
	c := qt.New(t)
	for _, retry := range []bool{false, true} {
		budget := slots.WaitBudget{LatencyTarget: 300 * time.Millisecond, TimeLeft: 4 * time.Second, IsRetry: retry, Begun: true}
		c.Assert(budget.MaxWait(), qt.Equals, 2*time.Second)
	}
}

// TestRetriesAreSpread checks that callers refused in the same peak don't retry
// together, and that no delay exceeds the caller's remaining time.
func TestRetriesAreSpread(t *testing.T) {
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
