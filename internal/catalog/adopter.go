package catalog

import (
	"context"
	"sync"
)

// revisionLoader reads the revision that the pointer names and applies it. It
// retries until this revision or a later one is in force.
type revisionLoader struct {
	syncer *Syncer
	wake   chan struct{}

	mu             sync.Mutex
	requested      Pointer
	pointerVersion int64 // latest version of the pointer object
}

func newRevisionLoader(s *Syncer) *revisionLoader {
	return &revisionLoader{syncer: s, wake: make(chan struct{}, 1)}
}

// request asks for the pointer's revision, unless a later one is requested already.
func (a *revisionLoader) request(p Pointer, version int64) {
	a.mu.Lock()
	if p.Revision > a.requested.Revision {
		a.requested = p
	}
	a.pointerVersion = max(a.pointerVersion, version)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// upToDate reports whether the requested revision or a later one is in force.
func (a *revisionLoader) upToDate() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requested.Revision <= a.syncer.catalog.Current().Revision
}

// tryLoad tries once to put the requested revision in force.
func (a *revisionLoader) tryLoad(ctx context.Context) bool {
	a.mu.Lock()
	p, version := a.requested, a.pointerVersion
	a.mu.Unlock()
	s := a.syncer
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
	s.catalog.advancePointer(version)
	s.catalog.confirmReached()
	s.synced.CompareAndSwap(false, s.syncAttempted.Load())
	return true
}

func (a *revisionLoader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
		backoff := syncBackoffMin
		for !a.tryLoad(ctx) {
			if !sleep(ctx, backoff) {
				return
			}
			backoff = min(2*backoff, syncBackoffMax)
		}
	}
}

// latestCheckpoint returns the latest checkpoint received, reached or not.
func (c *Catalog) latestCheckpoint() Checkpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.freshness.latest
}
