package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/telemetry"
)

// drainTime is longer than any backoff after a failure, and than the users allow a host to
// send requests on.
const drainTime = 3 * time.Second

type step = func(entry.Call) (*entry.Response, error)

// announcing adds the announcement that the upstream leaves to a response.
func announcing(respond step) step {
	return func(call entry.Call) (*entry.Response, error) {
		resp, err := respond(call)
		if resp != nil {
			resp.Leaving = true
		}
		return resp, err
	}
}

// drainFleet is a core before upstreams that announce that they leave, and their client.
type drainFleet struct {
	c    *qt.C
	core *entry.Core
	list []fleet.Upstream

	mu      sync.Mutex
	respond map[string]step // by upstream; complete("x") unless set
	calls   []string        // upstreams in the order of the calls
}

func newDrainFleet(c *qt.C, upstreams int) *drainFleet {
	f := &drainFleet{c: c, core: newCore(0), respond: map[string]step{}}
	for n := range upstreams {
		id := fmt.Sprint("u", n)
		f.list = append(f.list, fleet.Upstream{ID: id, Service: "lm", Address: id, Slots: 8, Started: time.Unix(1000, 0)})
	}
	f.core.SetUpstreams(f.list, 2)
	return f
}

// Do implements entry.UpstreamClient.
func (f *drainFleet) Do(_ context.Context, call entry.Call) (*entry.Response, error) {
	f.mu.Lock()
	f.calls = append(f.calls, call.Upstream.ID)
	respond := f.respond[call.Upstream.ID]
	f.mu.Unlock()
	if respond == nil {
		respond = complete("x")
	}
	return respond(call)
}

func (f *drainFleet) serve(path string) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := entry.NewHandler(f.core, f, telemetry.NewMetrics(), log)
	return h.Serve(context.Background(), entry.Request{ID: "r", Method: "POST", Target: path, Path: path, Host: hostName, Key: "k", TimeLeft: 5 * time.Second}, httptest.NewRecorder())
}

func (f *drainFleet) setResponse(upstream string, respond step) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.respond[upstream] = respond
}

func (f *drainFleet) respondAll(respond step) {
	for _, u := range f.list {
		f.setResponse(u.ID, respond)
	}
}

// takeCalls returns the upstreams of the calls since the last time.
func (f *drainFleet) takeCalls() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	calls := f.calls
	f.calls = nil
	return calls
}

// sent returns how many calls each upstream gets for the requests.
func (f *drainFleet) sent(requests int) map[string]int {
	f.takeCalls()
	for range requests {
		f.c.Check(f.serve("/safe/x"), qt.IsNil)
	}
	counts := map[string]int{}
	for _, id := range f.takeCalls() {
		counts[id]++
	}
	return counts
}

// announce makes the upstream announce that it leaves in a response.
func (f *drainFleet) announce(upstream string) {
	f.setResponse(upstream, announcing(complete("x")))
	f.c.Assert(f.sent(40)[upstream] > 0, qt.IsTrue)
	f.setResponse(upstream, nil)
}

// TestAnnouncementIsReadFromEveryResponse guards against requests to an upstream that has
// announced that it leaves, in a response that isn't a complete answer with status 200.
func TestAnnouncementIsReadFromEveryResponse(t *testing.T) {
	for name, tc := range map[string]struct {
		path    string
		respond step
	}{
		"answer":                     {"/safe/x", complete("a")},
		"stream":                     {"/stream/x", events(1, 4, false)},
		"rejection":                  {"/safe/x", rejected},
		"status 500, retried":        {"/safe/x", status(500)},
		"status 500, answer":         {"/once/x", status(500)},
		"status 503, not relayed":    {"/once/x", status(503)},
		"status 404":                 {"/safe/x", status(404)},
		"stream that breaks":         {"/stream/x", events(1, 2, true)},
		"stream that misses events":  {"/stream/x", events(3, 4, false)},
		"answer that breaks":         {"/once/x", brokenBody(false)},
		"rejection, not to be rerun": {"/once/x", rejected},
	} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := qt.New(t)
				f := newDrainFleet(c, 4)
				calls := 0
				f.respondAll(func(call entry.Call) (*entry.Response, error) {
					if calls++; calls == 1 { // only its upstream leaves
						return announcing(tc.respond)(call)
					}
					return events(3, 4, false)(call)
				})
				_ = f.serve(tc.path)
				leaving := f.takeCalls()[0]
				f.respondAll(nil)
				time.Sleep(drainTime)
				counts := f.sent(60)
				c.Assert(counts[leaving], qt.Equals, 0, qt.Commentf("%v", counts))
				c.Assert(counts, qt.HasLen, 3)
			})
		})
	}
}

