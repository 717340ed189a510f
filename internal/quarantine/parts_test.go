package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/masticscale/masticscale/internal/quarantine"
)

// at returns the time after epoch.
func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// crashUnder adds the crash of the numbered upstream under a run with the parts that was sent
// 100 ms before. Each run has a content and a team of its own.
func crashUnder(table *quarantine.PartTable, upstream, ms int, parts ...string) {
	table.Observe(runWith(upstream, ms, byte(upstream), fmt.Sprint("team", upstream), parts...), at(ms))
}

func runWith(upstream, ms int, content byte, team string, parts ...string) quarantine.BrokenRun {
	return quarantine.BrokenRun{
		Fingerprint: quarantine.Fingerprint{content}, Upstream: quarantine.Instance{ID: fmt.Sprint("u", upstream), StartedMS: 1},
		PromptParts: parts, Team: team, Sent: at(ms - 100),
	}
}

func quarantinedOf(table *quarantine.PartTable, parts ...string) []string {
	found := []string{}
	for _, part := range parts {
		if table.Verdict(part) != nil {
			found = append(found, part)
		}
	}
	return found
}

// TestPartThatOthersShareIsQuarantined guards against a part that is quarantined because the
// requests that crash upstreams have it in common too, before it or behind it.
func TestPartThatOthersShareIsQuarantined(t *testing.T) {
	for name, parts := range map[string]func(n int) []string{
		"first":  func(n int) []string { return []string{"bad", fmt.Sprint("b", n%2), "c"} },
		"middle": func(n int) []string { return []string{"a", "bad", fmt.Sprint("c", n)} },
		"last":   func(n int) []string { return []string{"a", fmt.Sprint("b", n%2), "bad"} },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			table := quarantine.NewPartTable(quarantine.NewTable())
			for n := range 3 {
				table.Answer([]string{"a", "c"}, at(500*n+250))
				crashUnder(table, n, 500*n, parts(n)...)
			}
			c.Assert(quarantinedOf(table, "a", "b0", "b1", "c", "c0", "c1", "c2", "bad"), qt.DeepEquals, []string{"bad"})
		})
	}
}

// TestUpstreamsThatEndTogetherQuarantineAPart guards against a part that many requests have
// and that is quarantined because upstreams ended together, for a reason of their own.
func TestUpstreamsThatEndTogetherQuarantineAPart(t *testing.T) {
	c := qt.New(t)
	for _, answered := range []bool{false, true} {
		table := quarantine.NewPartTable(quarantine.NewTable())
		if answered {
			table.Answer([]string{"a"}, at(-200))
		}
		for n := range 9 {
			crashUnder(table, n, 10*n, "a")
		}
		c.Assert(table.Verdict("a"), qt.IsNil)
	}
}

// TestPartThatWasAnsweredBeforeBeginsToCrashUpstreams checks the bound of five crashes for a
// part with which requests were answered shortly before, here ones that wait in queues.
func TestPartThatWasAnsweredBeforeBeginsToCrashUpstreams(t *testing.T) {
	c := qt.New(t)
	table := quarantine.NewPartTable(quarantine.NewTable())
	table.Answer([]string{"a"}, at(-100))
	for n := range 4 {
		crashUnder(table, n, 300*n, "a")
		c.Assert(table.Verdict("a"), qt.IsNil)
	}
	crashUnder(table, 4, 1200, "a")
	c.Assert(table.Verdict("a"), qt.IsNotNil)
	table.Answer([]string{"a"}, at(1300))
	c.Assert(table.Verdict("a"), qt.IsNil)
}

// TestContentThatCrashesUpstreamsQuarantinesItsParts guards against parts that are quarantined
// because one request, which is sent again, crashes the upstreams by its content.
func TestContentThatCrashesUpstreamsQuarantinesItsParts(t *testing.T) {
	c := qt.New(t)
	table := quarantine.NewPartTable(quarantine.NewTable())
	for n := range 8 {
		table.Observe(runWith(n, 500*n, 1, "team", "a", "b"), at(500*n))
	}
	c.Assert(quarantinedOf(table, "a", "b"), qt.HasLen, 0)
	table.Observe(runWith(8, 4000, 2, "team", "x", "b"), at(4000))
	c.Assert(quarantinedOf(table, "a", "b"), qt.DeepEquals, []string{"b"})
}

