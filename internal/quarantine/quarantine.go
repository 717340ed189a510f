// Package quarantine decides which requests crash the upstreams that run them.
//
// Contract: an upstream that ends counts against every request that it ran, because
// nothing tells which of them was the cause. A request is quarantined only after
// crashLimit upstreams have ended under it, one of them in an isolated run, which shares
// its upstream with no other request that is as suspect. If the request has ever run to
// its end, all of them must have been isolated. A crash is withdrawn once the upstream
// turns out to be alive or the request has completed elsewhere, and decides nothing if
// another request explains it. A request that is quarantined while other upstreams end too
// is tried again a few times. A crash that came long after the start of the run weighs half.
// Hosts exchange crashes, which merge in any order. A PartTable decides the same for the parts
// of prompts that requests share.
//
// The package does no I/O and reads no clock. A Table is not safe for concurrent use.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	maxRequests  = 1024 // in a table
	maxCrashes   = 16   // kept for each request
	maxShared    = 64   // crashes in one state to peers
	maxCompleted = 1024 // requests of which a table remembers that they ran to their end
)

// Instance is one process lifetime of an upstream.
type Instance struct {
	ID        string
	StartedMS int64 // Unix time in milliseconds
}

// Crash is the end of an upstream while it ran a request. Observed and Withdrawn are
// counters: an upstream that was taken for crashed can crash later.
type Crash struct {
	Fingerprint Fingerprint
	Upstream    Instance
	At          time.Time // in this host's clock
	Observed    int       // number of the latest observation, from 1 on
	Withdrawn   int       // number of the latest observation that doesn't count against the request
	Isolated    bool      // the run was isolated
	Completed   bool      // the request has run to its end at some upstream
	Unproven    bool      // the upstream may have ended before the run
	Late        bool      // the upstream ended long after the start of the run
}

// BrokenRun describes a run during which an upstream ended.
type BrokenRun struct {
	Fingerprint Fingerprint
	Upstream    Instance
	Isolated    bool // as in Crash
	Unproven    bool
	Late        bool
	PromptParts []string // that other requests share, in order; none if the upstream was answering
	Team        string
	Sent        time.Time // start of the run
	Item        bool      // of an item of a job, against which nothing counts, only against its parts
}

// earlyCrashTime is the time after the start of a run in which a request crashes its upstream
// if it does; later crashes are less likely due to the request.
const earlyCrashTime = time.Second

// IsLate reports whether an upstream that ended at the given time did so long after the start
// of the run.
func IsLate(started, ended time.Time) bool { return ended.Sub(started) > earlyCrashTime }

// Counts reports whether the crash counts against the request.
func (x Crash) Counts() bool { return x.Observed > x.Withdrawn }

// crash is a Crash with where this host knows it from.
type crash struct {
	Crash
	own           bool // observed by this host
	withdrawnHere bool // withdrawn by this host
}

// withdraw has the crash no longer count, for a reason that this host knows.
func (c *crash) withdraw() {
	c.Withdrawn = c.Observed
	c.withdrawnHere = true
}

// Table holds the crashes by request.
type Table struct {
	requests  map[Fingerprint]map[Instance]*crash
	completed recentSet // requests that have lately run to their end on this host
	ends      []end     // of upstreams, the oldest first
	changes[Crash]
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{requests: map[Fingerprint]map[Instance]*crash{}, completed: newRecentSet(maxCompleted)}
}

// Empty reports whether the table holds no crash.
func (t *Table) Empty() bool { return len(t.requests) == 0 }

// Observe adds a crash that this host has observed. It reports whether the table has
// changed.
func (t *Table) Observe(run BrokenRun, now time.Time) bool {
	f, upstream := run.Fingerprint, run.Upstream
	x := Crash{
		Fingerprint: f, Upstream: upstream, At: now, Observed: 1,
		Isolated: run.Isolated, Unproven: run.Unproven, Late: run.Late,
	}
	if known, ok := t.requests[f][upstream]; ok {
		x.Observed = known.Observed
		if !known.Counts() {
			x.Observed++
		}
	}
	if !t.Merge(x) {
		return false
	}
	t.requests[f][upstream].own = true
	t.version++
	return true
}

