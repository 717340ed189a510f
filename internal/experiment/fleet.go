package experiment

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/admission"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/internal/service"
	"github.com/masticscale/masticscale/internal/serving"
	"github.com/masticscale/masticscale/internal/telemetry"
	"github.com/masticscale/masticscale/internal/upstream"
)

const (
	serviceName = "model"
	warmUp      = 5 * time.Second // of load before the measurement
)

// Deployment is the size of a fleet.
type Deployment struct {
	Name    string
	Hosts   int
	Engines int
	Delay   time.Duration // one-way network delay between any two processes
}

// Deployments returns the deployments of today's users.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "consortium", Hosts: 8, Engines: 10, Delay: time.Millisecond},
		{Name: "quillwood", Hosts: 8, Engines: 20, Delay: 500 * time.Microsecond},
	}
}

// fleet is a running simulation of a deployment. It is the network between its hosts
// and engines.
type fleet struct {
	deployment Deployment
	engines    map[string]*engine
	hosts      []*host
	wg         sync.WaitGroup
}

// host runs the admission and dispatch parts of one entry host.
type host struct {
	name     string
	pool     *dispatch.Pool
	gossip   *dispatch.Gossip
	pipeline *serving.Pipeline
}

func newFleet(ctx context.Context, d Deployment, policy dispatch.Policy) *fleet {
	f := &fleet{deployment: d, engines: map[string]*engine{}}
	specs := map[string]upstream.Spec{}
	for i := range d.Engines {
		name := fmt.Sprintf("e%02d", i)
		e := newEngine(DefaultEngineCost())
		f.engines[name] = e
		specs[name] = upstream.Spec{Address: name, Slots: e.cost.Slots}
		f.wg.Go(func() { e.run(ctx) })
	}
	snapshot := &catalog.Snapshot{Services: map[string]service.Spec{serviceName: {Kind: service.Engine, Upstreams: specs}}}
	var loops []func(context.Context)
	for i := range d.Hosts {
		loops = append(loops, f.addHost(fmt.Sprintf("h%d", i), snapshot, policy)...)
	}
	for _, loop := range loops {
		f.wg.Go(func() { loop(ctx) })
	}
	return f
}

// addHost adds a host and returns its background loops.
func (f *fleet) addHost(name string, s *catalog.Snapshot, policy dispatch.Policy) []func(context.Context) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	members := membershipView{fleet: f, name: name}
	metrics := telemetry.NewMetrics()
	pool := dispatch.NewPool()
	pool.SetPolicy(policy)
	pool.Apply(s)
	suspects := dispatch.NewSuspects(dispatch.FingerprintKey(name), nil, members, log)
	controller := admission.NewController(pool, metrics)
	pool.OnFreed(controller.Wake)
	observer := dispatch.NewObserver(pool, f, f, members, log)
	h := &host{
		name: name, pool: pool,
		gossip:   dispatch.NewGossip(pool, suspects, f, members, log),
		pipeline: serving.NewPipeline(controller, dispatch.NewDispatcher(pool, f, suspects, metrics)),
	}
	f.hosts = append(f.hosts, h)
	return []func(context.Context){controller.Run, observer.Run, h.gossip.Run}
}

// Start implements upstream.Engine.
func (f *fleet) Start(ctx context.Context, address string, call upstream.Call) (*upstream.Response, error) {
	time.Sleep(f.deployment.Delay)
	response, err := f.engines[address].start(ctx, call)
	time.Sleep(f.deployment.Delay)
	return response, err
}

// Load implements upstream.Engine.
func (f *fleet) Load(_ context.Context, address string) (upstream.Load, error) {
	time.Sleep(2 * f.deployment.Delay)
	return f.engines[address].load(), nil
}

// CheckHealth implements upstream.Engine.
func (f *fleet) CheckHealth(context.Context, string) error { return nil }

// Hosts implements objstore.HostLister.
func (f *fleet) Hosts(context.Context) ([]objstore.HostEntry, error) { return nil, nil }

func (f *fleet) hostByName(name string) *host {
	for _, h := range f.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// Exchange implements dispatch.Peers.
func (f *fleet) Exchange(_ context.Context, to membership.Host, rows []dispatch.LoadRow) ([]dispatch.LoadRow, error) {
	time.Sleep(2 * f.deployment.Delay)
	h := f.hostByName(to.Name)
	h.gossip.Merge(rows)
	return h.gossip.Rows(), nil
}

// Arrive implements dispatch.Peers.
func (f *fleet) Arrive(_ context.Context, to membership.Host, from string, arrivals []dispatch.Arrival) error {
	time.Sleep(f.deployment.Delay)
	for _, a := range arrivals {
		f.hostByName(to.Name).pool.RecordArrivals(from, a.ID, a.Change)
	}
	return nil
}

// TellSuspicions implements dispatch.Peers.
func (f *fleet) TellSuspicions(context.Context, membership.Host, []dispatch.Suspicion) error {
	return nil
}

// membershipView implements membership.View. All hosts are always members.
type membershipView struct {
	fleet *fleet
	name  string
}

// Self implements membership.View.
func (m membershipView) Self() membership.Host {
	return membership.Host{Name: m.name, Epoch: 1, PeerAddress: m.name}
}

// HoldsLease implements membership.View.
func (m membershipView) HoldsLease() bool { return true }

// Members implements membership.View.
func (m membershipView) Members() []membership.Host {
	var out []membership.Host
	for i := range m.fleet.deployment.Hosts {
		out = append(out, membershipView{m.fleet, fmt.Sprintf("h%d", i)}.Self())
	}
	return out
}

// Lapsed implements membership.View.
func (m membershipView) Lapsed(membership.Owner) bool { return false }

// tokenCounts returns the sum of the token counts of all engines.
func (f *fleet) tokenCounts() tokenCounts {
	var sum tokenCounts
	for _, e := range f.engines {
		e.mu.Lock()
		sum.Online += e.total.Online
		sum.Batch += e.total.Batch
		sum.Wasted += e.total.Wasted
		e.mu.Unlock()
	}
	return sum
}
