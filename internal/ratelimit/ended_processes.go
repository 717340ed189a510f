package ratelimit

import (
	"context"
	"sync"
	"time"
)

const (
	probeInterval = 2 * time.Second // between two rounds of questions
	probeTime     = 2 * time.Second // for one question
	suspectTime   = time.Minute     // a suspect that nobody asked about is forgotten
)

// endings remembers which processes that hold parts of rates have ended. A
// process that has ended uses nothing any more, so its parts need not wait for
// the time for which a silent one may go on.
type endings struct {
	mu       sync.Mutex
	suspects map[string]*suspect // by incarnation
}

// suspect is a process whose host lease has lapsed.
type suspect struct {
	holder Holder
	asked  time.Time // when its state was last of interest
	ended  time.Time // when its end was first seen; zero while it is not certain
}

func newEndings() *endings { return &endings{suspects: map[string]*suspect{}} }

// since returns how long a process is known to have ended, or 0. The process is
// probed from then on.
func (e *endings) since(h Holder, now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.suspects[h.Incarnation]
	if s == nil {
		s = &suspect{holder: h}
		e.suspects[h.Incarnation] = s
	}
	s.asked = now
	if s.ended.IsZero() {
		return 0
	}
	return now.Sub(s.ended)
}

// open returns the processes to probe, and forgets those that nobody asked about
// lately.
func (e *endings) open(now time.Time) []Holder {
	e.mu.Lock()
	defer e.mu.Unlock()
	var holders []Holder
	for incarnation, s := range e.suspects {
		switch {
		case now.Sub(s.asked) > suspectTime:
			delete(e.suspects, incarnation)
		case s.ended.IsZero():
			holders = append(holders, s.holder)
		}
	}
	return holders
}

// saw takes in that a process has ended.
func (e *endings) saw(h Holder, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.suspects[h.Incarnation]; s != nil {
		s.ended = now
	}
}

// probeLoop asks the addresses of suspects whether their processes have ended.
func (e *ShareLimiter) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, h := range e.endings.open(time.Now()) {
			e.probe(ctx, h)
		}
	}
}

func (e *ShareLimiter) probe(ctx context.Context, h Holder) {
	bounded, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	if !e.exchange.Ended(bounded, h.Address, h.Incarnation) {
		return
	}
	e.endings.saw(h, time.Now())
	e.log.WithField("event", "rate_holder_ended").WithField("host", h.Host).WithField("incarnation", h.Incarnation).
		WithField("address", h.Address).Info("a process that held parts of rates has ended; its parts are given to others")
}
