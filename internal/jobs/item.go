package jobs

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/bodyend"
	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/eventstream"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/readlimit"
)

const (
	itemIdleTimeout = 2 * time.Second        // maximum gap between bytes; doubles with each silent run without an event
	maxIdleTimeout  = 16 * time.Second       // of a run; a later first byte is more likely that of a hung upstream
	rerouteDelay    = 50 * time.Millisecond  // before the item goes to another upstream
	failureBackoff  = 500 * time.Millisecond // after a failure that is likely at other upstreams too; doubles with each run without an event
	maxBackoff      = 2 * time.Second        // an unfinished item is owed, and must be run again soon after the upstreams have recovered
)

const (
	maxOutputBytes = maxPageBytes // of an item; a longer one fits into no response to its reader
	extraEvents    = 64           // beyond the events that an item's declared tokens account for
)

// maxFailedAt limits the upstreams that an item is sent to last.
const maxFailedAt = 16

// maxUnresumed is the number of consecutive unexpected, malformed or empty responses after which
// an item starts again: upstreams may be unable to resume it without saying so, or have no more
// of it and nothing that marks the end.
const maxUnresumed = 4

// runOutcome is the outcome of a single run of an item.
type runOutcome int

const (
	runDone          runOutcome = iota // the output is complete
	runFailed                          // the upstream responded with 500
	runUnprocessable                   // the upstream responded with 422; a retry is pointless
	runRefused                         // the upstream didn't execute the request
	runTruncated                       // the connection or the event stream broke
	runSilent                          // no byte came within the idle timeout
	runPreempted                       // this host cancelled the run
	runMalformed                       // events are missing or out of order
	runUnbounded                       // the upstream sent more than an answer can have, or never completed an event
	runUnexpected                      // the response is neither a stream of events nor one of those above
	runUnresumable                     // the upstream refused to go on after the item's last event
)

// String returns the value of the log field "end".
func (e runOutcome) String() string {
	return [...]string{"done", "failed", "hopeless", "turned_away", "broke_off", "silent", "paused", "malformed", "unbounded", "unexpected", "unresumable"}[e]
}

// interrupted reports whether the upstream didn't respond to the run in full, so that it is
// best run elsewhere.
func (e runOutcome) interrupted() bool { return e.failed() || e == runSilent }

// failed reports whether the upstream caused the failure of the run.
func (e runOutcome) failed() bool {
	switch e {
	case runFailed, runTruncated, runMalformed, runUnbounded, runUnexpected, runUnresumable:
		return true
	}
	return false
}

// reflectsHealth reports whether outlier detection counts the run.
func (e runOutcome) reflectsHealth() bool { return e.failed() || e == runDone || e == runUnprocessable }

// progress is the output of an item so far.
type progress struct {
	output   []byte
	events   int
	comments int // events of the current run that have neither an id nor data
	lastID   string
	noEvent  bool // the connection of the current run ended before an event
}

