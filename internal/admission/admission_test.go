package admission

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/service"
	"github.com/masticscale/masticscale/internal/telemetry"
	"github.com/masticscale/masticscale/internal/upstream"
)

const testService = "aires-lm"

// newPool returns a pool with one upstream for each number of slots.
func newPool(slots ...int) *dispatch.Pool {
	upstreams := map[string]upstream.Spec{}
	for i, n := range slots {
		upstreams[fmt.Sprintf("e%d", i+1)] = upstream.Spec{Address: fmt.Sprintf("http://e%d", i+1), Slots: n}
	}
	p := dispatch.NewPool()
	p.Apply(&catalog.Snapshot{Services: map[string]service.Spec{testService: {Kind: service.Engine, Upstreams: upstreams}}})
	return p
}

// bench is a controller that runs until the test ends.
type bench struct {
	c    *qt.C
	pool *dispatch.Pool
	*Controller
	stop func()
}

func newBench(t *testing.T, slots ...int) *bench {
	ctx, cancel := context.WithCancel(context.Background())
	b := &bench{c: qt.New(t), pool: newPool(slots...)}
	b.Controller = NewController(b.pool, telemetry.NewMetrics())
	b.pool.OnFreed(b.Wake)
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.Run(ctx)
	}()
	b.stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(b.stop)
	synctest.Wait()
	return b
}

func request(team string, class dispatch.Class) Request {
	return Request{Team: team, Weight: 1, Service: testService, Class: class, Tokens: 100, MaxQueue: 1000}
}

// later admits in the background.
func (b *bench) later(ctx context.Context, r Request) <-chan grant {
	out := make(chan grant, 1)
	go func() {
		place, err := b.Admit(ctx, r)
		out <- grant{place: place, err: err}
	}()
	synctest.Wait()
	return out
}

func (b *bench) now(r Request) *dispatch.Slot {
	place, err := b.Admit(context.Background(), r)
	b.c.Assert(err, qt.IsNil)
	return place
}

func TestBatchMakesRoomForOnline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 4)
		for range 3 {
			b.now(request("q", dispatch.Batch))
		}
		for range 4 {
			b.now(request("a", dispatch.Online))
			s := b.pool.Statuses()[0]
			b.c.Assert(s.Online+s.Batch <= s.Slots, qt.IsTrue, qt.Commentf("%+v", s))
		}
	})
}

func TestBatchWaitersLeaveRoomForOnline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		q := newQueue(testService, newPool(4))
		// The queue's goroutine has not come to its rings yet.
		for range cap(q.rings[dispatch.Batch]) {
			q.rings[dispatch.Batch] <- newWaiter(ctx, request("q", dispatch.Batch))
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

func TestRequestAfterTheQueueEndedIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 4)
		q, err := b.queueOf(testService)
		b.c.Assert(err, qt.IsNil)
		b.stop()
		_, err = q.admit(context.Background(), request("a", dispatch.Online))
		b.c.Assert(apierr.IsKind(err, apierr.Unavailable), qt.IsTrue)
	})
}

func TestGivingUpLeavesTheQueueAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		held := b.now(request("a", dispatch.Online))
		r := request("a", dispatch.Online)
		r.MaxQueue = 1
		ctx, cancel := context.WithCancel(context.Background())
		first := b.later(ctx, r)
		cancel()
		b.c.Assert(apierr.IsKind((<-first).err, apierr.Cancelled), qt.IsTrue)
		second := b.later(context.Background(), r)
		held.Release(false)
		g := <-second
		b.c.Assert(g.err, qt.IsNil)
		g.place.Release(false)
	})
}

func TestRefusesAtOnceWhenEveryUpstreamIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 4, 4)
		for _, s := range b.pool.Statuses() {
			b.pool.MarkDown(upstream.ID{Service: s.Service, Name: s.Name})
		}
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_, err := b.Admit(ctx, request("a", dispatch.Online))
		b.c.Assert(apierr.IsKind(err, apierr.Unavailable), qt.IsTrue, qt.Commentf("%v", err))
		b.c.Assert(apierr.From(err).Execution, qt.Equals, apierr.NotRun)
		b.c.Assert(apierr.From(err).RetryAfter > 0, qt.IsTrue)
		b.c.Assert(time.Since(start), qt.Equals, time.Duration(0))
	})
}

func TestRefusesAtOnceWhatCannotMeetItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		held := b.now(request("a", dispatch.Online))
		var waiting []<-chan grant
		for range 20 {
			waiting = append(waiting, b.later(context.Background(), request("a", dispatch.Online)))
		}
		// One request a second leaves: the queue's rate becomes known.
		for _, w := range waiting[:10] {
			time.Sleep(time.Second)
			held.Release(false)
			held = (<-w).place
		}
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		_, err := b.Admit(ctx, request("a", dispatch.Online))
		b.c.Assert(apierr.IsKind(err, apierr.Overloaded), qt.IsTrue, qt.Commentf("%v", err))
		b.c.Assert(apierr.From(err).RetryAfter > 3*time.Second, qt.IsTrue)
		b.c.Assert(time.Since(start), qt.Equals, time.Duration(0))
		// Another team does not stand behind the first one's queue.
		other := b.later(ctx, request("b", dispatch.Online))
		time.Sleep(time.Second)
		held.Release(false)
		g := <-other
		b.c.Assert(g.err, qt.IsNil)
		g.place.Release(false)
		for _, w := range waiting[10:] {
			(<-w).place.Release(false)
		}
	})
}
