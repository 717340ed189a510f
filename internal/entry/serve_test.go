package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
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
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/slots"
	"github.com/masticscale/masticscale/internal/telemetry"
)

const hostName = "fleet.example"

// script is an UpstreamClient that responds to successive calls with its steps.
type script struct {
	mu    sync.Mutex
	steps []func(entry.Call) (*entry.Response, error)
	calls []entry.Call
}

func (s *script) Do(_ context.Context, call entry.Call) (*entry.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
	if len(s.steps) == 0 {
		return complete("last")(call)
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step(call)
}

func complete(text string) func(entry.Call) (*entry.Response, error) {
	return func(entry.Call) (*entry.Response, error) {
		return &entry.Response{Status: 200, Header: http.Header{"Signed": {"1"}}, Body: io.NopCloser(strings.NewReader(text)), Delimited: true}, nil
	}
}

func status(code int) func(entry.Call) (*entry.Response, error) {
	return func(entry.Call) (*entry.Response, error) {
		return &entry.Response{Status: code, Header: http.Header{"Signed": {"1"}}, Body: http.NoBody}, nil
	}
}

func rejected(entry.Call) (*entry.Response, error) {
	return &entry.Response{Status: 503, NotRun: true, Body: http.NoBody}, nil
}

func connectionRefused(entry.Call) (*entry.Response, error) {
	return nil, &entry.SendError{NotRun: true, Err: errors.New("connection refused")}
}

func noResponse(entry.Call) (*entry.Response, error) {
	return nil, &entry.SendError{Err: errors.New("connection reset")}
}

// events responds with the events numbered from to to. If truncated, the body then
// ends in an error within an event.
func events(from, to int, truncated bool) func(entry.Call) (*entry.Response, error) {
	return func(entry.Call) (*entry.Response, error) {
		var text strings.Builder
		for n := from; n <= to; n++ {
			fmt.Fprintf(&text, "id: %d\ndata: %d\n\n", n, n)
		}
		body := io.Reader(strings.NewReader(text.String()))
		if truncated {
			body = io.MultiReader(body, strings.NewReader("id: 99\nda"), &failingReader{})
		}
		return &entry.Response{Status: 200, Header: http.Header{"Signed": {fmt.Sprint(from)}}, Events: true, Body: io.NopCloser(body)}, nil
	}
}

type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

func eventText(from, to int) string {
	var text strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&text, "id: %d\ndata: %d\n\n", n, n)
	}
	return text.String()
}

func newCore(upstreams int) *entry.Core {
	log := logrus.New()
	log.SetOutput(io.Discard)
	core := entry.NewCore(entry.Identity{Name: "h1", Incarnation: "i1", DataCentre: "dc"}, log)
	target := []fleet.Target{{Service: "lm", Weight: 1}}
	second := time.Second
	core.SetConfig(&fleet.Config{
		Version: 1,
		Routes: []fleet.Route{
			{Name: "safe", Host: hostName, Prefix: "/safe/", Kind: fleet.Idempotent, Targets: target, Timeout: 5 * second, LatencyTarget: 300 * time.Millisecond, MaxAttempts: 3},
			{Name: "once", Host: hostName, Prefix: "/once/", Kind: fleet.Once, Targets: target, Timeout: 5 * second, LatencyTarget: 300 * time.Millisecond, MaxAttempts: 3},
			{Name: "stream", Host: hostName, Prefix: "/stream/", Kind: fleet.Stream, Targets: target, Timeout: 5 * second, LatencyTarget: 300 * time.Millisecond, MaxAttempts: 3, Resumable: true},
			{Name: "fixed", Host: hostName, Prefix: "/stream/fixed/", Kind: fleet.Stream, Targets: target, Timeout: 5 * second, LatencyTarget: 300 * time.Millisecond, MaxAttempts: 3},
			{Name: "open", Host: hostName, Prefix: "/open/", Kind: fleet.Idempotent, Targets: target, Timeout: 5 * second, Public: true, MaxAttempts: 1},
			{Name: "empty", Host: hostName, Prefix: "/empty/", Kind: fleet.Idempotent, Targets: []fleet.Target{{Service: "none", Weight: 1}}, Timeout: 5 * second, LatencyTarget: 300 * time.Millisecond},
		},
		Teams: map[string]fleet.Team{"cafe": {Name: "cafe"}, "slow": {Name: "slow", Rate: 1, Burst: 1}},
		Keys:  map[string]string{"k": "cafe", "s": "slow"},
	})
	var list []fleet.Upstream
	for n := range upstreams {
		list = append(list, fleet.Upstream{ID: fmt.Sprint("u", n), Service: "lm", Address: fmt.Sprint("u", n), Slots: 8})
	}
	core.SetUpstreams(list, 1)
	return core
}