// runItem runs the item once in the slot and records the outcome.
func (r *Runner) runItem(ctx context.Context, i *item, route *fleet.Route, slot *entry.Slot) {
	r.mu.Lock()
	p := progress{output: i.output, events: i.events, lastID: i.lastID}
	idleTimeout := i.idleTimeout()
	evidence := newPartEvidence(i)
	r.mu.Unlock()
	started := time.Now()
	outcome, err := r.streamItem(ctx, i, slot, idleTimeout, &p, &evidence)
	if ctx.Err() != nil && outcome != runDone {
		outcome = runPreempted
	}
	reportOutcome(slot, outcome, idleTimeout)
	slot.Release()
	took := time.Since(started)
	cause := entry.BreakUnknown
	switch broken := evidence.brokenRun(); {
	case outcome == runTruncated:
		cause = slot.ReportBrokenItemRun(ctx, i.ID, broken)
	case broken != nil && !broken.Sound && (outcome == runSilent || outcome == runPreempted):
		slot.ReportAbandonedRun(*broken, outcome == runSilent)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	i.cancelRun, i.slot = nil, nil
	r.endProbe(i, outcome != runSilent && (outcome != runTruncated || cause != entry.BreakUnknown))
	if i.state != itemRunning {
		return // cancelled, or finished by another host
	}
	if p.events > i.events {
		i.ranFor += took
	}
	if outcome == runDone {
		r.stats.observe(i.ranFor, p.events)
	}
	r.recordOutcome(i, route, outcome, cause, p)
	if outcome.interrupted() {
		i.recordFailureAt(slot.Upstream.ID)
	}
	fields := logrus.Fields{
		"event": "item_run_ended", "job": i.job.id, "id": i.ID, "upstream": slot.Upstream.ID, "end": outcome.String(),
		"events": i.events, "took_ms": took.Milliseconds(), "due_in_ms": time.Until(i.job.due).Milliseconds(), "error": err,
	}
	if outcome.interrupted() {
		fields["fingerprint"], fields["breaks"], fields["upstream_state"] = i.fingerprint(), i.breaks, cause
	}
	r.log.WithFields(fields).Info("item run ended")
	signal(r.work)
}

// reportOutcome reports what a run shows of its upstream.
func reportOutcome(slot *entry.Slot, outcome runOutcome, idleTimeout time.Duration) {
	if outcome == runTruncated || outcome == runMalformed || outcome == runUnbounded {
		slot.ReportFailure()
	}
	if outcome == runSilent {
		slot.ReportSilence(idleTimeout)
	}
	if outcome.reflectsHealth() {
		slot.ReportRunResult(outcome.failed())
	}
}

// recordOutcome updates the item after a run and schedules its next run, if any. The
// cause is that of a truncated run. The caller holds mu.
func (r *Runner) recordOutcome(i *item, route *fleet.Route, outcome runOutcome, cause entry.BreakCause, p progress) {
	progressed := i.updateProgress(outcome, p)
	i.state = itemWaiting
	now := time.Now()
	switch outcome {
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
			r.giveUpItem(i, "it reached the route's maximum number of attempts")
			return
		}
		i.notBefore = now.Add(failureBackoff)
	case runRefused, runPreempted:
		i.notBefore = now.Add(rerouteDelay)
	case runTruncated, runSilent, runMalformed, runUnbounded, runUnexpected, runUnresumable:
		if !progressed {
			i.breaks++
			if outcome == runSilent {
				i.silences++
			}
		}
		i.notBefore = now.Add(retryDelay(i.breaks, cause))
	}
}

// updateProgress keeps the events of a run, or drops those of the item if upstreams don't
// go on after them. It reports whether the run added any.
func (i *item) updateProgress(outcome runOutcome, p progress) bool {
	if (outcome == runUnexpected || outcome == runMalformed || p.noEvent) && i.lastID != "" {
		i.unresumed++
	}
	if outcome == runUnresumable || i.unresumed >= maxUnresumed {
		i.output, i.events, i.lastID, i.unresumed = nil, 0, "", 0
		i.ranFor = 0
		return false
	}
	if outcome == runMalformed {
		return false
	}
	progressed := p.events > i.events
	i.output, i.events, i.lastID = p.output, p.events, p.lastID
	if progressed {
		i.breaks, i.silences, i.unresumed, i.failedAt = 0, 0, 0, nil
	}
	return progressed
}

// recordFailureAt notes that the upstream failed a run of the item.
func (i *item) recordFailureAt(id string) {
	others := slices.DeleteFunc(slices.Clone(i.failedAt), func(other string) bool { return other == id })
	others = others[max(len(others)+1-maxFailedAt, 0):]
	i.failedAt = append(others, id)
}

