package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/platform"
	"github.com/masticscale/masticscale/internal/upstream"
)

const (
	reportInterval   = 500 * time.Millisecond
	hostListInterval = time.Second
)

// Observer keeps the pool's view of upstreams fresh: their load reports, their
// health, and the platform's list of leaving hosts.
type Observer struct {
	pool   *Pool
	engine upstream.Engine
	hosts  platform.HostLister
	log    logrus.FieldLogger
}

// NewObserver returns an observer.
func NewObserver(pool *Pool, engine upstream.Engine, hosts platform.HostLister, log logrus.FieldLogger) *Observer {
	return &Observer{pool: pool, engine: engine, hosts: hosts, log: log}
}

// Run observes until ctx is done.
func (o *Observer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { every(ctx, reportInterval, o.readReports) })
	wg.Go(func() { every(ctx, hostListInterval, o.readHosts) })
	wg.Wait()
}

func every(ctx context.Context, interval time.Duration, do func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		do(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (o *Observer) readReports(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range o.pool.Statuses() {
		wg.Go(func() {
			load, err := o.engine.Load(ctx, s.Address)
			if err == nil {
				o.pool.Report(upstream.ID{Service: s.Service, Name: s.Name}, load)
			}
		})
	}
	wg.Wait()
}

func (o *Observer) readHosts(ctx context.Context) {
	entries, err := o.hosts.Hosts(ctx)
	if err != nil {
		return
	}
	leaving := map[string]bool{}
	for _, e := range entries {
		leaving[e.Name] = e.State == platform.HostLeaving
	}
	o.pool.MarkLeaving(leaving)
}

// Report takes over an upstream's own load report.
func (p *Pool) Report(id upstream.ID, load upstream.Load) {
	p.mu.Lock()
	if t, ok := p.targets[id]; ok {
		t.reported = load
		t.reportedAt = time.Now()
	}
	freed := p.freed
	p.mu.Unlock()
	freed()
}

// MarkLeaving marks the upstreams that the platform lists as leaving.
func (p *Pool) MarkLeaving(leaving map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, t := range p.targets {
		if state, listed := leaving[id.Name]; listed {
			t.leaving = state
		}
	}
}
