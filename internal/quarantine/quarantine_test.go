package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/masticscale/masticscale/internal/quarantine"
)

var epoch = time.Unix(1_700_000_000, 0)

func crashOf(request byte, upstream int) quarantine.Crash {
	return quarantine.Crash{
		Fingerprint: quarantine.Fingerprint{request},
		Upstream:    quarantine.Instance{ID: fmt.Sprint("u", upstream), StartedMS: 1},
		At:          epoch,
		Observed:    1,
		Isolated:    true,
	}
}

func runOf(x quarantine.Crash) quarantine.BrokenRun {
	return quarantine.BrokenRun{Fingerprint: x.Fingerprint, Upstream: x.Upstream, Isolated: x.Isolated, Unproven: x.Unproven, Late: x.Late}
}

func observe(table *quarantine.Table, request byte, upstream int) bool {
	return table.Observe(runOf(crashOf(request, upstream)), epoch)
}

// TestLevelRisesWithEachUpstream checks that only different process lifetimes count,
// and that a completed run clears the request.
func TestLevelRisesWithEachUpstream(t *testing.T) {
	c := qt.New(t)
	table := quarantine.NewTable()
	f := quarantine.Fingerprint{1}
	for n, want := range []quarantine.Level{quarantine.Suspected, quarantine.Isolated, quarantine.Quarantined} {
		c.Assert(observe(table, 1, n), qt.IsTrue)
		c.Assert(table.Merge(crashOf(1, n)), qt.IsFalse) // the same crash, as another host saw it
		c.Assert(table.Level(f, epoch), qt.Equals, want)
		c.Assert(table.Level(quarantine.Fingerprint{2}, epoch), qt.Equals, quarantine.Clear)
	}
	again := crashOf(1, 0)
	again.Upstream.StartedMS++
	c.Assert(table.Observe(runOf(again), epoch), qt.IsTrue)
	c.Assert(table.Complete(f), qt.IsTrue)
	c.Assert(table.Level(f, epoch), qt.Equals, quarantine.Clear)
	c.Assert(table.Merge(crashOf(1, 1)), qt.IsFalse) // a late message doesn't undo that
	c.Assert(table.Level(f, epoch), qt.Equals, quarantine.Clear)
	c.Assert(observe(table, 1, 1), qt.IsTrue) // the upstream was alive and has crashed since
	c.Assert(table.Level(f, epoch), qt.Equals, quarantine.Suspected)
}

// TestFrequentRequestIsQuarantinedAfterManyWithdrawnCrashes guards against a table whose
// places for a request are all taken by crashes that don't count.
func TestFrequentRequestIsQuarantinedAfterManyWithdrawnCrashes(t *testing.T) {
	c := qt.New(t)
	table := quarantine.NewTable()
	f := quarantine.Fingerprint{1}
	for n := range 50 {
		observe(table, 1, n)
		table.Complete(f)
	}
	for n := range 3 {
		observe(table, 1, 100+n)
	}
	c.Assert(table.Level(f, epoch), qt.Equals, quarantine.Quarantined)
}

func TestSuspicionExpires(t *testing.T) {
	c := qt.New(t)
	table := quarantine.NewTable()
	for n := range 3 {
		observe(table, 1, n)
	}
	observe(table, 2, 0)
	later := epoch.Add(30 * time.Minute)
	table.Expire(later)
	c.Assert(table.Level(quarantine.Fingerprint{2}, later), qt.Equals, quarantine.Clear)
	c.Assert(table.Level(quarantine.Fingerprint{1}, later), qt.Equals, quarantine.Quarantined)
	c.Assert(table.Remaining(quarantine.Fingerprint{1}, later), qt.Equals, 30*time.Minute)
	table.Expire(later.Add(31 * time.Minute))
	c.Assert(table.Empty(), qt.IsTrue)
}

// TestTableIsBounded fills the table far beyond its limit. A quarantined request stays.
func TestTableIsBounded(t *testing.T) {
	c := qt.New(t)
	table := quarantine.NewTable()
	for n := range 3 {
		observe(table, 1, n)
	}
	for n := range 10_000 {
		x := crashOf(2, n)
		x.Fingerprint[1], x.Fingerprint[2] = byte(n), byte(n>>8)
		table.Observe(runOf(x), epoch)
	}
	c.Assert(table.Level(quarantine.Fingerprint{1}, epoch), qt.Equals, quarantine.Quarantined)
	shared, _ := table.Shared()
	c.Assert(shared, qt.HasLen, 64)
	c.Assert(shared[0].Fingerprint, qt.Equals, quarantine.Fingerprint{1})
}

