package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// A part that crashes upstreams crashes each one that begins to answer a request with it. So
// one that requests were answered with shortly before needs more crashes: it is more likely
// that it only ran beside the one that crashes.
const (
	partCrashLimit     = 3 // crashes, each under a run that was sent after the crash before
	sharedCrashLimit   = 5 // crashes of a part if the contents of two requests explain them
	answeredCrashLimit = 5 // crashes of a part that requests were answered with shortly before
	answeredCrashSteps = 2 // of them, crashes under a run that was sent after another one
)

// The times from the last crash of a quarantined part to the next run of a request with it. A
// part that was judged wrongly is refused for little more than the first one.
var (
	partTrialDelays         = []time.Duration{time.Second, 8 * time.Second, time.Minute}
	answeredPartTrialDelays = []time.Duration{time.Second, 2 * time.Second, 8 * time.Second}
)

// After maxUntolerated crashes later than toleranceTime from crash number toleratedPartCrashes
// no request with the part is tried again: three may reach upstreams, and two hosts may begin a
// trial before they hear of each other's. Items of jobs, which hosts try one after the other, are
// tried up to maxUntoleratedItems.
const (
	toleratedPartCrashes = 5
	toleratedCrashSteps  = 2 // of them, crashes under a run that was sent after another one
	toleranceTime        = 3 * time.Second
	maxUntolerated       = 2
	maxUntoleratedItems  = 3
)

// itemTrialDelay is the time from the last crash of a quarantined part to the run of an item with
// it, if no request is tried meanwhile. Items wait for it whatever trials have failed, so that it
// bounds their wait for a sound part.
const itemTrialDelay = 6 * time.Second

// PartVerdict is why requests with a part of a prompt aren't run.
type PartVerdict struct {
	Crashes       int
	LastCrash     time.Time
	NextTrial     time.Time // from which one request with the part may run; zero if none may
	NextItemTrial time.Time // from which one item of a job with the part may run; zero if none may
	teams         []string  // to whose requests it applies; empty for all
}

// AppliesTo reports whether the verdict applies to requests of the team. If each crash may be
// due to requests of one team, it applies to that team alone.
func (v *PartVerdict) AppliesTo(team string) bool {
	return len(v.teams) == 0 || slices.Contains(v.teams, team)
}

// Verdict returns why requests with the part aren't run, or nil if they are.
func (t *PartTable) Verdict(part string) *PartVerdict { return t.quarantined()[part] }

// Remaining returns the time until the part's quarantine expires.
func (v *PartVerdict) Remaining(now time.Time) time.Duration {
	return max(v.LastCrash.Add(quarantineLifetime).Sub(now), 0)
}

// quarantined returns the verdicts by part.
func (t *PartTable) quarantined() map[string]*PartVerdict {
	if at := [2]int64{t.version, t.requests.version}; t.verdicts == nil || t.judgedAt != at {
		t.verdicts, t.judgedAt = t.judge(), at
	}
	return t.verdicts
}

// accused is a part with the crashes that no other part explains.
type accused struct {
	part    string
	crashes []*partCrash
}

// judge looks for the fewest parts that explain the crashes: the one that explains the most
// comes first, and what it explains doesn't count against others.
func (t *PartTable) judge() map[string]*PartVerdict {
	verdicts := map[string]*PartVerdict{}
	explained := map[Instance]bool{}
	guilty := t.requests.quarantinedUpstreams()
	for {
		var worst *accused
		for part, crashes := range t.parts {
			a := &accused{part, unexplained(crashes, explained, guilty)}
			if verdicts[part] == nil && incriminate(a.crashes) && (worst == nil || compareAccused(a, worst) < 0) {
				worst = a
			}
		}
		if worst == nil {
			return verdicts
		}
		verdicts[worst.part] = newVerdict(worst.crashes)
		for _, c := range worst.crashes {
			explained[c.Upstream] = true
		}
	}
}

// compareAccused puts the part first that is more likely to crash upstreams: one that requests
// weren't answered with, with more crashes, behind others in the prompts.
func compareAccused(a, b *accused) int {
	return cmp.Or(
		compareBool(wasAnswered(a.crashes), wasAnswered(b.crashes)), cmp.Compare(len(b.crashes), len(a.crashes)),
		cmp.Compare(depthOf(b.crashes), depthOf(a.crashes)), cmp.Compare(a.part, b.part),
	)
}

// incriminate reports whether the crashes, the oldest first, quarantine their part. A single
// content that ran under all of them explains them as well. Two contents explain a few: callers
// send a request that failed again.
func incriminate(crashes []*partCrash) bool {
	if len(crashes) < partCrashLimit {
		return false
	}
	proven, contents := withoutUnproven(crashes), explainingContents(crashes)
	switch {
	case contents == 1:
		return false
	case wasAnswered(crashes):
		return len(proven) >= answeredCrashLimit && countSteps(proven) >= answeredCrashSteps
	case contents == 2 && len(proven) < sharedCrashLimit:
		return false
	case len(proven) >= toleratedPartCrashes:
		return countSteps(proven) >= toleratedCrashSteps
	}
	return countSteps(proven) >= partCrashLimit
}

