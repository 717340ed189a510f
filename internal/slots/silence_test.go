package slots_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/slots"
)

// runState is a run of this host, by the ages of its wait and of its last byte; a negative
// age means never.
type runState struct {
	upstream       string
	waited, lastIn time.Duration
}

const never = -time.Second

// newSilenceBalancer returns a balancer with three upstreams of three slots, and the runs.
func newSilenceBalancer(now time.Time, states ...runState) (*slots.Balancer, []*slots.Run) {
	b := slots.NewBalancer("dc", 1)
	var list []fleet.Upstream
	for n := range 3 {
		list = append(list, fleet.Upstream{ID: fmt.Sprint("u", n), Service: "s", DataCentre: "dc", Slots: 3})
	}
	b.SetUpstreams(list)
	var runs []*slots.Run
	for _, s := range states {
		r := &slots.Run{Upstream: s.upstream}
		b.Start(r)
		if s.lastIn >= 0 {
			r.EndWait(true, now.Add(-s.lastIn))
		}
		if s.waited >= 0 {
			r.AwaitBytes(now.Add(-s.waited))
		}
		runs = append(runs, r)
	}
	return b, runs
}

// TestMoveOnlyToUpstreamsThatAreNotSilent guards against a run that moves to an upstream
// that pauses for the same reason.
func TestMoveOnlyToUpstreamsThatAreNotSilent(t *testing.T) {
	const long, brief = 1600 * time.Millisecond, 100 * time.Millisecond
	cases := []struct {
		name string
		runs []runState // besides the one at u0 that asks
		to   string     // "" if the run stays
	}{
		{"others are idle or send", []runState{{"u1", brief, brief}, {"u2", never, brief}}, "u1 u2"},
		{"all are silent", []runState{{"u1", long, never}, {"u2", long, long}}, ""},
		{"one of the others sends", []runState{{"u1", long, never}, {"u2", brief, brief}}, "u2"},
		{"one of the others sends, but has no slot", []runState{{"u1", brief, brief}, {"u1", brief, brief}, {"u1", long, never}, {"u2", long, never}}, ""},
		{"a run is stuck where another receives bytes", []runState{{"u1", long, never}, {"u1", brief, brief}, {"u2", long, never}}, "u1"},
		{"the others have waited for half as long", []runState{{"u1", long / 2, long / 2}, {"u2", long / 2, never}}, ""},
		{"the others have just begun", []runState{{"u1", brief, never}, {"u2", long, never}}, "u1"},
		{"the host waits for its caller there", []runState{{"u1", never, long}, {"u2", long, never}}, "u1"},
		{"no slot is free", []runState{
			{"u1", brief, brief}, {"u1", brief, brief}, {"u1", brief, brief}, {"u2", brief, brief}, {"u2", brief, brief}, {"u2", brief, brief},
		}, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Now()
			b, _ := newSilenceBalancer(now, append(tc.runs, runState{"u0", long, long})...)
			id, ok := b.PlaceMove("s", map[string]bool{"u0": true}, long, now)
			c.Assert(ok, qt.Equals, tc.to != "", qt.Commentf("%s", id))
			c.Assert(tc.to, qt.Contains, id)
		})
	}
}

// TestSilenceIsNoFailure guards against upstreams that a common pause takes out of use.
func TestSilenceIsNoFailure(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	b, runs := newSilenceBalancer(now, runState{"u0", 2 * time.Second, never}, runState{"u1", 2 * time.Second, never}, runState{"u2", 2 * time.Second, never})
	for range 8 {
		for _, r := range runs {
			c.Assert(b.ReportSilence(r.Upstream, 2*time.Second, now), qt.IsFalse)
		}
	}
	c.Assert(b.Outcomes(now), qt.HasLen, 0)
	for _, r := range runs {
		b.Finish(r)
	}
	_, ok := b.PlaceOnline("s", nil, now)
	c.Assert(ok, qt.IsTrue)
	_, ok = b.PlaceBatch("s", slots.InTime, nil, now)
	c.Assert(ok, qt.IsTrue)
}

// TestSilentUpstreamIsUsedLastUntilItResponds guards against requests that are sent to a
// silent upstream while others are free.
func TestSilentUpstreamIsUsedLastUntilItResponds(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	b, runs := newSilenceBalancer(now, runState{"u0", 2 * time.Second, never})
	b.ReportSilence("u0", 2*time.Second, now)
	b.Finish(runs[0])
	places := func(now time.Time) map[string]bool {
		seen := map[string]bool{}
		for range 50 {
			online, _ := b.PlaceOnline("s", nil, now)
			batch, _ := b.PlaceBatch("s", slots.InTime, nil, now)
			moved, _ := b.PlaceMove("s", nil, 2*time.Second, now)
			seen[online], seen[batch], seen[moved] = true, true, true
		}
		return seen
	}
	c.Assert(places(now)["u0"], qt.IsFalse)
	c.Assert(places(now.Add(2 * time.Second))["u0"], qt.IsTrue)
	now = now.Add(2 * time.Second)
	b.ReportSilence("u0", 2*time.Second, now)
	c.Assert(places(now.Add(3 * time.Second))["u0"], qt.IsFalse) // the second time lasts longer
	b.ReportSuccess("u0")
	c.Assert(places(now)["u0"], qt.IsTrue)
}

