package dispatch

import "time"

const (
	limitFloor    = 0.25 // part of the slots that always stays usable
	limitBackoff  = 0.9
	limitRecovery = 0.02
	slowFactor    = 4.0                   // times the usual latency that counts as too slow
	slowMinimum   = 50 * time.Millisecond // differences below this are noise
	usualDecay    = 0.01
	limitSamples  = 20 // samples before the usual latency is known
)

// limit adapts an upstream's concurrency to its latency: it falls by a factor
// when the first byte takes much longer than usual, and recovers step by step.
type limit struct {
	factor  float64 // of the configured slots
	usual   float64 // seconds; slow mean of the time to first byte
	samples int
}

func newLimit() limit { return limit{factor: 1} }

// of returns the slots in force out of those configured.
func (l *limit) of(slots int) int { return max(int(float64(slots)*l.factor+0.5), 1) }

// observe takes over the time to first byte of one online request.
func (l *limit) observe(d time.Duration) {
	s := d.Seconds()
	l.samples++
	if l.samples <= limitSamples {
		l.usual += (s - l.usual) / float64(l.samples)
		return
	}
	if s > l.usual*slowFactor && s-l.usual > slowMinimum.Seconds() {
		l.factor = max(l.factor*limitBackoff, limitFloor)
		return
	}
	l.usual += (s - l.usual) * usualDecay
	l.factor = min(l.factor+limitRecovery, 1)
}
