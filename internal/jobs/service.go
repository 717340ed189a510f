package jobs

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/objstore"
)

const (
	acceptTimeout   = 1500 * time.Millisecond // for storing a job; callers retry at another host after a few seconds
	partDigestBytes = 16
	maxPartCalls    = 8                       // concurrent calls to the store for one job
	maxPartBytes    = 700 << 10               // of encoded items in one object
	itemOverhead    = 128                     // bytes of an encoded item's field names and numbers
	fieldOverhead   = 6                       // bytes of the quotes and separators of an encoded header
	maxPageBytes    = 1 << 20                 // of outputs in one response
	callTimeout     = 2500 * time.Millisecond // of all calls but Submit
)

func unavailable(what string, err error) error {
	return apierr.New(apierr.Unavailable, what, "ask again, at any host").WithRetryAfter(time.Second).WithCause(err)
}

func jobNotFound(id string) error {
	return apierr.Newf(apierr.NotFound, "check the id and the key", "there is no job %q of this team", id)
}

// ReadLocal implements mesh.Jobs.
func (r *Runner) ReadLocal(ctx context.Context, id, team string, after int, wait time.Duration) (int, []mesh.Result, error) {
	page, err := r.readLocalPage(ctx, id, team, after, wait)
	if err != nil {
		return 0, nil, err
	}
	results := make([]mesh.Result, 0, len(page.Results))
	for _, x := range page.Results {
		results = append(results, mesh.Result(x))
	}
	return page.Total, results, nil
}

