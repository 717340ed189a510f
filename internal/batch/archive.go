package batch

import (
	"context"
	"slices"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/job"
	"github.com/masticscale/masticscale/internal/objstore"
)

// Ended jobs are stored under a separate kind, so that hosts list and watch
// only running jobs. Archiving writes the ended job first and then deletes the
// running one. A job found under both kinds has ended.

// endedJobName returns a name prefixed with the team, so that a team's ended
// jobs can be listed by prefix.
func endedJobName(team, id string) string { return team + "." + id }

// Job reads the running job before the ended one, so that a job that is being
// archived is found under at least one kind.
func (r repository) Job(ctx context.Context, team, id string) (job.Job, job.Version, error) {
	running, version, err := getObject[job.Job](ctx, r.store, objstore.KindJob, id)
	if err != nil && !errors.Is(err, job.ErrNotFound) || err == nil && running.State.Terminal() {
		return running, version, err
	}
	ended, _, endedErr := getObject[job.Job](ctx, r.store, objstore.KindEndedJob, endedJobName(team, id))
	if errors.Is(endedErr, job.ErrNotFound) {
		return running, version, err
	}
	return ended, version, endedErr
}

func (r repository) Jobs(ctx context.Context) ([]job.Job, error) {
	return listObjects[job.Job](ctx, r.store, objstore.KindJob, "")
}

func (r repository) EndedJobs(ctx context.Context, team string) ([]job.Job, error) {
	jobs, err := listObjects[job.Job](ctx, r.store, objstore.KindEndedJob, endedJobName(team, jobPrefix))
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(jobs, func(j job.Job) bool { return j.Team != team }), nil
}

// UpdateJob returns ErrConflict for a job that was archived in the meantime.
func (r repository) UpdateJob(ctx context.Context, j job.Job, v job.Version) error {
	_, err := r.store.Update(ctx, objstore.KindJob, j.ID, int64(v), j)
	if errors.Is(err, objstore.ErrNotFound) {
		return errors.Wrap(job.ErrConflict, err.Error())
	}
	return translateStoreError(err)
}

// ArchiveJob implements job.Repository. A running job with the id of an ended
// job was created by a resubmission and is deleted as well.
func (r repository) ArchiveJob(ctx context.Context, j job.Job) error {
	err := r.createObject(ctx, objstore.KindEndedJob, endedJobName(j.Team, j.ID), j)
	if err != nil && !errors.Is(err, job.ErrConflict) {
		return err
	}
	o, err := r.store.Get(ctx, objstore.KindJob, j.ID)
	if errors.Is(err, objstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return translateStoreError(err)
	}
	return translateStoreError(r.store.Delete(ctx, objstore.KindJob, j.ID, o.Version))
}

// archiveEndedJobs archives ended jobs that a failed host left under the
// running kind, and returns the running jobs.
func archiveEndedJobs(ctx context.Context, repo job.Repository) ([]job.Job, error) {
	jobs, err := repo.Jobs(ctx)
	if err != nil {
		return nil, err
	}
	var running []job.Job
	for _, j := range jobs {
		latest, _, err := repo.Job(ctx, j.Team, j.ID)
		if errors.Is(err, job.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if !latest.State.Terminal() {
			running = append(running, latest)
			continue
		}
		if err := repo.ArchiveJob(ctx, latest); err != nil && !errors.Is(err, job.ErrConflict) {
			return nil, err
		}
	}
	return running, nil
}

// teamJobs returns the team's running and ended jobs. Running jobs are read
// first, so that a job archived between the two reads isn't missed.
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
