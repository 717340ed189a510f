package jobs

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/objstore"
)

const (
	acceptTimeout = 1500 * time.Millisecond // of the store's part; a caller asks another host after a few seconds
	inlineBytes   = 500 << 10               // of bodies in the job's own object; they grow by a third when encoded
	pageBytes     = 1 << 20                 // of outputs in one answer
	callerTime    = 2500 * time.Millisecond // of other calls
)

func refusedForNow(what string, err error) error {
	return apierr.New(apierr.Unavailable, what, "ask again, at any host").WithRetryAfter(time.Second).WithCause(err)
}

func unknownJob(id string) error {
	return apierr.Newf(apierr.NotFound, "check the id and the key", "there is no job %q of this team", id)
}

// Submit accepts a job. It is accepted once; handing it in again is answered
// like the first time.
func (r *Runner) Submit(ctx context.Context, s Submission) error {
	route, team, err := r.core.Authorize(s.Host, s.Path, s.Key)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if known, err := r.resubmitted(s, team.Name); known {
		return err
	}
	if err := r.checkBacklog(s, route, team.Name); err != nil {
		return err
	}
	rec := record{
		Team: team.Name, Route: route.Name, Host: s.Host, Owner: r.self,
		Submitted: time.Now().UnixMilli(), Total: len(s.Items), Items: s.Items,
	}
	err = r.create(ctx, s.ID, rec)
	if errors.Is(err, objstore.ErrConflict) {
		return r.acceptedBefore(ctx, s, team.Name)
	}
	if err != nil {
		r.log.WithFields(logrus.Fields{"event": "job_not_accepted", "job": s.ID, "team": team.Name, "error": err}).Warn("a job was not accepted")
		return acceptError(err)
	}
	r.run(s.ID, rec, route)
	r.log.WithFields(logrus.Fields{"event": "job_accepted", "job": s.ID, "team": team.Name, "route": route.Name, "items": len(s.Items)}).Info("a job was accepted")
	return nil
}

// acceptError tells a job that doesn't exist from one that may come to exist.
func acceptError(err error) error {
	if errors.Is(err, objstore.ErrTooLarge) {
		return apierr.New(apierr.TooLarge, "an item of the job is too large to be kept", "split the job").WithCause(err)
	}
	if errors.Is(err, objstore.ErrUnavailable) {
		return refusedForNow("the platform's store takes no jobs at the moment", err)
	}
	return apierr.New(apierr.Timeout, "it is not known whether the job was accepted", "hand it in again under the same id").MayHaveRun().WithCause(err)
}

// resubmitted answers for a job that this host runs already.
func (r *Runner) resubmitted(s Submission, team string) (bool, error) {
	r.mu.Lock()
	j, known := r.jobs[s.ID]
	r.mu.Unlock()
	if !known {
		return false, nil
	}
	return true, sameJob(j.record, s, team)
}

// sameJob reports an error when the submission is another job than the record.
func sameJob(rec record, s Submission, team string) error {
	same := rec.Team == team && rec.Total == len(s.Items)
	for i := 0; same && i < len(rec.Items) && i < len(s.Items); i++ {
		same = rec.Items[i].ID == s.Items[i].ID && bytes.Equal(rec.Items[i].Body, s.Items[i].Body)
	}
	if same {
		return nil
	}
	return apierr.Newf(apierr.Invalid, "use another id", "another job has the id %q", s.ID)
}

// acceptedBefore answers for a job that another host has accepted, and makes
// sure that some host runs it.
func (r *Runner) acceptedBefore(ctx context.Context, s Submission, team string) error {
	m, err := r.remoteOf(ctx, s.ID)
	if err != nil {
		return acceptError(err)
	}
	if err := sameJob(m.record, s, team); err != nil {
		return err
	}
	if m.owner == r.self {
		go r.AdoptLocal([]string{s.ID})
		return nil
	}
	go r.tellOwner(m)
	return nil
}

