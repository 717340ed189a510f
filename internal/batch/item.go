package batch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/job"
)

const (
	maxItemFailures   = 5  // runs that may have executed without a response
	maxBusyResponses  = 50 // temporary rejections by upstreams
	preemptionBackoff = 100 * time.Millisecond
)

// attempts counts the unsuccessful runs of one item.
type attempts struct {
	failed int
	busy   int
}

// recordFailure records a run without a result. It returns the item's error
// result if the item must not be retried, otherwise the delay before the next
// run.
func (a *attempts) recordFailure(item job.Item, err error) (*job.ResultLine, time.Duration) {
	switch {
	case errors.Is(err, dispatch.ErrPreempted):
		return nil, preemptionBackoff
	case errors.Is(err, ErrBusy):
		a.busy++
	case isPermanent(err):
		line := rejectedLine(item, err)
		return &line, 0
	case !notRun(err):
		a.failed++
	}
	if a.failed >= maxItemFailures || a.busy >= maxBusyResponses {
		line := job.NewFailure(item.CustomID, job.CodeFailed, publicMessage(err))
		return &line, 0
	}
	return nil, min(retryBaseDelay<<min(a.failed+a.busy, 10), retryMaxDelay)
}

// isPermanent reports whether a retry can't succeed.
func isPermanent(err error) bool {
	for _, kind := range []apierr.Kind{apierr.Quarantined, apierr.Invalid, apierr.NotFound, apierr.Forbidden, apierr.TooLarge} {
		if apierr.IsKind(err, kind) {
			return true
		}
	}
	return false
}

// notRun reports whether the item reached no upstream, for instance because
// none exists or all are full. Such a run doesn't count as a failure of the
// item.
func notRun(err error) bool { return apierr.From(err).Execution == apierr.NotRun }

// publicMessage returns the part of an error that is shown to the team. Causes
// appear only in logs.
func publicMessage(err error) string {
	var e *apierr.Error
	if errors.As(err, &e) {
		return e.Message
	}
	return err.Error()
}

// checkPermit returns nil if the host may dispatch an item now. Unlike
// awaitPermission it doesn't block.
func (u *chunkRun) checkPermit() error {
	term, held := u.runner.leaseTerm.check()
	if !held || term != u.term.Load() || u.isCancelled() {
		return errNotPermitted
	}
	return nil
}

// runItem runs one item until it has a result. Permission to dispatch is
// checked immediately before each run.
func (u *chunkRun) runItem(ctx context.Context, item job.Item) job.ResultLine {
	var attempts attempts
	for {
		if u.awaitPermission(ctx) != nil {
			return job.CancelledLine(item.CustomID)
		}
		if time.Now().After(u.job.Deadline) {
			return job.NewFailure(item.CustomID, job.CodeExpired, "the job's time ran out before this item was done")
		}
		line, err := u.runner.executor.Execute(ctx, Task{Job: u.job, Item: item, Permit: u.checkPermit})
		if err == nil {
			return line
		}
		if ctx.Err() != nil {
			return job.CancelledLine(item.CustomID)
		}
		result, wait := attempts.recordFailure(item, err)
		if result != nil {
			return *result
		}
		sleepContext(ctx, wait)
	}
}