// TestStuckRunsEjectAnUpstreamThatServesOthers checks that silence counts as a failure
// where the upstream is alive.
func TestStuckRunsEjectAnUpstreamThatServesOthers(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	b, _ := newSilenceBalancer(now, runState{"u0", 2 * time.Second, never}, runState{"u0", 100 * time.Millisecond, 100 * time.Millisecond})
	ejected := false
	for range 4 {
		ejected = b.ReportSilence("u0", 2*time.Second, now)
	}
	c.Assert(ejected, qt.IsTrue)
}

// TestPingTellsLostConnectionsFromAPause guards against runs that wait for their deadline
// because the connections to all upstreams were lost at once.
func TestPingTellsLostConnectionsFromAPause(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	const silence = 2 * time.Second
	b, _ := newSilenceBalancer(now, runState{"u0", silence, never}, runState{"u1", silence, never}, runState{"u2", silence, never})
	move := func() string {
		id, _ := b.PlaceMove("s", map[string]bool{"u0": true}, silence, now)
		return id
	}
	c.Assert(b.DuePings(now), qt.HasLen, 0)
	c.Assert(move(), qt.Equals, "")
	c.Assert(b.DuePings(now), qt.HasLen, 2) // not the upstream that the run would leave
	c.Assert(move(), qt.Equals, "")
	c.Assert(b.DuePings(now), qt.HasLen, 0) // not again at once
	b.ReportResponse("u1", now)
	c.Assert(move(), qt.Equals, "") // its runs may be about to go on
	now = now.Add(400 * time.Millisecond)
	c.Assert(move(), qt.Equals, "u1")
	now = now.Add(time.Second)
	c.Assert(move(), qt.Equals, "") // the response is out of date
	c.Assert(b.DuePings(now), qt.HasLen, 2)
}

// TestMoveNoticesTheEndOfASilence guards against summed up activity that is kept for too long.
func TestMoveNoticesTheEndOfASilence(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	const silence = 2 * time.Second
	b, runs := newSilenceBalancer(now, runState{"u0", silence, never}, runState{"u1", silence, never}, runState{"u2", silence, never})
	excluded := map[string]bool{"u0": true}
	_, ok := b.PlaceMove("s", excluded, silence, now)
	c.Assert(ok, qt.IsFalse)
	now = now.Add(10 * time.Millisecond)
	runs[1].EndWait(true, now)
	now = now.Add(250 * time.Millisecond)
	id, ok := b.PlaceMove("s", excluded, silence, now)
	c.Assert(ok, qt.IsTrue)
	c.Assert(id, qt.Equals, "u1")
}

// pingSilent starts a ping of each silent upstream.
func pingSilent(b *slots.Balancer, now time.Time) {
	b.RequestPings("s", nil, time.Second, now)
	b.DuePings(now)
}

// slotsLeft returns the number of slots of the three upstreams less the runs that count.
// It is negative where more runs count than there are slots.
func slotsLeft(b *slots.Balancer) int {
	left := 9
	for _, running := range b.OwnCounts() {
		left -= running.Online + running.Batch
	}
	return left
}

