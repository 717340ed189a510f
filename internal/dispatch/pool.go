// Package dispatch selects upstreams for requests and runs the attempts of each
// request.
//
// Selection filters the upstreams, scores them and picks one. Each attempt holds
// a slot at its upstream. Online requests preempt batch requests, never the other
// way round. A failed request is reported as not run only if no byte of the
// request can have reached an upstream.
package dispatch

import (
	"sync"
	"time"

	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/upstream"
)

// Class is the scheduling class of a request.
type Class string

// The scheduling classes. Online requests have priority over batch requests.
const (
	Online Class = "online"
	Batch  Class = "batch"
)

// SlotRequest describes the slot to reserve for a request.
type SlotRequest struct {
	Service string
	Class   Class
	Avoid   map[upstream.ID]bool // upstreams that already failed this request
	Trial   bool                 // reserve the upstream for this request alone, among the requests of this host
}

// Pool holds the upstreams of all services. It is safe for concurrent use and
// calls callbacks without holding its lock.
type Pool struct {
	mu               sync.Mutex
	targets          map[upstream.ID]*target
	shares           shares
	policy           Policy
	limits           config.Limits
	nextRoundRobin   int // counter of RoundRobin
	onFreed          func()
	onArrived        func(upstream.ID, []string, int)
	onAttemptFailure func(upstream.ID)
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		targets:          map[upstream.ID]*target{},
		limits:           config.Limits{}.WithDefaults(),
		shares:           newShares(),
		onFreed:          func() {},
		onArrived:        func(upstream.ID, []string, int) {},
		onAttemptFailure: func(upstream.ID) {},
	}
}

// OnFreed registers the function to call when a slot may have become free.
func (p *Pool) OnFreed(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onFreed = f
}

// OnArrived registers the function to call when an online request starts (1) or
// ends (-1) at an upstream where other hosts may run batch requests. The function
// gets the names of these hosts, so that they can make room without waiting for
// a load report.
func (p *Pool) OnArrived(f func(id upstream.ID, hosts []string, change int)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onArrived = f
}

// OnAttemptFailure registers the function to call when an upstream has failed an
// attempt and needs a health check.
func (p *Pool) OnAttemptFailure(f func(upstream.ID)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onAttemptFailure = f
}

// Apply replaces the upstreams by those of a snapshot. Removed upstreams get no
// new work, and their running requests continue.
func (p *Pool) Apply(s *catalog.Snapshot) {
	p.mu.Lock()
	p.limits = s.Limits.WithDefaults()
	seen := map[upstream.ID]bool{}
	for service, spec := range s.Services {
		for name, u := range spec.Upstreams {
			id := upstream.ID{Service: service, Name: name}
			seen[id] = true
			p.putTarget(id, u)
		}
	}
	for id := range p.targets {
		if !seen[id] {
			delete(p.targets, id)
		}
	}
	p.shares.invalidate()
	onFreed := p.onFreed
	p.mu.Unlock()
	onFreed()
}

func (p *Pool) putTarget(id upstream.ID, spec upstream.Spec) {
	if t, ok := p.targets[id]; ok && t.spec.Address == spec.Address {
		t.spec = spec
		return
	}
	p.targets[id] = newTarget(id, spec)
}

// Reserve selects an upstream with a free slot and reserves the slot. If no slot
// is free, an online request preempts a batch request. Reserve returns false if
// the request has to wait.
func (p *Pool) Reserve(req SlotRequest) (*Slot, bool) {
	now := time.Now()
	p.mu.Lock()
	p.shares.recordDemand(req, now)
	sel := p.choose(req, now)
	if sel.target == nil {
		p.mu.Unlock()
		return nil, false
	}
	slot := p.reserveAt(sel.target, req, now)
	preempted := sel.target.removeNewestBatch(sel.preempt)
	var others []string
	if req.Class == Online {
		others = p.otherBatchHosts(sel.target, now)
	}
	onArrived := p.onArrived
	p.mu.Unlock()
	preemptAll(preempted)
	if len(others) > 0 {
		onArrived(slot.ID, others, 1)
	}
	return slot, true
}

// reserveAt reserves a slot at the target. The caller holds mu.
func (p *Pool) reserveAt(t *target, req SlotRequest, now time.Time) *Slot {
	slot := &Slot{ID: t.id, Address: t.spec.Address, Class: req.Class, pool: p, target: t, start: now, trial: req.Trial}
	if req.Class == Batch {
		t.batch[slot] = struct{}{}
		t.lastBatchAt = now
	} else {
		t.online++
		t.lastOnlineAt = now
	}
	if req.Trial {
		t.trial = true
	}
	return slot
}

// Availability describes whether a service accepts requests.
type Availability struct {
	Known   bool          // the service has upstreams
	Usable  bool          // an upstream accepts work, now or when a slot is free
	RetryIn time.Duration // until the pause of a failed upstream ends
}

// Availability returns the availability of the service.
func (p *Pool) Availability(service string) Availability {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	a := Availability{RetryIn: maxPause}
	for id, t := range p.targets {
		if id.Service != service {
			continue
		}
		a.Known = true
		if t.usable(now) {
			a.Usable = true
		}
		a.RetryIn = min(a.RetryIn, max(t.health.pausedUntil.Sub(now), minRetryIn))
	}
	return a
}

// Reachable reports whether an upstream of the service that is not in avoid
// accepts work, now or when a slot is free.
func (p *Pool) Reachable(service string, avoid map[upstream.ID]bool) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, t := range p.targets {
		if id.Service == service && !avoid[id] && t.usable(now) {
			return true
		}
	}
	return false
}

// firstByteTimeout returns the time limit for the start of a response.
func (p *Pool) firstByteTimeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits.FirstByteTimeout()
}

// Exists reports whether the service has upstreams.
func (p *Pool) Exists(service string) bool { return p.Availability(service).Known }

func (p *Pool) release(slot *Slot, failed bool) {
	p.mu.Lock()
	t := slot.target
	if slot.Class == Online {
		t.online--
	}
	delete(t.batch, slot)
	if slot.trial {
		t.trial = false
	}
	if failed {
		t.health.recordFailure(time.Now())
	}
	var others []string
	if slot.Class == Online {
		others = p.otherBatchHosts(t, time.Now())
	}
	onFreed, onAttemptFailure, onArrived := p.onFreed, p.onAttemptFailure, p.onArrived
	p.mu.Unlock()
	if len(others) > 0 {
		onArrived(slot.ID, others, -1)
	}
	if failed {
		onAttemptFailure(slot.ID)
	}
	onFreed()
}

// updateTarget calls change for the target under the lock and then runs the
// callback of OnFreed, since the change may let a waiting request start.
func (p *Pool) updateTarget(id upstream.ID, change func(*target)) {
	p.mu.Lock()
	t, ok := p.targets[id]
	if ok {
		change(t)
	}
	onFreed := p.onFreed
	p.mu.Unlock()
	onFreed()
}
