package fleet_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/fleet"
)

func newFleet(hosts, upstreams int) (map[string]string, []fleet.Upstream) {
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

// TestCellsCoverTheFleet checks that every upstream belongs to a cell, that the
// hosts of a cell compute the same cell, and that the size of a cell stays bounded
// as the fleet grows.
func TestCellsCoverTheFleet(t *testing.T) {
	for _, size := range []int{1, 8, 12, 13, 30, 71, 380} {
		c := qt.New(t)
		names, list := newFleet(size, size)
		covered := map[string]bool{}
		for self := range names {
			cell := fleet.CellOf(self, names, list)
			c.Assert(cell.Hosts[self], qt.IsTrue)
			c.Assert(len(cell.Hosts) <= 12, qt.IsTrue, qt.Commentf("%d hosts", len(cell.Hosts)))
			c.Assert(len(cell.Upstreams) > 0, qt.IsTrue)
			for member := range cell.Hosts {
				c.Assert(fleet.CellOf(member, names, list).Hosts, qt.DeepEquals, cell.Hosts)
			}
			for id := range cell.Upstreams {
				covered[id] = true
			}
		}
		c.Assert(covered, qt.HasLen, size)
	}
}

// TestCellsShareRemainingUpstreams drains most upstreams of two out of five data
// centres. It guards against cells that keep far fewer of the remaining upstreams
// per host than other cells.
func TestCellsShareRemainingUpstreams(t *testing.T) {
	c := qt.New(t)
	names := map[string]string{}
	for i := range 66 {
		names[fmt.Sprintf("h%03d", i)] = fmt.Sprint("dc", i%5)
	}
	var list []fleet.Upstream
	for i := range 60 {
		dc := i % 5
		list = append(list, fleet.Upstream{
			ID: fmt.Sprintf("u%03d", i), Service: fmt.Sprint("s", i%2), DataCentre: fmt.Sprint("dc", dc), Leaving: dc < 2 && i >= 15,
		})
	}
	staying := 0
	for _, u := range list {
		if !u.Leaving {
			staying++
		}
	}
	mean := float64(staying) / float64(len(names))
	users := map[string]map[string]bool{} // hosts by upstream
	for self := range names {
		cell := fleet.CellOf(self, names, list)
		part := float64(len(cell.Upstreams)) / float64(len(cell.Hosts))
		c.Assert(part >= mean*0.6, qt.IsTrue, qt.Commentf("%s: %d upstreams for %d hosts", self, len(cell.Upstreams), len(cell.Hosts)))
		for id := range cell.Upstreams {
			if users[id] == nil {
				users[id] = map[string]bool{}
			}
			users[id][self] = true
		}
	}
	c.Assert(users, qt.HasLen, staying)
	for id, hosts := range users {
		c.Assert(len(hosts) <= 8, qt.IsTrue, qt.Commentf("%s is used by %d hosts", id, len(hosts)))
	}
}
