// Package orderer is the duty that gives orders to upstreams.
//
// Contract: an order is stored as "sending" before its first byte goes out, and
// the host checks its lease immediately before. A host that takes an upstream
// over and finds an order in that state sends its own only when the upstream
// checks fencing numbers, or when the earlier sender is proven to be gone and
// its bytes cannot arrive any more.
package orderer

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/order"
)

const (
	scanInterval = time.Second
	sendTimeout  = 30 * time.Second
	maxAtOnce    = 16
	// scanners are the hosts that look for orders, so that the platform's reads
	// do not grow with the fleet. More than one, since one can be cut off.
	scanners = 3
)

// ErrStale is what an upstream answers to an order with an old fencing number.
var ErrStale = errors.New("the upstream has seen a newer order")

// ErrRefused wraps an upstream's answer that it will not carry out an order.
var ErrRefused = errors.New("the upstream refused the order")

// Version is the version of a stored order, for conditional writes.
type Version int64

// Stored is an order with its version.
type Stored struct {
	Order   order.Order
	Version Version
}

// Repository keeps orders.
type Repository interface {
	Orders(ctx context.Context) ([]Stored, error)
	// Put stores the order if its version is still the given one.
	Put(ctx context.Context, s Stored) (Version, error)
}

// Target is an upstream that takes orders.
type Target struct {
	Address       string // base URL
	ChecksFencing bool   // whether it refuses old orders
}

// Targets finds upstreams. It reports false for one that is not configured.
type Targets interface {
	Target(service, upstream string) (Target, bool)
}

// Sender sends one order to an upstream. ErrStale and ErrRefused say that the
// upstream has answered; every other error leaves open whether it acted.
type Sender interface {
	Send(ctx context.Context, t Target, fencing int64, d order.Desired) error
}

// Prober learns whether the process that owned an order is gone.
type Prober interface {
	// OwnerStopped reports true only on proof: its address refuses connections, or
	// another incarnation answers there.
	OwnerStopped(ctx context.Context, s order.Sending) bool
}

// Orderer gives the orders of this host.
type Orderer struct {
	repo    Repository
	targets Targets
	sender  Sender
	prober  Prober
	members membership.View
	log     logrus.FieldLogger

	mu   sync.Mutex
	busy map[string]bool
	gone map[string]sighting // by upstream: the sender of its unfinished order
}

// sighting is when the sender of an order was first found to be gone.
type sighting struct {
	fencing int64
	since   time.Time
}

func nameOf(o order.Order) string { return o.Service + "/" + o.Upstream }

// NewOrderer returns an orderer.
func NewOrderer(repo Repository, t Targets, s Sender, p Prober, m membership.View, log logrus.FieldLogger) *Orderer {
	return &Orderer{repo: repo, targets: t, sender: s, prober: p, members: m, log: log,
		busy: map[string]bool{}, gone: map[string]sighting{}}
}

// Run gives orders until ctx is done.
func (o *Orderer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxAtOnce)
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	for {
		o.scan(ctx, slots, &wg)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// isScanner reports whether this host is one of the first live hosts by name.
func (o *Orderer) isScanner() bool {
	members := o.members.Members()
	name := o.members.Self().Name
	for _, m := range members[:min(scanners, len(members))] {
		if m.Name == name {
			return true
		}
	}
	return len(members) == 0
}

// scan starts the orders that are due and that no other host gives.
func (o *Orderer) scan(ctx context.Context, slots chan struct{}, wg *sync.WaitGroup) {
	if !o.members.HoldsLease() || !o.isScanner() {
		return
	}
	all, err := o.repo.Orders(ctx)
	if err != nil {
		return
	}
	for _, s := range all {
		name := nameOf(s.Order)
		if s.Order.Settled() || !o.start(name) {
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			o.finish(name)
			return
		}
		wg.Go(func() {
			defer func() { <-slots }()
			defer o.finish(name)
			o.Execute(ctx, s)
		})
	}
}

func (o *Orderer) owner() membership.Owner {
	self := o.members.Self()
	return membership.Owner{Host: self.Name, Epoch: self.Epoch}
}

func (o *Orderer) start(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.busy[name] {
		return false
	}
	o.busy[name] = true
	return true
}

func (o *Orderer) finish(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.busy, name)
}

// Execute takes one order over, sends it and stores its end.
func (o *Orderer) Execute(ctx context.Context, s Stored) {
	target, known := o.targets.Target(s.Order.Service, s.Order.Upstream)
	if !known {
		return
	}
	claimed, mine := s.Order.Claim(o.owner(), o.members.Lapsed)
	if !mine || !o.earlierCannotArrive(ctx, s.Order, target) {
		return
	}
	s.Order = claimed.MarkSending(o.members.Self())
	version, err := o.repo.Put(ctx, s)
	if err != nil {
		return
	}
	s.Version = version
	if !o.members.HoldsLease() {
		return
	}
	o.sendAndStore(ctx, s, target)
}

// earlierCannotArrive reports whether an order whose end is not known can no
// longer reach the upstream, or is harmless because the upstream checks.
func (o *Orderer) earlierCannotArrive(ctx context.Context, ord order.Order, target Target) bool {
	if ord.Sending == nil || target.ChecksFencing {
		return true
	}
	// An earlier call of this process has ended, since calls are bounded and one
	// upstream has one at a time.
	own := ord.Sending.Incarnation == o.members.Self().Incarnation
	if !own && !o.prober.OwnerStopped(ctx, *ord.Sending) {
		o.log.WithFields(logrus.Fields{"event": "order_waits", "service": ord.Service, "upstream": ord.Upstream,
			"earlier_owner": ord.Sending.Owner.Host}).Warn("an earlier order can still arrive; restart its host, or wait for it")
		return false
	}
	return o.goneLongEnough(ord)
}

// goneLongEnough reports whether the sender has been gone for LateOrderTime, as
// this process has seen it.
func (o *Orderer) goneLongEnough(ord order.Order) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	name := nameOf(ord)
	g, seen := o.gone[name]
	if !seen || g.fencing != ord.Sending.Fencing {
		o.gone[name] = sighting{fencing: ord.Sending.Fencing, since: time.Now()}
		return false
	}
	return time.Since(g.since) >= order.LateOrderTime
}

func (o *Orderer) sendAndStore(ctx context.Context, s Stored, target Target) {
	bounded, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	err := o.sender.Send(bounded, target, s.Order.Fencing, s.Order.Desired)
	log := o.log.WithFields(logrus.Fields{"service": s.Order.Service, "upstream": s.Order.Upstream, "fencing": s.Order.Fencing})
	switch {
	case err == nil:
		s.Order = s.Order.MarkApplied()
	case errors.Is(err, ErrStale):
		s.Order = s.Order.MarkOutdated()
	case errors.Is(err, ErrRefused):
		s.Order = s.Order.MarkRejected(err.Error())
	default:
		// It is not known whether the upstream acted: the order stays as "sending".
		log.WithError(err).WithField("event", "order_unanswered").Warn("the upstream did not answer an order")
		return
	}
	if _, perr := o.repo.Put(ctx, s); perr != nil {
		log.WithError(perr).WithField("event", "order_not_stored").Warn("the end of an order was not stored; it is sent again")
		return
	}
	log.WithFields(logrus.Fields{"event": "order_ended", "failure": s.Order.Failure}).Info("order ended")
}
