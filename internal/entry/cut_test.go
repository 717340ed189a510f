package entry_test

import (
	"context"
	"io"
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

// TestCutOffHostServesFromItsOwnDataCentre replays a recorded day on which a data
// centre was cut off: requests there were late, because they waited for
// connections to upstreams beyond the cut.
func TestCutOffHostServesFromItsOwnDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		core := entry.NewCore(entry.Identity{Name: "h", DataCentre: "dc0"}, log)
		core.SetUpstreams([]fleet.Upstream{
			{ID: "near", Service: "lm", DataCentre: "dc0", Slots: 8}, {ID: "far", Service: "lm", DataCentre: "dc1", Slots: 8},
		}, 1)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { core.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		other := mesh.State{Host: "other", Incarnation: "1", DataCentre: "dc1"}
		core.Absorb(other)
		c.Assert(placesOf(core, 8)["far"] > 0, qt.IsTrue)
		time.Sleep(8 * time.Second)
		c.Assert(placesOf(core, 8)["far"], qt.Equals, 0)
		core.Absorb(other)
		c.Assert(placesOf(core, 8)["far"] > 0, qt.IsTrue)
	})
}

// placesOf counts where n requests that run at once are placed.
func placesOf(core *entry.Core, n int) map[string]int {
	places := map[string]int{}
	for range n {
		place, err := core.Acquire(context.Background(), entry.Want{Service: "lm", Patience: slots.Patience{Left: time.Second}})
		if err != nil {
			continue
		}
		defer place.End()
		places[place.Upstream.ID]++
	}
	return places
}
