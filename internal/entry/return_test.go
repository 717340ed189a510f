package entry_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/fleet"
)

// runCore runs the core's checks of broken runs until the returned function is called.
func runCore(core *entry.Core) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { core.Run(ctx); close(done) }()
	return func() { cancel(); <-done }
}

// TestRequestEndsBeforeItsAttemptsAreUsedUp guards against a request that ends with attempts
// and time left, because each upstream of its service has failed it once.
func TestRequestEndsBeforeItsAttemptsAreUsedUp(t *testing.T) {
	for name, tc := range map[string]struct {
		upstreams int
		path      string
		steps     []step
		body      string
	}{
		"stream broken twice by two upstreams":   {2, "/stream/x", steps(events(1, 2, true), events(3, 4, true), events(5, 6, false)), eventText(1, 6)},
		"stream broken by the only upstream":     {1, "/stream/x", steps(events(1, 2, true), events(3, 4, false)), eventText(1, 4)},
		"stream broken twice by the only one":    {1, "/stream/x", steps(events(1, 2, true), events(3, 4, true), events(5, 6, false)), eventText(1, 6)},
		"stream not continued, two upstreams":    {2, "/stream/x", steps(events(1, 2, true), status(500), events(3, 4, false)), eventText(1, 4)},
		"stream not continued, status 404":       {2, "/stream/x", steps(events(1, 2, true), status(404), events(3, 4, false)), eventText(1, 4)},
		"resumption rejected":                    {2, "/stream/x", steps(events(1, 2, true), rejected, events(3, 4, false)), eventText(1, 4)},
		"status 500 of two upstreams":            {2, "/safe/x", steps(status(500), status(500), complete("a")), "a"},
		"status 500 of the only upstream":        {1, "/safe/x", steps(status(500), complete("a")), "a"},
		"rejected by the only upstream":          {1, "/once/x", steps(rejected, complete("a")), "a"},
		"rejected by both upstreams":             {2, "/once/x", steps(rejected, rejected, complete("a")), "a"},
		"status 500, then rejected by the other": {2, "/safe/x", steps(status(500), rejected, complete("a")), "a"},
	} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := qt.New(t)
				core := newCore(tc.upstreams)
				defer runCore(core)()
				s := &script{steps: tc.steps}
				calls := len(tc.steps)
				w, err := serve(core, s, tc.path, "k")
				c.Check(err, qt.IsNil)
				c.Check(w.Body.String(), qt.Equals, tc.body)
				c.Assert(s.calls, qt.HasLen, calls)
				used := map[string]bool{}
				for _, call := range s.calls {
					c.Check(call.NewConnection, qt.Equals, used[call.Upstream.ID], qt.Commentf("a late response of an earlier attempt bears the same id"))
					used[call.Upstream.ID] = true
				}
				c.Check(used, qt.HasLen, tc.upstreams)
			})
		})
	}
}

// TestReturningRequestRunsTooOften guards against more runs than the route allows, of a
// request that goes back to upstreams which have failed it, and of one that may run once.
func TestReturningRequestRunsTooOften(t *testing.T) {
	for name, tc := range map[string]struct {
		path      string
		respond   step
		calls     int
		execution apierr.Execution
	}{
		"status 500":                  {"/safe/x", status(500), 3, apierr.MayHaveRun},
		"stream that breaks":          {"/stream/x", events(1, 2, true), 3, apierr.MayHaveRun},
		"rejection":                   {"/safe/x", rejected, 5, apierr.NotRun},
		"once, rejection":             {"/once/x", rejected, 5, apierr.NotRun},
		"once, status 500":            {"/once/x", status(500), 1, ""},
		"once, lost run":              {"/once/x", noResponse, 1, apierr.MayHaveRun},
		"stream without resumption":   {"/stream/fixed/x", events(1, 2, true), 1, apierr.MayHaveRun},
		"route with a single attempt": {"/open/x", status(500), 1, ""},
	} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := qt.New(t)
				core := newCore(1)
				defer runCore(core)()
				s := &script{steps: steps(tc.respond, tc.respond, tc.respond, tc.respond, tc.respond, tc.respond)}
				_, err := serve(core, s, tc.path, "k")
				c.Check(s.calls, qt.HasLen, tc.calls)
				if tc.execution != "" {
					c.Check(apierr.From(err).Execution, qt.Equals, tc.execution, qt.Commentf("%v", err))
				}
			})
		})
	}
}

