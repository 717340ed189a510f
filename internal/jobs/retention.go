package jobs

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/objstore"
)

const (
	defaultTTL           = 10 * time.Minute // for deployments that state no time
	clockSkewMargin      = 30 * time.Second // for clocks that differ between hosts
	cleanupPeriod        = time.Minute
	maxDeletionsPerRound = 50 // jobs in one round, so that removal doesn't use up the store's rate
	cleanupTimeout       = 30 * time.Second
	cleanupKey           = "jobs whose time is over" // key that picks the one host which removes them
)

// SetTTL sets for how long a job and its results stay readable after its
// submission. It must be called before Run.
func (r *Runner) SetTTL(d time.Duration) {
	if d > 0 {
		r.ttl = d
	}
}

// isExpired reports whether a job need not be kept any longer.
func (r *Runner) isExpired(submittedMS int64, now time.Time) bool {
	return now.After(time.UnixMilli(submittedMS).Add(r.ttl + clockSkewMargin))
}

// cleanupLoop removes jobs whose time is over, until ctx ends.
func (r *Runner) cleanupLoop(ctx context.Context) {
	tick := time.NewTicker(cleanupPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r.evictExpired(time.Now())
		if !r.core.SeesMajority() || !r.core.IsRendezvousHost(cleanupKey) {
			continue
		}
		if err := r.deleteExpired(ctx); err != nil {
			r.log.WithFields(logrus.Fields{"event": "jobs_not_removed", "error": err}).Info("jobs whose time is over could not be removed; they are looked for again")
		}
	}
}

// evictExpired drops such jobs from memory.
func (r *Runner) evictExpired(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, j := range r.jobs {
		if !j.hasWork() && r.isExpired(j.record.SubmittedMS, now) {
			delete(r.jobs, id)
		}
	}
	for id, m := range r.remote {
		if r.isExpired(m.record.SubmittedMS, now) {
			delete(r.remote, id)
		}
	}
	r.announceJobs()
}

// deleteExpired removes such jobs from the store.
func (r *Runner) deleteExpired(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
	defer cancel()
	states, err := r.listStates(ctx)
	if err != nil {
		return err
	}
	objects, _, err := r.store.List(ctx, KindJob, "")
	if err != nil {
		return err
	}
	removed := 0
	for _, o := range objects {
		var rec record
		s := states[o.Name]
		if err := o.Decode(&rec); err != nil || !s.Done && !s.Cancelled || !r.isExpired(rec.SubmittedMS, time.Now()) {
			continue // an unreadable one was logged when jobs were claimed
		}
		if err := r.deleteJob(ctx, o); err != nil {
			return err
		}
		if removed++; removed == maxDeletionsPerRound {
			return nil
		}
	}
	return nil
}

// deleteJob removes a job. Its own object goes last, so that an interrupted removal
// is found again.
func (r *Runner) deleteJob(ctx context.Context, o objstore.Object) error {
	for _, kind := range []objstore.Kind{KindResults, KindPart} {
		parts, _, err := r.store.List(ctx, kind, o.Name+".")
		if err != nil {
			return err
		}
		for _, p := range parts {
			if err := r.store.Delete(ctx, kind, p.Name, p.Version); err != nil {
				return err
			}
		}
	}
	s, err := r.store.Get(ctx, KindState, o.Name)
	if err == nil {
		err = r.store.Delete(ctx, KindState, s.Name, s.Version)
	}
	if err != nil && !errors.Is(err, objstore.ErrNotFound) {
		return err
	}
	if err := r.store.Delete(ctx, KindJob, o.Name, o.Version); err != nil {
		return err
	}
	r.log.WithFields(logrus.Fields{"event": "job_removed", "job": o.Name}).Info("a job whose time is over was removed from the store")
	return nil
}
