// Package httpengine makes calls to upstreams over HTTP/1.1.
//
// Contract: a call that is not repeatable is sent at most once. The standard
// transport retries some requests by itself if a reused connection breaks, so
// such calls always use a new connection, on which it never retries. A failed
// call is reported as not sent only if no byte of it was written and none can be
// written any more.
package httpengine

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/go-faster/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/masticscale/masticscale/internal/bodyend"
	"github.com/masticscale/masticscale/internal/readlimit"
	"github.com/masticscale/masticscale/internal/upstream"
)

const (
	dialTimeout      = 2 * time.Second
	reportTimeout    = 2 * time.Second
	idleTimeout      = 30 * time.Second
	maxIdlePerServer = 64
	maxReportBytes   = 1 << 20
)

// Engine implements upstream.Engine.
type Engine struct {
	pooled   *http.Client // reuses connections; for repeatable calls
	fresh    *http.Client // uses a new connection for each call
	attempts *attemptIDs
}

// New returns an engine.
func New() *Engine {
	return &Engine{pooled: newClient(false), fresh: newClient(true), attempts: newAttemptIDs()}
}

func newClient(fresh bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialGuarded(&net.Dialer{Timeout: dialTimeout}),
			MaxIdleConnsPerHost: maxIdlePerServer,
			IdleConnTimeout:     idleTimeout,
			DisableKeepAlives:   fresh,
			DisableCompression:  true,

			MaxResponseHeaderBytes: upstream.MaxHeadBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections.
func (e *Engine) Close() {
	e.pooled.CloseIdleConnections()
	e.fresh.CloseIdleConnections()
}

// Start implements upstream.Engine.
func (e *Engine) Start(ctx context.Context, address string, call upstream.Call) (*upstream.Response, error) {
	tracker := callTracker{permit: call.Permit}
	trace := tracker.trace()
	callCtx, cancel := context.WithCancelCause(ctx)
	head := &headTimer{cancel: cancel}
	head.addTo(trace)
	response, err := e.send(httptrace.WithClientTrace(callCtx, trace), &tracker, head, address, call)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	response.Body = &cancelBody{response.Body, func() { cancel(nil) }}
	return response, nil
}

// send makes a call. The response's body can be read until ctx is cancelled.
func (e *Engine) send(ctx context.Context, tracker *callTracker, head *headTimer, address string, call upstream.Call) (*upstream.Response, error) {
	req, err := newRequest(ctx, address, call)
	if err != nil {
		return nil, &upstream.SendError{Cause: errors.Wrap(err, "build request")}
	}
	if call.Permit != nil {
		if err := call.Permit(); err != nil {
			return nil, &upstream.SendError{Cause: err}
		}
	}
	id := e.attempts.next()
	req.Header.Set(attemptHeader, id)
	resp, err := e.clientFor(call).Do(req)
	if limit := head.stop(); limit != nil && err != nil {
		err = errors.Wrap(limit, "read response")
	}
	if err != nil {
		sent := tracker.abort()
		if sent {
			upstream.MarkSent(ctx)
		}
		return nil, &upstream.SendError{Sent: sent, Cause: err}
	}
	upstream.MarkSent(ctx)
	if err := checkAttemptID(resp.Header, id); err != nil {
		_ = resp.Body.Close()
		return nil, &upstream.SendError{Sent: true, Cause: err}
	}
	if resp.StatusCode < http.StatusOK { // the transport has read the informational ones
		_ = resp.Body.Close()
		return nil, &upstream.SendError{Sent: true, Cause: errors.Errorf("upstream responded with the invalid status %d", resp.StatusCode)}
	}
	response := &upstream.Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Undelimited: !bodyend.IsDelimited(resp)}
	if response.Undelimited {
		response.Body = &undelimitedBody{ReadCloser: resp.Body, ctx: ctx, tracker: tracker}
	}
	return response, nil
}

func newRequest(ctx context.Context, address string, call upstream.Call) (*http.Request, error) {
	target := address + call.Path
	if call.RawQuery != "" {
		target += "?" + call.RawQuery
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	req.Header = call.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "masticscale")
	}
	return req, nil
}

func (e *Engine) clientFor(call upstream.Call) *http.Client {
	if call.Repeatable && !call.Fresh {
		return e.pooled
	}
	return e.fresh
}

// Load implements upstream.Engine.
func (e *Engine) Load(ctx context.Context, address string) (upstream.Load, error) {
	resp, err := get(ctx, e.pooled, address+"/metrics")
	if err != nil {
		return upstream.Load{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	return parseLoad(resp.Body)
}

// parseLoad reads a load report of at most maxReportBytes.
func parseLoad(report io.Reader) (upstream.Load, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(readlimit.NewLimitedReader(report, "the load report", maxReportBytes))
	if err != nil {
		return upstream.Load{}, errors.Wrap(err, "parse load report")
	}
	running, err := countOf(families, "engine_requests_running")
	if err != nil {
		return upstream.Load{}, err
	}
	waiting, err := countOf(families, "engine_requests_waiting")
	if err != nil {
		return upstream.Load{}, err
	}
	return upstream.Load{Running: running, Waiting: waiting}, nil
}

// countOf returns the number of requests that a load report gives under the name.
func countOf(families map[string]*dto.MetricFamily, name string) (int, error) {
	metrics := families[name].GetMetric()
	if len(metrics) == 0 {
		return 0, errors.Errorf("the load report lacks %s", name)
	}
	var value float64
	switch metric := metrics[0]; {
	case metric.Untyped != nil:
		value = metric.Untyped.GetValue()
	case metric.Gauge != nil:
		value = metric.Gauge.GetValue()
	default:
		return 0, errors.Errorf("%s of the load report is not a gauge", name)
	}
	if !(value >= 0 && value <= math.MaxInt32) { // also excludes NaN
		return 0, errors.Errorf("%s of the load report is %v, not a number of requests", name, value)
	}
	return int(value), nil
}

// CheckHealth implements upstream.Engine. It uses a new connection, because the
// network may have dropped an idle one, and the upstream would seem to be gone.
func (e *Engine) CheckHealth(ctx context.Context, address string) error {
	resp, err := get(ctx, e.fresh, address+"/health")
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func get(ctx context.Context, c *http.Client, target string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		cancel()
		return nil, errors.Wrap(err, "build request")
	}
	resp, err := c.Do(req)
	if err != nil {
		cancel()
		return nil, err
	}
	resp.Body = &cancelBody{resp.Body, cancel}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, errors.Wrap(&upstream.StatusError{Status: resp.StatusCode}, target)
	}
	return resp, nil
}

// cancelBody cancels the call's context when the body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
