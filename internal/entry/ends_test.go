package entry_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/entry"
)

// TestStreamWithoutItsFirstEventIsTakenForWhole guards against a resumable stream whose
// first events are missing and that reaches its caller as complete.
func TestStreamWithoutItsFirstEventIsTakenForWhole(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		w, err := serve(newCore(4), &script{steps: steps(events(2, 4, false), events(1, 4, false))}, "/stream/x", "k")
		c.Check(err, qt.IsNil)
		c.Check(w.Body.String(), qt.Equals, eventText(1, 4))
		w, err = serve(newCore(4), &script{steps: steps(events(2, 4, false), events(3, 4, false), events(2, 4, false))}, "/stream/x", "k")
		c.Check(apierr.IsKind(err, apierr.Unknown), qt.IsTrue, qt.Commentf("%v", err))
		c.Check(errors.Is(err, entry.ErrResponseTruncated), qt.IsFalse, qt.Commentf("%v", err))
		c.Check(w.Body.Len(), qt.Equals, 0)
	})
}

// TestStreamThatBeginsAnywhereIsRelayed checks that the ids of a stream that can't be
// resumed may begin with any number, and those of a resumable one with 0.
func TestStreamThatBeginsAnywhereIsRelayed(t *testing.T) {
	for path, first := range map[string]int{"/stream/fixed/x": 7, "/stream/x": 0} {
		t.Run(path, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := qt.New(t)
				w, err := serve(newCore(4), &script{steps: steps(events(first, 9, false))}, path, "k")
				c.Check(err, qt.IsNil)
				c.Check(w.Body.String(), qt.Equals, eventText(first, 9))
			})
		})
	}
}

// delimited marks a response as one whose end is marked by a length or a last chunk.
func delimited(step func(entry.Call) (*entry.Response, error)) func(entry.Call) (*entry.Response, error) {
	return func(call entry.Call) (*entry.Response, error) {
		resp, err := step(call)
		if err == nil {
			resp.Delimited = true
		}
		return resp, err
	}
}

// comment responds with an event stream that consists of a comment.
func comment(entry.Call) (*entry.Response, error) {
	return &entry.Response{Status: 200, Header: http.Header{}, Events: true, Body: io.NopCloser(strings.NewReader(": ping\n\n"))}, nil
}

// TestStreamEndedByAConnectionWithoutEvents guards against a stream that reaches its caller
// as complete because an upstream closed its connection before the first event.
func TestStreamEndedByAConnectionWithoutEvents(t *testing.T) {
	none := events(1, 0, false)
	for _, tc := range []struct {
		name, path string
		steps      []func(entry.Call) (*entry.Response, error)
		text       string
		truncated  bool
		failed     bool
	}{
		{"first run", "/stream/x", steps(none, events(1, 4, false)), eventText(1, 4), false, false},
		{"all runs", "/stream/x", steps(none, none, none), "", false, true},
		{"run that can't be repeated", "/stream/fixed/x", steps(none), "", false, true},
		{"continuation", "/stream/x", steps(events(1, 2, true), none, events(3, 4, false)), eventText(1, 4), false, false},
		{"all continuations", "/stream/x", steps(events(1, 2, true), none, none), eventText(1, 2), true, true},
		{"comment, then the connection", "/stream/x", steps(events(1, 2, true), comment, events(3, 4, false)), eventText(1, 2) + ": ping\n\n" + eventText(3, 4), false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := qt.New(t)
				w, err := serve(newCore(4), &script{steps: tc.steps}, tc.path, "k")
				c.Check(w.Body.String(), qt.Equals, tc.text)
				c.Check(err != nil, qt.Equals, tc.failed, qt.Commentf("%v", err))
				c.Check(errors.Is(err, entry.ErrResponseTruncated), qt.Equals, tc.truncated, qt.Commentf("%v", err))
			})
		})
	}
}

// TestEmptyDelimitedRunEndsAStream checks that a run without events completes a stream if
// its end is marked: the upstream before may have sent the last event.
func TestEmptyDelimitedRunEndsAStream(t *testing.T) {
	none := delimited(events(1, 0, false))
	for text, steps := range map[string][]func(entry.Call) (*entry.Response, error){
		"":              steps(none),
		eventText(1, 2): steps(events(1, 2, true), none),
	} {
		t.Run(text, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := qt.New(t)
				w, err := serve(newCore(4), &script{steps: steps}, "/stream/x", "k")
				c.Check(err, qt.IsNil)
				c.Check(w.Body.String(), qt.Equals, text)
			})
		})
	}
}
