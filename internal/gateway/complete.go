package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/claim"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/outcome"
	"github.com/masticscale/masticscale/internal/serving"
	"github.com/masticscale/masticscale/internal/upstream"
)

const (
	bytesPerToken    = 4
	defaultMaxTokens = 16
)

// completionRequest is what the host needs to know of a request's body; the
// rest goes to the engine as it came.
type completionRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

// tokens estimates the prompt and generated tokens.
func (c completionRequest) tokens(body []byte) int {
	generated := c.MaxTokens
	if generated <= 0 {
		generated = defaultMaxTokens
	}
	return len(body)/bytesPerToken + generated
}

// maxRuns bounds how often a request runs whose answers break off before a byte
// of one went out.
const maxRuns = 2

// completion is a request for a model that passed all checks.
type completion struct {
	who     caller
	key     string // Idempotency-Key; empty when none came
	request serving.Request
}

// complete serves chat completions and completions.
func (g *Gateway) complete(w http.ResponseWriter, r *http.Request) {
	const class = string(dispatch.Online)
	snapshot := g.catalog.Current()
	c, err := g.acceptCompletion(w, r, snapshot)
	if err != nil {
		g.fail(w, r, class, c.who.team, err)
		return
	}
	if c.key == "" {
		g.end(r, class, c.who.team, g.runCompletion(r.Context(), w, snapshot, c))
		return
	}
	g.end(r, class, c.who.team, g.joinCompletion(w, r, snapshot, c))
}

// acceptCompletion checks a request and charges its team.
func (g *Gateway) acceptCompletion(w http.ResponseWriter, r *http.Request, s *catalog.Snapshot) (completion, error) {
	var c completion
	var err error
	if c.who, err = g.authenticate(r); err != nil {
		return c, err
	}
	body, err := g.readBody(w, r, s.Limits.MaxBodyBytes)
	if err != nil {
		return c, err
	}
	req, service, err := parseCompletion(s, body)
	if err != nil {
		return c, err
	}
	if c.key, err = idempotencyKey(r); err != nil {
		return c, err
	}
	c.request = serving.Request{
		Team: c.who.team, Weight: c.who.spec.EffectiveWeight(), Service: service, Class: dispatch.Online,
		Tokens: req.tokens(body), MaxQueue: s.Limits.MaxQueuedPerTeam,
		Call: upstream.Call{Method: r.Method, Path: r.URL.Path, Header: engineHeader(), Body: body, Repeatable: true},
	}
	if err := checkNoSecret(r, c.request.Call.Header, body, c.who.secret); err != nil {
		return c, err
	}
	return c, g.limiter.Take(r.Context(), c.who.team, c.who.spec)
}

// joinCompletion runs a keyed request once on this host; its resends share the
// answer.
func (g *Gateway) joinCompletion(w http.ResponseWriter, r *http.Request, s *catalog.Snapshot, c completion) outcome.Outcome {
	name := claim.NameOf(c.who.team, c.key)
	call := c.request.Call
	print := claim.FingerprintOf(call.Method, call.Path, "", "", call.Body)
	for {
		shared, first := g.flights.join(name, print)
		if first {
			return g.fly(w, r, s, c, name, shared)
		}
		if shared.fingerprint != print {
			return refuse(w, apierr.New(apierr.Conflict, "the Idempotency-Key was used for a request with other content", "use a new key for a new request"))
		}
		kept, err := shared.wait(r.Context())
		if err != nil {
			return callerGone(err)
		}
		if kept != nil {
			return replay(w, r, kept)
		}
	}
}

// fly runs the first request of a key to its end, also when its caller goes
// away, so that a resend gets the same answer.
func (g *Gateway) fly(w http.ResponseWriter, r *http.Request, s *catalog.Snapshot, c completion, name string, shared *flight) outcome.Outcome {
	var kept *claim.Response
	defer func() { g.flights.land(name, shared, kept) }()
	rec := &recorder{ResponseWriter: w}
	o := g.runCompletion(context.WithoutCancel(r.Context()), rec, s, c)
	if rec.whole && rec.status < http.StatusInternalServerError {
		kept = rec.kept()
	}
	return o
}

