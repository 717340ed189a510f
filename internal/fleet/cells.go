package fleet

import (
	"maps"
	"slices"
	"sort"
)

// A cell is a group of hosts that exchange their in-flight counts without delay,
// together with the upstreams that these hosts prefer. Reporting every request to
// every host of a large fleet costs more than the requests themselves, and one host
// needs only a few upstreams. A small fleet forms a single cell. In a larger one,
// hosts and upstreams are assigned to the cells of their data centre in round robin
// order, so hosts with the same lists compute the same cells.

const (
	maxSingleCellHosts = 12 // largest fleet that forms a single cell
	maxCellHosts       = 8  // per cell of a larger fleet
	meanOutsideHosts   = 3  // hosts of other cells per upstream: their requests between two load reports take less than half of its slots
)

// Cell is the cell of a host, with the upstreams that the host may use.
type Cell struct {
	Hosts            map[string]bool // names, including the host's own
	Upstreams        map[string]bool // ids of the upstreams that the cell prefers
	OutsideUpstreams map[string]bool // ids of the other cells' upstreams that the host may use; nil allows all
}

// CellOf returns the cell of the host self. The map hosts gives the data centre of
// every host by name. A host whose lists change keeps a CellIndex instead.
func CellOf(self string, hosts map[string]string, upstreams []Upstream) Cell {
	index := NewCellIndex(self, hosts)
	index.SetUpstreams(upstreams)
	cell := Cell{Hosts: index.Hosts()}
	cell.Upstreams, cell.OutsideUpstreams = index.Upstreams()
	return cell
}

// groupByDC returns the sorted names of the hosts in each data centre.
func groupByDC(hosts map[string]string) map[string][]string {
	grouped := map[string][]string{}
	for name, dataCentre := range hosts {
		grouped[dataCentre] = append(grouped[dataCentre], name)
	}
	for _, names := range grouped {
		slices.Sort(names)
	}
	return grouped
}

// cellPosition returns the position of the host's cell among those of its data centre, and
// the number of these cells.
func cellPosition(self string, localHosts []string) (index, count int) {
	count = max((len(localHosts)+maxCellHosts-1)/maxCellHosts, 1)
	position, _ := slices.BinarySearch(localHosts, self)
	return position % count, count
}

// quotas divides n upstreams among the data centres in proportion to their hosts by
// the largest remainder method. Ties go to the first data centre by name.
func quotas(hostsByDC map[string][]string, n int) map[string]int {
	hosts, left := 0, n
	for _, names := range hostsByDC {
		hosts += len(names)
	}
	quota := map[string]int{}
	for dc, names := range hostsByDC {
		quota[dc] = n * len(names) / hosts
		left -= quota[dc]
	}
	dataCentres := slices.Sorted(maps.Keys(hostsByDC))
	sort.SliceStable(dataCentres, func(i, j int) bool {
		return n*len(hostsByDC[dataCentres[i]])%hosts > n*len(hostsByDC[dataCentres[j]])%hosts
	})
	for _, dc := range dataCentres[:left] {
		quota[dc]++
	}
	return quota
}
