package batch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/admission"
	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/job"
	"github.com/masticscale/masticscale/internal/service"
	"github.com/masticscale/masticscale/internal/serving"
	"github.com/masticscale/masticscale/internal/telemetry"
	"github.com/masticscale/masticscale/internal/upstream"
)

// TestItemIsFailedByAHostWithAnOldConfiguration guards against an item that ends for
// good because the host that runs it hasn't heard of its model yet.
func TestItemIsFailedByAHostWithAnOldConfiguration(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		cat := catalog.New()
		e := NewPathExecutor(cat, nil)
		task := Task{
			Job:  job.Job{Endpoint: endpoints[0], Created: time.Now()},
			Item: job.Item{CustomID: "a", URL: endpoints[0], Body: []byte(`{"model": "new"}`)},
		}
		for _, asOf := range []time.Duration{-time.Hour, 0} {
			cat.RecordCheckpoint(catalog.Checkpoint{At: task.Job.Created.Add(asOf)})
			time.Sleep(time.Second)
			_, err := e.Execute(context.Background(), task)
			c.Assert(apierr.IsKind(err, apierr.Unavailable), qt.IsTrue, qt.Commentf("%v: %v", asOf, err))
			c.Assert(notRun(err), qt.IsTrue)
		}
		cat.RecordCheckpoint(catalog.Checkpoint{At: time.Now()})
		line, err := e.Execute(context.Background(), task)
		c.Assert(err, qt.IsNil)
		c.Assert(line.Error.Code, qt.Equals, string(apierr.NotFound))
	})
}

// scriptedEngine is an upstream that answers every call with the status and the body.
type scriptedEngine struct {
	upstream.Engine
	status int
	body   io.Reader
}

func (e *scriptedEngine) Start(context.Context, string, upstream.Call) (*upstream.Response, error) {
	return &upstream.Response{Status: e.status, Header: http.Header{}, Body: io.NopCloser(e.body)}, nil
}

func (*scriptedEngine) CheckHealth(context.Context, string) error { return nil }

// executeOnce runs an item once at the engine.
func executeOnce(t *testing.T, e upstream.Engine) (job.ResultLine, error) {
	cat := catalog.New()
	cat.UpdateObjects(func(p *catalog.ObjectSpecs) {
		p.Services["m"] = service.Spec{Kind: service.Engine, Models: []string{"m"}, Upstreams: map[string]upstream.Spec{"u": {Address: "http://u"}}}
	})
	pool := dispatch.NewPool()
	pool.Apply(cat.Current())
	metrics := telemetry.NewMetrics()
	control := admission.NewController(pool, metrics)
	suspects := dispatch.NewSuspects(dispatch.FingerprintKey("k"), nil, nil, discardLog())
	x := NewPathExecutor(cat, serving.NewPipeline(control, dispatch.NewDispatcher(pool, e, suspects, metrics)))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { control.Run(ctx); close(ended) }()
	defer func() { cancel(); <-ended }()
	time.Sleep(time.Millisecond)
	return x.Execute(ctx, Task{
		Job:    job.Job{Team: "t", Endpoint: endpoints[0], Created: time.Now(), Deadline: time.Now().Add(time.Hour)},
		Item:   job.Item{CustomID: "a", URL: endpoints[0], Body: []byte(`{"model": "m"}`)},
		Permit: func() error { return nil },
	})
}

// TestTruncatedResponseIsAnItemsResult guards against an item that is done with a part of a
// response.
func TestTruncatedResponseIsAnItemsResult(t *testing.T) {
	const whole = `{"id": 1}`
	for name, tc := range map[string]struct {
		status int
		body   io.Reader
		done   bool
	}{
		"whole":                   {200, strings.NewReader(whole), true},
		"whole rejection":         {400, strings.NewReader(whole), true},
		"reset after the body":    {200, io.MultiReader(strings.NewReader(whole), iotest.ErrReader(io.ErrUnexpectedEOF)), false},
		"rejection, reset":        {400, io.MultiReader(strings.NewReader(whole), iotest.ErrReader(io.ErrUnexpectedEOF)), false},
		"closed within the body":  {200, strings.NewReader(whole[:5]), false},
		"closed before the body":  {200, strings.NewReader(""), false},
		"stream of events":        {200, strings.NewReader("data: {}\n\ndata: [DONE]\n\n"), false},
		"longer than the maximum": {200, strings.NewReader(`"` + strings.Repeat("x", maxResponseBytes) + `"`), false},
	} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := qt.New(t)
				line, err := executeOnce(t, &scriptedEngine{status: tc.status, body: tc.body})
				c.Assert(err == nil, qt.Equals, tc.done, qt.Commentf("%v", err))
				if tc.done {
					c.Assert(line.Response.StatusCode, qt.Equals, tc.status)
					c.Assert(string(line.Response.Body), qt.Equals, whole)
				}
			})
		})
	}
}

// TestAnswerOfAWrongInstanceIsAnItemsResult guards against an item that ends with the
// response of an upstream that isn't the one meant, while others would answer it.
func TestAnswerOfAWrongInstanceIsAnItemsResult(t *testing.T) {
	item := job.Item{CustomID: "a"}
	for status, ended := range map[int]int{301: 0, 302: 0, 307: 0, 401: 401, 403: 403, 404: 404, 405: 405, 421: 421} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := qt.New(t)
				var runs attempts
				for n := 1; ; n++ {
					_, err := executeOnce(t, &scriptedEngine{status: status, body: strings.NewReader("no such page")})
					c.Assert(err, qt.IsNotNil)
					line, wait := runs.recordFailure(item, err)
					c.Assert(runs.failedAt.Name, qt.Equals, "u", qt.Commentf("the next run goes elsewhere"))
					if n < maxErrorAnswers {
						c.Assert(line, qt.IsNil)
						c.Assert(wait >= failureBackoff, qt.IsTrue)
						continue
					}
					c.Assert(line, qt.IsNotNil)
					c.Assert(line.Failed(), qt.IsTrue)
					if ended == 0 {
						c.Assert(line.Error.Code, qt.Equals, job.CodeFailed)
						return
					}
					c.Assert(line.Response.StatusCode, qt.Equals, ended)
					c.Assert(string(line.Response.Body), qt.Equals, `"no such page"`)
					return
				}
			})
		})
	}
}
