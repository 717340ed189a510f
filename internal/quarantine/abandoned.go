package quarantine

import (
	"slices"
	"time"
)

const (
	maxAbandonedRuns  = 1024
	abandonedRunReach = 2 * time.Second // an upstream that sends bytes later wasn't crashed by the run
	abandonedRunTTL   = 6 * time.Second // the registry shows an end with a delay
	silentCheckPeriod = 500 * time.Millisecond
)

// AbandonedRun is a run that this host ended before its response was complete, because the
// caller left or the upstream was silent. The upstream may have gone on with it, beside any
// other request, so the run doesn't count as isolated.
type AbandonedRun struct {
	Fingerprint Fingerprint
	Upstream    Instance
	Started     time.Time
	Ended       time.Time // by this host
	Silent      bool      // because the upstream was silent, so that it may be about to end
	Unproven    bool      // as in Crash
	PromptParts []string  // as in BrokenRun
	Team        string
	Item        bool // as in BrokenRun
}

// AbandonedRuns holds the latest abandoned runs, so that an end of their upstream that is
// found later counts against them too. It is not safe for concurrent use.
type AbandonedRuns struct {
	runs      []AbandonedRun // the oldest first
	nextCheck map[Instance]time.Time
}

// NewAbandonedRuns returns an empty AbandonedRuns.
func NewAbandonedRuns() *AbandonedRuns {
	return &AbandonedRuns{nextCheck: map[Instance]time.Time{}}
}

// Add adds a run.
func (a *AbandonedRuns) Add(run AbandonedRun) {
	if len(a.runs) >= maxAbandonedRuns {
		a.runs = a.runs[1:]
	}
	a.runs = append(a.runs, run)
	a.nextCheck[run.Upstream] = run.Ended
}

// DueCheck is an upstream that is to be checked, unless it has sent bytes since.
type DueCheck struct {
	Upstream Instance
	Since    time.Time // when the latest run there was ended
}

// TakeDue returns the upstreams that are to be checked now: once after a run was ended, and
// for some time after one that was silent.
func (a *AbandonedRuns) TakeDue(now time.Time) []DueCheck {
	var due []DueCheck
	for upstream, at := range a.nextCheck {
		if now.Before(at) {
			continue
		}
		last, isSilent := a.lastEnded(upstream)
		if isSilent && now.Sub(last) < abandonedRunReach {
			a.nextCheck[upstream] = now.Add(silentCheckPeriod)
		} else {
			delete(a.nextCheck, upstream)
		}
		due = append(due, DueCheck{upstream, last})
	}
	return due
}

// lastEnded returns when the latest run at the upstream was ended, and whether one of its
// runs was silent.
func (a *AbandonedRuns) lastEnded(upstream Instance) (last time.Time, isSilent bool) {
	for _, run := range a.runs {
		if run.Upstream == upstream {
			last, isSilent = run.Ended, isSilent || run.Silent
		}
	}
	return last, isSilent
}

// TakeCrashed removes the runs at an upstream that has ended, and returns those that may
// have crashed it. The function sentBytesSince reports whether the upstream has sent bytes
// to this host after a time.
func (a *AbandonedRuns) TakeCrashed(upstream Instance, sentBytesSince func(time.Time) bool, now time.Time) []BrokenRun {
	var crashed []BrokenRun
	delete(a.nextCheck, upstream)
	a.runs = slices.DeleteFunc(a.runs, func(run AbandonedRun) bool {
		if run.Upstream != upstream {
			return false
		}
		if now.Sub(run.Ended) <= abandonedRunTTL && !sentBytesSince(run.Ended.Add(abandonedRunReach)) {
			crashed = append(crashed, BrokenRun{
				Fingerprint: run.Fingerprint, Upstream: run.Upstream, Unproven: run.Unproven, Late: IsLate(run.Started, now),
				PromptParts: run.PromptParts, Team: run.Team, Sent: run.Started, Item: run.Item,
			})
		}
		return true
	})
	return crashed
}

// Expire forgets the runs that were ended too long ago to have crashed an upstream.
func (a *AbandonedRuns) Expire(now time.Time) {
	a.runs = slices.DeleteFunc(a.runs, func(run AbandonedRun) bool { return now.Sub(run.Ended) > abandonedRunTTL })
}
