package gateway

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/claim"
	"github.com/masticscale/masticscale/internal/claim/keeper"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/outcome"
	"github.com/masticscale/masticscale/internal/route"
	"github.com/masticscale/masticscale/internal/serving"
	"github.com/masticscale/masticscale/internal/team"
	"github.com/masticscale/masticscale/internal/upstream"
)

// openTeam is the team name under which requests without a key are counted.
const openTeam = "(open)"

const (
	idempotencyHeader   = "Idempotency-Key"
	replayedHeader      = "Idempotent-Replayed"
	maxIdempotencyBytes = 255
)

// plainRequest is a validated request for a plain service.
type plainRequest struct {
	who  caller
	spec route.Spec
	call upstream.Call
	key  string // Idempotency-Key; empty if the request has none
}

// plain handles the routes of plain services.
func (g *Gateway) plain(w http.ResponseWriter, r *http.Request) {
	const class = string(dispatch.Online)
	snapshot := g.catalog.Current()
	p, err := g.acceptPlain(w, r, snapshot)
	if err != nil {
		g.fail(w, r, class, p.who.team, err)
		return
	}
	o := g.runPlain(w, r, snapshot, p)
	g.recordOutcome(r, class, p.who.team, o)
	if o.State == outcome.Truncated {
		panic(http.ErrAbortHandler)
	}
}

// acceptPlain validates a request and charges the team's rate limit.
func (g *Gateway) acceptPlain(w http.ResponseWriter, r *http.Request, s *catalog.Snapshot) (plainRequest, error) {
	var p plainRequest
	_, spec, ok := s.MatchRoute(r.Method, r.URL.Path)
	if !ok {
		return p, noRoute(w, r, s)
	}
	p.spec = spec
	var err error
	if p.who, err = g.callerFor(r, spec); err != nil {
		return p, err
	}
	body, err := g.readBody(w, r, s.Limits.MaxBodyBytes)
	if err != nil {
		return p, err
	}
	if p.key, err = idempotencyKey(r); err != nil {
		return p, err
	}
	p.call = upstream.Call{
		Method: r.Method, Path: r.URL.EscapedPath(), RawQuery: filterPlainQuery(r.URL.Query(), p.who.secret),
		Header: filterPlainHeader(r.Header), Body: body, Repeatable: spec.Repeatable,
	}
	if err := checkNoSecret(r, p.call.Header, body, p.who.secret); err != nil {
		return p, err
	}
	if p.who.team == openTeam {
		return p, nil
	}
	return p, g.limiter.Take(r.Context(), p.who.team, p.who.spec)
}

// runPlain runs the request. A request that has an idempotency key and may run
// only once runs under a claim.
func (g *Gateway) runPlain(w http.ResponseWriter, r *http.Request, s *catalog.Snapshot, p plainRequest) outcome.Outcome {
	ctx := r.Context()
	finishClaim := func(claim.State, *claim.Response) {}
	if p.key != "" && !p.spec.Repeatable {
		ticket, stored, err := g.beginClaim(ctx, p)
		if err != nil {
			return writeFailure(w, err)
		}
		if stored != nil {
			return replayResponse(w, r, stored)
		}
		finishClaim = func(state claim.State, a *claim.Response) { g.claims.Finish(ticket, state, a) }
		// The run continues when the caller disconnects, so that a retry finds the
		// response.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout(p.spec, s.Limits.RequestTimeout()))
	defer cancel()
	response, err := g.run(ctx, serving.Request{
		Team: p.who.team, Weight: p.who.spec.EffectiveWeight(), Service: p.spec.Service, Class: dispatch.Online,
		Tokens: len(p.call.Body)/bytesPerToken + 1, MaxQueue: s.Limits.MaxQueuedPerTeam, Call: p.call,
	})
	if err != nil {
		finishClaim(claimStateFor(err), nil)
		return writeFailure(w, err)
	}
	return g.relayPlain(w, r, response, s.Limits.ResponseIdleTimeout(), finishClaim)
}

func (g *Gateway) beginClaim(ctx context.Context, p plainRequest) (*keeper.Ticket, *claim.Response, error) {
	c := p.call
	fingerprint := claim.FingerprintOf(c.Method, c.Path, c.RawQuery, c.Header.Get("Content-Type"), c.Body)
	return g.claims.Begin(ctx, p.who.team, p.key, fingerprint)
}

// claimStateFor returns the final state of the claim of a failed request.
func claimStateFor(err error) claim.State {
	if apierr.From(err).Execution == apierr.NotRun {
		return claim.Released
	}
	return claim.Unknown
}

// run runs an accepted request. Its error says "not run" only if none of the
// attempts was sent.
func (g *Gateway) run(ctx context.Context, req serving.Request) (*dispatch.Response, error) {
	ctx, tracker := upstream.WithSendTracker(ctx)
	response, err := g.pipeline.Run(ctx, req)
	if err == nil {
		return response, nil
	}
	e := apierr.From(err)
	if tracker.Sent() && e.Execution == apierr.NotRun {
		e = e.MayHaveRun()
	}
	return nil, e
}

// writeFailure responds with an error; no byte of a response may have been sent before.
func writeFailure(w http.ResponseWriter, err error) outcome.Outcome {
	o := outcome.FromError(err)
	writeError(w, o.Err)
	return o
}

func noRoute(w http.ResponseWriter, r *http.Request, s *catalog.Snapshot) error {
	if methods := allowedMethods(s, r.URL.Path); len(methods) > 0 {
		return methodNotAllowed(w, r, methods)
	}
	return apierr.Newf(apierr.NotFound, "ask the operators for a route", "no route takes %s %s", r.Method, loggedPath(r))
}

// allowedMethods returns the methods that any route accepts at a path.
func allowedMethods(s *catalog.Snapshot, path string) []string {
	methods := map[string]bool{}
	for _, spec := range s.Routes {
		for _, m := range spec.Methods {
			if _, ok := spec.Matches(m, path); ok {
				methods[m] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(methods))
}

func idempotencyKey(r *http.Request) (string, error) {
	values := r.Header.Values(idempotencyHeader)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxIdempotencyBytes {
		return "", apierr.Newf(apierr.Invalid, "send one key that is new for each request",
			"the Idempotency-Key must be one value of 1 to %d bytes", maxIdempotencyBytes)
	}
	return values[0], nil
}

func (g *Gateway) callerFor(r *http.Request, spec route.Spec) (caller, error) {
	if !spec.Open {
		return g.authenticate(r)
	}
	who := caller{team: openTeam, spec: team.Spec{Weight: 1}}
	if keys := keysInHeader(r.Header); len(keys) > 0 {
		who.secret = keys[0]
	}
	return who, nil
}

func requestTimeout(spec route.Spec, fallback time.Duration) time.Duration {
	if spec.TimeoutSeconds > 0 {
		return time.Duration(spec.TimeoutSeconds * float64(time.Second))
	}
	return fallback
}

// plainRequestHeaders are the request headers that are passed to plain services.
var plainRequestHeaders = []string{"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match", "X-Request-Number"}

func filterPlainHeader(from http.Header) http.Header {
	h := http.Header{}
	for _, name := range plainRequestHeaders {
		if values := from.Values(name); len(values) > 0 {
			h[name] = values
		}
	}
	return h
}
