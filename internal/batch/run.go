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
	leasePoll      = 250 * time.Millisecond
	retryBackoff   = 250 * time.Millisecond
	retryMax       = 10 * time.Second
	commitBackoff  = 100 * time.Millisecond
	commitMax      = time.Second
	releaseTimeout = 2 * time.Second
)

// errLost means that another host has taken the chunk.
var errLost = errors.New("the chunk was taken by another host")

// gate is a lock that is held across calls of the platform and waits.
type gate chan struct{}

func (g gate) lock() { g <- struct{}{} }

func (g gate) unlock() { <-g }

// run is one chunk in the hands of this host.
type run struct {
	r     *Runner
	job   job.Job
	index int

	trial   *job.Trial    // as it was when the chunk was claimed
	stopped chan struct{} // closed by cancel
	once    sync.Once

	mu      gate // guards the claim, also while it is written
	chunk   job.Chunk
	version job.Version
	term    atomic.Int64
	lost    bool
	settled bool
}

func newRun(r *Runner, t task) *run {
	return &run{r: r, job: t.job, index: t.index, chunk: t.stored.Chunk, version: t.stored.Version, stopped: make(chan struct{}), mu: make(gate, 1)}
}

// cancel stops the items: none is dispatched any more, and those that run end.
func (u *run) cancel() { u.once.Do(func() { close(u.stopped) }) }

func (u *run) cancelled() bool {
	select {
	case <-u.stopped:
		return true
	default:
		return false
	}
}

// do claims the chunk, runs its items and commits their results.
func (u *run) do(ctx context.Context) {
	u.mu.lock()
	err := u.claim(ctx, true)
	u.trial = u.chunk.Trial
	u.mu.unlock()
	if err != nil {
		u.logFailure("chunk_not_claimed", err)
		return
	}
	defer u.release(ctx)
	if u.cancelled() {
		u.commit(ctx, nil)
		return
	}
	items, err := u.items(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		u.logFailure("chunk_unreadable", err)
		u.commit(ctx, unreadable(u.job.Lines[u.index]))
		return
	}
	lines, err := u.runItems(ctx, items)
	if err != nil {
		u.logFailure("chunk_abandoned", err)
		return
	}
	u.commit(ctx, lines)
}

// release gives an unfinished chunk back when the host stops, so that another
// host takes it at once and does not count this owner as lost.
func (u *run) release(ctx context.Context) {
	if ctx.Err() == nil {
		return
	}
	u.mu.lock()
	defer u.mu.unlock()
	if u.settled || u.lost {
		return
	}
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if _, err := u.r.repo.PutChunk(bounded, u.job.ID, u.index, u.chunk.Release(), u.version); err != nil {
		u.logFailure("chunk_not_released", err)
	}
}

func (u *run) logFailure(event string, err error) {
	u.r.log.WithError(err).WithFields(logrus.Fields{"event": event, "job": u.job.ID, "chunk": u.index}).Debug("chunk was not done by this host")
}

// claim writes this host's claim, on the condition that the chunk is as it was
// last seen. Then it reads the job: a cancel either sees the claim and waits
// for it, or is seen here. The caller holds mu.
func (u *run) claim(ctx context.Context, first bool) error {
	term, held := u.r.leaseTerm.check()
	if !held {
		return errors.New("the host lease is not confirmed")
	}
	owner := u.r.owner()
	next := u.chunk
	if first {
		next = next.Claim(owner)
	}
	next.Owner = owner
	version, err := u.r.repo.PutChunk(ctx, u.job.ID, u.index, next, u.version)
	if errors.Is(err, job.ErrConflict) {
		return errLost
	}
	if err != nil {
		return err
	}
	u.chunk, u.version = next, version
	j, _, err := u.r.repo.Job(ctx, u.job.Team, u.job.ID)
	if err != nil {
		return err
	}
	if j.State != job.Running {
		u.cancel()
	}
	if j.State.Terminal() {
		u.r.noteJob(j)
	}
	u.term.Store(term)
	return nil
}

// ready returns nil when this host may dispatch an item now. It waits while the
// host lease is not confirmed. After a gap in the lease it claims the chunk
// again, since another host may have had it meanwhile.
func (u *run) ready(ctx context.Context) error {
	u.mu.lock()
	defer u.mu.unlock()
	for ctx.Err() == nil && !u.lost {
		term, held := u.r.leaseTerm.check()
		if held && term == u.term.Load() {
			return ctx.Err()
		}
		if held {
			err := u.claim(ctx, false)
			u.lost = errors.Is(err, errLost)
			if err == nil {
				continue
			}
		}
		pause(ctx, leasePoll)
	}
	if u.lost {
		return errLost
	}
	return ctx.Err()
}

// items reads the chunk's part of the file. It fails when the part cannot be
// read at all.
func (u *run) items(ctx context.Context) ([]job.Item, error) {
	for {
		part, err := u.r.repo.Part(ctx, u.job.File, u.index)
		if err == nil {
			return part.Items()
		}
		if errors.Is(err, job.ErrNotFound) || ctx.Err() != nil {
			return nil, err
		}
		pause(ctx, commitMax)
	}
}