// crashBoth adds the crash to both tables. The run is isolated from the second crash of its
// content on.
func crashBoth(table *quarantine.PartTable, requests *quarantine.Table, upstream, ms int, content byte, parts ...string) {
	run := runWith(upstream, ms, content, "team", parts...)
	run.Isolated = requests.Level(run.Fingerprint, at(ms)) == quarantine.Isolated
	table.Observe(run, at(ms))
	requests.Observe(run, at(ms))
}

// TestTwoContentsThatCrashUpstreamsQuarantineASharedPart guards against a part that stays
// quarantined because two requests with it crash upstreams by their contents.
func TestTwoContentsThatCrashUpstreamsQuarantineASharedPart(t *testing.T) {
	c := qt.New(t)
	requests := quarantine.NewTable()
	table := quarantine.NewPartTable(requests)
	for n := range 6 {
		shared := []string{"shared", "other"}[n/2%2]
		crashBoth(table, requests, n, 500*n, byte(n%2), "first", shared)
		table.Answer([]string{"first"}, at(500*n+250))
	}
	c.Assert(requests.Level(quarantine.Fingerprint{0}, at(3000)), qt.Equals, quarantine.Quarantined)
	c.Assert(requests.Level(quarantine.Fingerprint{1}, at(3000)), qt.Equals, quarantine.Quarantined)
	c.Assert(quarantinedOf(table, "shared", "other"), qt.HasLen, 0)
}

// TestTwoContentsExplainTheCrashesOfAPart guards against a part that is quarantined because of
// two requests with it that crash upstreams by their contents, and are each sent twice. Five
// crashes are tolerated under one part.
func TestTwoContentsExplainTheCrashesOfAPart(t *testing.T) {
	for contents, needed := range map[int]int{2: 5, 3: 3, 5: 3} {
		t.Run(fmt.Sprint(contents, " contents"), func(t *testing.T) {
			c := qt.New(t)
			table := quarantine.NewPartTable(quarantine.NewTable())
			for n := range needed {
				c.Assert(table.Verdict("a"), qt.IsNil, qt.Commentf("after %d crashes", n))
				table.Observe(runWith(n, 1500*n, byte(n%contents), "team", "a"), at(1500*n))
			}
			c.Assert(table.Verdict("a"), qt.IsNotNil)
		})
	}
}

// TestRequestsThatAreSentAgainHideTheirPart guards against a part that isn't found because
// each request with it is sent to upstreams until it is quarantined itself.
func TestRequestsThatAreSentAgainHideTheirPart(t *testing.T) {
	c := qt.New(t)
	for _, answered := range []bool{false, true} {
		requests := quarantine.NewTable()
		table := quarantine.NewPartTable(requests)
		if answered {
			table.Answer([]string{"bad"}, at(-200))
		}
		for n := range 6 {
			crashBoth(table, requests, n, 200*n, byte(n/3), "bad")
		}
		c.Assert(quarantinedOf(table, "bad"), qt.HasLen, 1, qt.Commentf("answered before: %t", answered))
	}
}

// TestTeamHasThePartsOfOthersRefused guards against a team that has requests of others refused
// by naming their parts in requests that crash upstreams.
func TestTeamHasThePartsOfOthersRefused(t *testing.T) {
	c := qt.New(t)
	table := quarantine.NewPartTable(quarantine.NewTable())
	for n := range 3 {
		table.Observe(runWith(n, 500*n, byte(n), "one", "a"), at(500*n))
	}
	v := table.Verdict("a")
	c.Assert(v, qt.IsNotNil)
	c.Assert(v.AppliesTo("one"), qt.IsTrue)
	c.Assert(v.AppliesTo("two"), qt.IsFalse)
	table.Observe(runWith(3, 1500, 3, "two", "a"), at(1500))
	c.Assert(table.Verdict("a").AppliesTo("three"), qt.IsTrue)
}

