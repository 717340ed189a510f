package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/outcome"
)

const (
	relayBufferBytes = 32 << 10
	drainBound       = 100 * time.Millisecond // for the end of a stream after its terminal event
	drainBytes       = 4 << 10
	extendInterval   = time.Second
)

var (
	dataField    = []byte("data:")
	terminalData = []byte("[DONE]")
	usageField   = []byte(`"usage"`)
)

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// passHeader are the headers of an answer that callers get.
var passHeader = []string{"Content-Type", "Content-Language", "Cache-Control", "Etag", "Last-Modified", "Location", "Retry-After"}

func copyHeader(w http.ResponseWriter, from http.Header) {
	for _, name := range passHeader {
		if values := from.Values(name); len(values) > 0 {
			w.Header()[name] = values
		}
	}
}

func brokenAnswer(cause error) *apierr.Error {
	return apierr.New(apierr.UpstreamError, "the upstream's answer broke off", "send the request again if running it twice does no harm").
		MayHaveRun().WithCause(cause).WithRetryAfter(time.Second)
}

// stream relays one event stream.
type stream struct {
	w       http.ResponseWriter
	answer  *dispatch.Response
	silence time.Duration
	watch   *silenceWatch
	lines   *bufio.Reader
	usage   outcome.Usage
	counted int
	partial bool // the last piece did not end its line

	extended time.Time // when the caller's write deadline was last moved
}

// beginStream waits for the first byte of the answer's body. Until then nothing
// has gone out and the request may run elsewhere.
func beginStream(w http.ResponseWriter, answer *dispatch.Response, silence time.Duration) (*stream, error) {
	watch := watchSilence(answer.Body, silence)
	s := &stream{w: w, answer: answer, silence: silence, watch: watch, lines: bufio.NewReaderSize(watch, relayBufferBytes)}
	if _, err := s.lines.Peek(1); err != nil {
		watch.stop()
		return nil, err
	}
	return s, nil
}

// relay passes events on as they come. A stream without its terminal event ends
// with an error event, never as if it were complete. With keepOn the stream is
// read to its end when the caller goes away.
func (s *stream) relay(ctx context.Context, keepOn bool) outcome.Outcome {
	defer s.watch.stop()
	copyHeader(s.w, s.answer.Header)
	s.w.WriteHeader(s.answer.Status)
	var gone error
	for {
		line, err := s.lines.ReadSlice('\n')
		if err != nil && err != bufio.ErrBufferFull {
			return s.truncated(ctx, err)
		}
		if gone == nil || keepOn {
			gone = firstOf(gone, s.pass(line))
		}
		if gone != nil && !keepOn {
			s.end(false)
			return callerGone(gone)
		}
		if s.observe(line, err == nil) {
			return s.finish(gone, keepOn)
		}
	}
}

// pass writes a line, and flushes at the end of an event.
func (s *stream) pass(line []byte) error {
	s.extend()
	if len(line) > 0 && !s.partial && len(bytes.TrimRight(line, "\r\n")) == 0 {
		if _, err := s.w.Write(line); err != nil {
			return err
		}
		return http.NewResponseController(s.w).Flush()
	}
	_, err := s.w.Write(line)
	return err
}

// extend moves the caller's write deadline, at most once an interval.
func (s *stream) extend() {
	now := time.Now()
	if now.Sub(s.extended) < extendInterval {
		return
	}
	s.extended = now
	extendWrite(s.w)
}

// observe counts events, reads the usage, and reports the terminal event.
func (s *stream) observe(line []byte, whole bool) bool {
	startsLine := !s.partial
	s.partial = !whole
	data, ok := bytes.CutPrefix(line, dataField)
	if !ok || !startsLine {
		return false
	}
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, terminalData) {
		return true
	}
	s.counted++
	if whole && bytes.Contains(data, usageField) {
		s.readUsage(data)
	}
	return false
}

func (s *stream) readUsage(data []byte) {
	if u := outcome.ReadUsage(data); u.Total() > 0 {
		s.usage = u
	}
}

func (s *stream) end(failed bool) outcome.Usage {
	u := s.usage
	if u.Total() == 0 {
		u.Generated = s.counted
	}
	s.answer.End(dispatch.ReadResult{Failed: failed, Usage: u})
	return u
}

// finish ends a whole stream. What follows the terminal event is read for a
// moment, so that the connection can be kept.
func (s *stream) finish(gone error, keepOn bool) outcome.Outcome {
	if gone == nil || keepOn {
		gone = firstOf(gone, s.pass([]byte("\n")))
	}
	s.watch.limit = drainBound
	_, _ = io.CopyN(io.Discard, s.lines, drainBytes)
	u := s.end(false)
	if gone != nil {
		o := callerGone(gone)
		o.Tokens = u
		return o
	}
	return outcome.Outcome{State: outcome.Answered, Status: s.answer.Status, Tokens: u}
}

func firstOf(earlier, later error) error {
	if earlier != nil {
		return earlier
	}
	return later
}

func callerGone(cause error) outcome.Outcome {
	e := apierr.New(apierr.Cancelled, "the caller went away", "").MayHaveRun().WithCause(cause)
	return outcome.Outcome{State: outcome.Truncated, Status: e.Status(), Err: e}
}

// truncated tells the caller, in the stream's own form, that the answer is not
// whole.
func (s *stream) truncated(ctx context.Context, cause error) outcome.Outcome {
	u := s.end(ctx.Err() == nil)
	e, withdrawn := withdrawnKey(ctx)
	switch {
	case withdrawn:
	case ctx.Err() == context.Canceled:
		return callerGone(cause)
	case ctx.Err() == context.DeadlineExceeded:
		e = apierr.New(apierr.Timeout, "the request's time ran out in mid-answer", "ask for fewer tokens, or have the time limit raised").
			MayHaveRun().WithCause(cause)
	default:
		e = brokenAnswer(cause)
	}
	extendWrite(s.w)
	data, _ := json.Marshal(errorBody{Error: detailOf(e)})
	_, _ = fmt.Fprintf(s.w, "\n\nevent: error\ndata: %s\n\n", data)
	_ = http.NewResponseController(s.w).Flush()
	return outcome.Outcome{State: outcome.Truncated, Status: s.answer.Status, Err: e, Tokens: u}
}
