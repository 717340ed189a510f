package catalog

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// unknownAge is the age of a catalog that was never confirmed to be complete.
const unknownAge = time.Duration(math.MaxInt64)

// maxPendingCheckpoints limits the checkpoints that are not reached yet.
const maxPendingCheckpoints = 16

// Checkpoint states that the platform's store had reached a version at a time. A
// host that holds everything up to the version is complete as of that time.
type Checkpoint struct {
	Version int64
	At      time.Time
}

// freshness tracks the maximum age of the host's state. Checkpoints come from the
// platform or from peers, and count once the host's own state has reached their
// version. A watch that stays open and delivers nothing does not reach them, and
// is thereby detected.
type freshness struct {
	confirmed Checkpoint
	pending   []pendingCheckpoint // ascending by version
	latest    Checkpoint          // latest one, reached or not
}

// pendingCheckpoint is a checkpoint that is not reached yet.
type pendingCheckpoint struct {
	Checkpoint
	since time.Time // when the store was first known to have reached it
}

// record adds a checkpoint.
func (f *freshness) record(cp Checkpoint) {
	if cp.At.After(f.latest.At) && cp.Version >= f.latest.Version {
		f.latest = cp
	}
	i, found := slices.BinarySearchFunc(f.pending, cp.Version, func(p pendingCheckpoint, v int64) int { return cmp.Compare(p.Version, v) })
	switch {
	case found && cp.At.After(f.pending[i].At):
		f.pending[i].At = cp.At
	case !found:
		f.pending = slices.Insert(f.pending, i, pendingCheckpoint{cp, cp.At})
	}
	if len(f.pending) > maxPendingCheckpoints {
		// The oldest one stays, because lag is measured from it.
		f.pending = slices.Delete(f.pending, 1, 2)
	}
}

// confirmUpTo confirms the checkpoints up to a version.
func (f *freshness) confirmUpTo(version int64) {
	n := 0
	for n < len(f.pending) && f.pending[n].Version <= version {
		if f.pending[n].At.After(f.confirmed.At) {
			f.confirmed = f.pending[n].Checkpoint
		}
		n++
	}
	f.pending = slices.Delete(f.pending, 0, n)
}

// lag returns for how long the oldest pending checkpoint has not been reached.
func (f *freshness) lag(now time.Time) time.Duration {
	if len(f.pending) == 0 {
		return 0
	}
	return now.Sub(f.pending[0].since)
}

func (f *freshness) age(now time.Time) time.Duration {
	if f.confirmed.At.IsZero() {
		return unknownAge
	}
	return max(0, now.Sub(f.confirmed.At))
}

// RecordCheckpoint adds a checkpoint, and confirms the host's state as of its time
// if the state has reached its version.
func (c *Catalog) RecordCheckpoint(cp Checkpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.freshness.record(cp)
	c.freshness.confirmUpTo(c.versions.completeVersion())
}

// confirmReached confirms the checkpoints that the host's state has reached.
func (c *Catalog) confirmReached() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.freshness.confirmUpTo(c.versions.completeVersion())
}

// lag returns for how long the host has not reached a checkpoint.
func (c *Catalog) lag(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.freshness.lag(now)
}