// unreadable are the results of items whose input is lost.
func unreadable(count int) []job.ResultLine {
	lines := make([]job.ResultLine, count)
	for i := range lines {
		lines[i] = job.NewFailure("", job.CodeUnreadable, "the item's input cannot be read; send it in a new file")
	}
	return lines
}

// context ends when the job is cancelled or ctx is done.
func (u *run) context(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-u.stopped:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// runItems runs every item to its end. It fails when the host stops or has lost
// the chunk; a cancel ends it with what was done by then.
func (u *run) runItems(ctx context.Context, items []job.Item) ([]job.ResultLine, error) {
	lines := make([]job.ResultLine, len(items))
	for i, item := range items {
		lines[i] = job.CancelledLine(item.CustomID)
	}
	itemCtx, cancel := u.context(ctx)
	defer cancel()
	sure := len(items)
	if u.trial != nil {
		sure = min(u.trial.Next, len(items))
	}
	u.runTogether(itemCtx, items[:sure], lines)
	err := u.runOneByOne(itemCtx, items, lines, sure)
	if err == nil {
		err = ctx.Err()
	}
	u.mu.lock()
	defer u.mu.unlock()
	if u.lost {
		err = errLost
	}
	return lines, err
}

func (u *run) runTogether(ctx context.Context, items []job.Item, lines []job.ResultLine) {
	limit := make(chan struct{}, itemsAtOnce)
	var wg sync.WaitGroup
	for i, item := range items {
		if u.quarantined(i) {
			lines[i] = quarantinedLine(item)
			continue
		}
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			lines[i] = u.runItem(ctx, item)
		})
	}
	wg.Wait()
}

func (u *run) quarantined(i int) bool {
	return u.trial != nil && u.trial.IsQuarantined(i)
}

// runOneByOne runs the items of a chunk that several owners did not survive. It
// writes which item it runs before it does.
func (u *run) runOneByOne(ctx context.Context, items []job.Item, lines []job.ResultLine, from int) error {
	for i := from; i < len(items) && ctx.Err() == nil; i++ {
		allowed, err := u.startTrial(ctx, i)
		if err != nil {
			return err
		}
		if !allowed {
			lines[i] = quarantinedLine(items[i])
			continue
		}
		lines[i] = u.runItem(ctx, items[i])
	}
	return nil
}

func (u *run) startTrial(ctx context.Context, i int) (bool, error) {
	u.mu.lock()
	defer u.mu.unlock()
	trial, allowed := u.chunk.Trial.Start(i)
	next := u.chunk
	next.Trial = &trial
	for {
		version, err := u.r.repo.PutChunk(ctx, u.job.ID, u.index, next, u.version)
		if err == nil {
			u.chunk, u.version = next, version
			return allowed, nil
		}
		if errors.Is(err, job.ErrConflict) {
			u.lost = true
			return false, errLost
		}
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
		pause(ctx, commitMax)
	}
}

func quarantinedLine(item job.Item) job.ResultLine {
	return job.NewFailure(item.CustomID, job.CodeQuarantined, "the hosts that ran this item did not survive it; it is not run again")
}

// pause waits for a time or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
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

// commit writes the results, then the chunk on the condition that this host
// still owns it. It goes on through an outage until the chunk is settled. No
// lines stop the chunk of a cancelled job.
func (u *run) commit(ctx context.Context, lines []job.ResultLine) {
	u.mu.lock()
	defer u.mu.unlock()
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
	backoff := commitBackoff
	for written := 0; ctx.Err() == nil; {
		settled, committed := u.tryCommit(ctx, segments, next, &written)
		if settled {
			u.settled = true
			u.committed(next, committed)
			return
		}
		pause(ctx, backoff)
		backoff = min(2*backoff, commitMax)
	}
}

// tryCommit reports whether the chunk is settled, and whether by these results.
// Written counts the segments that are kept already.
func (u *run) tryCommit(ctx context.Context, segments []job.Segment, next job.Chunk, written *int) (settled, committed bool) {
	for ; *written < len(segments); *written++ {
		err := u.r.repo.CreateSegment(ctx, next.Segments[*written], segments[*written])
		if err != nil && !errors.Is(err, job.ErrConflict) {
			return false, false
		}
	}
	_, err := u.r.repo.PutChunk(ctx, u.job.ID, u.index, next, u.version)
	if err == nil {
		return true, true
	}
	if !errors.Is(err, job.ErrConflict) {
		return false, false
	}
	// An earlier try, whose end was not learned, may be what changed the chunk.
	now, _, err := u.r.repo.Chunk(ctx, u.job.ID, u.index)
	if err != nil {
		return errors.Is(err, job.ErrNotFound), false
	}
	mine := now.Done() && now.Stopped == next.Stopped && slices.Equal(now.Segments, next.Segments)
	return true, mine
}

func (u *run) committed(c job.Chunk, mine bool) {
	if !mine {
		u.logFailure("chunk_lost", errLost)
		return
	}
	items := u.r.metrics.Items
	items.WithLabelValues("completed").Add(float64(c.Counts.Completed))
	items.WithLabelValues("failed").Add(float64(c.Counts.Failed))
	items.WithLabelValues("cancelled").Add(float64(c.Counts.Cancelled))
}
