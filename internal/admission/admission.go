// Package admission decides which request runs next.
//
// Contract: online requests never wait for batch work. One goroutine owns the
// queues of each service; requests reach it through bounded rings, one a class,
// and a full ring or queue is a refusal that tells when to come back. A request
// that cannot be served in time is refused at once.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/telemetry"
)

const (
	ringSize      = 1024
	minRetryAfter = time.Second
	pollInterval  = 50 * time.Millisecond // looks for room that nobody reported
)

// UpstreamPool hands out places at upstreams.
type UpstreamPool interface {
	Reserve(dispatch.SlotRequest) (*dispatch.Slot, bool)
	Availability(service string) dispatch.Availability
}

// Request is a request that asks to be run.
type Request struct {
	Team     string
	Weight   float64 // the team's share of contended capacity
	Service  string
	Class    dispatch.Class
	Tokens   int // expected prompt and generated tokens
	MaxQueue int // requests of one team that may wait
	// Deadline orders batch work; zero for online requests.
	Deadline time.Time
}

// waiter is one request in a queue.
type waiter struct {
	req     Request
	ctx     context.Context
	boosted bool       // its deadline is at risk
	grant   chan grant // buffered, written once
}

func newWaiter(ctx context.Context, req Request) *waiter {
	return &waiter{req: req, ctx: ctx, grant: make(chan grant, 1)}
}

type grant struct {
	place *dispatch.Slot
	err   error
}

// Controller owns a queue for each service.
type Controller struct {
	places  UpstreamPool
	metrics *telemetry.Metrics

	mu     sync.Mutex
	queues map[string]*queue
	ctx    context.Context
	wg     sync.WaitGroup
}

// NewController returns a controller; Run must be running before Admit.
func NewController(places UpstreamPool, metrics *telemetry.Metrics) *Controller {
	return &Controller{places: places, metrics: metrics, queues: map[string]*queue{}}
}

// Run lets queues work until ctx is done, then refuses what still waits.
func (c *Controller) Run(ctx context.Context) {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	<-ctx.Done()
	c.wg.Wait()
}

// Wake tells every queue that a place may be free.
func (c *Controller) Wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, q := range c.queues {
		q.wake()
	}
}

// Admit waits for a place. Its error says that the request was not run.
func (c *Controller) Admit(ctx context.Context, req Request) (*dispatch.Slot, error) {
	ctx, span := telemetry.Tracer().Start(ctx, "admission")
	defer span.End()
	q, err := c.queueOf(req.Service)
	if err != nil {
		return nil, err
	}
	waiting := c.metrics.Queued.WithLabelValues(string(req.Class))
	waiting.Inc()
	defer waiting.Dec()
	return q.admit(ctx, req)
}

// queueOf returns the service's queue. Queues exist only for services that have
// upstreams, so that their number is bounded by the configuration.
func (c *Controller) queueOf(service string) (*queue, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx == nil || c.ctx.Err() != nil {
		return nil, stopping()
	}
	if q, ok := c.queues[service]; ok {
		return q, nil
	}
	if !c.places.Availability(service).Known {
		return nil, apierr.Newf(apierr.Unavailable, "ask the operators to add upstreams",
			"service %q has no upstream", service).WithRetryAfter(minRetryAfter)
	}
	q := newQueue(service, c.places)
	c.queues[service] = q
	c.wg.Go(func() { q.run(c.ctx) })
	return q, nil
}
