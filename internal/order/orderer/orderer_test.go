package orderer_test

import (
	"context"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/order"
	"github.com/masticscale/masticscale/internal/order/orderer"
)

var errConflict = errors.New("changed by another writer")

// repository stores one order in memory.
type repository struct {
	mu     sync.Mutex
	stored orderer.Stored
}

func (r *repository) Orders(context.Context) ([]orderer.Stored, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return []orderer.Stored{r.stored}, nil
}

func (r *repository) Put(_ context.Context, s orderer.Stored) (orderer.Version, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Version != r.stored.Version {
		return 0, errConflict
	}
	s.Version++
	r.stored = s
	return s.Version, nil
}

func (r *repository) change(model string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored.Order = r.stored.Order.Change(order.Desired{Model: model})
	r.stored.Version++
}

func (r *repository) settled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stored.Order.Settled()
}

// server is an upstream that accepts orders.
type server struct {
	checksFencing bool
	mu            sync.Mutex
	highest       int64
	applied       []string
}

func (s *server) apply(fencing int64, d order.Desired) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.checksFencing && fencing <= s.highest {
		return orderer.ErrStale
	}
	s.highest = max(s.highest, fencing)
	s.applied = append(s.applied, d.Model)
	return nil
}

func (s *server) models() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.applied)
}

// fleet is the state that all hosts of a test share.
type fleet struct {
	repo    repository
	server  server
	mu      sync.Mutex
	lapsed  map[string]bool
	stopped map[string]bool
}

func (f *fleet) contains(set map[string]bool, host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return set[host]
}

func (f *fleet) add(set map[string]bool, host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set[host] = true
}

// member is one host, with its membership view, sender and prober.
type member struct {
	fleet  *fleet
	name   string
	epoch  atomic.Int64
	paused chan struct{} // when set, a send blocks until the channel is closed
	killed chan struct{} // when set, a send gets no response and its bytes arrive late
}

func (m *member) Self() membership.Host {
	return membership.Host{Name: m.name, Incarnation: m.name, Epoch: m.epoch.Load(), PeerAddress: m.name}
}

func (m *member) HoldsLease() bool {
	return m.epoch.Load() > 1 || !m.fleet.contains(m.fleet.lapsed, m.name)
}

func (m *member) Members() []membership.Host { return nil }

func (m *member) Lapsed(o membership.Owner) bool {
	return o.Epoch <= 1 && m.fleet.contains(m.fleet.lapsed, o.Host)
}

func (m *member) Target(string, string) (orderer.Target, bool) {
	return orderer.Target{ChecksFencing: m.fleet.server.checksFencing}, true
}

func (m *member) OwnerStopped(_ context.Context, s order.Sending) bool {
	return m.fleet.contains(m.fleet.stopped, s.Owner.Host)
}

func (m *member) Send(ctx context.Context, _ orderer.Target, fencing int64, d order.Desired) error {
	if m.paused != nil {
		<-m.paused
	}
	if m.killed != nil {
		time.Sleep(order.SendLifetime)
		_ = m.fleet.server.apply(fencing, d)
		<-ctx.Done()
		return ctx.Err()
	}
	return m.fleet.server.apply(fencing, d)
}

func newFleet(checksFencing bool) *fleet {
	f := &fleet{server: server{checksFencing: checksFencing}, lapsed: map[string]bool{}, stopped: map[string]bool{}}
	f.repo.stored.Order = order.Order{Service: "lm", Upstream: "e1"}
	f.repo.change("old")
	return f
}

func (m *member) run(ctx context.Context) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	orderer.NewOrderer(&m.fleet.repo, m, m, m, m, log).Run(ctx)
}

const settleTime = time.Hour

// runPausedOrderer pauses the first host between its lease check and its send. In
// the meantime the host's lease lapses and operators change the order.
func runPausedOrderer(t *testing.T, f *fleet, whilePaused func()) {
	bubbletest.Run(t, func(*testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		a := &member{fleet: f, name: "a", paused: make(chan struct{})}
		b := &member{fleet: f, name: "b"}
		var wg sync.WaitGroup
		wg.Go(func() { a.run(ctx) })
		time.Sleep(time.Second)
		f.repo.change("new")
		f.add(f.lapsed, "a")
		wg.Go(func() { b.run(ctx) })
		time.Sleep(settleTime)
		whilePaused()
		a.epoch.Store(2) // the resumed host acquires a new lease before its send continues
		close(a.paused)
		time.Sleep(settleTime)
		stop()
		wg.Wait()
	})
}

func TestPausedOrdererAtUpstreamThatChecks(t *testing.T) {
	c := qt.New(t)
	f := newFleet(true)
	runPausedOrderer(t, f, func() { c.Check(f.server.models(), qt.DeepEquals, []string{"new"}) })
	c.Assert(f.server.models(), qt.DeepEquals, []string{"new"})
	c.Assert(f.repo.settled(), qt.IsTrue)
}

func TestPausedOrdererAtUpstreamThatDoesNotCheck(t *testing.T) {
	c := qt.New(t)
	f := newFleet(false)
	runPausedOrderer(t, f, func() { c.Check(f.server.models(), qt.HasLen, 0) })
	c.Assert(f.server.models(), qt.DeepEquals, []string{"old", "new"})
	c.Assert(f.repo.settled(), qt.IsTrue)
}

// TestOldOrderTakesEffectWhenLapseCountsAsProof shows that the paused sender's
// old order takes effect after the newer one when a lapsed lease alone counts
// as proof that the sender stopped.
func TestOldOrderTakesEffectWhenLapseCountsAsProof(t *testing.T) {
	c := qt.New(t)
	f := newFleet(false)
	f.add(f.stopped, "a") // treats the lapsed lease as proof that the sender stopped
	runPausedOrderer(t, f, func() {})
	c.Assert(f.server.models(), qt.DeepEquals, []string{"new", "old"})
}

func TestKilledOrdererAtUpstreamThatDoesNotCheck(t *testing.T) {
	c := qt.New(t)
	f := newFleet(false)
	bubbletest.Run(t, func(*testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		a := &member{fleet: f, name: "a", killed: make(chan struct{})}
		b := &member{fleet: f, name: "b"}
		var wg sync.WaitGroup
		wg.Go(func() { a.run(ctx) })
		time.Sleep(time.Second / 2)
		f.repo.change("new")
		f.add(f.lapsed, "a")
		f.add(f.stopped, "a")
		wg.Go(func() { b.run(ctx) })
		time.Sleep(settleTime)
		stop()
		wg.Wait()
	})
	c.Assert(f.server.models(), qt.DeepEquals, []string{"old", "new"})
	c.Assert(f.repo.settled(), qt.IsTrue)
}
