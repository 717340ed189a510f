package entry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/slots"
)

// failAtU0 responds with status 500 at upstream u0 and with success elsewhere.
func failAtU0(call entry.Call) (*entry.Response, error) {
	if call.Upstream.ID == "u0" {
		return status(500)(call)
	}
	return complete("fine")(call)
}

// TestPeerOutcomesCountForEjection checks that the outcomes of a peer count towards the
// ejection of an upstream at this host, and that the host shares its own outcomes.
func TestPeerOutcomesCountForEjection(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		core := newCore(3)
		peer := mesh.State{Host: "h2", Incarnation: "1", DataCentre: "dc", Outcomes: map[string]slots.Outcomes{"u0": {Failed: 3, Ended: 6}}}
		core.MergeState(peer)
		c.Assert(placementsOf(core, 16)["u0"] > 0, qt.IsTrue) // too few failures for an ejection
		for core.State().Outcomes["u0"].Failed == 0 {
			_, err := serve(core, &script{steps: []func(entry.Call) (*entry.Response, error){failAtU0}}, "/once/x", "k")
			c.Assert(err, qt.IsNil)
		}
		c.Assert(placementsOf(core, 16)["u0"], qt.Equals, 0)
		time.Sleep(8 * time.Second)
		c.Assert(placementsOf(core, 16)["u0"] > 0, qt.IsTrue)
	})
}
