package jobs

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/objstore"
)

const (
	batchDelay          = 40 * time.Millisecond // gathers results for one write
	writeTimeout        = 4 * time.Second       // of one segment; a slow store responds within a few hundred milliseconds
	writeRetryMin       = 200 * time.Millisecond
	writeRetryMax       = 2 * time.Second
	maxSegmentBytes     = 600 << 10 // of outputs, which grow by a third when encoded
	maxConcurrentWrites = 8         // jobs whose results are written concurrently
	numberedNameFormat  = "%s.%06d"
)

// numberedName returns the name of part or segment n of a job.
func numberedName(job string, n int) string { return fmt.Sprintf(numberedNameFormat, job, n) }

// writeLoop writes pending results until ctx is done.
func (r *Runner) writeLoop(ctx context.Context) {
	writers := make(chan struct{}, maxConcurrentWrites)
	for {
		select {
		case <-ctx.Done():
			r.drainWrites(writers)
			return
		case <-r.write:
		}
		time.Sleep(batchDelay)
		for _, j := range r.claimPending() {
			writers <- struct{}{}
			go func() {
				defer func() { <-writers }()
				r.writePending(ctx, j)
			}()
		}
	}
}

// drainWrites waits for the writes in progress.
func (r *Runner) drainWrites(writers chan struct{}) {
	for range maxConcurrentWrites {
		writers <- struct{}{}
	}
}

// claimPending returns the jobs with pending results and no writer whose write is due, and
// marks them as being written.
func (r *Runner) claimPending() []*job {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []*job
	now := time.Now()
	for _, j := range r.jobs {
		if len(j.pending) > 0 && !j.writing && !j.fenced && !now.Before(j.nextWrite) {
			j.writing = true
			found = append(found, j)
		}
	}
	return found
}

// writePending writes the job's pending results until a write fails. The writer is then
// free for other jobs until the retry.
func (r *Runner) writePending(ctx context.Context, j *job) {
	for {
		s, n, ok := r.nextSegment(j)
		if !ok {
			return
		}
		if err := r.writeSegment(ctx, j, s, n); err != nil {
			r.log.WithFields(logrus.Fields{"event": "results_not_written", "job": j.id, "segment": n, "results": len(s.Results), "error": err}).
				Warn("write of results failed; they stay in memory until a retry succeeds")
			r.postponeWrite(j)
			return
		}
	}
}

// postponeWrite releases the job's writer and schedules a retry with exponential backoff.
func (r *Runner) postponeWrite(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.writing = false
	j.writeBackoff = min(max(2*j.writeBackoff, writeRetryMin), writeRetryMax)
	j.nextWrite = time.Now().Add(j.writeBackoff)
	time.AfterFunc(j.writeBackoff, func() { signal(r.write) })
}

// nextSegment returns the next segment to write and its number. It releases the
// job's writer if there is none.
func (r *Runner) nextSegment(j *job) (segment, int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.fenced {
		j.writing = false // until the ownership is verified
		return segment{}, 0, false
	}
	s := segment{Writer: r.incarnation}
	size := 0
	for _, x := range j.pending {
		size += x.sizeInSegment()
		if len(s.Results) > 0 && size > maxSegmentBytes {
			break
		}
		s.Results = append(s.Results, x)
	}
	if len(s.Results) == 0 {
		j.writing = false
		return s, 0, false
	}
	return s, j.segments, true
}

// writeSegment creates the segment with number n. If another host or an earlier
// attempt of this host has created that number, it applies the stored segment.
func (r *Runner) writeSegment(ctx context.Context, j *job, s segment, n int) error {
	stored, err := r.storeLargeOutputs(ctx, j.id, s)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err = r.store.Create(ctx, KindResults, numberedName(j.id, n), stored)
	if errors.Is(err, objstore.ErrConflict) {
		s, err = r.readSegment(ctx, j.id, n)
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Writer != r.incarnation {
		j.fenced = true
		j.markUnverified()
		r.announceJobs()
		signal(r.verify)
	}
	j.writeBackoff = 0
	if j.segments == n {
		j.applySegment(s)
		r.announceWaitingTokens()
	}
	if j.isDone() {
		r.doneMarks.add(j.id, j)
	}
	return nil
}

// markDone stores that the job has all its results. It isn't retried: without it,
// a host that looks for work claims the job once more and marks it then.
func (r *Runner) markDone(ctx context.Context, j *job) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := r.updateState(ctx, j.id, j.record.AcceptedBy, func(s *state) { s.Done = true })
	if err != nil {
		r.log.WithFields(logrus.Fields{"event": "job_done_not_noted", "job": j.id, "error": err}).Info("job could not be marked as done in the store")
		return
	}
	r.log.WithFields(logrus.Fields{"event": "job_done", "job": j.id, "items": j.record.Total, "due_in_ms": time.Until(j.due).Milliseconds()}).Info("job done")
}

func (r *Runner) readSegment(ctx context.Context, job string, n int) (segment, error) {
	o, err := r.getImmutable(ctx, KindResults, numberedName(job, n))
	if err != nil {
		return segment{}, err
	}
	return r.decodeSegment(ctx, job, o)
}

// maxStateAttempts bounds the retries of a state update after conflicts.
const maxStateAttempts = 4

// updateState changes the state of a job by optimistic concurrency; owner is the
// host that accepted the job. The first attempt starts from a stale read, which
// usually finds correctly that no state exists yet. A stale read is safe: a write
// on an old version fails, and only a current read can show that nothing needs to
// change.
func (r *Runner) updateState(ctx context.Context, id, owner string, change func(*state)) error {
	for attempt := range maxStateAttempts {
		current := attempt > 0
		get := r.store.GetStale
		if current {
			get = r.store.Get
		}
		s, version, err := readState(ctx, get, id, owner)
		if err != nil {
			return err
		}
		before := s
		change(&s)
		if s == before && current {
			return nil
		}
		if s == before {
			continue
		}
		if version == 0 {
			_, err = r.store.Create(ctx, KindState, id, s)
		} else {
			_, err = r.store.Update(ctx, KindState, id, version, s)
		}
		if !errors.Is(err, objstore.ErrConflict) {
			return err
		}
	}
	return errors.Wrapf(objstore.ErrConflict, "change state of job %q", id)
}

// getFunc is the signature of Store.Get and Store.GetStale.
type getFunc func(ctx context.Context, kind objstore.Kind, name string) (objstore.Object, error)

// readState returns the job's state and its version. The version is zero if the
// state hasn't changed since the job was accepted.
func readState(ctx context.Context, get getFunc, id, owner string) (state, int64, error) {
	o, err := get(ctx, KindState, id)
	if errors.Is(err, objstore.ErrNotFound) {
		return state{Owner: owner}, 0, nil
	}
	if err != nil {
		return state{}, 0, err
	}
	var s state
	return s, o.Version, o.Decode(&s)
}
