package dispatch

import "time"

const (
	initialPause = 250 * time.Millisecond // after the first failure, unless a probe succeeds
	maxPause     = 15 * time.Second
	minRetryIn   = time.Second // lower bound of the Retry-After that callers get
)

// health is the state of an upstream by its failed attempts and probes. Its
// methods take the time as an argument.
type health struct {
	failures    int       // consecutive
	pausedUntil time.Time // no new work before this time
	down        bool      // the last probe got no response
}

func (h *health) paused(now time.Time) bool { return now.Before(h.pausedUntil) }

// recordFailure pauses new work after a failed attempt or probe, with exponential
// backoff.
func (h *health) recordFailure(now time.Time) {
	pause := maxPause
	if h.failures < 6 {
		pause = initialPause << h.failures
	}
	h.failures++
	h.pausedUntil = now.Add(pause)
}

// recordGone records that a probe got no response from the upstream.
func (h *health) recordGone(now time.Time) {
	if !h.down || !h.paused(now) {
		h.recordFailure(now)
	}
	h.down = true
}

// recordAlive records a successful probe. It ends the first pause only: later
// pauses run to their end, so that an upstream that passes probes but fails each
// attempt gets few attempts.
func (h *health) recordAlive() {
	if h.down || h.failures <= 1 {
		h.pausedUntil = time.Time{}
	}
	h.down = false
}

// recordSuccess resets the state after a successful attempt.
func (h *health) recordSuccess() { *h = health{} }
