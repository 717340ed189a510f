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
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/slots"
	"github.com/masticscale/masticscale/internal/telemetry"
)

const hostName = "fleet.example"

// script answers the calls in order.
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
		return whole("last")(call)
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step(call)
}

func whole(text string) func(entry.Call) (*entry.Response, error) {
	return func(entry.Call) (*entry.Response, error) {
		return &entry.Response{Status: 200, Header: http.Header{"Signed": {"1"}}, Body: io.NopCloser(strings.NewReader(text))}, nil
	}
}

func status(code int) func(entry.Call) (*entry.Response, error) {
	return func(entry.Call) (*entry.Response, error) {
		return &entry.Response{Status: code, Header: http.Header{"Signed": {"1"}}, Body: http.NoBody}, nil
	}
}

func shed(entry.Call) (*entry.Response, error) {
	return &entry.Response{Status: 503, NotRun: true, Body: http.NoBody}, nil
}

func unsent(entry.Call) (*entry.Response, error) {
	return nil, &entry.SendError{NotRun: true, Err: errors.New("connection refused")}
}

func silent(entry.Call) (*entry.Response, error) {
	return nil, &entry.SendError{Err: errors.New("connection reset")}
}

// events makes the events from a number on; broken ones end in an error.
func events(from, to int, broken bool) func(entry.Call) (*entry.Response, error) {
	return func(entry.Call) (*entry.Response, error) {
		var text strings.Builder
		for n := from; n <= to; n++ {
			fmt.Fprintf(&text, "id: %d\ndata: %d\n\n", n, n)
		}
		body := io.Reader(strings.NewReader(text.String()))
		if broken {
			body = io.MultiReader(body, strings.NewReader("id: 99\nda"), &failing{})
		}
		return &entry.Response{Status: 200, Header: http.Header{"Signed": {fmt.Sprint(from)}}, Events: true, Body: io.NopCloser(body)}, nil
	}
}

type failing struct{}

func (*failing) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

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
			{Name: "safe", Host: hostName, Prefix: "/safe/", Kind: fleet.Idempotent, Targets: target, Timeout: 5 * second, Aim: 300 * time.Millisecond, MaxAttempts: 3},
			{Name: "once", Host: hostName, Prefix: "/once/", Kind: fleet.Once, Targets: target, Timeout: 5 * second, Aim: 300 * time.Millisecond, MaxAttempts: 3},
			{Name: "stream", Host: hostName, Prefix: "/stream/", Kind: fleet.Stream, Targets: target, Timeout: 5 * second, Aim: 300 * time.Millisecond, MaxAttempts: 3, Resumable: true},
			{Name: "fixed", Host: hostName, Prefix: "/stream/fixed/", Kind: fleet.Stream, Targets: target, Timeout: 5 * second, Aim: 300 * time.Millisecond, MaxAttempts: 3},
			{Name: "open", Host: hostName, Prefix: "/open/", Kind: fleet.Idempotent, Targets: target, Timeout: 5 * second, Public: true, MaxAttempts: 1},
			{Name: "empty", Host: hostName, Prefix: "/empty/", Kind: fleet.Idempotent, Targets: []fleet.Target{{Service: "none", Weight: 1}}, Timeout: 5 * second, Aim: 300 * time.Millisecond},
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

// serve runs one request and returns what the caller sees.
func serve(core *entry.Core, s *script, path, key string) (*httptest.ResponseRecorder, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := entry.NewHandler(core, s, telemetry.NewMetrics(), log)
	w := httptest.NewRecorder()
	err := h.Serve(context.Background(), entry.Request{ID: "r", Method: "POST", Target: path, Path: path, Host: hostName, Key: key, Left: 5 * time.Second}, w)
	return w, err
}

