// Package orderer sends orders to upstreams.
//
// Contract: an order is stored as "sending" before its first byte is sent, and the
// host checks its lease immediately before the send. A host that takes over an
// upstream with an order in that state sends its own order only when the upstream
// checks fencing tokens, or when the earlier sender is proven to have stopped and
// its bytes can no longer arrive.
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
	scanInterval       = time.Second
	sendTimeout        = 30 * time.Second
	maxConcurrentSends = 16
	// scanners is the number of hosts that scan for due orders. The number is fixed
	// so that the read load on the store does not grow with the number of hosts,
	// and above one because a host can be partitioned.
	scanners = 3
)

// ErrStale means that the upstream rejected an order with an old fencing token.
var ErrStale = errors.New("the upstream has seen a newer order")

// ErrRefused means that the upstream rejected an order permanently. Senders wrap it
// with the reason.
var ErrRefused = errors.New("the upstream refused the order")

// Version is the version of a stored order, for compare-and-set.
type Version int64

// Stored is an order with its version.
type Stored struct {
	Order   order.Order
	Version Version
}

// Repository stores orders.
type Repository interface {
	Orders(ctx context.Context) ([]Stored, error)
	// Put stores the order if the stored version still equals the given one.
	Put(ctx context.Context, s Stored) (Version, error)
}

// Target is an upstream that accepts orders.
type Target struct {
	Address       string // base URL
	ChecksFencing bool   // whether the upstream rejects old fencing tokens
}

// Targets looks up upstreams. It reports false for an upstream that is not
// configured.
type Targets interface {
	Target(service, upstream string) (Target, bool)
}

// Sender sends one order to an upstream. ErrStale and ErrRefused mean that the
// upstream has responded; after any other error the outcome is unknown.
type Sender interface {
	Send(ctx context.Context, t Target, fencing int64, d order.Desired) error
}

// Prober checks whether the process that sent an order has stopped.
type Prober interface {
	// OwnerStopped returns true only on proof: the owner's address refuses
	// connections, or another incarnation responds there.
	OwnerStopped(ctx context.Context, s order.Sending) bool
}

// Orderer sends the orders that this host owns.
type Orderer struct {
	repo    Repository
	targets Targets
	sender  Sender
	prober  Prober
	members membership.View
	log     logrus.FieldLogger

	mu      sync.Mutex
	active  map[string]bool          // upstreams with a send in progress
	stopped map[string]stoppedSender // stopped senders of unfinished orders, by upstream
}

// stoppedSender records when the sender of an order was first found to have stopped.
type stoppedSender struct {
	fencing int64
	since   time.Time
}

func upstreamName(o order.Order) string { return o.Service + "/" + o.Upstream }

// NewOrderer returns an orderer.
func NewOrderer(repo Repository, t Targets, s Sender, p Prober, m membership.View, log logrus.FieldLogger) *Orderer {
	return &Orderer{repo: repo, targets: t, sender: s, prober: p, members: m, log: log,
		active: map[string]bool{}, stopped: map[string]stoppedSender{}}
}

// Run scans for due orders and sends them until ctx is done.
func (o *Orderer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxConcurrentSends)
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

// isScanner reports whether this host is one of the first members by name.
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

// scan starts the due orders that this host is not sending yet, while slots are
// free.
func (o *Orderer) scan(ctx context.Context, slots chan struct{}, wg *sync.WaitGroup) {
	if !o.members.HoldsLease() || !o.isScanner() {
		return
	}
	all, err := o.repo.Orders(ctx)
	if err != nil {
		return
	}
	for _, s := range all {
		name := upstreamName(s.Order)
		if s.Order.Settled() || !o.acquire(name) {
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			o.release(name)
			return
		}
		wg.Go(func() {
			defer func() { <-slots }()
			defer o.release(name)
			o.Execute(ctx, s)
		})
	}
}

func (o *Orderer) owner() membership.Owner {
	self := o.members.Self()
	return membership.Owner{Host: self.Name, Epoch: self.Epoch}
}

func (o *Orderer) acquire(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.active[name] {
		return false
	}
	o.active[name] = true
	return true
}

func (o *Orderer) release(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.active, name)
}

// Execute claims one order, sends it and stores its outcome.
func (o *Orderer) Execute(ctx context.Context, s Stored) {
	target, known := o.targets.Target(s.Order.Service, s.Order.Upstream)
	if !known {
		return
	}
	claimed, owned := s.Order.Claim(o.owner(), o.members.Lapsed)
	if !owned || !o.earlierOrderIsHarmless(ctx, s.Order, target) {
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
	o.send(ctx, s, target)
}

// earlierOrderIsHarmless reports whether an earlier order with an unknown outcome can
// no longer take effect: the upstream checks fencing tokens, or the order's bytes
// can no longer arrive.
func (o *Orderer) earlierOrderIsHarmless(ctx context.Context, ord order.Order, target Target) bool {
	if ord.Sending == nil || target.ChecksFencing {
		return true
	}
	// An earlier send by this process has ended, since sends have a timeout and
	// each upstream has at most one at a time.
	own := ord.Sending.Incarnation == o.members.Self().Incarnation
	if !own && !o.prober.OwnerStopped(ctx, *ord.Sending) {
		o.log.WithFields(logrus.Fields{"event": "order_waits", "service": ord.Service, "upstream": ord.Upstream,
			"earlier_owner": ord.Sending.Owner.Host}).Warn("an earlier order can still arrive; restart its host, or wait until that host resumes")
		return false
	}
	return o.stoppedLongEnough(ord)
}

// stoppedLongEnough reports whether this process has known for at least
// LateOrderTime that the sender stopped, or that its own send ended.
func (o *Orderer) stoppedLongEnough(ord order.Order) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	name := upstreamName(ord)
	s, seen := o.stopped[name]
	if !seen || s.fencing != ord.Sending.Fencing {
		o.stopped[name] = stoppedSender{fencing: ord.Sending.Fencing, since: time.Now()}
		return false
	}
	return time.Since(s.since) >= order.LateOrderTime
}

func (o *Orderer) send(ctx context.Context, s Stored, target Target) {
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
		// The outcome is unknown, so the order stays in "sending".
		log.WithError(err).WithField("event", "order_unanswered").Warn("outcome of an order is unknown; the upstream did not respond")
		return
	}
	if _, putErr := o.repo.Put(ctx, s); putErr != nil {
		log.WithError(putErr).WithField("event", "order_not_stored").Warn("order outcome was not stored; the order is sent again")
		return
	}
	log.WithFields(logrus.Fields{"event": "order_ended", "failure": s.Order.Failure}).Info("order ended")
}
