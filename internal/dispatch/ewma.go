package dispatch

import (
	"math"
	"time"
)

const usualLifetime = 30 * time.Second // time constant of what counts as usual

// decayedMean is a mean over time in which the past counts less and less.
type decayedMean struct {
	mean float64
	last float64
	at   time.Time
}

// observe notes the present value and returns the mean up to now.
func (m *decayedMean) observe(value float64, now time.Time) float64 {
	if m.at.IsZero() {
		m.mean = value
	} else {
		m.mean += (m.last - m.mean) * -math.Expm1(-float64(now.Sub(m.at))/float64(usualLifetime))
	}
	m.last, m.at = value, now
	return m.mean
}