// tellOwner makes sure that the host of a job runs it: it may not have learned
// that the job was stored. Where it isn't reached, this host takes the job over.
func (r *Runner) tellOwner(m *remoteJob) {
	if _, told := r.core.HostOf(m.id); told {
		return
	}
	owner := r.ownerOf(m)
	address, heard := r.addressOf(owner)
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

// create stores the job. Its own object comes last: with it the job exists.
func (r *Runner) create(ctx context.Context, id string, rec record) error {
	parts := split(rec.Items)
	if len(parts) > 1 {
		for n, items := range parts {
			_, err := r.store.Create(ctx, KindPart, segmentName(id, n), items)
			if err != nil && !errors.Is(err, objstore.ErrConflict) {
				return err
			}
		}
		rec.Parts, rec.Items = len(parts), nil
	}
	_, err := r.store.Create(ctx, KindJob, id, rec)
	return err
}

// split cuts items into parts that fit into an object each.
func split(items []Item) [][]Item {
	var parts [][]Item
	size := 0
	for _, i := range items {
		size += len(i.Body)
		if len(parts) == 0 || size > inlineBytes {
			parts = append(parts, nil)
			size = len(i.Body)
		}
		parts[len(parts)-1] = append(parts[len(parts)-1], i)
	}
	return parts
}

// load reads a job and its items.
func (r *Runner) load(ctx context.Context, id string) (record, error) {
	var rec record
	o, err := r.store.Get(ctx, KindJob, id)
	if err != nil {
		return rec, err
	}
	if err := o.Decode(&rec); err != nil {
		return rec, err
	}
	return rec, r.loadParts(ctx, id, &rec)
}

func (r *Runner) loadParts(ctx context.Context, id string, rec *record) error {
	for n := range rec.Parts {
		o, err := r.store.Get(ctx, KindPart, segmentName(id, n))
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

// run makes this host run the job.
func (r *Runner) run(id string, rec record, route *fleet.Route) *job {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j, known := r.jobs[id]; known {
		return j
	}
	j := newJob(id, rec, route.Batch.Due, route.Batch.Retention)
	r.jobs[id] = j
	delete(r.remote, id)
	r.tellJobs()
	signal(r.work)
	return j
}

// ReadLocal implements mesh.Jobs.
func (r *Runner) ReadLocal(ctx context.Context, id, team string, after int, wait time.Duration) (int, []mesh.Result, error) {
	page, err := r.readOwn(ctx, id, team, after, wait)
	if err != nil {
		return 0, nil, err
	}
	results := make([]mesh.Result, 0, len(page.Results))
	for _, x := range page.Results {
		results = append(results, mesh.Result(x))
	}
	return page.Total, results, nil
}

// readOwn reads a job that this host runs.
func (r *Runner) readOwn(ctx context.Context, id, team string, after int, wait time.Duration) (Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		r.mu.Lock()
		j, known := r.jobs[id]
		if !known || j.doubtful || j.record.Team != team {
			r.mu.Unlock()
			return Page{}, mesh.ErrUnknownJob
		}
		page := pageOf(j.record.Total, j.results, after)
		changed, waits := j.changed, j.open()
		r.mu.Unlock()
		if len(page.Results) > 0 || !waits {
			return page, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return page, nil
		}
	}
}

func pageOf(total int, results []Result, after int) Page {
	p := Page{Total: total}
	size := 0
	for i := after; i < len(results); i++ {
		size += len(results[i].Output)
		if len(p.Results) > 0 && size > pageBytes {
			break
		}
		p.Results = append(p.Results, results[i])
	}
	return p
}

// Read returns the results of a job from a position on, through any host.
func (r *Runner) Read(ctx context.Context, id, team string, after int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callerTime+wait)
	defer cancel()
	page, err := r.readOwn(ctx, id, team, after, wait)
	if err == nil {
		return page, nil
	}
	if page, ok := r.readAtTeller(ctx, id, team, after, wait); ok {
		return page, nil
	}
	m, err := r.remoteOf(ctx, id)
	if err != nil {
		return Page{}, r.readError(id, err)
	}
	if m.record.Team != team {
		return Page{}, unknownJob(id)
	}
	if page, ok := r.readAtOwner(ctx, m, after, wait); ok {
		return page, nil
	}
	page, err = r.readStored(ctx, m, after)
	if err != nil {
		return Page{}, r.readError(id, err)
	}
	return page, nil
}

func (r *Runner) readError(id string, err error) error {
	if errors.Is(err, objstore.ErrNotFound) {
		return unknownJob(id)
	}
	return refusedForNow(fmt.Sprintf("the results of job %q can't be read at the moment", id), err)
}

// ItemBody returns the body of an item that was handed in.
func (r *Runner) ItemBody(ctx context.Context, id, team, itemID string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callerTime)
	defer cancel()
	body, err := r.ItemLocal(id, team, itemID)
	if err == nil {
		return body, nil
	}
	if address, told := r.core.HostOf(id); told {
		if body, err := r.peers.ReadItem(ctx, address, id, team, itemID); err == nil {
			return body, nil
		}
	}
	rec, err := r.recordOf(ctx, id)
	if err != nil {
		return nil, r.readError(id, err)
	}
	if rec.Team != team {
		return nil, unknownJob(id)
	}
	if body, ok := bodyOf(rec, itemID); ok {
		return body, nil
	}
	return nil, apierr.Newf(apierr.NotFound, "check the item's id", "job %q has no item %q", id, itemID)
}

