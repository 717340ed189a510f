package job

import (
	"slices"

	"github.com/masticscale/masticscale/internal/membership"
)

// TrialAfterClaims is the number of claims after which a chunk's items are run
// one by one: the earlier owners were lost before they committed the chunk, so one
// of its items may crash its owner.
const TrialAfterClaims = 4

// maxTrialRuns is the number of runs of one item after which the item is deferred if
// the owner was lost during each of them.
const maxTrialRuns = 2

// Chunk is the execution state of one chunk. Its segments are set once, by a
// conditional write that fails if the chunk has a new owner.
type Chunk struct {
	Owner    membership.Owner `json:"owner"`
	Claims   int              `json:"claims"` // number of owners so far, without those that released the chunk
	Segments []string         `json:"segments,omitempty"`
	Stopped  bool             `json:"stopped,omitempty"` // the job was cancelled before results were committed
	Counts   Counts           `json:"counts"`
	Trial    *Trial           `json:"trial,omitempty"`
	// Partial names the segments with the results of a chunk whose deferred items are
	// still owed. These items have preliminary results there.
	Partial []string `json:"partial,omitempty"`
}

// StoredChunk is a chunk with the version that was read.
type StoredChunk struct {
	Chunk
	Version Version
}

// Done reports whether the chunk has results or was cancelled.
func (c Chunk) Done() bool { return c.Stopped || len(c.Segments) > 0 }

// Claim returns the chunk with a new owner.
func (c Chunk) Claim(owner membership.Owner) Chunk {
	c.Owner = owner
	c.Claims++
	if c.Claims > TrialAfterClaims && c.Trial == nil {
		c.Trial = &Trial{}
	}
	return c
}

// Release returns the chunk without an owner, for an owner that shuts down. A
// released claim and its run of an item do not count as a lost owner.
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

// Commit returns the chunk with its result segments and their counts.
func (c Chunk) Commit(segments []string, counts Counts) Chunk {
	c.Segments = segments
	c.Counts = counts
	return c
}

// Stop returns the chunk as cancelled without results; all its lines count as
// cancelled.
func (c Chunk) Stop(lines int) Chunk {
	c.Stopped = true
	c.Counts = Counts{Total: lines, Cancelled: lines}
	return c
}

// Trial is the progress of a chunk whose items are run one by one. It is stored
// before each run, so that the next owner knows during which item the last
// owner was lost.
type Trial struct {
	Next int `json:"next"` // index of the item that is being run
	Runs int `json:"runs"` // runs of the item at Next
	// Deferred holds the indexes of the items that are run after all others, in the
	// order of their next runs.
	Deferred []int `json:"quarantined,omitempty"`
}

// Start returns the state to store before a run of the item, and whether the
// item may run. After maxTrialRuns runs that did not finish, the item is
// deferred instead.
func (t Trial) Start(item int) (Trial, bool) {
	if item != t.Next {
		return Trial{Next: item, Runs: 1, Deferred: t.Deferred}, true
	}
	if t.Runs >= maxTrialRuns {
		return t.Defer(item), false
	}
	t.Runs++
	return t, true
}

// Defer returns the state in which the item is run after all others.
func (t Trial) Defer(item int) Trial {
	if item >= t.Next {
		t.Next, t.Runs = item+1, 0
	}
	return t.Postpone(item)
}

// IsDeferred reports whether the item is run after all others.
func (t Trial) IsDeferred(item int) bool { return slices.Contains(t.Deferred, item) }

// Postpone returns the state to store before a run of a deferred item: if the owner is
// lost, the next one runs the others first.
func (t Trial) Postpone(item int) Trial {
	t = t.Finish(item)
	t.Deferred = append(t.Deferred, item)
	return t
}

// Finish returns the state after a deferred item has its result.
func (t Trial) Finish(item int) Trial {
	t.Deferred = slices.DeleteFunc(slices.Clone(t.Deferred), func(i int) bool { return i == item })
	return t
}

// Segment holds the compressed results of consecutive items, in input order.
type Segment struct {
	Data []byte `json:"data"` // zstd-compressed JSON Lines of ResultLine
}
