package load

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
)

const (
	requestTimeout = 2 * time.Minute
	bytesPerToken  = 4
)

// Outcome is the way in which a request ended, as its caller saw it.
type Outcome string

// The ways in which a request can end.
const (
	Answered  Outcome = "answered"  // whole
	Refused   Outcome = "refused"   // the host says that it was not run
	Failed    Outcome = "failed"    // an error answer, outcome unknown
	Truncated Outcome = "truncated" // an answer that visibly broke off
	Cut       Outcome = "cut"       // the connection broke without any answer
	Dropped   Outcome = "dropped"   // the load tool had too many requests open
)

// sample is what one request showed.
type sample struct {
	team   int
	at     time.Duration // planned start
	end    Outcome
	kind   string        // the error's kind
	first  time.Duration // planned start to first event
	total  time.Duration // planned start to the end
	gaps   []time.Duration
	events int
}

// caller sends one request after another, on kept connections.
type caller struct {
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

// Prompt returns the prompt of a team's request, of about that many tokens.
func Prompt(team string, number, tokens int) string {
	text := fmt.Sprintf("%s question %d ", team, number)
	if missing := tokens*bytesPerToken - len(text); missing > 0 {
		text += strings.Repeat("x", missing)
	}
	return text
}

func (c *caller) build(ctx context.Context, t Team, number int) (*http.Request, error) {
	target, body := c.balancer.pick()+"/v1/chat/completions", []byte(nil)
	if t.Path != "" {
		target = c.balancer.pick() + t.Path
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

// run sends one request and reads its answer to the end.
func (c *caller) run(ctx context.Context, started time.Time, t Team, a arrival) sample {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	s := sample{team: a.team, at: a.at, end: Cut}
	planned := started.Add(a.at)
	defer func() { s.total = time.Since(planned) }()
	req, err := c.build(ctx, t, a.number)
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
		s.end, s.kind = readRefusal(resp)
		s.total = time.Since(planned)
		return s
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		readStream(resp.Body, planned, &s)
	} else {
		readWhole(resp.Body, planned, &s)
	}
	s.total = time.Since(planned)
	return s
}

func readRefusal(resp *http.Response) (Outcome, string) {
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

func readWhole(body io.Reader, planned time.Time, s *sample) {
	text, err := io.ReadAll(body)
	s.first = time.Since(planned)
	if err != nil || !json.Valid(text) {
		s.end = Truncated
		return
	}
	s.end = Answered
}

// readStream reads events up to the terminal one. An error event is a visible
// truncation; an end without either is a cut.
func readStream(body io.Reader, planned time.Time, s *sample) {
	lines := bufio.NewScanner(body)
	last := planned
	for lines.Scan() {
		line := lines.Text()
		switch {
		case line == "data: [DONE]":
			s.end = Answered
			return
		case strings.HasPrefix(line, "event: error"):
			s.end = Truncated
			return
		case strings.HasPrefix(line, "data: "):
			now := time.Now()
			if s.events == 0 {
				s.first = now.Sub(planned)
			} else {
				s.gaps = append(s.gaps, now.Sub(last))
			}
			last = now
			s.events++
		}
	}
}
