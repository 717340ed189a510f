package gateway

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/route"
	"github.com/masticscale/masticscale/internal/serving"
	"github.com/masticscale/masticscale/internal/team"
	"github.com/masticscale/masticscale/internal/upstream"
)

// openTeam is the team that requests without a key are counted under.
const openTeam = "(open)"

// plain serves the routes of plain services.
func (g *Gateway) plain(w http.ResponseWriter, r *http.Request) {
	const class = string(dispatch.Online)
	snapshot := g.catalog.Current()
	_, spec, ok := snapshot.Route(r.Method, r.URL.Path)
	if !ok {
		g.fail(w, r, class, "", apierr.Newf(apierr.NotFound, "ask the operators for a route", "no route takes %s %s", r.Method, r.URL.Path))
		return
	}
	who, err := g.callerOf(r, spec)
	if err != nil {
		g.fail(w, r, class, "", err)
		return
	}
	body, err := readBody(w, r, snapshot.Limits.MaxBodyBytes)
	if err != nil {
		g.fail(w, r, class, who.team, err)
		return
	}
	if who.team != openTeam {
		if err := g.limiter.Take(r.Context(), who.team, who.spec); err != nil {
			g.fail(w, r, class, who.team, err)
			return
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeoutOf(spec, snapshot.Limits.RequestTimeout()))
	defer cancel()
	answer, err := g.path.Run(ctx, serving.Request{
		Team: who.team, Weight: who.spec.EffectiveWeight(), Service: spec.Service, Class: dispatch.Online,
		Tokens: len(body)/bytesPerToken + 1, MaxQueue: snapshot.Limits.MaxQueuedPerTeam,
		Call: upstream.Call{
			Method: r.Method, Path: r.URL.EscapedPath(), RawQuery: plainQuery(r.URL.Query()),
			Header: plainHeader(r.Header), Body: body, Repeatable: spec.Repeatable,
		},
	})
	if err != nil {
		g.fail(w, r, class, who.team, err)
		return
	}
	g.end(r, class, who.team, g.relayWhole(w, answer))
}

func (g *Gateway) callerOf(r *http.Request, spec route.Spec) (caller, error) {
	if spec.Open {
		return caller{team: openTeam, spec: team.Spec{Weight: 1}}, nil
	}
	return g.authenticate(r)
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

// keyParameters are query parameters that can carry a key.
var keyParameters = []string{"key", "api_key", "api-key", "apikey", "access_token", "token"}

func plainQuery(q url.Values) string {
	for _, name := range keyParameters {
		q.Del(name)
	}
	return q.Encode()
}
