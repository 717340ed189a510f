package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/eventstream"
)

// writeMargin is the time after a request's deadline in which the caller may still read
// what was sent before.
const writeMargin = 500 * time.Millisecond

// relayEvents relays an event stream event by event. If the upstream truncates the
// stream, the request is resumed at another upstream where the route allows it.
func (h *Handler) relayEvents(ctx context.Context, r *request, slot *Slot, resp *Response, w http.ResponseWriter) (bool, error) {
	if r.route.Repeatable() {
		resp.Header.Del("Content-Length") // of one run; the stream may be resumed
	}
	r.answer.events.StartRun()
	events := eventstream.NewReader(resp.Body)
	timer := slot.TimeEvents(r.attemptAt)
	for {
		timer.Await(time.Now())
		batch, err := events.Next()
		if errors.Is(err, io.EOF) {
			if err = r.answer.checkEnd(resp); err == nil {
				return false, r.endAnswer(w, resp, events.Rest())
			}
		}
		if err != nil {
			return h.handleTruncation(ctx, r, slot, err)
		}
		timer.Observe(batch, time.Now())
		h.observeEvents(r, batch)
		orderErr, err := r.writeEvents(w, resp, batch)
		if err != nil {
			return false, err
		}
		if !r.answer.events.CanResume() {
			r.watch.forbidMove()
		}
		if r.answer.begun { // a flush would send a header
			if err := http.NewResponseController(w).Flush(); err != nil {
				return false, callerGoneError(err)
			}
		}
		if orderErr != nil { // the events before it were flushed, since the next run may take long
			return h.handleTruncation(ctx, r, slot, orderErr)
		}
	}
}

// writeEvents writes the events up to the first that is out of order, whose error is
// orderErr.
func (r *request) writeEvents(w http.ResponseWriter, resp *Response, batch []eventstream.Event) (orderErr, err error) {
	for _, e := range batch {
		if err := r.answer.events.Add(e); err != nil {
			return err, nil
		}
		if err := r.sendHeader(w, resp); err != nil {
			return nil, err
		}
		if _, err := w.Write(e.Raw); err != nil {
			return nil, callerGoneError(err)
		}
	}
	return nil, nil
}

// callerGoneError returns the error of a response that can't be written to the caller.
func callerGoneError(err error) error {
	return apierr.New(apierr.Cancelled, "the caller disconnected", "").MayHaveRun().WithCause(err)
}

// truncationError returns the error of a request whose upstream truncated its response.
func truncationError(err error) error {
	return apierr.New(apierr.Unknown, "the upstream broke off its answer", "send the request again only if it may run twice").MayHaveRun().WithCause(err)
}

// recordTruncation records that the upstream truncated a response.
func (h *Handler) recordTruncation(ctx context.Context, r *request, slot *Slot, err error) {
	if ctx.Err() == nil {
		slot.ReportFailure()
		slot.ReportRunResult(true)
		r.reportBreak(ctx, slot, true)
	} else {
		r.reportAbandoned(slot, true)
	}
	h.metrics.Attempts.WithLabelValues("broken_off").Inc()
	h.log.WithFields(r.endFields(ctx, "stream_broke_off", err)).WithField("after_event", r.answer.events.LastID()).Info("upstream truncated a response")
}

// handleTruncation records a truncated response. It reports whether the request may be
// retried at another upstream.
func (h *Handler) handleTruncation(ctx context.Context, r *request, slot *Slot, err error) (bool, error) {
	if r.watch.hasMoved() {
		r.reportAbandoned(slot, true)
		h.metrics.Attempts.WithLabelValues("silent").Inc()
		return ctx.Err() == nil, silenceError(err)
	}
	h.recordTruncation(ctx, r, slot, err)
	return r.mayRetry() && ctx.Err() == nil, truncationError(err)
}

// relayBody relays a response that isn't a stream. The body is buffered up to
// responseBufferBytes before the first write, so that the request can be retried if
// the upstream truncates the response. The length of a body is not limited: the rest
// is relayed at the caller's pace until the request's deadline and takes no memory.
func (h *Handler) relayBody(ctx context.Context, r *request, slot *Slot, resp *Response, w http.ResponseWriter) (bool, error) {
	head, err := h.buffers.ReadPrefix(resp.Body, responseBufferBytes)
	if err != nil {
		return h.handleTruncation(ctx, r, slot, err)
	}
	defer head.Release()
	if err := checkDocument(resp, head); err != nil {
		return h.handleTruncation(ctx, r, slot, err)
	}
	r.watch.forbidMove() // what was sent can't be taken back
	if err := r.sendHeader(w, resp); err != nil {
		return false, err
	}
	if _, err := head.WriteTo(w); err != nil {
		return false, callerGoneError(err)
	}
	if head.Complete {
		return false, r.endAnswer(w, resp, nil)
	}
	rest := &errorRecorder{Reader: resp.Body}
	if _, err = io.Copy(w, rest); err == nil {
		return false, r.endAnswer(w, resp, nil)
	}
	if rest.err == nil {
		return false, callerGoneError(err)
	}
	h.recordTruncation(ctx, r, slot, rest.err)
	return false, truncationError(rest.err)
}

// errorRecorder keeps the error of a Reader apart from those of the writer it is
// copied to.
type errorRecorder struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (e *errorRecorder) Read(p []byte) (int, error) {
	n, err := e.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		e.err = err
	}
	return n, err
}
