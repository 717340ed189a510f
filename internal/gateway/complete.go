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

// completionRequest holds the members of the body that the host reads. The body
// is sent to the engine unchanged.
type completionRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

// tokens estimates the sum of prompt and generated tokens.
func (c completionRequest) tokens(body []byte) int {
	generated := c.MaxTokens
	if generated <= 0 {
		generated = defaultMaxTokens
	}
	return len(body)/bytesPerToken + generated
}

// maxCompletionRuns limits how often a request runs when its responses break
// off before the first byte is sent to the caller.
const maxCompletionRuns = 2

// completion is a validated request for a model.
type completion struct {
	who     caller
	key     string // Idempotency-Key; empty if the request has none
	request serving.Request
}

// complete handles chat completions and text completions.
func (g *Gateway) complete(w http.ResponseWriter, r *http.Request) {
	const class = string(dispatch.Online)
	snapshot := g.catalog.Current()
	c, err := g.acceptCompletion(w, r, snapshot)
	if err != nil {
		g.fail(w, r, class, c.who.team, err)
		return
	}
	var o outcome.Outcome
	if c.key == "" {
		o = g.runCompletion(r.Context(), w, snapshot, c)
	} else {
		o = g.runKeyedCompletion(w, r, snapshot, c)
	}
	g.recordOutcome(r, class, c.who.team, o)
	if o.State == outcome.Truncated && o.Err.Kind == apierr.Cancelled {
		panic(http.ErrAbortHandler) // a caller that has closed only its side still reads
	}
}

// acceptCompletion validates a request and charges the team's rate limit.
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

// runKeyedCompletion runs a request with an idempotency key once on this host;
// retries with the same key get the same response.
func (g *Gateway) runKeyedCompletion(w http.ResponseWriter, r *http.Request, s *catalog.Snapshot, c completion) outcome.Outcome {
	name := claim.NameOf(c.who.team, c.key)
	call := c.request.Call
	fingerprint := claim.FingerprintOf(call.Method, call.Path, "", "", call.Body)
	for {
		entry, first := g.cache.join(name, fingerprint)
		if first {
			return g.runAndCache(w, r, s, c, name, entry)
		}
		if entry.fingerprint != fingerprint {
			return writeFailure(w, apierr.New(apierr.Conflict, "the Idempotency-Key was used for a request with other content", "use a new key for a new request"))
		}
		cached, err := entry.wait(r.Context())
		if err != nil {
			return clientDisconnected(err)
		}
		if cached != nil {
			return replayResponse(w, r, cached)
		}
	}
}

// runAndCache runs the first request of a key. The run continues when the
// caller disconnects, so that a retry gets its response.
func (g *Gateway) runAndCache(w http.ResponseWriter, r *http.Request, s *catalog.Snapshot, c completion, name string, entry *cacheEntry) outcome.Outcome {
	var cached *claim.Response
	defer func() { g.cache.complete(name, entry, cached) }()
	recording := &recordingWriter{ResponseWriter: w}
	o := g.runCompletion(context.WithoutCancel(r.Context()), recording, s, c)
	if recording.complete && recording.status < http.StatusInternalServerError {
		cached = recording.response()
	}
	return o
}

// runCompletion runs the request, and once more if the response breaks off
// before the first byte is sent to the caller.
func (g *Gateway) runCompletion(ctx context.Context, w http.ResponseWriter, s *catalog.Snapshot, c completion) outcome.Outcome {
	ctx, cancel := context.WithTimeout(ctx, s.Limits.RequestTimeout())
	defer cancel()
	for run := 1; ; run++ {
		response, err := g.run(ctx, c.request)
		if err != nil {
			if run > 1 {
				err = apierr.From(err).MayHaveRun()
			}
			return writeFailure(w, err)
		}
		o, delivered := g.deliver(ctx, w, response, s.Limits.ResponseIdleTimeout(), c.key != "")
		if delivered {
			return o
		}
		if run >= maxCompletionRuns || ctx.Err() != nil {
			return writeFailure(w, o.Err)
		}
		c.request.Call.Fresh = true
	}
}

// deliver sends the response to the caller. It reports false if the response
// broke off before the first byte was sent.
func (g *Gateway) deliver(ctx context.Context, w http.ResponseWriter, response *dispatch.Response, idleTimeout time.Duration, readToEnd bool) (outcome.Outcome, bool) {
	if isEventStream(response.Header) {
		s, err := beginStream(w, response, idleTimeout)
		if err != nil {
			return discardResponse(ctx, response, err)
		}
		o := s.relay(ctx, readToEnd)
		markComplete(w, o.Err == nil || o.Err.Kind == apierr.Cancelled && readToEnd && ctx.Err() == nil)
		return o, true
	}
	buffered, err := bufferResponse(response, idleTimeout)
	if err == nil && (buffered.partial || !buffered.isComplete()) {
		err = errors.New("response is not a complete JSON document")
	}
	if err != nil {
		return discardResponse(ctx, response, err)
	}
	usage := outcome.ReadUsage(buffered.body)
	response.End(dispatch.ReadResult{Usage: usage})
	markComplete(w, true)
	_ = buffered.write(w, http.MethodPost)
	return outcome.Outcome{State: outcome.Answered, Status: buffered.status, Tokens: usage}, true
}

func discardResponse(ctx context.Context, response *dispatch.Response, cause error) (outcome.Outcome, bool) {
	response.End(dispatch.ReadResult{Failed: ctx.Err() == nil})
	return outcome.FromError(truncatedResponseError(cause)), false
}

func markComplete(w http.ResponseWriter, complete bool) {
	if rec, ok := w.(*recordingWriter); ok {
		rec.complete = complete
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

// sharedMembers are the members that both the host and the engine read. Each
// may occur only once and in this spelling, so that both read the same value.
var sharedMembers = []string{"model", "stream", "max_tokens"}

// checkMembers rejects a body in which the host and the engine could read
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
			return nil // json.Unmarshal reports the error
		}
		for _, m := range sharedMembers {
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

// engineHeader returns the only request headers that engines get.
func engineHeader() http.Header {
	return http.Header{"Content-Type": {"application/json"}}
}
