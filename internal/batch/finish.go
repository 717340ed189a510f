package batch

import (
	"context"
	"time"

	"github.com/masticscale/masticscale/internal/job"
)

// endJob ends a job once all its chunks are final, and reports whether the job
// has ended. The job is read before its chunks: once the job is seen as
// cancelling, no unclaimed chunk can be dispatched, because a host reads the
// job after claiming a chunk.
func endJob(ctx context.Context, repo job.Repository, team, id string) (job.Job, bool, error) {
	j, version, err := repo.Job(ctx, team, id)
	if err != nil || j.State.Terminal() {
		return j, err == nil, err
	}
	chunks, err := repo.Chunks(ctx, id)
	if err != nil {
		return j, false, err
	}
	counts, final := j.FinalCounts(chunks)
	if !final {
		return j, false, nil
	}
	ended := j.End(time.Now().UTC(), counts)
	if err := repo.UpdateJob(ctx, ended, version); err != nil {
		return j, false, err
	}
	// The job has ended. If archiving fails, the file sweep archives the job.
	_ = repo.ArchiveJob(ctx, ended)
	return ended, true, nil
}
