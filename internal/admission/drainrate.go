package admission

import "time"

const (
	drainMemory  = 8 // grants over which the rate is taken
	drainForgets = 5 * time.Second
)

// drainRate estimates how fast a queue that is never empty moves.
type drainRate struct {
	times []time.Time // of the last grants while others waited
}

// granted notes one grant.
func (r *drainRate) granted(now time.Time) {
	r.times = append(r.times, now)
	if len(r.times) > drainMemory {
		r.times = r.times[1:]
	}
}

// idle forgets the rate, because the queue has run empty.
func (r *drainRate) idle() { r.times = r.times[:0] }

// each returns the time between grants; zero while it is not known.
func (r *drainRate) each(now time.Time) time.Duration {
	if len(r.times) < drainMemory || now.Sub(r.times[len(r.times)-1]) > drainForgets {
		return 0
	}
	return now.Sub(r.times[0]) / time.Duration(len(r.times)-1)
}
