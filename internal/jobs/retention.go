package jobs

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/objstore"
)

const (
	defaultKeep    = 10 * time.Minute // for deployments that state no time
	keepMargin     = 30 * time.Second // for clocks that differ between hosts
	collectPeriod  = time.Minute
	collectAtOnce  = 50 // jobs in one round, so that removal doesn't use up the store's rate
	collectTimeout = 30 * time.Second
	collectDuty    = "jobs whose time is over" // key that picks the one host which removes them
)

// SetTTL sets for how long a job and its results stay readable after its
// submission. It must be called before Run.
func (r *Runner) SetTTL(d time.Duration) {
	if d > 0 {
		r.keep = d
	}
}

// expired reports whether a job need not be kept any longer.
func (r *Runner) expired(submittedMS int64, now time.Time) bool {
	return now.After(time.UnixMilli(submittedMS).Add(r.keep + keepMargin))
}

// collectLoop removes jobs whose time is over, until ctx ends.
func (r *Runner) collectLoop(ctx context.Context) {
	tick := time.NewTicker(collectPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r.forget(time.Now())
		if !r.core.SeesMajority() || !r.core.IsRendezvousHost(collectDuty) {
			continue
		}
		if err := r.collect(ctx); err != nil {
			r.log.WithFields(logrus.Fields{"event": "jobs_not_removed", "error": err}).Info("jobs whose time is over could not be removed; they are looked for again")
		}
	}
}

// forget drops such jobs from memory.
func (r *Runner) forget(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, j := range r.jobs {
		if !j.open() && r.expired(j.record.Submitted, now) {
			delete(r.jobs, id)
		}
	}
	for id, m := range r.remote {
		if r.expired(m.record.Submitted, now) {
			delete(r.remote, id)
		}
	}
	r.tellJobs()
}

// collect removes such jobs from the store.
func (r *Runner) collect(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
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
		if err := o.Decode(&rec); err != nil || !s.Done && !s.Ended || !r.expired(rec.Submitted, time.Now()) {
			continue // an unreadable one was logged when jobs were claimed
		}
		if err := r.remove(ctx, o); err != nil {
			return err
		}
		if removed++; removed == collectAtOnce {
			return nil
		}
	}
	return nil
}

// remove removes a job. Its own object goes last, so that an interrupted removal
// is found again.
func (r *Runner) remove(ctx context.Context, o objstore.Object) error {
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
