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
	maxAnswerBytes   = 64 << 20
	eventSilence     = 30 * time.Second // between events, before the stream counts as broken
	relayBufferBytes = 32 << 10
)

var terminalEvent = []byte("data: [DONE]")

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

// relayWhole reads the whole answer before the first byte goes out, so that a
// broken one becomes an error and never a short answer.
func (g *Gateway) relayWhole(w http.ResponseWriter, answer *dispatch.Answer) outcome.Outcome {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	answer.End(dispatch.Ending{Failed: err != nil})
	if err != nil {
		o := outcome.FromError(brokenAnswer(err))
		writeError(w, o.Err)
		return o
	}
	copyHeader(w, answer.Header)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(body)
	return outcome.Outcome{State: outcome.Answered, Status: answer.Status}
}

func brokenAnswer(cause error) *apierr.Error {
	return apierr.New(apierr.UpstreamError, "the upstream's answer broke off", "send the request again if running it twice does no harm").
		MayHaveRun().WithCause(cause).WithRetryAfter(time.Second)
}

// relayStream passes events on as they come. A stream without its terminal
// event ends with an error event, never as if it were complete.
func (g *Gateway) relayStream(ctx context.Context, w http.ResponseWriter, answer *dispatch.Answer) outcome.Outcome {
	copyHeader(w, answer.Header)
	w.WriteHeader(answer.Status)
	flush := http.NewResponseController(w).Flush
	silence := time.AfterFunc(eventSilence, func() { _ = answer.Body.Close() })
	defer silence.Stop()
	lines := bufio.NewReaderSize(answer.Body, relayBufferBytes)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil && err != bufio.ErrBufferFull {
			return g.truncated(ctx, w, answer, err)
		}
		silence.Reset(eventSilence)
		if _, werr := w.Write(line); werr != nil {
			answer.End(dispatch.Ending{})
			return callerGone(werr)
		}
		if bytes.HasPrefix(line, terminalEvent) {
			_, _ = w.Write([]byte("\n"))
			_ = flush()
			answer.End(dispatch.Ending{})
			return outcome.Outcome{State: outcome.Answered, Status: answer.Status}
		}
		if len(line) <= 1 {
			_ = flush()
		}
	}
}

func callerGone(cause error) outcome.Outcome {
	e := apierr.New(apierr.Cancelled, "the caller went away", "").MayHaveRun().WithCause(cause)
	return outcome.Outcome{State: outcome.Truncated, Status: e.Status(), Err: e}
}

// truncated tells the caller, in the stream's own form, that the answer is not
// whole.
func (g *Gateway) truncated(ctx context.Context, w http.ResponseWriter, answer *dispatch.Answer, cause error) outcome.Outcome {
	answer.End(dispatch.Ending{Failed: ctx.Err() == nil})
	e, withdrawn := withdrawnKey(ctx)
	switch {
	case withdrawn:
	case ctx.Err() == context.Canceled:
		return callerGone(cause)
	default:
		e = brokenAnswer(cause)
	}
	data, _ := json.Marshal(errorBody{Error: detailOf(e)})
	_, _ = fmt.Fprintf(w, "\nevent: error\ndata: %s\n\n", data)
	_ = http.NewResponseController(w).Flush()
	return outcome.Outcome{State: outcome.Truncated, Status: answer.Status, Err: e}
}
