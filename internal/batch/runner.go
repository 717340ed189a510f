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
)

const (
	scanInterval = 500 * time.Millisecond
	chunksAtOnce = 8
	itemsAtOnce  = 32 // of one chunk
)

// Executor runs one item to its end. An error means that the item has no result
// yet.
type Executor interface {
	Execute(ctx context.Context, t Task) (job.ResultLine, error)
}

// Task is one item to be run.
type Task struct {
	Job  job.Job
	Item job.Item
	// Permit is asked immediately before each dispatch, which may be long after
	// the task was handed over. Its error forbids it.
	Permit func() error
}

// Runner takes chunks of jobs and runs them.
type Runner struct {
	repo      job.Repository
	store     objstore.Store
	executor  Executor
	members   membership.Feed
	metrics   *telemetry.Metrics
	log       logrus.FieldLogger
	leaseTerm *leaseTerm
	wake      chan struct{}

	mu   sync.Mutex
	work *worklist
}

// NewRunner returns a runner.
func NewRunner(repo job.Repository, store objstore.Store, e Executor, members membership.Feed, m *telemetry.Metrics, log logrus.FieldLogger) *Runner {
	return &Runner{
		repo: repo, store: store, executor: e, members: members, metrics: m, log: log,
		leaseTerm: &leaseTerm{feed: members}, work: newWorklist(), wake: make(chan struct{}, 1),
	}
}

// Run takes chunks until ctx is done, then waits for the ones in progress.
func (r *Runner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { objstore.Follow(ctx, r.store, objstore.KindJob, r.reset, r.apply) })
	wg.Go(func() { r.sweepFiles(ctx) })
	slots := make(chan struct{}, chunksAtOnce)
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		r.schedule(ctx, slots, &wg)
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
		r.note(o)
	}
	r.mu.Lock()
	for id := range r.work.jobs {
		if !listed[id] {
			r.work.drop(id)
		}
	}
	r.mu.Unlock()
	r.poke()
}

func (r *Runner) apply(e objstore.Event) {
	switch e.Type {
	case objstore.EventPut:
		r.note(e.Object)
	case objstore.EventDelete:
		r.mu.Lock()
		r.work.drop(e.Object.Name)
		r.mu.Unlock()
	default:
		return
	}
	r.poke()
}

// note takes over a job's state and stops the items of a cancelled one.
func (r *Runner) note(o objstore.Object) {
	var j job.Job
	if err := o.Decode(&j); err != nil {
		r.log.WithError(err).WithField("event", "job_invalid").Error("job cannot be read")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.work.note(j)
	if e == nil || j.State == job.Running {
		return
	}
	for _, u := range e.running {
		u.cancel()
	}
}

func (r *Runner) poke() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Runner) owner() membership.Owner {
	self := r.members.Self()
	return membership.Owner{Host: self.Name, Epoch: self.Epoch}
}

// schedule reads what has to be read again and fills the free slots.
func (r *Runner) schedule(ctx context.Context, slots chan struct{}, wg *sync.WaitGroup) {
	if _, held := r.leaseTerm.check(); !held || r.members.Self().State != membership.Live {
		return
	}
	r.mu.Lock()
	r.work.setMembers(r.owner(), r.members.Members())
	due := r.work.due(time.Now())
	r.mu.Unlock()
	for _, id := range due {
		if !r.read(ctx, id) {
			return
		}
	}
	for ctx.Err() == nil {
		select {
		case slots <- struct{}{}:
		default:
			return
		}
		u, ok := r.take(ctx)
		if !ok {
			<-slots
			return
		}
		wg.Go(func() {
			u.do(ctx)
			r.mu.Lock()
			r.work.end(u)
			r.mu.Unlock()
			<-slots
			r.poke()
		})
	}
}

// take picks the chunk to run next.
func (r *Runner) take(ctx context.Context) (*run, bool) {
	for {
		r.mu.Lock()
		t, unread, ok := r.work.next()
		var u *run
		if ok && unread == "" {
			u = newRun(r, t)
			r.work.start(u)
		}
		r.mu.Unlock()
		if u != nil || !ok {
			return u, ok
		}
		if !r.read(ctx, unread) {
			return nil, false
		}
	}
}

// read takes over the chunks of a job, frees those that a cancel left behind,
// and ends the job when it can end. It reports false when the platform did not
// answer.
func (r *Runner) read(ctx context.Context, id string) bool {
	chunks, err := r.repo.Chunks(ctx, id)
	if err != nil {
		return false
	}
	r.mu.Lock()
	r.work.list(id, time.Now(), chunks, r.members.Lapsed)
	e, known := r.work.jobs[id]
	var j job.Job
	var open []int
	if known {
		j, open = e.job, e.open
	}
	r.mu.Unlock()
	if !known || j.State.Terminal() {
		return true
	}
	if j.State == job.Cancelling && r.stopOpen(ctx, j, chunks, open) {
		if chunks, err = r.repo.Chunks(ctx, id); err != nil {
			return false
		}
	}
	if _, final := j.FinalCounts(chunks); !final {
		return true
	}
	ended, done, err := endJob(ctx, r.repo, j.Team, id)
	if err != nil && !errors.Is(err, job.ErrConflict) && !errors.Is(err, job.ErrNotFound) {
		r.retryLater(id)
		return false
	}
	if done {
		r.ended(ended)
	}
	return true
}

func (r *Runner) retryLater(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, known := r.work.jobs[id]; known {
		e.stale = true
	}
}

// noteJob takes over a job's state.
func (r *Runner) noteJob(j job.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.work.note(j)
}

func (r *Runner) ended(j job.Job) {
	r.noteJob(j)
	r.log.WithFields(logrus.Fields{"event": "job_ended", "job": j.ID, "state": j.State,
		"completed": j.Counts.Completed, "failed": j.Counts.Failed, "cancelled": j.Counts.Cancelled}).Info("job ended")
}

// stopOpen stops the claimed chunks of a cancelled job that nobody runs any
// more, and reports whether it wrote any. The write fences their old owners off.
func (r *Runner) stopOpen(ctx context.Context, j job.Job, chunks map[int]job.StoredChunk, open []int) bool {
	wrote := false
	for _, i := range open {
		c, claimed := chunks[i]
		if !claimed {
			continue
		}
		_, err := r.repo.PutChunk(ctx, j.ID, i, c.Stop(j.Lines[i]), c.Version)
		wrote = wrote || err == nil
	}
	return wrote
}
