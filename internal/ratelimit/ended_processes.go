package ratelimit

import (
	"context"
	"sync"
	"time"
)

const (
	probeInterval = 2 * time.Second
	probeTimeout  = 2 * time.Second
	suspectTTL    = time.Minute // time after its last query until a suspect is dropped
)

// endedProcesses tracks which share holders' processes have ended. The part of an
// ended process can be reclaimed at once; the part of an unresponsive one only
// after ReservedGracePeriod, because its process may still be using it.
type endedProcesses struct {
	mu       sync.Mutex
	suspects map[string]*suspect // by incarnation
}

// suspect is a process whose host lease has lapsed.
type suspect struct {
	holder      Holder
	lastQueried time.Time // last call of timeSinceEnd
	endedAt     time.Time // first observation of the end; zero while unconfirmed
}

func newEndedProcesses() *endedProcesses { return &endedProcesses{suspects: map[string]*suspect{}} }

// timeSinceEnd returns the time since a holder's process was first observed to
// have ended, or 0. It registers the process for probing.
func (p *endedProcesses) timeSinceEnd(h Holder, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.suspects[h.Incarnation]
	if s == nil {
		s = &suspect{holder: h}
		p.suspects[h.Incarnation] = s
	}
	s.lastQueried = now
	if s.endedAt.IsZero() {
		return 0
	}
	return now.Sub(s.endedAt)
}

// unresolved returns the processes to probe, and drops those without a query
// within suspectTTL.
func (p *endedProcesses) unresolved(now time.Time) []Holder {
	p.mu.Lock()
	defer p.mu.Unlock()
	var holders []Holder
	for incarnation, s := range p.suspects {
		switch {
		case now.Sub(s.lastQueried) > suspectTTL:
			delete(p.suspects, incarnation)
		case s.endedAt.IsZero():
			holders = append(holders, s.holder)
		}
	}
	return holders
}

func (p *endedProcesses) recordEnd(h Holder, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.suspects[h.Incarnation]; s != nil {
		s.endedAt = now
	}
}

// probeLoop probes the suspects' addresses for ended processes.
func (sl *ShareLimiter) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, h := range sl.ended.unresolved(time.Now()) {
			sl.probe(ctx, h)
		}
	}
}

func (sl *ShareLimiter) probe(ctx context.Context, h Holder) {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if !sl.peerClient.Ended(bounded, h.Address, h.Incarnation) {
		return
	}
	sl.ended.recordEnd(h, time.Now())
	sl.log.WithField("event", "rate_holder_ended").WithField("host", h.Host).WithField("incarnation", h.Incarnation).
		WithField("address", h.Address).Info("the process of a rate share holder has ended; its share is being reclaimed")
}
