package batch

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/job"
)

const (
	leasePollInterval = 250 * time.Millisecond
	retryBaseDelay    = 250 * time.Millisecond
	retryMaxDelay     = 10 * time.Second
	commitBaseDelay   = 100 * time.Millisecond
	commitMaxDelay    = time.Second
	releaseTimeout    = 2 * time.Second
	maxReadTries      = 6 // of a chunk's input by one host; then another host may try
)

// errChunkLost means that another host has claimed the chunk.
var errChunkLost = errors.New("the chunk was claimed by another host")

// channelMutex is a mutex that is held during store calls and delays.
type channelMutex chan struct{}

func (m channelMutex) lock() { m <- struct{}{} }

func (m channelMutex) unlock() { <-m }

// chunkRun is one chunk being processed by this host.
type chunkRun struct {
	runner *Runner
	job    job.Job
	index  int
	place  *chunkPlace

	untried  atomic.Int64 // items that have not been run yet, without the deferred ones
	retrying atomic.Int64 // items that have been run and have no result

	claimedTrial    *job.Trial    // at the time of the claim
	claimedPartial  []string      // at the time of the claim
	cancelRequested chan struct{} // closed by cancel
	cancelOnce      sync.Once

	claimMu channelMutex // guards the fields below, also during store writes
	chunk   job.Chunk
	version job.Version
	term    atomic.Int64
	lost    bool
	settled bool
}

func newRun(r *Runner, t task) *chunkRun {
	return &chunkRun{runner: r, job: t.job, index: t.index, chunk: t.stored.Chunk, version: t.stored.Version, cancelRequested: make(chan struct{}), claimMu: make(channelMutex, 1)}
}

// cancel prevents further dispatches and cancels items in flight.
func (u *chunkRun) cancel() { u.cancelOnce.Do(func() { close(u.cancelRequested) }) }

func (u *chunkRun) isCancelled() bool {
	select {
	case <-u.cancelRequested:
		return true
	default:
		return false
	}
}

// process claims the chunk, runs its items and commits their results.
func (u *chunkRun) process(ctx context.Context) {
	u.claimMu.lock()
	err := u.claim(ctx, true)
	u.claimedTrial, u.claimedPartial = u.chunk.Trial, u.chunk.Partial
	u.claimMu.unlock()
	if err != nil {
		u.logFailure("chunk_not_claimed", err)
		return
	}
	defer u.release(ctx)
	if u.isCancelled() {
		u.commit(ctx, nil)
		return
	}
	items, err := u.loadItems(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		u.logFailure("chunk_unreadable", err)
		u.endUnread(ctx)
		return
	}
	lines, err := u.runItems(ctx, items)
	if err != nil {
		u.logFailure("chunk_abandoned", err)
		return
	}
	u.commit(ctx, lines)
}

// release gives up an unfinished chunk on shutdown, so that another host can
// claim it immediately and the claim isn't counted as a crash of its owner.
func (u *chunkRun) release(ctx context.Context) {
	if ctx.Err() == nil {
		return
	}
	u.giveBack(ctx)
}

// giveBack releases the claim of an unfinished chunk.
func (u *chunkRun) giveBack(ctx context.Context) {
	u.claimMu.lock()
	defer u.claimMu.unlock()
	if u.settled || u.lost {
		return
	}
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if _, err := u.runner.repo.PutChunk(bounded, u.job.ID, u.index, u.chunk.Release(), u.version); err != nil {
		u.logFailure("chunk_not_released", err)
	}
}

func (u *chunkRun) logFailure(event string, err error) {
	u.runner.log.WithError(err).WithFields(logrus.Fields{"event": event, "job": u.job.ID, "chunk": u.index}).Debug("chunk was not completed by this host")
}

// claim writes this host's claim by compare-and-set against the last known
// version, then reads the job. A concurrent cancellation therefore either sees
// the claim and waits for it, or is seen here. The caller holds claimMu.
func (u *chunkRun) claim(ctx context.Context, countClaim bool) error {
	term, held := u.runner.leaseTerm.check()
	if !held {
		return errors.New("the host lease is not confirmed")
	}
	owner := u.runner.owner()
	next := u.chunk
	if countClaim {
		next = next.Claim(owner)
	}
	next.Owner = owner
	version, err := u.runner.repo.PutChunk(ctx, u.job.ID, u.index, next, u.version)
	if errors.Is(err, job.ErrConflict) {
		return errChunkLost
	}
	if err != nil {
		return err
	}
	u.chunk, u.version = next, version
	j, _, err := u.runner.repo.Job(ctx, u.job.Team, u.job.ID)
	if err != nil {
		return err
	}
	if j.State != job.Running {
		u.cancel()
	}
	if j.State.Terminal() {
		u.runner.applyJob(j)
	}
	u.term.Store(term)
	return nil
}