// runCompletion runs the request, and once more where an answer broke off before
// any of it went out.
func (g *Gateway) runCompletion(ctx context.Context, w http.ResponseWriter, s *catalog.Snapshot, c completion) outcome.Outcome {
	ctx, cancel := context.WithTimeout(ctx, s.Limits.RequestTimeout())
	defer cancel()
	for run := 1; ; run++ {
		answer, err := g.run(ctx, c.request)
		if err != nil {
			if run > 1 {
				err = apierr.From(err).MayHaveRun()
			}
			return refuse(w, err)
		}
		o, delivered := g.deliver(ctx, w, answer, s.Limits.AnswerSilence(), c.key != "")
		if delivered {
			return o
		}
		if run >= maxRuns || ctx.Err() != nil {
			return refuse(w, o.Err)
		}
		c.request.Call.Fresh = true
	}
}

// deliver passes the answer on. It reports false when the answer broke off
// before any of it went out.
func (g *Gateway) deliver(ctx context.Context, w http.ResponseWriter, answer *dispatch.Response, silence time.Duration, keepOn bool) (outcome.Outcome, bool) {
	if isEventStream(answer.Header) {
		s, err := beginStream(w, answer, silence)
		if err != nil {
			return undelivered(ctx, answer, err)
		}
		o := s.relay(ctx, keepOn)
		markWhole(w, o.Err == nil || o.Err.Kind == apierr.Cancelled && keepOn && ctx.Err() == nil)
		return o, true
	}
	a, err := readWhole(answer, silence)
	if err == nil && (a.more || !a.complete()) {
		err = errors.New("the answer is not one whole JSON document")
	}
	if err != nil {
		return undelivered(ctx, answer, err)
	}
	usage := outcome.ReadUsage(a.body)
	answer.End(dispatch.ReadResult{Usage: usage})
	markWhole(w, true)
	a.write(w, http.MethodPost)
	return outcome.Outcome{State: outcome.Answered, Status: a.status, Tokens: usage}, true
}

func undelivered(ctx context.Context, answer *dispatch.Response, cause error) (outcome.Outcome, bool) {
	answer.End(dispatch.ReadResult{Failed: ctx.Err() == nil})
	return outcome.FromError(brokenAnswer(cause)), false
}

func markWhole(w http.ResponseWriter, whole bool) {
	if rec, ok := w.(*recorder); ok {
		rec.whole = whole
	}
}

func parseCompletion(s *catalog.Snapshot, body []byte) (completionRequest, string, error) {
	var req completionRequest
	if err := checkMembers(body); err != nil {
		return req, "", err
	}
	if err := json.Unmarshal(body, &req); err != nil {
		return req, "", apierr.Newf(apierr.Invalid, "send one JSON object", "the body cannot be read: %v", err)
	}
	if req.Model == "" {
		return req, "", apierr.New(apierr.Invalid, "the body names no model", "add \"model\"; /v1/models lists them")
	}
	service, ok := s.Models[req.Model]
	if !ok {
		return req, "", apierr.Newf(apierr.NotFound, "/v1/models lists the models", "model %q does not exist", req.Model)
	}
	return req, service, nil
}

// readMembers are the members that this host reads. The engine must read the
// same, so each may stand once and in its own spelling only.
var readMembers = []string{"model", "stream", "max_tokens"}

// checkMembers refuses a body in which the host and the engine could read
// different values.
func checkMembers(body []byte) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return apierr.New(apierr.Invalid, "the body is not a JSON object", "send one JSON object")
	}
	seen := map[string]bool{}
	for dec.More() {
		t, err := dec.Token()
		name, ok := t.(string)
		if err != nil || !ok {
			return nil // json.Unmarshal says what is wrong
		}
		for _, m := range readMembers {
			if strings.EqualFold(name, m) && (name != m || seen[m]) {
				return apierr.Newf(apierr.Invalid, "write each member once, in lower case", "the member %q is given twice or in another spelling", name)
			}
		}
		seen[name] = true
		var skipped json.RawMessage
		if dec.Decode(&skipped) != nil {
			return nil
		}
	}
	return nil
}

// engineHeader is all that engines get of a request's headers.
func engineHeader() http.Header {
	return http.Header{"Content-Type": {"application/json"}}
}
