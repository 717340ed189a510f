// Package batch accepts, runs and reports batch jobs.
//
// Contract: a job is acknowledged after its object is written, which is the
// commit point. Items run at least once and complete exactly once: the results
// of a chunk are committed by one conditional write, and the first commit wins.
// Once a job is reported as cancelled, no item of it is dispatched.
package batch

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/job"
)

const (
	defaultWindow       = 24 * time.Hour
	retryAfter          = 5 * time.Second
	maxUpdateAttempts   = 8
	jobPrefix           = "batch_"
	cancelTimeout       = 5 * time.Second
	cancelPollBaseDelay = 50 * time.Millisecond
	cancelPollMaxDelay  = 500 * time.Millisecond
	maxMetadata         = 16
	maxMetadataKey      = 64
	maxMetadataVal      = 512
)

// Service implements the operations on batch files and jobs.
type Service struct {
	repo      job.Repository
	partLines int // maximum lines per file part
}

// NewService returns a Service.
func NewService(repo job.Repository) *Service {
	return &Service{repo: repo, partLines: job.MaxPartLines}
}

// translateRepositoryError converts a repository error to an API error.
// ErrNotFound and ErrConflict are returned unchanged.
func translateRepositoryError(err error) error {
	switch {
	case errors.Is(err, job.ErrNotFound) || errors.Is(err, job.ErrConflict):
		return err
	case errors.Is(err, job.ErrAmbiguous):
		return apierr.New(apierr.Unknown, "the platform's store did not say whether the request took effect",
			"send the request again with the same Idempotency-Key").MayHaveRun().WithCause(err).WithRetryAfter(retryAfter)
	}
	return apierr.New(apierr.Unavailable, "the platform's store cannot be reached, so nothing was accepted or read",
		"send the request again after the time in Retry-After").WithCause(err).WithRetryAfter(retryAfter)
}

func notFound(what, id string) error {
	return apierr.Newf(apierr.NotFound, "check the id", "%s %q does not exist", what, id)
}

// Submission describes a job to create.
type Submission struct {
	Team           string
	File           string
	Endpoint       string
	Window         time.Duration
	Metadata       map[string]string
	IdempotencyKey string
}

var endpoints = []string{"/v1/chat/completions", "/v1/completions"}

func (s Submission) validate() error {
	if !slices.Contains(endpoints, s.Endpoint) {
		return apierr.Newf(apierr.Invalid, "use one of "+strings.Join(endpoints, ", "), "endpoint %q is not served in batches", s.Endpoint)
	}
	if len(s.Metadata) > maxMetadata {
		return apierr.Newf(apierr.Invalid, "leave some out", "metadata has more than %d entries", maxMetadata)
	}
	for k, v := range s.Metadata {
		if len(k) > maxMetadataKey || len(v) > maxMetadataVal {
			return apierr.Newf(apierr.Invalid, "shorten it", "metadata %.64q exceeds %d bytes of key or %d of value", k, maxMetadataKey, maxMetadataVal)
		}
	}
	return nil
}

// Submit creates a job. A request with the same team and idempotency key
// returns the same job.
func (s *Service) Submit(ctx context.Context, sub Submission) (job.Job, error) {
	if err := sub.validate(); err != nil {
		return job.Job{}, err
	}
	f, err := s.File(ctx, sub.Team, sub.File)
	if err != nil {
		return job.Job{}, err
	}
	now := time.Now().UTC()
	window := cmp.Or(sub.Window, defaultWindow)
	j := job.Job{
		ID: jobID(sub), Team: sub.Team, File: f.ID, Digest: f.Digest, Window: window, Endpoint: sub.Endpoint,
		Lines: f.Lines, Metadata: sub.Metadata, State: job.Running, Created: now, Deadline: now.Add(window),
		Counts: job.Counts{Total: f.TotalLines()},
	}
	if sub.IdempotencyKey != "" {
		existing, rerr := s.existingJob(ctx, j)
		if !errors.Is(rerr, job.ErrNotFound) {
			return existing, rerr
		}
	}
	err = s.repo.CreateJob(ctx, j)
	if errors.Is(err, job.ErrConflict) {
		return s.existingJob(ctx, j)
	}
	if errors.Is(err, job.ErrAmbiguous) {
		if existing, rerr := s.existingJob(ctx, j); rerr == nil {
			return existing, nil
		}
	}
	if err != nil {
		return job.Job{}, translateRepositoryError(err)
	}
	if sub.IdempotencyKey != "" {
		return s.resolveArchivedJob(ctx, j)
	}
	return j, nil
}

// resolveArchivedJob returns the created job, unless a job with the same id
// ended and was archived just before. Hosts don't run the created job in that
// case, and it is deleted.
func (s *Service) resolveArchivedJob(ctx context.Context, created job.Job) (job.Job, error) {
	existing, _, err := s.repo.Job(ctx, created.Team, created.ID)
	if err != nil {
		return job.Job{}, translateRepositoryError(errors.Wrap(job.ErrAmbiguous, err.Error()))
	}
	if !existing.State.Terminal() {
		return created, nil
	}
	// If archiving fails, the file sweep deletes the created job.
	_ = s.repo.ArchiveJob(ctx, existing)
	return s.sameJob(ctx, existing, created)
}

// jobID derives the id from the team and the idempotency key, so that a
// resubmission finds the existing job.
func jobID(sub Submission) string {
	if sub.IdempotencyKey == "" {
		return jobPrefix + job.CompactUUID()
	}
	name := sub.Team + "\x00" + sub.IdempotencyKey
	return jobPrefix + strings.ReplaceAll(uuid.NewSHA1(uuid.NameSpaceOID, []byte(name)).String(), "-", "")
}

