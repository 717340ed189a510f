package entry_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/telemetry"
)

// brokenBody responds with a body that breaks off before its first byte.
func brokenBody(events bool) func(entry.Call) (*entry.Response, error) {
	return func(entry.Call) (*entry.Response, error) {
		return &entry.Response{Status: 200, Header: http.Header{}, Events: events, Body: io.NopCloser(&failingReader{})}, nil
	}
}

// TestRequestBrokenBeforeItsFirstByteIsAnswered guards against a connection that is closed
// without a byte though an error can still be sent.
func TestRequestBrokenBeforeItsFirstByteIsAnswered(t *testing.T) {
	cases := []struct {
		name, path  string
		upstreams   int
		resumeAfter string
		steps       []func(entry.Call) (*entry.Response, error)
	}{
		{"stream, no other upstream", "/stream/x", 1, "", steps(brokenBody(true))},
		{"stream, others reject", "/stream/x", 2, "", steps(brokenBody(true), rejected)},
		{"stream, attempts used up", "/stream/x", 4, "", steps(brokenBody(true), brokenBody(true), brokenBody(true))},
		{"stream that isn't resumable", "/stream/fixed/x", 4, "", steps(brokenBody(true))},
		{"buffered body, no other upstream", "/safe/x", 1, "", steps(brokenBody(false))},
		{"buffered body, others can't be reached", "/safe/x", 2, "", steps(brokenBody(false), connectionRefused)},
		{"first event does not follow the caller's last one", "/stream/fixed/x", 4, "7", steps(events(1, 4, false))},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := qt.New(t)
				log := logrus.New()
				log.SetOutput(io.Discard)
				h := entry.NewHandler(newCore(tc.upstreams), &script{steps: tc.steps}, telemetry.NewMetrics(), log)
				w := httptest.NewRecorder()
				err := h.Serve(context.Background(), entry.Request{
					ID: "r", Method: "POST", Target: tc.path, Path: tc.path, Host: hostName, Key: "k", TimeLeft: 5 * time.Second, ResumeAfter: tc.resumeAfter,
				}, w)
				c.Assert(errors.Is(err, entry.ErrResponseTruncated), qt.IsFalse, qt.Commentf("%v", err))
				c.Assert(apierr.From(err).Execution, qt.Equals, apierr.MayHaveRun, qt.Commentf("%v", err))
				c.Assert(apierr.IsKind(err, apierr.Unknown), qt.IsTrue, qt.Commentf("%v", err))
				c.Assert(w.Body.Len(), qt.Equals, 0)
			})
		})
	}
}

// TestTruncatedLongBodyEndsLikeAWholeOne guards against a body that is too long to be
// buffered, is truncated, and reaches its caller as complete.
func TestTruncatedLongBodyEndsLikeAWholeOne(t *testing.T) {
	const size = 3 << 19
	for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := qt.New(t)
				s := &script{steps: steps(func(entry.Call) (*entry.Response, error) {
					body := io.MultiReader(strings.NewReader(strings.Repeat("x", size)), &failingReader{})
					return &entry.Response{Status: 200, Header: http.Header{}, Body: io.NopCloser(body), Delimited: true}, nil
				})}
				w, err := serve(newCore(4), s, path, "k")
				c.Check(errors.Is(err, entry.ErrResponseTruncated), qt.IsTrue, qt.Commentf("%v", err))
				c.Check(w.Body.Len(), qt.Equals, size)
				c.Check(s.calls, qt.HasLen, 1)
			})
		})
	}
}