// serve runs one request and returns the response and error.
func serve(core *entry.Core, s *script, path, key string) (*httptest.ResponseRecorder, error) {
	return serveWithin(core, s, path, key, 5*time.Second)
}

// serveWithin is like serve for a request with the given time left.
func serveWithin(core *entry.Core, s *script, path, key string, left time.Duration) (*httptest.ResponseRecorder, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := entry.NewHandler(core, s, telemetry.NewMetrics(), log)
	w := httptest.NewRecorder()
	err := h.Serve(context.Background(), entry.Request{ID: "r", Method: "POST", Target: path, Path: path, Host: hostName, Key: key, TimeLeft: left}, w)
	return w, err
}

// TestRetriesByRouteKind guards against a second run of a request that is not
// idempotent, and against an error that states "not run" though the request may have
// run.
func TestRetriesByRouteKind(t *testing.T) {
	cases := []struct {
		name, path string
		steps      []func(entry.Call) (*entry.Response, error)
		calls      int
		body       string
		kind       apierr.Kind
		execution  apierr.Execution
	}{
		{"complete response", "/safe/x", steps(complete("a")), 1, "a", "", ""},
		{"idempotent, no response", "/safe/x", steps(noResponse, complete("b")), 2, "b", "", ""},
		{"idempotent, status 500", "/safe/x", steps(status(500), complete("b")), 2, "b", "", ""},
		{"idempotent, no response from any upstream", "/safe/x", steps(noResponse, noResponse, noResponse), 3, "", apierr.Unknown, apierr.MayHaveRun},
		{"once, no response", "/once/x", steps(noResponse), 1, "", apierr.Unknown, apierr.MayHaveRun},
		{"once, connection refused, then rejected", "/once/x", steps(connectionRefused, rejected, complete("c")), 3, "c", "", ""},
		{"once, rejected by all upstreams", "/once/x", steps(rejected, rejected, rejected, rejected), 4, "", apierr.Overloaded, apierr.NotRun},
		{"idempotent, no response, then connection refused", "/safe/x", steps(noResponse, connectionRefused, connectionRefused, connectionRefused), 4, "", apierr.Unknown, apierr.MayHaveRun},
		{"idempotent, no response, then rejected", "/safe/x", steps(noResponse, rejected, rejected, rejected), 4, "", apierr.Unknown, apierr.MayHaveRun},
		{"stream, no response, then connection refused", "/stream/x", steps(noResponse, connectionRefused, connectionRefused, connectionRefused), 4, "", apierr.Unknown, apierr.MayHaveRun},
		{"once, connection refused by all upstreams", "/once/x", steps(connectionRefused, connectionRefused, connectionRefused, connectionRefused), 4, "", apierr.Overloaded, apierr.NotRun},
		{"once, connection refused, then no response", "/once/x", steps(connectionRefused, noResponse), 2, "", apierr.Unknown, apierr.MayHaveRun},
		{"once, status 503 without the not-run mark", "/once/x", steps(status(503)), 1, "", apierr.UpstreamError, apierr.MayHaveRun},
		{"complete stream", "/stream/x", steps(events(1, 4, false)), 1, eventText(1, 4), "", ""},
		{"truncated stream resumed at another upstream", "/stream/x", steps(events(1, 2, true), events(3, 4, false)), 2, eventText(1, 4), "", ""},
		{"upstream ignores the resume point", "/stream/x", steps(events(1, 2, true), events(1, 4, false), events(3, 4, false)), 3, eventText(1, 4), "", ""},
		{"stream, no response", "/stream/x", steps(noResponse, events(1, 4, false)), 2, eventText(1, 4), "", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := qt.New(t)
				s := &script{steps: tc.steps}
				w, err := serve(newCore(4), s, tc.path, "k")
				c.Assert(s.calls, qt.HasLen, tc.calls)
				if tc.kind != "" {
					c.Assert(apierr.IsKind(err, tc.kind), qt.IsTrue, qt.Commentf("%v", err))
					c.Assert(apierr.From(err).Execution, qt.Equals, tc.execution)
					c.Assert(w.Body.Len(), qt.Equals, 0)
					return
				}
				c.Assert(err, qt.IsNil)
				c.Assert(w.Body.String(), qt.Equals, tc.body)
			})
		})
	}
}

