package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"
)

const (
	maxParts             = 1024 // in a table
	maxPartCrashes       = 16   // kept for each part
	maxSharedPartCrashes = 128  // in one state to peers
	fewCrashes           = 2    // against a part, from which hosts verify and relay them
	maxNamed             = 4    // contents, and teams, kept of a crash
	maxAnsweredParts     = 4096 // of which a table remembers that requests with them were answered
	answerMemory         = 10 * time.Second
	sentMargin           = 100 * time.Millisecond // between the times that hosts derive from one message
)

// PartCrash is the end of an upstream while it ran requests with a part of a prompt, before it
// had begun to answer them. Callers choose the part's ID.
type PartCrash struct {
	Part      string
	Upstream  Instance
	At        time.Time     // in this host's clock
	Sent      time.Time     // start of the latest of the runs
	Depth     int           // least position of the part in a prompt, from 0 on
	Contents  []Fingerprint // of some of the requests
	Teams     []string      // of some of the requests
	Withdrawn bool          // the part, or the upstream's end, turned out to be harmless
	Answered  bool          // requests with the part had been answered shortly before
	Unproven  bool          // the upstream may have ended before the runs
}

// partCrash is a PartCrash with where this host knows it from.
type partCrash struct {
	PartCrash
	own           bool // observed by this host
	withdrawnHere bool // withdrawn by this host
}

func (c *partCrash) withdraw() { c.Withdrawn, c.withdrawnHere = true, true }

// PartTable holds the crashes by part of a prompt, and decides which parts crash the upstreams
// that begin to answer a request with them. Hosts exchange crashes, which merge in any order.
// A PartTable is not safe for concurrent use.
type PartTable struct {
	parts    map[string]map[Instance]*partCrash
	answered map[string]time.Time // parts that requests were lately answered with, on this host
	requests *Table
	verdicts map[string]*PartVerdict
	judgedAt [2]int64 // versions of this table and of requests that verdicts are of
	changes[PartCrash]
}

// NewPartTable returns an empty table. The crashes of the quarantined requests may explain
// those that count against a part.
func NewPartTable(requests *Table) *PartTable {
	return &PartTable{parts: map[string]map[Instance]*partCrash{}, answered: map[string]time.Time{}, requests: requests}
}

// Empty reports whether the table holds no crash.
func (t *PartTable) Empty() bool { return len(t.parts) == 0 }

// Observe adds a crash that this host has observed, for each part of the run's prompt. It
// reports whether the table has changed.
func (t *PartTable) Observe(run BrokenRun, now time.Time) bool {
	before := t.version
	for depth, part := range run.PromptParts {
		c := t.merge(PartCrash{
			Part: part, Upstream: run.Upstream, At: now, Sent: run.Sent, Depth: depth,
			Contents: []Fingerprint{run.content()}, Teams: []string{run.Team}, Unproven: run.Unproven,
		})
		if c != nil && !c.own {
			c.own = true
			t.version++
		}
	}
	return t.version != before
}

// content returns what may explain the crash instead of a part. An item is never held responsible,
// so each of its runs counts as a content of its own.
func (r BrokenRun) content() Fingerprint {
	if !r.Item {
		return r.Fingerprint
	}
	return FingerprintOf(r.Fingerprint[:], nil, r.Upstream.ID, strconv.FormatInt(r.Sent.UnixNano(), 10))
}

// Merge adds a crash that a peer reports. It reports whether the table has changed.
func (t *PartTable) Merge(x PartCrash) bool {
	before := t.version
	t.merge(x)
	return t.version != before
}

// merge returns the crash as the table has it now, or nil if it has no room.
func (t *PartTable) merge(x PartCrash) *partCrash {
	crashes, known := t.parts[x.Part]
	if !known {
		if len(t.parts) >= maxParts {
			t.evict()
		}
		crashes = map[Instance]*partCrash{}
		t.parts[x.Part] = crashes
	}
	c, known := crashes[x.Upstream]
	if !known {
		if len(crashes) >= maxPartCrashes && !makePartRoom(crashes, x) {
			return nil
		}
		x.Contents, x.Teams = slices.Clone(x.Contents), slices.Clone(x.Teams)
		c = &partCrash{PartCrash: x}
		crashes[x.Upstream] = c
		t.version++
	} else if c.add(x) {
		t.version++
	}
	t.recallAnswer(c)
	return c
}

