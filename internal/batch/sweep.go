package batch

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/job"
)

const (
	fileSweepInterval = 10 * time.Minute
	fileSweepName     = "file-sweep"
	uploadLifetime    = 6 * time.Hour // after which an upload has broken off
	deletedGrace      = time.Hour     // for jobs that are being submitted
	filesPerSweep     = 50
)

// collectable reports whether a file's parts can be removed.
func collectable(f job.File, now time.Time, inUse map[string]bool) bool {
	switch f.State {
	case job.Uploading:
		return now.Sub(f.Created) > uploadLifetime
	case job.Deleted:
		return f.DeletedAt != nil && now.Sub(*f.DeletedAt) > deletedGrace && !inUse[f.ID]
	default:
		return false
	}
}

// sweepFiles removes broken and deleted files from time to time, on the one
// host that looks after it.
func (r *Runner) sweepFiles(ctx context.Context) {
	ticker := time.NewTicker(fileSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.mu.Lock()
		home := r.work.isHome(fileSweepName)
		r.mu.Unlock()
		if _, held := r.leaseTerm.check(); !held || !home {
			continue
		}
		removed, err := sweepOnce(ctx, r.repo, time.Now())
		if err != nil || removed > 0 {
			r.log.WithError(err).WithFields(logrus.Fields{"event": "files_swept", "removed": removed}).Info("broken and deleted files were removed")
		}
	}
}

// sweepOnce removes a bounded number of files.
func sweepOnce(ctx context.Context, repo job.Repository, now time.Time) (int, error) {
	running, err := archiveLeft(ctx, repo)
	if err != nil {
		return 0, err
	}
	inUse := map[string]bool{}
	for _, j := range running {
		inUse[j.File] = true
	}
	files, err := repo.Files(ctx)
	if err != nil {
		return 0, err
	}
	removed := 0
	for _, f := range files {
		if removed >= filesPerSweep || ctx.Err() != nil {
			break
		}
		if !collectable(f, now, inUse) {
			continue
		}
		needed, err := neededByCancelled(ctx, repo, f)
		if err != nil {
			return removed, err
		}
		if needed {
			continue
		}
		current, version, err := repo.File(ctx, f.ID)
		if err != nil || !collectable(current, now, inUse) {
			continue
		}
		if err := removeFile(ctx, repo, f.ID, version); err != nil {
			return removed, err
		}
		removed++
	}
	return removed, nil
}

// neededByCancelled reports whether a cancelled job's results name the items of
// the file.
func neededByCancelled(ctx context.Context, repo job.Repository, f job.File) (bool, error) {
	ended, err := repo.EndedJobs(ctx, f.Team)
	if err != nil {
		return false, err
	}
	needs := func(j job.Job) bool { return j.File == f.ID && j.State == job.Cancelled }
	return slices.ContainsFunc(ended, needs), nil
}
