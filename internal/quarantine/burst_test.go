package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/quarantine"
)

// observeAt adds the crash of an upstream under an isolated run of request 1.
func observeAt(table *quarantine.Table, upstream int, at time.Time) {
	x := crashOf(1, upstream)
	table.ReportEnd(x.Upstream, at)
	table.Observe(runOf(x), at)
}

// endsOf reports the ends of upstreams that ran other requests.
func endsOf(table *quarantine.Table, at time.Time, upstreams ...int) {
	for _, n := range upstreams {
		table.ReportEnd(crashOf(9, n).Upstream, at)
	}
}

// TestBurstOfCrashesQuarantinesForGood guards against a request that is refused
// for an hour because upstreams ended under it in a burst that also ended others.
func TestBurstOfCrashesQuarantinesForGood(t *testing.T) {
	c := qt.New(t)
	table := quarantine.NewTable()
	f := quarantine.Fingerprint{1}
	for n := range 3 {
		observeAt(table, n, epoch)
	}
	endsOf(table, epoch.Add(500*time.Millisecond), 10, 11)
	c.Assert(table.Level(f, epoch.Add(time.Second)), qt.Equals, quarantine.Quarantined)
	at, ok := table.NextTrial(f)
	c.Assert(ok, qt.IsTrue)
	c.Assert(at, qt.Equals, epoch.Add(1500*time.Millisecond))
	c.Assert(table.Level(f, at), qt.Equals, quarantine.Isolated)
	c.Assert(table.Complete(f), qt.IsTrue)
	c.Assert(table.Level(f, at), qt.Equals, quarantine.Clear)
}

// TestGuiltyRequestIsTriedOnBesideABurst checks that a request that crashes upstreams is
// tried twice after a burst, and refused from then on.
func TestGuiltyRequestIsTriedOnBesideABurst(t *testing.T) {
	c := qt.New(t)
	table := quarantine.NewTable()
	f := quarantine.Fingerprint{1}
	now := epoch
	upstream := 0
	crash := func(after time.Duration) {
		now = now.Add(after)
		observeAt(table, upstream, now)
		upstream++
	}
	for range 5 { // copies that were running
		crash(100 * time.Millisecond)
	}
	endsOf(table, now, 10, 11)
	for _, delay := range []time.Duration{1500 * time.Millisecond, 2500 * time.Millisecond} {
		c.Assert(table.Level(f, now.Add(delay-time.Millisecond)), qt.Equals, quarantine.Quarantined)
		c.Assert(table.Level(f, now.Add(delay)), qt.Equals, quarantine.Isolated)
		crash(delay)
		crash(10 * time.Millisecond) // another host tried it at the same moment
		endsOf(table, now, upstream+20, upstream+21)
	}
	for _, later := range []time.Duration{0, time.Second, time.Minute, 30 * time.Minute} {
		c.Assert(table.Level(f, now.Add(later)), qt.Equals, quarantine.Quarantined)
	}
	_, ok := table.NextTrial(f)
	c.Assert(ok, qt.IsFalse)
}

// TestGuiltyRequestAloneIsNotTriedAgain checks that ends of upstreams that are far from
// the crashes, or too few, are no burst.
func TestGuiltyRequestAloneIsNotTriedAgain(t *testing.T) {
	c := qt.New(t)
	table := quarantine.NewTable()
	for n := range 3 {
		observeAt(table, n, epoch)
	}
	endsOf(table, epoch.Add(time.Second), 10)
	endsOf(table, epoch.Add(-2*time.Second), 11)
	endsOf(table, epoch.Add(7*time.Second), 12, 13)
	_, ok := table.NextTrial(quarantine.Fingerprint{1})
	c.Assert(ok, qt.IsFalse)
	c.Assert(table.Level(quarantine.Fingerprint{1}, epoch.Add(time.Minute)), qt.Equals, quarantine.Quarantined)
}

// TestInnocentRequestRanAtAllUpstreamsThatEnded guards against a request that is refused
// for an hour, though it has run to its end before, because it ran at each upstream that
// ended: no other one shows a burst.
func TestInnocentRequestRanAtAllUpstreamsThatEnded(t *testing.T) {
	c := qt.New(t)
	table := quarantine.NewTable()
	f := quarantine.Fingerprint{1}
	table.Complete(f)
	for n := range 3 {
		observeAt(table, n, epoch.Add(time.Duration(n)*300*time.Millisecond))
	}
	last := epoch.Add(600 * time.Millisecond)
	c.Assert(table.Level(f, last), qt.Equals, quarantine.Quarantined)
	at, ok := table.NextTrial(f)
	c.Assert(ok, qt.IsTrue)
	c.Assert(at, qt.Equals, last.Add(1500*time.Millisecond))
	c.Assert(table.Level(f, at), qt.Equals, quarantine.Isolated)
}

