package jobs

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/objstore"
)

// Submit accepts a job. It is idempotent: resubmitting the same job has no effect
// and succeeds.
func (r *Runner) Submit(ctx context.Context, s Submission) error {
	route, team, err := r.core.Authorize(s.Host, s.Path, s.Key)
	if err != nil {
		return err
	}
	if err := checkItemIDs(s.Items); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if known, err := r.checkResubmission(s, team.Name); known {
		return err
	}
	if _, announced := r.core.JobOwner(s.ID); announced {
		return r.acceptDuplicate(ctx, s, team.Name)
	}
	if err := r.checkParts(s, route, team.Name); err != nil {
		return err
	}
	if err := r.checkBacklog(s, route, team.Name); err != nil {
		return err
	}
	if known, err := r.checkMemory(ctx, s, team.Name); known || err != nil {
		return err
	}
	rec := record{
		Team: team.Name, Route: route.Name, Host: s.Host, AcceptedBy: r.self,
		ConfigVersion: r.core.Config().Version, // read after the route, so at least as new
		DueMS:         route.Batch.Due.Milliseconds(), RetentionMS: route.Batch.Retention.Milliseconds(),
		SubmittedMS: time.Now().UnixMilli(), Total: len(s.Items), Items: s.Items,
	}
	err = r.createJob(ctx, s.ID, rec)
	if errors.Is(err, objstore.ErrConflict) {
		return r.acceptDuplicate(ctx, s, team.Name)
	}
	if err != nil {
		r.log.WithFields(logrus.Fields{"event": "job_not_accepted", "job": s.ID, "team": team.Name, "error": err}).Warn("job not accepted")
		return acceptError(err)
	}
	r.addJob(s.ID, rec, route)
	r.log.WithFields(logrus.Fields{"event": "job_accepted", "job": s.ID, "team": team.Name, "route": route.Name, "items": len(s.Items)}).Info("job accepted")
	return nil
}

// checkItemIDs returns an error if two items have the same id: their results could not be
// told apart.
func checkItemIDs(items []Item) error {
	seen := make(map[string]bool, len(items))
	for _, i := range items {
		if seen[i.ID] {
			return apierr.Newf(apierr.Invalid, "give each item an id of its own", "two items of the job have the id %q", i.ID)
		}
		seen[i.ID] = true
	}
	return nil
}

// acceptError distinguishes jobs that were not stored from jobs that may have
// been.
func acceptError(err error) error {
	if errors.Is(err, objstore.ErrTooLarge) {
		return apierr.New(apierr.TooLarge, "an item of the job is too large to be kept", "split the job").WithCause(err)
	}
	if errors.Is(err, objstore.ErrUnavailable) {
		return unavailable("the platform's store takes no jobs at the moment", err)
	}
	return apierr.New(apierr.Timeout, "it is not known whether the job was accepted", "hand it in again under the same id").MayHaveRun().WithCause(err)
}

// checkResubmission reports whether this host already has the job, and an error
// if the submission differs from it.
func (r *Runner) checkResubmission(s Submission, team string) (bool, error) {
	r.mu.Lock()
	j, known := r.jobs[s.ID]
	r.mu.Unlock()
	if !known {
		return false, nil
	}
	return true, checkSameJob(j.record, s, team)
}

// checkSameJob returns an error if the submission differs from the stored job.
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

// acceptDuplicate handles the submission of a job that is already stored, and
// makes sure that a host runs it.
func (r *Runner) acceptDuplicate(ctx context.Context, s Submission, team string) error {
	m, err := r.findRemote(ctx, s.ID)
	return r.acceptFound(m, err, s, team)
}

// acceptFound handles the submission of a job for which findRemote returned m or err.
func (r *Runner) acceptFound(m *remoteJob, err error, s Submission, team string) error {
	if err != nil {
		return withoutPromise(acceptError(err), true)
	}
	if err := checkSameJob(m.record, s, team); err != nil {
		return err
	}
	if _, announced := r.core.JobOwner(s.ID); announced {
		return nil
	}
	if r.ownerOf(m) == r.self {
		r.AdoptLocal([]string{s.ID})
		return nil
	}
	r.ownerNotices.add(m.id, m)
	return nil
}

// notifyOwner makes sure that the owner runs the job, which no host announces: it may not have
// learned that its create succeeded. If the call fails, this host takes over the
// job.
func (r *Runner) notifyOwner(ctx context.Context, m *remoteJob) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	owner := r.ownerOf(m)
	address, live := r.peerAddress(owner)
	if !live {
		return // claimOrphans takes over the jobs of unresponsive hosts
	}
	err := r.peers.Adopt(ctx, address, []string{m.id})
	if err == nil {
		return
	}
	r.log.WithFields(logrus.Fields{"event": "owner_not_told", "job": m.id, "peer": owner, "error": err}).Info("notifying the owner of a job failed; taking over the job")
	r.AdoptLocal([]string{m.id})
}

