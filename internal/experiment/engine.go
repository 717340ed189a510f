// Package experiment measures the decisions of admission and dispatch on a model
// of engines and callers, in virtual time. It runs the product's own queues,
// pools, exchanges and observers; only engines, callers and the network are
// models.
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

// EngineCost is the time model of one engine: one step gives a token to every
// running request, after the prompts of the requests that joined were read.
type EngineCost struct {
	Slots           int
	PrefillPerToken time.Duration
	StepBase        time.Duration
	StepPerRequest  time.Duration
	ReportLag       time.Duration
}

// DefaultEngineCost resembles a mid-sized model on one accelerator.
func DefaultEngineCost() EngineCost {
	return EngineCost{
		Slots: 32, PrefillPerToken: 100 * time.Microsecond, StepBase: 20 * time.Millisecond,
		StepPerRequest: 500 * time.Microsecond, ReportLag: 500 * time.Millisecond,
	}
}

// size is what the model needs to know of a request; it travels as the body.
type size struct {
	Prompt, Output uint32
	Batch          bool
}

func (s size) encode() []byte {
	var b bytes.Buffer
	_ = binary.Write(&b, binary.BigEndian, s)
	return b.Bytes()
}

func decodeSize(body []byte) size {
	var s size
	_ = binary.Read(bytes.NewReader(body), binary.BigEndian, &s)
	return s
}

// sequence is one request at an engine.
type sequence struct {
	size
	ctx   context.Context
	first chan struct{} // closed with the first token
	done  chan struct{} // closed with the last token
	given uint32
}

// engine is one model engine.
type engine struct {
	cost EngineCost
	wake chan struct{}

	mu      sync.Mutex
	waiting []*sequence
	running []*sequence
	reports []report
	total   tally
}

// report is what the engine tells of its load, from some time on.
type report struct {
	at   time.Time
	load upstream.Load
}

// tally counts tokens.
type tally struct {
	Online, Batch int // of requests that ended well
	Wasted        int // of requests that were cancelled
}

func newEngine(cost EngineCost) *engine {
	return &engine{cost: cost, wake: make(chan struct{}, 1)}
}

// run steps until ctx is done.
func (e *engine) run(ctx context.Context) {
	for {
		pause := e.admit()
		if pause == 0 {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
			}
			continue
		}
		time.Sleep(pause)
		e.step()
		if ctx.Err() != nil {
			return
		}
	}
}

// admit fills the batch in order of arrival and returns the time of the next
// step; zero when there is nothing to do.
func (e *engine) admit() time.Duration {
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
	e.note()
	if len(e.running) == 0 {
		return 0
	}
	return time.Duration(prompt)*e.cost.PrefillPerToken + e.cost.StepBase + time.Duration(len(e.running)-1)*e.cost.StepPerRequest
}

func (e *engine) dropCancelled() {
	keep := func(list []*sequence) []*sequence {
		var out []*sequence
		for _, s := range list {
			if s.ctx.Err() == nil {
				out = append(out, s)
				continue
			}
			if s.given > 0 {
				e.total.Wasted += int(s.Prompt + s.given)
			}
		}
		return out
	}
	e.running, e.waiting = keep(e.running), keep(e.waiting)
}

// step gives one token to every running request.
func (e *engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*sequence
	for _, s := range e.running {
		s.given++
		if s.given == 1 {
			close(s.first)
		}
		if s.given < s.Output {
			out = append(out, s)
			continue
		}
		if s.Batch {
			e.total.Batch += int(s.Prompt + s.given)
		} else {
			e.total.Online += int(s.Prompt + s.given)
		}
		close(s.done)
	}
	e.running = out
	e.note()
}

// note records the load for the lagging report; the caller holds mu.
func (e *engine) note() {
	now := time.Now()
	e.reports = append(e.reports, report{now, upstream.Load{Running: len(e.running), Waiting: len(e.waiting)}})
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

// start waits for the first token.
func (e *engine) start(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
	s := &sequence{size: decodeSize(call.Body), ctx: ctx, first: make(chan struct{}), done: make(chan struct{})}
	e.mu.Lock()
	e.waiting = append(e.waiting, s)
	e.note()
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	select {
	case <-s.first:
		header := http.Header{"Content-Type": {"text/event-stream"}}
		return &upstream.Response{Status: http.StatusOK, Header: header, Body: &answerBody{s}}, nil
	case <-ctx.Done():
		return nil, &upstream.SendError{Sent: true, Cause: ctx.Err()}
	}
}

// answerBody ends with the last token.
type answerBody struct{ s *sequence }

// Read implements io.Reader.
func (b *answerBody) Read([]byte) (int, error) {
	select {
	case <-b.s.done:
		return 0, io.EOF
	case <-b.s.ctx.Done():
		return 0, b.s.ctx.Err()
	}
}

// Close implements io.Closer.
func (b *answerBody) Close() error { return nil }
