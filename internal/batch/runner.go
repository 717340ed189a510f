package batch

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/job"
	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/platform"
	"github.com/masticscale/masticscale/internal/telemetry"
)

const (
	scanInterval    = 500 * time.Millisecond
	chunksAtOnce    = 4
	itemsAtOnce     = 32 // of one chunk
	commitBackoff   = 250 * time.Millisecond
	maxItemAttempts = 5
)

// Executor runs one item to its end. An error means that the item must be run
// again later.
type Executor interface {
	Execute(ctx context.Context, j job.Job, item job.Item) (job.ResultLine, error)
}

// Runner takes chunks of jobs and runs them.
type Runner struct {
	repo     job.Repository
	store    platform.Store
	executor Executor
	members  membership.Feed
	metrics  *telemetry.Metrics
	log      logrus.FieldLogger

	mu      sync.Mutex
	jobs    map[string]job.Job
	cancels map[string]context.CancelFunc // by job, for items that run
	active  map[string]bool               // chunk names this host runs
	wake    chan struct{}
}

// NewRunner returns a runner.
func NewRunner(repo job.Repository, store platform.Store, e Executor, members membership.Feed, m *telemetry.Metrics, log logrus.FieldLogger) *Runner {
	return &Runner{
		repo: repo, store: store, executor: e, members: members, metrics: m, log: log,
		jobs: map[string]job.Job{}, cancels: map[string]context.CancelFunc{}, active: map[string]bool{},
		wake: make(chan struct{}, 1),
	}
}

// Run takes chunks until ctx is done, then waits for the ones in progress.
func (r *Runner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { platform.Follow(ctx, r.store, platform.KindJob, r.reset, r.apply) })
	slots := make(chan struct{}, chunksAtOnce)
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		r.scan(ctx, slots, &wg)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-r.wake:
		}
	}
	wg.Wait()
}

func (r *Runner) reset(objects []platform.Object, _ int64) {
	for _, o := range objects {
		r.note(o)
	}
}

func (r *Runner) apply(e platform.Event) {
	if e.Type == platform.EventPut {
		r.note(e.Object)
	}
}

// note takes over a job's state and stops the items of a cancelled one.
func (r *Runner) note(o platform.Object) {
	var j job.Job
	if err := o.Decode(&j); err != nil {
		r.log.WithError(err).WithField("event", "job_invalid").Error("job cannot be read")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.State.Terminal() {
		delete(r.jobs, j.ID)
	} else {
		r.jobs[j.ID] = j
	}
	if j.State != job.Running {
		if cancel := r.cancels[j.ID]; cancel != nil {
			cancel()
		}
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// unfinished returns the jobs to work on, earliest deadline first.
func (r *Runner) unfinished() []job.Job {
	r.mu.Lock()
	defer r.mu.Unlock()
	var jobs []job.Job
	for _, j := range r.jobs {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].Deadline.Before(jobs[b].Deadline) })
	return jobs
}

func (r *Runner) scan(ctx context.Context, slots chan struct{}, wg *sync.WaitGroup) {
	if !r.members.Owns() || r.members.Self().State != membership.Live {
		return
	}
	for _, j := range r.unfinished() {
		chunks, err := r.repo.Chunks(ctx, j.ID)
		if err != nil {
			return
		}
		if r.finish(ctx, j, chunks) {
			continue
		}
		if !r.takeChunks(ctx, j, chunks, slots, wg) {
			return
		}
	}
}

// takeChunks starts the free chunks of a job while slots last.
func (r *Runner) takeChunks(ctx context.Context, j job.Job, chunks map[int]job.Chunk, slots chan struct{}, wg *sync.WaitGroup) bool {
	for i := range j.Lines {
		if c, ok := chunks[i]; ok && (c.Done() || c.Owner != r.owner() && !r.members.Lapsed(c.Owner)) {
			continue
		}
		if r.running(j.ID, i) {
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			return false
		}
		r.setRunning(j.ID, i, true)
		wg.Go(func() {
			defer func() {
				r.setRunning(j.ID, i, false)
				<-slots
				r.poke()
			}()
			r.runChunk(ctx, j, i)
		})
	}
	return true
}

func (r *Runner) poke() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Runner) running(id string, index int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active[indexed(id, index)]
}

func (r *Runner) setRunning(id string, index int, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on {
		r.active[indexed(id, index)] = true
		return
	}
	delete(r.active, indexed(id, index))
}

// runChunk claims a chunk, runs its items and commits their results.
func (r *Runner) runChunk(ctx context.Context, j job.Job, index int) {
	chunk, version, err := r.claim(ctx, j.ID, index)
	if err != nil || chunk.Done() {
		return
	}
	part, err := r.repo.Part(ctx, j.File, index)
	if err != nil {
		return
	}
	items, err := part.Items()
	if err != nil {
		r.log.WithError(err).WithFields(logrus.Fields{"event": "chunk_invalid", "job": j.ID}).Error("chunk cannot be read")
		return
	}
	lines, ok := r.runItems(ctx, j, items)
	if !ok {
		return
	}
	r.commit(ctx, j, index, chunk, version, lines)
}

