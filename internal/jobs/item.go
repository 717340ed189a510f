package jobs

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/eventstream"
	"github.com/masticscale/masticscale/internal/fleet"
)

const (
	itemIdleTimeout = 2 * time.Second        // without a byte; an engine's pauses are far shorter
	maxStalls       = 4                      // runs in a row without an event, after which an item is suspected to crash upstreams
	rerouteDelay    = 50 * time.Millisecond  // before an item goes to another upstream
	failureBackoff  = 500 * time.Millisecond // after a failure that another upstream may not mend
)

// outcome says how a run of an item ended.
type outcome int

const (
	runDone          outcome = iota // the output is whole
	runFailed                       // the upstream failed the item
	runUnprocessable                // the item can never be done
	runRefused                      // the upstream turned it away
	runTruncated                    // the stream broke off, or was paused
	runPreempted                    // this host took the slot back
	runMalformed                    // events are missing or out of order
)

// String returns the name in logs.
func (e outcome) String() string {
	return [...]string{"done", "failed", "hopeless", "turned_away", "broke_off", "paused", "malformed"}[e]
}

// failed reports whether the upstream failed the run.
func (e outcome) failed() bool { return e == runFailed || e == runTruncated || e == runMalformed }

// reflectsHealth reports whether the end tells something of the upstream.
func (e outcome) reflectsHealth() bool { return e.failed() || e == runDone || e == runUnprocessable }

// progress is what a run adds to an item.
type progress struct {
	output []byte
	events int
	lastID string
}

// runItem runs the item once at the place and notes how it ended.
func (r *Runner) runItem(ctx context.Context, i *item, route *fleet.Route, place *entry.Slot) {
	r.mu.Lock()
	p := progress{output: i.output, events: i.events, lastID: i.lastID}
	resumed := i.lastID != ""
	r.mu.Unlock()
	started := time.Now()
	end, err := r.streamItem(ctx, i, route, place, &p)
	if ctx.Err() != nil && end != runDone {
		end = runPreempted
	}
	if end == runTruncated || end == runMalformed {
		place.ReportFailure()
	}
	if end.reflectsHealth() {
		place.ReportRunResult(end.failed())
	}
	place.Release()
	took := time.Since(started)
	r.mu.Lock()
	defer r.mu.Unlock()
	i.cancelRun = nil
	if i.state != itemRunning {
		return // ended, or finished by another host
	}
	if end == runDone && !resumed {
		r.stats.observe(took, p.events)
	}
	r.recordOutcome(i, route, end, p)
	r.log.WithFields(logrus.Fields{
		"event": "item_run_ended", "job": i.job.id, "id": i.ID, "upstream": place.Upstream.ID, "end": end.String(),
		"events": i.events, "took_ms": took.Milliseconds(), "due_in_ms": time.Until(i.job.due).Milliseconds(), "error": err,
	}).Info("a run of an item ended")
	signal(r.work)
}

// recordOutcome notes what a run has done for the item; the caller holds mu.
func (r *Runner) recordOutcome(i *item, route *fleet.Route, end outcome, p progress) {
	progressed := p.events > i.events
	if end != runMalformed {
		i.output, i.events, i.lastID = p.output, p.events, p.lastID
	}
	i.state = itemWaiting
	now := time.Now()
	switch end {
	case runDone:
		r.metrics.Items.WithLabelValues("done").Inc()
		i.job.finishItem(i, false)
		r.announceWaitingTokens()
		signal(r.write)
		return
	case runUnprocessable:
		r.giveUpItem(i, "the upstream says that it can never be done")
		return
	case runFailed:
		i.failures++
		if i.failures >= max(route.MaxAttempts, 1) {
			r.giveUpItem(i, "it has failed at as many upstreams as its route allows")
			return
		}
		i.notBefore = now.Add(failureBackoff)
	case runRefused, runPreempted:
		i.notBefore = now.Add(rerouteDelay)
	case runTruncated, runMalformed:
		i.notBefore = now.Add(rerouteDelay)
		r.countStall(i, progressed, now)
	}
}

// countStall keeps an item that may crash its upstreams from reaching more of
// them than it takes to tell.
func (r *Runner) countStall(i *item, progressed bool, now time.Time) {
	if progressed {
		i.stalls = 0
		return
	}
	i.stalls++
	i.notBefore = now.Add(failureBackoff)
	if i.stalls < maxStalls {
		return
	}
	i.notBefore = i.job.deadline
	r.log.WithFields(logrus.Fields{"event": "item_suspected", "job": i.job.id, "id": i.ID, "stalls": i.stalls}).
		Warn("an item broke off at several upstreams without an event and isn't run again")
}

// streamItem runs the item and collects its events.
func (r *Runner) streamItem(ctx context.Context, i *item, route *fleet.Route, place *entry.Slot, p *progress) (outcome, error) {
	header := http.Header{}
	for name, value := range i.Header {
		header.Set(name, value)
	}
	answer, err := r.upstreams.Do(ctx, entry.Call{
		Upstream: place.Upstream, ID: i.ID, Method: http.MethodPost, Target: i.Path, Host: i.job.record.Host, Team: i.job.record.Team,
		Header: header, Body: i.Body, Left: r.remainingTime(i), ResumeAfter: p.lastID, Silence: itemIdleTimeout,
	})
	if err != nil {
		return sendOutcome(ctx, place, err), err
	}
	defer func() { _ = answer.Body.Close() }()
	place.ReportLoad(answer.Load)
	switch {
	case answer.NotRun && answer.Moved:
		place.ReportFailure()
		return runRefused, nil
	case answer.NotRun:
		place.ReportFull()
		return runRefused, nil
	case answer.Status == http.StatusUnprocessableEntity:
		return runUnprocessable, nil
	case answer.Status != http.StatusOK || !answer.Events:
		return runFailed, errors.Errorf("upstream answered with status %d", answer.Status)
	}
	place.ReportSuccess()
	return readEvents(answer.Body, p)
}

// sendOutcome says how a run ended to which no answer began.
func sendOutcome(ctx context.Context, place *entry.Slot, err error) outcome {
	if ctx.Err() == nil {
		place.ReportUnreachable()
	}
	var send *entry.SendError
	if errors.As(err, &send) && send.NotRun {
		return runRefused
	}
	return runTruncated
}

// remainingTime returns how long an upstream may work on the item.
func (r *Runner) remainingTime(i *item) time.Duration {
	return max(time.Until(i.job.deadline), time.Second)
}

// readEvents reads the events of a run.
func readEvents(body io.Reader, p *progress) (outcome, error) {
	events := eventstream.NewReader(body)
	for {
		batch, err := events.Next()
		if errors.Is(err, io.EOF) {
			return runDone, nil
		}
		if err != nil {
			return runTruncated, err
		}
		for _, e := range batch {
			if !entry.IsNextEventID(p.lastID, e.ID) {
				return runMalformed, errors.Errorf("event %q came after event %q", e.ID, p.lastID)
			}
			p.add(e)
		}
	}
}

func (p *progress) add(e eventstream.Event) {
	if p.events > 0 {
		p.output = append(p.output, '\n')
	}
	p.output = append(p.output, e.Data...)
	p.events++
	if e.ID != "" {
		p.lastID = e.ID
	}
}
