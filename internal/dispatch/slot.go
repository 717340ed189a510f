package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/masticscale/masticscale/internal/upstream"
)

// Slot is a reserved place at one upstream.
type Slot struct {
	ID      upstream.ID
	Address string
	Class   Class

	pool   *Pool
	target *target
	start  time.Time
	trial  bool

	once    sync.Once
	mu      sync.Mutex
	yielded bool
	cancel  context.CancelFunc // of the attempt that runs here
	settle  func(tokens int)
}

// Release frees the place. Failed says that the upstream broke the attempt off;
// it is then checked before it gets new work.
func (p *Slot) Release(failed bool) {
	p.once.Do(func() { p.pool.release(p, failed && !p.Preempted()) })
}

// OnSettle registers the function that learns how many tokens were served.
func (p *Slot) OnSettle(f func(tokens int)) { p.settle = f }

// Settle reports the tokens that were served at the place.
func (p *Slot) Settle(tokens int) {
	if p.settle != nil {
		p.settle(tokens)
	}
}

// Preempted reports whether the place was given to online work.
func (p *Slot) Preempted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.yielded
}

// run ties the attempt to the place: cancel is called when the place is given
// away. It reports false when that has already happened.
func (p *Slot) run(cancel context.CancelFunc) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancel = cancel
	return !p.yielded
}

// yield stops the attempt that runs at the place.
func (p *Slot) yield() {
	p.mu.Lock()
	p.yielded = true
	cancel := p.cancel
	p.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func cancelAll(places []*Slot) {
	for _, p := range places {
		p.yield()
	}
}

// RecordArrivals notes that another host has that many online requests more, or less, at
// the upstream and stops the batch requests that are in their way, newest first.
func (p *Pool) RecordArrivals(host string, id upstream.ID, n int) {
	now := time.Now()
	var yields []*Slot
	p.mu.Lock()
	if t, ok := p.targets[id]; ok {
		l := t.peers[host]
		l.Online = max(l.Online+n, 0)
		l.At = now
		t.peers[host] = l
		if n > 0 {
			t.onlineAt = now
		}
		if n > 0 && p.policy.Batch != NoPreemption {
			yields = t.takeYields(max(t.crowding(0, now), t.prefilling(now)))
		}
	}
	p.mu.Unlock()
	cancelAll(yields)
}
