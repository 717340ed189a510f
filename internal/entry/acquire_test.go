package entry_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/slots"
)

// TestBatchItemWaitsForRequestsOfAnotherService guards against items that aren't placed
// though upstreams are free, because requests wait for another service.
func TestBatchItemWaitsForRequestsOfAnotherService(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		core := newCore(1)
		core.SetUpstreams([]fleet.Upstream{{ID: "u0", Service: "lm", Address: "u0", Slots: 8}, {ID: "u1", Service: "busy", Address: "u1", Slots: 1}}, 2)
		request := entry.SlotRequest{Service: "busy", WaitBudget: slots.WaitBudget{LatencyTarget: time.Minute, TimeLeft: time.Minute}}
		running, err := core.Acquire(context.Background(), request)
		c.Assert(err, qt.IsNil)
		done := make(chan struct{})
		go func() {
			defer close(done)
			waiting, err := core.Acquire(context.Background(), request)
			c.Check(err, qt.IsNil)
			waiting.Release()
		}()
		time.Sleep(time.Second)
		item := entry.BatchSlotRequest{Service: "lm", Due: time.Now(), Pause: func() {}}
		_, ok := core.AcquireBatch(item)
		c.Assert(ok, qt.IsTrue)
		item.Service = "busy"
		_, ok = core.AcquireBatch(item)
		c.Assert(ok, qt.IsFalse)
		running.Release()
		<-done
	})
}

// TestBatchItemIsPlacedBesideWaitersForOtherUpstreams guards against items that wait
// before free slots, because the requests that wait for the service can't use them.
func TestBatchItemIsPlacedBesideWaitersForOtherUpstreams(t *testing.T) {
	for name, urgency := range map[string]slots.Urgency{"in time": slots.InTime, "nearly due": slots.NearlyDue, "deferred": slots.Deferred} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := qt.New(t)
				core := newCore(1)
				core.SetUpstreams([]fleet.Upstream{{ID: "u0", Service: "lm", Address: "u0", Slots: 8}, {ID: "u1", Service: "lm", Address: "u1", Slots: 1}}, 2)
				core.MergeState(mesh.State{Host: "h2", Incarnation: "i2", Running: map[string]slots.Counts{"u1": {Online: 1}}})
				budget := slots.WaitBudget{LatencyTarget: 5 * time.Second, TimeLeft: 5 * time.Second, IsRetry: true}
				done := make(chan struct{})
				go func() {
					defer close(done)
					_, err := core.Acquire(context.Background(), entry.SlotRequest{Service: "lm", Excluded: map[string]bool{"u0": true}, WaitBudget: budget})
					c.Check(err, qt.IsNotNil)
				}()
				time.Sleep(300 * time.Millisecond)
				slot, ok := core.AcquireBatch(entry.BatchSlotRequest{Service: "lm", Due: time.Now(), Urgency: urgency, Pause: func() {}})
				<-done
				c.Assert(ok, qt.IsTrue, qt.Commentf("8 of 9 slots are free"))
				c.Assert(slot.Upstream.ID, qt.Equals, "u0")
				slot.Release()
			})
		})
	}
}
