package entry

import (
	"fmt"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/slots"
)

// newLargeFleetCore returns the core of a host of a fleet of several cells, and the number
// of times that it has computed the upstreams of its cell.
func newLargeFleetCore(hosts int) (core *Core, computed *int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	core, computed = NewCore(Identity{Name: "h0", DataCentre: "dc0"}, log), new(int)
	core.cellUpstreams = func(cells *fleet.CellIndex) (preferred, outside map[string]bool) {
		*computed++
		return cells.Upstreams()
	}
	for i := range hosts {
		core.MergeState(mesh.State{Host: fmt.Sprint("h", i), Incarnation: "i", DataCentre: fmt.Sprint("dc", i%3)})
	}
	return core, computed
}

func newUpstream(i int) fleet.Upstream {
	return fleet.Upstream{ID: fmt.Sprintf("u%04d", i), Service: "lm", Address: fmt.Sprint("u", i), DataCentre: fmt.Sprint("dc", i%3), Slots: 8}
}

func (c *Core) freeSlots() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balancer.Capacity("lm", time.Now()).Free
}

// TestCellIsComputedOnceForManyChanges guards against a cell that is computed from all
// upstreams for each of them that registers, and for each peer that is heard.
func TestCellIsComputedOnceForManyChanges(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		core, computed := newLargeFleetCore(40)
		c.Assert(*computed, qt.Equals, 1)
		*computed = 0
		for i := range 1000 {
			time.Sleep(time.Millisecond)
			core.UpdateUpstreams([]fleet.Upstream{newUpstream(i)}, nil, int64(i))
		}
		c.Assert(*computed <= 11, qt.IsTrue, qt.Commentf("computed %d times in a second", *computed))
		time.Sleep(cellUpdateInterval)
		core.checkPeers(time.Now())
		cell := fleet.CellOf("h0", core.dataCentres(), core.balancer.Upstreams())
		c.Assert(core.freeSlots(), qt.Equals, 8*len(cell.Upstreams))
		*computed = 0
		restarted := newUpstream(0)
		restarted.Started = time.Now()
		core.UpdateUpstreams([]fleet.Upstream{restarted}, nil, 2000)
		time.Sleep(cellUpdateInterval)
		core.checkPeers(time.Now())
		c.Assert(*computed, qt.Equals, 0, qt.Commentf("a restart changes no cell"))
	})
}

// TestRemovalTakesEffectAtOnce guards against requests to an upstream that leaves or was
// removed while many others register.
func TestRemovalTakesEffectAtOnce(t *testing.T) {
	leaving := newUpstream(0)
	leaving.Leaving = true
	for name, removal := range map[string]func(*Core){
		"leaving": func(core *Core) { core.UpdateUpstreams([]fleet.Upstream{leaving}, nil, 3) },
		"removed": func(core *Core) { core.UpdateUpstreams(nil, []string{leaving.ID}, 3) },
	} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := qt.New(t)
				core, _ := newLargeFleetCore(40)
				core.SetUpstreams([]fleet.Upstream{newUpstream(0)}, 1)
				core.UpdateUpstreams([]fleet.Upstream{newUpstream(1)}, nil, 2)
				_, usable := core.balancer.PlaceOnline("lm", map[string]bool{"u0001": true}, time.Now())
				c.Assert(usable, qt.IsTrue)
				removal(core)
				_, usable = core.balancer.PlaceOnline("lm", map[string]bool{"u0001": true}, time.Now())
				c.Assert(usable, qt.IsFalse)
			})
		})
	}
}

// TestOnlyWatchersTellAllCellsOfUpstreams guards against a change of the upstreams that
// every host tells every other one.
func TestOnlyWatchersTellAllCellsOfUpstreams(t *testing.T) {
	for name, tc := range map[string]struct {
		hosts    int
		watching bool // a peer in this host's data centre
		urgent   int
	}{
		"the fleet is one cell": {hosts: 8, urgent: 1},
		"nobody else watches":   {hosts: 40, urgent: 1},
		"the store is relayed":  {hosts: 40, watching: true, urgent: 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			core, _ := newLargeFleetCore(tc.hosts)
			if tc.watching {
				core.MergeState(mesh.State{Host: "h1", Incarnation: "i", DataCentre: "dc1", Watching: true, StoreReachable: true})
			}
			c.Assert(core.ShouldWatchStore(), qt.Equals, tc.urgent == 1)
			urgent, inCell := 0, 0
			core.OnUrgentChange(func() { urgent++ })
			core.OnStateChange(func() { inCell++ })
			core.UpdateUpstreams([]fleet.Upstream{newUpstream(0)}, nil, 7)
			c.Assert(urgent, qt.Equals, tc.urgent)
			c.Assert(urgent+inCell, qt.Equals, 1)
			c.Assert(core.State().UpstreamsVersion, qt.Equals, int64(7))
		})
	}
}

// BenchmarkPeerCounts measures a peer's state with changed counts at a host of 300 that
// knows 3,000 upstreams, and this host's own state after it.
func BenchmarkPeerCounts(b *testing.B) {
	core, _ := newLargeFleetCore(300)
	var list []fleet.Upstream
	for i := range 3000 {
		list = append(list, newUpstream(i))
	}
	core.SetUpstreams(list, 1)
	for i := 0; b.Loop(); i++ {
		running := map[string]slots.Counts{"u0000": {Online: i % 2}}
		core.MergeState(mesh.State{Host: "h1", Incarnation: "i", DataCentre: "dc1", Running: running})
		core.notifyChange()
		core.State()
	}
}

// TestAnnouncementChangesCells guards against cells that differ between hosts, because not
// all of them have read that an upstream leaves. The slots of the upstream go at once.
func TestAnnouncementChangesCells(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		core, computed := newLargeFleetCore(40)
		var list []fleet.Upstream
		for i := range 60 {
			list = append(list, newUpstream(i))
		}
		core.SetUpstreams(list, 1)
		before := fleet.CellOf("h0", core.dataCentres(), core.balancer.Upstreams())
		slots := core.freeSlots()
		*computed = 0
		announced := 0
		for _, u := range list {
			if before.Upstreams[u.ID] && announced < 2 {
				announced++
				core.reportLeaving(u, "response")
			}
		}
		time.Sleep(cellUpdateInterval)
		core.checkPeers(time.Now())
		c.Assert(*computed, qt.Equals, 0)
		c.Assert(fleet.CellOf("h0", core.dataCentres(), core.balancer.Upstreams()), qt.DeepEquals, before)
		c.Assert(core.freeSlots(), qt.Equals, slots-8*announced)
	})
}

// TestForgottenPeerLeavesCells guards against cells that still count a removed host, and so
// differ from those of hosts that have never heard from it.
func TestForgottenPeerLeavesCells(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		core, _ := newLargeFleetCore(40)
		members := map[string]HostInfo{}
		for name, dc := range core.dataCentres() {
			members[name] = HostInfo{DataCentre: dc}
		}
		core.SetMembers(members, 1)
		time.Sleep(time.Minute)
		core.checkPeers(time.Now())
		delete(members, "h3") // of this host's data centre
		core.SetMembers(members, 2)
		cell := fleet.CellOf("h0", core.dataCentres(), nil)
		c.Assert(core.dataCentres(), qt.HasLen, 39)
		c.Assert(core.cellHosts, qt.DeepEquals, cell.Hosts)
	})
}