// TestTrialsBeforeACompletedRunCount guards against a request that isn't tried again after
// a burst because trials after earlier ones have failed, though it has run to its end since.
func TestTrialsBeforeACompletedRunCount(t *testing.T) {
	c := qt.New(t)
	table := quarantine.NewTable()
	f := quarantine.Fingerprint{1}
	now, upstream := epoch, 0
	for range 4 {
		for range 3 {
			observeAt(table, upstream, now)
			endsOf(table, now, 100+upstream, 200+upstream)
			upstream++
		}
		c.Assert(table.Level(f, now), qt.Equals, quarantine.Quarantined)
		now = now.Add(1500 * time.Millisecond)
		c.Assert(table.Level(f, now), qt.Equals, quarantine.Isolated)
		observeAt(table, upstream, now) // the trial fails
		endsOf(table, now, 100+upstream, 200+upstream)
		upstream++
		now = now.Add(2500 * time.Millisecond)
		c.Assert(table.Level(f, now), qt.Equals, quarantine.Isolated)
		c.Assert(table.Complete(f), qt.IsTrue)
		c.Assert(table.Level(f, now), qt.Equals, quarantine.Clear)
		now = now.Add(10 * time.Second)
	}
}

// TestTrialsEndAfterMoreCrashesThanAreKept guards against a request that is tried again
// for good because no room was left for the crashes of its trials.
func TestTrialsEndAfterMoreCrashesThanAreKept(t *testing.T) {
	c := qt.New(t)
	table := quarantine.NewTable()
	f := quarantine.Fingerprint{1}
	for n := range 20 {
		observeAt(table, n, epoch)
	}
	endsOf(table, epoch, 30, 31)
	now := epoch
	for n, delay := range []time.Duration{1500 * time.Millisecond, 2500 * time.Millisecond} {
		now = now.Add(delay)
		c.Assert(table.Level(f, now), qt.Equals, quarantine.Isolated)
		observeAt(table, 20+n, now)
		endsOf(table, now, 40+n, 50+n)
	}
	_, ok := table.NextTrial(f)
	c.Assert(ok, qt.IsFalse)
}

// TestCopiesTakeTheRoomOfFailedTrials guards against a request that is tried again for good
// because several hosts run each trial at the same moment, so that the table has no room for
// the crashes before.
func TestCopiesTakeTheRoomOfFailedTrials(t *testing.T) {
	for _, completed := range []bool{false, true} {
		for _, copies := range []int{1, 4, 5, 7, 8, 13, 16, 40} {
			t.Run(fmt.Sprintf("%d copies, completed before: %t", copies, completed), func(t *testing.T) {
				c := qt.New(t)
				hosts := []*quarantine.Table{quarantine.NewTable(), quarantine.NewTable()}
				f := quarantine.Fingerprint{1}
				want, upstream := 2, 0
				if completed {
					hosts[0].Complete(f)
					want = 3
				}
				crash := func(copies int, at time.Time) {
					for n := range copies {
						observeAt(hosts[n%2], upstream, at.Add(time.Duration(n)*5*time.Millisecond))
						upstream++
					}
					for n, h := range hosts {
						endsOf(h, at, 10_000+upstream, 20_000+upstream)
						exchange(h, hosts[1-n])
					}
				}
				crash(3, epoch)
				for n, h := range hosts {
					exchange(h, hosts[1-n])
				}
				trials := 0
				for ; trials < 10; trials++ {
					at, ok := hosts[trials%2].NextTrial(f)
					if !ok {
						break
					}
					crash(copies, at)
				}
				c.Assert(trials, qt.Equals, want)
				for _, h := range hosts {
					_, ok := h.NextTrial(f)
					c.Check(ok, qt.IsFalse)
				}
			})
		}
	}
}

// TestRequestThatBeginsToCrashUpstreams checks that a request that has run to its end, and
// crashes each upstream since, is refused after three trials.
func TestRequestThatBeginsToCrashUpstreams(t *testing.T) {
	c := qt.New(t)
	table := quarantine.NewTable()
	f := quarantine.Fingerprint{1}
	table.Complete(f)
	for n := range 3 {
		observeAt(table, n, epoch)
	}
	now := epoch
	for n, delay := range []time.Duration{1500 * time.Millisecond, 2500 * time.Millisecond, 2500 * time.Millisecond} {
		c.Assert(table.Level(f, now.Add(delay-time.Millisecond)), qt.Equals, quarantine.Quarantined)
		now = now.Add(delay)
		c.Assert(table.Level(f, now), qt.Equals, quarantine.Isolated)
		observeAt(table, 10+n, now)
	}
	_, ok := table.NextTrial(f)
	c.Assert(ok, qt.IsFalse)
	c.Assert(table.Level(f, now.Add(time.Minute)), qt.Equals, quarantine.Quarantined)
}

// TestTrialsAtTheSameMomentCountTwice guards against a request that isn't tried again
// because two hosts have tried it at the same moment, and one of the runs crashed later than
// the other.
func TestTrialsAtTheSameMomentCountTwice(t *testing.T) {
	c := qt.New(t)
	table := quarantine.NewTable()
	for n := range 3 {
		observeAt(table, n, epoch)
	}
	endsOf(table, epoch, 10, 11)
	trial := epoch.Add(1500 * time.Millisecond)
	observeAt(table, 3, trial.Add(100*time.Millisecond))
	last := trial.Add(1300 * time.Millisecond)
	observeAt(table, 4, last)
	at, ok := table.NextTrial(quarantine.Fingerprint{1})
	c.Assert(ok, qt.IsTrue)
	c.Assert(at, qt.Equals, last.Add(2500*time.Millisecond))
}
