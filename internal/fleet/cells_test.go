package fleet_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/fleet"
)

func fleetOf(hosts, upstreams int) (map[string]string, []fleet.Upstream) {
	names := map[string]string{}
	for i := range hosts {
		names[fmt.Sprintf("h%03d", i)] = fmt.Sprint("dc", i%3)
	}
	var list []fleet.Upstream
	for i := range upstreams {
		list = append(list, fleet.Upstream{ID: fmt.Sprintf("u%03d", i), DataCentre: fmt.Sprint("dc", i%4)})
	}
	return names, list
}

// TestCellsCoverTheFleet checks that every upstream is in some cell, that cells
// agree about their hosts, and that no cell grows with the fleet.
func TestCellsCoverTheFleet(t *testing.T) {
	for _, size := range []int{1, 8, 12, 13, 30, 71, 380} {
		c := qt.New(t)
		names, list := fleetOf(size, size)
		covered := map[string]bool{}
		for self := range names {
			cell := fleet.CellOf(self, names, list)
			c.Assert(cell.Hosts[self], qt.IsTrue)
			c.Assert(len(cell.Hosts) <= 12, qt.IsTrue, qt.Commentf("%d hosts", len(cell.Hosts)))
			c.Assert(len(cell.Upstreams) > 0, qt.IsTrue)
			for mate := range cell.Hosts {
				c.Assert(fleet.CellOf(mate, names, list).Hosts, qt.DeepEquals, cell.Hosts)
			}
			for id := range cell.Upstreams {
				covered[id] = true
			}
		}
		c.Assert(covered, qt.HasLen, size)
	}
}
