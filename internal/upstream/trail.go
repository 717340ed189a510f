package upstream

import (
	"context"
	"sync/atomic"
)

// Trail notes whether any attempt of one request was sent, whatever became of
// later attempts.
type Trail struct{ sent atomic.Bool }

type trailKey struct{}

// WithTrail returns a context whose attempts are noted in the trail.
func WithTrail(ctx context.Context) (context.Context, *Trail) {
	t := new(Trail)
	return context.WithValue(ctx, trailKey{}, t), t
}

// NoteSent notes that an attempt was sent. Engines call it.
func NoteSent(ctx context.Context) {
	if t, ok := ctx.Value(trailKey{}).(*Trail); ok {
		t.sent.Store(true)
	}
}

// Sent reports whether any attempt was sent.
func (t *Trail) Sent() bool { return t.sent.Load() }
