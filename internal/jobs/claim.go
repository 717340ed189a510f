package jobs

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/objstore"
)

// claimMatching claims all unfinished jobs that match. A failed claim doesn't
// stop the others; the last error is returned.
func (r *Runner) claimMatching(ctx context.Context, match func(id string, rec record, s state) bool) error {
	found, err := r.listClaimable(ctx, match)
	if err != nil {
		return err
	}
	var lastErr error
	var mu sync.Mutex // guards lastErr
	forEachConcurrently(found, func(c claimable) {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		err := r.claimJob(ctx, c.id, c.record, c.owner)
		if err == nil {
			return
		}
		r.log.WithFields(logrus.Fields{"event": "job_not_claimed", "job": c.id, "error": err}).Warn("claim of a job failed")
		mu.Lock()
		defer mu.Unlock()
		lastErr = err
	})
	return lastErr
}

// claimable is a job that this host is going to claim from its owner.
type claimable struct {
	id     string
	record record
	owner  string
}

// listClaimable returns the unfinished jobs that match and that this host doesn't run. The
// list of all jobs has many pages, so its time limit is that of many calls.
func (r *Runner) listClaimable(ctx context.Context, match func(id string, rec record, s state) bool) ([]claimable, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	states, _, err := r.listStates(ctx)
	if err != nil {
		return nil, err
	}
	objects, _, err := r.store.List(ctx, KindJob, "")
	if err != nil {
		return nil, err
	}
	var found []claimable
	for _, o := range objects {
		var rec record
		if err := o.Decode(&rec); err != nil {
			r.log.WithFields(logrus.Fields{"event": "job_unreadable", "job": o.Name, "error": err}).Warn("skipping a stored job that can't be decoded")
			continue
		}
		s, changed := states[o.Name]
		if !changed {
			s = state{Owner: rec.AcceptedBy}
		}
		if s.Done || s.Cancelled || r.runsJob(o.Name) || !match(o.Name, rec, s) {
			continue
		}
		found = append(found, claimable{id: o.Name, record: rec, owner: s.Owner})
	}
	return found, nil
}

// listStates reads the states of all jobs, by id, and the challenges to hosts.
func (r *Runner) listStates(ctx context.Context) (map[string]state, []storedChallenge, error) {
	objects, _, err := r.store.List(ctx, KindState, "")
	if err != nil {
		return nil, nil, err
	}
	states := map[string]state{}
	var challenges []storedChallenge
	for _, o := range objects {
		var s struct {
			state
			challenge
		}
		if err := o.Decode(&s); err != nil {
			r.log.WithFields(logrus.Fields{"event": "job_state_unreadable", "job": o.Name, "error": err}).Warn("skipping a stored job state that can't be decoded")
			continue
		}
		if s.challenge.Owner != "" {
			challenges = append(challenges, storedChallenge{s.challenge, o.Name, o.Version})
			continue
		}
		states[o.Name] = s.state
	}
	return states, challenges, nil
}

func (r *Runner) runsJob(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.jobs[id]
	return known
}

// claimJob makes this host the owner of the job, fences off the previous owner
// and reads the job's results.
func (r *Runner) claimJob(ctx context.Context, id string, rec record, from string) error {
	config := r.core.Config()
	if config == nil {
		return errors.New("no configuration received yet")
	}
	route := config.RouteNamed(rec.Route)
	if route == nil && rec.knowsRemoval(config) {
		r.log.WithFields(logrus.Fields{"event": "job_route_gone", "job": id, "route": rec.Route}).Warn("the route of a job no longer exists; giving up its items")
	}
	if err := r.loadParts(ctx, id, &rec); err != nil {
		return err // before this host takes the job from one that may run it
	}
	if from != r.self {
		stale := false
		err := r.updateState(ctx, id, rec.AcceptedBy, func(s *state) {
			stale = s.Owner != from
			if !stale {
				s.Owner = r.self
			}
		})
		if err != nil {
			return err
		}
		if stale {
			r.log.WithFields(logrus.Fields{"event": "job_claimed_elsewhere", "job": id, "from": from}).Info("another host was faster to claim a job")
			return nil
		}
	}
	segments, err := r.fenceSegments(ctx, id)
	if err != nil {
		return err
	}
	j := r.addJob(id, rec, route)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range segments[min(j.segments, len(segments)):] {
		j.applySegment(s)
	}
	if j.isDone() {
		r.doneMarks.add(id, j) // its last owner could not
	}
	r.announceWaitingTokens()
	signal(r.verify) // the job may have been cancelled since its state was read
	r.log.WithFields(logrus.Fields{"event": "job_taken_over", "job": id, "from": from, "results": len(j.results), "items": rec.Total}).Info("job claimed")
	return nil
}

