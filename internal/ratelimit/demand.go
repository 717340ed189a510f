package ratelimit

import (
	"math"
	"time"
)

// demandTime is the time constant with which demand is averaged.
const demandTime = time.Second

// demand is an exponentially weighted average of requests a second.
type demand struct {
	rate    float64
	updated time.Time
}

func (d *demand) add(now time.Time) {
	d.decay(now)
	d.rate += 1 / demandTime.Seconds()
}

func (d *demand) decay(now time.Time) {
	elapsed := now.Sub(d.updated)
	if elapsed <= 0 {
		return
	}
	d.rate *= math.Exp(-elapsed.Seconds() / demandTime.Seconds())
	d.updated = now
}

// lenderView is what a host knows of a peer that it borrows from.
type lenderView struct {
	left     float64 // tokens that it had left
	rate     float64
	heard    time.Time
	avoid    time.Time // not asked until then, because it did not answer
	failures int       // questions in a row that it did not answer
	answered bool      // at the last question
}

// expected estimates the tokens that a peer has now. One that has never been
// asked is expected to have plenty.
func (v *lenderView) expected(now time.Time) float64 {
	if v == nil || v.heard.IsZero() {
		return math.MaxFloat64
	}
	return v.left + v.rate*now.Sub(v.heard).Seconds()
}
