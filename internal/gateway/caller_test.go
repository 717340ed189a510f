package gateway_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/emulator/engine"
	"github.com/masticscale/masticscale/internal/emulator/fault"
	"github.com/masticscale/masticscale/internal/emulator/plainservice"
	"github.com/masticscale/masticscale/internal/route"
	"github.com/masticscale/masticscale/internal/service"
)

// fakeUpstreams is a fleet with an engine and a plain service on several routes.
type fakeUpstreams struct {
	*fleet
	cards  *plainservice.Server
	engine *engine.Server
	cardsURL,
	engineURL string
}

func newFakeUpstreams(c *qt.C) *fakeUpstreams {
	s := &fakeUpstreams{fleet: newFleet(c), cards: new(plainservice.Server), engine: engine.New(engine.Options{Name: "e1", Slots: 8})}
	s.cardsURL = newHTTP(c, s.cards.Handler())
	s.engineURL = newHTTP(c, s.engine.Handler())
	s.service("cards", service.Plain, s.cardsURL)
	s.service("m", service.Engine, s.engineURL)
	s.parts.Routes["disputes"] = route.Spec{Path: "/disputes/", Service: "cards", Methods: []string{"POST"}}
	s.parts.Routes["open"] = route.Spec{Path: "/open/", Service: "cards", Open: true}
	return s
}

// receivedBytes returns everything that the fake upstreams received.
func (s *fakeUpstreams) receivedBytes() string {
	return s.send("GET", s.cardsURL+"/control/seen", "", "Authorization", "").body +
		s.send("GET", s.engineURL+"/control/seen", "", "Authorization", "").body
}

func (s *fakeUpstreams) executions() map[string]int {
	counts := map[string]int{}
	for _, at := range []string{s.cardsURL, s.engineURL} {
		body := s.send("GET", at+"/control/executions", "", "Authorization", "").body
		s.c.Assert(json.Unmarshal([]byte(body), &counts), qt.IsNil)
	}
	return counts
}

// TestKeyReachesNoUpstream puts the key in every part of a request that a caller
// controls. Neither an upstream nor the log may receive it.
func TestKeyReachesNoUpstream(t *testing.T) {
	c := qt.New(t)
	s := newFakeUpstreams(c)
	at := s.host("h1")
	k := s.secret
	escaped := "%6d" + k[1:]
	inJSON := `\u006d` + k[1:]
	for _, r := range []struct {
		method, target, body string
		header               []string
	}{
		{"POST", "/disputes/a", "b", nil},
		{"POST", "/disputes/a", "b", []string{"Authorization", "bearer " + k}},
		{"POST", "/disputes/a", "b", []string{"Authorization", "", "X-Api-Key", k}},
		{"POST", "/disputes/a", "b", []string{"Authorization", "", "Api-Key", k}},
		{"POST", "/disputes/a", "b", []string{"Cookie", "k=" + k, "Baggage", "k=" + k, "Tracestate", "k=" + k, "Traceparent", k, "X-Other", k, "User-Agent", k}},
		{"POST", "/disputes/a", "b", []string{"Accept", k}},
		{"POST", "/disputes/a", "b", []string{"Content-Type", "text/plain; k=" + k}},
		{"POST", "/disputes/a", "b", []string{"Idempotency-Key", k}},
		{"POST", "/disputes/a?token=" + k + "&x=" + k + "&" + k + "=1&Key=other&y=" + escaped, "b", nil},
		{"POST", "/disputes/" + k, "b", nil},
		{"POST", "/disputes/" + escaped, "b", nil},
		{"POST", "/disputes/a", "my key is " + k, nil},
		{"POST", "/disputes/a", `{"k":"` + inJSON + `"}`, nil},
		{"POST", "/disputes/a", "k=" + url.QueryEscape(k), nil},
		{"POST", "/open/a", "my key is " + k, nil},
		{"POST", "/open/" + k, "b", []string{"Authorization", ""}},
		{"POST", "/v1/chat/completions", chat("m", "hello", true), []string{"Cookie", k, "X-Extra", k}},
		{"POST", "/v1/chat/completions", `{"model":"m","user":"` + k + `"}`, nil},
		{"POST", "/v1/chat/completions", `{"model":"m","metadata":{"` + inJSON + `":1}}`, nil},
		{"POST", "/v1/chat/completions?key=" + k, chat("m", "hello", false), nil},
		{"POST", "/v1/completions", `{"model":"m","prompt":"` + k + `"}`, nil},
		{"GET", "/nowhere/" + k, "", nil},
		{"GET", "/v1/nowhere/" + k, "", nil},
	} {
		reply := s.send(r.method, at+r.target, r.body, r.header...)
		c.Check(strings.Contains(reply.body, k) && reply.status >= 400, qt.IsFalse, qt.Commentf("%s %s", r.method, r.target))
	}
	received := s.receivedBytes()
	c.Assert(received, qt.Contains, "/disputes/a")
	c.Assert(received, qt.Contains, "hello")
	c.Assert(strings.Contains(received, k[1:]), qt.IsFalse)
	c.Assert(strings.Contains(s.logs.String(), k[1:]), qt.IsFalse)
}