// segmentBatch is the number of segments that are read at once.
const segmentBatch = 8

// readSegments reads the stored segments of the job by their names. A list would also carry up
// to a megabyte of other jobs' results, which a host with a slow link can't read within the time
// limit of a claim while many jobs are claimed.
func (r *Runner) readSegments(ctx context.Context, id string) ([]segment, error) {
	var segments []segment
	for {
		var batch [segmentBatch]segment
		var errs [segmentBatch]error
		var reads sync.WaitGroup
		for n := range segmentBatch {
			reads.Go(func() { batch[n], errs[n] = r.readSegment(ctx, id, len(segments)+n) })
		}
		reads.Wait()
		for n, err := range errs {
			if errors.Is(err, objstore.ErrNotFound) {
				return segments, nil
			}
			if err != nil {
				return nil, errors.Wrapf(err, "read segment %d of job %q", len(segments), id)
			}
			segments = append(segments, batch[n])
		}
	}
}

// fenceSegments reads the job's results and appends an empty segment, so that the
// previous owner can't append results that this host doesn't know.
func (r *Runner) fenceSegments(ctx context.Context, id string) ([]segment, error) {
	segments, err := r.readSegments(ctx, id)
	if err != nil {
		return nil, err
	}
	for {
		fence := segment{Writer: r.incarnation}
		_, err := r.store.Create(ctx, KindResults, numberedName(id, len(segments)), fence)
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

// AdoptLocal implements mesh.Jobs. adoptLoop claims the jobs, except those that it is
// already claiming. A call without jobs has this host verify the ownership of its jobs.
func (r *Runner) AdoptLocal(ids []string) {
	if len(ids) == 0 {
		signal(r.verify)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		if _, known := r.adopting[id]; !known {
			r.adopting[id] = adoptionWaiting
		}
	}
	signal(r.adopt)
}

// adoptLoop claims jobs that were given to AdoptLocal until ctx is done, and waits for
// these claims.
func (r *Runner) adoptLoop(ctx context.Context) {
	var claims sync.WaitGroup
	defer claims.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.adopt:
		}
		ids := r.startAdopting()
		claims.Go(func() { r.adoptJobs(ctx, ids) })
	}
}

func (r *Runner) adoptJobs(ctx context.Context, ids []string) {
	forEachConcurrently(ids, func(id string) {
		defer r.endAdopting(id)
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		if err := r.adoptJob(ctx, id); err != nil {
			r.log.WithFields(logrus.Fields{"event": "job_not_claimed", "job": id, "error": err}).Warn("claim of a transferred job failed")
		}
	})
}

// startAdopting marks the waiting jobs as being claimed and returns them.
func (r *Runner) startAdopting() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var started []string
	for id, state := range r.adopting {
		if state == adoptionWaiting {
			r.adopting[id] = adoptionRunning
			started = append(started, id)
		}
	}
	return started
}

func (r *Runner) endAdopting(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.adopting, id)
}

// adoption is the state of a job that a peer has transferred.
type adoption int

const (
	adoptionWaiting adoption = iota
	adoptionRunning
)

// forEachConcurrently calls claim for each job, for maxConcurrentClaims at a time.
func forEachConcurrently[T any](jobs []T, claim func(T)) {
	var claims sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentClaims)
	for _, j := range jobs {
		slots <- struct{}{}
		claims.Go(func() {
			defer func() { <-slots }()
			claim(j)
		})
	}
	claims.Wait()
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
