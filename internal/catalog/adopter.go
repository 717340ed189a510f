package catalog

import (
	"context"
	"sync"
)

// adopter reads the revision that the pointer names and puts it in force. A
// read that fails is repeated until this revision or a later one is in force.
type adopter struct {
	source *Source
	kick   chan struct{}

	mu      sync.Mutex
	wanted  Pointer
	version int64 // of the pointer
}

func newAdopter(s *Source) *adopter {
	return &adopter{source: s, kick: make(chan struct{}, 1)}
}

// want asks for the pointer's revision, unless a later one is wanted already.
func (a *adopter) want(p Pointer, version int64) {
	a.mu.Lock()
	if p.Revision > a.wanted.Revision {
		a.wanted = p
	}
	a.version = max(a.version, version)
	a.mu.Unlock()
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

// idle reports whether what is wanted is in force.
func (a *adopter) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.wanted.Revision <= a.source.catalog.Current().Revision
}

// settle tries once to put what is wanted in force.
func (a *adopter) settle(ctx context.Context) bool {
	a.mu.Lock()
	p, version := a.wanted, a.version
	a.mu.Unlock()
	s := a.source
	if p.Revision > s.catalog.Current().Revision {
		revision, err := ReadRevision(ctx, s.store, p)
		if err != nil {
			s.log.WithError(err).WithField("event", "config_read_failed").Warn("revision cannot be read; it is tried again")
			return false
		}
		if !s.AdoptRevision(revision) {
			return false
		}
	}
	s.catalog.pointerAt(version)
	s.catalog.progress()
	s.synced.CompareAndSwap(false, s.tried.Load())
	return true
}

func (a *adopter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.kick:
		}
		backoff := syncBackoffMin
		for !a.settle(ctx) {
			if !sleep(ctx, backoff) {
				return
			}
			backoff = min(2*backoff, syncBackoffMax)
		}
	}
}

// heard returns the latest checkpoint that the catalog has heard of.
func (c *Catalog) heard() Checkpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fresh.heard
}
