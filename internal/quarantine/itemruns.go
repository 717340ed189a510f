package quarantine

import (
	"maps"
	"time"
)

// An item of a job is owed until its deadline, whatever ends under it. So all items with a part
// that crashes upstreams would run at once, before the first crash is known, and again after it.
// Items therefore run one at a time with a part that isn't known to be sound.
const (
	soundMemory    = time.Minute            // from an answer, for which a part is taken for sound
	unknownRunTime = time.Second            // in which a run shows a crash under a part that none counts against; then another item runs
	suspectRunTime = 3 * time.Second        // as unknownRunTime, for a part that a crash counts against
	startDelay     = time.Second            // from a host's start to its first item with an unknown part; states of peers are as old
	unknownGap     = 100 * time.Millisecond // between hosts that begin to run items with an unknown part
	maxUnknownGap  = 500 * time.Millisecond // between the first and the last host
	suspectDelay   = 500 * time.Millisecond // from a crash to the next item with the part, so that all hosts know the crash
	busyWait       = 250 * time.Millisecond
	itemRunTTL     = 10 * time.Second // of what is known of a part that no item asks for
	maxItemRuns    = 4096             // parts; items with further ones run at once
)

// OtherSuspectWait is how much later an item runs for each other suspect part of its prompt: one with
// a single suspect part shows which it is.
const OtherSuspectWait = time.Second

// Hosts take turns to run an item with a part that crashes count against, so that a crash at one of
// them is known to the next. Of many hosts several have the same turn: a sound part must not wait.
const (
	turnTime     = time.Second
	turnOpenTime = 600 * time.Millisecond // of a turn, in which a run may begin
	maxTurns     = 5
)

// Rank returns a host's place, from 0 on, in the order in which hosts run items with the part,
// and the number of hosts. The argument tells whether a crash counts against the part.
type Rank func(part string, suspect bool) (rank, hosts int)

// ItemRuns decides when items of this host run whose prompt parts aren't known to be sound. It is
// not safe for concurrent use.
type ItemRuns struct {
	table *PartTable
	heard time.Time // when this host should know of the crashes before its start
	parts map[string]*itemRun
}

// itemRun is the latest run of an item with a part, or the wait for one.
type itemRun struct {
	key   string    // of the item; empty if none runs
	began time.Time // of the run
	ended time.Time // of a run of which it isn't known why it ended; zero otherwise
	opens time.Time // from which an item may run while no crash counts against the part
	asked time.Time // last time
}

// NewItemRuns returns an ItemRuns that decides by the crashes of the table, on a host that starts
// now.
func NewItemRuns(table *PartTable, now time.Time) *ItemRuns {
	return &ItemRuns{table: table, heard: now.Add(startDelay), parts: map[string]*itemRun{}}
}

// SetHeard records that the store and all peers have reported the crashes before this host's
// start, so that items needn't wait for startDelay.
func (r *ItemRuns) SetHeard(now time.Time) {
	if now.Before(r.heard) {
		r.heard = now
		clear(r.parts) // no item has run with them yet
	}
}

// Wait returns the time until an item with the parts may run; zero if it may run now. The
// argument suspects is the number of quarantined parts of its prompt that aren't among them.
func (r *ItemRuns) Wait(parts []string, suspects int, rank Rank, now time.Time) time.Duration {
	suspects += r.table.CountSuspects(parts)
	var wait time.Duration
	for _, part := range parts {
		wait = max(wait, r.waitFor(part, suspects, rank, now))
	}
	return wait
}

func (r *ItemRuns) waitFor(part string, suspects int, rank Rank, now time.Time) time.Duration {
	if r.table.isSound(part, now) {
		delete(r.parts, part)
		return 0
	}
	run, known := r.parts[part]
	if !known {
		if len(r.parts) >= maxItemRuns {
			return 0
		}
		run = &itemRun{opens: r.opening(part, rank, now)}
		r.parts[part] = run
	}
	run.asked = now
	last, isSuspect := r.table.lastCounting(part)
	switch {
	case run.isBusy(isSuspect, now):
		return busyWait
	case !isSuspect:
		return max(run.opens.Sub(now), 0)
	}
	wait := max(last.Add(time.Duration(suspects-1)*OtherSuspectWait).Sub(now), 0)
	if wasAnswered(countingPartCrashes(r.table.parts[part], nil)) {
		// It more likely ran beside the part that crashes upstreams, and waits for no other host.
		return wait
	}
	return max(wait, r.TurnWait(part, last.Add(suspectDelay), rank, now))
}