// retryDelay returns the time until the next run of an item whose run broke off or had an
// unexpected response. In a burst of crashes, an event before each of them doesn't make
// it short.
func retryDelay(breaks int, cause entry.BreakCause) time.Duration {
	if breaks == 0 && cause != entry.UpstreamEnded {
		return rerouteDelay
	}
	delay := failureBackoff
	for n := 1; n < breaks && delay < maxBackoff; n++ {
		delay *= 2
	}
	return min(delay, maxBackoff)
}

// idleTimeout returns the idle timeout of the item's next run. An upstream may take longer
// than the first limit to its first byte, or pause together with all others. It grows with
// each second silence, so that several upstreams that hang don't take the item's time.
func (i *item) idleTimeout() time.Duration {
	limit := itemIdleTimeout
	for n := 0; n < i.silences/2 && limit < maxIdleTimeout; n++ {
		limit *= 2
	}
	return min(limit, maxIdleTimeout)
}

// streamItem sends the item to the upstream and reads the response's events into
// p.
func (r *Runner) streamItem(ctx context.Context, i *item, slot *entry.Slot, idleTimeout time.Duration, p *progress, evidence *partEvidence) (runOutcome, error) {
	header := http.Header{}
	for name, value := range i.Header {
		header.Set(name, value)
	}
	response, err := r.upstreams.Do(ctx, entry.Call{
		Upstream: slot.Upstream, ID: i.ID, Method: http.MethodPost, Target: i.Path, Host: i.job.record.Host, Team: i.job.record.Team,
		Header: header, Body: i.Body, TimeLeft: r.remainingTime(i), ResumeAfter: p.lastID, IdleTimeout: idleTimeout, NewConnection: evidence.probes,
	})
	evidence.observeSend(err)
	if err != nil {
		return sendOutcome(ctx, slot, err), err
	}
	defer func() { _ = response.Body.Close() }()
	slot.ReportLeaving(response)
	slot.ReportLoad(response.Load)
	switch {
	case response.NotRun && response.Moved:
		slot.ReportFailure()
		return runRefused, nil
	case response.NotRun:
		slot.ReportFull()
		return runRefused, nil
	case response.Status == http.StatusUnprocessableEntity:
		return runUnprocessable, nil
	case response.Status == http.StatusInternalServerError:
		return runFailed, errors.New("upstream responded with status 500")
	case p.lastID != "" && refusesResume(response.Status):
		return runUnresumable, errors.Errorf("upstream responded with status %d to a run that resumes after event %q; the item starts again", response.Status, p.lastID)
	case response.Status != http.StatusOK:
		return runUnexpected, errors.Errorf("upstream responded with status %d", response.Status)
	case !response.Events:
		return runUnexpected, errors.New("upstream responded without an event stream")
	}
	slot.ReportSuccess()
	slot.CheckItemEnd(ctx, response, i.ID)
	timer := slot.TimeEvents(time.Time{}) // the prompts of items differ from those of online requests
	outcome, err := readEvents(response, p, maxEvents(i.Tokens), func(events []eventstream.Event) {
		timer.Observe(events, time.Now())
		if evidence.answer.Observe(events, time.Now()) {
			r.reportAnswered(i, evidence)
		}
	})
	if outcome == runDone {
		r.reportEndOfRun(i, slot, response, evidence)
	}
	return outcome, err
}

// refusesResume reports whether the status says that the id of the last event, or the state
// that it refers to, is unusable. Any other status may have a cause at the upstream.
func refusesResume(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusConflict, http.StatusGone, http.StatusPreconditionFailed, http.StatusRequestedRangeNotSatisfiable:
		return true
	}
	return false
}

// sendOutcome returns the outcome of a run that failed before the response
// headers.
func sendOutcome(ctx context.Context, slot *entry.Slot, err error) runOutcome {
	var sendErr *entry.SendError
	notRun := errors.As(err, &sendErr) && sendErr.NotRun
	if !notRun && isIdleTimeout(err) {
		return runSilent
	}
	if ctx.Err() == nil {
		slot.ReportUnreachable()
	}
	switch {
	case notRun:
		return runRefused
	case readlimit.IsExceeded(err):
		return runUnbounded
	}
	return runTruncated
}

