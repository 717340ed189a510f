package admission

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/service"
	"github.com/masticscale/masticscale/internal/telemetry"
	"github.com/masticscale/masticscale/internal/upstream"
)

const testService = "aires-lm"

// newPool returns a pool with one upstream per argument, which is its number of
// slots.
func newPool(slots ...int) *dispatch.Pool {
	upstreams := map[string]upstream.Spec{}
	for i, n := range slots {
		upstreams[fmt.Sprintf("e%d", i+1)] = upstream.Spec{Address: fmt.Sprintf("http://e%d", i+1), Slots: n}
	}
	p := dispatch.NewPool()
	p.Apply(&catalog.Snapshot{Services: map[string]service.Spec{testService: {Kind: service.Engine, Upstreams: upstreams}}})
	return p
}

// fixture runs a controller until the test ends.
type fixture struct {
	c    *qt.C
	pool *dispatch.Pool
	*Controller
	stop func()
}

func newFixture(t *testing.T, slots ...int) *fixture {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fixture{c: qt.New(t), pool: newPool(slots...)}
	f.Controller = NewController(f.pool, telemetry.NewMetrics())
	f.pool.OnFreed(f.Wake)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	f.stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(f.stop)
	synctest.Wait()
	return f
}

func request(team string, class dispatch.Class) Request {
	return Request{Team: team, Weight: 1, Service: testService, Class: class, Tokens: 100, MaxQueue: 1000}
}

// admitAsync admits in a new goroutine and returns the channel of the decision.
func (f *fixture) admitAsync(ctx context.Context, r Request) <-chan decision {
	out := make(chan decision, 1)
	go func() {
		slot, err := f.Admit(ctx, r)
		out <- decision{slot: slot, err: err}
	}()
	synctest.Wait()
	return out
}

func (f *fixture) mustAdmit(r Request) *dispatch.Slot {
	slot, err := f.Admit(context.Background(), r)
	f.c.Assert(err, qt.IsNil)
	return slot
}

// TestOnlineRequestsPreemptBatch guards against more requests at an upstream than
// the upstream has slots when online requests arrive while batch runs.
func TestOnlineRequestsPreemptBatch(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		f := newFixture(t, 4)
		for range 3 {
			f.mustAdmit(request("q", dispatch.Batch))
		}
		for range 4 {
			f.mustAdmit(request("a", dispatch.Online))
			s := f.pool.Statuses()[0]
			f.c.Assert(s.Online+s.Batch <= s.Slots, qt.IsTrue, qt.Commentf("%+v", s))
		}
	})
}

// TestFullBatchIntakeDoesNotBlockOnline guards against a shared channel, in which
// waiting batch requests made the queue reject online requests.
func TestFullBatchIntakeDoesNotBlockOnline(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		q := newQueue(testService, newPool(4))
		// The batch channel is full before run reads from intake.
		for range cap(q.intake[dispatch.Batch]) {
			q.intake[dispatch.Batch] <- newWaiter(ctx, request("q", dispatch.Batch))
		}
		admitted := make(chan error, 1)
		go func() {
			_, err := q.admit(ctx, request("a", dispatch.Online))
			admitted <- err
		}()
		synctest.Wait()
		go q.run(ctx)
		c.Assert(<-admitted, qt.IsNil)
		cancel()
		<-q.done
	})
}

// TestAdmitAfterStopReturnsUnavailable guards against a request that waits forever
// for a decision after run has returned.
func TestAdmitAfterStopReturnsUnavailable(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		f := newFixture(t, 4)
		q, err := f.queueFor(testService)
		f.c.Assert(err, qt.IsNil)
		f.stop()
		_, err = q.admit(context.Background(), request("a", dispatch.Online))
		f.c.Assert(apierr.IsKind(err, apierr.Unavailable), qt.IsTrue)
	})
}

// TestCancelledRequestLeavesTheQueue guards against cancelled requests that still
// count towards their team's MaxQueue.
func TestCancelledRequestLeavesTheQueue(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		f := newFixture(t, 1)
		held := f.mustAdmit(request("a", dispatch.Online))
		r := request("a", dispatch.Online)
		r.MaxQueue = 1
		ctx, cancel := context.WithCancel(context.Background())
		first := f.admitAsync(ctx, r)
		cancel()
		f.c.Assert(apierr.IsKind((<-first).err, apierr.Cancelled), qt.IsTrue)
		second := f.admitAsync(context.Background(), r)
		held.Release(false)
		d := <-second
		f.c.Assert(d.err, qt.IsNil)
		d.slot.Release(false)
	})
}

func TestRejectsAtOnceWhenAllUpstreamsAreDown(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		f := newFixture(t, 4, 4)
		for _, s := range f.pool.Statuses() {
			f.pool.MarkDown(upstream.ID{Service: s.Service, Name: s.Name})
		}
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_, err := f.Admit(ctx, request("a", dispatch.Online))
		f.c.Assert(apierr.IsKind(err, apierr.Unavailable), qt.IsTrue, qt.Commentf("%v", err))
		f.c.Assert(apierr.From(err).Execution, qt.Equals, apierr.NotRun)
		f.c.Assert(apierr.From(err).RetryAfter > 0, qt.IsTrue)
		f.c.Assert(time.Since(start), qt.Equals, time.Duration(0))
	})
}

