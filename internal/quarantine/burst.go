package quarantine

import (
	"slices"
	"time"
)

// In a burst upstreams end for a reason of their own, also under an isolated run. So a
// request that is quarantined while others of the fleet's upstreams end is tried again,
// a limited number of times. So is one that has ever run to its end, once more: a request
// that runs often runs at each upstream that ends, so that no other one shows a burst.
const (
	burstSize   = 2 // upstreams that end beside a crash without having run the request
	burstBefore = time.Second
	burstAfter  = 6 * time.Second // the registry shows an end with a delay
	maxEnds     = 64
	trialMargin = 500 * time.Millisecond // between the times at which hosts see a crash
)

// The times from the last crash to the next run of a quarantined request.
var (
	trialDelays          = []time.Duration{1500 * time.Millisecond, 2500 * time.Millisecond}
	completedTrialDelays = append(slices.Clone(trialDelays), 2500*time.Millisecond) // of one that has ever run to its end
)

// end is the unannounced end of an upstream, whatever it ran.
type end struct {
	upstream Instance
	at       time.Time
}

// ReportEnd records that an upstream has ended without having announced it.
func (t *Table) ReportEnd(upstream Instance, now time.Time) {
	if slices.ContainsFunc(t.ends, func(e end) bool { return e.upstream == upstream }) {
		return
	}
	if len(t.ends) >= maxEnds {
		t.ends = t.ends[1:]
	}
	t.ends = append(t.ends, end{upstream, now})
}

// NextTrial returns the time from which a quarantined request may run again, isolated,
// because a burst may explain its crashes, or because it has run to its end before. It
// returns false if it may not.
func (t *Table) NextTrial(f Fingerprint) (time.Time, bool) {
	delays := t.trialDelaysOf(f)
	failed := failedTrials(t.requests[f], delays, t.decidesFor(f))
	if failed >= len(delays) {
		return time.Time{}, false
	}
	return t.LastCrash(f).Add(delays[failed]), true
}

// trialDelaysOf returns the times until the trials of the request; none if it isn't tried.
func (t *Table) trialDelaysOf(f Fingerprint) []time.Duration {
	switch {
	case hasCompleted(t.requests[f]):
		return completedTrialDelays
	case t.inBurst(f):
		return trialDelays
	}
	return nil
}

// hasCompleted reports whether the request has ever run to its end.
func hasCompleted(crashes map[Instance]*crash) bool {
	for _, c := range crashes {
		if c.Completed {
			return true
		}
	}
	return false
}

func (t *Table) isTrialDue(f Fingerprint, now time.Time) bool {
	at, ok := t.NextTrial(f)
	return ok && !now.Before(at)
}

// inBurst reports whether other upstreams ended beside an isolated crash of the request.
func (t *Table) inBurst(f Fingerprint) bool {
	for _, c := range t.requests[f] {
		if c.Isolated && c.Counts() && t.endsBeside(f, c.At) >= burstSize {
			return true
		}
	}
	return false
}

// endsBeside counts the upstreams that ended at about the time and are not known to have
// run the request.
func (t *Table) endsBeside(f Fingerprint, at time.Time) int {
	n := 0
	for _, e := range t.ends {
		_, ranThere := t.requests[f][e.upstream]
		if !ranThere && e.at.After(at.Add(-burstBefore)) && e.at.Before(at.Add(burstAfter)) {
			n++
		}
	}
	return n
}

// failedTrials counts the trials that have failed since the crashes that quarantined the
// request. A crash sooner than the next trial is due belongs to the runs before: hosts may
// try a request at the same moment. The function decides is that of levelWith.
func failedTrials(crashes map[Instance]*crash, delays []time.Duration, decides func(Instance) bool) int {
	before := map[Instance]*crash{}
	failed, last := 0, time.Time{}
	for _, c := range countingCrashes(crashes) {
		if failed == len(delays) {
			break
		}
		if c.At.Sub(last) >= delays[failed]-trialMargin && levelWith(before, decides) == Quarantined {
			failed++
		}
		before[c.Upstream] = c
		last = c.At
	}
	return failed
}

// countingCrashes returns the crashes that count, the oldest first.
func countingCrashes(crashes map[Instance]*crash) []*crash {
	var counting []*crash
	for _, c := range crashes {
		if c.Counts() {
			counting = append(counting, c)
		}
	}
	slices.SortFunc(counting, func(a, b *crash) int { return a.At.Compare(b.At) })
	return counting
}

// expireEnds forgets ends that are beside no later crash.
func (t *Table) expireEnds(now time.Time) {
	t.ends = slices.DeleteFunc(t.ends, func(e end) bool { return now.Sub(e.at) > suspicionLifetime })
}
