// Package admission decides which request runs next.
//
// Contract: online requests never wait for batch work. One goroutine owns the
// queues of each service; requests reach it through a bounded ring, and a full
// ring or queue is a refusal that tells when to come back.
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
	ringSize     = 1024
	retryAfter   = time.Second
	pollInterval = 200 * time.Millisecond // looks for room that nobody reported
)

// Places hands out places at upstreams.
type Places interface {
	Reserve(dispatch.Need) (*dispatch.Place, bool)
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
	req   Request
	ctx   context.Context
	grant chan grant // buffered, written once
}

type grant struct {
	place *dispatch.Place
	err   error
}

// Controller owns a queue for each service.
type Controller struct {
	places  Places
	metrics *telemetry.Metrics

	mu     sync.Mutex
	queues map[string]*queue
	ctx    context.Context
	wg     sync.WaitGroup
}

// NewController returns a controller; Run must be running before Admit.
func NewController(places Places, metrics *telemetry.Metrics) *Controller {
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
func (c *Controller) Admit(ctx context.Context, req Request) (*dispatch.Place, error) {
	ctx, span := telemetry.Tracer().Start(ctx, "admission")
	defer span.End()
	q, err := c.queueOf(req.Service)
	if err != nil {
		return nil, err
	}
	w := &waiter{req: req, ctx: ctx, grant: make(chan grant, 1)}
	select {
	case q.ring <- w:
	default:
		return nil, overloaded("the host's queue is full")
	}
	waiting := c.metrics.Queued.WithLabelValues(string(req.Class))
	waiting.Inc()
	defer waiting.Dec()
	select {
	case g := <-w.grant:
		return g.place, g.err
	case <-ctx.Done():
		go releaseLate(w)
		return nil, gaveUp(ctx)
	}
}

// releaseLate frees a place that was granted while its request gave up. The
// queue always answers a waiter, so this ends.
func releaseLate(w *waiter) {
	if g := <-w.grant; g.place != nil {
		g.place.Release(false)
	}
}

func gaveUp(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return apierr.New(apierr.Timeout, "no upstream was free in time", "send it again later").WithRetryAfter(retryAfter)
	}
	return apierr.New(apierr.Cancelled, "the caller went away", "")
}

func overloaded(message string) error {
	return apierr.New(apierr.Overloaded, message, "send it again after the time in Retry-After").WithRetryAfter(retryAfter)
}

func (c *Controller) queueOf(service string) (*queue, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx == nil || c.ctx.Err() != nil {
		return nil, apierr.New(apierr.Unavailable, "the host is stopping", "send it to another host").WithRetryAfter(retryAfter)
	}
	if q, ok := c.queues[service]; ok {
		return q, nil
	}
	q := newQueue(c.places)
	c.queues[service] = q
	c.wg.Go(func() { q.run(c.ctx) })
	return q, nil
}
