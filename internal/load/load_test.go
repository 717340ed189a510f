package load

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/emulator/engine"
)

func testPlan(host string) Plan {
	return Plan{Hosts: []string{host}, Seconds: 0.5, Seed: 7, Teams: []Team{
		{Name: "streams", Key: "secret-1", Model: "m", Rate: 100, MaxTokens: 3},
		{Name: "whole", Key: "secret-2", Model: "m", Rate: 40, NonStreaming: true, Bursts: []Burst{{AtSeconds: 0.1, ForSeconds: 0.2, Factor: 3}}},
	}}
}

func TestArrivalsAreReproducibleForASeed(t *testing.T) {
	c := qt.New(t)
	p := testPlan("http://x")
	first := p.arrivals()
	c.Assert(len(first) > 20, qt.IsTrue)
	c.Assert(slices.Equal(p.arrivals(), first), qt.IsTrue)
	p.Seed++
	c.Assert(slices.Equal(p.arrivals(), first), qt.IsFalse)
	for i := 1; i < len(first); i++ {
		c.Assert(first[i-1].at <= first[i].at, qt.IsTrue)
	}
}

func TestPlanErrorsNameTheRemedy(t *testing.T) {
	c := qt.New(t)
	for want, invalidate := range map[string]func(*Plan){
		"names no host":       func(p *Plan) { p.Hosts = nil },
		"out of range":        func(p *Plan) { p.Seconds = 0 },
		"has no rate":         func(p *Plan) { p.Teams[0].Rate = 0 },
		"asks for nothing":    func(p *Plan) { p.Teams[0].Model = "" },
		"more than 5000000":   func(p *Plan) { p.Teams[0].Rate = 1e9 },
		"lower the rates or ": func(p *Plan) { p.Teams[0].Rate = 1e9 },
	} {
		p := testPlan("http://x")
		invalidate(&p)
		c.Check(p.Validate(), qt.ErrorMatches, ".*"+want+".*")
	}
}

func TestEveryRequestIsCountedOnce(t *testing.T) {
	c := qt.New(t)
	e := engine.New(engine.Options{Name: "e", Slots: 64})
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	p := testPlan(server.URL)
	r, err := Run(context.Background(), p, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(r.All.Offered, qt.Equals, len(p.arrivals()))
	c.Assert(r.Ended(Answered), qt.Equals, r.All.Offered)

	var page bytes.Buffer
	c.Assert(r.WriteReport(&page), qt.IsNil)
	c.Assert(strings.Count(page.String(), "data:image/png;base64,"), qt.Equals, 2)
	c.Assert(page.String(), qt.Not(qt.Contains), "secret-")
	for _, change := range Compare(r, r) {
		c.Check(change.Before, qt.Equals, change.After)
	}
}

func TestOutcomesAreDistinguished(t *testing.T) {
	c := qt.New(t)
	for want, handler := range map[Outcome]http.HandlerFunc{
		Refused: func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = w.Write([]byte(`{"error":{"code":"rate_limit_exceeded","execution":"not_run"}}`))
		},
		Failed: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) },
		Truncated: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = w.Write([]byte("data: {}\n\nevent: error\ndata: {}\n\n"))
		},
		Cut: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = w.Write([]byte("data: {}\n\n"))
		},
	} {
		server := httptest.NewServer(handler)
		r, err := Run(context.Background(), testPlan(server.URL), nil)
		c.Assert(err, qt.IsNil)
		c.Check(r.Ended(want), qt.Equals, r.All.Offered, qt.Commentf("%s: %v", want, r.All.Outcomes))
		server.Close()
	}
}

// TestMisorderedStreamIsServed guards against answers whose events are not all there, each
// once and in order, and that count as answered.
func TestMisorderedStreamIsServed(t *testing.T) {
	event := func(id int, data string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, data) }
	for name, tc := range map[string]struct {
		stream string
		want   string
	}{
		"in order":               {event(1, "a") + event(2, "b") + event(3, "[DONE]"), "answered"},
		"without ids":            {"data: a\n\ndata: b\n\ndata: [DONE]\n\n", "answered"},
		"with a comment":         {event(1, "a") + ": ping\n\n" + event(2, "[DONE]"), "answered"},
		"first missing":          {event(2, "b") + event(3, "[DONE]"), "misordered"},
		"one missing":            {event(1, "a") + event(3, "c") + event(4, "[DONE]"), "misordered"},
		"last missing":           {event(1, "a") + event(3, "[DONE]"), "misordered"},
		"one twice":              {event(1, "a") + event(1, "a") + event(2, "[DONE]"), "misordered"},
		"two exchanged":          {event(1, "a") + event(3, "c") + event(2, "b") + event(4, "[DONE]"), "misordered"},
		"begins again":           {event(1, "a") + event(2, "b") + event(1, "a") + event(2, "[DONE]"), "misordered"},
		"terminal event twice":   {event(1, "a") + event(2, "[DONE]") + event(3, "[DONE]"), "misordered"},
		"event after the end":    {event(1, "a") + event(2, "[DONE]") + "data: b\n\n", "misordered"},
		"end missing":            {event(1, "a") + event(2, "b"), "cut"},
		"cut in terminal event":  {event(1, "a") + "id: 2\ndata: [DONE]\n", "cut"},
		"error after events":     {event(1, "a") + "event: error\ndata: {}\n\n", "truncated"},
		"error in a cut message": {event(1, "a") + "id: 2\n\n\nevent: error\ndata: {}\n\n", "truncated"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := sample{outcome: Cut}
			readStream(strings.NewReader(tc.stream), time.Now(), &s)
			c.Assert(string(s.outcome), qt.Equals, tc.want)
		})
	}
}

// TestEngineNumbersItsEvents checks that the order of an emulated engine's events can be
// checked, so that misordered answers in scenarios are seen.
func TestEngineNumbersItsEvents(t *testing.T) {
	c := qt.New(t)
	w := httptest.NewRecorder()
	body := strings.NewReader(`{"model":"m","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"x"}]}`)
	engine.New(engine.Options{Name: "e", Slots: 1}).Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/chat/completions", body))
	events := strings.SplitAfter(strings.TrimSuffix(w.Body.String(), "\n\n"), "\n\n")
	c.Assert(events, qt.HasLen, 5) // three words, the reason of the end, and the end
	for i, e := range events {
		c.Assert(strings.HasPrefix(e, fmt.Sprintf("id: %d\ndata: ", i+1)), qt.IsTrue, qt.Commentf("%q", e))
		skipped := sample{outcome: Cut}
		without := slices.Concat(events[:i], events[i+1:])
		readStream(strings.NewReader(strings.Join(without, "")), time.Now(), &skipped)
		c.Assert(skipped.outcome, qt.Not(qt.Equals), Answered, qt.Commentf("without event %d", i+1))
	}
}
