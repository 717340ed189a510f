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
	drainTimeout     = 100 * time.Millisecond // for the rest of a stream after its terminal event
	maxDrainBytes    = 4 << 10
	deadlineInterval = time.Second
)

var (
	dataField    = []byte("data:")
	terminalData = []byte("[DONE]")
	usageField   = []byte(`"usage"`)
)

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// responseHeaders are the upstream's response headers that are passed to callers.
var responseHeaders = []string{"Content-Type", "Content-Language", "Cache-Control", "Etag", "Last-Modified", "Location", "Retry-After"}

func copyResponseHeader(w http.ResponseWriter, from http.Header) {
	for _, name := range responseHeaders {
		if values := from.Values(name); len(values) > 0 {
			w.Header()[name] = values
		}
	}
}

func truncatedResponseError(cause error) *apierr.Error {
	return apierr.New(apierr.UpstreamError, "the upstream's answer broke off", "send the request again if running it twice does no harm").
		MayHaveRun().WithCause(cause).WithRetryAfter(time.Second)
}

// stream relays one event stream to a caller.
type stream struct {
	w           http.ResponseWriter
	response    *dispatch.Response
	idleTimeout time.Duration
	body        *idleTimeoutReader
	lines       *bufio.Reader
	usage       outcome.Usage
	events      int
	midLine     bool // the last read ended within a line

	deadlineSetAt time.Time // when the write deadline was last extended
}

// beginStream waits for the first byte of the response's body. Until then
// nothing has been sent to the caller and the request can still be retried.
func beginStream(w http.ResponseWriter, response *dispatch.Response, idleTimeout time.Duration) (*stream, error) {
	body := newIdleTimeoutReader(response.Body, idleTimeout)
	s := &stream{w: w, response: response, idleTimeout: idleTimeout, body: body, lines: bufio.NewReaderSize(body, relayBufferBytes)}
	if _, err := s.lines.Peek(1); err != nil {
		body.stop()
		return nil, err
	}
	return s, nil
}

// relay forwards events as they arrive. A stream without its terminal event
// ends with an error event, so that it cannot be mistaken for a complete one.
// With readToEnd the stream is read to its end even if the caller disconnects.
func (s *stream) relay(ctx context.Context, readToEnd bool) outcome.Outcome {
	defer s.body.stop()
	copyResponseHeader(s.w, s.response.Header)
	s.w.WriteHeader(s.response.Status)
	var writeErr error
	for {
		line, err := s.lines.ReadSlice('\n')
		if err != nil && err != bufio.ErrBufferFull {
			return s.fail(ctx, err)
		}
		if writeErr == nil || readToEnd {
			writeErr = firstError(writeErr, s.writeLine(line))
		}
		if writeErr != nil && !readToEnd {
			s.closeResponse(false)
			return clientDisconnected(writeErr)
		}
		if s.observe(line, err == nil) {
			return s.finish(writeErr, readToEnd)
		}
	}
}

// writeLine writes a line and flushes at the end of an event.
func (s *stream) writeLine(line []byte) error {
	s.extendDeadline()
	if len(line) > 0 && !s.midLine && len(bytes.TrimRight(line, "\r\n")) == 0 {
		if _, err := s.w.Write(line); err != nil {
			return err
		}
		return http.NewResponseController(s.w).Flush()
	}
	_, err := s.w.Write(line)
	return err
}

// extendDeadline extends the write deadline, at most once per deadlineInterval.
func (s *stream) extendDeadline() {
	now := time.Now()
	if now.Sub(s.deadlineSetAt) < deadlineInterval {
		return
	}
	s.deadlineSetAt = now
	extendWriteDeadline(s.w)
}

// observe counts events, records the usage, and reports whether the line is the
// terminal event.
func (s *stream) observe(line []byte, lineEnds bool) bool {
	startsLine := !s.midLine
	s.midLine = !lineEnds
	data, ok := bytes.CutPrefix(line, dataField)
	if !ok || !startsLine {
		return false
	}
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, terminalData) {
		return true
	}
	s.events++
	if lineEnds && bytes.Contains(data, usageField) {
		s.readUsage(data)
	}
	return false
}

func (s *stream) readUsage(data []byte) {
	if u := outcome.ReadUsage(data); u.Total() > 0 {
		s.usage = u
	}
}

func (s *stream) closeResponse(failed bool) outcome.Usage {
	u := s.usage
	if u.Total() == 0 {
		u.Generated = s.events
	}
	s.response.End(dispatch.ReadResult{Failed: failed, Usage: u})
	return u
}

// finish ends a complete stream. It drains the body after the terminal event
// for a short time, so that the connection can be reused.
func (s *stream) finish(writeErr error, readToEnd bool) outcome.Outcome {
	if writeErr == nil || readToEnd {
		writeErr = firstError(writeErr, s.writeLine([]byte("\n")))
	}
	s.body.timeout = drainTimeout
	_, _ = io.CopyN(io.Discard, s.lines, maxDrainBytes)
	u := s.closeResponse(false)
	if writeErr != nil {
		o := clientDisconnected(writeErr)
		o.Tokens = u
		return o
	}
	return outcome.Outcome{State: outcome.Answered, Status: s.response.Status, Tokens: u}
}

func firstError(earlier, later error) error {
	if earlier != nil {
		return earlier
	}
	return later
}

func clientDisconnected(cause error) outcome.Outcome {
	e := apierr.New(apierr.Cancelled, "the caller went away", "").MayHaveRun().WithCause(cause)
	return outcome.Outcome{State: outcome.Truncated, Status: e.Status(), Err: e}
}

// fail ends a truncated stream with an error event in the stream's own format.
func (s *stream) fail(ctx context.Context, cause error) outcome.Outcome {
	u := s.closeResponse(ctx.Err() == nil)
	e, withdrawn := keyWithdrawn(ctx)
	switch {
	case withdrawn:
	case ctx.Err() == context.Canceled:
		return clientDisconnected(cause)
	case ctx.Err() == context.DeadlineExceeded:
		e = apierr.New(apierr.Timeout, "the request's time ran out in mid-answer", "ask for fewer tokens, or have the time limit raised").
			MayHaveRun().WithCause(cause)
	default:
		e = truncatedResponseError(cause)
	}
	extendWriteDeadline(s.w)
	data, _ := json.Marshal(errorBody{Error: newErrorDetail(e)})
	_, _ = fmt.Fprintf(s.w, "\n\nevent: error\ndata: %s\n\n", data)
	_ = http.NewResponseController(s.w).Flush()
	return outcome.Outcome{State: outcome.Truncated, Status: s.response.Status, Err: e, Tokens: u}
}