func steps(s ...func(entry.Call) (*entry.Response, error)) []func(entry.Call) (*entry.Response, error) {
	return s
}

func TestTruncatedStreamOfUnresumableRouteIsAborted(t *testing.T) {
	c := qt.New(t)
	s := &script{steps: steps(events(1, 2, true))}
	w, err := serve(newCore(4), s, "/stream/fixed/x", "k")
	c.Assert(errors.Is(err, entry.ErrResponseTruncated), qt.IsTrue)
	c.Assert(w.Body.String(), qt.Equals, eventText(1, 2))
	c.Assert(s.calls, qt.HasLen, 1)
}

// TestTruncatedStreamWithoutSlotIsAborted guards against a truncated stream that is
// closed as if complete, with the host's error as its last bytes, when no other
// upstream has a slot. Seen in soak seeds 1000, 1017, 1025, 1035, 1048 and 1049.
func TestTruncatedStreamWithoutSlotIsAborted(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		w, err := serve(newCore(1), &script{steps: steps(events(1, 2, true))}, "/stream/x", "k")
		c.Assert(errors.Is(err, entry.ErrResponseTruncated), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(w.Body.String(), qt.Equals, eventText(1, 2))
		w, err = serve(newCore(2), &script{steps: steps(events(1, 2, true), rejected)}, "/stream/x", "k")
		c.Assert(errors.Is(err, entry.ErrResponseTruncated), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(w.Body.String(), qt.Equals, eventText(1, 2))
	})
}

// TestResumedStreamContinuesAfterLastEvent checks that the second attempt names the
// last event and goes to another upstream, and that the first upstream's header stays.
func TestResumedStreamContinuesAfterLastEvent(t *testing.T) {
	c := qt.New(t)
	s := &script{steps: steps(events(1, 2, true), events(3, 4, false))}
	w, err := serve(newCore(4), s, "/stream/x", "k")
	c.Assert(err, qt.IsNil)
	c.Assert(s.calls[1].ResumeAfter, qt.Equals, "2")
	c.Assert(s.calls[1].Upstream.ID, qt.Not(qt.Equals), s.calls[0].Upstream.ID)
	c.Assert(s.calls[1].TimeLeft <= s.calls[0].TimeLeft, qt.IsTrue)
	c.Assert(w.Header().Get("Signed"), qt.Equals, "1")
}

func TestAuthorization(t *testing.T) {
	for _, tc := range []struct {
		path, key string
		kind      apierr.Kind
	}{
		{"/nowhere/x", "k", apierr.NotFound},
		{"/safe/x", "", apierr.Unauthorized},
		{"/safe/x", "wrong", apierr.Unauthorized},
		{"/empty/x", "k", apierr.Overloaded},
	} {
		c := qt.New(t)
		s := &script{}
		_, err := serve(newCore(1), s, tc.path, tc.key)
		c.Assert(apierr.IsKind(err, tc.kind), qt.IsTrue, qt.Commentf("%s: %v", tc.path, err))
		c.Assert(apierr.From(err).Execution, qt.Equals, apierr.NotRun)
		c.Assert(s.calls, qt.HasLen, 0)
	}
	c := qt.New(t)
	s := &script{}
	_, err := serve(newCore(1), s, "/open/x", "")
	c.Assert(err, qt.IsNil)
	c.Assert(s.calls[0].Team, qt.Equals, "")
	s = &script{}
	_, err = serve(newCore(1), s, "/safe/x", "k")
	c.Assert(err, qt.IsNil)
	c.Assert(s.calls[0].Team, qt.Equals, "cafe")
}

// TestRejectedRequestIsRefunded checks that a request that no upstream ran isn't
// charged to the team's rate limit.
func TestRejectedRequestIsRefunded(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		core := newCore(1)
		time.Sleep(time.Second)
		s := &script{steps: steps(rejected)}
		_, err := serve(core, s, "/once/x", "s")
		c.Assert(apierr.From(err).Execution, qt.Equals, apierr.NotRun)
		time.Sleep(100 * time.Millisecond)
		_, err = serve(core, &script{}, "/once/x", "s")
		c.Assert(err, qt.IsNil)
		_, err = serve(core, &script{}, "/once/x", "s")
		c.Assert(apierr.IsKind(err, apierr.RateLimited), qt.IsTrue)
	})
}

