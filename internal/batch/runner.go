package batch

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/job"
	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/internal/telemetry"
	"github.com/masticscale/masticscale/internal/upstream"
)

const (
	scheduleInterval   = 500 * time.Millisecond
	maxConcurrentItems = 32 // per chunk
)

// Executor runs one item. An error means that the item has no result yet.
type Executor interface {
	Execute(ctx context.Context, t Task) (job.ResultLine, error)
}

// Task is one item to run.
type Task struct {
	Job  job.Job
	Item job.Item
	// FailedAt is the last upstream that failed a run of the item, if any.
	FailedAt upstream.ID
	// Permit is called immediately before each dispatch, which may happen long
	// after Execute was called. An error forbids the dispatch.
	Permit func() error
}

// Runner claims and runs chunks of batch jobs.
type Runner struct {
	repo      job.Repository
	store     objstore.Store
	executor  Executor
	members   membership.View
	metrics   *telemetry.Metrics
	log       logrus.FieldLogger
	leaseTerm *leaseTerm
	wake      chan struct{}

	mu   sync.Mutex
	work *worklist
}

// NewRunner returns a Runner.
func NewRunner(repo job.Repository, store objstore.Store, e Executor, members membership.View, m *telemetry.Metrics, log logrus.FieldLogger) *Runner {
	return &Runner{
		repo: repo, store: store, executor: e, members: members, metrics: m, log: log,
		leaseTerm: &leaseTerm{members: members}, work: newWorklist(), wake: make(chan struct{}, 1),
	}
}

// Run processes chunks until ctx is done, then waits for the chunks in
// progress.
func (r *Runner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { objstore.ListAndWatch(ctx, r.store, objstore.KindJob, r.reset, r.apply) })
	wg.Go(func() { r.sweepFiles(ctx) })
	places := newChunkPlaces()
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		r.schedule(ctx, places, &wg)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-r.wake:
		}
	}
	wg.Wait()
}

func (r *Runner) reset(objects []objstore.Object, _ int64) {
	listed := map[string]bool{}
	for _, o := range objects {
		listed[o.Name] = true
		r.applyObject(o)
	}
	r.mu.Lock()
	for id, e := range r.work.jobs {
		if !listed[id] {
			e.unlisted, e.stale = true, true
		}
	}
	r.mu.Unlock()
	r.notifyScheduler()
}

func (r *Runner) apply(e objstore.Event) {
	switch e.Type {
	case objstore.EventPut:
		r.applyObject(e.Object)
	case objstore.EventDelete:
		r.mu.Lock()
		r.work.removeJob(e.Object.Name)
		r.mu.Unlock()
	default:
		return
	}
	r.notifyScheduler()
}

// applyObject records a job's state and cancels its chunks in progress unless
// the job is running.
func (r *Runner) applyObject(o objstore.Object) {
	var j job.Job
	if err := o.Decode(&j); err != nil {
		r.log.WithError(err).WithField("event", "job_invalid").Error("job object cannot be decoded")
		return
	}
	r.updateJob(j)
}

// updateJob records a job's state and cancels its chunks in progress unless the job is
// running.
func (r *Runner) updateJob(j job.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.work.updateJob(j)
	if e == nil || j.State == job.Running {
		return
	}
	for _, u := range e.running {
		u.cancel()
	}
}

// confirmJob reads a job that a list of the running jobs lacked, since a list may be
// incomplete. A job that isn't stored either has ended. If it can't be read now, the next
// refresh tries again.
func (r *Runner) confirmJob(ctx context.Context, id string) {
	r.mu.Lock()
	e, known := r.work.jobs[id]
	unlisted := known && e.unlisted
	var team string
	if unlisted {
		team, e.unlisted = e.job.Team, false
	}
	r.mu.Unlock()
	if !unlisted {
		return
	}
	j, _, err := r.repo.Job(ctx, team, id)
	if err == nil {
		r.updateJob(j)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(err, job.ErrNotFound) {
		r.work.removeJob(id)
	} else {
		e.unlisted = true
	}
}

func (r *Runner) notifyScheduler() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Runner) owner() membership.Owner {
	self := r.members.Self()
	return membership.Owner{Host: self.Name, Epoch: self.Epoch}
}