// checkParts rejects a job with an item that can't run before its deadline, because a part of its
// prompt crashes upstreams.
func (r *Runner) checkParts(s Submission, route *fleet.Route, team string) error {
	for _, i := range s.Items {
		if err := r.core.RefuseItem(i.PromptParts, team, route.Batch.Retention); err != nil {
			r.log.WithFields(logrus.Fields{"event": "job_refused", "job": s.ID, "team": team, "id": i.ID, "error": err}).Info("job refused: a part of an item's prompt is quarantined")
			return err
		}
	}
	return nil
}

// checkBacklog rejects a job that would exceed the limit of waiting tokens of its
// team.
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
		Info("job refused: too many waiting tokens")
	return apierr.Newf(apierr.RateLimited, "hand the job in again when others are done",
		"%d tokens of the team wait already, and at most %d may", waiting, limit).WithRetryAfter(time.Second)
}

// createJob stores the job. The job object is created last, since a job exists
// once its job object exists. The names of parts contain the digest of the items, so
// that an existing part has the same content.
func (r *Runner) createJob(ctx context.Context, id string, rec record) error {
	parts := splitItems(rec.Items)
	if len(parts) > 1 {
		digest, err := digestOf(rec.Items)
		if err != nil {
			return err
		}
		rec.PartDigest = digest
		err = forEachPart(len(parts), func(n int) error {
			_, err := r.store.Create(ctx, KindPart, rec.partName(id, n), parts[n])
			if errors.Is(err, objstore.ErrConflict) {
				return nil
			}
			return err
		})
		if err != nil {
			return err
		}
		rec.PartCount, rec.Items = len(parts), nil
	}
	_, err := r.store.Create(ctx, KindJob, id, rec)
	return err
}

// forEachPart calls do for the parts concurrently, so that a slow store doesn't exhaust the
// time limit, and returns the error of the first part that failed.
func forEachPart(count int, do func(n int) error) error {
	failures := make([]error, count)
	slots := make(chan struct{}, maxPartCalls)
	var calls sync.WaitGroup
	for n := range count {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			failures[n] = do(n)
		})
	}
	calls.Wait()
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

// digestOf returns a digest of the items for the names of their parts.
func digestOf(items []Item) (string, error) {
	encoded, err := json.Marshal(items)
	if err != nil {
		return "", errors.Wrap(err, "encode the items of a job")
	}
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:partDigestBytes]), nil
}

// splitItems splits items into parts that each fit into one object.
func splitItems(items []Item) [][]Item {
	var parts [][]Item
	size := 0
	for _, i := range items {
		itemSize := i.encodedSize()
		size += itemSize
		if len(parts) == 0 || size > maxPartBytes {
			parts = append(parts, nil)
			size = itemSize
		}
		parts[len(parts)-1] = append(parts[len(parts)-1], i)
	}
	return parts
}

// getImmutable reads an object that never changes after its creation. A stale
// read that finds the object is therefore current; a miss is confirmed by a
// current read.
func (r *Runner) getImmutable(ctx context.Context, kind objstore.Kind, name string) (objstore.Object, error) {
	o, err := r.store.GetStale(ctx, kind, name)
	if errors.Is(err, objstore.ErrNotFound) {
		return r.store.Get(ctx, kind, name)
	}
	return o, err
}

// loadJob reads a job and its items from the store.
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

// loadParts reads the items that are stored apart from the job's object, unless the
// record has them already.
func (r *Runner) loadParts(ctx context.Context, id string, rec *record) error {
	if rec.PartCount == 0 || len(rec.Items) == rec.Total {
		return nil
	}
	parts := make([][]Item, rec.PartCount)
	err := forEachPart(rec.PartCount, func(n int) (err error) {
		parts[n], err = r.loadPart(ctx, rec.partName(id, n))
		return err
	})
	if err != nil {
		return errors.Wrapf(err, "read the parts of job %q", id)
	}
	items := slices.Concat(parts...)
	if len(items) != rec.Total {
		return errors.Errorf("the parts of job %q have %d items, not %d", id, len(items), rec.Total)
	}
	rec.Items = items
	return nil
}

func (r *Runner) loadPart(ctx context.Context, name string) ([]Item, error) {
	o, err := r.getExisting(ctx, KindPart, name)
	if err != nil {
		return nil, err
	}
	var items []Item
	return items, o.Decode(&items)
}

// getExisting reads an immutable object that another one refers to. If it is missing, the
// error doesn't match objstore.ErrNotFound, since the other object exists.
func (r *Runner) getExisting(ctx context.Context, kind objstore.Kind, name string) (objstore.Object, error) {
	o, err := r.getImmutable(ctx, kind, name)
	if errors.Is(err, objstore.ErrNotFound) {
		return o, errors.Errorf("object %q is missing", name)
	}
	return o, err
}

// addJob adds the job to the jobs that this host runs. The route may be nil.
func (r *Runner) addJob(id string, rec record, route *fleet.Route) *job {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j, known := r.jobs[id]; known {
		return j
	}
	j := newJob(id, rec, route)
	r.jobs[id] = j
	r.remote.remove(id)
	r.announceJobs()
	signal(r.work)
	return j
}
