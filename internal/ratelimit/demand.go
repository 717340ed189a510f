package ratelimit

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant of the moving average.
const demandTimeConstant = time.Second

// demand is an exponentially weighted moving average of a team's request rate.
type demand struct {
	rate    float64 // requests per second
	updated time.Time
}

func (d *demand) recordRequest(now time.Time) {
	d.decay(now)
	d.rate += 1 / demandTimeConstant.Seconds()
}

func (d *demand) decay(now time.Time) {
	elapsed := now.Sub(d.updated)
	if elapsed <= 0 {
		return
	}
	d.rate *= math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
	d.updated = now
}

// lenderStatus is what a host knows about a peer that it borrows from.
type lenderStatus struct {
	tokens     float64 // left at the lender at repliedAt
	refillRate float64 // tokens per second
	repliedAt  time.Time
	avoidUntil time.Time // backoff after failed requests
	failures   int       // consecutive requests without a reply
	replied    bool      // to the last request
}

// expectedTokens estimates the tokens that a lender has now. A lender without any
// reply so far counts as having unlimited tokens, so that it is tried.
func (v *lenderStatus) expectedTokens(now time.Time) float64 {
	if v == nil || v.repliedAt.IsZero() {
		return math.MaxFloat64
	}
	return v.tokens + v.refillRate*now.Sub(v.repliedAt).Seconds()
}

// timeToToken estimates the time until a lender has a token. A lender that was not
// asked yet counts as having one now.
func (v *lenderStatus) timeToToken(now time.Time) time.Duration {
	switch {
	case v == nil:
		return 0
	case !v.replied || v.refillRate <= 0:
		return maxRoundBackoff
	}
	missing := max(0, 1-v.expectedTokens(now))
	return min(time.Duration(missing/v.refillRate*float64(time.Second)), maxRoundBackoff)
}
