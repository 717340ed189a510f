package slots

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Waiter is an online request that waits for a slot.
type Waiter struct {
	Service  string
	Priority int       // 0 is the highest
	Returned bool      // it was turned away before and has come back
	Arrived  time.Time // at this host
	StartBy  time.Time // to answer within the route's aim
	Without  map[string]bool
	Granted  func(upstream string)
}

// Queue orders the waiters. It answers a peak of online load that takes all
// slots for a few hundred milliseconds: requests that can still be answered in
// time go first, a returner before a newcomer, then by rank, then by arrival.
type Queue struct{ waiting []*Waiter }

// Push adds a waiter.
func (q *Queue) Push(w *Waiter) { q.waiting = append(q.waiting, w) }

// Remove takes a waiter out. It reports false when it isn't there any more.
func (q *Queue) Remove(w *Waiter) bool {
	for i, x := range q.waiting {
		if x == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return len(q.waiting) }

// Sorted returns the waiters in the order in which they get slots.
func (q *Queue) Sorted(now time.Time) []*Waiter {
	sorted := append([]*Waiter(nil), q.waiting...)
	sort.SliceStable(sorted, func(i, j int) bool { return before(sorted[i], sorted[j], now) })
	return sorted
}

func before(a, b *Waiter, now time.Time) bool {
	if late, other := now.After(a.StartBy), now.After(b.StartBy); late != other {
		return other
	}
	if a.Returned != b.Returned {
		return a.Returned
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Arrived.Before(b.Arrived)
}

// WaitBudget bounds how long a request waits for a slot.
type WaitBudget struct {
	Aim      time.Duration // in which the first event should come
	Left     time.Duration // until the caller gives up
	Returned bool
}

const (
	newcomerPart = 0.25 // of the aim: told early, a caller can still be served in time when it comes back
	returnerPart = 0.8  // of the aim: the last chance, short of the time to the first event
	leastLeft    = 0.5  // of the caller's time that must remain for the answer itself
)

// MaxWait returns how long the request waits before it is refused.
func (p WaitBudget) MaxWait() time.Duration {
	part := newcomerPart
	if p.Returned {
		part = returnerPart
	}
	wait := time.Duration(float64(p.Aim) * part)
	return min(wait, time.Duration(float64(p.Left)*leastLeft))
}

const (
	returnPart   = 1.0 / 3 // of the time left that callers are willing to stay away
	returnSpread = 0.5     // of the stay, drawn at random, so that those turned away don't come back together
	shortestAway = 100 * time.Millisecond
	peakTime     = 1500 * time.Millisecond // half the length of a peak in the users' load
)

// RetryAfter returns when a caller that was refused for lack of slots should
// come back. It answers load that swings within seconds: as late as the caller
// can afford, up to the time in which a peak passes.
func RetryAfter(left time.Duration, random *rand.Rand) time.Duration {
	stay := min(time.Duration(float64(left)*returnPart), peakTime)
	stay -= time.Duration(float64(stay) * returnSpread * random.Float64())
	return max(stay, min(shortestAway, left))
}
