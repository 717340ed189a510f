// Package serving is the one way from an accepted request to an upstream:
// admission, then dispatch. The gateway and the batch runner both use it.
package serving

import (
	"context"
	"time"

	"github.com/masticscale/masticscale/internal/admission"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/telemetry"
	"github.com/masticscale/masticscale/internal/upstream"
)

// Request is an accepted request.
type Request struct {
	Team     string
	Weight   float64
	Service  string
	Class    dispatch.Class
	Tokens   int
	MaxQueue int
	Deadline time.Time // batch only
	Call     upstream.Call
}

// Pipeline runs requests.
type Pipeline struct {
	admission  *admission.Controller
	dispatcher *dispatch.Dispatcher
}

// NewPipeline returns a Pipeline over the controller and the dispatcher.
func NewPipeline(a *admission.Controller, d *dispatch.Dispatcher) *Pipeline {
	return &Pipeline{admission: a, dispatcher: d}
}

// Run waits for a place and returns the beginning of the answer, whose End must
// be called. A request that has crashed upstreams is refused before it waits.
func (p *Pipeline) Run(ctx context.Context, r Request) (*dispatch.Response, error) {
	req := dispatch.Request{Team: r.Team, Service: r.Service, Class: r.Class, Call: r.Call}
	if err := p.dispatcher.CheckQuarantine(req); err != nil {
		return nil, err
	}
	place, err := p.admission.Admit(ctx, admission.Request{
		Team: r.Team, Weight: r.Weight, Service: r.Service, Class: r.Class,
		Tokens: r.Tokens, MaxQueue: r.MaxQueue, Deadline: r.Deadline,
	})
	if err != nil {
		return nil, err
	}
	ctx, span := telemetry.Tracer().Start(ctx, "dispatch")
	defer span.End()
	return p.dispatcher.Do(ctx, req, place)
}