// TestCrashesOfOneUpstreamAreExplainedTwice checks that two parts that crash upstreams at the
// same time are both found, and that a part beside both of them isn't.
func TestCrashesOfOneUpstreamAreExplainedTwice(t *testing.T) {
	c := qt.New(t)
	table := quarantine.NewPartTable(quarantine.NewTable())
	for n := range 6 {
		bad := fmt.Sprint("bad", n%2)
		crashUnder(table, n, 300*n, "a", bad)
		table.Observe(runWith(n, 300*n, byte(100+n), "other", "a", fmt.Sprint("innocent", n%2)), at(300*n))
	}
	found := quarantinedOf(table, "bad0", "bad1", "innocent0", "innocent1")
	c.Assert(len(found) <= 2, qt.IsTrue, qt.Commentf("%v", found))
	table.Answer([]string{"a", "innocent0", "innocent1"}, at(2000))
	c.Assert(quarantinedOf(table, "a", "bad0", "bad1", "innocent0", "innocent1"), qt.DeepEquals, []string{"bad0", "bad1"})
}

// TestUnprovenCrashesQuarantineAPart guards against a part that is quarantined because a cut
// has left connections on which requests with it are sent in vain.
func TestUnprovenCrashesQuarantineAPart(t *testing.T) {
	c := qt.New(t)
	table := quarantine.NewPartTable(quarantine.NewTable())
	for n := range 9 {
		run := runWith(n, 500*n, byte(n), fmt.Sprint(n), "a")
		run.Unproven = true
		table.Observe(run, at(500*n))
	}
	c.Assert(table.Verdict("a"), qt.IsNil)
}

// TestHostsTryAPartTogether guards against trials that go on though each of them ends two
// upstreams: of the sends later than three seconds after the fifth crash, three are allowed.
func TestHostsTryAPartTogether(t *testing.T) {
	c := qt.New(t)
	for _, answered := range []bool{false, true} {
		table := quarantine.NewPartTable(quarantine.NewTable())
		if answered {
			table.Answer([]string{"a"}, at(-200))
		}
		crashes := 0
		crash := func(ms int) { crashUnder(table, crashes, ms, "a"); crashes++ }
		for ms := 0; crashes < 5; ms += 300 {
			crash(ms)
		}
		late := 0
		for v := table.Verdict("a"); !v.NextTrial.IsZero(); v = table.Verdict("a") {
			ms := int(v.NextTrial.Sub(epoch).Milliseconds()) + 200
			crash(ms)
			crash(ms + 50)
			if ms > 4*300+3000 {
				late += 2
			}
		}
		c.Assert(late <= 3, qt.IsTrue, qt.Commentf("%d late sends; answered before: %t", late, answered))
	}
}

// TestTrialsOfAPartEnd replays trials that all fail: of the sends after the fifth crash, three
// are allowed.
func TestTrialsOfAPartEnd(t *testing.T) {
	for _, answered := range []bool{false, true} {
		t.Run(fmt.Sprint("answered before ", answered), func(t *testing.T) {
			c := qt.New(t)
			table := quarantine.NewPartTable(quarantine.NewTable())
			ms, crashes := 0, 0
			if answered {
				table.Answer([]string{"a"}, at(-1))
			}
			for ; table.Verdict("a") == nil; ms += 300 {
				crashUnder(table, crashes, ms, "a")
				crashes++
			}
			c.Assert(crashes <= 5, qt.IsTrue)
			for v := table.Verdict("a"); !v.NextTrial.IsZero(); v = table.Verdict("a") {
				ms = int(v.NextTrial.Sub(epoch).Milliseconds()) + 200
				crashUnder(table, crashes, ms, "a")
				crashes++
			}
			c.Assert(crashes <= 8, qt.IsTrue, qt.Commentf("%d crashes", crashes))
			table.Expire(at(ms).Add(59 * time.Minute))
			c.Assert(table.Verdict("a"), qt.IsNotNil)
			table.Expire(at(ms).Add(61 * time.Minute))
			c.Assert(table.Verdict("a"), qt.IsNil)
		})
	}
}

