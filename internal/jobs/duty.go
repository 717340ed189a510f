package jobs

import (
	"context"
	"sync"
	"time"
)

// dutyGrace is how long the duties of a stopped runner may go on.
const dutyGrace = 700 * time.Millisecond

// duty carries out one kind of background work on jobs, for maxConcurrentClaims of them at
// a time. A job that is added again before its turn is worked on once.
type duty[T any] struct {
	do func(ctx context.Context, job T)

	mu     sync.Mutex // guards queued
	queued map[string]T
	wake   chan struct{}
}

func newDuty[T any](do func(ctx context.Context, job T)) *duty[T] {
	return &duty[T]{do: do, queued: map[string]T{}, wake: make(chan struct{}, 1)}
}

// add queues the job.
func (d *duty[T]) add(id string, job T) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queued[id] = job
	signal(d.wake)
}

// run works on the queued jobs until ctx is done, and then on those that are left. The
// calls end dutyGrace after ctx at the latest.
func (d *duty[T]) run(ctx context.Context) {
	callCtx, cancel := withGrace(ctx, dutyGrace)
	defer cancel()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-d.wake:
		}
		d.workOff(callCtx)
	}
	d.workOff(callCtx)
}

// workOff works on the jobs that are queued now.
func (d *duty[T]) workOff(ctx context.Context) {
	forEachConcurrently(d.take(), func(job T) { d.do(ctx, job) })
}

// take empties the queue.
func (d *duty[T]) take() []T {
	d.mu.Lock()
	defer d.mu.Unlock()
	taken := make([]T, 0, len(d.queued))
	for id, job := range d.queued {
		taken = append(taken, job)
		delete(d.queued, id)
	}
	return taken
}

// withGrace returns a context that is done some time after its parent.
func withGrace(parent context.Context, grace time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	stop := context.AfterFunc(parent, func() {
		timer := time.NewTimer(grace)
		defer timer.Stop()
		select {
		case <-timer.C:
			cancel()
		case <-ctx.Done():
		}
	})
	return ctx, func() {
		stop()
		cancel()
	}
}