// TestRegistryRevokesNoAnnouncement guards against requests to an upstream that has announced
// that it leaves, because an entry says ready that arrives later, or lapses and returns.
func TestRegistryRevokesNoAnnouncement(t *testing.T) {
	for name, change := range map[string]func(f *drainFleet){
		"no change": func(*drainFleet) {},
		"list":      func(f *drainFleet) { f.core.SetUpstreams(f.list, 3) },
		"event":     func(f *drainFleet) { f.core.UpdateUpstreams(f.list[:1], nil, 3) },
		"other slots": func(f *drainFleet) {
			entry := f.list[0]
			entry.Slots = 16
			f.core.UpdateUpstreams([]fleet.Upstream{entry}, nil, 3)
		},
		"removed and back": func(f *drainFleet) {
			f.core.UpdateUpstreams(nil, []string{"u0"}, 3)
			time.Sleep(time.Minute)
			f.core.UpdateUpstreams(f.list[:1], nil, 4)
		},
		"left out of a list and back": func(f *drainFleet) {
			f.core.SetUpstreams(f.list[1:], 3)
			time.Sleep(time.Minute)
			f.core.SetUpstreams(f.list, 4)
		},
		"registered as leaving, then as ready": func(f *drainFleet) {
			entry := f.list[0]
			entry.Leaving = true
			f.core.UpdateUpstreams([]fleet.Upstream{entry}, nil, 3)
			f.core.UpdateUpstreams(f.list[:1], nil, 4)
		},
		"a process before it is listed once more": func(f *drainFleet) {
			entry := f.list[0]
			entry.Started = entry.Started.Add(-time.Minute)
			f.core.UpdateUpstreams([]fleet.Upstream{entry}, nil, 3)
			f.core.UpdateUpstreams(f.list[:1], nil, 4)
		},
	} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := qt.New(t)
				f := newDrainFleet(c, 4)
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan struct{})
				go func() { f.core.Run(ctx); close(done) }()
				defer func() { cancel(); <-done }()
				f.announce("u0")
				change(f)
				for _, pause := range []time.Duration{0, drainTime, 30 * time.Minute} {
					time.Sleep(pause)
					counts := f.sent(60)
					c.Assert(counts["u0"], qt.Equals, 0, qt.Commentf("%v", counts))
					c.Assert(counts, qt.HasLen, 3)
				}
			})
		})
	}
}

// TestAnnouncementOutlivesTheProcess guards against an upstream that gets no requests after
// its restart, because the process before it had announced that it leaves.
func TestAnnouncementOutlivesTheProcess(t *testing.T) {
	for name, late := range map[string]bool{"announced before the restart": false, "late response after the restart": true} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := qt.New(t)
				f := newDrainFleet(c, 2)
				f.setResponse("u0", func(call entry.Call) (*entry.Response, error) {
					time.Sleep(time.Second)
					return announcing(complete("x"))(call)
				})
				var running sync.WaitGroup
				for range 12 { // more than the other upstream has slots
					running.Go(func() { c.Check(f.serve("/safe/x"), qt.IsNil) })
				}
				time.Sleep(100 * time.Millisecond)
				c.Assert(f.takeCalls(), qt.Contains, "u0")
				if !late {
					running.Wait()
				}
				restarted := f.list[0]
				restarted.Started = time.Now().Add(time.Millisecond)
				f.core.UpdateUpstreams([]fleet.Upstream{restarted}, nil, 3)
				f.setResponse("u0", nil)
				running.Wait()
				c.Assert(f.sent(60)["u0"] > 0, qt.IsTrue)
			})
		})
	}
}

