package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/quarantine"
	"github.com/masticscale/masticscale/internal/telemetry"
)

// attemptAndRelease is attempt, and gives back the slot, also after a panic.
func (h *Handler) attemptAndRelease(ctx context.Context, r *request, slot *Slot, w http.ResponseWriter) (bool, error) {
	defer slot.Release()
	return h.attempt(ctx, r, slot, w)
}

// attempt sends the request once. It reports whether the request may be retried at
// another upstream.
func (h *Handler) attempt(ctx context.Context, r *request, slot *Slot, w http.ResponseWriter) (bool, error) {
	ctx, span := telemetry.Tracer().Start(ctx, "upstream")
	defer span.End()
	r.attemptAt, r.status, r.eventStream = time.Now(), 0, false
	r.answering = AnswerWatch{}
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	newConnection := r.needsNewConnection(slot)
	r.watch = h.watchSilence(r, slot, cancel)
	defer func() { r.next = h.endWatch(ctx, r, slot) }()
	resp, err := h.upstreams.Do(attemptCtx, Call{
		Upstream: slot.Upstream, ID: r.ID, Method: r.Method, Target: r.Target, Host: r.Host, Team: r.team.Name,
		Header: r.Header, Body: r.Body, TimeLeft: time.Until(r.deadline) - replyMargin,
		ResumeAfter: r.answer.events.LastID(), NewConnection: newConnection,
	})
	r.watch.endWait(err == nil)
	if err != nil {
		return h.handleSendError(ctx, r, slot, err)
	}
	return h.handleResponse(ctx, r, slot, resp, w)
}

// needsNewConnection reports whether the next attempt must not use a kept connection: that
// may be dead or, at an upstream that has failed the request before, a late response to that
// attempt may arrive on it, which bears the request's id.
func (r *request) needsNewConnection(slot *Slot) bool {
	return r.suspicion > quarantine.Clear || r.hasSuspectPart || r.watch.hasMoved() || r.excluded[slot.Upstream.ID] || slot.AtSilentUpstream()
}

// handleResponse relays the response, unless the request has not run or may be retried.
func (h *Handler) handleResponse(ctx context.Context, r *request, slot *Slot, resp *Response, w http.ResponseWriter) (bool, error) {
	defer func() { _ = resp.Body.Close() }()
	slot.ReportLeaving(resp)
	slot.ReportLoad(resp.Load)
	r.status, r.eventStream = resp.Status, resp.Events
	if resp.NotRun {
		h.reportRejection(r, slot, resp)
		h.metrics.Attempts.WithLabelValues("turned_away").Inc()
		return true, apierr.New(apierr.Overloaded, "the upstreams turned the request away", "send it again after the stated time").
			WithRetryAfter(h.core.retryAfter(time.Until(r.deadline)))
	}
	r.runs++
	slot.ReportSuccess()
	if err := r.answer.checkContinues(resp); err != nil {
		return h.handleDiscontinuity(r, slot, resp, err)
	}
	failed := resp.Status >= http.StatusInternalServerError
	if failed {
		slot.ReportRunResult(true)
	}
	if failed && r.mayRetry() {
		return true, h.serverError(r, resp)
	}
	if impliesNotRun(resp.Status) {
		return false, apierr.Newf(apierr.UpstreamError, "send the request again only if it may run twice",
			"upstream %s answered with status %d, though it may have run the request", r.upstream, resp.Status).MayHaveRun()
	}
	resp.Body = &watchedBody{ReadCloser: resp.Body, watch: r.watch, onBytes: r.judgeSilentRun}
	slot.checkEnd(ctx, resp, r.ID) // not a wait for bytes of the upstream
	relay := h.relayBody
	if resp.isEventStream() {
		relay = h.relayEvents
	}
	retry, err := relay(ctx, r, slot, resp, w)
	if apierr.IsKind(err, apierr.Cancelled) {
		r.reportAbandoned(slot, true)
	}
	if err == nil && !failed {
		slot.ReportRunResult(false)
	}
	if err == nil {
		h.reportEndOfRun(r, slot, resp)
	}
	return retry, err
}