func bodyOf(rec record, itemID string) ([]byte, bool) {
	for _, i := range rec.Items {
		if i.ID == itemID {
			return i.Body, true
		}
	}
	return nil, false
}

// ItemLocal implements mesh.Jobs.
func (r *Runner) ItemLocal(id, team, itemID string) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j, known := r.jobs[id]
	if !known || j.record.Team != team {
		return nil, mesh.ErrUnknownJob
	}
	body, ok := bodyOf(j.record, itemID)
	if !ok {
		return nil, mesh.ErrUnknownJob
	}
	return body, nil
}

func (r *Runner) recordOf(ctx context.Context, id string) (record, error) {
	r.mu.Lock()
	j, known := r.jobs[id]
	r.mu.Unlock()
	if known {
		return j.record, nil
	}
	m, err := r.remoteOf(ctx, id)
	if err != nil {
		return record{}, err
	}
	return m.record, nil
}

// End ends a job, through any host.
func (r *Runner) End(ctx context.Context, id, team string) error {
	ctx, cancel := context.WithTimeout(ctx, callerTime)
	defer cancel()
	err := r.EndLocal(ctx, id, team)
	if !errors.Is(err, mesh.ErrUnknownJob) {
		return err
	}
	if address, told := r.core.HostOf(id); told && r.peers.EndJob(ctx, address, id, team) == nil {
		return nil
	}
	m, err := r.remoteOf(ctx, id)
	if err != nil {
		return r.readError(id, err)
	}
	if m.record.Team != team {
		return unknownJob(id)
	}
	if address, heard := r.addressOf(m.owner); heard && r.peers.EndJob(ctx, address, id, team) == nil {
		return nil
	}
	return r.noteEnd(ctx, id, m.record)
}

// endedTold is how long peers are told of an ended job: longer than most cuts,
// after which they read the job's state themselves.
const endedTold = 15 * time.Second

// noteEnd writes the end of a job and tells the peers, one of which may run it.
func (r *Runner) noteEnd(ctx context.Context, id string, rec record) error {
	if err := r.changeState(ctx, id, rec.Owner, func(s *state) { s.Ended = true }); err != nil {
		return refusedForNow("the end of the job can't be noted at the moment", err)
	}
	r.mu.Lock()
	r.ended[id] = time.Now()
	var told []string
	for id, at := range r.ended {
		if time.Since(at) > endedTold {
			delete(r.ended, id)
			continue
		}
		told = append(told, id)
	}
	r.mu.Unlock()
	r.core.SetEnded(told)
	r.log.WithFields(logrus.Fields{"event": "job_ended", "job": id, "team": rec.Team}).Info("a job was ended by its caller")
	return nil
}

// StopEnded stops the jobs that a peer knows to be ended.
func (r *Runner) StopEnded(ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		if j, known := r.jobs[id]; known && !j.ended {
			r.stop(j)
		}
	}
}

// EndLocal implements mesh.Jobs. Items stop at once, before the end is noted.
func (r *Runner) EndLocal(ctx context.Context, id, team string) error {
	r.mu.Lock()
	j, known := r.jobs[id]
	if !known || j.record.Team != team {
		r.mu.Unlock()
		return mesh.ErrUnknownJob
	}
	r.stop(j)
	rec := j.record
	r.mu.Unlock()
	return r.noteEnd(ctx, id, rec)
}

// stop ends the job's items; the caller holds mu.
func (r *Runner) stop(j *job) {
	j.ended = true
	for _, i := range j.items {
		if i.state == itemFinished {
			continue
		}
		if i.pause != nil {
			i.pause()
		}
		i.state = itemFinished
		i.output = nil
	}
	j.notify()
	r.tellWaiting()
}