// add merges what x says of the same crash. It reports whether that was news.
func (c *partCrash) add(x PartCrash) bool {
	before := c.PartCrash
	c.Withdrawn = c.Withdrawn || x.Withdrawn
	c.Answered = c.Answered || x.Answered
	c.Unproven = c.Unproven && x.Unproven
	c.Depth = min(c.Depth, x.Depth)
	if x.Sent.Sub(c.Sent) > sentMargin {
		c.Sent = x.Sent
	}
	c.Contents = addNames(c.Contents, x.Contents)
	c.Teams = addNames(c.Teams, x.Teams)
	return c.Withdrawn != before.Withdrawn || c.Answered != before.Answered || c.Unproven != before.Unproven || c.Depth != before.Depth ||
		!c.Sent.Equal(before.Sent) || len(c.Contents) != len(before.Contents) || len(c.Teams) != len(before.Teams)
}

// addNames adds the names that are missing, up to maxNamed in all.
func addNames[T comparable](names, more []T) []T {
	for _, name := range more {
		if len(names) < maxNamed && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// recallAnswer applies what this host remembers of answers to requests with the part.
func (t *PartTable) recallAnswer(c *partCrash) {
	at, answered := t.answered[c.Part]
	if !answered || c.At.Sub(at) > answerMemory {
		return
	}
	if !c.Answered {
		c.Answered = true
		t.version++
	}
	if !at.Before(c.At) && !c.Withdrawn {
		c.withdraw()
		t.version++
	}
}

// makePartRoom removes a crash of a part that has as many as are kept. It reports whether
// there was one: those that count give way only to a later one, and then the first and the
// last ones stay.
func makePartRoom(crashes map[Instance]*partCrash, x PartCrash) bool {
	all := slices.SortedFunc(maps.Values(crashes), func(a, b *partCrash) int {
		return cmp.Or(compareBool(!a.Withdrawn, !b.Withdrawn), a.At.Compare(b.At))
	})
	victim := all[0]
	if !victim.Withdrawn {
		victim = all[len(all)/2]
		if x.Withdrawn || x.At.Before(victim.At) {
			return false
		}
	}
	delete(crashes, victim.Upstream)
	return true
}

// evict removes the part with the fewest crashes that count, of these the one with the oldest.
func (t *PartTable) evict() {
	victim, least, oldest := "", 0, time.Time{}
	for part, crashes := range t.parts {
		counting := countingPartCrashes(crashes, nil)
		last := lastPartCrash(crashes)
		if victim == "" || len(counting) < least || len(counting) == least && last.Before(oldest) {
			victim, least, oldest = part, len(counting), last
		}
	}
	delete(t.parts, victim)
}

// lastPartCrash returns the time of the last crash, whether it counts or not.
func lastPartCrash(crashes map[Instance]*partCrash) time.Time {
	var last time.Time
	for _, c := range crashes {
		if c.At.After(last) {
			last = c.At
		}
	}
	return last
}

// countingPartCrashes returns the crashes that count and aren't explained, the oldest first.
func countingPartCrashes(crashes map[Instance]*partCrash, explained map[Instance]bool) []*partCrash {
	var counting []*partCrash
	for upstream, c := range crashes {
		if !c.Withdrawn && !explained[upstream] {
			counting = append(counting, c)
		}
	}
	slices.SortFunc(counting, func(a, b *partCrash) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Upstream.ID, b.Upstream.ID))
	})
	return counting
}

