package batch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/job"
	"github.com/masticscale/masticscale/internal/upstream"
)

const (
	maxErrorAnswers   = 5 // answers of upstreams that they failed the item
	preemptionBackoff = 100 * time.Millisecond
	failureBackoff    = 500 * time.Millisecond // after a run that may have crashed its upstream; doubles with each further one
	maxTrialTurn      = 5 * time.Second        // of an item without a result, before the others of a trial have theirs
	maxFailureBackoff = 2 * time.Second        // an item is owed, and must be run soon after the upstreams have recovered
)

// attempts counts the unsuccessful runs of one item.
type attempts struct {
	failed   int // runs that broke off, and error answers
	answers  int // error answers
	busy     int
	failedAt upstream.ID // the last upstream that failed a run; zero if none did
	last     error       // of the last run that may have executed or was rejected
	tried    bool        // the item was run once
	retrying bool        // its last run had no result
}

// recordFailure records a run without a result. It returns the item's error
// result if the item must not be retried, otherwise the delay before the next
// run. A run that broke off doesn't end the item: whatever the upstream did, the
// item is owed.
func (a *attempts) recordFailure(item job.Item, err error) (*job.ResultLine, time.Duration) {
	var failure *dispatch.AttemptError
	if errors.As(err, &failure) {
		a.failedAt = failure.Upstream
	}
	var answer *answerError
	switch {
	case errors.Is(err, dispatch.ErrPreempted):
		return nil, preemptionBackoff
	case errors.Is(err, ErrBusy):
		a.busy++
		a.last = err
		return nil, min(retryBaseDelay<<min(a.busy, 10), retryMaxDelay)
	case errors.As(err, &answer):
		a.answers++
	case notRun(err):
		return nil, retryBaseDelay
	}
	if a.answers >= maxErrorAnswers {
		line := answer.result(item)
		return &line, 0
	}
	a.failed++
	a.last = err
	return nil, min(failureBackoff<<min(a.failed-1, 10), maxFailureBackoff)
}

// expiredLine returns the result of an item that has none at the job's deadline.
func (a *attempts) expiredLine(item job.Item) job.ResultLine {
	message := "the job's time ran out before this item was done"
	if a.last != nil {
		message += "; its last run: " + publicMessage(a.last)
	}
	return job.NewFailure(item.CustomID, job.CodeExpired, message)
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

// places bounds the number of items that run at the same time.
type places chan struct{}

// acquire waits for a place. It returns false if ctx is done first.
func (p places) acquire(ctx context.Context) bool {
	select {
	case p <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p places) release() { <-p }

// runItem runs one item until it has a result. The item has one of the places during
// its runs only: others run while it waits for the next one. In a trial it returns nil if
// the item has no result by the end of its turn.
func (u *chunkRun) runItem(ctx context.Context, item job.Item, attempts *attempts, running places) *job.ResultLine {
	var started time.Time
	for {
		if !running.acquire(ctx) {
			cancelled := job.CancelledLine(item.CustomID)
			return &cancelled
		}
		if started.IsZero() {
			started = time.Now()
		}
		result, wait := u.runOnce(ctx, item, attempts)
		running.release()
		if result != nil || u.claimedTrial != nil && time.Since(started)+wait > maxTrialTurn {
			return result
		}
		sleepContext(ctx, min(wait, time.Until(u.job.Deadline)))
	}
}

// runOnce runs an item once. It returns the item's result, or the delay before the next run.
func (u *chunkRun) runOnce(ctx context.Context, item job.Item, attempts *attempts) (*job.ResultLine, time.Duration) {
	result, wait := u.execute(ctx, item, attempts)
	u.recordRun(attempts, result != nil)
	return result, wait
}

// recordRun records that a run of an item has ended. Once all items without a result wait
// for another run, the chunk makes place for others.
func (u *chunkRun) recordRun(attempts *attempts, hasResult bool) {
	if !attempts.tried {
		attempts.tried = true
		u.untried.Add(-1)
	}
	switch {
	case hasResult && attempts.retrying:
		u.retrying.Add(-1)
	case !hasResult && !attempts.retrying:
		u.retrying.Add(1)
	}
	attempts.retrying = !hasResult
	if u.untried.Load() <= 0 && u.retrying.Load() > 0 && u.place.yield() {
		u.runner.notifyScheduler()
	}
}

// execute runs an item once. Permission to dispatch is checked immediately before.
func (u *chunkRun) execute(ctx context.Context, item job.Item, attempts *attempts) (*job.ResultLine, time.Duration) {
	cancelled := job.CancelledLine(item.CustomID)
	if u.awaitPermission(ctx) != nil {
		return &cancelled, 0
	}
	if !time.Now().Before(u.job.Deadline) {
		expired := attempts.expiredLine(item)
		return &expired, 0
	}
	line, err := u.runner.executor.Execute(ctx, Task{Job: u.job, Item: item, FailedAt: attempts.failedAt, Permit: u.checkPermit})
	if err == nil {
		return &line, 0
	}
	if ctx.Err() != nil {
		return &cancelled, 0
	}
	return attempts.recordFailure(item, err)
}