// TestOnlyOwnTeamRuns sends requests with wrong or ambiguous keys and ambiguous
// paths. None of them may run.
func TestOnlyOwnTeamRuns(t *testing.T) {
	c := qt.New(t)
	s := newFakeUpstreams(c)
	at := s.host("h1")
	for _, r := range []struct {
		target string
		status int
		header []string
	}{
		{"/disputes/a", 401, []string{"Authorization", ""}},
		{"/disputes/a", 401, []string{"Authorization", "", "Authorization", "Bearer "}},
		{"/disputes/a", 401, []string{"Authorization", "", "Authorization", "Bearer msk-guessed"}},
		{"/disputes/a", 401, []string{"Authorization", "", "Authorization", "Basic " + s.secret}},
		{"/disputes/a", 401, []string{"Authorization", "", "Authorization", s.secret}},
		{"/disputes/a", 401, []string{"Authorization", "Bearer " + s.other}},
		{"/disputes/a", 401, []string{"X-Api-Key", s.other}},
		{"/disputes/a", 401, []string{"X-Api-Key", " "}},
		{"/open/../disputes/a", 400, []string{"Authorization", ""}},
		{"/open/%2e%2e/disputes/a", 400, []string{"Authorization", ""}},
		{"/open/..%2fdisputes/a", 400, []string{"Authorization", ""}},
		{"/open/..%5cdisputes/a", 400, []string{"Authorization", ""}},
		{"/open/%252e%252e/disputes/a", 400, []string{"Authorization", ""}},
		{"/open//disputes/a", 400, []string{"Authorization", ""}},
		{"/open/..;/disputes/a", 400, []string{"Authorization", ""}},
		{"//disputes/a", 400, nil},
		{"/disputes/./a", 400, nil},
		{"/disputes", 404, nil},
	} {
		req, err := http.NewRequest("POST", at, strings.NewReader("body"))
		c.Assert(err, qt.IsNil)
		req.URL.Opaque = r.target // sent without normalization
		if strings.HasPrefix(r.target, "//") {
			req.URL.Opaque = at + r.target
		}
		req.Header.Set("Authorization", "Bearer "+s.secret)
		for i := 0; i < len(r.header); i += 2 {
			if r.header[i+1] == "" {
				req.Header.Del(r.header[i])
				continue
			}
			req.Header.Add(r.header[i], r.header[i+1])
		}
		resp, err := httpClient.Do(req)
		c.Assert(err, qt.IsNil)
		_ = resp.Body.Close()
		c.Check(resp.StatusCode, qt.Equals, r.status, qt.Commentf("%s %v", r.target, r.header))
		c.Check(resp.Header.Get("X-Masticscale-Execution"), qt.Equals, "not_run")
	}
	c.Assert(s.executions(), qt.HasLen, 0)
}

// TestBadInput checks that each invalid request gets a typed error with a remedy.
func TestBadInput(t *testing.T) {
	c := qt.New(t)
	s := newFakeUpstreams(c)
	s.limits.MaxBodyBytes = 2000
	at := s.host("h1")
	for _, r := range []struct {
		method, path, body string
		status             int
		code               string
		header             []string
	}{
		{"POST", "/v1/chat/completions", "", 400, "invalid_request", nil},
		{"POST", "/v1/chat/completions", "[]", 400, "invalid_request", nil},
		{"POST", "/v1/chat/completions", `{"model":7}`, 400, "invalid_request", nil},
		{"POST", "/v1/chat/completions", `{"model":"m","max_tokens":"many"}`, 400, "invalid_request", nil},
		{"POST", "/v1/chat/completions", `{"model":"m"`, 400, "invalid_request", nil},
		{"POST", "/v1/chat/completions", `{"model":"m"} {"model":"m"}`, 400, "invalid_request", nil},
		{"POST", "/v1/chat/completions", `{"model":"m","model":"other"}`, 400, "invalid_request", nil},
		{"POST", "/v1/chat/completions", `{"Model":"other","model":"m"}`, 400, "invalid_request", nil},
		{"POST", "/v1/chat/completions", `{"messages":[]}`, 400, "invalid_request", nil},
		{"POST", "/v1/chat/completions", `{"model":"none"}`, 404, "not_found", nil},
		{"POST", "/v1/chat/completions", strings.Repeat(" ", 2001), 413, "request_too_large", nil},
		{"POST", "/disputes/a", strings.Repeat("x", 2001), 413, "request_too_large", nil},
		{"POST", "/disputes/a", "x", 400, "invalid_request", []string{"Idempotency-Key", "a", "Idempotency-Key", "b"}},
		{"POST", "/disputes/a", "x", 400, "invalid_request", []string{"Idempotency-Key", strings.Repeat("k", 300)}},
		{"GET", "/v1/chat/completions", "", 405, "method_not_allowed", nil},
		{"GET", "/disputes/a", "", 405, "method_not_allowed", nil},
		{"GET", "/v1/nothing", "", 404, "not_found", nil},
		{"GET", "/nothing", "", 404, "not_found", nil},
		{"GET", "/v1/models/none", "", 404, "not_found", nil},
	} {
		reply := s.send(r.method, at+r.path, r.body, r.header...)
		note := qt.Commentf("%s %s %.40s", r.method, r.path, r.body)
		c.Check(reply.status, qt.Equals, r.status, note)
		var e struct {
			Error struct{ Message, Type, Code, Execution string }
		}
		c.Check(json.Unmarshal([]byte(reply.body), &e), qt.IsNil, note)
		c.Check(e.Error.Code, qt.Equals, r.code, note)
		c.Check(e.Error.Execution, qt.Equals, "not_run", note)
		c.Check(e.Error.Message, qt.Contains, "; ", note)
		if r.status == 405 {
			c.Check(reply.header.Get("Allow"), qt.Equals, "POST", note)
		}
	}
	c.Assert(s.executions(), qt.HasLen, 0)
}