// TestOnlySlotsOfLostRunsAreGivenBack guards against slots that are given to others though
// their runs go on.
func TestOnlySlotsOfLostRunsAreGivenBack(t *testing.T) {
	const silence = 2 * time.Second
	lost := runState{"u0", silence, never}
	brief := runState{"u0", 100 * time.Millisecond, never}
	calling := runState{"u0", never, silence}
	for _, tc := range []struct {
		name     string
		runs     []runState
		report   func(b *slots.Balancer, id string, now time.Time)
		released int
	}{
		{"the upstream is healthy", []runState{lost, lost, lost}, (*slots.Balancer).ReportHealthy, 1},
		{"two runs more than slots", []runState{lost, lost, lost, lost, lost}, (*slots.Balancer).ReportHealthy, 3},
		{"a slot is free by the counts", []runState{lost, lost}, (*slots.Balancer).ReportHealthy, 0},
		{"the upstream is full", []runState{lost, lost, lost}, (*slots.Balancer).ReportResponse, 0},
		{"the upstream doesn't respond", []runState{lost, lost, lost}, func(*slots.Balancer, string, time.Time) {}, 0},
		{"a run has just begun", []runState{lost, brief, brief, brief}, (*slots.Balancer).ReportHealthy, 1},
		{"the host waits for its caller", []runState{lost, calling, calling, calling}, (*slots.Balancer).ReportHealthy, 1},
		{"another upstream", []runState{{"u1", silence, never}, {"u1", silence, never}, {"u1", silence, never}}, (*slots.Balancer).ReportHealthy, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Now()
			b, runs := newSilenceBalancer(now, tc.runs...)
			before := slotsLeft(b)
			pingSilent(b, now)
			tc.report(b, "u0", now)
			c.Assert(b.ReviewLostRuns(now), qt.Equals, 0) // the runs may be about to go on
			now = now.Add(400 * time.Millisecond)
			c.Assert(b.ReviewLostRuns(now), qt.Equals, tc.released)
			c.Assert(b.ReviewLostRuns(now), qt.Equals, 0)
			c.Assert(slotsLeft(b), qt.Equals, before+tc.released)
			now = now.Add(time.Millisecond)
			left := before + tc.released
			for _, r := range runs {
				r.EndWait(true, now)
				c.Assert(b.ReviewLostRuns(now), qt.Equals, 0)
				c.Assert(slotsLeft(b) == left || slotsLeft(b) == left-1, qt.IsTrue) // this run's alone
				left = slotsLeft(b)
			}
			c.Assert(left, qt.Equals, before)
			for _, r := range runs {
				b.Finish(r)
			}
			c.Assert(b.Capacity("s", now).Free, qt.Equals, 9)
		})
	}
}

// TestSlotsOfARunThatGoesOnAreKept checks that bytes for one run show that connections to
// the upstream work.
func TestSlotsOfARunThatGoesOnAreKept(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	lost := runState{"u0", 2 * time.Second, never}
	b, runs := newSilenceBalancer(now, lost, lost, lost)
	pingSilent(b, now)
	b.ReportHealthy("u0", now)
	now = now.Add(400 * time.Millisecond)
	runs[1].EndWait(true, now)
	c.Assert(b.ReviewLostRuns(now), qt.Equals, 0)
}

// TestSlotsOfSlowRunsAreKept guards against the slots of sound runs that send nothing before
// their end, and that are given to others because the upstream had another free slot for a
// ping.
func TestSlotsOfSlowRunsAreKept(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	const long = 2 * time.Second
	b, _ := newSilenceBalancer(now, runState{"u0", long, never}, runState{"u0", long, never})
	pingSilent(b, now)
	b.ReportHealthy("u0", now) // in the third slot
	now = now.Add(400 * time.Millisecond)
	c.Assert(b.ReviewLostRuns(now), qt.Equals, 0)
	b.Start(&slots.Run{Upstream: "u0"})
	id, ok := b.PlaceOnline("s", map[string]bool{"u1": true, "u2": true}, now)
	c.Assert(ok, qt.IsFalse, qt.Commentf("a fourth run on three slots of %s", id))
}

// TestRunThatMadeRoomForAPing guards against the slots of sound runs that are given to others
// because a ping got the slot of a run that ended meanwhile, here or at a peer.
func TestRunThatMadeRoomForAPing(t *testing.T) {
	for _, atPeer := range []bool{false, true} {
		t.Run(fmt.Sprint(atPeer), func(t *testing.T) {
			c := qt.New(t)
			now := time.Now()
			lost := runState{"u0", 2 * time.Second, never}
			b, runs := newSilenceBalancer(now, lost, lost)
			peer := map[string]slots.Counts{"u0": {Online: 1}}
			b.SetPeerCounts("h2", peer)
			pingSilent(b, now)
			if atPeer {
				b.SetPeerCounts("h2", nil)
				b.SetPeerCounts("h2", peer)
			} else {
				b.Finish(runs[0])
				b.Start(&slots.Run{Upstream: "u0"})
			}
			b.ReportHealthy("u0", now)
			c.Assert(b.ReviewLostRuns(now.Add(400*time.Millisecond)), qt.Equals, 0)
		})
	}
}

// TestPeersRunsFillAnUpstream checks that a ping that had a slot contradicts the counts of
// all hosts together, and that a peer that has given the slot back settles it.
func TestPeersRunsFillAnUpstream(t *testing.T) {
	for _, tc := range []struct{ later, released int }{{1, 1}, {0, 0}} {
		c := qt.New(t)
		now := time.Now()
		lost := runState{"u0", 2 * time.Second, never}
		b, _ := newSilenceBalancer(now, lost, lost)
		b.SetPeerCounts("h2", map[string]slots.Counts{"u0": {Online: 1}})
		pingSilent(b, now)
		b.ReportHealthy("u0", now)
		b.SetPeerCounts("h2", map[string]slots.Counts{"u0": {Online: tc.later}})
		c.Assert(b.ReviewLostRuns(now.Add(400*time.Millisecond)), qt.Equals, tc.released)
	}
}
