package fleet

import (
	"maps"
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Cells group hosts that tell each other at once what they run, with the
// upstreams that they use first. In a large fleet, telling every host of every
// request costs more than the requests themselves, and one host needs only a few
// upstreams. Hosts and upstreams are dealt to the cells of a data centre in turn, so
// hosts that know the same lists form the same cells.

const (
	wholeFleet   = 12 // hosts up to which all form one cell
	cellHosts    = 8  // of a cell of a larger fleet
	outsideHosts = 3  // hosts of other cells that may use an upstream, on average: what they send before they hear of each other stays below half of its slots
)

// Cell is the cell of one host.
type Cell struct {
	Hosts     map[string]bool // names, this host's too
	Upstreams map[string]bool // ids that the cell uses first
	Others    map[string]bool // ids of other cells that this host may use; nil makes it all
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
	for _, ids := range deal(byCentre, upstreams) {
		for i, id := range ids[hosts[self]] {
			if i%max(cells, 1) == own {
				cell.Upstreams[id] = true
			}
		}
	}
	cell.Others = others(self, len(hosts), upstreams)
	return cell
}

// others picks the upstreams beyond its cell that the host may use, so that few
// hosts use one of which they hear with a delay.
func others(self string, hosts int, upstreams []Upstream) map[string]bool {
	picked := map[string]bool{}
	for _, u := range upstreams {
		if xxhash.Sum64String(self+"\x00"+u.ID) < math.MaxUint64/uint64(hosts)*outsideHosts {
			picked[u.ID] = true
		}
	}
	return picked
}

// deal gives each data centre as many upstreams of each service as falls on its
// hosts: its own first, then those that others have to spare. It answers data
// centres that lose more upstreams than others, whose cells would send what they
// have no slots for to upstreams that they know with a delay. The result is by
// service and data centre; upstreams that leave are in none.
func deal(byCentre map[string][]string, upstreams []Upstream) map[string]map[string][]string {
	byService := map[string][]Upstream{}
	for _, u := range upstreams {
		if !u.Leaving {
			byService[u.Service] = append(byService[u.Service], u)
		}
	}
	dealt := map[string]map[string][]string{}
	for service, list := range byService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
		dealt[service] = dealService(quotas(byCentre, len(list)), list)
	}
	return dealt
}

func dealService(quota map[string]int, list []Upstream) map[string][]string {
	dealt := map[string][]string{}
	var spare []string
	for _, u := range list {
		if len(dealt[u.DataCentre]) < quota[u.DataCentre] {
			dealt[u.DataCentre] = append(dealt[u.DataCentre], u.ID)
			continue
		}
		spare = append(spare, u.ID)
	}
	for _, dc := range slices.Sorted(maps.Keys(quota)) {
		lacking := min(quota[dc]-len(dealt[dc]), len(spare))
		dealt[dc] = append(dealt[dc], spare[:lacking]...)
		spare = spare[lacking:]
	}
	return dealt
}

// quotas divides n upstreams among the data centres by their hosts. What is left
// by rounding goes to the largest remainders, and among these by name.
func quotas(byCentre map[string][]string, n int) map[string]int {
	hosts, left := 0, n
	for _, names := range byCentre {
		hosts += len(names)
	}
	quota := map[string]int{}
	for dc, names := range byCentre {
		quota[dc] = n * len(names) / hosts
		left -= quota[dc]
	}
	centres := slices.Sorted(maps.Keys(byCentre))
	sort.SliceStable(centres, func(i, j int) bool {
		return n*len(byCentre[centres[i]])%hosts > n*len(byCentre[centres[j]])%hosts
	})
	for _, dc := range centres[:left] {
		quota[dc]++
	}
	return quota
}
