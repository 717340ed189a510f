package catalog

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// unknownAge is the age of knowledge that was never confirmed.
const unknownAge = time.Duration(math.MaxInt64)

// checkpointsKept bounds the checkpoints that wait to be reached.
const checkpointsKept = 16

// Checkpoint says that the platform's store had reached a version at a time.
// Who holds everything up to the version knew all at that time.
type Checkpoint struct {
	Version int64
	At      time.Time
}

// freshness follows how old the host's knowledge can be. Checkpoints are heard
// from the platform or from peers, and count once the host's own state has
// reached their version. A watch that stays open and delivers nothing does not
// reach them, so its silence shows.
type freshness struct {
	confirmed Checkpoint
	pending   []pendingCheckpoint // in the order of their versions
	heard     Checkpoint          // the latest one, reached or not
}

// pendingCheckpoint is a checkpoint that is not reached yet.
type pendingCheckpoint struct {
	Checkpoint
	since time.Time // when the store was first known to have reached it
}

// hear notes a checkpoint.
func (f *freshness) hear(cp Checkpoint) {
	if cp.At.After(f.heard.At) && cp.Version >= f.heard.Version {
		f.heard = cp
	}
	i, found := slices.BinarySearchFunc(f.pending, cp.Version, func(p pendingCheckpoint, v int64) int { return cmp.Compare(p.Version, v) })
	switch {
	case found && cp.At.After(f.pending[i].At):
		f.pending[i].At = cp.At
	case !found:
		f.pending = slices.Insert(f.pending, i, pendingCheckpoint{cp, cp.At})
	}
	if len(f.pending) > checkpointsKept {
		// The oldest stays, since it shows for how long nothing was reached.
		f.pending = slices.Delete(f.pending, 1, 2)
	}
}

// reach confirms the checkpoints up to a version.
func (f *freshness) reach(version int64) {
	n := 0
	for n < len(f.pending) && f.pending[n].Version <= version {
		if f.pending[n].At.After(f.confirmed.At) {
			f.confirmed = f.pending[n].Checkpoint
		}
		n++
	}
	f.pending = slices.Delete(f.pending, 0, n)
}

// behind returns for how long a checkpoint has not been reached.
func (f *freshness) behind(now time.Time) time.Duration {
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

// Hear notes that the store had reached a version at a time, and confirms the
// host's knowledge if it has reached it too.
func (c *Catalog) Hear(cp Checkpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fresh.hear(cp)
	c.fresh.reach(c.contents.completeAt())
}

// progress confirms what the kinds have reached by now.
func (c *Catalog) progress() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fresh.reach(c.contents.completeAt())
}

// behind returns for how long the host has not reached what it heard of.
func (c *Catalog) behind(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fresh.behind(now)
}
