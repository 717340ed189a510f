package batch

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/job"
)

// errHostsLost is the last failure of a deferred item.
var errHostsLost = errors.New("the host that ran it was lost")

// runDeferred runs the deferred items alone and in turns until each has a result. The
// results of all others are stored before, since this owner may be lost too.
func (u *chunkRun) runDeferred(ctx context.Context, items []job.Item, lines []job.ResultLine, tries []attempts) error {
	u.untried.Store(0)
	for deferred := u.deferredItems(); len(deferred) > 0 && ctx.Err() == nil; deferred = u.deferredItems() {
		if !time.Now().Before(u.job.Deadline) {
			for _, i := range deferred {
				lines[i] = tries[i].expiredLine(items[i])
			}
			return nil
		}
		i := deferred[0]
		if err := u.startDeferred(ctx, i, lines); err != nil {
			return err
		}
		result, wait := u.runOnce(ctx, items[i], &tries[i])
		if result == nil {
			sleepContext(ctx, min(wait, time.Until(u.job.Deadline)))
			continue
		}
		lines[i] = *result
		if len(deferred) == 1 || ctx.Err() != nil {
			return nil // the commit follows
		}
		if err := u.finishDeferred(ctx, i, lines); err != nil {
			return err
		}
	}
	return nil
}

func (u *chunkRun) deferredItems() []int {
	u.claimMu.lock()
	defer u.claimMu.unlock()
	if u.chunk.Trial == nil {
		return nil
	}
	return u.chunk.Trial.Deferred
}

// startDeferred records the run of a deferred item, with the results of the others
// unless they are stored.
func (u *chunkRun) startDeferred(ctx context.Context, i int, lines []job.ResultLine) error {
	u.claimMu.lock()
	defer u.claimMu.unlock()
	next := u.chunk
	if len(next.Partial) == 0 {
		var err error
		if next.Partial, err = u.storeSegments(ctx, lines); err != nil {
			return err
		}
	}
	trial := next.Trial.Postpone(i)
	if slices.Equal(u.chunk.Partial, next.Partial) && slices.Equal(trial.Deferred, next.Trial.Deferred) {
		return nil // the only deferred item; its run is recorded already
	}
	next.Trial = &trial
	return u.update(ctx, next)
}

// finishDeferred stores the result of a deferred item with those of the others.
func (u *chunkRun) finishDeferred(ctx context.Context, i int, lines []job.ResultLine) error {
	u.claimMu.lock()
	defer u.claimMu.unlock()
	names, err := u.storeSegments(ctx, lines)
	if err != nil {
		return err
	}
	next := u.chunk
	next.Partial = names
	trial := next.Trial.Finish(i)
	next.Trial = &trial
	return u.update(ctx, next)
}

// storeSegments writes the results, with retries while the store is unavailable.
func (u *chunkRun) storeSegments(ctx context.Context, lines []job.ResultLine) ([]string, error) {
	segments, err := job.NewSegments(lines)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(segments))
	for i, segment := range segments {
		names[i] = segmentName(u.job.ID, u.index)
		for {
			err := u.runner.repo.CreateSegment(ctx, names[i], segment)
			if err == nil || errors.Is(err, job.ErrConflict) {
				break
			}
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			sleepContext(ctx, commitMaxDelay)
		}
	}
	return names, nil
}

// loadPartial reads the results that an earlier owner stored before it ran the deferred
// items. It returns false if there are none, so that all items have to be run.
func (u *chunkRun) loadPartial(ctx context.Context, lines []job.ResultLine) bool {
	var stored []job.ResultLine
	for _, name := range u.claimedPartial {
		part, err := u.loadSegment(ctx, name)
		if err != nil {
			u.logFailure("partial_results_unreadable", err)
			return false
		}
		stored = append(stored, part...)
	}
	if len(stored) != len(lines) {
		return false
	}
	copy(lines, stored)
	return true
}

func (u *chunkRun) loadSegment(ctx context.Context, name string) ([]job.ResultLine, error) {
	for {
		segment, err := u.runner.repo.Segment(ctx, name)
		if err == nil {
			return segment.Lines()
		}
		if errors.Is(err, job.ErrNotFound) || ctx.Err() != nil {
			return nil, err
		}
		sleepContext(ctx, commitMaxDelay)
	}
}
