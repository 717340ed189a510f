package entry_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/slots"
)

// network is a Connector whose connections succeed, or time out while partitioned.
type network struct {
	partitioned atomic.Bool
	attempts    atomic.Int32
}

func (n *network) Connect(ctx context.Context, _ fleet.Upstream) error {
	n.attempts.Add(1)
	if !n.partitioned.Load() {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// TestPartitionedHostUsesLocalUpstreams guards against requests that wait for
// connections to upstreams in unreachable data centres. In a recorded incident a
// partitioned data centre responded late for this reason.
func TestPartitionedHostUsesLocalUpstreams(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
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
		c.Assert(placementsOf(core, 8)["far"] > 0, qt.IsTrue)
		n.partitioned.Store(true)
		time.Sleep(8 * time.Second)
		c.Assert(placementsOf(core, 8)["far"], qt.Equals, 0)
		c.Assert(n.attempts.Load() > 0, qt.IsTrue)
		n.partitioned.Store(false)
		core.MergeState(other)
		time.Sleep(time.Second)
		c.Assert(placementsOf(core, 8)["far"] > 0, qt.IsTrue)
		time.Sleep(8 * time.Second) // the host in dc1 is unresponsive again, its upstream reachable
		c.Assert(placementsOf(core, 8)["far"] > 0, qt.IsTrue)
	})
}

// TestUnreachableUpstreamIsProbedInBackground guards against requests that wait for an
// upstream that only this host can't reach. After the first failed request only probes
// may try the upstream.
func TestUnreachableUpstreamIsProbedInBackground(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		core := newCore(2)
		var n network
		n.partitioned.Store(true)
		core.SetConnector(&n)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { core.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		_, err := serve(core, &script{steps: []func(entry.Call) (*entry.Response, error){connectionRefused}}, "/safe/x", "k")
		c.Assert(err, qt.IsNil)
		placements := placementsOf(core, 8)
		c.Assert(placements, qt.HasLen, 1)
		time.Sleep(10 * time.Second)
		c.Assert(placementsOf(core, 8), qt.DeepEquals, placements)
		n.partitioned.Store(false)
		time.Sleep(5 * time.Second)
		c.Assert(placementsOf(core, 8), qt.HasLen, 2)
	})
}

// placementsOf returns the number of requests per upstream for n concurrent requests.
func placementsOf(core *entry.Core, n int) map[string]int {
	placements := map[string]int{}
	for range n {
		slot, err := core.Acquire(context.Background(), entry.SlotRequest{Service: "lm", WaitBudget: slots.WaitBudget{TimeLeft: time.Second}})
		if err != nil {
			continue
		}
		defer slot.Release()
		placements[slot.Upstream.ID]++
	}
	return placements
}