// TestInventedPartsPushOutEvidence guards against callers that invent parts, so that crashes
// under a part that others have are forgotten, or peers don't hear of them.
func TestInventedPartsPushOutEvidence(t *testing.T) {
	c := qt.New(t)
	table, peer := quarantine.NewPartTable(quarantine.NewTable()), quarantine.NewPartTable(quarantine.NewTable())
	crashUnder(table, 0, 0, "bad")
	crashUnder(table, 1, 500, "bad")
	for n := range 3000 {
		crashUnder(table, 10+n, 600, fmt.Sprint("invented", n))
	}
	crashes, _ := table.Shared()
	c.Assert(len(crashes) <= 128, qt.IsTrue)
	for _, x := range crashes {
		peer.Merge(x)
	}
	for _, host := range []*quarantine.PartTable{table, peer} {
		crashUnder(host, 2, 1100, "bad")
		c.Assert(host.Verdict("bad"), qt.IsNotNil)
	}
}

// TestPeersHearThatAPartIsHarmless guards against a part that stays quarantined at hosts that
// haven't sent the request that was answered.
func TestPeersHearThatAPartIsHarmless(t *testing.T) {
	c := qt.New(t)
	table, peer := quarantine.NewPartTable(quarantine.NewTable()), quarantine.NewPartTable(quarantine.NewTable())
	for n := range 3 {
		crashUnder(table, n, 500*n, "a")
	}
	share := func() {
		crashes, _ := table.Shared()
		for _, x := range crashes {
			peer.Merge(x)
		}
	}
	share()
	c.Assert(peer.Verdict("a"), qt.IsNotNil)
	table.Answer([]string{"a"}, at(2000))
	share()
	c.Assert(peer.Verdict("a"), qt.IsNil)
	late := quarantine.PartCrash{Part: "a", Upstream: quarantine.Instance{ID: "late"}, At: at(1900), Sent: at(1800)}
	table.Merge(late) // of a host that was cut off
	c.Assert(table.Suspects([]string{"a"}), qt.IsFalse)
}

// TestPartCrashesMergeInAnyOrder checks that hosts decide alike, whatever they hear first.
func TestPartCrashesMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		crashes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantine.PartCrash {
			upstream := rapid.IntRange(0, 5).Draw(t, "upstream")
			return quarantine.PartCrash{
				Part: fmt.Sprint("p", rapid.IntRange(0, 2).Draw(t, "part")), Upstream: quarantine.Instance{ID: fmt.Sprint("u", upstream)},
				At: at(500 * upstream), Sent: at(500*upstream - 200), Depth: rapid.IntRange(0, 2).Draw(t, "depth"),
				Contents:  []quarantine.Fingerprint{{byte(rapid.IntRange(0, 2).Draw(t, "content"))}},
				Teams:     []string{fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "team"))},
				Withdrawn: rapid.Bool().Draw(t, "withdrawn"), Answered: rapid.Bool().Draw(t, "answered"), Unproven: rapid.Bool().Draw(t, "unproven"),
			}
		}), 0, 30).Draw(t, "crashes")
		order := rapid.Permutation(crashes).Draw(t, "order")
		a, b := quarantine.NewPartTable(quarantine.NewTable()), quarantine.NewPartTable(quarantine.NewTable())
		for n := range crashes {
			a.Merge(crashes[n])
			b.Merge(order[n])
		}
		for part := range 3 {
			x, y := a.Verdict(fmt.Sprint("p", part)), b.Verdict(fmt.Sprint("p", part))
			if (x == nil) != (y == nil) || x != nil && (x.Crashes != y.Crashes || !x.NextTrial.Equal(y.NextTrial)) {
				t.Fatalf("part %d: %+v in one order, %+v in the other", part, x, y)
			}
		}
	})
}

// BenchmarkAnswer is what each answered request costs with a full table.
func BenchmarkAnswer(b *testing.B) {
	table := fullPartTable()
	parts := []string{"x", "y", "z"}
	for n := 0; b.Loop(); n++ {
		table.Answer(parts, at(n))
	}
}

// BenchmarkVerdict is what a crash costs with a full table.
func BenchmarkVerdict(b *testing.B) {
	table := fullPartTable()
	for n := 0; b.Loop(); n++ {
		crashUnder(table, n%9, n, "bad")
		table.Verdict("bad")
	}
}

func fullPartTable() *quarantine.PartTable {
	table := quarantine.NewPartTable(quarantine.NewTable())
	for n := range 1024 {
		for upstream := range 16 {
			crashUnder(table, upstream, upstream, fmt.Sprint("part", n))
		}
	}
	return table
}
