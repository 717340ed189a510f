package jobs

import (
	"bytes"
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/objstore"
)

// Submit accepts a job. It is accepted once; handing it in again is answered
// like the first time.
func (r *Runner) Submit(ctx context.Context, s Submission) error {
	route, team, err := r.core.Authorize(s.Host, s.Path, s.Key)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if known, err := r.checkResubmission(s, team.Name); known {
		return err
	}
	if err := r.checkBacklog(s, route, team.Name); err != nil {
		return err
	}
	rec := record{
		Team: team.Name, Route: route.Name, Host: s.Host, AcceptedBy: r.self,
		SubmittedMS: time.Now().UnixMilli(), Total: len(s.Items), Items: s.Items,
	}
	err = r.createJob(ctx, s.ID, rec)
	if errors.Is(err, objstore.ErrConflict) {
		return r.acceptDuplicate(ctx, s, team.Name)
	}
	if err != nil {
		r.log.WithFields(logrus.Fields{"event": "job_not_accepted", "job": s.ID, "team": team.Name, "error": err}).Warn("a job was not accepted")
		return acceptError(err)
	}
	r.addJob(s.ID, rec, route)
	r.log.WithFields(logrus.Fields{"event": "job_accepted", "job": s.ID, "team": team.Name, "route": route.Name, "items": len(s.Items)}).Info("a job was accepted")
	return nil
}

// acceptError tells a job that doesn't exist from one that may come to exist.
func acceptError(err error) error {
	if errors.Is(err, objstore.ErrTooLarge) {
		return apierr.New(apierr.TooLarge, "an item of the job is too large to be kept", "split the job").WithCause(err)
	}
	if errors.Is(err, objstore.ErrUnavailable) {
		return unavailable("the platform's store takes no jobs at the moment", err)
	}
	return apierr.New(apierr.Timeout, "it is not known whether the job was accepted", "hand it in again under the same id").MayHaveRun().WithCause(err)
}

// checkResubmission answers for a job that this host runs already.
func (r *Runner) checkResubmission(s Submission, team string) (bool, error) {
	r.mu.Lock()
	j, known := r.jobs[s.ID]
	r.mu.Unlock()
	if !known {
		return false, nil
	}
	return true, checkSameJob(j.record, s, team)
}

// checkSameJob reports an error when the submission is another job than the record.
func checkSameJob(rec record, s Submission, team string) error {
	same := rec.Team == team && rec.Total == len(s.Items)
	for i := 0; same && i < len(rec.Items) && i < len(s.Items); i++ {
		same = rec.Items[i].ID == s.Items[i].ID && bytes.Equal(rec.Items[i].Body, s.Items[i].Body)
	}
	if same {
		return nil
	}
	return apierr.Newf(apierr.Invalid, "use another id", "another job has the id %q", s.ID)
}

// acceptDuplicate answers for a job that another host has accepted, and makes
// sure that some host runs it.
func (r *Runner) acceptDuplicate(ctx context.Context, s Submission, team string) error {
	m, err := r.findRemote(ctx, s.ID)
	if err != nil {
		return acceptError(err)
	}
	if err := checkSameJob(m.record, s, team); err != nil {
		return err
	}
	if m.owner == r.self {
		go r.AdoptLocal([]string{s.ID})
		return nil
	}
	go r.notifyOwner(m)
	return nil
}

// notifyOwner makes sure that the host of a job runs it: it may not have learned
// that the job was stored. Where it isn't reached, this host takes the job over.
func (r *Runner) notifyOwner(m *remoteJob) {
	if _, told := r.core.JobOwner(m.id); told {
		return
	}
	owner := r.ownerOf(m)
	address, heard := r.peerAddress(owner)
	if !heard {
		return // the sweep takes over the jobs of hosts that stay silent
	}
	err := r.peers.Adopt(context.Background(), address, []string{m.id})
	if err == nil {
		return
	}
	r.log.WithFields(logrus.Fields{"event": "owner_not_told", "job": m.id, "peer": owner, "error": err}).Info("the host that runs a job was not told of it; this host takes the job over")
	r.AdoptLocal([]string{m.id})
}

// checkBacklog refuses a job that doesn't fit into what a team may have waiting.
func (r *Runner) checkBacklog(s Submission, route *fleet.Route, team string) error {
	limit := route.Batch.MaxWaitingTokens
	if limit <= 0 {
		return nil
	}
	var tokens int64
	for _, i := range s.Items {
		tokens += i.Tokens
	}
	waiting := r.core.WaitingTokens(mesh.Backlog{Route: route.Name, Team: team})
	if waiting+tokens <= limit {
		return nil
	}
	r.log.WithFields(logrus.Fields{"event": "job_refused", "job": s.ID, "team": team, "waiting": waiting, "tokens": tokens, "limit": limit}).
		Info("a job was refused because too many tokens wait")
	return apierr.Newf(apierr.RateLimited, "hand the job in again when others are done",
		"%d tokens of the team wait already, and at most %d may", waiting, limit).WithRetryAfter(time.Second)
}

// createJob stores the job. Its own object comes last: with it the job exists.
func (r *Runner) createJob(ctx context.Context, id string, rec record) error {
	parts := splitItems(rec.Items)
	if len(parts) > 1 {
		for n, items := range parts {
			_, err := r.store.Create(ctx, KindPart, segmentName(id, n), items)
			if err != nil && !errors.Is(err, objstore.ErrConflict) {
				return err
			}
		}
		rec.PartCount, rec.Items = len(parts), nil
	}
	_, err := r.store.Create(ctx, KindJob, id, rec)
	return err
}

// splitItems cuts items into parts that fit into an object each.
func splitItems(items []Item) [][]Item {
	var parts [][]Item
	size := 0
	for _, i := range items {
		size += len(i.Body)
		if len(parts) == 0 || size > maxPartBytes {
			parts = append(parts, nil)
			size = len(i.Body)
		}
		parts[len(parts)-1] = append(parts[len(parts)-1], i)
	}
	return parts
}

// getImmutable reads an object that doesn't change once it exists. A stale read that
// finds it is right; one that doesn't may only be too early.
func (r *Runner) getImmutable(ctx context.Context, kind objstore.Kind, name string) (objstore.Object, error) {
	o, err := r.store.GetStale(ctx, kind, name)
	if errors.Is(err, objstore.ErrNotFound) {
		return r.store.Get(ctx, kind, name)
	}
	return o, err
}

// loadJob reads a job and its items.
func (r *Runner) loadJob(ctx context.Context, id string) (record, error) {
	var rec record
	o, err := r.getImmutable(ctx, KindJob, id)
	if err != nil {
		return rec, err
	}
	if err := o.Decode(&rec); err != nil {
		return rec, err
	}
	return rec, r.loadParts(ctx, id, &rec)
}

func (r *Runner) loadParts(ctx context.Context, id string, rec *record) error {
	for n := range rec.PartCount {
		o, err := r.getImmutable(ctx, KindPart, segmentName(id, n))
		if err != nil {
			return errors.Wrapf(err, "read part %d of job %q", n, id)
		}
		var items []Item
		if err := o.Decode(&items); err != nil {
			return err
		}
		rec.Items = append(rec.Items, items...)
	}
	return nil
}

// addJob makes this host addJob the job.
func (r *Runner) addJob(id string, rec record, route *fleet.Route) *job {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j, known := r.jobs[id]; known {
		return j
	}
	j := newJob(id, rec, route.Batch.Due, route.Batch.Retention)
	r.jobs[id] = j
	delete(r.remote, id)
	r.announceJobs()
	signal(r.work)
	return j
}
