package orderer_test

import (
	"context"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/order"
	"github.com/masticscale/masticscale/internal/order/orderer"
)

var errConflict = errors.New("changed by another writer")

// repository keeps one order in memory.
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

// server is an upstream that takes orders.
type server struct {
	checks  bool
	mu      sync.Mutex
	highest int64
	applied []string
}

func (s *server) take(fencing int64, d order.Desired) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.checks && fencing <= s.highest {
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

// fleet is what all hosts of a test share.
type fleet struct {
	repo   repository
	server server
	mu     sync.Mutex
	lapsed map[string]bool
	gone   map[string]bool
}

func (f *fleet) is(set map[string]bool, host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return set[host]
}

func (f *fleet) mark(set map[string]bool, host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set[host] = true
}

// member is one host: its lease, its sender and its prober.
type member struct {
	fleet  *fleet
	name   string
	epoch  atomic.Int64
	paused chan struct{} // when set, a send waits for it before its bytes go out
	killed chan struct{} // when set, the sender gets no answer and its bytes come late
}

func (m *member) Self() membership.Host {
	return membership.Host{Name: m.name, Incarnation: m.name, Epoch: m.epoch.Load(), PeerAddress: m.name}
}

func (m *member) HoldsLease() bool {
	return m.epoch.Load() > 1 || !m.fleet.is(m.fleet.lapsed, m.name)
}

func (m *member) Members() []membership.Host { return nil }

func (m *member) Lapsed(o membership.Owner) bool {
	return o.Epoch <= 1 && m.fleet.is(m.fleet.lapsed, o.Host)
}

func (m *member) Target(string, string) (orderer.Target, bool) {
	return orderer.Target{ChecksFencing: m.fleet.server.checks}, true
}

func (m *member) OwnerStopped(_ context.Context, s order.Sending) bool {
	return m.fleet.is(m.fleet.gone, s.Owner.Host)
}

func (m *member) Send(ctx context.Context, _ orderer.Target, fencing int64, d order.Desired) error {
	if m.paused != nil {
		<-m.paused
	}
	if m.killed != nil {
		time.Sleep(order.SendLifetime)
		_ = m.fleet.server.take(fencing, d)
		<-ctx.Done()
		return ctx.Err()
	}
	return m.fleet.server.take(fencing, d)
}

func newFleet(checks bool) *fleet {
	f := &fleet{server: server{checks: checks}, lapsed: map[string]bool{}, gone: map[string]bool{}}
	f.repo.stored.Order = order.Order{Service: "lm", Upstream: "e1"}
	f.repo.change("old")
	return f
}

func (m *member) run(ctx context.Context) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	orderer.NewOrderer(&m.fleet.repo, m, m, m, m, log).Run(ctx)
}

const longTime = time.Hour

// pausedOrderer pauses the first host between its lease check and its bytes,
// lets its lease lapse, and has operators change the order meanwhile.
func pausedOrderer(t *testing.T, f *fleet, whilePaused func()) {
	synctest.Test(t, func(*testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		a := &member{fleet: f, name: "a", paused: make(chan struct{})}
		b := &member{fleet: f, name: "b"}
		var wg sync.WaitGroup
		wg.Go(func() { a.run(ctx) })
		time.Sleep(time.Second)
		f.repo.change("new")
		f.mark(f.lapsed, "a")
		wg.Go(func() { b.run(ctx) })
		time.Sleep(longTime)
		whilePaused()
		a.epoch.Store(2) // the resumed host takes a new lease before its send goes on
		close(a.paused)
		time.Sleep(longTime)
		stop()
		wg.Wait()
	})
}

func TestPausedOrdererAtUpstreamThatChecks(t *testing.T) {
	c := qt.New(t)
	f := newFleet(true)
	pausedOrderer(t, f, func() { c.Check(f.server.models(), qt.DeepEquals, []string{"new"}) })
	c.Assert(f.server.models(), qt.DeepEquals, []string{"new"})
	c.Assert(f.repo.settled(), qt.IsTrue)
}

func TestPausedOrdererAtUpstreamThatDoesNotCheck(t *testing.T) {
	c := qt.New(t)
	f := newFleet(false)
	pausedOrderer(t, f, func() { c.Check(f.server.models(), qt.HasLen, 0) })
	c.Assert(f.server.models(), qt.DeepEquals, []string{"old", "new"})
	c.Assert(f.repo.settled(), qt.IsTrue)
}

// A host that takes over on the lapse of a lease alone lets an old order take
// effect after a newer one: the check catches it.
func TestTakingOverOnLapseAloneIsCaught(t *testing.T) {
	c := qt.New(t)
	f := newFleet(false)
	f.mark(f.gone, "a") // the naive rule: a lapsed lease counts as proof
	pausedOrderer(t, f, func() {})
	c.Assert(f.server.models(), qt.DeepEquals, []string{"new", "old"})
}

func TestKilledOrdererAtUpstreamThatDoesNotCheck(t *testing.T) {
	c := qt.New(t)
	f := newFleet(false)
	synctest.Test(t, func(*testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		a := &member{fleet: f, name: "a", killed: make(chan struct{})}
		b := &member{fleet: f, name: "b"}
		var wg sync.WaitGroup
		wg.Go(func() { a.run(ctx) })
		time.Sleep(time.Second / 2)
		f.repo.change("new")
		f.mark(f.lapsed, "a")
		f.mark(f.gone, "a")
		wg.Go(func() { b.run(ctx) })
		time.Sleep(longTime)
		stop()
		wg.Wait()
	})
	c.Assert(f.server.models(), qt.DeepEquals, []string{"old", "new"})
	c.Assert(f.repo.settled(), qt.IsTrue)
}
