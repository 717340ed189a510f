// Package ratelimit enforces each team's rate and burst over the whole fleet.
//
// Contract: in every time window of length t, all hosts together admit at most
// burst + rate × t requests of a team. A request is charged once.
package ratelimit

import "time"

// Bucket is a token bucket. It is not safe for concurrent use. Time is an
// argument, so that tests can use virtual time.
type Bucket struct {
	Rate     float64 // tokens per second
	Capacity float64 // tokens
	Tokens   float64
	updated  time.Time
}

// NewBucket returns a bucket that holds the given tokens, up to its capacity.
func NewBucket(rate, capacity, tokens float64, now time.Time) Bucket {
	return Bucket{Rate: rate, Capacity: capacity, Tokens: min(tokens, capacity), updated: now}
}

// Refill adds the tokens that have accrued since the last call. A time before the
// last call adds none.
func (b *Bucket) Refill(now time.Time) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.Tokens = min(b.Capacity, b.Tokens+b.Rate*elapsed.Seconds())
	b.updated = now
}

// Take removes n tokens if the bucket holds as many, and reports whether it did.
func (b *Bucket) Take(n float64, now time.Time) bool {
	b.Refill(now)
	if b.Tokens < n {
		return false
	}
	b.Tokens -= n
	return true
}

// Wait returns the time until the bucket holds n tokens, or one second for a
// bucket that can never hold as many.
func (b *Bucket) Wait(n float64, now time.Time) time.Duration {
	b.Refill(now)
	if b.Tokens >= n {
		return 0
	}
	if b.Rate <= 0 || b.Capacity < n {
		return time.Second
	}
	return time.Duration((n - b.Tokens) / b.Rate * float64(time.Second))
}
