package entry_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/entry"
)

// answer responds with a status and a body.
func answer(status int, events bool, body string) func(entry.Call) (*entry.Response, error) {
	return func(entry.Call) (*entry.Response, error) {
		return &entry.Response{Status: status, Header: http.Header{"Signed": {"other"}}, Events: events, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

// TestTruncatedStreamEndedByAnotherAnswer guards against a truncated stream that reaches
// its caller as complete because the response of the next upstream, which doesn't continue
// it, is relayed behind it. Such a response counts as one of the route's three attempts.
func TestTruncatedStreamEndedByAnotherAnswer(t *testing.T) {
	truncated := events(1, 2, true)
	cases := []struct {
		name  string
		steps []func(entry.Call) (*entry.Response, error)
	}{
		{"status 500 until the attempts are used up", steps(truncated, answer(500, false, "error"), answer(500, false, "error"))},
		{"status 504 until the attempts are used up", steps(truncated, answer(504, false, "error"), answer(504, false, "error"))},
		{"status 404", steps(truncated, answer(404, false, "no such path"), answer(404, false, "no such path"))},
		{"status 400", steps(truncated, answer(400, false, "bad id"), answer(400, false, "bad id"))},
		{"status 204", steps(truncated, answer(204, false, ""), answer(204, false, ""))},
		{"status 301", steps(truncated, answer(301, false, ""), answer(301, false, ""))},
		{"status 200 without an event stream", steps(truncated, answer(200, false, "whole text"), answer(200, false, "whole text"))},
		{"status 503 without the not-run mark", steps(truncated, answer(503, false, "busy"), answer(503, false, "busy"))},
		{"status 429 without the not-run mark", steps(truncated, answer(429, false, "busy"), answer(429, false, "busy"))},
		{"event stream of status 500", steps(truncated, answer(500, true, eventText(3, 4)), answer(500, true, eventText(3, 4)))},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := qt.New(t)
				s := &script{steps: tc.steps}
				w, err := serve(newCore(6), s, "/stream/x", "k")
				c.Check(w.Body.String(), qt.Equals, eventText(1, 2))
				c.Check(errors.Is(err, entry.ErrResponseTruncated), qt.IsTrue, qt.Commentf("%v", err))
				c.Check(s.calls, qt.HasLen, 3)
			})
		})
	}
}

// TestStreamContinuesAfterAnswerThatDoesNot guards against a truncated stream that is given
// up, though attempts are left, at an upstream whose response doesn't continue it.
func TestStreamContinuesAfterAnswerThatDoesNot(t *testing.T) {
	for _, status := range []int{500, 404, 400, 204, 301, 200, 503, 429} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := qt.New(t)
				s := &script{steps: steps(events(1, 2, true), answer(status, false, "text"), events(3, 4, false))}
				w, err := serve(newCore(4), s, "/stream/x", "k")
				c.Check(err, qt.IsNil)
				c.Check(w.Body.String(), qt.Equals, eventText(1, 4))
				c.Check(s.calls, qt.HasLen, 3)
			})
		})
	}
}
