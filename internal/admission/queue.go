package admission

import (
	"context"
	"time"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/dispatch"
)

// queue holds the waiting requests of one service. Its goroutine is the only
// writer.
type queue struct {
	places  Places
	ring    chan *waiter
	wakeups chan struct{}
	online  fairQueue
	batch   fairQueue
}

func newQueue(places Places) *queue {
	return &queue{
		places:  places,
		ring:    make(chan *waiter, ringSize),
		wakeups: make(chan struct{}, 1),
		online:  newFairQueue(),
		batch:   newFairQueue(),
	}
}

func (q *queue) wake() {
	select {
	case q.wakeups <- struct{}{}:
	default:
	}
}

func (q *queue) run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			q.refuseAll()
			return
		case w := <-q.ring:
			q.add(w)
		case <-q.wakeups:
		case <-ticker.C:
		}
		q.grantAll()
	}
}

func (q *queue) add(w *waiter) {
	target := &q.online
	if w.req.Class == dispatch.Batch {
		target = &q.batch
	}
	if w.req.MaxQueue > 0 && target.waiting(w.req.Team) >= w.req.MaxQueue {
		w.grant <- grant{err: overloaded("too many requests of the team wait already")}
		return
	}
	target.push(w)
}

// grantAll hands out places, online first, until none is left.
func (q *queue) grantAll() {
	q.grantFrom(&q.online)
	if q.online.empty() {
		q.grantFrom(&q.batch)
	}
}

func (q *queue) grantFrom(f *fairQueue) {
	for {
		w := f.peek()
		if w == nil {
			return
		}
		if w.ctx.Err() != nil {
			f.pop()
			w.grant <- grant{err: gaveUp(w.ctx)}
			continue
		}
		place, ok := q.places.Reserve(dispatch.Need{Service: w.req.Service, Class: w.req.Class})
		if !ok {
			return
		}
		f.pop()
		w.grant <- grant{place: place}
	}
}

func (q *queue) refuseAll() {
	stopping := apierr.New(apierr.Unavailable, "the host is stopping", "send it to another host").WithRetryAfter(retryAfter)
	for {
		select {
		case w := <-q.ring:
			w.grant <- grant{err: stopping}
			continue
		default:
		}
		w := q.online.pop()
		if w == nil {
			w = q.batch.pop()
		}
		if w == nil {
			return
		}
		w.grant <- grant{err: stopping}
	}
}
