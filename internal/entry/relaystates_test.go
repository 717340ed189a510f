package entry_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/mesh"
)

// newCoreOfTwoCells returns the core of the host h1, whose cell it shares with the host relay; far0
// to far11 are in another data centre.
func newCoreOfTwoCells() *entry.Core {
	core := newCore(0)
	members := map[string]entry.HostInfo{"h1": {Address: "h1", DataCentre: "dc"}, "relay": {Address: "relay", DataCentre: "dc"}}
	for n := range 12 {
		members[fmt.Sprint("far", n)] = entry.HostInfo{Address: fmt.Sprint("far", n), DataCentre: "far"}
	}
	core.SetMembers(members, 1)
	return core
}

// TestRelayedStatesAreNotTakenForNewer guards against an older incarnation, an older state or the
// word of a relay that hasn't heard of a host for long, taken for what the host is now.
func TestRelayedStatesAreNotTakenForNewer(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		core := newCoreOfTwoCells()
		core.MergeState(mesh.State{Host: "relay", Incarnation: "1", DataCentre: "dc", Number: 1})
		relay := func(incarnation string, number int64, age time.Duration) {
			core.MergeRelayed("relay", []mesh.RelayedState{{
				Key: mesh.PeerKey("far1", incarnation), Age: age,
				State: &mesh.State{Host: "far1", Incarnation: incarnation, DataCentre: "far", Address: "far1", Number: number, Details: number, ConfigVersion: number},
			}})
		}
		known := func() string {
			s := core.Peers()["far1"]
			return fmt.Sprint(s.Incarnation, "/", s.Number)
		}
		relay("b", 5, time.Minute)
		c.Assert(known(), qt.Equals, "/0", qt.Commentf("heard too long ago"))
		relay("b", 5, 100*time.Millisecond)
		c.Assert(known(), qt.Equals, "b/5")
		relay("b", 4, 0)
		c.Assert(known(), qt.Equals, "b/5", qt.Commentf("an older state"))
		relay("a", 9, 0)
		c.Assert(known(), qt.Equals, "b/5", qt.Commentf("an older incarnation"))
		core.MergeState(mesh.State{Host: "far1", Incarnation: "b", DataCentre: "far", Number: 4})
		c.Assert(known(), qt.Equals, "b/5", qt.Commentf("a message of the host that a relay overtook"))
		relay("c", 1, 0)
		c.Assert(known(), qt.Equals, "c/1", qt.Commentf("the host has restarted"))
		core.MergeRelayed("relay", []mesh.RelayedState{{Key: mesh.PeerKey("far1", "b"), State: &mesh.State{Number: 99}, CountsOnly: true}})
		c.Assert(known(), qt.Equals, "c/1", qt.Commentf("counts of an older incarnation"))
		time.Sleep(10 * time.Second)
		relay("a", 1, 0)
		c.Assert(known(), qt.Equals, "a/1", qt.Commentf("the clock went back between two starts"))
	})
}

// TestRelayedHostIsLostWhenItIsSilent guards against a host that counts as live because relays
// still pass on what they last heard of it.
func TestRelayedHostIsLostWhenItIsSilent(t *testing.T) {
	runMeshFleet(t, 36, func(c *qt.C, f *meshFleet) {
		f.run(3*time.Second, nil)
		lost := f.hosts[7]
		f.kill(lost)
		limit := time.Duration(2.8*float64(mesh.CrossCellInterval(36))) + 2*time.Second
		f.run(limit, f.lostKnown)
		c.Assert(f.lostKnown(), qt.IsTrue)
		f.run(3*time.Second, nil)
		for _, h := range f.hosts {
			if h != lost {
				c.Check(h.joined[lost.name], qt.Equals, 1, qt.Commentf("%s takes the lost host for live again", h.name))
			}
		}
	})
}

// TestHostIsInvisibleAfterItsClockWentBack guards against a host that other cells never see
// again after a restart: its incarnation seems older than the one before, so its state is
// dropped at first, and later messages of relays say only that it lives.
func TestHostIsInvisibleAfterItsClockWentBack(t *testing.T) {
	runMeshFleet(t, 36, func(c *qt.C, f *meshFleet) {
		f.run(3*time.Second, nil)
		f.loss = 0 // new streams would carry the state in full
		restarted := f.hosts[1]
		f.kill(restarted)
		restarted.starts = -1 // the next incarnation is less than the first
		f.start(restarted)
		f.run(15*time.Second, func() bool { return f.missing() == 0 })
		c.Assert(f.missing(), qt.Equals, 0)
	})
}

// TestLastHeartbeatIsNotTakenForANewOne guards against a host that is lost and live by turns,
// because relays whose word takes longer pass on its last heartbeat again.
func TestLastHeartbeatIsNotTakenForANewOne(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		core := newCoreOfTwoCells()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go core.Run(ctx)
		beat := mesh.RelayedState{Key: mesh.PeerKey("far1", "a")}
		full := beat
		full.State = &mesh.State{Host: "far1", Incarnation: "a", DataCentre: "far", Number: 1}
		core.MergeRelayed("relay", []mesh.RelayedState{full})
		time.Sleep(2350 * time.Millisecond)
		c.Assert(core.Peers(), qt.HasLen, 0)
		beat.Age = 2190 * time.Millisecond // 160 ms were lost on the way
		core.MergeRelayed("relay", []mesh.RelayedState{beat})
		c.Assert(core.Peers(), qt.HasLen, 0)
		beat.Age = 100 * time.Millisecond
		core.MergeRelayed("relay", []mesh.RelayedState{beat})
		c.Assert(core.Peers(), qt.HasLen, 1)
	})
}
