package callerlimit

import (
	"cmp"
	"sync"
	"time"
)

// Bounds are those on a listener's connections; 0 is no bound.
type Bounds struct {
	Open       int
	Unfinished int // connections with a head or body that isn't complete
}

// fileDescriptors is the number of descriptors that the platform reserves for files.
const fileDescriptors = 200

// Sockets returns how many of a process's descriptors are for sockets; 0 if their number
// isn't known.
func Sockets(descriptors int) int { return max(descriptors-fileDescriptors, descriptors/2) }

// BoundsFor returns bounds for a listener that may have the given number of sockets, and for
// an account of the given number of bytes; 0 is no bound. Half of the connections are for
// those that are idle or whose request runs. The memory of unfinished ones, about 32 KB each
// beside what the account counts, is bounded by that of the account.
func BoundsFor(sockets int, accountBytes int64) Bounds {
	b := Bounds{Open: sockets, Unfinished: (sockets + 1) / 2}
	if fits := int(accountBytes / connBytes); fits > 0 && (b.Unfinished == 0 || fits < b.Unfinished) {
		b.Unfinished = fits
	}
	return b
}

const connBytes = 32 << 10 // buffers and stacks of a connection, and the head of an ordinary request

type phase int

const (
	phaseHead phase = iota // a head may arrive or isn't complete
	phaseBody
	phaseBusy // the request is complete
	phaseIdle
)

// entry is a connection in a table.
type entry struct {
	phase phase
	since time.Time // start of the phase
	begun bool      // bytes of the head have arrived
}

func (e *entry) unfinished() bool { return e.phase == phaseHead || e.phase == phaseBody }

// table decides which connections may stay open.
type table struct {
	bounds      Bounds
	multiplexed bool // a connection carries several requests at a time, and is busy while there is one

	mu         sync.Mutex
	open       map[*entry]struct{}
	unfinished int
}

func newTable(bounds Bounds) *table { return &table{bounds: bounds, open: map[*entry]struct{}{}} }

// add adds a connection that was accepted. It returns the connection that must be closed to
// make room, if there is one; it is the new one if no other may be closed.
func (t *table) add(now time.Time, idleTime time.Duration) (added, victim *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	added = &entry{since: now}
	if t.bounds.Open > 0 && len(t.open) >= t.bounds.Open {
		if victim = t.leastNeeded(now, idleTime); victim == nil {
			return added, added
		}
		t.drop(victim)
	}
	t.open[added] = struct{}{}
	t.unfinished++
	if victim == nil {
		victim = t.evictUnfinished(added)
	}
	return added, victim
}

// move changes the phase of a connection, and returns one that must be closed to make room.
func (t *table) move(e *entry, to phase, now time.Time) (victim *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, open := t.open[e]; !open {
		return nil
	}
	before := e.unfinished()
	e.phase, e.since, e.begun = to, now, false
	switch after := e.unfinished(); {
	case before && !after:
		t.unfinished--
	case after && !before:
		t.unfinished++
		return t.evictUnfinished(e)
	}
	return nil
}

// beginHead records that bytes of a head have arrived.
func (t *table) beginHead(e *entry, now time.Time) (victim *entry) {
	if victim = t.move(e, phaseHead, now); victim == e {
		return victim
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e.begun = true
	return victim
}

func (t *table) remove(e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(e)
}

func (t *table) drop(e *entry) {
	if _, open := t.open[e]; !open {
		return
	}
	delete(t.open, e)
	if e.unfinished() {
		t.unfinished--
	}
}

// evictUnfinished drops a connection if too many are unfinished, preferably another one
// than that which has just become so.
func (t *table) evictUnfinished(recent *entry) *entry {
	if t.bounds.Unfinished == 0 || t.unfinished <= t.bounds.Unfinished {
		return nil
	}
	victim := t.longestUnfinished(recent)
	if victim == nil {
		victim = recent
	}
	t.drop(victim)
	return victim
}

// leastNeeded returns the connection that is closed in a full table, nil if each carries a
// request. A peer that is idle connects again when it needs to; one that has never sent
// anything may not be a peer, and goes first.
func (t *table) leastNeeded(now time.Time, idleTime time.Duration) *entry {
	if t.multiplexed {
		return cmp.Or(t.longestUnfinished(nil), t.longestIdle(now, 0))
	}
	return cmp.Or(t.longestIdle(now, idleTime), t.longestUnfinished(nil))
}

func (t *table) longestUnfinished(except *entry) *entry {
	var oldest *entry
	for e := range t.open {
		if e != except && e.unfinished() && (oldest == nil || e.since.Before(oldest.since)) {
			oldest = e
		}
	}
	return oldest
}

// longestIdle returns the connection that has been idle for longest, if that is longer than
// callers reuse one.
func (t *table) longestIdle(now time.Time, idleTime time.Duration) *entry {
	var oldest *entry
	for e := range t.open {
		if e.phase == phaseIdle && now.Sub(e.since) > idleTime && (oldest == nil || e.since.Before(oldest.since)) {
			oldest = e
		}
	}
	return oldest
}

// dropSlowHeads drops the connections whose head has begun and isn't complete in time.
func (t *table) dropSlowHeads(now time.Time, limit time.Duration) []*entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var slow []*entry
	for e := range t.open {
		if e.phase == phaseHead && e.begun && now.Sub(e.since) > limit {
			slow = append(slow, e)
			t.drop(e)
		}
	}
	return slow
}

func (t *table) counts() (open, unfinished int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open), t.unfinished
}