// awaitPermission returns nil once this host may dispatch an item, and blocks
// while the host lease is not confirmed. After an interruption of the lease it
// claims the chunk again, because another host may have claimed it in the
// meantime.
func (u *chunkRun) awaitPermission(ctx context.Context) error {
	u.claimMu.lock()
	defer u.claimMu.unlock()
	for ctx.Err() == nil && !u.lost {
		term, held := u.runner.leaseTerm.check()
		if held && term == u.term.Load() {
			return ctx.Err()
		}
		if held {
			err := u.claim(ctx, false)
			u.lost = errors.Is(err, errChunkLost)
			if err == nil {
				continue
			}
		}
		sleepContext(ctx, leasePollInterval)
	}
	if u.lost {
		return errChunkLost
	}
	return ctx.Err()
}

// loadItems reads the chunk's part of the input file, with retries while the store is
// unavailable. It fails if the part is missing or can't be decoded in several tries, or at
// the job's deadline: one answer of the store or one host's version may be wrong.
func (u *chunkRun) loadItems(ctx context.Context) ([]job.Item, error) {
	ctx, cancel := u.withCancellation(ctx)
	defer cancel()
	for tries := 1; ; tries++ {
		items, unreadable, err := u.readItems(ctx)
		if err == nil || ctx.Err() != nil {
			return items, err
		}
		if unreadable && (tries >= maxReadTries || u.isOverdue()) {
			return nil, err
		}
		wait := commitMaxDelay
		if unreadable {
			wait = min(retryBaseDelay<<tries, time.Until(u.job.Deadline))
		}
		sleepContext(ctx, wait)
	}
}

// readItems reads the chunk's items once. It tells input that is missing or can't be decoded
// from a store that is unavailable.
func (u *chunkRun) readItems(ctx context.Context) (items []job.Item, unreadable bool, err error) {
	part, err := u.runner.repo.Part(ctx, u.job.File, u.index)
	if err != nil {
		return nil, errors.Is(err, job.ErrNotFound), err
	}
	items, err = part.Items()
	return items, err != nil, err
}

func (u *chunkRun) isOverdue() bool { return !time.Now().Before(u.job.Deadline) }

// endUnread ends the run of a chunk whose items couldn't be read. Before the job's deadline
// another host may be able to read them.
func (u *chunkRun) endUnread(ctx context.Context) {
	switch {
	case u.isCancelled():
		u.commit(ctx, nil)
	case u.isOverdue():
		u.commit(ctx, unreadableResults(u.job.Lines[u.index]))
	default:
		u.giveBack(ctx)
	}
}

// unreadableResults returns the results of items whose input is missing or
// corrupt.
func unreadableResults(count int) []job.ResultLine {
	lines := make([]job.ResultLine, count)
	for i := range lines {
		lines[i] = job.NewFailure("", job.CodeUnreadable, "the item's input cannot be read; send it in a new file")
	}
	return lines
}

