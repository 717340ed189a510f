package fleet

import "time"

// WarmUp is for how long an upstream of a service is cold after its start, and how many
// requests it tolerates meanwhile. A figure is zero if it isn't stated, and negative if what
// is stated isn't a positive number.
type WarmUp struct {
	Time time.Duration
	Rate float64 // requests per second, from all hosts together
}

// Applies reports whether upstreams warm up: both figures are positive.
func (w WarmUp) Applies() bool { return w.Time > 0 && w.Rate > 0 }

// IsInvalid reports whether a warm-up is stated that can't apply.
func (w WarmUp) IsInvalid() bool { return !w.Applies() && w != WarmUp{} }
