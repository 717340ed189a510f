package slots

import (
	"math"
	"time"
)

const (
	paceFreshness = 200 * time.Millisecond // in which a stated pace loses most of its weight; it changes many times a second
	paceMemory    = 5 * time.Second        // of the usual pace
	maxPaceEffect = 1.4                    // in the logarithm: a factor of 4
)

// slope is the factor by which one deviation predicts another one, as observed.
type slope struct{ product, square recentMean }

func (s *slope) add(predictor, outcome, samples float64, now time.Time) {
	s.product.add(predictor*outcome, samples, now, lastingMemory)
	s.square.add(predictor*predictor, samples, now, lastingMemory)
}

// value returns the slope, from 0 to 1. Until leastSamples have shown it, it is the one given.
func (s *slope) value(unknown float64, now time.Time) float64 {
	if s.square.weightAt(now, lastingMemory) < leastSamples || s.square.mean == 0 {
		return unknown
	}
	return max(min(s.product.mean/s.square.mean, 1), 0)
}

// statedPace is the logarithm of a pace.
type statedPace struct {
	pace float64
	at   time.Time // when it was stated
	here bool      // to this host
}

// paceTrack follows the pace that an upstream states. It counts only as far as it differs
// from the usual one, which the observed times contain, and only as far as it has predicted
// them: an upstream may state anything.
type paceTrack struct {
	last, previous statedPace
	usual          recentMean
	trust          slope
}

// report records a pace in percent that was stated at the given time, to this host or a peer.
func (p *paceTrack) report(percent int, at time.Time, here bool) {
	if at.After(p.last.at) {
		p.previous, p.last = p.last, statedPace{pace: math.Log(float64(percent) / 100), at: at, here: here}
		p.usual.add(p.last.pace, 1, at, paceMemory)
	}
}

// deviation returns the logarithm of the pace relative to the usual one, as known at the
// time. It tends to zero as the statement ages.
func (p *paceTrack) deviation(at time.Time) float64 {
	known := p.last
	if known.at.After(at) {
		known = p.previous
	}
	if known.at.IsZero() || known.at.After(at) {
		return 0
	}
	return clamp(known.pace-p.usual.mean, maxPaceEffect) * math.Exp(-float64(at.Sub(known.at))/float64(paceFreshness))
}

// factor returns the part of the deviation that has predicted the observed times.
func (p *paceTrack) factor(at time.Time) float64 {
	if d := p.deviation(at); d != 0 {
		return d * p.trust.value(0, at)
	}
	return 0
}

// observe records by how much a time that began then deviated from the estimate without pace.
func (p *paceTrack) observe(began time.Time, deviation, samples float64, now time.Time) {
	if d := p.deviation(began); d != 0 {
		p.trust.add(d, clamp(deviation, maxRecent), samples, now)
	}
}
