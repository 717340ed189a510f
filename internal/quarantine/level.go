package quarantine

import "time"

// Level is the level of suspicion that a request crashes upstreams.
type Level int

// The levels of suspicion.
const (
	Clear       Level = iota
	Suspected         // an upstream ended while it ran the request, perhaps because of another request
	Isolated          // the request doesn't share an upstream with others of this level; the crash of one more decides
	Quarantined       // the request isn't run
)

// String returns the level's name for logs.
func (l Level) String() string {
	return [...]string{"clear", "suspected", "isolated", "quarantined"}[l]
}

const (
	crashLimit         = 3
	crashWeight        = 2
	lateCrashWeight    = 1
	isolationWeight    = (crashLimit - 1) * crashWeight
	quarantineWeight   = crashLimit * crashWeight
	suspicionLifetime  = 10 * time.Minute // since the last crash
	quarantineLifetime = time.Hour        // since the last crash
)

// tally returns the weight of the crashes that count and the time of the last crash. Of
// the crashes that are unproven only one has a weight: a cut leaves many connections on
// which requests are sent in vain.
func tally(crashes map[Instance]*crash) (int, time.Time) {
	weight, unproven, last := 0, 0, time.Time{}
	for _, c := range crashes {
		switch {
		case !c.Counts():
		case c.Late:
			weight += lateCrashWeight
		case c.Unproven:
			unproven = crashWeight
		default:
			weight += crashWeight
		}
		if c.At.After(last) {
			last = c.At
		}
	}
	return weight + unproven, last
}

// levelOf returns the level of a request with these crashes, whatever other requests
// explain of them.
func levelOf(crashes map[Instance]*crash) Level {
	return levelWith(crashes, always)
}

// always lets each isolated crash decide.
func always(Instance) bool { return true }

// levelWith is like levelOf, but only those isolated crashes decide for which decides
// returns true.
func levelWith(crashes map[Instance]*crash, decides func(Instance) bool) Level {
	weight, _ := tally(crashes)
	switch {
	case weight == 0:
		return Clear
	case weight < isolationWeight:
		return Suspected
	case weight < quarantineWeight:
		return Isolated
	}
	isolated, needed := 0, 1
	for upstream, c := range crashes {
		if c.Isolated && c.Counts() && !c.Unproven && decides(upstream) {
			isolated++
		}
	}
	if hasCompleted(crashes) {
		needed = crashLimit
	}
	if isolated < needed {
		return Isolated
	}
	return Quarantined
}

// level returns the request's level.
func (t *Table) level(f Fingerprint) Level {
	return levelWith(t.requests[f], t.decidesFor(f))
}

// decidesFor returns a function that reports whether an isolated crash of the request
// decides. It doesn't if another request that ran there is shown to crash upstreams by an
// isolated run elsewhere.
func (t *Table) decidesFor(f Fingerprint) func(Instance) bool {
	return func(upstream Instance) bool {
		return !t.isExplained(upstream, f, func(other Fingerprint, elsewhere Instance) bool {
			return !t.isExplained(elsewhere, other, func(third Fingerprint, _ Instance) bool { return third != f })
		})
	}
}

// isExplained reports whether another request than f explains the upstream's crash: it
// ran there, and one of its isolated runs crashed an upstream elsewhere, where f did not
// run. Such a run must satisfy accept.
func (t *Table) isExplained(upstream Instance, f Fingerprint, accept func(Fingerprint, Instance) bool) bool {
	for other, crashes := range t.requests {
		if other == f || !counts(crashes, upstream) || levelOf(crashes) != Quarantined {
			continue
		}
		for elsewhere, c := range crashes {
			if c.Isolated && c.Counts() && !counts(t.requests[f], elsewhere) && accept(other, elsewhere) {
				return true
			}
		}
	}
	return false
}

func counts(crashes map[Instance]*crash, upstream Instance) bool {
	c, known := crashes[upstream]
	return known && c.Counts()
}

func expiry(crashes map[Instance]*crash) time.Time {
	_, last := tally(crashes)
	if levelOf(crashes) == Quarantined {
		return last.Add(quarantineLifetime)
	}
	return last.Add(suspicionLifetime)
}
