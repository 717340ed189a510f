package fleet

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// divideAnew computes a cell from the lists alone, as the model for CellIndex.
func divideAnew(self string, hosts map[string]string, upstreams []Upstream) Cell {
	cell := Cell{Hosts: map[string]bool{self: true}, Upstreams: map[string]bool{}}
	if len(hosts) <= maxSingleCellHosts {
		for name := range hosts {
			cell.Hosts[name] = true
		}
		for _, u := range upstreams {
			cell.Upstreams[u.ID] = true
		}
		return cell
	}
	hostsByDC := groupByDC(hosts)
	localHosts := hostsByDC[hosts[self]]
	index, count := cellPosition(self, localHosts)
	for i, name := range localHosts {
		if i%count == index {
			cell.Hosts[name] = true
		}
	}
	for _, ids := range assignAnew(hostsByDC, upstreams) {
		for i, id := range ids[hosts[self]] {
			if i%count == index {
				cell.Upstreams[id] = true
			}
		}
	}
	cell.OutsideUpstreams = map[string]bool{}
	for _, u := range upstreams {
		if xxhash.Sum64String(self+"\x00"+u.ID) < math.MaxUint64/uint64(len(hosts))*meanOutsideHosts {
			cell.OutsideUpstreams[u.ID] = true
		}
	}
	return cell
}

// assignAnew returns the upstreams that aren't leaving, by service and data centre.
func assignAnew(hostsByDC map[string][]string, upstreams []Upstream) map[string]map[string][]string {
	byService := map[string][]Upstream{}
	for _, u := range upstreams {
		if !u.Leaving {
			byService[u.Service] = append(byService[u.Service], u)
		}
	}
	assigned := map[string]map[string][]string{}
	for service, list := range byService {
		slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
		assigned[service] = assignServiceAnew(quotas(hostsByDC, len(list)), list)
	}
	return assigned
}

func assignServiceAnew(quota map[string]int, list []Upstream) map[string][]string {
	assigned := map[string][]string{}
	var spare []string
	for _, u := range list {
		if len(assigned[u.DataCentre]) < quota[u.DataCentre] {
			assigned[u.DataCentre] = append(assigned[u.DataCentre], u.ID)
			continue
		}
		spare = append(spare, u.ID)
	}
	for _, dc := range slices.Sorted(maps.Keys(quota)) {
		transferred := min(quota[dc]-len(assigned[dc]), len(spare))
		assigned[dc] = append(assigned[dc], spare[:transferred]...)
		spare = spare[transferred:]
	}
	return assigned
}

// The fleets of drawn histories. No host is in the last data centre.
const (
	drawnHosts       = 45
	drawnUpstreams   = 60
	drawnDataCentres = 5
)

func drawUpstream(t *rapid.T) Upstream {
	return Upstream{
		ID:         fmt.Sprintf("u%02d", rapid.IntRange(0, drawnUpstreams-1).Draw(t, "id")),
		Service:    fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "service")),
		DataCentre: fmt.Sprint("dc", rapid.IntRange(0, drawnDataCentres-1).Draw(t, "upstream in")),
		Leaving:    rapid.Bool().Draw(t, "leaving"),
		Slots:      rapid.IntRange(1, 2).Draw(t, "slots"),
	}
}

func drawHosts(t *rapid.T) map[string]string {
	hosts := map[string]string{"h00": "dc0"}
	for i := range rapid.IntRange(1, drawnHosts).Draw(t, "hosts") {
		hosts[fmt.Sprintf("h%02d", i)] = fmt.Sprint("dc", rapid.IntRange(0, drawnDataCentres-2).Draw(t, "host in"))
	}
	return hosts
}

// history applies drawn changes to an index, and to the lists that the model divides.
type history struct {
	index     *CellIndex
	hosts     map[string]string
	upstreams map[string]Upstream
}

func (h *history) put(t *rapid.T) {
	u := drawUpstream(t)
	before := h.cell()
	h.upstreams[u.ID] = u
	if affects := h.index.PutUpstream(u); !affects && !cellsEqual(before, h.cell()) {
		t.Fatalf("the cell has changed, but PutUpstream returned false for %+v", u)
	}
}

func (h *history) remove(t *rapid.T) {
	id := drawUpstream(t).ID
	delete(h.upstreams, id)
	h.index.RemoveUpstream(id)
}

func (h *history) replaceUpstreams(t *rapid.T) {
	h.upstreams = map[string]Upstream{}
	for _, u := range rapid.SliceOfN(rapid.Custom(drawUpstream), 0, drawnUpstreams).Draw(t, "list") {
		h.upstreams[u.ID] = u
	}
	h.index.SetUpstreams(slices.Collect(maps.Values(h.upstreams)))
}

func (h *history) replaceHosts(t *rapid.T) {
	h.hosts = drawHosts(t)
	h.index.SetHosts(h.hosts)
}

func (h *history) cell() Cell {
	return divideAnew("h00", h.hosts, slices.Collect(maps.Values(h.upstreams)))
}

func (h *history) check(t *rapid.T) {
	got := Cell{Hosts: h.index.Hosts()}
	got.Upstreams, got.OutsideUpstreams = h.index.Upstreams()
	if want := h.cell(); !cellsEqual(got, want) {
		t.Fatalf("cell %+v, want %+v", got, want)
	}
}

func cellsEqual(a, b Cell) bool {
	return maps.Equal(a.Hosts, b.Hosts) && maps.Equal(a.Upstreams, b.Upstreams) &&
		maps.Equal(a.OutsideUpstreams, b.OutsideUpstreams) && (a.OutsideUpstreams == nil) == (b.OutsideUpstreams == nil)
}

// TestIndexDividesAsAnew checks that the cell after any changes is that of the lists.
func TestIndexDividesAsAnew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{hosts: drawHosts(t), upstreams: map[string]Upstream{}}
		h.index = NewCellIndex("h00", h.hosts)
		t.Repeat(map[string]func(*rapid.T){
			"put": h.put, "put another": h.put, "put a third": h.put, "remove": h.remove,
			"replace upstreams": h.replaceUpstreams, "replace hosts": h.replaceHosts,
			"": h.check,
		})
	})
}

// TestIndexForgetsRemovedUpstreams guards against an index that grows with each upstream
// that has ever registered.
func TestIndexForgetsRemovedUpstreams(t *testing.T) {
	c := qt.New(t)
	hosts := map[string]string{}
	for i := range 20 {
		hosts[fmt.Sprint("h", i)] = fmt.Sprint("dc", i%2)
	}
	index := NewCellIndex("h0", hosts)
	for i := range 1000 {
		u := Upstream{ID: fmt.Sprint("u", i), Service: fmt.Sprint("s", i), DataCentre: fmt.Sprint("dc", i%3)}
		index.PutUpstream(u)
		index.Upstreams()
		index.RemoveUpstream(u.ID)
	}
	c.Assert(index.upstreams, qt.HasLen, 0)
	c.Assert(index.services, qt.HasLen, 0)
	c.Assert(index.sample, qt.HasLen, 0)
}