// readLocalPage returns results of a job that this host owns. It waits for new
// results if there are none after the position.
func (r *Runner) readLocalPage(ctx context.Context, id, team string, after int, wait time.Duration) (Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		r.mu.Lock()
		j, known := r.jobs[id]
		if !known || j.unverified || j.record.Team != team {
			r.mu.Unlock()
			return Page{}, mesh.ErrUnknownJob
		}
		page := pageAt(j.record.Total, j.results, after)
		changed, hasWork := j.changed, j.hasWork()
		r.mu.Unlock()
		if len(page.Results) > 0 || !hasWork {
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

// pageAt returns the results from the position on, up to maxPageBytes.
func pageAt(total int, results []Result, after int) Page {
	p := Page{Total: total}
	size := 0
	for i := after; i < len(results); i++ {
		size += len(results[i].Output)
		if len(p.Results) > 0 && size > maxPageBytes {
			break
		}
		p.Results = append(p.Results, results[i])
	}
	return p
}

// Read returns the results of a job from a position on. It works at every host.
func (r *Runner) Read(ctx context.Context, id, team string, after int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	page, err := r.readLocalPage(ctx, id, team, after, wait)
	if err == nil {
		return page, nil
	}
	if page, ok := r.readFromAnnouncer(ctx, id, team, after, wait); ok {
		return page, nil
	}
	m, err := r.findRemote(ctx, id)
	if err != nil {
		return Page{}, r.readError(id, err)
	}
	if m.record.Team != team {
		return Page{}, jobNotFound(id)
	}
	page, err = r.readRemote(ctx, m, after, wait)
	if err != nil {
		return Page{}, r.readError(id, err)
	}
	return page, nil
}

func (r *Runner) readError(id string, err error) error {
	if errors.Is(err, objstore.ErrNotFound) {
		return jobNotFound(id)
	}
	return unavailable(fmt.Sprintf("the results of job %q can't be read at the moment", id), err)
}

// ItemBody returns the request body of an item. It works at every host.
func (r *Runner) ItemBody(ctx context.Context, id, team, itemID string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := r.ItemLocal(id, team, itemID)
	if err == nil {
		return body, nil
	}
	if address, announced := r.core.JobOwner(id); announced {
		if body, err := r.readItemFromPeer(ctx, address, id, team, itemID); err == nil {
			return body, nil
		}
	}
	rec, err := r.findRecord(ctx, id)
	if err != nil {
		return nil, r.readError(id, err)
	}
	if rec.Team != team {
		return nil, jobNotFound(id)
	}
	if body, ok := itemBody(rec, itemID); ok {
		return body, nil
	}
	return nil, apierr.Newf(apierr.NotFound, "check the item's id", "job %q has no item %q", id, itemID)
}

// readItemFromPeer reads the body of an item from the host at the address, and logs why it
// can't be read there unless the host doesn't run the job.
func (r *Runner) readItemFromPeer(ctx context.Context, address, id, team, itemID string) ([]byte, error) {
	body, err := r.peers.ReadItem(ctx, address, id, team, itemID)
	if err != nil && !errors.Is(err, mesh.ErrUnknownJob) {
		r.log.WithFields(logrus.Fields{"event": "item_not_relayed", "job": id, "id": itemID, "address": address, "error": err}).Info("the owner of a job didn't return an item; reading it from the store")
	}
	return body, err
}

func itemBody(rec record, itemID string) ([]byte, bool) {
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
	body, ok := itemBody(j.record, itemID)
	if !ok {
		return nil, mesh.ErrUnknownJob
	}
	return body, nil
}

func (r *Runner) findRecord(ctx context.Context, id string) (record, error) {
	r.mu.Lock()
	j, known := r.jobs[id]
	r.mu.Unlock()
	if known {
		return j.record, nil
	}
	m, err := r.findRemote(ctx, id)
	if err != nil {
		return record{}, err
	}
	return m.record, nil
}

// Cancel cancels a job. It works at every host.
func (r *Runner) Cancel(ctx context.Context, id, team string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.CancelLocal(ctx, id, team)
	if !errors.Is(err, mesh.ErrUnknownJob) {
		return err
	}
	told := false // the owner was asked and may carry it out, though its response didn't arrive
	if address, announced := r.core.JobOwner(id); announced {
		if err = r.cancelAt(ctx, address, id, team); err == nil {
			return nil
		}
		told = !errors.Is(err, mesh.ErrUnknownJob)
	}
	m, err := r.findRemote(ctx, id)
	if err != nil {
		return withoutPromise(r.readError(id, err), told)
	}
	if m.record.Team != team {
		return jobNotFound(id)
	}
	if address, live := r.peerAddress(r.ownerOf(m)); live {
		if err = r.cancelAt(ctx, address, id, team); err == nil {
			return nil
		}
		told = told || !errors.Is(err, mesh.ErrUnknownJob)
	}
	return withoutPromise(r.storeCancellation(ctx, id, m.record), told)
}

// cancelAt asks the host at the address to cancel the job.
func (r *Runner) cancelAt(ctx context.Context, address, id, team string) error {
	err := r.peers.EndJob(ctx, address, id, team)
	if err != nil {
		r.log.WithFields(logrus.Fields{"event": "job_end_not_relayed", "job": id, "address": address, "error": err}).Info("the owner of a job didn't confirm its cancellation")
	}
	return err
}

// withoutPromise returns err without its promise that the call has no effect, if the call
// may have one.
func withoutPromise(err error, mayHaveEffect bool) error {
	if err == nil || !mayHaveEffect {
		return err
	}
	return apierr.From(err).MayHaveRun()
}

// cancellationAnnounceTime is how long a cancellation is announced to peers. It
// exceeds most network partitions, after which peers read the job's state
// themselves.
const cancellationAnnounceTime = 15 * time.Second

// storeCancellation stores the cancellation of a job and announces it to the
// peers, since one of them may run the job.
func (r *Runner) storeCancellation(ctx context.Context, id string, rec record) error {
	var owner string
	err := r.updateState(ctx, id, rec.AcceptedBy, func(s *state) { s.Cancelled, owner = true, s.Owner })
	r.mu.Lock()
	defer r.mu.Unlock()
	j, known := r.jobs[id]
	if err != nil {
		if known && !j.isFinal() {
			j.markUnverified() // another host may take over the job
			r.announceJobs()
		}
		// A job of this host is stopped, and its cancellation stored later. Another write
		// may take effect unless the store has rejected it.
		return withoutPromise(unavailable("the end of the job can't be noted at the moment", err), known || !errors.Is(err, objstore.ErrUnavailable))
	}
	if known {
		r.stopJob(j) // this host may have claimed the job meanwhile
		j.cancelStored = true
	}
	if known && owner != r.self {
		r.releaseJob(j, owner)
	}
	r.cancelled[id] = time.Now()
	r.announceCancellations()
	r.log.WithFields(logrus.Fields{"event": "job_ended", "job": id, "team": rec.Team}).Info("job cancelled by its caller")
	return nil
}

// retryCancellation stores a cancellation that failed to be stored before.
func (r *Runner) retryCancellation(ctx context.Context, j *job) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.storeCancellation(ctx, j.id, j.record); err != nil {
		r.log.WithFields(logrus.Fields{"event": "job_end_not_noted", "job": j.id, "error": err}).Info("cancellation of a job could not be stored; retrying")
	}
}

// announceCancellations publishes the recent cancellations to the peers. The
// caller holds mu.
func (r *Runner) announceCancellations() {
	var announced []string
	for id, storedAt := range r.cancelled {
		if time.Since(storedAt) > cancellationAnnounceTime {
			delete(r.cancelled, id)
			continue
		}
		announced = append(announced, id)
	}
	r.core.SetCancelledJobs(announced)
}

// StopCancelled stops jobs that a peer announces as cancelled. Their ownership
// becomes unverified, since another host may have taken them over before.
func (r *Runner) StopCancelled(ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		if j, known := r.jobs[id]; known && j.hasWork() {
			r.stopJob(j)
			j.markUnverified()
			signal(r.verify)
		}
	}
}

// CancelLocal implements mesh.Jobs. The items stop before the cancellation is
// stored.
func (r *Runner) CancelLocal(ctx context.Context, id, team string) error {
	r.mu.Lock()
	j, known := r.jobs[id]
	if !known || j.record.Team != team {
		r.mu.Unlock()
		return mesh.ErrUnknownJob
	}
	r.stopJob(j)
	rec := j.record
	r.mu.Unlock()
	return r.storeCancellation(ctx, id, rec)
}

// stopJob cancels the runs of the job's items and drops their outputs. The caller
// holds mu.
func (r *Runner) stopJob(j *job) {
	j.cancelled = true
	for _, i := range j.items {
		if i.state == itemFinished {
			continue
		}
		if i.cancelRun != nil {
			i.cancelRun()
		}
		i.state = itemFinished
		i.output = nil
	}
	j.notifyReaders()
	r.announceWaitingTokens()
}
