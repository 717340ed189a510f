package upstream

import (
	"context"
	"sync/atomic"
)

// SendTracker records whether any attempt of one request was sent, even if later
// attempts were not.
type SendTracker struct{ sent atomic.Bool }

type sendTrackerKey struct{}

// WithSendTracker returns a context whose attempts are recorded in the tracker.
func WithSendTracker(ctx context.Context) (context.Context, *SendTracker) {
	t := new(SendTracker)
	return context.WithValue(ctx, sendTrackerKey{}, t), t
}

// MarkSent records that an attempt was sent. Engines call it.
func MarkSent(ctx context.Context) {
	if t, ok := ctx.Value(sendTrackerKey{}).(*SendTracker); ok {
		t.sent.Store(true)
	}
}

// Sent reports whether any attempt was sent.
func (t *SendTracker) Sent() bool { return t.sent.Load() }