// TestRequestReturnsToAnUpstreamThatMayHaveEnded guards against a request that goes back to
// an upstream which it may have crashed, or whose process isn't there any more, and against
// one that waits for it.
func TestRequestReturnsToAnUpstreamThatMayHaveEnded(t *testing.T) {
	for name, tc := range map[string]struct {
		path      string
		first     step
		up        bool
		execution apierr.Execution
		truncated bool
	}{
		"stream, crashed":            {"/stream/x", events(1, 2, true), false, apierr.MayHaveRun, true},
		"run lost, crashed":          {"/safe/x", noResponse, false, apierr.MayHaveRun, false},
		"connection refused":         {"/safe/x", connectionRefused, true, apierr.NotRun, false},
		"another process responds":   {"/once/x", moved, true, apierr.NotRun, false},
		"body truncated and crashed": {"/safe/x", brokenBody(false), false, apierr.MayHaveRun, false},
	} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := qt.New(t)
				core := newCore(1)
				if !tc.up {
					core.SetConnector(refusingConnector{})
				}
				defer runCore(core)()
				s := &script{steps: steps(tc.first)}
				started := time.Now()
				_, err := serve(core, s, tc.path, "k")
				c.Check(s.calls, qt.HasLen, 1)
				c.Check(apierr.From(err).Execution, qt.Equals, tc.execution, qt.Commentf("%v", err))
				c.Check(errors.Is(err, entry.ErrResponseTruncated), qt.Equals, tc.truncated)
				c.Check(time.Since(started) <= 10*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(started)))
			})
		})
	}
}

// moved is the response of another process at the upstream's address.
func moved(entry.Call) (*entry.Response, error) {
	return &entry.Response{Status: 421, NotRun: true, Moved: true, Body: http.NoBody}, nil
}

// TestRequestReturnsToAnyUpstreamThatFailedIt guards against a request that goes back to an
// upstream whose process isn't there any more, since another that failed it is alive.
func TestRequestReturnsToAnyUpstreamThatFailedIt(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		f := newDrainFleet(c, 2)
		f.list[0].Slots = 100 // the first choice
		f.core.SetUpstreams(f.list, 3)
		defer runCore(f.core)()
		f.setResponse("u0", moved)
		f.setResponse("u1", func(call entry.Call) (*entry.Response, error) {
			time.Sleep(300 * time.Millisecond) // longer than the first one backs off
			return status(500)(call)
		})
		c.Check(f.serve("/safe/x"), qt.IsNil) // the last status is relayed
		c.Check(f.takeCalls(), qt.DeepEquals, []string{"u0", "u1", "u1", "u1"})
	})
}

// refusingConnector makes no connection.
type refusingConnector struct{}

// Connect implements entry.Connector.
func (refusingConnector) Connect(context.Context, fleet.Upstream) error {
	return errors.New("connection refused")
}

// TestRequestReturnsThoughAnotherUpstreamIsRegistered guards against a request that goes back
// to an upstream which has failed it while another is registered, full at present.
func TestRequestReturnsThoughAnotherUpstreamIsRegistered(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFullFleet(c, 2)
		defer runCore(f.core)()
		f.held[0].Release()
		f.setResponse("u0", status(500))
		c.Check(f.serve("/safe/x"), qt.IsNotNil)
		c.Check(f.takeCalls(), qt.DeepEquals, []string{"u0"})
		time.AfterFunc(100*time.Millisecond, f.held[1].Release)
		c.Check(f.serve("/safe/x"), qt.IsNil)
		c.Check(f.takeCalls(), qt.DeepEquals, []string{"u0", "u1"})
	})
}

// TestQueuedRequestReturnsWhenTheOtherUpstreamLeaves guards against a queued retry that waits
// on for an upstream that leaves, though the one that failed it is free.
func TestQueuedRequestReturnsWhenTheOtherUpstreamLeaves(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFullFleet(c, 2)
		f.held[0].Release()
		failures := 0
		f.setResponse("u0", func(call entry.Call) (*entry.Response, error) {
			if failures++; failures == 1 {
				return status(500)(call)
			}
			return complete("x")(call)
		})
		started := time.Now()
		time.AfterFunc(100*time.Millisecond, func() { f.held[1].ReportLeaving(&entry.Response{Leaving: true}) })
		c.Check(f.serve("/safe/x"), qt.IsNil)
		c.Check(time.Since(started), qt.Equals, 100*time.Millisecond)
		c.Check(f.takeCalls(), qt.DeepEquals, []string{"u0", "u0"})
	})
}

// TestResumptionWaitsNoLongerThanAFirstAttempt guards against a stream that is broken off
// after the wait that suits a first event, though half of its time is left.
func TestResumptionWaitsNoLongerThanAFirstAttempt(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFullFleet(c, 2)
		defer runCore(f.core)()
		f.held[0].Release()
		f.setResponse("u0", events(1, 2, true))
		f.setResponse("u1", events(3, 4, false))
		time.AfterFunc(time.Second, f.held[1].Release)
		c.Check(f.serve("/stream/x"), qt.IsNil)
		c.Check(f.takeCalls(), qt.DeepEquals, []string{"u0", "u1"})
	})
}