// explainingContents returns how many contents at least ran under the crashes, of which there
// is one or more, so that one of them ran under each: 1, 2, or 3 if two don't suffice.
func explainingContents(crashes []*partCrash) int {
	contentsOf := func(c *partCrash) []Fingerprint { return c.Contents }
	if len(common(crashes, contentsOf)) > 0 {
		return 1
	}
	for _, f := range crashes[0].Contents {
		others := slices.DeleteFunc(slices.Clone(crashes), func(c *partCrash) bool { return slices.Contains(c.Contents, f) })
		if len(common(others, contentsOf)) > 0 {
			return 2
		}
	}
	return 3
}

// unexplained returns the crashes that count against the part, the oldest first, and that
// neither another part explains nor a quarantined request. guilty has the upstreams that ended
// under each of those. A part that crashes upstreams is in the prompt whenever a request with
// it does so, and has more crashes than any one of them.
func unexplained(part map[Instance]*partCrash, explained map[Instance]bool, guilty []map[Instance]bool) []*partCrash {
	crashes := countingPartCrashes(part, explained)
	for n := 0; n < len(guilty); n++ {
		ranThere := func(c *partCrash) bool { return guilty[n][c.Upstream] }
		if slices.ContainsFunc(crashes, ranThere) && (len(guilty[n]) >= len(crashes) || endedElsewhere(guilty[n], part)) {
			crashes, n = slices.DeleteFunc(crashes, ranThere), -1
		}
	}
	return crashes
}

// endedElsewhere reports whether one of the upstreams ended without a request with the part.
func endedElsewhere(upstreams map[Instance]bool, part map[Instance]*partCrash) bool {
	for upstream := range upstreams {
		if part[upstream] == nil {
			return true
		}
	}
	return false
}

// withoutUnproven leaves the first of the unproven crashes.
func withoutUnproven(crashes []*partCrash) []*partCrash {
	seen := false
	var proven []*partCrash
	for _, c := range crashes {
		if !c.Unproven || !seen {
			proven = append(proven, c)
		}
		seen = seen || c.Unproven
	}
	return proven
}

// countSteps returns the length of the longest series of crashes of which each is that of a
// run that was sent after the crash before: upstreams that end together, for a reason of
// their own, make one step.
func countSteps(crashes []*partCrash) int {
	steps, last := 0, time.Time{}
	for _, c := range crashes {
		if steps == 0 || c.Sent.After(last) {
			steps++
			last = c.At
		}
	}
	return steps
}

// common returns the names that all crashes have.
func common[T comparable](crashes []*partCrash, names func(*partCrash) []T) []T {
	if len(crashes) == 0 {
		return nil
	}
	shared := slices.Clone(names(crashes[0]))
	for _, c := range crashes[1:] {
		shared = slices.DeleteFunc(shared, func(name T) bool { return !slices.Contains(names(c), name) })
	}
	return shared
}

func wasAnswered(crashes []*partCrash) bool {
	return slices.ContainsFunc(crashes, func(c *partCrash) bool { return c.Answered })
}

func depthOf(crashes []*partCrash) int {
	depth := 0
	for _, c := range crashes {
		depth = max(depth, c.Depth)
	}
	return depth
}

func newVerdict(crashes []*partCrash) *PartVerdict {
	v := &PartVerdict{
		Crashes: len(crashes), LastCrash: crashes[len(crashes)-1].At,
		teams: common(crashes, func(c *partCrash) []string { return c.Teams }),
	}
	delays := partTrialDelays
	if wasAnswered(crashes) {
		delays = answeredPartTrialDelays
	}
	untolerated := countUntolerated(crashes)
	if failed := failedPartTrials(crashes, delays); failed < len(delays) && untolerated < maxUntolerated {
		v.NextTrial = v.LastCrash.Add(delays[failed])
	}
	if max(untolerated, countStepsAfter(crashes)) < maxUntoleratedItems {
		v.NextItemTrial = v.LastCrash.Add(itemTrialDelay)
	}
	return v
}

// countUntolerated counts the crashes that came later than is tolerated.
func countUntolerated(crashes []*partCrash) int {
	untolerated := 0
	for n := toleratedPartCrashes; n < len(crashes); n++ {
		if crashes[n].At.Sub(crashes[toleratedPartCrashes-1].At) > toleranceTime {
			untolerated++
		}
	}
	return untolerated
}

// countStepsAfter counts the crashes after those that are tolerated of which each is that of a run
// that was sent after the crash before: a trial of a request soon after them counts for items too.
func countStepsAfter(crashes []*partCrash) int {
	if len(crashes) <= toleratedPartCrashes {
		return 0
	}
	return countSteps(crashes[toleratedPartCrashes-1:]) - 1
}

// failedPartTrials counts the trials that have failed since the part was quarantined. A crash
// sooner than the next trial is due belongs to the runs before.
func failedPartTrials(crashes []*partCrash, delays []time.Duration) int {
	failed := 0
	for n := 1; n < len(crashes) && failed < len(delays); n++ {
		if crashes[n].At.Sub(crashes[n-1].At) >= delays[failed]-trialMargin && incriminate(crashes[:n]) {
			failed++
		}
	}
	return failed
}
