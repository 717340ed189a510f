// Package dispatch chooses an upstream for a request and runs its attempts.
//
// Contract: filter, score, pick. A place at an upstream is reserved before an
// attempt and freed after it. A failure is reported as not run only when no
// byte can have reached an upstream.
package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/upstream"
)

// Class says how urgent a request is.
type Class string

// The classes of requests.
const (
	Online Class = "online"
	Batch  Class = "batch"
)

const (
	failurePause   = 2 * time.Second // no new work after a failed attempt
	batchHeadroom  = 0.25            // part of an upstream's slots that batch leaves free
	reportLifetime = 10 * time.Second
)

// target is one upstream as this host sees it.
type target struct {
	id         upstream.ID
	spec       upstream.Spec
	online     int // own attempts in progress
	batch      int
	reported   upstream.Load
	reportedAt time.Time
	pausedTo   time.Time // after failures
	leaving    bool
}

func (t *target) own() int { return t.online + t.batch }

// load is the lag-corrected number of requests at the upstream: its last report
// or this host's own requests, whichever is more.
func (t *target) load(now time.Time) int {
	reported := 0
	if now.Sub(t.reportedAt) < reportLifetime {
		reported = t.reported.Running + t.reported.Waiting
	}
	return max(reported, t.own())
}

// Place is a reserved place at one upstream.
type Place struct {
	ID      upstream.ID
	Address string
	Class   Class

	pool *Pool
	once sync.Once
}

// Release frees the place. Failed keeps new work away for a moment.
func (p *Place) Release(failed bool) {
	p.once.Do(func() { p.pool.release(p, failed) })
}

// Pool holds the upstreams of all services.
type Pool struct {
	mu      sync.Mutex
	targets map[upstream.ID]*target
	freed   func() // called after a place was freed or an upstream was added
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{targets: map[upstream.ID]*target{}, freed: func() {}}
}

// OnFreed registers the function that is told when a place may be free.
func (p *Pool) OnFreed(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freed = f
}

// Apply takes over the upstreams of a snapshot. Upstreams that are gone get no
// new work; their running requests end by themselves.
func (p *Pool) Apply(s *catalog.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := map[upstream.ID]bool{}
	for service, spec := range s.Services {
		for name, u := range spec.Upstreams {
			id := upstream.ID{Service: service, Name: name}
			seen[id] = true
			p.put(id, u)
		}
	}
	for id, t := range p.targets {
		if !seen[id] {
			t.leaving = true
			delete(p.targets, id)
		}
	}
	go p.freed()
}

func (p *Pool) put(id upstream.ID, spec upstream.Spec) {
	if t, ok := p.targets[id]; ok && t.spec.Address == spec.Address {
		t.spec = spec
		return
	}
	p.targets[id] = &target{id: id, spec: spec}
}

// Need describes the place that a request needs.
type Need struct {
	Service string
	Class   Class
	Avoid   map[upstream.ID]bool // upstreams that failed this request
}

// Reserve picks an upstream with room, by two random choices, and reserves a
// place there.
func (p *Pool) Reserve(n Need) (*Place, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	candidates := p.filter(n, now)
	if len(candidates) == 0 {
		return nil, false
	}
	best := pickOfTwo(candidates, now)
	if n.Class == Batch {
		best.batch++
	} else {
		best.online++
	}
	return &Place{ID: best.id, Address: best.spec.Address, Class: n.Class, pool: p}, true
}

// filter returns the upstreams that can take the request now.
func (p *Pool) filter(n Need, now time.Time) []*target {
	var out []*target
	for _, t := range p.targets {
		if t.id.Service == n.Service && !t.leaving && !n.Avoid[t.id] && now.After(t.pausedTo) && hasRoom(t, n.Class, now) {
			out = append(out, t)
		}
	}
	return out
}

// hasRoom reports whether a request of the class fits. Batch leaves headroom,
// so that an online request always finds a slot.
func hasRoom(t *target, class Class, now time.Time) bool {
	slots := t.spec.EffectiveSlots()
	if class == Online {
		return t.online < slots
	}
	limit := int(float64(slots) * (1 - batchHeadroom))
	return t.load(now) < max(limit, 1)
}

func pickOfTwo(candidates []*target, now time.Time) *target {
	a := candidates[rand.IntN(len(candidates))]
	b := candidates[rand.IntN(len(candidates))]
	if relativeLoad(b, now) < relativeLoad(a, now) {
		return b
	}
	return a
}

func relativeLoad(t *target, now time.Time) float64 {
	return float64(t.load(now)) / float64(t.spec.EffectiveSlots())
}

func (p *Pool) release(place *Place, failed bool) {
	p.mu.Lock()
	if t, ok := p.targets[place.ID]; ok {
		if place.Class == Batch {
			t.batch--
		} else {
			t.online--
		}
		if failed {
			t.pausedTo = time.Now().Add(failurePause)
		}
	}
	freed := p.freed
	p.mu.Unlock()
	freed()
}

// Exists reports whether the service has any upstream.
func (p *Pool) Exists(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.targets {
		if id.Service == service {
			return true
		}
	}
	return false
}

// Status is one upstream as operators see it.
type Status struct {
	Service    string `json:"service"`
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Slots      int    `json:"slots"`
	Online     int    `json:"online"`
	Batch      int    `json:"batch"`
	Reported   int    `json:"reported"`
	State      string `json:"state"`
}

// Statuses returns the state of every upstream.
func (p *Pool) Statuses() []Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var out []Status
	for _, t := range p.targets {
		out = append(out, Status{
			Service: t.id.Service, Name: t.id.Name, Address: t.spec.Address, DataCentre: t.spec.DataCentre,
			Slots: t.spec.EffectiveSlots(), Online: t.online, Batch: t.batch,
			Reported: t.reported.Running + t.reported.Waiting, State: stateOf(t, now),
		})
	}
	return out
}

func stateOf(t *target, now time.Time) string {
	switch {
	case t.leaving:
		return "leaving"
	case now.Before(t.pausedTo):
		return "paused"
	default:
		return "live"
	}
}
