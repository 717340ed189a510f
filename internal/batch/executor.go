package batch

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/job"
	"github.com/masticscale/masticscale/internal/serving"
	"github.com/masticscale/masticscale/internal/upstream"
)

const (
	itemTimeout    = 5 * time.Minute
	maxAnswerBytes = 16 << 20
	bytesPerToken  = 4
)

// PathExecutor runs items through admission and dispatch, as batch work.
type PathExecutor struct {
	catalog *catalog.Catalog
	path    *serving.Path
}

// NewPathExecutor returns an executor.
func NewPathExecutor(c *catalog.Catalog, p *serving.Path) *PathExecutor {
	return &PathExecutor{catalog: c, path: p}
}

// Execute implements Executor.
func (e *PathExecutor) Execute(ctx context.Context, j job.Job, item job.Item) (job.ResultLine, error) {
	service, err := e.serviceOf(item)
	if err != nil {
		return refusedLine(item, err), nil
	}
	ctx, cancel := context.WithTimeout(ctx, itemTimeout)
	defer cancel()
	answer, err := e.path.Run(ctx, serving.Request{
		Team: j.Team, Weight: e.catalog.Current().Teams[j.Team].EffectiveWeight(), Service: service,
		Class: dispatch.Batch, Tokens: len(item.Body) / bytesPerToken, Deadline: j.Deadline,
		Call: upstream.Call{
			Method: http.MethodPost, Path: j.Endpoint, Body: item.Body, Repeatable: true,
			Header: http.Header{"Content-Type": {"application/json"}},
		},
	})
	if err != nil {
		return job.ResultLine{}, err
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	answer.End(dispatch.Ending{Failed: err != nil})
	if err != nil {
		return job.ResultLine{}, errors.Wrap(err, "the answer broke off")
	}
	if answer.Status >= 500 {
		return job.ResultLine{}, errors.Errorf("the upstream answered %d", answer.Status)
	}
	if !json.Valid(body) {
		return job.ResultLine{}, errors.New("the upstream's answer is not JSON")
	}
	id := compactUUID()
	return job.ResultLine{ID: "item_" + id, CustomID: item.CustomID,
		Response: &job.Response{StatusCode: answer.Status, RequestID: "req_" + id, Body: body}}, nil
}

func (e *PathExecutor) serviceOf(item job.Item) (string, error) {
	var body struct {
		Model string `json:"model"`
	}
	if err := json.Unmarshal(item.Body, &body); err != nil {
		return "", apierr.Newf(apierr.Invalid, "mend the line", "the item's body cannot be read: %v", err)
	}
	service, ok := e.catalog.Current().Models[body.Model]
	if !ok {
		return "", apierr.Newf(apierr.NotFound, "/v1/models lists the models", "model %q does not exist", body.Model)
	}
	return service, nil
}

func refusedLine(item job.Item, err error) job.ResultLine {
	e := apierr.From(err)
	return job.ResultLine{ID: "item_" + compactUUID(), CustomID: item.CustomID,
		Error: &job.ResultError{Code: string(e.Kind), Message: e.Message + "; " + e.Remedy}}
}
