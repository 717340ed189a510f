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
	reportInterval     = 500 * time.Millisecond
	healthInterval     = time.Second
	hostListInterval   = time.Second
	maxHostsPollingAll = 8 // largest number of hosts in a data centre at which each host polls every upstream
	pollersPerUpstream = 2 // in larger data centres
	probeQueueSize     = 64
)

// Observer updates the pool with the upstreams' load reports and health, and with
// the platform's list of leaving hosts. In a large data centre only a few hosts
// poll each upstream and gossip its load reports to the others.
type Observer struct {
	pool    *Pool
	engine  upstream.Engine
	hosts   objstore.HostLister
	members membership.View
	log     logrus.FieldLogger
	probes  chan upstream.ID

	failedReports map[upstream.ID]error // of the last poll; used by readReports alone
}

// NewObserver returns an Observer that Run starts.
func NewObserver(pool *Pool, engine upstream.Engine, hosts objstore.HostLister, members membership.View, log logrus.FieldLogger) *Observer {
	o := &Observer{pool: pool, engine: engine, hosts: hosts, members: members, log: log, probes: make(chan upstream.ID, probeQueueSize)}
	pool.OnAttemptFailure(o.requestProbe)
	return o
}

// Run polls until ctx is done.
func (o *Observer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { runEvery(ctx, reportInterval, o.readReports) })
	wg.Go(func() { runEvery(ctx, healthInterval, o.checkHealth) })
	wg.Go(func() { runEvery(ctx, hostListInterval, o.readHostList) })
	wg.Go(func() { o.runRequestedProbes(ctx) })
	wg.Wait()
}

func runEvery(ctx context.Context, interval time.Duration, do func(context.Context)) {
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

// requestProbe queues a health check of the upstream. If the queue is full, the
// request is dropped, and the next periodic health check covers the upstream.
func (o *Observer) requestProbe(id upstream.ID) {
	select {
	case o.probes <- id:
	default:
	}
}

func (o *Observer) runRequestedProbes(ctx context.Context) {
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

// polledUpstreams returns the upstreams that this host polls. Every host polls
// upstreams that are down.
func (o *Observer) polledUpstreams() []Status {
	hosts := o.dataCentreHosts()
	all := o.pool.Statuses()
	if len(hosts) <= maxHostsPollingAll {
		return all
	}
	self := o.members.Self().Name
	var out []Status
	for _, s := range all {
		if s.State == "down" || isPoller(self, hosts, s.Service+"/"+s.Name) {
			out = append(out, s)
		}
	}
	return out
}

// dataCentreHosts returns the names of the members in this host's data centre,
// including this host.
func (o *Observer) dataCentreHosts() []string {
	self := o.members.Self()
	var out []string
	for _, m := range o.members.Members() {
		if m.DataCentre == self.DataCentre {
			out = append(out, m.Name)
		}
	}
	return out
}

// isPoller reports whether self polls the upstream. The pollers are chosen by
// rendezvous hashing.
func isPoller(self string, hosts []string, id string) bool {
	score := func(host string) uint64 { return xxhash.Sum64String(id + "\x00" + host) }
	higher := 0
	for _, h := range hosts {
		if h != self && score(h) > score(self) {
			higher++
		}
	}
	return higher < pollersPerUpstream
}

func (o *Observer) readReports(ctx context.Context) {
	var mu sync.Mutex
	failed := map[upstream.ID]error{}
	o.forEachUpstream(o.polledUpstreams(), func(s Status) {
		id := upstream.ID{Service: s.Service, Name: s.Name}
		requestedAt := time.Now()
		load, err := o.engine.Load(ctx, s.Address)
		if err == nil {
			o.pool.RecordReport(id, load, requestedAt)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		failed[id] = err
	})
	if ctx.Err() == nil {
		o.logFailedReports(failed)
	}
}

// logFailedReports logs the upstreams without a usable load report, each once until it has
// one again.
func (o *Observer) logFailedReports(failed map[upstream.ID]error) {
	for id, err := range failed {
		if o.failedReports[id] == nil {
			o.log.WithError(err).WithFields(logrus.Fields{"event": "load_report_failed", "upstream": id.String()}).Warn("the upstream has no usable load report; its load is taken from the hosts' own requests")
		}
	}
	o.failedReports = failed
}

func (o *Observer) checkHealth(ctx context.Context) {
	o.forEachUpstream(o.polledUpstreams(), func(s Status) { o.check(ctx, s) })
}

func (o *Observer) check(ctx context.Context, s Status) {
	health := upstream.HealthFromError(o.engine.CheckHealth(ctx, s.Address))
	if ctx.Err() != nil {
		return
	}
	o.pool.Observe(upstream.ID{Service: s.Service, Name: s.Name}, health)
}

func (o *Observer) forEachUpstream(upstreams []Status, do func(Status)) {
	var wg sync.WaitGroup
	for _, s := range upstreams {
		wg.Go(func() { do(s) })
	}
	wg.Wait()
}

func (o *Observer) readHostList(ctx context.Context) {
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
