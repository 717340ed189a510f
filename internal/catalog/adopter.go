package catalog

import (
	"context"
	"sync"
)

// revisionLoader reads the revision that the pointer names and applies it. It
// retries until this revision or a later one is in force.
type adopter struct {
	source *Syncer
	kick   chan struct{}

	mu      sync.Mutex
	wanted  Pointer
	version int64 // latest version of the pointer object
}

func newAdopter(s *Syncer) *adopter {
	return &adopter{source: s, kick: make(chan struct{}, 1)}
}

// request asks for the pointer's revision, unless a later one is requested already.
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

// upToDate reports whether the requested revision or a later one is in force.
func (a *adopter) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.wanted.Revision <= a.source.catalog.Current().Revision
}

// tryLoad tries once to put the requested revision in force.
func (a *adopter) settle(ctx context.Context) bool {
	a.mu.Lock()
	p, version := a.wanted, a.version
	a.mu.Unlock()
	s := a.source
	if p.Revision > s.catalog.Current().Revision {
		revision, err := ReadRevision(ctx, s.store, p)
		if err != nil {
			s.log.WithError(err).WithField("event", "config_read_failed").Warn("cannot read the configuration revision; retrying")
			return false
		}
		if !s.ApplyRevision(revision) {
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

// latestCheckpoint returns the latest checkpoint received, reached or not.
func (c *Catalog) heard() Checkpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fresh.heard
}
