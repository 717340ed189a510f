package admission

import (
	"context"
	"time"

	"github.com/masticscale/masticscale/internal/dispatch"
)

// queue holds the waiting requests of one service. Its goroutine is the only
// writer of the fair queues.
type queue struct {
	service string
	places  UpstreamPool
	rings   map[dispatch.Class]chan *waiter // one a class, so that neither fills the other's
	left    chan *waiter                    // waiters that gave up
	served  chan correction                 // tokens that differ from the estimate
	wakeups chan struct{}
	done    chan struct{} // closed when the goroutine has ended

	online fairQueue
	batch  fairQueue
	rate   drainRate
}

// correction tells the tokens that a request was really served.
type correction struct {
	class  dispatch.Class
	team   string
	weight float64
	tokens int // served minus expected
}

func newQueue(service string, places UpstreamPool) *queue {
	return &queue{
		service: service,
		places:  places,
		rings: map[dispatch.Class]chan *waiter{
			dispatch.Online: make(chan *waiter, ringSize),
			dispatch.Batch:  make(chan *waiter, ringSize),
		},
		left:    make(chan *waiter, ringSize),
		served:  make(chan correction, ringSize),
		wakeups: make(chan struct{}, 1),
		done:    make(chan struct{}),
		online:  newFairQueue(byArrival),
		batch:   newFairQueue(byDeadline),
	}
}

func (q *queue) wake() {
	select {
	case q.wakeups <- struct{}{}:
	default:
	}
}

// admit waits for a place or a refusal. It always gets one of them: from the
// queue's goroutine while that runs, and by itself afterwards.
func (q *queue) admit(ctx context.Context, req Request) (*dispatch.Slot, error) {
	w := newWaiter(ctx, req)
	select {
	case q.rings[req.Class] <- w:
	default:
		return nil, overloaded("the host's queue is full", 0)
	}
	select {
	case g := <-w.grant:
		return g.place, g.err
	case <-q.done:
		return q.afterEnd(w)
	case <-ctx.Done():
	}
	select {
	case q.left <- w:
	case <-q.done:
	}
	select {
	case g := <-w.grant:
		if g.place != nil {
			g.place.Settle(0)
			g.place.Release(false)
		}
	case <-q.done:
		if place, _ := q.afterEnd(w); place != nil {
			place.Release(false)
		}
	}
	return nil, gaveUp(ctx)
}

// afterEnd answers a waiter after the goroutine has ended.
func (q *queue) afterEnd(w *waiter) (*dispatch.Slot, error) {
	select {
	case g := <-w.grant:
		return g.place, g.err
	default:
		return nil, stopping()
	}
}

func (q *queue) run(ctx context.Context) {
	defer close(q.done)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			q.refuseAll()
			return
		case w := <-q.rings[dispatch.Online]:
			q.add(&q.online, w)
		case w := <-q.rings[dispatch.Batch]:
			q.add(&q.batch, w)
		case w := <-q.left:
			q.remove(w)
		case c := <-q.served:
			q.of(c.class).charge(c.team, c.weight, c.tokens)
		case <-q.wakeups:
		case <-ticker.C:
			q.online.sweep()
			q.batch.sweep()
		}
		q.grantAll(time.Now())
	}
}

func (q *queue) of(class dispatch.Class) *fairQueue {
	if class == dispatch.Batch {
		return &q.batch
	}
	return &q.online
}

func (q *queue) add(f *fairQueue, w *waiter) {
	if w.ctx.Err() != nil {
		w.grant <- grant{err: gaveUp(w.ctx)}
		return
	}
	ahead := f.waiting(w.req.Team)
	if w.req.MaxQueue > 0 && ahead >= w.req.MaxQueue {
		w.grant <- grant{err: overloaded("too many requests of the team wait already", q.wait(f, w))}
		return
	}
	if wait, late := q.late(f, w); late {
		w.grant <- grant{err: overloaded("the queue is longer than the request's time allows", wait)}
		return
	}
	f.push(w)
}

// late reports whether the request's time will run out before its turn.
func (q *queue) late(f *fairQueue, w *waiter) (time.Duration, bool) {
	deadline, bounded := w.ctx.Deadline()
	if !bounded || w.req.Class != dispatch.Online {
		return 0, false
	}
	wait := q.wait(f, w)
	return wait, time.Now().Add(wait).After(deadline)
}

// wait estimates the time until the request's turn; zero when it is not known.
func (q *queue) wait(f *fairQueue, w *waiter) time.Duration {
	each := q.rate.each(time.Now())
	if each == 0 {
		return 0
	}
	return each * time.Duration(f.ahead(w))
}

// remove answers a waiter that gave up, unless it has been answered already.
func (q *queue) remove(w *waiter) {
	if q.of(w.req.Class).remove(w) {
		w.grant <- grant{err: gaveUp(w.ctx)}
		return
	}
	// A waiter may give up while it is still in its ring; add answers it then.
}

// grantAll hands out places, online first, until none is left.
func (q *queue) grantAll(now time.Time) {
	q.grantFrom(&q.online, now)
	if !q.online.empty() {
		q.refuseUnservable()
		return
	}
	q.rate.idle()
	q.grantFrom(&q.batch, now)
}

// refuseUnservable refuses the online requests when no upstream will take them.
func (q *queue) refuseUnservable() {
	a := q.places.Availability(q.service)
	if a.Usable {
		return
	}
	for w := q.online.pop(); w != nil; w = q.online.pop() {
		w.grant <- grant{err: unavailable(a.RetryIn)}
	}
}

func (q *queue) grantFrom(f *fairQueue, now time.Time) {
	for {
		w := f.peek(now)
		if w == nil {
			return
		}
		if w.ctx.Err() != nil {
			f.remove(w)
			w.grant <- grant{err: gaveUp(w.ctx)}
			continue
		}
		place, ok := q.places.Reserve(dispatch.SlotRequest{Service: q.service, Class: w.req.Class})
		if !ok {
			return
		}
		f.take(w)
		if w.req.Class == dispatch.Online {
			q.rate.granted(now)
		}
		place.OnSettle(q.settler(w.req))
		w.grant <- grant{place: place}
	}
}

// settler returns the function that corrects the team's account once the served
// tokens are known.
func (q *queue) settler(req Request) func(int) {
	return func(tokens int) {
		c := correction{class: req.Class, team: req.Team, weight: req.Weight, tokens: tokens - max(req.Tokens, 1)}
		select {
		case q.served <- c:
		case <-q.done:
		}
	}
}

func (q *queue) refuseAll() {
	for _, ring := range q.rings {
		for len(ring) > 0 {
			w := <-ring
			w.grant <- grant{err: stopping()}
		}
	}
	for _, f := range []*fairQueue{&q.online, &q.batch} {
		for w := f.pop(); w != nil; w = f.pop() {
			w.grant <- grant{err: stopping()}
		}
	}
}
