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

// openTeam is the team that requests without a key are counted under.
const openTeam = "(open)"

const (
	idempotencyHeader   = "Idempotency-Key"
	replayedHeader      = "Idempotent-Replayed"
	maxIdempotencyBytes = 255
)

// plainRequest is a request for a plain service that passed all checks.
type plainRequest struct {
	who  caller
	spec route.Spec
	call upstream.Call
	key  string // Idempotency-Key; empty when none came
}

// plain serves the routes of plain services.
func (g *Gateway) plain(w http.ResponseWriter, r *http.Request) {
	const class = string(dispatch.Online)
	snapshot := g.catalog.Current()
	p, err := g.acceptPlain(w, r, snapshot)
	if err != nil {
		g.fail(w, r, class, p.who.team, err)
		return
	}
	o := g.runPlain(w, r, snapshot, p)
	g.end(r, class, p.who.team, o)
	if o.State == outcome.Truncated {
		panic(http.ErrAbortHandler) // cuts the connection, so that the caller sees it
	}
}

// acceptPlain checks a request and charges its team.
func (g *Gateway) acceptPlain(w http.ResponseWriter, r *http.Request, s *catalog.Snapshot) (plainRequest, error) {
	var p plainRequest
	_, spec, ok := s.Route(r.Method, r.URL.Path)
	if !ok {
		return p, noRoute(w, r, s)
	}
	p.spec = spec
	var err error
	if p.who, err = g.callerOf(r, spec); err != nil {
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
		Method: r.Method, Path: r.URL.EscapedPath(), RawQuery: plainQuery(r.URL.Query(), p.who.secret),
		Header: plainHeader(r.Header), Body: body, Repeatable: spec.Repeatable,
	}
	if err := checkNoSecret(r, p.call.Header, body, p.who.secret); err != nil {
		return p, err
	}
	if p.who.team == openTeam {
		return p, nil
	}
	return p, g.limiter.Take(r.Context(), p.who.team, p.who.spec)
}

// runPlain runs the request, under a claim when it may run only once and its
// caller named it.
func (g *Gateway) runPlain(w http.ResponseWriter, r *http.Request, s *catalog.Snapshot, p plainRequest) outcome.Outcome {
	ctx := r.Context()
	ended := func(claim.State, *claim.Response) {}
	if p.key != "" && !p.spec.Repeatable {
		ticket, kept, err := g.begin(ctx, p)
		if err != nil {
			return refuse(w, err)
		}
		if kept != nil {
			return replay(w, r, kept)
		}
		ended = func(state claim.State, a *claim.Response) { g.claims.Finish(ticket, state, a) }
		// The run goes on when its caller goes away, so that a resend finds the
		// answer.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(p.spec, s.Limits.RequestTimeout()))
	defer cancel()
	answer, err := g.run(ctx, serving.Request{
		Team: p.who.team, Weight: p.who.spec.EffectiveWeight(), Service: p.spec.Service, Class: dispatch.Online,
		Tokens: len(p.call.Body)/bytesPerToken + 1, MaxQueue: s.Limits.MaxQueuedPerTeam, Call: p.call,
	})
	if err != nil {
		ended(stateAfter(err), nil)
		return refuse(w, err)
	}
	return g.relayPlain(w, r, answer, s.Limits.AnswerSilence(), ended)
}

func (g *Gateway) begin(ctx context.Context, p plainRequest) (*keeper.Ticket, *claim.Response, error) {
	c := p.call
	print := claim.FingerprintOf(c.Method, c.Path, c.RawQuery, c.Header.Get("Content-Type"), c.Body)
	return g.claims.Begin(ctx, p.who.team, p.key, print)
}

// stateAfter returns the state in which a failed request leaves its claim.
func stateAfter(err error) claim.State {
	if apierr.From(err).Execution == apierr.NotRun {
		return claim.Released
	}
	return claim.Unknown
}

// run runs an accepted request. Its error says "not run" only if no attempt was
// sent, earlier ones included.
func (g *Gateway) run(ctx context.Context, req serving.Request) (*dispatch.Response, error) {
	ctx, trail := upstream.WithTrail(ctx)
	answer, err := g.path.Run(ctx, req)
	if err == nil {
		return answer, nil
	}
	e := apierr.From(err)
	if trail.Sent() && e.Execution == apierr.NotRun {
		e = e.MayHaveRun()
	}
	return nil, e
}

// refuse answers with an error that came before any byte of an answer.
func refuse(w http.ResponseWriter, err error) outcome.Outcome {
	o := outcome.FromError(err)
	writeError(w, o.Err)
	return o
}

func noRoute(w http.ResponseWriter, r *http.Request, s *catalog.Snapshot) error {
	if methods := methodsOf(s, r.URL.Path); len(methods) > 0 {
		return methodNotAllowed(w, r, methods)
	}
	return apierr.Newf(apierr.NotFound, "ask the operators for a route", "no route takes %s %s", r.Method, loggedPath(r))
}

// methodsOf returns the methods that routes take at a path.
func methodsOf(s *catalog.Snapshot, path string) []string {
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

func (g *Gateway) callerOf(r *http.Request, spec route.Spec) (caller, error) {
	if !spec.Open {
		return g.authenticate(r)
	}
	who := caller{team: openTeam, spec: team.Spec{Weight: 1}}
	if keys := keysIn(r.Header); len(keys) > 0 {
		who.secret = keys[0]
	}
	return who, nil
}

func timeoutOf(spec route.Spec, fallback time.Duration) time.Duration {
	if spec.TimeoutSeconds > 0 {
		return time.Duration(spec.TimeoutSeconds * float64(time.Second))
	}
	return fallback
}

// plainAllowed are the headers that plain services get.
var plainAllowed = []string{"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match", "X-Request-Number"}

func plainHeader(from http.Header) http.Header {
	h := http.Header{}
	for _, name := range plainAllowed {
		if values := from.Values(name); len(values) > 0 {
			h[name] = values
		}
	}
	return h
}
