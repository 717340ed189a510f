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
func (l *revisionLoader) request(p Pointer, version int64) {
	l.mu.Lock()
	if p.Revision > l.requested.Revision {
		l.requested = p
	}
	l.pointerVersion = max(l.pointerVersion, version)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// upToDate reports whether the requested revision or a later one is in force.
func (l *revisionLoader) upToDate() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requested.Revision <= l.syncer.catalog.Current().Revision
}

// tryLoad tries once to put the requested revision in force.
func (l *revisionLoader) tryLoad(ctx context.Context) bool {
	l.mu.Lock()
	p, version := l.requested, l.pointerVersion
	l.mu.Unlock()
	s := l.syncer
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

func (l *revisionLoader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		backoff := syncBackoffMin
		for !l.tryLoad(ctx) {
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
