package batch

import (
	"context"
	"slices"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/job"
	"github.com/masticscale/masticscale/internal/objstore"
)

// Ended jobs are kept in a kind of their own, so that hosts list and follow only
// the running ones. A job is written there after it has ended, and then removed
// from the running ones. In between it is in both; the ended one counts.

// endedName begins with the team, so that a team's ended jobs can be listed.
func endedName(team, id string) string { return team + "." + id }

// Job reads the running job before the ended one, so that a job which is being
// archived is found in one of them.
func (r repository) Job(ctx context.Context, team, id string) (job.Job, job.Version, error) {
	running, version, err := read[job.Job](ctx, r.store, objstore.KindJob, id)
	if err != nil && !errors.Is(err, job.ErrNotFound) || err == nil && running.State.Terminal() {
		return running, version, err
	}
	ended, _, endedErr := read[job.Job](ctx, r.store, objstore.KindEndedJob, endedName(team, id))
	if errors.Is(endedErr, job.ErrNotFound) {
		return running, version, err
	}
	return ended, version, endedErr
}

func (r repository) Jobs(ctx context.Context) ([]job.Job, error) {
	return list[job.Job](ctx, r.store, objstore.KindJob, "")
}

func (r repository) EndedJobs(ctx context.Context, team string) ([]job.Job, error) {
	jobs, err := list[job.Job](ctx, r.store, objstore.KindEndedJob, endedName(team, jobPrefix))
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(jobs, func(j job.Job) bool { return j.Team != team }), nil
}

// UpdateJob reports a job that was archived meanwhile as changed.
func (r repository) UpdateJob(ctx context.Context, j job.Job, v job.Version) error {
	_, err := r.store.Update(ctx, objstore.KindJob, j.ID, int64(v), j)
	if errors.Is(err, objstore.ErrNotFound) {
		return errors.Wrap(job.ErrConflict, err.Error())
	}
	return translate(err)
}

// ArchiveJob implements job.Repository. Whatever runs under the id of an ended
// job was created by a submission that was sent again, and is removed as well.
func (r repository) ArchiveJob(ctx context.Context, j job.Job) error {
	err := r.create(ctx, objstore.KindEndedJob, endedName(j.Team, j.ID), j)
	if err != nil && !errors.Is(err, job.ErrConflict) {
		return err
	}
	o, err := r.store.Get(ctx, objstore.KindJob, j.ID)
	if errors.Is(err, objstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return translate(err)
	}
	return translate(r.store.Delete(ctx, objstore.KindJob, j.ID, o.Version))
}

// archiveLeft archives the ended jobs that a host left among the running ones,
// and returns the jobs that run.
func archiveLeft(ctx context.Context, repo job.Repository) ([]job.Job, error) {
	jobs, err := repo.Jobs(ctx)
	if err != nil {
		return nil, err
	}
	var running []job.Job
	for _, j := range jobs {
		current, _, err := repo.Job(ctx, j.Team, j.ID)
		if errors.Is(err, job.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if !current.State.Terminal() {
			running = append(running, current)
			continue
		}
		if err := repo.ArchiveJob(ctx, current); err != nil && !errors.Is(err, job.ErrConflict) {
			return nil, err
		}
	}
	return running, nil
}

// teamJobs returns the team's jobs, running and ended. The running ones are read
// first, so that none is missed while it is archived.
func teamJobs(ctx context.Context, repo job.Repository, team string) ([]job.Job, error) {
	running, err := repo.Jobs(ctx)
	if err != nil {
		return nil, err
	}
	jobs, err := repo.EndedJobs(ctx, team)
	if err != nil {
		return nil, err
	}
	ended := map[string]bool{}
	for _, j := range jobs {
		ended[j.ID] = true
	}
	for _, j := range running {
		if j.Team == team && !ended[j.ID] {
			jobs = append(jobs, j)
		}
	}
	return jobs, nil
}