// TestQueuedRequestOutlastsTheLastUpstream guards against requests that wait until their
// deadline for a slot that no upstream can free.
func TestQueuedRequestOutlastsTheLastUpstream(t *testing.T) {
	for name, end := range map[string]func(*dispatch.Pool, upstream.ID){
		"down":              func(p *dispatch.Pool, id upstream.ID) { p.MarkDown(id) },
		"leaves, in health": func(p *dispatch.Pool, id upstream.ID) { p.MarkDraining(id, true) },
		"leaves, in list":   func(p *dispatch.Pool, id upstream.ID) { p.MarkLeaving(map[string]bool{id.Name: true}) },
		"removed":           func(p *dispatch.Pool, _ upstream.ID) { p.Apply(&catalog.Snapshot{}) },
	} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				f := newFixture(t, 1)
				slot := f.mustAdmit(request("a", dispatch.Online))
				defer slot.Release(false)
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				waiting := f.admitAsync(ctx, request("a", dispatch.Online))
				f.c.Assert(waiting, qt.HasLen, 0)
				start := time.Now()
				end(f.pool, upstream.ID{Service: testService, Name: "e1"})
				d := <-waiting
				f.c.Assert(apierr.IsKind(d.err, apierr.Unavailable), qt.IsTrue, qt.Commentf("%v", d.err))
				f.c.Assert(apierr.From(d.err).Execution, qt.Equals, apierr.NotRun)
				f.c.Assert(apierr.From(d.err).RetryAfter > 0, qt.IsTrue)
				f.c.Assert(time.Since(start) <= pollInterval, qt.IsTrue, qt.Commentf("after %v", time.Since(start)))
			})
		})
	}
}

func TestRejectsAtOnceWhenDeadlineCannotBeMet(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		f := newFixture(t, 1)
		held := f.mustAdmit(request("a", dispatch.Online))
		var waiting []<-chan decision
		for range 20 {
			waiting = append(waiting, f.admitAsync(context.Background(), request("a", dispatch.Online)))
		}
		// One grant per second establishes the drain rate.
		for _, w := range waiting[:10] {
			time.Sleep(time.Second)
			held.Release(false)
			held = (<-w).slot
		}
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		_, err := f.Admit(ctx, request("a", dispatch.Online))
		f.c.Assert(apierr.IsKind(err, apierr.Overloaded), qt.IsTrue, qt.Commentf("%v", err))
		f.c.Assert(apierr.From(err).RetryAfter > 3*time.Second, qt.IsTrue)
		f.c.Assert(time.Since(start), qt.Equals, time.Duration(0))
		// The backlog of one team doesn't delay another team.
		other := f.admitAsync(ctx, request("b", dispatch.Online))
		time.Sleep(time.Second)
		held.Release(false)
		d := <-other
		f.c.Assert(d.err, qt.IsNil)
		d.slot.Release(false)
		for _, w := range waiting[10:] {
			(<-w).slot.Release(false)
		}
	})
}

// TestRequestIsNotSentInItsLastMoment frees a slot just before the time of a
// request that waits for it is over.
func TestRequestIsNotSentInItsLastMoment(t *testing.T) {
	for _, test := range []struct {
		timeout, left time.Duration
		sent          bool
	}{
		{3 * time.Second, time.Millisecond, false},
		{3 * time.Second, 49 * time.Millisecond, false},
		{3 * time.Second, 50 * time.Millisecond, true},
		{100 * time.Millisecond, 9 * time.Millisecond, false},
		{100 * time.Millisecond, 10 * time.Millisecond, true},
	} {
		t.Run(fmt.Sprintf("%v of %v left", test.left, test.timeout), func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				f := newFixture(t, 1)
				held := f.mustAdmit(request("a", dispatch.Online))
				ctx, cancel := context.WithTimeout(context.Background(), test.timeout)
				defer cancel()
				late := f.admitAsync(ctx, request("a", dispatch.Online))
				next := f.admitAsync(context.Background(), request("a", dispatch.Online))
				time.Sleep(test.timeout - test.left)
				held.Release(false)
				d := <-late
				f.c.Assert(d.err == nil, qt.Equals, test.sent, qt.Commentf("%v", d.err))
				if test.sent {
					d.slot.Release(false)
				} else {
					f.c.Assert(apierr.IsKind(d.err, apierr.Timeout), qt.IsTrue, qt.Commentf("%v", d.err))
					f.c.Assert(apierr.From(d.err).Execution, qt.Equals, apierr.NotRun)
					f.c.Assert(apierr.From(d.err).RetryAfter > 0, qt.IsTrue)
				}
				d = <-next
				f.c.Assert(d.err, qt.IsNil)
				d.slot.Release(false)
			})
		})
	}
}

// TestShortRequestIsSentAtOnce has less time in all than a request that has waited
// needs.
func TestShortRequestIsSentAtOnce(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		f := newFixture(t, 1)
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		slot, err := f.Admit(ctx, request("a", dispatch.Online))
		f.c.Assert(err, qt.IsNil)
		slot.Release(false)
	})
}
