package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/internal/upstream"
)

const (
	reportInterval   = 500 * time.Millisecond
	healthInterval   = time.Second
	hostListInterval = time.Second
	pollAll          = 8 // hosts in a data centre up to which each polls every upstream
	pollersEach      = 2 // hosts that poll an upstream beyond that
	probeQueue       = 64
)

// Observer keeps the pool's view of upstreams fresh: their load reports, their
// health, and the platform's list of leaving hosts. In a large data centre each
// upstream is polled by a few hosts, which pass on what they read.
type Observer struct {
	pool    *Pool
	engine  upstream.Engine
	hosts   objstore.HostLister
	members membership.Feed
	log     logrus.FieldLogger
	probes  chan upstream.ID
}

// NewObserver returns an observer.
func NewObserver(pool *Pool, engine upstream.Engine, hosts objstore.HostLister, members membership.Feed, log logrus.FieldLogger) *Observer {
	o := &Observer{pool: pool, engine: engine, hosts: hosts, members: members, log: log, probes: make(chan upstream.ID, probeQueue)}
	pool.OnAttemptFailure(o.askProbe)
	return o
}

// Run observes until ctx is done.
func (o *Observer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { every(ctx, reportInterval, o.readReports) })
	wg.Go(func() { every(ctx, healthInterval, o.checkHealth) })
	wg.Go(func() { every(ctx, hostListInterval, o.readHosts) })
	wg.Go(func() { o.probeFailed(ctx) })
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

// askProbe asks for a health check out of turn. When many wait already, the
// next regular one has to do.
func (o *Observer) askProbe(id upstream.ID) {
	select {
	case o.probes <- id:
	default:
	}
}

func (o *Observer) probeFailed(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-o.probes:
			for _, s := range o.pool.Statuses() {
				if s.Service == id.Service && s.Name == id.Name {
					o.check(ctx, s)
				}
			}
		}
	}
}

// mine returns the upstreams that this host polls.
func (o *Observer) mine() []Status {
	hosts := o.neighbours()
	all := o.pool.Statuses()
	if len(hosts) <= pollAll {
		return all
	}
	self := o.members.Self().Name
	var out []Status
	for _, s := range all {
		if s.State == "down" || polls(self, hosts, s.Service+"/"+s.Name) {
			out = append(out, s)
		}
	}
	return out
}

// neighbours returns the hosts of this host's data centre.
func (o *Observer) neighbours() []string {
	self := o.members.Self()
	var out []string
	for _, m := range o.members.Members() {
		if m.DataCentre == self.DataCentre {
			out = append(out, m.Name)
		}
	}
	return out
}

// polls reports whether self is among the hosts that poll the upstream: those
// with the highest hashes of upstream and host.
func polls(self string, hosts []string, id string) bool {
	score := func(host string) uint64 { return xxhash.Sum64String(id + "\x00" + host) }
	above := 0
	for _, h := range hosts {
		if h != self && score(h) > score(self) {
			above++
		}
	}
	return above < pollersEach
}

func (o *Observer) readReports(ctx context.Context) {
	o.forEach(o.mine(), func(s Status) {
		asked := time.Now()
		if load, err := o.engine.Load(ctx, s.Address); err == nil {
			o.pool.RecordReport(upstream.ID{Service: s.Service, Name: s.Name}, load, asked)
		}
	})
}

func (o *Observer) checkHealth(ctx context.Context) {
	o.forEach(o.mine(), func(s Status) { o.check(ctx, s) })
}

func (o *Observer) check(ctx context.Context, s Status) {
	health := upstream.HealthOf(o.engine.Healthy(ctx, s.Address))
	if ctx.Err() != nil {
		return
	}
	o.pool.Observe(upstream.ID{Service: s.Service, Name: s.Name}, health)
}

func (o *Observer) forEach(upstreams []Status, do func(Status)) {
	var wg sync.WaitGroup
	for _, s := range upstreams {
		wg.Go(func() { do(s) })
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
		leaving[e.Name] = e.State == objstore.HostLeaving
	}
	o.pool.MarkLeaving(leaving)
}
