package slots

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Waiter is an online request that waits for a slot.
type Waiter struct {
	Service  string
	Team     string          // empty on a public route
	Priority int             // 0 is the highest
	IsRetry  bool            // a retry of a request that was refused for lack of slots
	Arrived  time.Time       // at this host
	StartBy  time.Time       // latest start that meets the route's latency target
	Excluded map[string]bool // upstreams that have failed this request; used if no other is registered
	Barred   map[string]bool // those of them that must not get it again
	Isolated bool            // must not share an upstream with another isolated run
	Granted  func(upstream string)
	Rejected func()      // called when the request can't be served
	Refused  func() bool // reports that the request must not run any more; nil if it always may
}

// IsRefused reports whether the request must not run any more.
func (w *Waiter) IsRefused() bool { return w.Refused != nil && w.Refused() }

// MayUseAny reports whether the request may use any upstream of its service.
func (w *Waiter) MayUseAny() bool { return len(w.Excluded) == 0 && !w.Isolated }

// Queue holds the waiting requests. During a peak that takes all slots for a few
// hundred milliseconds, requests that can still meet their latency target go first,
// then retries, then higher priorities, then earlier arrivals.
type Queue struct{ waiting []*Waiter }

// Push adds a waiter.
func (q *Queue) Push(w *Waiter) { q.waiting = append(q.waiting, w) }

// IsEmpty reports whether no request waits.
func (q *Queue) IsEmpty() bool { return len(q.waiting) == 0 }

// Remove removes a waiter. It reports whether the waiter was in the queue.
func (q *Queue) Remove(w *Waiter) bool {
	for i, x := range q.waiting {
		if x == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// RemoveIf removes the waiters for which the function returns true, and returns them.
func (q *Queue) RemoveIf(remove func(*Waiter) bool) []*Waiter {
	var removed []*Waiter
	q.waiting = slices.DeleteFunc(q.waiting, func(w *Waiter) bool {
		if !remove(w) {
			return false
		}
		removed = append(removed, w)
		return true
	})
	return removed
}

// WaitsForAny reports whether requests wait for the service that may use any upstream.
func (q *Queue) WaitsForAny(service string) bool {
	return slices.ContainsFunc(q.waiting, func(w *Waiter) bool {
		return w.Service == service && w.MayUseAny()
	})
}

// Sorted returns the waiters in the order in which they get slots.
func (q *Queue) Sorted(now time.Time) []*Waiter {
	sorted := append([]*Waiter(nil), q.waiting...)
	sort.SliceStable(sorted, func(i, j int) bool { return before(sorted[i], sorted[j], now) })
	return sorted
}

func before(a, b *Waiter, now time.Time) bool {
	if aLate, bLate := now.After(a.StartBy), now.After(b.StartBy); aLate != bLate {
		return bLate
	}
	if a.IsRetry != b.IsRetry {
		return a.IsRetry
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Arrived.Before(b.Arrived)
}

// WaitBudget determines how long a request may wait for a slot.
type WaitBudget struct {
	LatencyTarget time.Duration // latency target for the first event
	TimeLeft      time.Duration // until the caller's deadline
	IsRetry       bool          // a retry of a request that was refused for lack of slots
	Begun         bool          // the caller has received a part of the answer
}

const (
	firstWaitFraction   = 0.25 // of the latency target; an early refusal leaves the caller time for a retry
	retryWaitFraction   = 0.8  // of the latency target; the rest is for the time to the first event
	minResponseFraction = 0.5  // of the caller's remaining time, kept for the response itself
)

// MaxWait returns the time after which a waiting request is refused. The latency target is
// for the first event, so it doesn't limit an answer that has begun.
func (b WaitBudget) MaxWait() time.Duration {
	longest := time.Duration(float64(b.TimeLeft) * minResponseFraction)
	if b.Begun {
		return longest
	}
	fraction := firstWaitFraction
	if b.IsRetry {
		fraction = retryWaitFraction
	}
	return min(time.Duration(float64(b.LatencyTarget)*fraction), longest)
}

const (
	retryAfterFraction = 1.0 / 3 // of the remaining time, which callers are willing to wait before a retry
	retryAfterJitter   = 0.5     // random part of the delay, so that callers refused together don't retry together
	minRetryAfter      = 100 * time.Millisecond
	maxRetryAfter      = 1500 * time.Millisecond // half the length of a peak in the users' load
)

// RetryAfter returns the delay after which a caller that was refused for lack of
// slots should retry. Load swings within seconds, so the delay is as long as the
// caller can afford, up to the time in which a peak passes.
func RetryAfter(left time.Duration, random *rand.Rand) time.Duration {
	delay := min(time.Duration(float64(left)*retryAfterFraction), maxRetryAfter)
	delay -= time.Duration(float64(delay) * retryAfterJitter * random.Float64())
	return max(delay, min(minRetryAfter, left))
}
