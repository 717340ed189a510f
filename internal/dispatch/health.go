package dispatch

import "time"

const (
	firstPause = 250 * time.Millisecond // after a failure, unless a probe succeeds
	maxPause   = 15 * time.Second
	minRetryIn = time.Second // shortest time that callers are told to wait
)

// health is what failures and probes tell of an upstream. Time is an argument.
type health struct {
	failures int       // in a row
	pausedTo time.Time // no new work until then
	down     bool      // a probe found nobody there
}

func (h *health) paused(now time.Time) bool { return now.Before(h.pausedTo) }

// fail notes a broken attempt or probe: new work pauses, longer each time.
func (h *health) fail(now time.Time) {
	pause := maxPause
	if h.failures < 6 {
		pause = firstPause << h.failures
	}
	h.failures++
	h.pausedTo = now.Add(pause)
}

// gone notes that nobody answers at the upstream's address.
func (h *health) gone(now time.Time) {
	if !h.down || !h.paused(now) {
		h.fail(now)
	}
	h.down = true
}

// alive notes that a probe succeeded. The first pause ends with it; later ones
// run out, so that an upstream which breaks each attempt gets few of them.
func (h *health) alive() {
	if h.down || h.failures <= 1 {
		h.pausedTo = time.Time{}
	}
	h.down = false
}

// served notes that an attempt ended well.
func (h *health) served() { *h = health{} }
