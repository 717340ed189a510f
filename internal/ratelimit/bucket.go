// Package ratelimit holds each team to its rate and burst over the whole fleet.
//
// Contract: over every window t, the admissions of all hosts together are at
// most burst + rate × t. A request is charged once.
package ratelimit

import "time"

// Bucket is one token bucket. It has no lock; time is an argument, so that it
// runs the same under virtual time.
type Bucket struct {
	Rate     float64 // tokens a second
	Capacity float64 // tokens at most
	Tokens   float64
	updated  time.Time
}

// NewBucket returns a bucket with the given tokens in it.
func NewBucket(rate, capacity, tokens float64, now time.Time) Bucket {
	return Bucket{Rate: rate, Capacity: capacity, Tokens: min(tokens, capacity), updated: now}
}

// Refill adds the tokens due since the last call. Time that went backwards adds
// nothing.
func (b *Bucket) Refill(now time.Time) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.Tokens = min(b.Capacity, b.Tokens+b.Rate*elapsed.Seconds())
	b.updated = now
}

// Take takes n tokens if they are there.
func (b *Bucket) Take(n float64, now time.Time) bool {
	b.Refill(now)
	if b.Tokens < n {
		return false
	}
	b.Tokens -= n
	return true
}

// Wait returns the time until n tokens are there. A bucket that can never hold
// n answers with a second.
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
