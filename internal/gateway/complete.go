package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/catalog"
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

// complete serves chat completions and completions.
func (g *Gateway) complete(w http.ResponseWriter, r *http.Request) {
	const class = string(dispatch.Online)
	who, err := g.authenticate(r)
	if err != nil {
		g.fail(w, r, class, "", err)
		return
	}
	snapshot := g.catalog.Current()
	body, err := readBody(w, r, snapshot.Limits.MaxBodyBytes)
	if err != nil {
		g.fail(w, r, class, who.team, err)
		return
	}
	req, service, err := parseCompletion(snapshot, body)
	if err != nil {
		g.fail(w, r, class, who.team, err)
		return
	}
	if err := g.limiter.Take(r.Context(), who.team, who.spec); err != nil {
		g.fail(w, r, class, who.team, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), snapshot.Limits.RequestTimeout())
	defer cancel()
	answer, err := g.path.Run(ctx, serving.Request{
		Team: who.team, Weight: who.spec.EffectiveWeight(), Service: service, Class: dispatch.Online,
		Tokens: req.tokens(body), MaxQueue: snapshot.Limits.MaxQueuedPerTeam,
		Call: upstream.Call{
			Method: r.Method, Path: r.URL.Path, Header: engineHeader(r.Header), Body: body, Repeatable: true,
		},
	})
	if err != nil {
		g.fail(w, r, class, who.team, err)
		return
	}
	g.end(r, class, who.team, g.relay(ctx, w, answer))
}

func parseCompletion(s *catalog.Snapshot, body []byte) (completionRequest, string, error) {
	var req completionRequest
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

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, apierr.Newf(apierr.TooLarge, "send less, or ask the operators to raise limits.max_body_bytes",
			"the body exceeds %d bytes", limit)
	case err != nil:
		return nil, apierr.New(apierr.Invalid, "the body did not arrive whole", "send the request again").WithCause(err)
	}
	return body, nil
}

// engineHeader is the allow-list of headers for engines.
func engineHeader(http.Header) http.Header {
	return http.Header{"Content-Type": {"application/json"}}
}

// relay passes the answer on and returns the request's outcome.
func (g *Gateway) relay(ctx context.Context, w http.ResponseWriter, answer *dispatch.Answer) outcome.Outcome {
	if isEventStream(answer.Header) {
		return g.relayStream(ctx, w, answer)
	}
	return g.relayWhole(w, answer)
}
