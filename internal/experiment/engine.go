// Package experiment measures admission and dispatch policies by simulation in
// virtual time. Queues, upstream pools, load gossip and observers are the production
// code; engines, clients and the network are simulated.
package experiment

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/masticscale/masticscale/internal/upstream"
)

// EngineCost is the time model of one engine. Each step first prefills the prompts of
// the requests that joined the running batch, then generates one token for every
// running request.
type EngineCost struct {
	Slots           int
	PrefillPerToken time.Duration
	StepBase        time.Duration
	StepPerRequest  time.Duration
	ReportLag       time.Duration
}

// DefaultEngineCost returns costs that resemble a mid-sized model on one accelerator.
func DefaultEngineCost() EngineCost {
	return EngineCost{
		Slots: 32, PrefillPerToken: 100 * time.Microsecond, StepBase: 20 * time.Millisecond,
		StepPerRequest: 500 * time.Microsecond, ReportLag: 500 * time.Millisecond,
	}
}

// requestSize describes a request to the simulated engine. It is sent as the request
// body.
type requestSize struct {
	Prompt, Output uint32
	Batch          bool
}

func (s requestSize) encode() []byte {
	var b bytes.Buffer
	_ = binary.Write(&b, binary.BigEndian, s)
	return b.Bytes()
}

func decodeSize(body []byte) requestSize {
	var s requestSize
	_ = binary.Read(bytes.NewReader(body), binary.BigEndian, &s)
	return s
}

// sequence is a request that an engine queues or runs.
type sequence struct {
	requestSize
	ctx        context.Context
	firstToken chan struct{} // closed with the first token
	done       chan struct{} // closed with the last token
	generated  uint32
}

// engine simulates an inference engine with continuous batching.
type engine struct {
	cost EngineCost
	wake chan struct{}

	mu      sync.Mutex
	waiting []*sequence
	running []*sequence
	reports []loadReport
	total   tokenCounts
}

// loadReport holds the engine's load and the time at which it was recorded.
type loadReport struct {
	at   time.Time
	load upstream.Load
}

// tokenCounts counts prompt and generated tokens.
type tokenCounts struct {
	Online, Batch int // of completed requests
	Wasted        int // of requests cancelled after their first token
}

func newEngine(cost EngineCost) *engine {
	return &engine{cost: cost, wake: make(chan struct{}, 1)}
}

// run executes steps until ctx is done.
func (e *engine) run(ctx context.Context) {
	for {
		stepTime := e.admitWaiting()
		if stepTime == 0 {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
			}
			continue
		}
		time.Sleep(stepTime)
		e.step()
		if ctx.Err() != nil {
			return
		}
	}
}

// admitWaiting fills the running batch in order of arrival and returns the duration of
// the next step, or zero if no request is running.
func (e *engine) admitWaiting() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropCancelled()
	var prompt uint32
	for len(e.waiting) > 0 && len(e.running) < e.cost.Slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
		prompt += s.Prompt
	}
	e.recordLoad()
	if len(e.running) == 0 {
		return 0
	}
	return time.Duration(prompt)*e.cost.PrefillPerToken + e.cost.StepBase + time.Duration(len(e.running)-1)*e.cost.StepPerRequest
}

func (e *engine) dropCancelled() {
	active := func(list []*sequence) []*sequence {
		var out []*sequence
		for _, s := range list {
			if s.ctx.Err() == nil {
				out = append(out, s)
				continue
			}
			if s.generated > 0 {
				e.total.Wasted += int(s.Prompt + s.generated)
			}
		}
		return out
	}
	e.running, e.waiting = active(e.running), active(e.waiting)
}

// step generates one token for every running request.
func (e *engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*sequence
	for _, s := range e.running {
		s.generated++
		if s.generated == 1 {
			close(s.firstToken)
		}
		if s.generated < s.Output {
			out = append(out, s)
			continue
		}
		if s.Batch {
			e.total.Batch += int(s.Prompt + s.generated)
		} else {
			e.total.Online += int(s.Prompt + s.generated)
		}
		close(s.done)
	}
	e.running = out
	e.recordLoad()
}

// recordLoad records the present load, which load returns after ReportLag. The caller
// holds mu.
func (e *engine) recordLoad() {
	now := time.Now()
	e.reports = append(e.reports, loadReport{now, upstream.Load{Running: len(e.running), Waiting: len(e.waiting)}})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.cost.ReportLag {
		e.reports = e.reports[1:]
	}
}

func (e *engine) load() upstream.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	var load upstream.Load
	for _, r := range e.reports {
		if time.Since(r.at) >= e.cost.ReportLag {
			load = r.load
		}
	}
	return load
}

// start queues a request and returns the response after its first token.
func (e *engine) start(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
	s := &sequence{requestSize: decodeSize(call.Body), ctx: ctx, firstToken: make(chan struct{}), done: make(chan struct{})}
	e.mu.Lock()
	e.waiting = append(e.waiting, s)
	e.recordLoad()
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	select {
	case <-s.firstToken:
		header := http.Header{"Content-Type": {"text/event-stream"}}
		return &upstream.Response{Status: http.StatusOK, Header: header, Body: &responseBody{s}}, nil
	case <-ctx.Done():
		return nil, &upstream.SendError{Sent: true, Cause: ctx.Err()}
	}
}

// responseBody is an empty body that reaches EOF with the last token.
type responseBody struct{ s *sequence }

// Read implements io.Reader.
func (b *responseBody) Read([]byte) (int, error) {
	select {
	case <-b.s.done:
		return 0, io.EOF
	case <-b.s.ctx.Done():
		return 0, b.s.ctx.Err()
	}
}

// Close implements io.Closer.
func (b *responseBody) Close() error { return nil }
