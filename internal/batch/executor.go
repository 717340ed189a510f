package batch

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/job"
	"github.com/masticscale/masticscale/internal/outcome"
	"github.com/masticscale/masticscale/internal/serving"
	"github.com/masticscale/masticscale/internal/upstream"
)

const (
	itemTimeout    = 5 * time.Minute
	maxAnswerBytes = 1 << 20 // of one item; bounds what a chunk holds in memory
	bytesPerToken  = 4
)

// ErrBusy means that the upstream turned an item away for now. It does not count
// as a failed attempt.
var ErrBusy = errors.New("the upstream is busy")

// errNotPermitted means that the host may not dispatch the item now: it has lost
// its lease or the chunk, or the job was cancelled.
var errNotPermitted = apierr.New(apierr.Unavailable, "this host may not dispatch the item now", "")

// PathExecutor runs items through admission and dispatch, as batch work.
type PathExecutor struct {
	catalog *catalog.Catalog
	path    *serving.Pipeline
}

// NewPathExecutor returns an executor.
func NewPathExecutor(c *catalog.Catalog, p *serving.Pipeline) *PathExecutor {
	return &PathExecutor{catalog: c, path: p}
}

// Execute implements Executor.
func (e *PathExecutor) Execute(ctx context.Context, t Task) (job.ResultLine, error) {
	j, item := t.Job, t.Item
	service, err := e.serviceOf(j, item)
	if err != nil {
		return refusedLine(item, err), nil
	}
	ctx, cancel := context.WithTimeout(ctx, itemTimeout)
	defer cancel()
	var denied atomic.Bool
	permit := func() error {
		err := t.Permit()
		if err != nil {
			// Ends the request here, so that no upstream is blamed or tried next.
			denied.Store(true)
			cancel()
		}
		return err
	}
	answer, err := e.path.Run(ctx, serving.Request{
		Team: j.Team, Weight: e.catalog.Current().Teams[j.Team].EffectiveWeight(), Service: service,
		Class: dispatch.Batch, Tokens: len(item.Body) / bytesPerToken, Deadline: j.Deadline,
		Call: upstream.Call{
			Method: http.MethodPost, Path: j.Endpoint, Body: item.Body, Repeatable: true, Permit: permit,
			Header: http.Header{"Content-Type": {"application/json"}},
		},
	})
	if denied.Load() {
		return job.ResultLine{}, errNotPermitted
	}
	if err != nil {
		return job.ResultLine{}, err
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	answer.End(dispatch.ReadResult{Failed: err != nil, Usage: outcome.ReadUsage(body)})
	if err != nil {
		return job.ResultLine{}, apierr.New(apierr.UpstreamError, "the upstream's answer broke off", "").MayHaveRun().WithCause(err)
	}
	return resultOf(item, answer.Status, body)
}

// resultOf turns an upstream's whole answer into the item's result. An answer
// that refuses the item for good is its result too.
func resultOf(item job.Item, status int, body []byte) (job.ResultLine, error) {
	switch {
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return job.ResultLine{}, errors.Wrapf(ErrBusy, "the upstream answered %d", status)
	case status >= 500:
		return job.ResultLine{}, errors.Errorf("the upstream answered %d", status)
	case len(body) > maxAnswerBytes:
		return job.NewFailure(item.CustomID, job.CodeTooLarge, "the answer exceeds a megabyte; ask for fewer tokens"), nil
	}
	if !json.Valid(body) {
		text, err := json.Marshal(string(body))
		if err != nil || status < 300 {
			return job.ResultLine{}, errors.New("the upstream's answer is not JSON")
		}
		body = text
	}
	return job.ResultLine{ID: job.NewItemID(), CustomID: item.CustomID,
		Response: &job.Response{StatusCode: status, RequestID: "req_" + job.CompactUUID(), Body: body}}, nil
}

func (e *PathExecutor) serviceOf(j job.Job, item job.Item) (string, error) {
	var body struct {
		Model  string `json:"model"`
		Stream bool   `json:"stream"`
	}
	if err := json.Unmarshal(item.Body, &body); err != nil {
		return "", apierr.Newf(apierr.Invalid, "mend the line", "the item's body cannot be read: %v", err)
	}
	if body.Stream {
		return "", apierr.New(apierr.Invalid, "an item of a batch cannot be streamed", `leave out "stream"`)
	}
	if item.URL != j.Endpoint {
		return "", apierr.Newf(apierr.Invalid, "give every line the endpoint of its job", "the item's url %q is not the job's endpoint %q", item.URL, j.Endpoint)
	}
	service, ok := e.catalog.Current().Models[body.Model]
	if !ok {
		return "", apierr.Newf(apierr.NotFound, "/v1/models lists the models", "model %q does not exist", body.Model)
	}
	return service, nil
}

func refusedLine(item job.Item, err error) job.ResultLine {
	e := apierr.From(err)
	return job.NewFailure(item.CustomID, string(e.Kind), e.Message+"; "+e.Remedy)
}
