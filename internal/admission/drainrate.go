package admission

import "time"

const (
	drainSamples = 8               // grants in the moving window
	drainMaxAge  = 5 * time.Second // age of the last grant after which the rate is unknown
)

// drainRate estimates the rate of grants while the queue is backlogged.
type drainRate struct {
	times []time.Time // of the last grants since the queue was empty
}

func (r *drainRate) record(now time.Time) {
	r.times = append(r.times, now)
	if len(r.times) > drainSamples {
		r.times = r.times[1:]
	}
}

// reset discards the estimate; grants from an empty queue say nothing about the
// drain rate.
func (r *drainRate) reset() { r.times = r.times[:0] }

// interval returns the mean time between grants, or zero if unknown.
func (r *drainRate) interval(now time.Time) time.Duration {
	if len(r.times) < drainSamples || now.Sub(r.times[len(r.times)-1]) > drainMaxAge {
		return 0
	}
	return now.Sub(r.times[0]) / time.Duration(len(r.times)-1)
}