// schedule refreshes outdated jobs and starts chunks in the free places.
func (r *Runner) schedule(ctx context.Context, places *chunkPlaces, wg *sync.WaitGroup) {
	if _, held := r.leaseTerm.check(); !held || r.members.Self().State != membership.Live {
		return
	}
	r.mu.Lock()
	r.work.setMembers(r.owner(), r.members.Members())
	due := r.work.jobsToRefresh(time.Now())
	r.mu.Unlock()
	for _, id := range due {
		if !r.refreshChunks(ctx, id) {
			return
		}
	}
	for ctx.Err() == nil {
		place := places.tryAcquire()
		if place == nil {
			return
		}
		u, ok := r.nextRun(ctx)
		if !ok {
			place.release()
			return
		}
		u.place = place
		wg.Go(func() {
			u.process(ctx)
			r.mu.Lock()
			r.work.removeRun(u)
			r.mu.Unlock()
			place.release()
			r.notifyScheduler()
		})
	}
}

// nextRun returns the chunk to run next.
func (r *Runner) nextRun(ctx context.Context) (*chunkRun, bool) {
	for {
		r.mu.Lock()
		t, unread, ok := r.work.nextTask()
		var u *chunkRun
		if ok && unread == "" {
			u = newRun(r, t)
			r.work.addRun(u)
		}
		r.mu.Unlock()
		if u != nil || !ok {
			return u, ok
		}
		if !r.refreshChunks(ctx, unread) {
			return nil, false
		}
	}
}

// refreshChunks reads a job's chunks, stops orphaned chunks of a cancelled
// job, and ends the job if all chunks are final. It returns false if the store
// is unavailable.
func (r *Runner) refreshChunks(ctx context.Context, id string) bool {
	r.confirmJob(ctx, id)
	chunks, err := r.repo.Chunks(ctx, id)
	if err != nil {
		return false
	}
	r.mu.Lock()
	r.work.setChunks(id, time.Now(), chunks, r.members.Lapsed)
	e, known := r.work.jobs[id]
	var j job.Job
	var available []int
	if known {
		j, available = e.job, e.available
	}
	r.mu.Unlock()
	if !known || j.State.Terminal() {
		return true
	}
	if j.State == job.Cancelling && r.stopOrphanedChunks(ctx, j, chunks, available) {
		if chunks, err = r.repo.Chunks(ctx, id); err != nil {
			return false
		}
	}
	if _, final := j.FinalCounts(chunks); !final {
		return true
	}
	ended, done, err := endJob(ctx, r.repo, j.Team, id)
	if err != nil && !errors.Is(err, job.ErrConflict) && !errors.Is(err, job.ErrNotFound) {
		r.markStale(id)
		return false
	}
	if done {
		r.reportEnd(ended)
	}
	return true
}

func (r *Runner) markStale(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, known := r.work.jobs[id]; known {
		e.stale = true
	}
}

// applyJob records a job's state.
func (r *Runner) applyJob(j job.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.work.updateJob(j)
}

func (r *Runner) reportEnd(j job.Job) {
	r.applyJob(j)
	r.log.WithFields(logrus.Fields{"event": "job_ended", "job": j.ID, "state": j.State,
		"completed": j.Counts.Completed, "failed": j.Counts.Failed, "cancelled": j.Counts.Cancelled}).Info("job ended")
}

// stopOrphanedChunks stops the claimed chunks of a cancelled job that have no
// live owner, and reports whether it wrote any. The new version acts as a
// fencing token against the previous owners.
func (r *Runner) stopOrphanedChunks(ctx context.Context, j job.Job, chunks map[int]job.StoredChunk, available []int) bool {
	wrote := false
	for _, i := range available {
		c, claimed := chunks[i]
		if !claimed {
			continue
		}
		_, err := r.repo.PutChunk(ctx, j.ID, i, c.Stop(j.Lines[i]), c.Version)
		wrote = wrote || err == nil
	}
	return wrote
}
