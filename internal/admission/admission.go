// Package admission implements admission control: it queues requests per service
// and grants free upstream slots by class and weighted fair share.
//
// Contract: online requests never wait for batch work. One goroutine owns the
// queues of a service and receives requests over one bounded channel per class.
// When a channel or queue is full, the request is rejected with a Retry-After
// time. A request that can't be served before its deadline is rejected at once, and
// one whose time is almost over when its turn comes is not sent.
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
	intakeSize    = 1024 // capacity of each channel of a queue
	minRetryAfter = time.Second
	pollInterval  = 50 * time.Millisecond // finds free slots for which no wake-up arrived

	// An online request with less time left than both is not sent.
	minTimeLeft     = 50 * time.Millisecond
	minTimeLeftPart = 10 // one in so many of the time that it had on arrival
)

// UpstreamPool reserves slots at upstreams.
type UpstreamPool interface {
	Reserve(dispatch.SlotRequest) (*dispatch.Slot, bool)
	Availability(service string) dispatch.Availability
}

// Request describes a request that needs an upstream slot.
type Request struct {
	Team     string
	Weight   float64 // the team's relative share of contended capacity
	Service  string
	Class    dispatch.Class
	Tokens   int // expected prompt and generated tokens
	MaxQueue int // limit of queued requests per team; 0 is unlimited
	// Deadline orders the batch requests of a team; zero for online requests.
	Deadline time.Time
}

// waiter is one request in a queue.
type waiter struct {
	req      Request
	ctx      context.Context
	arrived  time.Time
	boosted  bool          // the deadline is at risk, so the team's weight is raised
	decision chan decision // buffered, written once
}

func newWaiter(ctx context.Context, req Request) *waiter {
	return &waiter{req: req, ctx: ctx, arrived: time.Now(), decision: make(chan decision, 1)}
}

// isTooLate reports whether an online request has waited so long that it would be
// sent just to be cut off, and be reported as possibly run.
func (w *waiter) isTooLate(now time.Time) bool {
	deadline, bounded := w.ctx.Deadline()
	if !bounded || w.req.Class != dispatch.Online {
		return false
	}
	return deadline.Sub(now) < min(minTimeLeft, deadline.Sub(w.arrived)/minTimeLeftPart)
}

type decision struct {
	slot *dispatch.Slot
	err  error
}

// Controller admits requests through one queue per service.
type Controller struct {
	pool    UpstreamPool
	metrics *telemetry.Metrics

	mu     sync.Mutex
	queues map[string]*queue
	ctx    context.Context
	wg     sync.WaitGroup
}

// NewController returns a controller. Admit rejects every request until Run has
// started.
func NewController(pool UpstreamPool, metrics *telemetry.Metrics) *Controller {
	return &Controller{pool: pool, metrics: metrics, queues: map[string]*queue{}}
}

// Run serves the queues until ctx is done, then rejects all queued requests.
func (c *Controller) Run(ctx context.Context) {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	<-ctx.Done()
	c.wg.Wait()
}

// Wake notifies every queue that a slot may be free.
func (c *Controller) Wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, q := range c.queues {
		q.wake()
	}
}

// Admit waits for a slot. Its errors state that the request was not run.
func (c *Controller) Admit(ctx context.Context, req Request) (*dispatch.Slot, error) {
	ctx, span := telemetry.Tracer().Start(ctx, "admission")
	defer span.End()
	q, err := c.queueFor(req.Service)
	if err != nil {
		return nil, err
	}
	waiting := c.metrics.Queued.WithLabelValues(string(req.Class))
	waiting.Inc()
	defer waiting.Dec()
	return q.admit(ctx, req)
}

// queueFor returns the service's queue. Only services with upstreams get a queue,
// so that the configuration bounds the number of queues.
func (c *Controller) queueFor(service string) (*queue, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx == nil || c.ctx.Err() != nil {
		return nil, stoppingError()
	}
	if q, ok := c.queues[service]; ok {
		return q, nil
	}
	if !c.pool.Availability(service).Known {
		return nil, apierr.Newf(apierr.Unavailable, "ask the operators to add upstreams",
			"service %q has no upstream", service).WithRetryAfter(minRetryAfter)
	}
	q := newQueue(service, c.pool)
	c.queues[service] = q
	c.wg.Go(func() { q.run(c.ctx) })
	return q, nil
}
