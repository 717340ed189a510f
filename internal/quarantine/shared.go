package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// changes counts the changes of a table, and keeps the crashes that were selected for peers
// until the next one.
type changes[X any] struct {
	version  int64 // rises with each change
	shareAll bool  // crashes of any suspicion go to peers
	selected []X
	at       int64 // version of selected
}

// shared returns the crashes for peers and the version of the table.
func (c *changes[X]) shared(choose func() []X) ([]X, int64) {
	if c.at != c.version {
		c.selected, c.at = choose(), c.version
	}
	return c.selected, c.version
}

// ShareAll decides whether Shared returns all crashes, for hosts that don't hear of each other
// directly.
func (c *changes[X]) ShareAll(all bool) {
	if c.shareAll != all {
		c.shareAll = all
		c.version++
	}
}

// ranked is a crash with what decides whether peers hear of it.
type ranked[X any] struct {
	crash  X
	weight int // of the suspicion; more comes first
	counts bool
	at     time.Time
}

// first returns the crashes that come first, up to the limit: those of more weight, then those
// that count, then later ones.
func first[X any](all []ranked[X], limit int) []X {
	slices.SortFunc(all, func(a, b ranked[X]) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), compareBool(b.counts, a.counts), b.at.Compare(a.at))
	})
	chosen := make([]X, 0, min(len(all), limit))
	for _, x := range all[:min(len(all), limit)] {
		chosen = append(chosen, x.crash)
	}
	return chosen
}
