package jobs

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/objstore"
)

const (
	defaultTTL           = 10 * time.Minute // for deployments without a configured value
	clockSkewMargin      = 30 * time.Second // allows for clock differences between hosts
	cleanupPeriod        = time.Minute
	maxDeletionsPerRound = 50 // jobs per round, so that cleanup doesn't exhaust the store's request rate
	cleanupTimeout       = 30 * time.Second
	cleanupKey           = "jobs whose time is over" // rendezvous key of the host that deletes expired jobs
)

// SetTTL sets how long after its submission a job stays readable. It must be
// called before Run.
func (r *Runner) SetTTL(d time.Duration) {
	if d > 0 {
		r.ttl = d
	}
}

// isExpired reports whether the TTL of a job has passed on every host.
func (r *Runner) isExpired(submittedMS int64, now time.Time) bool {
	return now.After(r.expiry(submittedMS))
}

// expiry returns the time at which the TTL of a job has passed on every host.
func (r *Runner) expiry(submittedMS int64) time.Time {
	return time.UnixMilli(submittedMS).Add(r.ttl + clockSkewMargin)
}

// cleanupLoop removes expired jobs from memory and the store until ctx is done.
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
			r.log.WithFields(logrus.Fields{"event": "jobs_not_removed", "error": err}).Info("cleanup of expired jobs failed; retrying in the next round")
		}
	}
}

// evictExpired removes expired jobs from memory.
func (r *Runner) evictExpired(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, j := range r.jobs {
		if !j.hasWork() && r.isExpired(j.record.SubmittedMS, now) {
			delete(r.jobs, id)
		}
	}
	for _, m := range r.remote.byID {
		if r.isExpired(m.record.SubmittedMS, now) {
			r.remote.remove(m.id)
		}
	}
	r.announceJobs()
}

// deleteExpired deletes expired jobs that are done or cancelled from the store.
func (r *Runner) deleteExpired(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
	defer cancel()
	states, challenges, err := r.listStates(ctx)
	if err != nil {
		return err
	}
	if err := r.deleteChallenges(ctx, challenges); err != nil {
		return err
	}
	objects, _, err := r.store.List(ctx, KindJob, "")
	if err != nil {
		return err
	}
	deleted := 0
	for _, o := range objects {
		var rec record
		s := states[o.Name]
		if err := o.Decode(&rec); err != nil || !s.Done && !s.Cancelled || !r.isExpired(rec.SubmittedMS, time.Now()) {
			continue // undecodable jobs are logged when jobs are claimed
		}
		if err := r.deleteJob(ctx, o); err != nil {
			return err
		}
		if deleted++; deleted == maxDeletionsPerRound {
			return nil
		}
	}
	return nil
}

// deleteChallenges deletes challenges that nobody waits for any more.
func (r *Runner) deleteChallenges(ctx context.Context, challenges []storedChallenge) error {
	for _, c := range challenges {
		if !r.isExpired(c.StoredMS, time.Now()) {
			continue
		}
		if err := r.store.Delete(ctx, KindState, c.name, c.version); err != nil {
			return err
		}
	}
	return nil
}

// deleteJob deletes a job's objects. The job object is deleted last, so that the
// next round finds an interrupted deletion.
func (r *Runner) deleteJob(ctx context.Context, o objstore.Object) error {
	for _, kind := range []objstore.Kind{KindResults, KindOutput, KindPart} {
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
	r.log.WithFields(logrus.Fields{"event": "job_removed", "job": o.Name}).Info("expired job deleted from the store")
	return nil
}
