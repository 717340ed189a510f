package entry_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/slots"
)

// greyAnswer fails at one upstream.
func greyAnswer(call entry.Call) (*entry.Response, error) {
	if call.Upstream.ID == "u0" {
		return status(500)(call)
	}
	return whole("fine")(call)
}

// TestFailuresOfPeersCount: an upstream that fails the requests of a peer is used
// last here too, and what this host sees of it is told to peers.
func TestFailuresOfPeersCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		core := newCore(3)
		peer := mesh.State{Host: "h2", Incarnation: "1", DataCentre: "dc", Outcomes: map[string]slots.Outcomes{"u0": {Failed: 3, Ended: 6}}}
		core.MergeState(peer)
		c.Assert(placesOf(core, 16)["u0"] > 0, qt.IsTrue) // too few yet
		for core.State().Outcomes["u0"].Failed == 0 {
			_, err := serve(core, &script{steps: []func(entry.Call) (*entry.Response, error){greyAnswer}}, "/once/x", "k")
			c.Assert(err, qt.IsNil)
		}
		c.Assert(placesOf(core, 16)["u0"], qt.Equals, 0)
		time.Sleep(8 * time.Second)
		c.Assert(placesOf(core, 16)["u0"] > 0, qt.IsTrue)
	})
}
