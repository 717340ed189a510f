package batch

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/job"
)

const (
	fileSweepInterval      = 10 * time.Minute
	fileSweepName          = "file-sweep"
	uploadTimeout          = 6 * time.Hour // after which an unfinished upload counts as interrupted
	deletedFileGracePeriod = time.Hour     // for submissions in progress
	filesPerSweep          = 50
)

// isCollectable reports whether a file can be deleted from the store.
func isCollectable(f job.File, now time.Time, inUse map[string]bool) bool {
	switch f.State {
	case job.Uploading:
		return now.Sub(f.Created) > uploadTimeout
	case job.Deleted:
		return f.DeletedAt != nil && now.Sub(*f.DeletedAt) > deletedFileGracePeriod && !inUse[f.ID]
	default:
		return false
	}
}

// sweepFiles periodically deletes interrupted uploads and deleted files, on
// the rendezvous host of the sweep only.
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
		rendezvous := r.work.isRendezvousHost(fileSweepName)
		r.mu.Unlock()
		if _, held := r.leaseTerm.check(); !held || !rendezvous {
			continue
		}
		removed, err := sweepFilesOnce(ctx, r.repo, time.Now())
		if err != nil || removed > 0 {
			r.log.WithError(err).WithFields(logrus.Fields{"event": "files_swept", "removed": removed}).Info("removed interrupted uploads and deleted files")
		}
	}
}

// sweepFilesOnce archives ended jobs that were left behind, then removes up to
// filesPerSweep files.
func sweepFilesOnce(ctx context.Context, repo job.Repository, now time.Time) (int, error) {
	running, err := archiveEndedJobs(ctx, repo)
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
		if !isCollectable(f, now, inUse) {
			continue
		}
		needed, err := isNeededByCancelledJob(ctx, repo, f)
		if err != nil {
			return removed, err
		}
		if needed {
			continue
		}
		current, version, err := repo.File(ctx, f.ID)
		if err != nil || !isCollectable(current, now, inUse) {
			continue
		}
		if err := removeFile(ctx, repo, f.ID, version); err != nil {
			return removed, err
		}
		removed++
	}
	return removed, nil
}

// isNeededByCancelledJob reports whether the file supplies the custom_ids in
// the results of a cancelled job.
func isNeededByCancelledJob(ctx context.Context, repo job.Repository, f job.File) (bool, error) {
	ended, err := repo.EndedJobs(ctx, f.Team)
	if err != nil {
		return false, err
	}
	usesFile := func(j job.Job) bool { return j.File == f.ID && j.State == job.Cancelled }
	return slices.ContainsFunc(ended, usesFile), nil
}