// isIdleTimeout reports whether the error of a call or a body means that no byte came
// within the idle timeout. A bound of readlimit says that bytes did come.
func isIdleTimeout(err error) bool {
	var netErr net.Error
	return !readlimit.IsExceeded(err) && errors.As(err, &netErr) && netErr.Timeout()
}

// remainingTime returns the time limit for the upstream's work on the item.
func (r *Runner) remainingTime(i *item) time.Duration {
	return max(time.Until(i.job.deadline), time.Second)
}

// maxEvents returns the limit on the events of an item that declares the tokens. An event
// has one token or more; the limit leaves room for events without any.
func maxEvents(tokens int64) int64 {
	if tokens <= 0 {
		return math.MaxInt64
	}
	return 2*tokens + extraEvents
}

// readEvents appends the events of the response to p until the stream ends. Afterwards p is
// empty if the item must start again, because its output exceeds a limit or no run can go on
// after its last event. The function observe is called with the events as they arrive.
func readEvents(response *entry.Response, p *progress, maxEvents int64, observe func([]eventstream.Event)) (runOutcome, error) {
	sequence := eventstream.NewResumableSequence(p.lastID)
	outcome, err := appendEvents(response.Body, &sequence, p, maxEvents, observe)
	if outcome == runDone {
		outcome, err = endOutcome(response, sequence.RunLen(), p)
	}
	if outcome != runDone && !sequence.CanResume() {
		*p = progress{}
	}
	return outcome, err
}

// endOutcome returns the outcome of a run whose stream ended after the number of events.
// Without an event, the end of a body that isn't delimited may be that of the upstream.
func endOutcome(response *entry.Response, events int64, p *progress) (runOutcome, error) {
	if err := (bodyend.End{Delimited: response.Delimited, NoEvent: events == 0}).Check(); err != nil {
		p.noEvent = true
		return runTruncated, err
	}
	if p.events == 0 {
		return runUnexpected, errors.New("the stream ended without an event")
	}
	return runDone, nil
}

// appendEvents appends events to p until the stream ends.
func appendEvents(body io.Reader, sequence *eventstream.Sequence, p *progress, maxEvents int64, observe func([]eventstream.Event)) (runOutcome, error) {
	events := eventstream.NewReader(body)
	for {
		batch, err := events.Next()
		switch {
		case errors.Is(err, io.EOF):
			return runDone, nil
		case readlimit.IsExceeded(err):
			return runUnbounded, err
		case isIdleTimeout(err):
			return runSilent, err
		case err != nil:
			return runTruncated, err
		}
		observe(batch)
		for _, e := range batch {
			if err := sequence.Add(e); err != nil {
				return runMalformed, err
			}
			p.add(e)
			if err := p.checkLimits(maxEvents); err != nil {
				*p = progress{}
				return runUnbounded, err
			}
		}
	}
}

func (p *progress) checkLimits(maxEvents int64) error {
	switch {
	case len(p.output) > maxOutputBytes:
		return &readlimit.SizeError{What: "the output of an item", Limit: maxOutputBytes}
	case int64(p.events+p.comments) > maxEvents:
		return &readlimit.CountError{What: "events of an item", Limit: maxEvents}
	}
	return nil
}

// add appends the event's data to the output. Comments, which upstreams send while they have
// no event, are no part of it.
func (p *progress) add(e eventstream.Event) {
	if e.ID == "" && e.Data == nil {
		p.comments++
		return
	}
	if p.events > 0 {
		p.output = append(p.output, '\n')
	}
	p.output = append(p.output, e.Data...)
	p.events++
	if e.ID != "" {
		p.lastID = e.ID
	}
}