// TestRequestsWaitForUpstreamsThatLeave guards against a request that waits for a slot,
// though every upstream of the service has announced that it leaves.
func TestRequestsWaitForUpstreamsThatLeave(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		f := newDrainFleet(c, 2)
		f.announce("u0")
		f.setResponse("u1", announcing(complete("x")))
		f.sent(1)
		started := time.Now()
		err := f.serve("/safe/x")
		c.Assert(apierr.IsKind(err, apierr.Overloaded), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(apierr.From(err).Execution, qt.Equals, apierr.NotRun)
		c.Assert(apierr.From(err).RetryAfter > 0, qt.IsTrue)
		c.Assert(time.Since(started), qt.Equals, time.Duration(0))
		c.Assert(f.takeCalls(), qt.HasLen, 0)
	})
}

// TestNextAttemptGoesToLeavingUpstream guards against a request that is retried, resumed or
// moved at an upstream that has announced that it leaves, where no other is left.
func TestNextAttemptGoesToLeavingUpstream(t *testing.T) {
	silent := func(entry.Call) (*entry.Response, error) {
		return &entry.Response{Status: 200, Header: http.Header{}, Events: true, Body: io.NopCloser(&stalledBody{})}, nil
	}
	for name, tc := range map[string]struct {
		path    string
		respond step
		calls   int // at the upstream that stays; it gets the request again if it is known to be alive
	}{
		"retry after status 500":     {"/safe/x", status(500), 3},
		"retry after a lost run":     {"/safe/x", noResponse, 1},
		"retry after a rejection":    {"/once/x", rejected, 1},
		"retry after a refused dial": {"/once/x", connectionRefused, 1},
		"resumed stream":             {"/stream/x", events(1, 2, true), 1},
		"move":                       {"/stream/x", silent, 1},
	} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := qt.New(t)
				f := newDrainFleet(c, 2)
				f.announce("u0")
				f.setResponse("u1", tc.respond)
				_ = f.serve(tc.path)
				c.Assert(f.takeCalls(), qt.DeepEquals, slices.Repeat([]string{"u1"}, tc.calls))
			})
		})
	}
}

// stalledBody sends one event and nothing more until its request has moved, if it can.
type stalledBody struct{ begun bool }

// Read implements io.Reader.
func (b *stalledBody) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		return copy(p, "id: 1\ndata: 1\n\n"), nil
	}
	time.Sleep(2 * time.Second)
	return 0, errors.New("connection closed")
}

// TestWaitingRequestTakesSlotOfLeavingUpstream guards against a queued request that gets the
// slot which the response with the announcement sets free.
func TestWaitingRequestTakesSlotOfLeavingUpstream(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		f := newDrainFleet(c, 2)
		for n := range f.list {
			f.list[n].Slots = 1
		}
		f.core.SetUpstreams(f.list, 3)
		after := func(wait time.Duration, respond step) step {
			return func(call entry.Call) (*entry.Response, error) {
				time.Sleep(wait)
				return respond(call)
			}
		}
		f.setResponse("u0", after(10*time.Millisecond, announcing(complete("x"))))
		f.setResponse("u1", after(40*time.Millisecond, complete("x")))
		var running sync.WaitGroup
		for range 3 {
			running.Go(func() { c.Check(f.serve("/safe/x"), qt.IsNil) })
			time.Sleep(time.Millisecond)
		}
		running.Wait()
		calls := f.takeCalls()
		c.Assert(calls, qt.HasLen, 3)
		c.Assert(calls[2], qt.Equals, "u1")
	})
}

// TestIsolatedRequestStartsAtLeavingUpstream guards against an isolated request that is sent
// to an upstream which has announced that it leaves while the request waited for peers.
func TestIsolatedRequestStartsAtLeavingUpstream(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		f := newDrainFleet(c, 1)
		other, err := f.core.Acquire(context.Background(), entry.SlotRequest{Service: "lm"})
		c.Assert(err, qt.IsNil)
		isolated, err := f.core.Acquire(context.Background(), entry.SlotRequest{Service: "lm", Isolated: true})
		c.Assert(err, qt.IsNil)
		other.ReportLeaving(&entry.Response{Leaving: true})
		c.Assert(isolated.ConfirmIsolation(context.Background()), qt.IsFalse)
	})
}

// drainPinger answers health checks of the upstream u0 with the announcement that it leaves.
type drainPinger struct{ network }

// Ping implements entry.Pinger.
func (*drainPinger) Ping(_ context.Context, u fleet.Upstream, _ string) (entry.Health, error) {
	return entry.Health{Leaving: u.ID == "u0"}, nil
}

