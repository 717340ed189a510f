package jobs_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/entry"
)

// statusEngine is an engine that answers some runs with a status instead of events.
type statusEngine struct {
	*engine
	statusOf func(run int, call entry.Call) int // of a run, counted from 1; 0 means that the engine runs it

	mu     sync.Mutex // guards resume
	resume []string   // id of the last received event with which each run was sent
}

// Do implements entry.UpstreamClient.
func (e *statusEngine) Do(ctx context.Context, call entry.Call) (*entry.Response, error) {
	e.mu.Lock()
	e.resume = append(e.resume, call.ResumeAfter)
	run := len(e.resume)
	e.mu.Unlock()
	if status := e.statusOf(run, call); status != 0 {
		return &entry.Response{Status: status, Body: http.NoBody}, nil
	}
	return e.engine.Do(ctx, call)
}

// resumedAfter returns the ids after which the runs were to go on.
func (e *statusEngine) resumedAfter() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resume
}

// TestUnexpectedStatusDropsAnItemsEvents guards against an item that begins anew because
// an upstream answered one of its runs in a way that says nothing about its events.
func TestUnexpectedStatusDropsAnItemsEvents(t *testing.T) {
	for _, status := range []int{
		http.StatusOK, // without an event stream
		http.StatusNoContent, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
	} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			runCluster(t, func(c *qt.C, w *cluster) {
				e := &statusEngine{engine: w.engine, statusOf: func(run int, _ entry.Call) int {
					if run%2 == 0 {
						return status
					}
					return 0
				}}
				h := w.startWith(e)
				s := submission("j", 1)
				w.engine.breaks[s.Items[0].ID] = breakPlan{how: resets, afterEvents: 5}
				c.Assert(h.runner.Submit(background, s), qt.IsNil)
				time.Sleep(15 * time.Second)
				c.Assert(e.resumedAfter(), qt.DeepEquals, []string{"", "5", "5", "10", "10", "15", "15"})
				w.checkResults(h, s)
			})
		})
	}
}

// TestRefusedEventsAreResumedForGood guards against an item that never completes, because
// upstreams don't resume it and their status doesn't say that this is the reason.
func TestRefusedEventsAreResumedForGood(t *testing.T) {
	for _, tc := range []struct{ status, resumes int }{
		{http.StatusBadRequest, 1}, {http.StatusConflict, 1}, {http.StatusGone, 1},
		{http.StatusPreconditionFailed, 1}, {http.StatusRequestedRangeNotSatisfiable, 1},
		{http.StatusNotFound, 4}, {http.StatusNotImplemented, 4}, {http.StatusBadGateway, 4},
	} {
		t.Run(fmt.Sprint(tc.status), func(t *testing.T) {
			runCluster(t, func(c *qt.C, w *cluster) {
				e := &statusEngine{engine: w.engine, statusOf: func(_ int, call entry.Call) int {
					if call.ResumeAfter != "" {
						return tc.status
					}
					return 0
				}}
				h := w.startWith(e)
				s := submission("j", 1)
				w.engine.breaks[s.Items[0].ID] = breakPlan{how: resets, afterEvents: 5, runs: 1}
				c.Assert(h.runner.Submit(background, s), qt.IsNil)
				time.Sleep(15 * time.Second)
				want := []string{""}
				for range tc.resumes {
					want = append(want, "5")
				}
				c.Assert(e.resumedAfter(), qt.DeepEquals, append(want, ""))
				w.checkResults(h, s)
			})
		})
	}
}

// restartingEngine is an engine whose first runs that resume an item begin with the first
// event again.
type restartingEngine struct {
	*engine
	restarts int
}

// Do implements entry.UpstreamClient.
func (e *restartingEngine) Do(ctx context.Context, call entry.Call) (*entry.Response, error) {
	if call.ResumeAfter != "" && e.restarts > 0 {
		e.restarts--
		call.ResumeAfter = ""
	}
	return e.engine.Do(ctx, call)
}

// TestRunThatBeginsAgainIsJoined guards against an output that holds events twice, because
// an upstream ignored the id after which its run was to go on.
func TestRunThatBeginsAgainIsJoined(t *testing.T) {
	for _, restarts := range []int{1, 3} {
		t.Run(fmt.Sprint(restarts), func(t *testing.T) {
			runCluster(t, func(c *qt.C, w *cluster) {
				e := &restartingEngine{engine: w.engine, restarts: restarts}
				h := w.startWith(e)
				s, item := submitBreaking(w, h, breakPlan{how: resets, afterEvents: 5, runs: 1})
				time.Sleep(15 * time.Second)
				w.checkResults(h, s)
				c.Assert(w.engine.runsOf(item), qt.Equals, restarts+2)
			})
		})
	}
}
