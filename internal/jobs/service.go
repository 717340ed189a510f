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
	page, err = r.readElsewhere(ctx, m, after, wait)
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
	if address, told := r.core.JobOwner(id); told {
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

// Cancel cancels a job through any host.
func (r *Runner) Cancel(ctx context.Context, id, team string) error {
	ctx, cancel := context.WithTimeout(ctx, callerTime)
	defer cancel()
	err := r.CancelLocal(ctx, id, team)
	if !errors.Is(err, mesh.ErrUnknownJob) {
		return err
	}
	if address, told := r.core.JobOwner(id); told && r.peers.EndJob(ctx, address, id, team) == nil {
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
	var owner string
	err := r.changeState(ctx, id, rec.Owner, func(s *state) { s.Ended, owner = true, s.Owner })
	r.mu.Lock()
	defer r.mu.Unlock()
	j, known := r.jobs[id]
	if err != nil {
		if known && !j.settled() {
			j.doubtful = true // another host may take it over
			r.tellJobs()
		}
		return refusedForNow("the end of the job can't be noted at the moment", err)
	}
	if known {
		r.stop(j) // it may have been taken up meanwhile
		j.noted = true
	}
	if known && owner != r.self {
		r.drop(j, owner)
	}
	r.ended[id] = time.Now()
	r.tellEnded()
	r.log.WithFields(logrus.Fields{"event": "job_ended", "job": id, "team": rec.Team}).Info("a job was ended by its caller")
	return nil
}

// noteEndAgain notes an end that could not be noted when the caller asked.
func (r *Runner) noteEndAgain(j *job) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTime)
	defer cancel()
	if err := r.noteEnd(ctx, j.id, j.record); err != nil {
		r.log.WithFields(logrus.Fields{"event": "job_end_not_noted", "job": j.id, "error": err}).Info("the end of a job could not be noted; it is tried again")
	}
}

// tellEnded tells the peers which jobs were ended a short time ago; the caller
// holds mu.
func (r *Runner) tellEnded() {
	var told []string
	for id, at := range r.ended {
		if time.Since(at) > endedTold {
			delete(r.ended, id)
			continue
		}
		told = append(told, id)
	}
	r.core.SetCancelledJobs(told)
}

// StopCancelled stops the jobs that a peer knows to be ended. Another host may have
// taken them over before.
func (r *Runner) StopCancelled(ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		if j, known := r.jobs[id]; known && j.open() {
			r.stop(j)
			j.doubtful = true
			signal(r.verify)
		}
	}
}

// CancelLocal implements mesh.Jobs. Items stop at once, before the end is noted.
func (r *Runner) CancelLocal(ctx context.Context, id, team string) error {
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
