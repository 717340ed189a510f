package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/masticscale/masticscale/internal/upstream"
)

// Slot is a slot reserved at an upstream for one attempt.
type Slot struct {
	ID      upstream.ID
	Address string
	Class   Class

	pool   *Pool
	target *target
	start  time.Time
	trial  bool

	releaseOnce sync.Once
	mu          sync.Mutex
	preempted   bool
	cancel      context.CancelFunc // cancels the attempt in this slot
	onSettle    func(tokens int)
}

// Release frees the slot. If failed is true, the upstream failed the attempt and
// gets no new work until a probe succeeds or its pause ends.
func (s *Slot) Release(failed bool) {
	s.releaseOnce.Do(func() { s.pool.release(s, failed && !s.Preempted()) })
}

// OnSettle registers the function that Settle calls.
func (s *Slot) OnSettle(f func(tokens int)) { s.onSettle = f }

// Settle reports the number of tokens served by the request.
func (s *Slot) Settle(tokens int) {
	if s.onSettle != nil {
		s.onSettle(tokens)
	}
}

// Preempted reports whether an online request has taken the slot.
func (s *Slot) Preempted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.preempted
}

// bindAttempt sets the function that preempt calls to cancel the attempt. It
// returns false if the slot has already been preempted.
func (s *Slot) bindAttempt(cancel context.CancelFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel = cancel
	return !s.preempted
}

// preempt cancels the attempt in the slot.
func (s *Slot) preempt() {
	s.mu.Lock()
	s.preempted = true
	cancel := s.cancel
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func preemptAll(slots []*Slot) {
	for _, s := range slots {
		s.preempt()
	}
}

// RecordArrivals adds n to the number of online requests that another host runs
// at the upstream, and preempts batch requests of this host to make room for
// them, newest first.
func (p *Pool) RecordArrivals(host string, id upstream.ID, n int) {
	now := time.Now()
	var preempted []*Slot
	p.mu.Lock()
	if t, ok := p.targets[id]; ok {
		load := t.peers[host]
		load.Online = max(load.Online+n, 0)
		load.At = now
		t.peers[host] = load
		if n > 0 {
			t.lastOnlineAt = now
		}
		if n > 0 && p.policy.Batch != NoPreemption {
			preempted = t.removeNewestBatch(max(t.batchOverHighWater(0, now), t.prefillingBatch(now)))
		}
	}
	p.mu.Unlock()
	preemptAll(preempted)
}