// TestAnnouncementIsReadFromHealthChecks guards against requests to an upstream that has
// announced that it leaves in the response to a health check.
func TestAnnouncementIsReadFromHealthChecks(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		f := newDrainFleet(c, 3)
		config := *f.core.Config()
		config.Version++
		config.Services = map[string]fleet.Service{"lm": {Name: "lm", HealthPath: "/healthz"}}
		f.core.SetConfig(&config)
		f.core.SetConnector(&drainPinger{})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { f.core.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		hang := func(call entry.Call) (*entry.Response, error) {
			time.Sleep(4 * time.Second)
			return noResponse(call)
		}
		f.respondAll(hang)
		var running sync.WaitGroup
		for range 12 {
			running.Go(func() { _ = f.serve("/safe/x") })
		}
		running.Wait()
		f.respondAll(nil)
		time.Sleep(10 * time.Second)
		counts := f.sent(60)
		c.Assert(counts["u0"], qt.Equals, 0, qt.Commentf("%v", counts))
		c.Assert(counts, qt.HasLen, 2)
	})
}

// TestEndOfAnnouncedUpstreamIsTakenForACrash guards against a request that is refused because
// the upstreams that ran it had announced that they leave before they ended.
func TestEndOfAnnouncedUpstreamIsTakenForACrash(t *testing.T) {
	runCrashFleet(t, 1, 16, func(c *qt.C, f *crashFleet) {
		for range 5 {
			done := make(chan error, 1)
			go func() { done <- f.serve(0, "/once/x", longBody) }()
			time.Sleep(longRunTime / 4)
			f.mu.Lock()
			f.running[longBody].leaves = true
			f.mu.Unlock()
			var others sync.WaitGroup
			for n := range 32 {
				others.Go(func() { c.Check(f.serve(0, "/safe/x", fmt.Sprint("prompt ", n)), qt.IsNil) })
			}
			others.Wait()
			f.breakRun(longBody, func(e *crashEngine) { e.up = false })
			err := <-done
			c.Assert(apierr.IsKind(err, apierr.Unknown), qt.IsTrue, qt.Commentf("%v", err))
		}
		c.Assert(f.serve(0, "/once/x", longBody), qt.IsNil)
	})
}

// TestCheckAfterABreakTellsThatTheUpstreamLeaves guards against new requests at an upstream
// that has said, in the check after a connection broke, that it shuts down.
func TestCheckAfterABreakTellsThatTheUpstreamLeaves(t *testing.T) {
	runCrashFleet(t, 1, 3, func(c *qt.C, f *crashFleet) {
		done := make(chan error, 1)
		go func() { done <- f.serve(0, "/once/x", longBody) }()
		time.Sleep(longRunTime / 4)
		left := f.breakRun(longBody, func(e *crashEngine) { e.leaves = true })
		<-done
		time.Sleep(probeWait)
		for n := range 32 {
			body := fmt.Sprint("prompt ", n)
			c.Assert(f.serve(0, "/safe/x", body), qt.IsNil)
			f.mu.Lock()
			c.Check(f.running[body] == left, qt.IsFalse, qt.Commentf("request %d", n))
			f.mu.Unlock()
		}
	})
}

const probeWait = 100 * time.Millisecond // in which the check after a break ends

// TestAnnouncementIsLoggedOnce guards against a log line for each of the many responses of
// an upstream that leaves.
func TestAnnouncementIsLoggedOnce(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		core, log, out := newCoreOf(1, fleet.Idempotent, 1, 10*time.Second)
		h := entry.NewHandler(core, callFunc(func(_ context.Context, call entry.Call) (*entry.Response, error) {
			time.Sleep(time.Second)
			return announcing(complete("x"))(call)
		}), telemetry.NewMetrics(), log)
		var running sync.WaitGroup
		for range 8 {
			running.Go(func() {
				c.Check(h.Serve(context.Background(), entry.Request{ID: "r", Host: hostName, Path: "/x"}, httptest.NewRecorder()), qt.IsNil)
			})
		}
		running.Wait()
		c.Assert(strings.Count(out.String(), "event=upstream_leaving"), qt.Equals, 1)
		c.Assert(out.String(), qt.Contains, "source=response")
		c.Assert(out.String(), qt.Contains, "registered_leaving=false")
	})
}
