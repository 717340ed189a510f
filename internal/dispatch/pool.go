// Package dispatch chooses an upstream for a request and runs its attempts.
//
// Contract: filter, score, pick. A place at an upstream is reserved before an
// attempt and freed after it. Online requests take the places of batch
// requests, never the other way round. A failure is reported as not run only
// when no byte can have reached an upstream.
package dispatch

import (
	"sync"
	"time"

	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/upstream"
)

// Class says how urgent a request is.
type Class string

// The classes of requests.
const (
	Online Class = "online"
	Batch  Class = "batch"
)

// SlotRequest describes the place that a request needs.
type SlotRequest struct {
	Service string
	Class   Class
	Avoid   map[upstream.ID]bool // upstreams that failed this request
	Trial   bool                 // the request runs alone among this host's requests
}

// Pool holds the upstreams of all services. Its methods may be called from any
// goroutine; functions that it calls are called without its lock.
type Pool struct {
	mu      sync.Mutex
	targets map[upstream.ID]*target
	shares  shares
	policy  Policy
	limits  config.Limits
	turn    int                              // of RoundRobin
	freed   func()                           // called after a place may have become free
	arrived func(upstream.ID, []string, int) // called when online work came or went where other hosts run batch
	suspect func(upstream.ID)                // called when an attempt failed and a probe is due
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		targets: map[upstream.ID]*target{},
		limits:  config.Limits{}.WithDefaults(),
		shares:  newShares(),
		freed:   func() {},
		arrived: func(upstream.ID, []string, int) {},
		suspect: func(upstream.ID) {},
	}
}

// OnFreed registers the function that is told when a place may be free.
func (p *Pool) OnFreed(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freed = f
}

// OnArrived registers the function that is told when an online request went to
// an upstream at which the named other hosts may run batch requests (1) or has
// ended there (-1). They are to make room without waiting for a load report.
func (p *Pool) OnArrived(f func(id upstream.ID, hosts []string, change int)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrived = f
}

// OnAttemptFailure registers the function that is told when an upstream failed an
// attempt and its health is to be checked.
func (p *Pool) OnAttemptFailure(f func(upstream.ID)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspect = f
}

// Apply takes over the upstreams of a snapshot. Upstreams that are gone get no
// new work; their running requests end by themselves.
func (p *Pool) Apply(s *catalog.Snapshot) {
	p.mu.Lock()
	p.limits = s.Limits.WithDefaults()
	seen := map[upstream.ID]bool{}
	for service, spec := range s.Services {
		for name, u := range spec.Upstreams {
			id := upstream.ID{Service: service, Name: name}
			seen[id] = true
			p.put(id, u)
		}
	}
	for id := range p.targets {
		if !seen[id] {
			delete(p.targets, id)
		}
	}
	p.shares.forget()
	freed := p.freed
	p.mu.Unlock()
	freed()
}

func (p *Pool) put(id upstream.ID, spec upstream.Spec) {
	if t, ok := p.targets[id]; ok && t.spec.Address == spec.Address {
		t.spec = spec
		return
	}
	p.targets[id] = newTarget(id, spec)
}

// Reserve picks an upstream with room and reserves a place there. For an online
// request it takes the place of a batch request where nothing else is free.
func (p *Pool) Reserve(n SlotRequest) (*Slot, bool) {
	now := time.Now()
	p.mu.Lock()
	p.shares.noteDemand(n, now)
	c := p.choose(n, now)
	if c.target == nil {
		p.mu.Unlock()
		return nil, false
	}
	place := p.place(c.target, n, now)
	yields := c.target.takeYields(c.yields)
	var others []string
	if n.Class == Online {
		others = p.batchElsewhere(c.target, now)
	}
	arrived := p.arrived
	p.mu.Unlock()
	cancelAll(yields)
	if len(others) > 0 {
		arrived(place.ID, others, 1)
	}
	return place, true
}

// place books a place; the caller holds mu.
func (p *Pool) place(t *target, n SlotRequest, now time.Time) *Slot {
	place := &Slot{ID: t.id, Address: t.spec.Address, Class: n.Class, pool: p, target: t, start: now, trial: n.Trial}
	if n.Class == Batch {
		t.batch[place] = struct{}{}
		t.batchAt = now
	} else {
		t.online++
		t.onlineAt = now
	}
	if n.Trial {
		t.trial = true
	}
	return place
}

// Availability says whether a service can take work at all.
type Availability struct {
	Known   bool          // the service has upstreams
	Usable  bool          // at least one of them takes work, now or when it is less busy
	RetryIn time.Duration // until the next check of one that failed
}

// Availability returns whether any upstream of the service takes work.
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
		a.RetryIn = min(a.RetryIn, max(t.health.pausedTo.Sub(now), minRetryIn))
	}
	return a
}

// Reachable reports whether an upstream of the service, other than those to
// avoid, takes work, now or when it is less busy.
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

// firstByteBound returns the time in which an upstream must begin its answer.
func (p *Pool) firstByteBound() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits.FirstByte()
}

// Exists reports whether the service has any upstream.
func (p *Pool) Exists(service string) bool { return p.Availability(service).Known }

// release frees a place.
func (p *Pool) release(place *Slot, failed bool) {
	p.mu.Lock()
	t := place.target
	if place.Class == Online {
		t.online--
	}
	delete(t.batch, place)
	if place.trial {
		t.trial = false
	}
	if failed {
		t.health.fail(time.Now())
	}
	var others []string
	if place.Class == Online {
		others = p.batchElsewhere(t, time.Now())
	}
	freed, suspect, arrived := p.freed, p.suspect, p.arrived
	p.mu.Unlock()
	if len(others) > 0 {
		arrived(place.ID, others, -1)
	}
	if failed {
		suspect(place.ID)
	}
	freed()
}

// update changes a target under the lock and then looks for waiting requests.
func (p *Pool) update(id upstream.ID, change func(*target)) {
	p.mu.Lock()
	t, ok := p.targets[id]
	if ok {
		change(t)
	}
	freed := p.freed
	p.mu.Unlock()
	freed()
}