// Merge adds a crash that a peer reports. It reports whether the table has changed.
func (t *Table) Merge(x Crash) bool {
	x.Completed = x.Completed || t.completed.has(x.Fingerprint)
	crashes, known := t.requests[x.Fingerprint]
	if !known {
		if len(t.requests) >= maxRequests {
			t.evict()
		}
		crashes = map[Instance]*crash{}
		t.requests[x.Fingerprint] = crashes
	}
	c, known := crashes[x.Upstream]
	if !known {
		if len(crashes) >= maxCrashes && !makeRoom(crashes, x) {
			return false
		}
		crashes[x.Upstream] = &crash{Crash: x}
		t.version++
		return true
	}
	before := c.Crash
	if x.Observed > c.Observed {
		c.Observed, c.At = x.Observed, x.At
	}
	c.Withdrawn = max(c.Withdrawn, x.Withdrawn)
	c.Isolated = c.Isolated || x.Isolated
	c.Completed = c.Completed || x.Completed
	c.Unproven = c.Unproven && x.Unproven
	c.Late = c.Late && x.Late
	if c.Crash == before {
		return false
	}
	t.version++
	return true
}

// makeRoom removes the crash of a request that is least needed beside x. It reports whether
// there was one: one that counts gives way only to an isolated one.
func makeRoom(crashes map[Instance]*crash, x Crash) bool {
	all := maps.Clone(crashes)
	all[x.Upstream] = &crash{Crash: x}
	victim := leastNeeded(all)
	if victim.Upstream == x.Upstream || victim.Counts() && !x.Isolated {
		return false
	}
	delete(crashes, victim.Upstream)
	return true
}

// leastNeeded returns the first crash in the order of compareVictims without which the level
// and the failed trials stay the same, or else the first one.
func leastNeeded(crashes map[Instance]*crash) *crash {
	candidates := slices.SortedFunc(maps.Values(crashes), compareVictims)
	level, failed := levelOf(crashes), failedTrials(crashes, completedTrialDelays, always)
	for _, c := range candidates {
		rest := maps.Clone(crashes)
		delete(rest, c.Upstream)
		if levelOf(rest) == level && failedTrials(rest, completedTrialDelays, always) == failed {
			return c
		}
	}
	return candidates[0]
}

// compareVictims puts crashes that don't count first, then those that were not isolated, and
// older ones before later ones.
func compareVictims(a, b *crash) int {
	return cmp.Or(compareBool(a.Counts(), b.Counts()), compareBool(a.Isolated, b.Isolated), a.At.Compare(b.At))
}

// compareBool puts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// evict removes the request of the least weight, of these the one with the oldest crash.
func (t *Table) evict() {
	var victim Fingerprint
	least, oldest := 0, time.Time{}
	for f, crashes := range t.requests {
		weight, last := tally(crashes)
		if oldest.IsZero() || weight < least || weight == least && last.Before(oldest) {
			victim, least, oldest = f, weight, last
		}
	}
	delete(t.requests, victim)
}

// Level returns the request's level of suspicion.
func (t *Table) Level(f Fingerprint, now time.Time) Level {
	crashes, known := t.requests[f]
	if !known || now.After(expiry(crashes)) {
		return Clear
	}
	level := t.level(f)
	if level == Quarantined && t.isTrialDue(f, now) {
		return Isolated
	}
	return level
}

// Crashes returns how many crashes count against the request.
func (t *Table) Crashes(f Fingerprint) int {
	n := 0
	for _, c := range t.requests[f] {
		if c.Counts() {
			n++
		}
	}
	return n
}

// LastCrash returns the time of the last crash under the request.
func (t *Table) LastCrash(f Fingerprint) time.Time {
	_, last := tally(t.requests[f])
	return last
}

// Remaining returns the time until the request's suspicion expires.
func (t *Table) Remaining(f Fingerprint, now time.Time) time.Duration {
	crashes, known := t.requests[f]
	if !known {
		return 0
	}
	return max(expiry(crashes).Sub(now), 0)
}

