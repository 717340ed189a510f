package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/eventstream"
)

const (
	requestTimeout = 2 * time.Minute
	bytesPerToken  = 4
)

// Outcome classifies how a request ended from the caller's point of view.
type Outcome string

// Outcomes of a request.
const (
	Answered   Outcome = "answered"   // a complete response
	Refused    Outcome = "refused"    // an error response that says that the request was not run
	Failed     Outcome = "failed"     // an error response that leaves open whether the request was run
	Truncated  Outcome = "truncated"  // an incomplete response that the caller can recognize as such
	Misordered Outcome = "misordered" // a stream in which an event is missing, repeated, out of order, or after the end
	Cut        Outcome = "cut"        // the connection failed, or a stream ended without a terminal event
	Dropped    Outcome = "dropped"    // not sent, because too many requests were in flight
)

// sample holds the measurements of one request.
type sample struct {
	team    int
	at      time.Duration // planned start
	outcome Outcome
	kind    string        // error code or reason, if any
	first   time.Duration // planned start to first event
	total   time.Duration // planned start to the end
	gaps    []time.Duration
	events  int
}

// requestSender sends requests over pooled connections to the hosts that the
// balancer picks.
type requestSender struct {
	client   *http.Client
	balancer *balancer
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

// Prompt returns a unique prompt of about the given number of tokens for a
// team's request.
func Prompt(team string, number, tokens int) string {
	text := fmt.Sprintf("%s question %d ", team, number)
	if padding := tokens*bytesPerToken - len(text); padding > 0 {
		text += strings.Repeat("x", padding)
	}
	return text
}

func (c *requestSender) newRequest(ctx context.Context, t Team, number int) (*http.Request, error) {
	target, body := c.balancer.pickHost()+"/v1/chat/completions", []byte(nil)
	if t.Path != "" {
		target = c.balancer.pickHost() + t.Path
		body = fmt.Appendf(nil, "%s %d", t.Name, number)
	} else {
		var err error
		body, err = json.Marshal(chatRequest{
			Model: t.Model, Stream: !t.NonStreaming, MaxTokens: orDefault(t.MaxTokens, defaultMaxTokens),
			Messages: []chatMessage{{"user", Prompt(t.Name, number, orDefault(t.PromptTokens, defaultPromptTokens))}},
		})
		if err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if t.Key != "" {
		req.Header.Set("Authorization", "Bearer "+t.Key)
	}
	return req, nil
}

// send sends one request and reads its response to the end.
func (c *requestSender) send(ctx context.Context, started time.Time, t Team, a arrival) sample {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	s := sample{team: a.team, at: a.at, outcome: Cut}
	planned := started.Add(a.at)
	defer func() { s.total = time.Since(planned) }()
	req, err := c.newRequest(ctx, t, a.number)
	if err != nil {
		s.kind = err.Error()
		return s
	}
	resp, err := c.client.Do(req)
	if err != nil {
		s.kind = "connection"
		return s
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= 300 {
		s.outcome, s.kind = readErrorResponse(resp)
		s.total = time.Since(planned)
		return s
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		readStream(resp.Body, planned, &s)
	} else {
		readJSONResponse(resp.Body, planned, &s)
	}
	s.total = time.Since(planned)
	return s
}

// readErrorResponse returns Refused only if the response says that the request
// was not run.
func readErrorResponse(resp *http.Response) (Outcome, string) {
	var body struct {
		Error struct {
			Code      string `json:"code"`
			Execution string `json:"execution"`
		} `json:"error"`
	}
	if json.NewDecoder(resp.Body).Decode(&body) != nil {
		return Failed, resp.Status
	}
	if body.Error.Execution == "not_run" {
		return Refused, body.Error.Code
	}
	return Failed, body.Error.Code
}

func readJSONResponse(body io.Reader, planned time.Time, s *sample) {
	text, err := io.ReadAll(body)
	s.first = time.Since(planned)
	if err != nil || !json.Valid(text) {
		s.outcome = Truncated
		return
	}
	s.outcome = Answered
}

// readStream reads the events of a stream to its end. The outcome stays Cut if the stream
// ends without its terminal event and without an error event.
func readStream(body io.Reader, planned time.Time, s *sample) {
	events := eventstream.NewReader(body)
	order := eventstream.NewResumableSequence("")
	previous := planned
	for {
		read, err := events.Next()
		if err != nil {
			return
		}
		for _, e := range read {
			if isErrorEvent(e) {
				s.outcome = Truncated
				return
			}
			if err := checkOrder(&order, e, s.outcome); err != nil {
				s.outcome, s.kind = Misordered, "event order"
				return
			}
			switch {
			case e.Data == nil: // a comment
			case string(e.Data) == "[DONE]":
				s.outcome = Answered
			default:
				previous = s.recordEvent(planned, previous)
			}
		}
	}
}

// checkOrder returns an error if the event doesn't follow the ones before. Nothing follows
// the terminal event.
func checkOrder(order *eventstream.Sequence, e eventstream.Event, outcome Outcome) error {
	if outcome == Answered && e.Data != nil {
		return errors.New("an event follows the terminal one")
	}
	return order.Add(e)
}

func isErrorEvent(e eventstream.Event) bool {
	for line := range bytes.Lines(e.Raw) {
		if bytes.HasPrefix(line, []byte("event: error")) {
			return true
		}
	}
	return false
}

// recordEvent records an event that arrives now, and returns the time.
func (s *sample) recordEvent(planned, previous time.Time) time.Time {
	now := time.Now()
	if s.events == 0 {
		s.first = now.Sub(planned)
	} else {
		s.gaps = append(s.gaps, now.Sub(previous))
	}
	s.events++
	return now
}
