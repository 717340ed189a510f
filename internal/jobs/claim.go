package jobs

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/objstore"
)

// claimMatching lists the jobs and claims those whose state matches. It returns the
// last failure of a claim; the other jobs are claimed all the same.
func (r *Runner) claimMatching(ctx context.Context, matches func(id string, rec record, s state) bool) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	states, err := r.listStates(ctx)
	if err != nil {
		return err
	}
	objects, _, err := r.store.List(ctx, KindJob, "")
	if err != nil {
		return err
	}
	var failed error
	for _, o := range objects {
		var rec record
		if err := o.Decode(&rec); err != nil {
			r.log.WithFields(logrus.Fields{"event": "job_unreadable", "job": o.Name, "error": err}).Warn("a job in the store can't be read and is left out")
			continue
		}
		s, changed := states[o.Name]
		if !changed {
			s = state{Owner: rec.AcceptedBy}
		}
		if s.Done || s.Cancelled || r.runsJob(o.Name) || !matches(o.Name, rec, s) {
			continue
		}
		if err := r.claimJob(ctx, o.Name, rec, s.Owner); err != nil {
			r.log.WithFields(logrus.Fields{"event": "job_not_claimed", "job": o.Name, "error": err}).Warn("a job could not be taken over")
			failed = err
		}
	}
	return failed
}

func (r *Runner) listStates(ctx context.Context) (map[string]state, error) {
	objects, _, err := r.store.List(ctx, KindState, "")
	if err != nil {
		return nil, err
	}
	states := map[string]state{}
	for _, o := range objects {
		var s state
		if err := o.Decode(&s); err != nil {
			r.log.WithFields(logrus.Fields{"event": "job_state_unreadable", "job": o.Name, "error": err}).Warn("a job's state can't be read and is left out")
			continue
		}
		states[o.Name] = s
	}
	return states, nil
}

func (r *Runner) runsJob(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.jobs[id]
	return known
}

// claimJob makes this host the one that runs the job, and reads its results.
func (r *Runner) claimJob(ctx context.Context, id string, rec record, from string) error {
	config := r.core.Config()
	if config == nil {
		return errors.New("there is no configuration yet")
	}
	route := config.RouteNamed(rec.Route)
	if route == nil {
		r.log.WithFields(logrus.Fields{"event": "job_route_gone", "job": id, "route": rec.Route}).Warn("the route of a job is gone; its items are given up")
	}
	if from != r.self {
		stale := false
		err := r.updateState(ctx, id, rec.AcceptedBy, func(s *state) {
			stale = s.Owner != from
			if !stale {
				s.Owner = r.self
			}
		})
		if err != nil || stale {
			return err
		}
	}
	if err := r.loadParts(ctx, id, &rec); rec.Items == nil && err != nil {
		return err
	}
	segments, err := r.fenceSegments(ctx, id)
	if err != nil {
		return err
	}
	j := r.addJob(id, rec, routeOrEmpty(route))
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range segments[min(j.segments, len(segments)):] {
		j.applySegment(s)
	}
	r.announceWaitingTokens()
	signal(r.verify) // the job may have been ended since its state was read
	r.log.WithFields(logrus.Fields{"event": "job_taken_over", "job": id, "from": from, "results": len(j.results), "items": rec.Total}).Info("a job is run by this host from now on")
	return nil
}

// fenceSegments reads the job's results, and fences off the host that ran the
// job before, so that none can follow which this host doesn't know.
func (r *Runner) fenceSegments(ctx context.Context, id string) ([]segment, error) {
	objects, _, err := r.store.List(ctx, KindResults, id+".")
	if err != nil {
		return nil, err
	}
	var segments []segment
	for _, o := range objects {
		var s segment
		if err := o.Decode(&s); err != nil {
			return nil, err
		}
		if o.Name != segmentName(id, len(segments)) {
			return nil, errors.Errorf("segment %d of the results of job %q is missing", len(segments), id)
		}
		segments = append(segments, s)
	}
	for {
		fence := segment{Writer: r.incarnation}
		_, err := r.store.Create(ctx, KindResults, segmentName(id, len(segments)), fence)
		if errors.Is(err, objstore.ErrConflict) {
			fence, err = r.readSegment(ctx, id, len(segments))
		}
		if err != nil {
			return nil, err
		}
		segments = append(segments, fence)
		if fence.Writer == r.incarnation {
			return segments, nil
		}
	}
}

// routeOrEmpty returns a route without terms where there is none, so that the
// job's items are given up.
func routeOrEmpty(route *fleet.Route) *fleet.Route {
	if route == nil {
		return &fleet.Route{}
	}
	return route
}

// AdoptLocal implements mesh.Jobs.
func (r *Runner) AdoptLocal(ids []string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		for _, id := range ids {
			if err := r.adoptJob(ctx, id); err != nil {
				r.log.WithFields(logrus.Fields{"event": "job_not_claimed", "job": id, "error": err}).Warn("a job that was handed over could not be taken over")
			}
		}
	}()
}

func (r *Runner) adoptJob(ctx context.Context, id string) error {
	if r.runsJob(id) {
		return nil
	}
	rec, err := r.loadJob(ctx, id)
	if err != nil {
		return err
	}
	s, _, err := readState(ctx, r.store.Get, id, rec.AcceptedBy)
	if err != nil || s.Done || s.Cancelled {
		return err
	}
	return r.claimJob(ctx, id, rec, s.Owner)
}