// Complete records that an upstream has run the request to its end, and withdraws its
// crashes. It reports whether there were any.
func (t *Table) Complete(f Fingerprint) bool {
	t.completed.add(f)
	changed := false
	for _, c := range t.requests[f] {
		changed = changed || c.Counts() || !c.Completed
		c.Completed = true
		c.withdraw()
	}
	if changed {
		t.version++
	}
	return changed
}

// Unverified returns the upstreams whose crashes count against a request from the level
// Isolated on and are old enough to be verified: observed by this host before the first time,
// or by another one before the second.
func (t *Table) Unverified(own, others time.Time) []Instance {
	found := map[Instance]bool{}
	for _, crashes := range t.requests {
		if levelOf(crashes) < Isolated {
			continue
		}
		for upstream, c := range crashes {
			before := others
			if c.own {
				before = own
			}
			if c.Counts() && !c.At.After(before) {
				found[upstream] = true
			}
		}
	}
	return slices.Collect(maps.Keys(found))
}

// CrashedUpstreams returns the upstreams whose crashes count against the request.
func (t *Table) CrashedUpstreams(f Fingerprint) []Instance {
	var upstreams []Instance
	for _, c := range countingCrashes(t.requests[f]) {
		upstreams = append(upstreams, c.Upstream)
	}
	return upstreams
}

// quarantinedUpstreams returns the upstreams whose crashes count against each quarantined
// request.
func (t *Table) quarantinedUpstreams() []map[Instance]bool {
	var all []map[Instance]bool
	for f, crashes := range t.requests {
		if levelOf(crashes) != Quarantined || t.level(f) != Quarantined {
			continue
		}
		upstreams := map[Instance]bool{}
		for _, upstream := range t.CrashedUpstreams(f) {
			upstreams[upstream] = true
		}
		all = append(all, upstreams)
	}
	return all
}

// WithdrawLive withdraws the crashes before the given time whose upstream lives on, and
// returns them.
func (t *Table) WithdrawLive(before time.Time, live map[Instance]bool) []Crash {
	var withdrawn []Crash
	for _, crashes := range t.requests {
		for upstream, c := range crashes {
			if !c.Counts() || c.At.After(before) || !live[upstream] {
				continue
			}
			c.withdraw()
			t.version++
			withdrawn = append(withdrawn, c.Crash)
		}
	}
	return withdrawn
}

// Expire removes the requests whose suspicion has expired.
func (t *Table) Expire(now time.Time) {
	for f, crashes := range t.requests {
		if now.After(expiry(crashes)) {
			delete(t.requests, f)
			t.version++
		}
	}
	t.expireEnds(now)
}

// QuarantinedHere returns the crashes of the quarantined requests of which this host has
// observed a crash.
func (t *Table) QuarantinedHere() map[Fingerprint][]Crash {
	found := map[Fingerprint][]Crash{}
	for f, crashes := range t.requests {
		if !hasOwn(crashes) || t.level(f) != Quarantined {
			continue
		}
		for _, c := range crashes {
			found[f] = append(found[f], c.Crash)
		}
	}
	return found
}

func hasOwn(crashes map[Instance]*crash) bool {
	for _, c := range crashes {
		if c.own {
			return true
		}
	}
	return false
}

// Shared returns the crashes to send to peers: those that this host has observed or
// withdrawn, and those of requests from the level Isolated on, so that they outlast the host
// that observed them. Requests of a higher level come first, then crashes that count, then
// later ones, up to maxShared. It also returns the version of the table, which rises with
// each change.
func (t *Table) Shared() ([]Crash, int64) { return t.shared(t.selectShared) }

func (t *Table) selectShared() []Crash {
	var all []ranked[Crash]
	for _, crashes := range t.requests {
		level := levelOf(crashes)
		for _, c := range crashes {
			if t.shareAll || c.own || c.withdrawnHere || level >= Isolated {
				all = append(all, ranked[Crash]{c.Crash, int(level), c.Counts(), c.At})
			}
		}
	}
	return first(all, maxShared)
}
