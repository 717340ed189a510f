package job

import (
	"slices"

	"github.com/masticscale/masticscale/internal/membership"
)

// TrialAfterClaims is the number of claims after which a chunk's items are
// tried one by one, because its earlier owners did not live to commit it.
const TrialAfterClaims = 4

// maxTrialRuns bounds the runs of one item that its owners did not survive.
const maxTrialRuns = 2

// Chunk is the state of one chunk's run. Its segments are set once, by a write
// that is conditional on the owner still owning the chunk.
type Chunk struct {
	Owner    membership.Owner `json:"owner"`
	Claims   int              `json:"claims"` // owners that it has had
	Segments []string         `json:"segments,omitempty"`
	Stopped  bool             `json:"stopped,omitempty"` // cancelled before results were committed
	Counts   Counts           `json:"counts"`
	Trial    *Trial           `json:"trial,omitempty"`
}

// StoredChunk is a chunk at a version.
type StoredChunk struct {
	Chunk
	Version Version
}

// Done reports whether the chunk has ended.
func (c Chunk) Done() bool { return c.Stopped || len(c.Segments) > 0 }

// Claim returns the chunk in the hands of a new owner.
func (c Chunk) Claim(owner membership.Owner) Chunk {
	c.Owner = owner
	c.Claims++
	if c.Claims > TrialAfterClaims && c.Trial == nil {
		c.Trial = &Trial{}
	}
	return c
}

// Release returns the chunk as its owner gives it back when it stops.
func (c Chunk) Release() Chunk {
	c.Owner = membership.Owner{}
	c.Claims--
	if c.Trial != nil && c.Trial.Runs > 0 {
		trial := *c.Trial
		trial.Runs--
		c.Trial = &trial
	}
	return c
}

// IsUnowned reports whether the chunk has no owner.
func (c Chunk) IsUnowned() bool { return c.Owner == membership.Owner{} }

// Commit returns the chunk with its results.
func (c Chunk) Commit(segments []string, counts Counts) Chunk {
	c.Segments = segments
	c.Counts = counts
	return c
}

// Stop returns the chunk of a cancelled job that ended without results.
func (c Chunk) Stop(lines int) Chunk {
	c.Stopped = true
	c.Counts = Counts{Total: lines, Cancelled: lines}
	return c
}

// Trial is the progress of a chunk whose items are run one by one. It is written
// before each run, so that the next owner knows which item an owner did not
// survive.
type Trial struct {
	Next        int   `json:"next"`                  // the item that is being run
	Runs        int   `json:"runs"`                  // runs of that item
	Quarantined []int `json:"quarantined,omitempty"` // items that are not run again
}

// Start returns the trial before a run of the item, and whether it may run. An
// item that too many owners did not survive is quarantined instead.
func (t Trial) Start(item int) (Trial, bool) {
	if item != t.Next {
		return Trial{Next: item, Runs: 1, Quarantined: t.Quarantined}, true
	}
	if t.Runs >= maxTrialRuns {
		return Trial{Next: item + 1, Quarantined: append(slices.Clone(t.Quarantined), item)}, false
	}
	t.Runs++
	return t, true
}

// IsQuarantined reports whether the item must not be run again.
func (t Trial) IsQuarantined(item int) bool { return slices.Contains(t.Quarantined, item) }

// Segment is the results of a run of items, in input order, compressed.
type Segment struct {
	Data []byte `json:"data"` // zstd of one ResultLine a line
}
