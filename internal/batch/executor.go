package batch

import (
	"context"
	"encoding/json"
	"fmt"
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
	itemTimeout      = 5 * time.Minute // of one run, from the grant of its slot
	maxResponseBytes = 1 << 20         // of one item; bounds the memory of a chunk
	bytesPerToken    = 4
)

// ErrBusy means that the upstream rejected an item temporarily. The rejection
// doesn't count as an answer.
var ErrBusy = errors.New("the upstream is busy")

// errNotPermitted means that the host lost its lease or the chunk, or that the
// job was cancelled.
var errNotPermitted = apierr.New(apierr.Unavailable, "this host may not dispatch the item now", "")

// answerError means that the upstream answered with an error that another upstream may not
// have.
type answerError struct {
	code     string // of the item's result, if no other upstream has a better answer
	message  string
	response *job.Response // the item's result instead, if set
}

// result returns the result of an item that got no better answer.
func (e *answerError) result(item job.Item) job.ResultLine {
	if e.response != nil {
		return newResultLine(item, e.response)
	}
	return job.NewFailure(item.CustomID, e.code, e.message)
}

// Error implements error.
func (e *answerError) Error() string { return e.message }

// PathExecutor runs items through admission control and dispatch, in the batch
// class.
type PathExecutor struct {
	catalog *catalog.Catalog
	path    *serving.Pipeline
}

// NewPathExecutor returns a PathExecutor that runs items through p with the
// models of c.
func NewPathExecutor(c *catalog.Catalog, p *serving.Pipeline) *PathExecutor {
	return &PathExecutor{catalog: c, path: p}
}

// Execute implements Executor.
func (e *PathExecutor) Execute(ctx context.Context, t Task) (job.ResultLine, error) {
	j, item := t.Job, t.Item
	service, err := e.serviceForItem(j, item)
	if apierr.IsKind(err, apierr.Unavailable) {
		return job.ResultLine{}, err
	}
	if err != nil {
		return rejectedLine(item, err), nil
	}
	ctx, cancel := context.WithDeadline(ctx, j.Deadline)
	defer cancel()
	var denied atomic.Bool
	permit := func() error {
		err := t.Permit()
		if err != nil {
			// Cancels the request, so that dispatch neither reports an
			// upstream failure nor tries another upstream.
			denied.Store(true)
			cancel()
		}
		return err
	}
	response, err := e.path.Run(ctx, serving.Request{
		Team: j.Team, Weight: e.catalog.Current().Teams[j.Team].EffectiveWeight(), Service: service,
		Class: dispatch.Batch, Tokens: len(item.Body) / bytesPerToken, Deadline: j.Deadline, RunTimeout: itemTimeout, FailedAt: t.FailedAt,
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	response.End(dispatch.ReadResult{Failed: err != nil, Usage: outcome.ReadUsage(body)})
	if err != nil {
		failure := apierr.New(apierr.UpstreamError, "the upstream's answer broke off", "").MayHaveRun()
		return job.ResultLine{}, failure.WithCause(&dispatch.AttemptError{Upstream: response.Upstream, Cause: err})
	}
	line, err := resultFromResponse(item, response.Status, body)
	if err != nil {
		return job.ResultLine{}, &dispatch.AttemptError{Upstream: response.Upstream, Cause: err}
	}
	return line, nil
}

// resultFromResponse converts an upstream's complete response to the item's
// result. A response that rejects the item permanently is a result too. An error
// other than an *answerError says nothing of the item.
func resultFromResponse(item job.Item, status int, body []byte) (job.ResultLine, error) {
	switch {
	case isBusy(status):
		return job.ResultLine{}, errors.Wrapf(ErrBusy, "the upstream answered %d", status)
	case status == http.StatusBadGateway || status == http.StatusGatewayTimeout:
		return job.ResultLine{}, errors.Errorf("the upstream answered %d", status)
	case status >= 500:
		return job.ResultLine{}, &answerError{code: job.CodeFailed, message: fmt.Sprintf("the upstream answered %d", status)}
	case status < 200 || status >= 300 && status < 400:
		return job.ResultLine{}, &answerError{code: job.CodeFailed, message: fmt.Sprintf("the upstream answered %d", status)}
	case len(body) > maxResponseBytes: // a faulty upstream may send bytes without end
		return job.ResultLine{}, &answerError{code: job.CodeTooLarge, message: "the answer exceeds a megabyte; ask for fewer tokens"}
	}
	if !json.Valid(body) {
		text, err := json.Marshal(string(body))
		if err != nil || status < 300 {
			return job.ResultLine{}, errors.New("the upstream's answer is not JSON")
		}
		body = text
	}
	response := &job.Response{StatusCode: status, RequestID: "req_" + job.CompactUUID(), Body: body}
	if rejectsCall(status) {
		return job.ResultLine{}, &answerError{code: job.CodeFailed, message: fmt.Sprintf("the upstream answered %d", status), response: response}
	}
	return newResultLine(item, response), nil
}

func newResultLine(item job.Item, response *job.Response) job.ResultLine {
	return job.ResultLine{ID: job.NewItemID(), CustomID: item.CustomID, Response: response}
}

// rejectsCall reports whether the status rejects the address, the credentials or the protocol
// of a call. These are the same for all items of a job and aren't the caller's, so that
// another upstream, or the right process at the address, may answer otherwise.
func rejectsCall(status int) bool {
	switch status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusMethodNotAllowed,
		http.StatusProxyAuthRequired, http.StatusGone, http.StatusMisdirectedRequest, http.StatusUpgradeRequired:
		return true
	}
	return false
}

// isBusy reports whether the status means that the upstream didn't take the item.
func isBusy(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooEarly, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (e *PathExecutor) serviceForItem(j job.Job, item job.Item) (string, error) {
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
	age := e.catalog.Age(time.Now())
	service, ok := e.catalog.Current().Models[body.Model]
	if !ok && age >= time.Since(j.Created) { // the model may have been created before the job
		return "", apierr.Newf(apierr.Unavailable, "check that the host reaches the platform", "model %q does not exist in the host's configuration, which is older than the job", body.Model)
	}
	if !ok {
		return "", apierr.Newf(apierr.NotFound, "/v1/models lists the models", "model %q does not exist", body.Model)
	}
	return service, nil
}

func rejectedLine(item job.Item, err error) job.ResultLine {
	e := apierr.From(err)
	return job.NewFailure(item.CustomID, string(e.Kind), e.Message+"; "+e.Remedy)
}