func TestWhatMayRunAgain(t *testing.T) {
	cases := []struct {
		name, path string
		steps      []func(entry.Call) (*entry.Response, error)
		calls      int
		body       string
		kind       apierr.Kind
		execution  apierr.Execution
	}{
		{"answered", "/safe/x", steps(whole("a")), 1, "a", "", ""},
		{"idempotent after no answer", "/safe/x", steps(silent, whole("b")), 2, "b", "", ""},
		{"idempotent after a failure", "/safe/x", steps(status(500), whole("b")), 2, "b", "", ""},
		{"idempotent fails everywhere", "/safe/x", steps(silent, silent, silent), 3, "", apierr.Unknown, apierr.MayHaveRun},
		{"once after no answer", "/once/x", steps(silent), 1, "", apierr.Unknown, apierr.MayHaveRun},
		{"once that was never sent", "/once/x", steps(unsent, shed, whole("c")), 3, "c", "", ""},
		{"once turned away by all", "/once/x", steps(shed, shed, shed, shed), 4, "", apierr.Overloaded, apierr.NotRun},
		{"once that no upstream is reached for", "/once/x", steps(unsent, unsent, unsent, unsent), 4, "", apierr.Overloaded, apierr.NotRun},
		{"once sent, then nothing free", "/once/x", steps(unsent, silent), 2, "", apierr.Unknown, apierr.MayHaveRun},
		{"once with a status that would promise too much", "/once/x", steps(status(503)), 1, "", apierr.UpstreamError, apierr.MayHaveRun},
		{"stream whole", "/stream/x", steps(events(1, 4, false)), 1, eventText(1, 4), "", ""},
		{"stream goes on elsewhere", "/stream/x", steps(events(1, 2, true), events(3, 4, false)), 2, eventText(1, 4), "", ""},
		{"stream of another run", "/stream/x", steps(events(1, 2, true), events(1, 4, false), events(3, 4, false)), 3, eventText(1, 4), "", ""},
		{"stream without a first event", "/stream/x", steps(silent, events(1, 4, false)), 2, eventText(1, 4), "", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
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

func TestStreamThatMayNotGoOnIsCut(t *testing.T) {
	c := qt.New(t)
	s := &script{steps: steps(events(1, 2, true))}
	w, err := serve(newCore(4), s, "/stream/fixed/x", "k")
	c.Assert(errors.Is(err, entry.ErrResponseTruncated), qt.IsTrue)
	c.Assert(w.Body.String(), qt.Equals, eventText(1, 2))
	c.Assert(s.calls, qt.HasLen, 1)
}

// TestStreamThatFindsNoPlaceIsCut failed in the soak (seeds 1000, 1017, 1025,
// 1035, 1048, 1049): a stream that broke off and found no other upstream was
// closed as if whole, with the host's own error as its last bytes.
func TestStreamThatFindsNoPlaceIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w, err := serve(newCore(1), &script{steps: steps(events(1, 2, true))}, "/stream/x", "k")
		c.Assert(errors.Is(err, entry.ErrResponseTruncated), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(w.Body.String(), qt.Equals, eventText(1, 2))
		w, err = serve(newCore(2), &script{steps: steps(events(1, 2, true), shed)}, "/stream/x", "k")
		c.Assert(errors.Is(err, entry.ErrResponseTruncated), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(w.Body.String(), qt.Equals, eventText(1, 2))
	})
}

// TestResumedStreamAsksForTheRest checks the second attempt, and that the
// caller keeps the first upstream's header.
func TestResumedStreamAsksForTheRest(t *testing.T) {
	c := qt.New(t)
	s := &script{steps: steps(events(1, 2, true), events(3, 4, false))}
	w, err := serve(newCore(4), s, "/stream/x", "k")
	c.Assert(err, qt.IsNil)
	c.Assert(s.calls[1].ResumeAfter, qt.Equals, "2")
	c.Assert(s.calls[1].Upstream.ID, qt.Not(qt.Equals), s.calls[0].Upstream.ID)
	c.Assert(s.calls[1].Left <= s.calls[0].Left, qt.IsTrue)
	c.Assert(w.Header().Get("Signed"), qt.Equals, "1")
}

func TestWhoMayAsk(t *testing.T) {
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

// TestRefusedRequestCostsNoRate checks that a request which no upstream ran
// leaves the team's rate as it was.
func TestRefusedRequestCostsNoRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		core := newCore(1)
		time.Sleep(time.Second)
		s := &script{steps: steps(shed)}
		_, err := serve(core, s, "/once/x", "s")
		c.Assert(apierr.From(err).Execution, qt.Equals, apierr.NotRun)
		time.Sleep(100 * time.Millisecond)
		_, err = serve(core, &script{}, "/once/x", "s")
		c.Assert(err, qt.IsNil)
		_, err = serve(core, &script{}, "/once/x", "s")
		c.Assert(apierr.IsKind(err, apierr.RateLimited), qt.IsTrue)
	})
}

// TestPeakIsRefusedEarly fills every slot through a peer, and checks when a
// newcomer hears of it, and that a slot which becomes free goes to the waiter.
func TestPeakIsRefusedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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

// TestSilentPeer checks that what a lost host ran is forgotten, and that its
// part of the rate is not handed out twice.
func TestSilentPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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
		core.SetMembers(map[string]entry.HostInfo{"h1": {Address: "a"}}, 2) // the host was removed for good
		c.Assert(core.SeesMajority(), qt.IsTrue)
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

// TestHostThatTheStoreTurnsAwayMakesNoCallsForPeers: peers take a host's word for
// whether it reaches the store, also when the host doesn't watch it.
func TestHostThatTheStoreTurnsAwayMakesNoCallsForPeers(t *testing.T) {
	c := qt.New(t)
	core := newCore(1)
	core.SetStoreReachable(true)
	c.Assert(core.State().StoreReachable, qt.IsTrue)
	core.RecordStoreCall(false)
	c.Assert(core.State().StoreReachable, qt.IsFalse)
	core.RecordStoreCall(true)
	c.Assert(core.State().StoreReachable, qt.IsTrue)
}

// TestSentinelsReachTheStore: hosts that are heard and don't reach the store are
// not counted on to find out whether watches are deaf. On a grown site both
// sentinels were cut off from the store when it dropped its history, and a
// configuration came into force six seconds late.
func TestSentinelsReachTheStore(t *testing.T) {
	c := qt.New(t)
	core := newCore(1)
	core.SetStoreReachable(true)
	peer := func(n int, reaches bool) mesh.State {
		return mesh.State{Host: fmt.Sprint("peer-", n), Incarnation: "i", DataCentre: "dc", StoreReachable: reaches}
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