// TestOverloadIsRejectedEarly fills all slots from a peer and checks that a first
// attempt is rejected within 75 ms, and that a slot freed in time goes to a waiter.
func TestOverloadIsRejectedEarly(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		core := newCore(1)
		full := mesh.State{Host: "h2", Incarnation: "i2", Running: map[string]slots.Counts{"u0": {Online: 8}}}
		core.MergeState(full)
		started := time.Now()
		_, err := serve(core, &script{}, "/safe/x", "k")
		c.Assert(apierr.IsKind(err, apierr.Overloaded), qt.IsTrue)
		c.Assert(time.Since(started) <= 75*time.Millisecond, qt.IsTrue)
		c.Assert(apierr.From(err).RetryAfter > 0, qt.IsTrue)
		go func() {
			time.Sleep(30 * time.Millisecond)
			full.Running = map[string]slots.Counts{"u0": {Online: 7}}
			core.MergeState(full)
		}()
		_, err = serve(core, &script{}, "/safe/x", "k")
		c.Assert(err, qt.IsNil)
	})
}

// TestUnresponsivePeer checks that the requests of an unresponsive host stop occupying
// slots. Until it is unregistered, the host still counts in the fleet's size, so that
// its share of the team rates is not handed out twice.
func TestUnresponsivePeer(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		core := newCore(1)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { core.Run(ctx) })
		core.MergeState(mesh.State{Host: "h2", Incarnation: "i2", Running: map[string]slots.Counts{"u0": {Online: 8}}})
		c.Assert(core.SeesMajority(), qt.IsTrue)
		time.Sleep(4 * time.Second)
		c.Assert(core.SeesMajority(), qt.IsFalse)
		_, err := serve(core, &script{}, "/safe/x", "k")
		c.Assert(err, qt.IsNil)
		core.SetMembers(map[string]entry.HostInfo{"h1": {Address: "a"}}, 2) // h2 was unregistered
		c.Assert(core.SeesMajority(), qt.IsTrue)
		cancel()
		wg.Wait()
	})
}

// TestHostThatEndsSoonAfterItsStartIsNoticedLate guards against a host that is heard before it
// is listed, and whose end is then noticed as late as that of a host of another cell.
func TestHostThatEndsSoonAfterItsStartIsNoticedLate(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		core := newCore(1)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { core.Run(ctx) })
		core.MergeState(mesh.State{Host: "h2", Incarnation: "i2", DataCentre: "dc"})
		core.SetMembers(map[string]entry.HostInfo{"h1": {Address: "a", DataCentre: "dc"}, "h2": {Address: "b", DataCentre: "dc"}}, 2)
		time.Sleep(time.Second)
		c.Check(core.Peers(), qt.HasLen, 0)
		cancel()
		wg.Wait()
	})
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	c := qt.New(t)
	core := newCore(1)
	c.Assert(core.SetConfig(&fleet.Config{Version: 1}), qt.IsFalse)
	c.Assert(core.SetConfig(&fleet.Config{Version: 3}), qt.IsTrue)
	c.Assert(core.SetConfig(&fleet.Config{Version: 2}), qt.IsFalse)
	c.Assert(core.Config().Version, qt.Equals, int64(3))
}

// TestStoreReachabilityFollowsStoreCalls guards against peers that relay store calls
// through a host whose own calls fail. A host that doesn't watch the store must report
// the result of its calls.
func TestStoreReachabilityFollowsStoreCalls(t *testing.T) {
	c := qt.New(t)
	core := newCore(1)
	core.SetStoreReachable(true)
	c.Assert(core.State().StoreReachable, qt.IsTrue)
	core.RecordStoreCall(false)
	c.Assert(core.State().StoreReachable, qt.IsFalse)
	core.RecordStoreCall(true)
	c.Assert(core.State().StoreReachable, qt.IsTrue)
}

// TestStorePollersReachTheStore guards against electing store pollers that are
// partitioned from the store and so can't detect stalled watches. In a large fleet
// both pollers were partitioned when the store dropped its history, and a
// configuration became active 6 s late.
func TestStorePollersReachTheStore(t *testing.T) {
	c := qt.New(t)
	core := newCore(1)
	core.SetStoreReachable(true)
	peer := func(n int, reachesStore bool) mesh.State {
		return mesh.State{Host: fmt.Sprint("peer-", n), Incarnation: "i", DataCentre: "dc", StoreReachable: reachesStore}
	}
	for n := range 20 {
		core.MergeState(peer(n, false))
	}
	c.Assert(core.IsStorePoller(), qt.IsTrue)
	core.SetStoreReachable(false)
	for n := range 20 {
		core.MergeState(peer(n, true))
	}
	c.Assert(core.IsStorePoller(), qt.IsFalse)
}