// TestMergeInAnyOrder merges the same crashes and withdrawals in two orders, as two
// hosts receive them, and compares the levels.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		crashes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantine.Crash {
			x := crashOf(byte(rapid.IntRange(0, 2).Draw(t, "request")), rapid.IntRange(0, 4).Draw(t, "upstream"))
			x.Isolated = rapid.Bool().Draw(t, "isolated")
			x.Completed = rapid.Bool().Draw(t, "completed")
			x.Unproven = rapid.Bool().Draw(t, "unproven")
			x.Late = rapid.Bool().Draw(t, "late")
			x.Observed = rapid.IntRange(1, 3).Draw(t, "observed")
			x.Withdrawn = rapid.IntRange(0, x.Observed).Draw(t, "withdrawn")
			return x
		}), 0, 30).Draw(t, "crashes")
		order := rapid.Permutation(crashes).Draw(t, "order")
		a, b := quarantine.NewTable(), quarantine.NewTable()
		for n := range crashes {
			a.Merge(crashes[n])
			b.Merge(order[n])
		}
		for f := range byte(3) {
			if x, y := a.Level(quarantine.Fingerprint{f}, epoch), b.Level(quarantine.Fingerprint{f}, epoch); x != y {
				t.Fatalf("request %d: level %v in one order, %v in the other", f, x, y)
			}
		}
	})
}

// TestOnlyAnIsolatedRunDecides guards against a request that is quarantined because it
// often ran beside the one that crashed the upstreams.
func TestOnlyAnIsolatedRunDecides(t *testing.T) {
	c := qt.New(t)
	table := quarantine.NewTable()
	f := quarantine.Fingerprint{1}
	for n := range 40 {
		x := crashOf(1, n)
		x.Isolated = false
		table.Observe(runOf(x), epoch.Add(time.Duration(n)))
	}
	c.Assert(table.Level(f, epoch), qt.Equals, quarantine.Isolated)
	observe(table, 1, 100)
	c.Assert(table.Level(f, epoch), qt.Equals, quarantine.Quarantined)
}

// TestCompletedRequestNeedsIsolatedCrashesOnly checks that a request that has run to its
// end, here or at another host, is quarantined only after isolated runs.
func TestCompletedRequestNeedsIsolatedCrashesOnly(t *testing.T) {
	c := qt.New(t)
	here, peer := quarantine.NewTable(), quarantine.NewTable()
	f := quarantine.Fingerprint{1}
	here.Complete(f)
	for n := range 4 {
		x := crashOf(1, n)
		x.Isolated = n < 2
		here.Observe(runOf(x), epoch)
	}
	shared, version := here.Shared()
	_, again := here.Shared()
	c.Assert(again, qt.Equals, version)
	for _, x := range shared {
		peer.Merge(x)
	}
	for _, table := range []*quarantine.Table{here, peer} {
		c.Assert(table.Level(f, epoch), qt.Equals, quarantine.Isolated)
		observe(table, 1, 5)
		c.Assert(table.Level(f, epoch), qt.Equals, quarantine.Quarantined)
	}
	for n := range 2000 {
		here.Complete(quarantine.Fingerprint{2, byte(n), byte(n >> 8)})
	}
	c.Assert(here.Complete(f), qt.IsTrue)
	_, again = here.Shared()
	c.Assert(again > version, qt.IsTrue)
}

// TestInnocentIsReleasedOnceTheGuiltyIsFound guards against a request that stays
// quarantined because a second request, not yet suspect, crashed the upstream of its
// isolated run.
func TestInnocentIsReleasedOnceTheGuiltyIsFound(t *testing.T) {
	c := qt.New(t)
	table := quarantine.NewTable()
	first, second, innocent := quarantine.Fingerprint{1}, quarantine.Fingerprint{2}, quarantine.Fingerprint{3}
	crash := func(upstream int, isolated quarantine.Fingerprint, running ...quarantine.Fingerprint) {
		for _, f := range running {
			x := crashOf(0, upstream)
			x.Fingerprint, x.Isolated = f, f == isolated
			table.Observe(runOf(x), epoch)
		}
	}
	none := quarantine.Fingerprint{}
	crash(0, none, first, innocent)
	crash(1, none, first, innocent)
	crash(2, first, first)
	crash(3, innocent, innocent, second)
	c.Assert(table.Level(first, epoch), qt.Equals, quarantine.Quarantined)
	c.Assert(table.Level(innocent, epoch), qt.Equals, quarantine.Quarantined)
	crash(4, none, second)
	crash(5, second, second)
	c.Assert(table.Level(second, epoch), qt.Equals, quarantine.Quarantined)
	c.Assert(table.Level(innocent, epoch), qt.Equals, quarantine.Isolated)
	c.Assert(table.Level(first, epoch), qt.Equals, quarantine.Quarantined)
}

// TestWeakCrashesCountLess guards against a request that is quarantined because it was
// sent in vain on connections that a cut had left, or ran for long at upstreams that
// ended for other reasons.
func TestWeakCrashesCountLess(t *testing.T) {
	c := qt.New(t)
	f := quarantine.Fingerprint{1}
	level := func(change func(n int, x *quarantine.Crash), crashes int) quarantine.Level {
		table := quarantine.NewTable()
		for n := range crashes {
			x := crashOf(1, n)
			change(n, &x)
			table.Observe(runOf(x), epoch)
		}
		return table.Level(f, epoch)
	}
	unproven := func(_ int, x *quarantine.Crash) { x.Unproven = true }
	late := func(_ int, x *quarantine.Crash) { x.Late = true }
	firstUnproven := func(n int, x *quarantine.Crash) { x.Unproven = n == 0 }
	c.Assert(level(unproven, 10), qt.Equals, quarantine.Suspected)
	c.Assert(level(late, 5), qt.Equals, quarantine.Isolated)
	c.Assert(level(late, 6), qt.Equals, quarantine.Quarantined)
	c.Assert(level(firstUnproven, 3), qt.Equals, quarantine.Quarantined)
}

