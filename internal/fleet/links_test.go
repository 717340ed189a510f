package fleet_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/fleet"
)

func hostsOf(n, dataCentres int) map[string]string {
	hosts := map[string]string{}
	for i := range n {
		hosts[fmt.Sprint("h", i)] = fmt.Sprint("dc", i%dataCentres)
	}
	return hosts
}

// linksOf returns the links of all hosts.
func linksOf(hosts map[string]string, isLive func(string) bool) map[string][]string {
	links := map[string][]string{}
	for name := range hosts {
		if isLive(name) {
			links[name] = fleet.NewCellIndex(name, hosts).Links(isLive, 0)
		}
	}
	return links
}

// TestLinksStayFewAsTheFleetGrows checks the number of hosts outside of its cell with which a
// host exchanges states, and that two hosts of each cell send to each other cell.
func TestLinksStayFewAsTheFleetGrows(t *testing.T) {
	for _, tc := range []struct{ hosts, dataCentres, most int }{{12, 3, 0}, {30, 3, 25}, {100, 3, 33}, {250, 5, 40}, {300, 8, 40}} {
		t.Run(fmt.Sprint(tc.hosts), func(t *testing.T) {
			c := qt.New(t)
			hosts := hostsOf(tc.hosts, tc.dataCentres)
			connections, pairs := map[string]int{}, map[[2]string]map[string]bool{}
			cells := map[string]string{} // the first member by name stands for the cell
			for name := range hosts {
				for member := range fleet.NewCellIndex(name, hosts).Hosts() {
					if cells[name] == "" || member < cells[name] {
						cells[name] = member
					}
				}
			}
			for name, targets := range linksOf(hosts, func(string) bool { return true }) {
				connections[name] += len(targets) + 2*(len(fleet.NewCellIndex(name, hosts).Hosts())-1)
				for _, target := range targets {
					connections[target]++
					pair := [2]string{cells[name], cells[target]}
					if pairs[pair] == nil {
						pairs[pair] = map[string]bool{}
					}
					pairs[pair][name+">"+target] = true
				}
			}
			if tc.most > 0 {
				sum, most := 0, 0
				for _, n := range connections {
					sum, most = sum+n, max(most, n)
				}
				t.Logf("connections of a host: mean %.1f, most %d", float64(sum)/float64(len(hosts)), most)
				c.Check(most <= tc.most, qt.IsTrue)
			}
			distinct := map[string]bool{}
			for _, cell := range cells {
				distinct[cell] = true
			}
			for a := range distinct {
				for b := range distinct {
					if a != b {
						c.Check(pairs[[2]string{a, b}], qt.HasLen, 2, qt.Commentf("from the cell of %s to that of %s", a, b))
					}
				}
			}
		})
	}
}

// TestLinksOfLostHostsAreTakenOver checks that live hosts take over from relays and targets that
// are gone, and that a cell without live hosts is tried by turns.
func TestLinksOfLostHostsAreTakenOver(t *testing.T) {
	c := qt.New(t)
	hosts := hostsOf(96, 3)
	lost := map[string]bool{}
	for i := range 32 {
		lost[fmt.Sprint("h", 3*i%96)] = i%2 == 0 // half of the hosts of one data centre
	}
	isLive := func(name string) bool { return !lost[name] }
	for name, targets := range linksOf(hosts, isLive) {
		for _, target := range targets {
			c.Check(lost[target], qt.IsFalse, qt.Commentf("%s sends to %s", name, target))
		}
	}
	alone := fleet.NewCellIndex("h0", hosts)
	tried := map[string]bool{}
	for attempt := range 8 {
		for _, target := range alone.Links(func(string) bool { return false }, attempt) {
			tried[target] = true
		}
	}
	c.Assert(len(tried), qt.Equals, 96-8, qt.Commentf("all hosts of other cells are tried in the end"))
}