func (r *Runner) claim(ctx context.Context, id string, index int) (job.Chunk, job.Version, error) {
	chunk, version, err := r.repo.Chunk(ctx, id, index)
	if err != nil && !errors.Is(err, job.ErrNotFound) {
		return chunk, 0, err
	}
	if chunk.Done() {
		return chunk, version, nil
	}
	if version != 0 && !r.members.Lapsed(chunk.Owner) && chunk.Owner != r.owner() {
		return chunk, 0, job.ErrConflict
	}
	chunk.Owner = r.owner()
	chunk.Claims++
	version, err = r.repo.PutChunk(ctx, id, index, chunk, version)
	return chunk, version, err
}

func (r *Runner) owner() membership.Owner {
	self := r.members.Self()
	return membership.Owner{Host: self.Name, Epoch: self.Epoch}
}

// runItems runs every item to its end. It reports false when the host stops.
func (r *Runner) runItems(ctx context.Context, j job.Job, items []job.Item) ([]job.ResultLine, bool) {
	itemCtx := r.jobContext(ctx, j.ID)
	lines := make([]job.ResultLine, len(items))
	limit := make(chan struct{}, itemsAtOnce)
	var wg sync.WaitGroup
	for i, item := range items {
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			lines[i] = r.runItem(itemCtx, j, item)
		})
	}
	wg.Wait()
	return lines, ctx.Err() == nil
}

// jobContext ends when the job is cancelled or the host stops.
func (r *Runner) jobContext(ctx context.Context, id string) context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	jobCtx, cancel := context.WithCancel(ctx)
	if j, known := r.jobs[id]; !known || j.State != job.Running {
		cancel()
	}
	earlier := r.cancels[id]
	r.cancels[id] = func() {
		cancel()
		if earlier != nil {
			earlier()
		}
	}
	return jobCtx
}

func (r *Runner) runItem(ctx context.Context, j job.Job, item job.Item) job.ResultLine {
	for attempt := 1; ; attempt++ {
		if ctx.Err() != nil {
			return cancelledLine(item)
		}
		line, err := r.executor.Execute(ctx, j, item)
		if err == nil {
			return line
		}
		if errors.Is(err, dispatch.ErrYielded) {
			attempt--
		}
		if attempt >= maxItemAttempts {
			return failedLine(item, err)
		}
		pause(ctx, commitBackoff*time.Duration(attempt))
	}
}

const codeCancelled = "batch_cancelled"

func cancelledLine(item job.Item) job.ResultLine {
	return job.ResultLine{ID: "item_" + compactUUID(), CustomID: item.CustomID,
		Error: &job.ResultError{Code: codeCancelled, Message: "the job was cancelled before this item ran"}}
}

func failedLine(item job.Item, err error) job.ResultLine {
	return job.ResultLine{ID: "item_" + compactUUID(), CustomID: item.CustomID,
		Error: &job.ResultError{Code: "item_failed", Message: err.Error()}}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// commit writes the results, then the chunk on the condition that this host
// still owns it. It goes on through an outage until the chunk is settled.
func (r *Runner) commit(ctx context.Context, j job.Job, index int, chunk job.Chunk, version job.Version, lines []job.ResultLine) {
	segment, err := job.NewSegment(lines)
	if err != nil {
		r.log.WithError(err).WithField("event", "segment_invalid").Error("results cannot be packed")
		return
	}
	name := segmentName(j.ID, index)
	chunk.Segment = name
	chunk.Counts = countLines(lines)
	for ctx.Err() == nil {
		err = r.repo.CreateSegment(ctx, name, segment)
		if err == nil || errors.Is(err, job.ErrConflict) {
			_, err = r.repo.PutChunk(ctx, j.ID, index, chunk, version)
		}
		if err == nil || errors.Is(err, job.ErrConflict) {
			break
		}
		pause(ctx, commitBackoff)
	}
	if err == nil {
		r.metrics.Items.WithLabelValues("completed").Add(float64(chunk.Counts.Completed))
		r.metrics.Items.WithLabelValues("failed").Add(float64(chunk.Counts.Failed))
	}
}

func countLines(lines []job.ResultLine) job.Counts {
	counts := job.Counts{Total: len(lines)}
	for _, line := range lines {
		switch {
		case line.Error != nil && line.Error.Code == codeCancelled:
			counts.Cancelled++
		case line.Failed():
			counts.Failed++
		default:
			counts.Completed++
		}
	}
	return counts
}

// finish ends a job whose chunks are all committed, and reports whether it is.
func (r *Runner) finish(ctx context.Context, j job.Job, chunks map[int]job.Chunk) bool {
	for i := range j.Lines {
		if c, ok := chunks[i]; !ok || !c.Done() {
			return false
		}
	}
	current, version, err := r.repo.Job(ctx, j.ID)
	if err != nil || current.State.Terminal() {
		return err == nil
	}
	ended := current.End(time.Now().UTC(), sum(chunks))
	if err := r.repo.UpdateJob(ctx, ended, version); err == nil {
		r.log.WithFields(logrus.Fields{"event": "job_ended", "job": j.ID, "state": ended.State,
			"completed": ended.Counts.Completed, "failed": ended.Counts.Failed}).Info("job ended")
	}
	return true
}
