package entry

import (
	"context"
	"io"
	"maps"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/quarantine"
	"github.com/masticscale/masticscale/internal/slots"
)

// Silence ends no request: a sound upstream may pause and go on. A request that may be
// repeated moves to another upstream that isn't silent, if it gets a slot there at once;
// otherwise it waits where it is, until its deadline.

const (
	silenceFactor      = 3                       // multiple of the route's targets for gaps and the first byte
	minSilence         = 1500 * time.Millisecond // longer than a sound upstream pauses
	silenceCheckPeriod = 250 * time.Millisecond  // between the checks whether a silent request can move
)

// silenceThreshold returns the time without a byte after which the upstream counts as
// silent, and the request moves if it can.
func (r *request) silenceThreshold() time.Duration {
	return max(minSilence, silenceFactor*max(r.route.EventGapTarget, r.route.LatencyTarget))
}

// hasAttemptLeft reports whether the request may be sent once more after the attempt in
// progress.
func (r *request) hasAttemptLeft() bool {
	return r.sends < maxSends && r.runs+1 < r.route.MaxAttempts
}

// silenceWatch measures for how long an attempt has waited for bytes of its upstream, and
// ends the attempt if the request moves.
type silenceWatch struct {
	run       *slots.Run
	threshold time.Duration                              // from which a silence is reported
	mayMove   bool                                       // false if the request may not be repeated
	move      func(silence time.Duration) *Slot          // nil if the request stays
	cancel    context.CancelFunc                         // ends the attempt
	waits     func(silence time.Duration, reason string) // logs that the request stays

	mu           sync.Mutex
	timer        *time.Timer
	armed        bool
	fixed        bool      // the request can no longer move
	logged       bool      // that it stays, for the present silence
	waitingSince time.Time // zero while the attempt isn't waiting for bytes
	silence      time.Duration
	next         *Slot // the slot to which the request moves
}

// watchSilence starts the watch of an attempt, which waits for the response header.
func (h *Handler) watchSilence(r *request, slot *Slot, cancel context.CancelFunc) *silenceWatch {
	w := &silenceWatch{run: slot.run, threshold: r.silenceThreshold(), mayMove: r.route.Repeatable(), cancel: cancel}
	w.fixed = !r.hasAttemptLeft() || r.suspicion == quarantine.Isolated
	log := h.log.WithFields(logrus.Fields{"event": "upstream_silent", "id": r.ID, "upstream": slot.Upstream.ID})
	req := SlotRequest{Service: r.service, Priority: r.priority, Excluded: maps.Clone(r.excluded)}
	req.Excluded[slot.Upstream.ID] = true
	w.move = func(silence time.Duration) *Slot {
		next, ok := h.core.AcquireForMove(req, silence)
		if !ok {
			return nil
		}
		log.WithFields(logrus.Fields{"silent_ms": silence.Milliseconds(), "decision": "moved", "to": next.Upstream.ID}).Info("upstream silent; the request moves")
		return next
	}
	w.waits = func(silence time.Duration, reason string) {
		log.WithFields(logrus.Fields{"silent_ms": silence.Milliseconds(), "decision": "waits", "reason": reason}).Info("upstream silent; the request waits for it")
	}
	w.timer = time.AfterFunc(time.Hour, w.check)
	w.timer.Stop()
	w.beginWait()
	return w
}

// beginWait records that the attempt waits for bytes.
func (w *silenceWatch) beginWait() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waitingSince = time.Now()
	w.run.AwaitBytes(w.waitingSince)
	if w.mayMove && !w.armed && w.next == nil {
		w.arm(w.threshold)
	}
}

// endWait records that the wait has ended, and whether bytes have arrived.
func (w *silenceWatch) endWait(received bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.silence = now.Sub(w.waitingSince)
	if received {
		w.silence, w.logged = 0, false
	}
	w.waitingSince = time.Time{}
	w.run.EndWait(received, now)
}

// arm starts the timer. The caller must hold mu.
func (w *silenceWatch) arm(after time.Duration) {
	w.armed = true
	w.timer.Reset(after)
}

// check moves the request if its upstream has been silent for too long. The timer runs on
// while bytes arrive, so the time of the wait decides.
func (w *silenceWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
	if w.waitingSince.IsZero() {
		return
	}
	silence := time.Since(w.waitingSince)
	if silence < w.threshold {
		w.arm(w.threshold - silence)
		return
	}
	reason := "it may not be sent again"
	if !w.fixed {
		if w.next = w.move(silence); w.next != nil {
			w.cancel()
			return
		}
		reason = "no other upstream is fit"
		w.arm(silenceCheckPeriod)
	}
	if !w.logged {
		w.logged = true
		w.waits(silence, reason)
	}
}

// forbidMove keeps the request at its upstream.
func (w *silenceWatch) forbidMove() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fixed = true
}

// hasMoved reports whether the watch has ended the attempt so that the request moves. It
// is false for a nil watch.
func (w *silenceWatch) hasMoved() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.next != nil
}

// stop ends the watch. It returns the slot to which the request moves, if any, and for how
// long the upstream was silent at the end.
func (w *silenceWatch) stop() (*Slot, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.waitingSince = time.Time{}
	return w.next, w.silence
}

// silentRun is a run from which a request moved away while its upstream served others.
// Either the run had failed there, or the request is slow at every upstream; which of them,
// its next run shows.
type silentRun struct {
	slot    *Slot
	silence time.Duration
}

// endWatch stops the watch of an attempt and reports a silence at its end, unless the
// caller ended it: callers may give up at sound upstreams. It returns the slot to which the
// request moves, if any.
func (h *Handler) endWatch(ctx context.Context, r *request, slot *Slot) *Slot {
	next, silence := r.watch.stop()
	if silence < r.watch.threshold || next == nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return next
	}
	switch {
	case !slot.ServedOthersDuring(silence):
		slot.ReportSilence(silence)
	case r.silentRun != nil:
		r.silentRun, r.isSlow = nil, true
	case r.isSlow:
	case next != nil:
		r.silentRun = &silentRun{slot: slot, silence: silence}
	default:
		slot.ReportSilence(silence)
	}
	return next
}

// judgeSilentRun reports that the run which the request left has failed, if the present one
// got the bytes that the other lacked in less time than that was silent.
func (r *request) judgeSilentRun() {
	if r.silentRun == nil {
		return
	}
	if time.Since(r.attemptAt) < r.silentRun.silence {
		r.silentRun.slot.ReportRunResult(true)
	} else {
		r.isSlow = true
	}
	r.silentRun = nil
}

// watchedBody is a response body that reports to a watch when it waits for bytes.
type watchedBody struct {
	io.ReadCloser
	watch   *silenceWatch
	onBytes func() // called after each read that received bytes or the end
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.watch.beginWait()
	n, err := b.ReadCloser.Read(p)
	b.watch.endWait(n > 0)
	if n > 0 || errors.Is(err, io.EOF) {
		b.onBytes()
	}
	return n, err
}

// silenceError returns the error of a request that left a silent upstream and ran nowhere
// else.
func silenceError(err error) error {
	return apierr.New(apierr.Unknown, "the upstream fell silent, and the request may have run", "send it again only if it may run twice").MayHaveRun().WithCause(err)
}
