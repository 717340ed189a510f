package dispatch

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/upstream"
)

// TestItemIsQuarantinedAfterCrashes runs a batch request under which three upstreams
// crash. Each run must end with one crash, so that its caller can space the runs, and
// the request must run once the crashes are over.
func TestItemIsQuarantinedAfterCrashes(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet()
		f.crashes = 3
		hosts := newHosts(f, 2, "e1", "e2", "e3", "e4")
		for n := 1; n <= f.crashes; n++ {
			_, err := hosts[n%2].run(context.Background(), Batch, poison)
			c.Assert(apierr.IsKind(err, apierr.UpstreamError), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(f.deadCount(), qt.Equals, n)
			time.Sleep(time.Second)
		}
		for _, h := range hosts {
			for name := range f.dead {
				h.pool.Observe(idOf(name[len("http://"):]), upstream.Gone)
			}
		}
		text, err := hosts[0].run(context.Background(), Batch, poison)
		c.Assert(err, qt.IsNil)
		c.Assert(text, qt.Equals, poison)
		c.Assert(f.objects, qt.HasLen, 0)
	})
}

// TestCrashUnderAnItemCountsAgainstARequest guards against a request that is refused or
// run alone because upstreams crashed under an item of its content, and against one that
// is run again because an item of its content has ended well.
func TestCrashUnderAnItemCountsAgainstARequest(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet()
		f.crashes = 1
		h := newHosts(f, 1, "e1", "e2", "e3", "e4")[0]
		online := Request{Team: "t", Service: testService, Class: Online, Call: upstream.Call{Body: []byte(poison), Repeatable: true}}
		_, err := h.run(context.Background(), Batch, poison)
		c.Assert(err, qt.IsNotNil)
		fingerprint := FingerprintOf(h.suspects.key, online)
		c.Assert(h.suspects.State(fingerprint), qt.Equals, Clear)
		for _, level := range []Level{Suspected, Quarantined} {
			h.suspects.Merge(Suspicion{Fingerprint: fingerprint, Level: level, Since: time.Now()})
			text, err := h.run(context.Background(), Batch, poison)
			c.Assert(err, qt.IsNil, qt.Commentf("%s", level))
			c.Assert(text, qt.Equals, poison)
			c.Assert(h.suspects.State(fingerprint), qt.Equals, level)
		}
		_, err = h.run(context.Background(), Online, poison)
		c.Assert(apierr.IsKind(err, apierr.Quarantined), qt.IsTrue)
	})
}

// TestItemIsRunAgainWithoutAPause guards against a batch request that is sent at once to
// further upstreams after a run that broke, since that may end them as well.
func TestItemIsRunAgainWithoutAPause(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet()
		f.breakAttempts = true
		h := newHosts(f, 1, "e1", "e2", "e3")[0]
		_, err := h.run(context.Background(), Batch, "hello")
		c.Assert(apierr.From(err).Execution, qt.Equals, apierr.MayHaveRun, qt.Commentf("%v", err))
		c.Assert(f.attempts, qt.Equals, 1)
	})
}

// TestItemReturnsToTheUpstreamThatFailedIt guards against an item that is run again at an
// upstream that crashes under all requests, is restarted and has the most room.
func TestItemReturnsToTheUpstreamThatFailedIt(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHosts(newFleet(), 1, "e1", "e2")[0]
		_, ok := h.pool.Reserve(SlotRequest{Service: testService, Class: Online, Avoid: map[upstream.ID]bool{idOf("e1"): true}})
		c.Assert(ok, qt.IsTrue) // so that e1 has the most room
		run := func(slot *Slot) upstream.ID {
			req := Request{Team: "t", Service: testService, Class: Batch, FailedAt: idOf("e1"), Call: upstream.Call{Repeatable: true}}
			response, err := h.dispatcher.Do(t.Context(), req, slot)
			c.Assert(err, qt.IsNil)
			response.End(ReadResult{})
			return response.Upstream
		}
		for range 20 {
			slot, ok := h.pool.Reserve(SlotRequest{Service: testService, Class: Batch})
			c.Assert(ok, qt.IsTrue)
			c.Assert(run(slot), qt.Equals, idOf("e2"))
			time.Sleep(time.Minute)
		}
		h.pool.Apply(snapshotOf("e1"))
		slot, ok := h.pool.Reserve(SlotRequest{Service: testService, Class: Batch})
		c.Assert(ok, qt.IsTrue)
		c.Assert(run(slot), qt.Equals, idOf("e1"))
	})
}

// TestLongItemIsCutBeforeItsFirstByte guards against an item whose sound run is ended by
// the limit for the first byte: its answer isn't streamed, so none comes before the end.
func TestLongItemIsCutBeforeItsFirstByte(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet()
		f.gate = make(chan struct{})
		h := newHosts(f, 1, "e1")[0]
		time.AfterFunc(40*time.Second, func() { close(f.gate) })
		text, err := h.run(t.Context(), Batch, "a long item")
		c.Assert(err, qt.IsNil)
		c.Assert(text, qt.Equals, "a long item")
	})
}