// withCancellation returns a context that is cancelled with the job or with
// ctx.
func (u *chunkRun) withCancellation(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-u.cancelRequested:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// runItems runs every item until it has a result. It fails if the host stops
// or has lost the chunk. After a cancellation it returns the results so far.
func (u *chunkRun) runItems(ctx context.Context, items []job.Item) ([]job.ResultLine, error) {
	lines := make([]job.ResultLine, len(items))
	for i, item := range items {
		lines[i] = job.CancelledLine(item.CustomID)
	}
	itemCtx, cancel := u.withCancellation(ctx)
	defer cancel()
	err := u.runAll(itemCtx, items, lines)
	if err == nil {
		err = ctx.Err()
	}
	u.claimMu.lock()
	defer u.claimMu.unlock()
	if u.lost {
		err = errChunkLost
	}
	return lines, err
}

// runAll runs every item: those that the last owners survived at the same time, the
// others one by one, and at the end those that several owners did not survive or that
// have no result yet.
func (u *chunkRun) runAll(ctx context.Context, items []job.Item, lines []job.ResultLine) error {
	tries := u.newAttempts(len(items))
	u.untried.Store(int64(len(items)))
	if u.loadPartial(ctx, lines) {
		return u.runDeferred(ctx, items, lines, tries)
	}
	concurrent := len(items)
	if u.claimedTrial != nil {
		concurrent = min(u.claimedTrial.Next, len(items))
	}
	u.runConcurrently(ctx, items[:concurrent], lines, tries)
	if err := u.runSequentially(ctx, items, lines, tries, concurrent); err != nil {
		return err
	}
	return u.runDeferred(ctx, items, lines, tries)
}

// newAttempts returns the attempts at each item as far as the chunk records them.
func (u *chunkRun) newAttempts(count int) []attempts {
	tries := make([]attempts, count)
	for i := range tries {
		if u.claimedTrial != nil && u.claimedTrial.IsDeferred(i) {
			tries[i].last = errHostsLost
		}
	}
	return tries
}

func (u *chunkRun) runConcurrently(ctx context.Context, items []job.Item, lines []job.ResultLine, tries []attempts) {
	running := make(places, maxConcurrentItems)
	var wg sync.WaitGroup
	for i, item := range items {
		if u.claimedTrial != nil && u.claimedTrial.IsDeferred(i) {
			continue
		}
		wg.Go(func() { u.runOrDefer(ctx, i, item, lines, &tries[i], running) })
	}
	wg.Wait()
}

// runSequentially runs the items of a chunk whose previous owners crashed. It
// records each item in the store before running it.
func (u *chunkRun) runSequentially(ctx context.Context, items []job.Item, lines []job.ResultLine, tries []attempts, from int) error {
	alone := make(places, 1)
	for i := from; i < len(items) && ctx.Err() == nil; i++ {
		allowed, err := u.startTrial(ctx, i)
		if err != nil {
			return err
		}
		if !allowed {
			tries[i].last = errHostsLost
			continue
		}
		u.runOrDefer(ctx, i, items[i], lines, &tries[i], alone)
	}
	return nil
}

// runOrDefer runs an item until it has a result or, in a trial, its turn ends without
// one: the others must not wait for it. The next write of the chunk stores that it is
// deferred.
func (u *chunkRun) runOrDefer(ctx context.Context, i int, item job.Item, lines []job.ResultLine, attempts *attempts, running places) {
	if result := u.runItem(ctx, item, attempts, running); result != nil {
		lines[i] = *result
		return
	}
	u.claimMu.lock()
	defer u.claimMu.unlock()
	trial := u.chunk.Trial.Defer(i)
	u.chunk.Trial = &trial
}

func (u *chunkRun) startTrial(ctx context.Context, i int) (bool, error) {
	u.claimMu.lock()
	defer u.claimMu.unlock()
	trial, allowed := u.chunk.Trial.Start(i)
	next := u.chunk
	next.Trial = &trial
	return allowed, u.update(ctx, next)
}

// update writes the chunk's next state, with retries while the store is unavailable.
// The caller holds claimMu.
func (u *chunkRun) update(ctx context.Context, next job.Chunk) error {
	for {
		version, err := u.runner.repo.PutChunk(ctx, u.job.ID, u.index, next, u.version)
		if err == nil {
			u.chunk, u.version = next, version
			return nil
		}
		if errors.Is(err, job.ErrConflict) {
			u.lost = true
			return errChunkLost
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		sleepContext(ctx, commitMaxDelay)
	}
}

// sleepContext waits for d or until ctx is done.
func sleepContext(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// commit writes the results, then the chunk by compare-and-set, so that only
// the current owner succeeds. It retries during a store outage until the chunk
// is settled. Nil lines stop the chunk of a cancelled job.
func (u *chunkRun) commit(ctx context.Context, lines []job.ResultLine) {
	u.claimMu.lock()
	defer u.claimMu.unlock()
	var segments []job.Segment
	if lines != nil {
		var err error
		if segments, err = job.NewSegments(lines); err != nil {
			u.logFailure("segment_invalid", err)
			return
		}
	}
	names := make([]string, len(segments))
	for i := range names {
		names[i] = segmentName(u.job.ID, u.index)
	}
	next := u.chunk.Commit(names, job.CountResults(lines))
	if lines == nil {
		next = u.chunk.Stop(u.job.Lines[u.index])
	}
	backoff := commitBaseDelay
	for written := 0; ctx.Err() == nil; {
		settled, committed := u.tryCommit(ctx, segments, next, &written)
		if settled {
			u.settled = true
			u.recordCommit(next, committed)
			return
		}
		sleepContext(ctx, backoff)
		backoff = min(2*backoff, commitMaxDelay)
	}
}

// tryCommit reports whether the chunk is settled, and whether by these
// results. The value of written is the number of segments already stored.
func (u *chunkRun) tryCommit(ctx context.Context, segments []job.Segment, next job.Chunk, written *int) (settled, committed bool) {
	for ; *written < len(segments); *written++ {
		err := u.runner.repo.CreateSegment(ctx, next.Segments[*written], segments[*written])
		if err != nil && !errors.Is(err, job.ErrConflict) {
			return false, false
		}
	}
	_, err := u.runner.repo.PutChunk(ctx, u.job.ID, u.index, next, u.version)
	if err == nil {
		return true, true
	}
	if !errors.Is(err, job.ErrConflict) {
		return false, false
	}
	// The conflict may come from an earlier attempt of this commit that
	// succeeded with an ambiguous response.
	current, _, err := u.runner.repo.Chunk(ctx, u.job.ID, u.index)
	if err != nil {
		return errors.Is(err, job.ErrNotFound), false
	}
	ownCommit := current.Done() && current.Stopped == next.Stopped && slices.Equal(current.Segments, next.Segments)
	return true, ownCommit
}

func (u *chunkRun) recordCommit(c job.Chunk, committed bool) {
	if !committed {
		u.logFailure("chunk_lost", errChunkLost)
		return
	}
	items := u.runner.metrics.Items
	items.WithLabelValues("completed").Add(float64(c.Counts.Completed))
	items.WithLabelValues("failed").Add(float64(c.Counts.Failed))
	items.WithLabelValues("cancelled").Add(float64(c.Counts.Cancelled))
}