func (s *Service) existingJob(ctx context.Context, wanted job.Job) (job.Job, error) {
	existing, _, err := s.repo.Job(ctx, wanted.Team, wanted.ID)
	if err != nil {
		return job.Job{}, translateRepositoryError(err)
	}
	return s.sameJob(ctx, existing, wanted)
}

// sameJob returns the existing job with its progress, or a conflict if the
// wanted job differs from it.
func (s *Service) sameJob(ctx context.Context, existing, wanted job.Job) (job.Job, error) {
	if !existing.SameAs(wanted) {
		return job.Job{}, apierr.New(apierr.Conflict, "the idempotency key was used for another job", "send a new key with a new job")
	}
	return s.withProgress(ctx, existing)
}

// Job returns a job of the team with its progress.
func (s *Service) Job(ctx context.Context, team, id string) (job.Job, error) {
	j, _, err := s.teamJob(ctx, team, id)
	if err != nil {
		return job.Job{}, err
	}
	return s.withProgress(ctx, j)
}

func (s *Service) teamJob(ctx context.Context, team, id string) (job.Job, job.Version, error) {
	j, v, err := s.repo.Job(ctx, team, id)
	if errors.Is(err, job.ErrNotFound) || err == nil && j.Team != team {
		return job.Job{}, 0, notFound("batch", id)
	}
	if err != nil {
		return job.Job{}, 0, translateRepositoryError(err)
	}
	return j, v, nil
}

// withProgress sets the counts of an unfinished job to the sum of its
// committed chunks.
func (s *Service) withProgress(ctx context.Context, j job.Job) (job.Job, error) {
	if j.State.Terminal() {
		return j, nil
	}
	chunks, err := s.repo.Chunks(ctx, j.ID)
	if err != nil {
		return job.Job{}, translateRepositoryError(err)
	}
	counts := job.Counts{}
	for _, c := range chunks {
		if c.Done() {
			counts = counts.Add(c.Counts)
		}
	}
	counts.Total = j.Counts.Total
	j.Counts = counts
	return j, nil
}

// Jobs returns the team's jobs, newest first.
func (s *Service) Jobs(ctx context.Context, team string) ([]job.Job, error) {
	own, err := teamJobs(ctx, s.repo, team)
	if err != nil {
		return nil, translateRepositoryError(err)
	}
	slices.SortFunc(own, func(a, b job.Job) int {
		return cmp.Or(b.Created.Compare(a.Created), strings.Compare(a.ID, b.ID))
	})
	return own, nil
}

// JobPage returns a page of the team's jobs, newest first, and whether more
// follow. The parameter after is the id of the previous page's last job.
func (s *Service) JobPage(ctx context.Context, team, after string, limit int) ([]job.Job, bool, error) {
	own, err := s.Jobs(ctx, team)
	if err != nil {
		return nil, false, err
	}
	return pageAfter(own, after, limit, "batch", func(j job.Job) string { return j.ID })
}

// pageAfter returns up to limit elements after the one with the given id, and
// whether more follow.
func pageAfter[T any](list []T, after string, limit int, what string, id func(T) string) ([]T, bool, error) {
	if after != "" {
		i := slices.IndexFunc(list, func(v T) bool { return id(v) == after })
		if i < 0 {
			return nil, false, notFound(what, after)
		}
		list = list[i+1:]
	}
	if len(list) > limit {
		return list[:limit], true, nil
	}
	return list, false, nil
}

// Cancel requests cancellation of a job and waits up to cancelTimeout for the
// owners of its chunks to confirm it. Once the job is reported as cancelled,
// none of its items is dispatched; items of a job reported as cancelling may
// still be.
func (s *Service) Cancel(ctx context.Context, team, id string) (job.Job, error) {
	j, err := s.requestCancel(ctx, team, id)
	if err != nil {
		return job.Job{}, err
	}
	wait := cancelPollBaseDelay
	for deadline := time.Now().Add(cancelTimeout); ; {
		ended, done, err := endJob(ctx, s.repo, team, id)
		if done {
			return ended, nil
		}
		if err != nil && !errors.Is(err, job.ErrConflict) || time.Now().After(deadline) || ctx.Err() != nil {
			break
		}
		sleepContext(ctx, wait)
		wait = min(2*wait, cancelPollMaxDelay)
	}
	if progress, err := s.withProgress(ctx, j); err == nil {
		return progress, nil
	}
	return j, nil
}

// requestCancel sets the job's state to cancelling. After an ambiguous write
// it reads the job again.
func (s *Service) requestCancel(ctx context.Context, team, id string) (job.Job, error) {
	var last error
	for range maxUpdateAttempts {
		j, v, err := s.teamJob(ctx, team, id)
		if err != nil {
			return job.Job{}, err
		}
		next, err := j.Cancel(time.Now().UTC())
		if err != nil || next.State == j.State {
			return next, err
		}
		last = s.repo.UpdateJob(ctx, next, v)
		if last == nil {
			return next, nil
		}
		if !errors.Is(last, job.ErrConflict) && !errors.Is(last, job.ErrAmbiguous) {
			break
		}
	}
	if errors.Is(last, job.ErrConflict) {
		return job.Job{}, apierr.New(apierr.Conflict, "the job keeps changing", "cancel it again")
	}
	return job.Job{}, translateRepositoryError(last)
}

func segmentName(id string, index int) string {
	return indexedName(id, index) + "." + job.CompactUUID()
}
