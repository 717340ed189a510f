package admission

import (
	"context"
	"time"

	"github.com/masticscale/masticscale/internal/dispatch"
)

// queue holds the queued requests of one service. Only the goroutine of run
// accesses the fair queues.
type queue struct {
	service     string
	pool        UpstreamPool
	intake      map[dispatch.Class]chan *waiter // per class, so that neither class can fill the other's channel
	cancelled   chan *waiter                    // waiters whose context is done
	corrections chan correction                 // of expected token counts
	wakeups     chan struct{}
	done        chan struct{} // closed when run has returned

	online fairQueue
	batch  fairQueue
	rate   drainRate
}

// correction is the difference between a request's served and expected tokens.
type correction struct {
	class  dispatch.Class
	team   string
	weight float64
	tokens int // served minus expected
}

func newQueue(service string, pool UpstreamPool) *queue {
	return &queue{
		service: service,
		pool:    pool,
		intake: map[dispatch.Class]chan *waiter{
			dispatch.Online: make(chan *waiter, intakeSize),
			dispatch.Batch:  make(chan *waiter, intakeSize),
		},
		cancelled:   make(chan *waiter, intakeSize),
		corrections: make(chan correction, intakeSize),
		wakeups:     make(chan struct{}, 1),
		done:        make(chan struct{}),
		online:      newFairQueue(byArrival),
		batch:       newFairQueue(byDeadline),
	}
}

func (q *queue) wake() {
	select {
	case q.wakeups <- struct{}{}:
	default:
	}
}

// admit waits for a slot or an error. The goroutine of run decides on every waiter;
// once run has returned, admit itself returns the error.
func (q *queue) admit(ctx context.Context, req Request) (*dispatch.Slot, error) {
	w := newWaiter(ctx, req)
	select {
	case q.intake[req.Class] <- w:
	default:
		return nil, overloadedError("the host's queue is full", 0)
	}
	select {
	case d := <-w.decision:
		return d.slot, d.err
	case <-q.done:
		return q.decisionAfterStop(w)
	case <-ctx.Done():
	}
	select {
	case q.cancelled <- w:
	case <-q.done:
	}
	select {
	case d := <-w.decision:
		if d.slot != nil {
			d.slot.Settle(0)
			d.slot.Release(false)
		}
	case <-q.done:
		if slot, _ := q.decisionAfterStop(w); slot != nil {
			slot.Release(false)
		}
	}
	return nil, cancellationError(ctx)
}

// decisionAfterStop returns the decision on a waiter after run has returned.
func (q *queue) decisionAfterStop(w *waiter) (*dispatch.Slot, error) {
	select {
	case d := <-w.decision:
		return d.slot, d.err
	default:
		return nil, stoppingError()
	}
}

func (q *queue) run(ctx context.Context) {
	defer close(q.done)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			q.rejectAll()
			return
		case w := <-q.intake[dispatch.Online]:
			q.add(&q.online, w)
		case w := <-q.intake[dispatch.Batch]:
			q.add(&q.batch, w)
		case w := <-q.cancelled:
			q.remove(w)
		case c := <-q.corrections:
			q.fairQueueFor(c.class).charge(c.team, c.weight, c.tokens)
		case <-q.wakeups:
		case <-ticker.C:
			q.online.removeIdleTeams()
			q.batch.removeIdleTeams()
		}
		q.grantAll(time.Now())
	}
}

func (q *queue) fairQueueFor(class dispatch.Class) *fairQueue {
	if class == dispatch.Batch {
		return &q.batch
	}
	return &q.online
}

func (q *queue) add(f *fairQueue, w *waiter) {
	if w.ctx.Err() != nil {
		w.decision <- decision{err: cancellationError(w.ctx)}
		return
	}
	waiting := f.waitingCount(w.req.Team)
	if w.req.MaxQueue > 0 && waiting >= w.req.MaxQueue {
		w.decision <- decision{err: overloadedError("too many requests of the team wait already", q.estimateWait(f, w))}
		return
	}
	if wait, late := q.missesDeadline(f, w); late {
		w.decision <- decision{err: overloadedError("the queue is longer than the request's time allows", wait)}
		return
	}
	f.push(w)
}

// missesDeadline reports whether an online request's deadline will pass before its
// turn, and the estimated wait.
func (q *queue) missesDeadline(f *fairQueue, w *waiter) (time.Duration, bool) {
	deadline, bounded := w.ctx.Deadline()
	if !bounded || w.req.Class != dispatch.Online {
		return 0, false
	}
	wait := q.estimateWait(f, w)
	return wait, time.Now().Add(wait).After(deadline)
}

// estimateWait returns the expected time until the request's turn, or zero if
// unknown.
func (q *queue) estimateWait(f *fairQueue, w *waiter) time.Duration {
	interval := q.rate.interval(time.Now())
	if interval == 0 {
		return 0
	}
	return interval * time.Duration(f.countAhead(w))
}

// remove takes a cancelled waiter out of its queue, unless its slot was granted
// already.
func (q *queue) remove(w *waiter) {
	if q.fairQueueFor(w.req.Class).remove(w) {
		w.decision <- decision{err: cancellationError(w.ctx)}
		return
	}
	// A waiter cancelled before it was read from intake is handled by add.
}

// grantAll grants free slots, to online requests first. Batch requests get slots
// only while no online request waits.
func (q *queue) grantAll(now time.Time) {
	q.grantFrom(&q.online, now)
	if !q.online.empty() {
		q.rejectUnservable()
		return
	}
	q.rate.reset()
	q.grantFrom(&q.batch, now)
}

// rejectUnservable rejects all online requests if no upstream is usable.
func (q *queue) rejectUnservable() {
	a := q.pool.Availability(q.service)
	if a.Usable {
		return
	}
	for w := q.online.pop(); w != nil; w = q.online.pop() {
		w.decision <- decision{err: unavailableError(a.RetryIn)}
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
			w.decision <- decision{err: cancellationError(w.ctx)}
			continue
		}
		if w.isTooLate(now) {
			f.remove(w)
			w.decision <- decision{err: timeoutError()}
			continue
		}
		slot, ok := q.pool.Reserve(dispatch.SlotRequest{Service: q.service, Class: w.req.Class})
		if !ok {
			return
		}
		f.dequeue(w)
		if w.req.Class == dispatch.Online {
			q.rate.record(now)
		}
		slot.OnSettle(q.settleFunc(w.req))
		w.decision <- decision{slot: slot}
	}
}

// settleFunc returns the callback that corrects the team's charge once the number
// of served tokens is known.
func (q *queue) settleFunc(req Request) func(int) {
	return func(tokens int) {
		c := correction{class: req.Class, team: req.Team, weight: req.Weight, tokens: tokens - max(req.Tokens, 1)}
		select {
		case q.corrections <- c:
		case <-q.done:
		}
	}
}

func (q *queue) rejectAll() {
	for _, waiters := range q.intake {
		for len(waiters) > 0 {
			w := <-waiters
			w.decision <- decision{err: stoppingError()}
		}
	}
	for _, f := range []*fairQueue{&q.online, &q.batch} {
		for w := f.pop(); w != nil; w = f.pop() {
			w.decision <- decision{err: stoppingError()}
		}
	}
}
