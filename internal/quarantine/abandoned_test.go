package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/quarantine"
)

func abandonedRun(request byte, upstream string, ended time.Time) quarantine.AbandonedRun {
	return quarantine.AbandonedRun{
		Fingerprint: quarantine.Fingerprint{request}, Upstream: quarantine.Instance{ID: upstream},
		Started: ended.Add(-10 * time.Millisecond), Ended: ended,
	}
}

// sentAt returns a function that reports whether the time is after the given one.
func sentAt(sent time.Time) func(time.Time) bool {
	return func(since time.Time) bool { return sent.After(since) }
}

// TestAbandonedRunsCountAgainstTheRequest replays callers that leave, one every 100 ms at
// each of ten upstreams, and ends one of these: only the runs there count that were ended
// shortly before its last byte.
func TestAbandonedRunsCountAgainstTheRequest(t *testing.T) {
	c := qt.New(t)
	runs := quarantine.NewAbandonedRuns()
	now := epoch
	for n := range byte(100) {
		now = now.Add(100 * time.Millisecond)
		for u := range 10 {
			runs.Add(abandonedRun(n, fmt.Sprint("u", u), now))
		}
		runs.Expire(now)
	}
	crashed := runs.TakeCrashed(quarantine.Instance{ID: "u3"}, sentAt(now), now.Add(300*time.Millisecond))
	c.Assert(len(crashed), qt.Equals, 21) // of the last two seconds
	for _, run := range crashed {
		c.Assert(run.Upstream.ID, qt.Equals, "u3")
		c.Assert(run.Fingerprint[0] >= 79, qt.IsTrue)
		c.Assert(run.Late, qt.Equals, run.Fingerprint[0] < 93)
	}
	c.Assert(runs.TakeCrashed(quarantine.Instance{ID: "u3"}, sentAt(now), now), qt.HasLen, 0)
	c.Assert(runs.TakeCrashed(quarantine.Instance{ID: "u4"}, sentAt(now), now.Add(time.Minute)), qt.HasLen, 0)
}

// TestAbandonedUpstreamsAreCheckedOnce guards against checks that grow with the callers that
// leave, and against a silent upstream that is checked once only.
func TestAbandonedUpstreamsAreCheckedOnce(t *testing.T) {
	c := qt.New(t)
	runs := quarantine.NewAbandonedRuns()
	for n := range byte(50) {
		runs.Add(abandonedRun(n, "left", epoch))
	}
	silent := abandonedRun(1, "silent", epoch)
	silent.Silent = true
	runs.Add(silent)
	checks := map[string]int{}
	for elapsed := time.Duration(0); elapsed < 5*time.Second; elapsed += 100 * time.Millisecond {
		for _, due := range runs.TakeDue(epoch.Add(elapsed)) {
			checks[due.Upstream.ID]++
		}
	}
	c.Assert(checks, qt.DeepEquals, map[string]int{"left": 1, "silent": 5})
}
