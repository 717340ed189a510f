package dispatch

import (
	"math"
	"time"
)

const onlineMeanTimeConstant = 30 * time.Second

// ewma is an exponentially weighted moving average of a value that changes at
// irregular times.
type ewma struct {
	mean float64
	last float64 // value since at
	at   time.Time
}

// observe records the current value and returns the average up to now.
func (m *ewma) observe(value float64, now time.Time) float64 {
	if m.at.IsZero() {
		m.mean = value
	} else {
		m.mean += (m.last - m.mean) * -math.Expm1(-float64(now.Sub(m.at))/float64(onlineMeanTimeConstant))
	}
	m.last, m.at = value, now
	return m.mean
}
