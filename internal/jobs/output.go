package jobs

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/objstore"
)

// largeOutput refers to an output that is stored in objects of its own, because it
// doesn't fit into its segment. The names of the objects contain the digest of the
// output, so that an existing object has the same content.
type largeOutput struct {
	Index  int    `json:"index"` // of the result in the segment
	Digest string `json:"digest"`
	Chunks int    `json:"chunks"`
}

func (l largeOutput) chunkName(job string, n int) string { return numberedName(job+"."+l.Digest, n) }

// hasLargeOutput reports whether the result's output is stored apart from its segment.
func (x *Result) hasLargeOutput() bool { return len(x.ID)+len(x.Output) > maxSegmentBytes }

// sizeInSegment returns the size of the result that counts for its segment.
func (x *Result) sizeInSegment() int {
	if x.hasLargeOutput() {
		return len(x.ID)
	}
	return len(x.ID) + len(x.Output)
}

// storeLargeOutputs stores the large outputs of the segment, and returns the segment to be
// stored, which refers to them.
func (r *Runner) storeLargeOutputs(ctx context.Context, job string, s segment) (segment, error) {
	stored := s
	stored.Results = slices.Clone(s.Results)
	for n, x := range s.Results {
		if !x.hasLargeOutput() {
			continue
		}
		sum := sha256.Sum256(x.Output)
		l := largeOutput{Index: n, Digest: hex.EncodeToString(sum[:partDigestBytes])}
		for chunk := range slices.Chunk(x.Output, maxSegmentBytes) {
			if err := r.storeChunk(ctx, l.chunkName(job, l.Chunks), chunk); err != nil {
				return segment{}, errors.Wrapf(err, "store output of item %q", x.ID)
			}
			l.Chunks++
		}
		stored.Results[n].Output = nil
		stored.Large = append(stored.Large, l)
	}
	return stored, nil
}

func (r *Runner) storeChunk(ctx context.Context, name string, chunk []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := r.store.Create(ctx, KindOutput, name, chunk)
	if errors.Is(err, objstore.ErrConflict) {
		return nil // stored by another attempt
	}
	return err
}

// decodeSegment decodes a stored segment and reads its large outputs.
func (r *Runner) decodeSegment(ctx context.Context, job string, o objstore.Object) (segment, error) {
	var s segment
	if err := o.Decode(&s); err != nil {
		return s, err
	}
	for _, l := range s.Large {
		if l.Index < 0 || l.Index >= len(s.Results) {
			return s, errors.Errorf("segment %q has no result %d", o.Name, l.Index)
		}
		for n := range l.Chunks {
			chunk, err := r.getExisting(ctx, KindOutput, l.chunkName(job, n))
			if err != nil {
				return s, errors.Wrapf(err, "read output of item %q", s.Results[l.Index].ID)
			}
			var data []byte
			if err := chunk.Decode(&data); err != nil {
				return s, err
			}
			s.Results[l.Index].Output = append(s.Results[l.Index].Output, data...)
		}
	}
	s.Large = nil
	return s, nil
}
