package entry

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/bodyend"
	"github.com/masticscale/masticscale/internal/eventstream"
	"github.com/masticscale/masticscale/internal/fleet"
)

// answer is what the caller of a request has received. It consists of the response of one
// upstream or, for a resumable event stream, of the responses of several. The header is
// that of the first one.
//
// An answer is complete only once endAnswer was called. Serve returns an error for any
// other, so that its caller can tell that it isn't.
type answer struct {
	begun     bool // the header was sent
	complete  bool
	firstByte time.Duration // from the start of the request until the header was sent
	events    eventstream.Sequence
}

// newAnswer returns the answer to a request on the route. The caller may have the events up
// to the one with the id.
func newAnswer(route *fleet.Route, afterID string) answer {
	if route.Resumable {
		return answer{events: eventstream.NewResumableSequence(afterID)}
	}
	return answer{events: eventstream.NewSequence(afterID)}
}

// checkContinues returns an error if an answer has begun and the response can't continue
// it: only an event stream can.
func (a *answer) checkContinues(resp *Response) error {
	if !a.begun || resp.isEventStream() {
		return nil
	}
	return errors.Errorf("status %d (event stream: %t) does not continue the stream after event %q", resp.Status, resp.Events, a.events.LastID())
}

// checkEnd returns an error unless the end of an event stream's body completes the answer. A
// connection that closes before the first event of its run doesn't show that the upstream
// has finished.
func (a *answer) checkEnd(resp *Response) error {
	return bodyend.End{Delimited: resp.Delimited, NoEvent: a.events.RunLen() == 0}.Check()
}

// isEventStream reports whether the response is relayed event by event. An error that is
// sent as an event stream isn't.
func (r *Response) isEventStream() bool { return r.Events && r.Status == http.StatusOK }

// sendHeader sends the response header unless an earlier attempt has sent one. A
// resumed stream keeps the header of the first upstream. From then on the caller must read
// the response until shortly after the deadline: a caller that doesn't would hold the slot
// for good. net/http ends this limit with the response.
func (r *request) sendHeader(w http.ResponseWriter, resp *Response) error {
	if r.answer.begun {
		return nil
	}
	err := http.NewResponseController(w).SetWriteDeadline(r.deadline.Add(writeMargin))
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return callerGoneError(err)
	}
	r.answer.begun = true
	r.answer.firstByte = time.Since(r.started)
	header := w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	w.WriteHeader(resp.Status)
	return nil
}

// endAnswer completes the answer with the rest of the response, whose end was read.
func (r *request) endAnswer(w http.ResponseWriter, resp *Response, rest []byte) error {
	if err := r.sendHeader(w, resp); err != nil {
		return err
	}
	if _, err := w.Write(rest); err != nil {
		return callerGoneError(err)
	}
	r.answer.complete = true
	return nil
}

// handleDiscontinuity records a response that doesn't continue the answer that has begun.
// It reports whether the request may be resumed at another upstream. A status below 500 may
// be right at all upstreams of the route, and doesn't count against this one.
func (h *Handler) handleDiscontinuity(r *request, slot *Slot, resp *Response, err error) (bool, error) {
	if resp.Status >= http.StatusInternalServerError {
		slot.ReportRunResult(true)
	}
	h.metrics.Attempts.WithLabelValues("not_continued").Inc()
	h.log.WithFields(logrus.Fields{"event": "stream_not_continued", "id": r.ID, "fingerprint": r.fingerprint(), "upstream": r.upstream, "after_event": r.answer.events.LastID(), "error": err}).
		Info("upstream did not continue a stream that had begun")
	return r.mayRetry(), truncationError(err)
}
