// Package gateway serves the callers' HTTP API: the OpenAI-compatible API and
// the routes of plain services.
//
// Contract: a request runs only for the team whose key it carries, except on
// open routes. Requests to upstreams are built from an allow-list, so that no
// key reaches an upstream. Every request ends with exactly one outcome.
package gateway

import (
	"context"
	"net/http"
	"runtime/debug"
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

// Gateway handles the requests of callers.
type Gateway struct {
	catalog  *catalog.Catalog
	limiter  ratelimit.Limiter
	pipeline *serving.Pipeline
	batches  *batch.Service
	claims   *keeper.Keeper
	cache    *responseCache
	bodies   bodyBudget
	metrics  *telemetry.Metrics
	log      logrus.FieldLogger
}

// New returns a gateway that runs requests through the given pipeline.
func New(c *catalog.Catalog, l ratelimit.Limiter, p *serving.Pipeline, b *batch.Service, k *keeper.Keeper, m *telemetry.Metrics, log logrus.FieldLogger) *Gateway {
	return &Gateway{catalog: c, limiter: l, pipeline: p, batches: b, claims: k, cache: newResponseCache(), bodies: bodyBudget{limit: heldBodyLimit(debug.SetMemoryLimit(-1))}, metrics: m, log: log}
}

// Handler returns the handler for all routes of the API. It panics with
// http.ErrAbortHandler to end a response that can't be completed; callers that speak
// HTTP/1.0 notice that only if an httpreset.Guard is around it.
func (g *Gateway) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", g.complete)
	mux.HandleFunc("POST /v1/completions", g.complete)
	mux.HandleFunc("GET /v1/models", g.listModels)
	mux.HandleFunc("GET /v1/models/{model}", g.getModel)
	g.addBatchRoutes(mux)
	mux.HandleFunc("/v1/", g.unknownPath)
	mux.HandleFunc("/", g.plain)
	handler := rejectAmbiguousPaths(g, mux)
	chain := negroni.New(negroni.HandlerFunc(g.startRequest), negroni.HandlerFunc(g.requireFreshConfig))
	chain.UseHandler(handler)
	return chain
}

type requestInfo struct {
	id       string
	start    time.Time
	log      logrus.FieldLogger
	bodyRead bool // whether the whole body was read
}

type infoKey struct{}

func requestInfoFrom(ctx context.Context) *requestInfo {
	info, _ := ctx.Value(infoKey{}).(*requestInfo)
	return info
}

// startRequest assigns a request ID and starts a trace span and a request logger.
func (g *Gateway) startRequest(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
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

// caller is the team on whose behalf a request runs.
type caller struct {
	team   string
	spec   team.Spec
	secret string // never leaves the host
}

// authenticate returns the team of the key that the request carries.
func (g *Gateway) authenticate(r *http.Request) (caller, error) {
	secret, err := callerKey(r.Header)
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

// recordOutcome counts and logs the outcome of a request.
func (g *Gateway) recordOutcome(r *http.Request, class, team string, o outcome.Outcome) {
	info := requestInfoFrom(r.Context())
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

// fail responds with an error and records the outcome.
func (g *Gateway) fail(w http.ResponseWriter, r *http.Request, class, team string, err error) {
	o := outcome.FromError(withWithdrawal(r.Context(), err))
	readRest := respondBeforeBody(w, r)
	writeError(w, o.Err)
	g.recordOutcome(r, class, team, o)
	if err := readRest(); err != nil {
		requestInfoFrom(r.Context()).log.WithFields(logrus.Fields{"event": "body_not_read", "error": err}).Info("the rest of a rejected request's body could not be read; its caller may not get the response")
	}
}

// apiMethods lists the methods of the fixed API paths.
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
