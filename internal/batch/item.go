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
	maxItemAttempts = 5  // that may have run and had no answer
	maxBusyAnswers  = 50 // by which an upstream turned the item away
	yieldPause      = 100 * time.Millisecond
)

// tries counts how the runs of one item ended.
type tries struct {
	failed int
	busy   int
}

// next notes a run without a result. It returns the item's own error when it is
// not to be run again, or else the time to wait.
func (t *tries) next(item job.Item, err error) (*job.ResultLine, time.Duration) {
	switch {
	case errors.Is(err, dispatch.ErrPreempted):
		return nil, yieldPause
	case errors.Is(err, ErrBusy):
		t.busy++
	case final(err):
		line := refusedLine(item, err)
		return &line, 0
	case !notRun(err):
		t.failed++
	}
	if t.failed >= maxItemAttempts || t.busy >= maxBusyAnswers {
		line := job.NewFailure(item.CustomID, job.CodeFailed, messageOf(err))
		return &line, 0
	}
	return nil, min(retryBackoff<<min(t.failed+t.busy, 10), retryMax)
}

// final reports whether running the item again is of no use.
func final(err error) bool {
	for _, kind := range []apierr.Kind{apierr.Quarantined, apierr.Invalid, apierr.NotFound, apierr.Forbidden, apierr.TooLarge} {
		if apierr.IsKind(err, kind) {
			return true
		}
	}
	return false
}

// notRun reports whether the item did not reach an upstream, as when there is
// none or all are full. That is no failure of the item.
func notRun(err error) bool { return apierr.From(err).Execution == apierr.NotRun }

// messageOf returns what the team may read of an error; causes stay in logs.
func messageOf(err error) string {
	var e *apierr.Error
	if errors.As(err, &e) {
		return e.Message
	}
	return err.Error()
}

// permit returns nil when the host may dispatch an item at this moment. Unlike
// ready it does not wait.
func (u *run) permit() error {
	term, held := u.r.leaseTerm.check()
	if !held || term != u.term.Load() || u.cancelled() {
		return errNotPermitted
	}
	return nil
}

// runItem runs one item to its end. Whether the host may dispatch it is checked
// immediately before each run.
func (u *run) runItem(ctx context.Context, item job.Item) job.ResultLine {
	var t tries
	for {
		if u.ready(ctx) != nil {
			return job.CancelledLine(item.CustomID)
		}
		if time.Now().After(u.job.Deadline) {
			return job.NewFailure(item.CustomID, job.CodeExpired, "the job's time ran out before this item was done")
		}
		line, err := u.r.executor.Execute(ctx, Task{Job: u.job, Item: item, Permit: u.permit})
		if err == nil {
			return line
		}
		if ctx.Err() != nil {
			return job.CancelledLine(item.CustomID)
		}
		ended, wait := t.next(item, err)
		if ended != nil {
			return *ended
		}
		pause(ctx, wait)
	}
}