// BenchmarkCompletedRun measures what the quarantine adds to a request of 1.5 KB that
// runs to its end.
func BenchmarkCompletedRun(b *testing.B) {
	table := quarantine.NewTable()
	body := make([]byte, 1500)
	for b.Loop() {
		table.Complete(quarantine.FingerprintOf(nil, body, "team", "POST", "fleet.example", "/a/b"))
	}
}

// BenchmarkLevelOfAQuarantinedRequest measures the check of a request that is refused,
// beside as many suspects as a table holds.
func BenchmarkLevelOfAQuarantinedRequest(b *testing.B) {
	table := quarantine.NewTable()
	for n := range 2000 {
		x := crashOf(2, n)
		x.Fingerprint[1], x.Fingerprint[2] = byte(n), byte(n>>8)
		table.Observe(runOf(x), epoch)
	}
	for n := range 3 {
		observe(table, 1, n)
	}
	for b.Loop() {
		if table.Level(quarantine.Fingerprint{1}, epoch) != quarantine.Quarantined {
			b.Fatal("not quarantined")
		}
	}
}

// TestRestartedHostQuarantinesWhatPeersHaveCompleted guards against a request that is
// quarantined as if it had never run to its end, because the host that observes its crashes
// has restarted since.
func TestRestartedHostQuarantinesWhatPeersHaveCompleted(t *testing.T) {
	c := qt.New(t)
	f := quarantine.Fingerprint{1}
	restarted, peer := quarantine.NewTable(), quarantine.NewTable()
	peer.Complete(f)
	for n := range 3 {
		x := crashOf(1, n)
		x.Isolated = n == 2
		restarted.Observe(runOf(x), epoch)
		exchange(restarted, peer)
		exchange(peer, restarted)
	}
	c.Assert(peer.Level(f, epoch), qt.Equals, quarantine.Isolated)
	c.Assert(restarted.Level(f, epoch), qt.Equals, quarantine.Isolated)
}

// exchange merges what one table shares into the other.
func exchange(from, to *quarantine.Table) {
	shared, _ := from.Shared()
	for _, x := range shared {
		to.Merge(x)
	}
}

// TestPeersIgnoreACompletedRun guards against crashes that go on to count at the hosts that
// observed them after another host has run the request to its end.
func TestPeersIgnoreACompletedRun(t *testing.T) {
	c := qt.New(t)
	f := quarantine.Fingerprint{1}
	for crashes := 1; crashes <= 3; crashes++ {
		observer, peer := quarantine.NewTable(), quarantine.NewTable()
		for n := range crashes {
			observe(observer, 1, n)
		}
		exchange(observer, peer)
		c.Assert(peer.Complete(f), qt.IsTrue)
		exchange(peer, observer)
		c.Check(observer.Level(f, epoch), qt.Equals, quarantine.Clear, qt.Commentf("%d crashes", crashes))
	}
}

// TestPeersIgnoreThatAnUpstreamLivesOn is the same with an upstream that turns out to be
// alive.
func TestPeersIgnoreThatAnUpstreamLivesOn(t *testing.T) {
	c := qt.New(t)
	observer, peer := quarantine.NewTable(), quarantine.NewTable()
	observe(observer, 1, 0)
	exchange(observer, peer)
	c.Assert(peer.WithdrawLive(epoch.Add(time.Second), map[quarantine.Instance]bool{crashOf(1, 0).Upstream: true}), qt.HasLen, 1)
	exchange(peer, observer)
	c.Assert(observer.Level(quarantine.Fingerprint{1}, epoch), qt.Equals, quarantine.Clear)
}

// TestWithdrawnCrashesTakeTheRoomOfThoseThatCount guards against a crash that peers aren't
// told of because many others were withdrawn later.
func TestWithdrawnCrashesTakeTheRoomOfThoseThatCount(t *testing.T) {
	c := qt.New(t)
	table := quarantine.NewTable()
	observe(table, 1, 0) // the one that counts
	later := epoch.Add(time.Minute)
	for request := byte(2); request < 7; request++ {
		for n := range 15 {
			x := crashOf(request, n)
			table.Observe(runOf(x), later)
		}
		table.Complete(quarantine.Fingerprint{request})
		table.Observe(runOf(crashOf(request, 99)), later)
	}
	shared, _ := table.Shared()
	found := false
	for _, x := range shared {
		found = found || x.Fingerprint == quarantine.Fingerprint{1}
	}
	c.Assert(found, qt.IsTrue)
}
