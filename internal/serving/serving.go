// Package serving runs accepted requests: admission control, then dispatch to an
// upstream. The gateway and the batch runner both use it.
package serving

import (
	"context"
	"time"

	"github.com/masticscale/masticscale/internal/admission"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/telemetry"
	"github.com/masticscale/masticscale/internal/upstream"
)

// Request is a request that was accepted but not yet admitted.
type Request struct {
	Team       string
	Weight     float64
	Service    string
	Class      dispatch.Class
	Tokens     int
	MaxQueue   int
	Deadline   time.Time     // only for batch requests
	FailedAt   upstream.ID   // only for batch requests: the last upstream that failed a run of the item
	RunTimeout time.Duration // from the grant of the slot; zero means no limit
	Call       upstream.Call
}

// Pipeline runs requests through admission and dispatch.
type Pipeline struct {
	admission  *admission.Controller
	dispatcher *dispatch.Dispatcher
}

// NewPipeline returns a Pipeline of the controller and the dispatcher.
func NewPipeline(a *admission.Controller, d *dispatch.Dispatcher) *Pipeline {
	return &Pipeline{admission: a, dispatcher: d}
}

// Run waits for a slot and returns the beginning of the response, whose End must be
// called. A request that is quarantined for crashing upstreams is rejected before
// it waits.
func (p *Pipeline) Run(ctx context.Context, r Request) (*dispatch.Response, error) {
	req := dispatch.Request{Team: r.Team, Service: r.Service, Class: r.Class, Call: r.Call, FailedAt: r.FailedAt, RunTimeout: r.RunTimeout}
	if err := p.dispatcher.CheckQuarantine(req); err != nil {
		return nil, err
	}
	slot, err := p.admission.Admit(ctx, admission.Request{
		Team: r.Team, Weight: r.Weight, Service: r.Service, Class: r.Class,
		Tokens: r.Tokens, MaxQueue: r.MaxQueue, Deadline: r.Deadline,
	})
	if err != nil {
		return nil, err
	}
	ctx, span := telemetry.Tracer().Start(ctx, "dispatch")
	defer span.End()
	return p.dispatcher.Do(ctx, req, slot)
}
