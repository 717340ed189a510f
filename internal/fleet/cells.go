package fleet

import "sort"

// Cells group hosts that tell each other at once what they run, with the
// upstreams that they use first. In a large fleet, telling every host of every
// request costs more than the requests themselves, and one host needs only a few
// upstreams. Hosts and upstreams of one data centre are dealt to its cells in
// turn, so hosts that know the same lists form the same cells.

const (
	wholeFleet = 12 // hosts up to which all form one cell
	cellHosts  = 8  // of a cell of a larger fleet
)

// Cell is the cell of one host.
type Cell struct {
	Hosts     map[string]bool // names, this host's too
	Upstreams map[string]bool // ids that the cell uses first
}

// CellOf returns the cell of the host among all hosts, given by name with their
// data centres.
func CellOf(self string, hosts map[string]string, upstreams []Upstream) Cell {
	cell := Cell{Hosts: map[string]bool{self: true}, Upstreams: map[string]bool{}}
	if len(hosts) <= wholeFleet {
		for name := range hosts {
			cell.Hosts[name] = true
		}
		for _, u := range upstreams {
			cell.Upstreams[u.ID] = true
		}
		return cell
	}
	byCentre := map[string][]string{}
	for name, dataCentre := range hosts {
		byCentre[dataCentre] = append(byCentre[dataCentre], name)
	}
	mine := byCentre[hosts[self]]
	sort.Strings(mine)
	cells := (len(mine) + cellHosts - 1) / cellHosts
	own := sort.SearchStrings(mine, self) % max(cells, 1)
	for i, name := range mine {
		if i%cells == own {
			cell.Hosts[name] = true
		}
	}
	for i, id := range near(hosts[self], byCentre, upstreams) {
		if i%max(cells, 1) == own {
			cell.Upstreams[id] = true
		}
	}
	return cell
}

// near returns the sorted ids of the upstreams in the data centre, and of those
// in data centres without hosts, which fall to all.
func near(dataCentre string, byCentre map[string][]string, upstreams []Upstream) []string {
	var ids []string
	for _, u := range upstreams {
		if u.DataCentre == dataCentre || len(byCentre[u.DataCentre]) == 0 {
			ids = append(ids, u.ID)
		}
	}
	sort.Strings(ids)
	return ids
}