// TestResendThroughOtherHost retries a request with an idempotency key through
// other hosts after the first response was lost. It may run only once, also with
// the method GET.
func TestResendThroughOtherHost(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			c := qt.New(t)
			s := newFakeUpstreams(c)
			s.parts.Routes["any"] = route.Spec{Path: "/any", Service: "cards"}
			h1, h2 := s.host("h1"), s.host("h2")
			s.cards.Faults.Replace(fault.Faults{CutBeforeHeaders: 1})
			keyed := []string{"Idempotency-Key", "k1", "X-Request-Number", "n1"}
			c.Assert(s.send(method, h1+"/any", "", keyed...).execution(), qt.Equals, "unknown")
			for _, at := range []string{h2, h1, h2} {
				r := s.send(method, at+"/any", "", keyed...)
				c.Assert(r.status, qt.Equals, http.StatusBadGateway)
				c.Assert(r.body, qt.Contains, "outcome_unknown")
			}
			keyed = []string{"Idempotency-Key", "k2", "X-Request-Number", "n2"}
			first := s.send(method, h1+"/any", "", keyed...)
			c.Assert(first.status, qt.Equals, http.StatusOK)
			again := s.send(method, h2+"/any", "", keyed...)
			c.Assert(again.body, qt.Equals, first.body)
			c.Assert(again.header.Get("Idempotent-Replayed"), qt.Equals, "true")
			other := s.send(method, h2+"/any", "", append(keyed, "Authorization", "", "Authorization", "Bearer "+s.other)...)
			c.Assert(other.header.Get("Idempotent-Replayed"), qt.Equals, "", qt.Commentf("another team's key of the same name"))
			c.Assert(s.executions()["n1"], qt.Equals, 1)
			c.Assert(s.executions()["n2"], qt.Equals, 2, qt.Commentf("once for each team"))
		})
	}
}

// TestKeyIsReleasedWhenRequestDidNotRun retries a keyed request that failed
// because the upstream refused connections. The key must be released, so that
// the retry runs.
func TestKeyIsReleasedWhenRequestDidNotRun(t *testing.T) {
	c := qt.New(t)
	s := newFakeUpstreams(c)
	down := newScriptedUpstream(c, 0, nil)
	down.close()
	s.service("gone", service.Plain, down.url())
	s.parts.Routes["gone"] = route.Spec{Path: "/gone", Service: "gone"}
	h1 := s.host("h1")
	s.parts.Routes["gone"] = route.Spec{Path: "/gone", Service: "cards"}
	h2 := s.host("h2")
	c.Assert(s.send("POST", h1+"/gone", "n", "Idempotency-Key", "k").execution(), qt.Equals, "not_run")
	c.Assert(s.send("POST", h2+"/gone", "n", "Idempotency-Key", "k").status, qt.Equals, http.StatusOK)
	c.Assert(s.executions()["n"], qt.Equals, 1)
}

// TestCompletionRunsOnceWhenKeyIsRepeated sends the same keyed completion many
// times concurrently. It runs once and all callers get the same response.
func TestCompletionRunsOnceWhenKeyIsRepeated(t *testing.T) {
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprint("stream ", stream), func(t *testing.T) {
			c := qt.New(t)
			s := newFakeUpstreams(c)
			at := s.host("h1")
			bodies := make(chan string)
			for range 8 {
				go func() {
					bodies <- s.send("POST", at+"/v1/chat/completions", chat("m", "which quill", stream), "Idempotency-Key", "q").body
				}()
			}
			first := <-bodies
			for range 7 {
				c.Check(<-bodies, qt.Equals, first)
			}
			c.Assert(s.executions()["which quill"], qt.Equals, 1)
			other := s.send("POST", at+"/v1/chat/completions", chat("m", "which jack", stream), "Idempotency-Key", "q")
			c.Assert(other.status, qt.Equals, http.StatusConflict)
		})
	}
}
