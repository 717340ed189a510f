package fleet

import (
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// CellIndex holds the hosts and upstreams of a fleet such that the cell of one host can be
// computed again after each change. Thousands of upstreams register within minutes, and
// dividing all of them among the cells anew takes milliseconds; a change of the index takes
// microseconds. A CellIndex is not safe for concurrent use.
type CellIndex struct {
	self      string
	hosts     map[string]string   // data centres by name
	hostsByDC map[string][]string // sorted
	upstreams map[string]Upstream // by id
	services  map[string]serviceIndex
	evacuated map[string]bool // data centres

	sample      map[string]bool // ids of the upstreams that the host may use outside of its cell
	sampleLimit uint64          // their hashes are lower
}

// serviceIndex holds the sorted ids of the upstreams of a service that aren't leaving or
// evacuated, by data centre. No list is empty.
type serviceIndex map[string][]string

// NewCellIndex returns an index without upstreams for the cell of the host self. The map
// hosts gives the data centre of every host by name; the index keeps it.
func NewCellIndex(self string, hosts map[string]string) *CellIndex {
	x := &CellIndex{self: self}
	x.SetHosts(hosts)
	x.SetUpstreams(nil)
	return x
}

// SetHosts replaces the hosts. The index keeps the map.
func (x *CellIndex) SetHosts(hosts map[string]string) {
	if x.hosts != nil && maps.Equal(hosts, x.hosts) {
		return
	}
	x.hosts, x.hostsByDC = hosts, groupByDC(hosts)
}

// SetUpstreams replaces the upstreams.
func (x *CellIndex) SetUpstreams(list []Upstream) {
	x.upstreams = make(map[string]Upstream, len(list))
	x.services = map[string]serviceIndex{}
	x.sample = map[string]bool{}
	for _, u := range list {
		x.PutUpstream(u)
	}
}

// SetEvacuated replaces the data centres whose upstreams take no requests. The other upstreams
// are divided among all cells, so that hosts of every data centre have a part of them.
func (x *CellIndex) SetEvacuated(dataCentres map[string]bool) {
	x.evacuated, x.services = maps.Clone(dataCentres), map[string]serviceIndex{}
	for _, u := range x.upstreams {
		x.addToService(u)
	}
}

// PutUpstream adds or replaces an upstream. It reports whether cells may differ from then on.
func (x *CellIndex) PutUpstream(u Upstream) bool {
	before, known := x.upstreams[u.ID]
	x.upstreams[u.ID] = u
	if !known && x.isSampled(u.ID) {
		x.sample[u.ID] = true
	}
	if known && !affectsCells(before, u) {
		return false
	}
	x.removeFromService(before)
	x.addToService(u)
	return true
}

// RemoveUpstream removes an upstream.
func (x *CellIndex) RemoveUpstream(id string) {
	x.removeFromService(x.upstreams[id])
	delete(x.upstreams, id)
	delete(x.sample, id)
}

// affectsCells reports whether cells can differ after a change of an upstream's entry.
func affectsCells(before, after Upstream) bool {
	return before.Service != after.Service || before.DataCentre != after.DataCentre || before.Leaving != after.Leaving
}

func (x *CellIndex) addToService(u Upstream) {
	if u.Leaving || x.evacuated[u.DataCentre] {
		return
	}
	service, ok := x.services[u.Service]
	if !ok {
		service = serviceIndex{}
		x.services[u.Service] = service
	}
	ids := service[u.DataCentre]
	i, _ := slices.BinarySearch(ids, u.ID)
	service[u.DataCentre] = slices.Insert(ids, i, u.ID)
}

// removeFromService does nothing if the upstream isn't in the index of its service.
func (x *CellIndex) removeFromService(u Upstream) {
	service := x.services[u.Service]
	ids := service[u.DataCentre]
	i, found := slices.BinarySearch(ids, u.ID)
	if !found {
		return
	}
	if len(ids) > 1 {
		service[u.DataCentre] = slices.Delete(ids, i, i+1)
		return
	}
	delete(service, u.DataCentre)
	if len(service) == 0 {
		delete(x.services, u.Service)
	}
}

// Hosts returns the names of the hosts of the cell, including the host's own.
func (x *CellIndex) Hosts() map[string]bool {
	members := map[string]bool{x.self: true}
	if len(x.hosts) <= maxSingleCellHosts {
		for name := range x.hosts {
			members[name] = true
		}
		return members
	}
	localHosts := x.hostsByDC[x.hosts[x.self]]
	index, count := cellPosition(x.self, localHosts)
	for i := index; i < len(localHosts); i += count {
		members[localHosts[i]] = true
	}
	return members
}

// Upstreams returns Cell.Upstreams and Cell.OutsideUpstreams of the cell. It takes time in
// proportion to the upstreams of the cell, and after a change of the number of hosts to those
// of the fleet.
func (x *CellIndex) Upstreams() (preferred, outside map[string]bool) {
	preferred = map[string]bool{}
	if len(x.hosts) <= maxSingleCellHosts {
		for id := range x.upstreams {
			preferred[id] = true
		}
		return preferred, nil
	}
	dc := x.hosts[x.self]
	index, count := cellPosition(x.self, x.hostsByDC[dc])
	for _, service := range x.services {
		ids := service.assignedTo(dc, quotas(x.hostsByDC, service.size()))
		for i := index; i < len(ids); i += count {
			preferred[ids[i]] = true
		}
	}
	x.updateSample()
	return preferred, maps.Clone(x.sample)
}

// updateSample picks the sample again if the number of hosts has changed. A sample keeps the
// number of hosts low that use an upstream whose load they learn with a delay.
func (x *CellIndex) updateSample() {
	limit := math.MaxUint64 / uint64(len(x.hosts)) * meanOutsideHosts
	if limit == x.sampleLimit {
		return
	}
	x.sampleLimit, x.sample = limit, map[string]bool{}
	for id := range x.upstreams {
		if x.isSampled(id) {
			x.sample[id] = true
		}
	}
}

func (x *CellIndex) isSampled(id string) bool {
	return xxhash.Sum64String(x.self+"\x00"+id) < x.sampleLimit
}

func (s serviceIndex) size() int {
	n := 0
	for _, ids := range s {
		n += len(ids)
	}
	return n
}

// assignedTo returns the ids of the upstreams that the data centre gets if each gets as many
// as its quota: its own upstreams first, then the surplus of others, in the order of ids and
// of the names of data centres. Without it, the cells of a data centre that lost more
// upstreams than others would send their excess requests to upstreams whose load they learn
// with a delay.
func (s serviceIndex) assignedTo(dc string, quota map[string]int) []string {
	own := s[dc]
	if len(own) >= quota[dc] {
		return own[:quota[dc]]
	}
	start := 0
	for other, n := range quota {
		if other < dc {
			start += max(n-len(s[other]), 0)
		}
	}
	return slices.Concat(own, s.surplus(quota)[start:start+quota[dc]-len(own)])
}

// surplus returns the sorted ids of the upstreams beyond the quotas of their data centres.
// They are as many as other data centres lack.
func (s serviceIndex) surplus(quota map[string]int) []string {
	var ids []string
	for dc, list := range s {
		ids = append(ids, list[min(quota[dc], len(list)):]...)
	}
	slices.Sort(ids)
	return ids
}