// impliesNotRun reports whether callers take the status to mean that the request was
// not run. If the upstream didn't mark the response as not run, such a status is
// replaced by an error.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// mayRetry reports whether the route allows another run.
func (r *request) mayRetry() bool {
	return r.route.Repeatable() && r.runs < max(r.route.MaxAttempts, 1)
}

// serverError counts a 5xx response and returns the error of the request if no
// retry succeeds.
func (h *Handler) serverError(r *request, resp *Response) error {
	h.metrics.Attempts.WithLabelValues("upstream_error").Inc()
	return apierr.Newf(apierr.UpstreamError, "send it again if it may run twice", "upstream %s answered with status %d", r.upstream, resp.Status).MayHaveRun()
}

func (h *Handler) handleSendError(ctx context.Context, r *request, slot *Slot, err error) (bool, error) {
	var send *SendError
	notRun := errors.As(err, &send) && send.NotRun
	wasNew := send != nil && send.NewConnection
	h.log.WithFields(r.endFields(ctx, "attempt_failed", err)).WithField("not_run", notRun).Info("an attempt failed")
	if r.watch.hasMoved() && !notRun {
		r.runs++
		r.reportAbandoned(slot, wasNew)
		h.metrics.Attempts.WithLabelValues("silent").Inc()
		return true, silenceError(err)
	}
	if ctx.Err() == nil && !errors.Is(err, ErrDeadlineExceeded) {
		slot.ReportUnreachable()
	}
	h.metrics.Attempts.WithLabelValues("failed").Inc()
	if notRun {
		r.barred[slot.Upstream.ID] = true
		return true, apierr.New(apierr.Unavailable, "the upstreams can't be reached", "send the request again after the stated time").
			WithRetryAfter(h.core.retryAfter(time.Until(r.deadline))).WithCause(err)
	}
	r.runs++
	if ctx.Err() == nil {
		slot.ReportRunResult(true)
		r.reportBreak(ctx, slot, wasNew)
	} else {
		r.reportAbandoned(slot, wasNew)
	}
	return r.route.Repeatable(), apierr.New(apierr.Unknown, "the upstream did not answer, and the request may have run", "send it again only if it may run twice").
		MayHaveRun().WithCause(err)
}

// endFields describes the end of the last attempt for logs.
func (r *request) endFields(ctx context.Context, event string, err error) logrus.Fields {
	return logrus.Fields{
		"event": event, "id": r.ID, "fingerprint": r.fingerprint(), "upstream": r.upstream,
		"ended_by": r.endedBy(ctx), "ran_ms": time.Since(r.attemptAt).Milliseconds(), "error": err,
	}
}

// endedBy names who ended the last attempt.
func (r *request) endedBy(ctx context.Context) string {
	switch {
	case r.watch.hasMoved():
		return "silence"
	case ctx.Err() != nil:
		return "caller_or_deadline"
	}
	return "upstream"
}

// reportBreak reports that the connection of the last attempt broke. The request doesn't
// go back to an upstream that may have crashed.
func (r *request) reportBreak(ctx context.Context, slot *Slot, wasAlive bool) {
	if slot.ReportBrokenRun(ctx, r.brokenRun(wasAlive)) != UpstreamAlive {
		r.barred[slot.Upstream.ID] = true
	}
}

// reportAbandoned reports that this host ended the last attempt.
func (r *request) reportAbandoned(slot *Slot, wasAlive bool) {
	slot.ReportAbandonedRun(r.brokenRun(wasAlive), r.watch.hasMoved())
}

func (h *Handler) reportRejection(r *request, slot *Slot, resp *Response) {
	if resp.Moved {
		r.barred[slot.Upstream.ID] = true
		slot.ReportFailure()
		return
	}
	slot.ReportFull()
}
