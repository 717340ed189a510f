// Package gateway is the callers' HTTP surface: the OpenAI-compatible API and
// the routes of plain services.
//
// Contract: a request runs only for the team whose key came with it, except on
// open routes. The upstream's request is built from an allow-list, so that no
// key reaches an upstream. Every request ends with one outcome.
package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/urfave/negroni/v3"
	"go.opentelemetry.io/otel/propagation"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/batch"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/claim/keeper"
	"github.com/masticscale/masticscale/internal/key"
	"github.com/masticscale/masticscale/internal/outcome"
	"github.com/masticscale/masticscale/internal/ratelimit"
	"github.com/masticscale/masticscale/internal/serving"
	"github.com/masticscale/masticscale/internal/team"
	"github.com/masticscale/masticscale/internal/telemetry"
)

// Gateway serves callers.
type Gateway struct {
	catalog *catalog.Catalog
	limiter ratelimit.Limiter
	path    *serving.Pipeline
	batches *batch.Service
	claims  *keeper.Keeper
	flights *flights
	bodies  bodyBudget
	metrics *telemetry.Metrics
	log     logrus.FieldLogger
}

// New returns a gateway.
func New(c *catalog.Catalog, l ratelimit.Limiter, p *serving.Pipeline, b *batch.Service, k *keeper.Keeper, m *telemetry.Metrics, log logrus.FieldLogger) *Gateway {
	return &Gateway{catalog: c, limiter: l, path: p, batches: b, claims: k, flights: newFlights(), bodies: bodyBudget{bound: maxBodiesBytes}, metrics: m, log: log}
}

// Handler returns the HTTP surface.
func (g *Gateway) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", g.complete)
	mux.HandleFunc("POST /v1/completions", g.complete)
	mux.HandleFunc("GET /v1/models", g.listModels)
	mux.HandleFunc("GET /v1/models/{model}", g.getModel)
	g.addBatchRoutes(mux)
	mux.HandleFunc("/v1/", g.unknownPath)
	mux.HandleFunc("/", g.plain)
	handler := refuseOddPaths(g, mux)
	chain := negroni.New(negroni.HandlerFunc(g.identify), negroni.HandlerFunc(g.requireKnowledge))
	chain.UseHandler(handler)
	return chain
}

type requestInfo struct {
	id    string
	start time.Time
	log   logrus.FieldLogger
	read  bool // the body was read to its end
}

type infoKey struct{}

func infoOf(ctx context.Context) *requestInfo {
	info, _ := ctx.Value(infoKey{}).(*requestInfo)
	return info
}

// identify gives the request an id, a span and a log line.
func (g *Gateway) identify(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	ctx := telemetry.Propagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := telemetry.Tracer().Start(ctx, "gateway")
	defer span.End()
	info := &requestInfo{id: "req_" + strings.ReplaceAll(uuid.NewString(), "-", ""), start: time.Now()}
	info.log = g.log.WithField("request", info.id)
	if trace := span.SpanContext(); trace.HasTraceID() {
		info.log = info.log.WithField("trace", trace.TraceID().String())
	}
	w.Header().Set("X-Request-Id", info.id)
	next(w, r.WithContext(context.WithValue(ctx, infoKey{}, info)))
}

// caller is the team that a request runs for.
type caller struct {
	team   string
	spec   team.Spec
	secret string // never leaves the host
}

// authenticate finds the team of the key that came with the request.
func (g *Gateway) authenticate(r *http.Request) (caller, error) {
	secret, err := secretOf(r.Header)
	if err != nil {
		return caller{}, err
	}
	s := g.catalog.Current()
	k, known := s.Keys[key.IDOf(secret)]
	if !known || !k.Active() {
		return caller{}, apierr.New(apierr.Unauthorized, "the key is not valid", "ask your operators for a new key")
	}
	spec, exists := s.Teams[k.Team]
	if !exists {
		return caller{}, apierr.Newf(apierr.Forbidden, "ask your operators to create it again", "team %q no longer exists", k.Team)
	}
	return caller{team: k.Team, spec: spec, secret: secret}, nil
}

// end records the outcome of a request.
func (g *Gateway) end(r *http.Request, class, team string, o outcome.Outcome) {
	info := infoOf(r.Context())
	elapsed := time.Since(info.start)
	g.metrics.Requests.WithLabelValues(class, string(o.State)).Inc()
	g.metrics.Duration.WithLabelValues(class).Observe(elapsed.Seconds())
	g.metrics.Tokens.WithLabelValues(class, "prompt").Add(float64(o.Tokens.Prompt))
	g.metrics.Tokens.WithLabelValues(class, "generated").Add(float64(o.Tokens.Generated))
	fields := logrus.Fields{
		"event": "request", "class": class, "team": team, "outcome": o.State, "status": o.Status,
		"ms": elapsed.Milliseconds(), "method": r.Method, "path": loggedPath(r),
	}
	if o.Err != nil {
		fields["kind"] = o.Err.Kind
		if o.State == outcome.Refused {
			g.metrics.Refusals.WithLabelValues(string(o.Err.Kind)).Inc()
		}
	}
	if o.Err != nil && o.Err.Cause != nil {
		fields["cause"] = o.Err.Cause.Error()
	}
	info.log.WithFields(fields).Info("request ended")
}

// fail answers with an error and records the outcome.
func (g *Gateway) fail(w http.ResponseWriter, r *http.Request, class, team string, err error) {
	o := outcome.FromError(explainWithdrawn(r.Context(), err))
	answerBeforeBody(w, r)
	writeError(w, o.Err)
	g.end(r, class, team, o)
}

// apiMethods are the methods of the model API's fixed paths.
var apiMethods = map[string]string{
	"/v1/chat/completions": http.MethodPost,
	"/v1/completions":      http.MethodPost,
	"/v1/models":           http.MethodGet,
	"/v1/files":            http.MethodPost,
	"/v1/batches":          http.MethodGet + ", " + http.MethodPost,
}

func (g *Gateway) unknownPath(w http.ResponseWriter, r *http.Request) {
	if methods, ok := apiMethods[r.URL.Path]; ok {
		g.fail(w, r, "online", "", methodNotAllowed(w, r, []string{methods}))
		return
	}
	g.fail(w, r, "online", "", apierr.Newf(apierr.NotFound, "see /v1/models and the API's documentation", "%s %s does not exist", r.Method, loggedPath(r)))
}
