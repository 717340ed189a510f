package entry_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/slots"
)

// network lets connections through, or lets them time out.
type network struct {
	cut   atomic.Bool
	tried atomic.Int32
}

func (n *network) Connect(ctx context.Context, _ fleet.Upstream) error {
	n.tried.Add(1)
	if !n.cut.Load() {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// TestCutOffHostServesFromItsOwnDataCentre replays a recorded day on which a data
// centre was cut off: requests there were late, because they waited for
// connections to upstreams beyond the cut.
func TestCutOffHostServesFromItsOwnDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		core := entry.NewCore(entry.Identity{Name: "h", DataCentre: "dc0"}, log)
		var n network
		core.SetConnector(&n)
		core.SetUpstreams([]fleet.Upstream{
			{ID: "near", Service: "lm", DataCentre: "dc0", Slots: 8}, {ID: "far", Service: "lm", DataCentre: "dc1", Slots: 8},
		}, 1)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { core.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		other := mesh.State{Host: "other", Incarnation: "1", DataCentre: "dc1"}
		core.MergeState(other)
		c.Assert(placesOf(core, 8)["far"] > 0, qt.IsTrue)
		n.cut.Store(true)
		time.Sleep(8 * time.Second)
		c.Assert(placesOf(core, 8)["far"], qt.Equals, 0)
		c.Assert(n.tried.Load() > 0, qt.IsTrue)
		n.cut.Store(false)
		core.MergeState(other)
		time.Sleep(time.Second)
		c.Assert(placesOf(core, 8)["far"] > 0, qt.IsTrue)
		time.Sleep(8 * time.Second) // the host there is gone, and its upstream lives
		c.Assert(placesOf(core, 8)["far"] > 0, qt.IsTrue)
	})
}

// TestUnreachedUpstreamIsTriedBesideRequests replays an upstream that one host
// can't reach: after the first request that fails none waits for it.
func TestUnreachedUpstreamIsTriedBesideRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		core := newCore(2)
		var n network
		n.cut.Store(true)
		core.SetConnector(&n)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { core.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		_, err := serve(core, &script{steps: []func(entry.Call) (*entry.Response, error){unsent}}, "/safe/x", "k")
		c.Assert(err, qt.IsNil)
		places := placesOf(core, 8)
		c.Assert(places, qt.HasLen, 1)
		time.Sleep(10 * time.Second)
		c.Assert(placesOf(core, 8), qt.DeepEquals, places)
		n.cut.Store(false)
		time.Sleep(5 * time.Second)
		c.Assert(placesOf(core, 8), qt.HasLen, 2)
	})
}

// placesOf counts where n requests that run at once are placed.
func placesOf(core *entry.Core, n int) map[string]int {
	places := map[string]int{}
	for range n {
		place, err := core.Acquire(context.Background(), entry.SlotRequest{Service: "lm", Patience: slots.WaitBudget{Left: time.Second}})
		if err != nil {
			continue
		}
		defer place.Release()
		places[place.Upstream.ID]++
	}
	return places
}