// opening returns the time from which this host may run an item with a part of which no crash is
// known. Hosts begin one after the other, so that the later ones hear of a crash.
func (r *ItemRuns) opening(part string, rank Rank, now time.Time) time.Time {
	if now.Before(r.heard) {
		now = r.heard
	}
	place, hosts := rank(part, false)
	return now.Add(time.Duration(place) * min(unknownGap, maxUnknownGap/time.Duration(hosts)))
}

// TurnWait returns the time until this host's next turn to run an item with the part, where turns
// begin at the given time; zero if it has it now.
func (r *ItemRuns) TurnWait(part string, begin time.Time, rank Rank, now time.Time) time.Duration {
	place, hosts := rank(part, true)
	return max(turnWait(begin, place, hosts, now), r.heard.Sub(now))
}

func turnWait(begin time.Time, place, hosts int, now time.Time) time.Duration {
	turns := min(hosts, maxTurns)
	own := time.Duration(place%turns) * turnTime
	since := now.Sub(begin)
	if since < own || turns == 1 {
		return max(own-since, 0)
	}
	cycle := time.Duration(turns) * turnTime
	inTurn := (since - own) % cycle
	if inTurn < turnOpenTime {
		return 0
	}
	return cycle - inTurn
}

// isBusy reports whether the run may yet show whether the part crashes upstreams: it goes on, or it
// isn't known why it ended.
func (r *itemRun) isBusy(isSuspect bool, now time.Time) bool {
	limit := unknownRunTime
	if isSuspect {
		limit = suspectRunTime
	}
	switch {
	case r.key != "":
		return now.Sub(r.began) < limit
	case !r.ended.IsZero():
		return now.Sub(r.ended) < limit
	}
	return false
}

// Begin records that an item with the parts runs. It returns those that aren't known to be sound:
// the run shows whether they are. It must be followed by End.
func (r *ItemRuns) Begin(key string, parts []string, now time.Time) []string {
	var unknown []string
	for _, part := range parts {
		if r.table.isSound(part, now) {
			continue
		}
		unknown = append(unknown, part)
		if run, known := r.parts[part]; known {
			run.key, run.began, run.ended = key, now, time.Time{}
		}
	}
	return unknown
}

// End records that the run of an item with the parts has ended. If it isn't decided why, no other
// one follows for a while: an upstream may have ended with it.
func (r *ItemRuns) End(key string, parts []string, decided bool, now time.Time) {
	for _, part := range parts {
		run, known := r.parts[part]
		if !known || run.key != key {
			continue
		}
		run.key = ""
		if !decided {
			run.ended = now
		}
	}
}

// Expire forgets the parts that no item runs or waits with.
func (r *ItemRuns) Expire(now time.Time) {
	maps.DeleteFunc(r.parts, func(_ string, run *itemRun) bool { return run.key == "" && now.Sub(run.asked) > itemRunTTL })
}

// CountSuspects returns how many of the parts crashes count against.
func (t *PartTable) CountSuspects(parts []string) int {
	n := 0
	for _, part := range parts {
		if t.isSuspect(part) {
			n++
		}
	}
	return n
}

// isSuspect reports whether a crash counts against the part.
func (t *PartTable) isSuspect(part string) bool {
	_, isSuspect := t.lastCounting(part)
	return isSuspect
}

// lastCounting returns the time of the last crash that counts against the part, and false if none
// does.
func (t *PartTable) lastCounting(part string) (last time.Time, isSuspect bool) {
	for _, c := range t.parts[part] {
		if !c.Withdrawn && (!isSuspect || c.At.After(last)) {
			last, isSuspect = c.At, true
		}
	}
	return last, isSuspect
}

// isSound reports whether requests or items of this host were lately answered with the part, and
// no crash counts against it since.
func (t *PartTable) isSound(part string, now time.Time) bool {
	at, answered := t.answered[part]
	return answered && now.Sub(at) <= soundMemory && !t.isSuspect(part)
}
