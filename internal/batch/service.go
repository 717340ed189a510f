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
	defaultWindow  = 24 * time.Hour
	retryAfter     = 5 * time.Second
	settleTries    = 8
	jobPrefix      = "batch_"
	cancelWait     = 5 * time.Second
	cancelPoll     = 50 * time.Millisecond
	cancelPollMax  = 500 * time.Millisecond
	maxMetadata    = 16
	maxMetadataKey = 64
	maxMetadataVal = 512
)

// Service is the use cases of batch jobs.
type Service struct {
	repo      job.Repository
	partLines int // lines in one part of a file
}

// NewService returns a service.
func NewService(repo job.Repository) *Service {
	return &Service{repo: repo, partLines: job.MaxPartLines}
}

// unavailable turns a failure of the repository into the caller's error.
func unavailable(err error) error {
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

// Submission is what a caller asks for.
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

// Submit accepts a job. The same team and idempotency key give the same job.
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
		kept, rerr := s.resent(ctx, j)
		if !errors.Is(rerr, job.ErrNotFound) {
			return kept, rerr
		}
	}
	err = s.repo.CreateJob(ctx, j)
	if errors.Is(err, job.ErrConflict) {
		return s.resent(ctx, j)
	}
	if errors.Is(err, job.ErrAmbiguous) {
		if kept, rerr := s.resent(ctx, j); rerr == nil {
			return kept, nil
		}
	}
	if err != nil {
		return job.Job{}, unavailable(err)
	}
	if sub.IdempotencyKey != "" {
		return s.confirm(ctx, j)
	}
	return j, nil
}

// confirm returns the job that was created, unless one under its id had ended
// and was archived just before. Hosts do not run it then, and it is removed.
func (s *Service) confirm(ctx context.Context, created job.Job) (job.Job, error) {
	first, _, err := s.repo.Job(ctx, created.Team, created.ID)
	if err != nil {
		return job.Job{}, unavailable(errors.Wrap(job.ErrAmbiguous, err.Error()))
	}
	if !first.State.Terminal() {
		return created, nil
	}
	// What stays is removed by the sweep.
	_ = s.repo.ArchiveJob(ctx, first)
	return s.same(ctx, first, created)
}

// jobID is determined by the team and the idempotency key, so that a job which
// is sent again meets the first one.
func jobID(sub Submission) string {
	if sub.IdempotencyKey == "" {
		return jobPrefix + job.CompactUUID()
	}
	name := sub.Team + "\x00" + sub.IdempotencyKey
	return jobPrefix + strings.ReplaceAll(uuid.NewSHA1(uuid.NameSpaceOID, []byte(name)).String(), "-", "")
}

func (s *Service) resent(ctx context.Context, wanted job.Job) (job.Job, error) {
	first, _, err := s.repo.Job(ctx, wanted.Team, wanted.ID)
	if err != nil {
		return job.Job{}, unavailable(err)
	}
	return s.same(ctx, first, wanted)
}

// same returns the first job where the other one asks for the same work.
func (s *Service) same(ctx context.Context, first, wanted job.Job) (job.Job, error) {
	if !first.SameAs(wanted) {
		return job.Job{}, apierr.New(apierr.Conflict, "the idempotency key was used for another job", "send a new key with a new job")
	}
	return s.withProgress(ctx, first)
}

// Job returns a job of the team with its progress.
func (s *Service) Job(ctx context.Context, team, id string) (job.Job, error) {
	j, _, err := s.jobOf(ctx, team, id)
	if err != nil {
		return job.Job{}, err
	}
	return s.withProgress(ctx, j)
}

func (s *Service) jobOf(ctx context.Context, team, id string) (job.Job, job.Version, error) {
	j, v, err := s.repo.Job(ctx, team, id)
	if errors.Is(err, job.ErrNotFound) || err == nil && j.Team != team {
		return job.Job{}, 0, notFound("batch", id)
	}
	if err != nil {
		return job.Job{}, 0, unavailable(err)
	}
	return j, v, nil
}

// withProgress adds up the committed chunks of a job that has not ended.
func (s *Service) withProgress(ctx context.Context, j job.Job) (job.Job, error) {
	if j.State.Terminal() {
		return j, nil
	}
	chunks, err := s.repo.Chunks(ctx, j.ID)
	if err != nil {
		return job.Job{}, unavailable(err)
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
		return nil, unavailable(err)
	}
	slices.SortFunc(own, func(a, b job.Job) int {
		return cmp.Or(b.Created.Compare(a.Created), strings.Compare(a.ID, b.ID))
	})
	return own, nil
}

// JobPage returns a page of the team's jobs, newest first, and whether there are
// more. After is the id of the last job of the page before.
func (s *Service) JobPage(ctx context.Context, team, after string, limit int) ([]job.Job, bool, error) {
	own, err := s.Jobs(ctx, team)
	if err != nil {
		return nil, false, err
	}
	return page(own, after, limit, "batch", func(j job.Job) string { return j.ID })
}

// page cuts a list after the named element.
func page[T any](list []T, after string, limit int, what string, id func(T) string) ([]T, bool, error) {
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

// Cancel asks a job to stop, and waits a while for the hosts that run its chunks
// to confirm that they have stopped. Once the job is reported as cancelled, no
// item of it is dispatched; one that is reported as cancelling may still be.
func (s *Service) Cancel(ctx context.Context, team, id string) (job.Job, error) {
	j, err := s.askCancel(ctx, team, id)
	if err != nil {
		return job.Job{}, err
	}
	wait := cancelPoll
	for deadline := time.Now().Add(cancelWait); ; {
		ended, done, err := endJob(ctx, s.repo, team, id)
		if done {
			return ended, nil
		}
		if err != nil && !errors.Is(err, job.ErrConflict) || time.Now().After(deadline) || ctx.Err() != nil {
			break
		}
		pause(ctx, wait)
		wait = min(2*wait, cancelPollMax)
	}
	if progress, err := s.withProgress(ctx, j); err == nil {
		return progress, nil
	}
	return j, nil
}

// askCancel writes that the job is to stop. A write whose end was not learned
// is settled by reading the job again.
func (s *Service) askCancel(ctx context.Context, team, id string) (job.Job, error) {
	var last error
	for range settleTries {
		j, v, err := s.jobOf(ctx, team, id)
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
	return job.Job{}, unavailable(last)
}

func segmentName(id string, index int) string {
	return indexed(id, index) + "." + job.CompactUUID()
}