// Answer records that an upstream has begun to answer a request with the parts, and goes on:
// none of them crashes upstreams, so what counted against them is withdrawn. It returns the
// parts that crashes counted against.
func (t *PartTable) Answer(parts []string, now time.Time) []string {
	var cleared []string
	for _, part := range parts {
		t.rememberAnswer(part, now)
		counted := false
		for _, c := range t.parts[part] {
			if !c.Withdrawn {
				counted = true
				c.withdraw()
			}
		}
		if counted {
			cleared = append(cleared, part)
			t.version++
		}
	}
	return cleared
}

func (t *PartTable) rememberAnswer(part string, now time.Time) {
	if _, known := t.answered[part]; !known && len(t.answered) >= maxAnsweredParts {
		maps.DeleteFunc(t.answered, func(_ string, at time.Time) bool { return now.Sub(at) > answerMemory })
		for other := range t.answered {
			if len(t.answered) < maxAnsweredParts {
				break
			}
			delete(t.answered, other)
		}
	}
	t.answered[part] = now
}

// Suspects reports whether a crash counts against one of the parts.
func (t *PartTable) Suspects(parts []string) bool {
	for _, part := range parts {
		for _, c := range t.parts[part] {
			if !c.Withdrawn {
				return true
			}
		}
	}
	return false
}

// Unverified returns the upstreams whose crashes count against a part together with others,
// and are old enough to be verified: observed by this host before the first time, or by
// another one before the second.
func (t *PartTable) Unverified(own, others time.Time) []Instance {
	found := map[Instance]bool{}
	for _, crashes := range t.parts {
		counting := countingPartCrashes(crashes, nil)
		if len(counting) < fewCrashes {
			continue
		}
		for _, c := range counting {
			before := others
			if c.own {
				before = own
			}
			if !c.At.After(before) {
				found[c.Upstream] = true
			}
		}
	}
	return slices.Collect(maps.Keys(found))
}

// WithdrawLive withdraws the crashes before the given time whose upstream lives on, and
// returns their parts.
func (t *PartTable) WithdrawLive(before time.Time, live map[Instance]bool) []string {
	var parts []string
	for part, crashes := range t.parts {
		for upstream, c := range crashes {
			if c.Withdrawn || c.At.After(before) || !live[upstream] {
				continue
			}
			c.withdraw()
			t.version++
			parts = append(parts, part)
		}
	}
	return parts
}

// Expire removes the parts whose suspicion has expired.
func (t *PartTable) Expire(now time.Time) {
	verdicts := t.quarantined()
	for part, crashes := range t.parts {
		lifetime := suspicionLifetime
		if verdicts[part] != nil {
			lifetime = quarantineLifetime
		}
		if now.Sub(lastPartCrash(crashes)) > lifetime {
			delete(t.parts, part)
			t.version++
		}
	}
}

// QuarantinedHere returns the crashes of the quarantined parts of which this host has observed
// a crash.
func (t *PartTable) QuarantinedHere() map[string][]PartCrash {
	found := map[string][]PartCrash{}
	for part := range t.quarantined() {
		own := false
		var crashes []PartCrash
		for _, c := range t.parts[part] {
			own = own || c.own
			crashes = append(crashes, c.PartCrash)
		}
		if own {
			found[part] = crashes
		}
	}
	return found
}

// Shared returns the crashes to send to peers: those that this host has observed or
// withdrawn, and those of parts with two that count, so that they outlast the host that
// observed them. Those of parts with more crashes come first, then crashes that count, then
// later ones, up to maxSharedPartCrashes. It also returns the version of the table, which
// rises with each change.
func (t *PartTable) Shared() ([]PartCrash, int64) { return t.shared(t.selectShared) }

func (t *PartTable) selectShared() []PartCrash {
	var all []ranked[PartCrash]
	for _, crashes := range t.parts {
		counting := len(countingPartCrashes(crashes, nil))
		for _, c := range crashes {
			if t.shareAll || c.own || c.withdrawnHere || counting >= fewCrashes {
				all = append(all, ranked[PartCrash]{c.PartCrash, counting, !c.Withdrawn, c.At})
			}
		}
	}
	return first(all, maxSharedPartCrashes)
}
