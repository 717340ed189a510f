package knowledge

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/mesh"
)

// fetchHedgeDelay is the time after which the next peer is asked too, if none has
// responded. Calls to a peer that was suspended end only by their timeout.
const fetchHedgeDelay = 250 * time.Millisecond

// fetchResult is a peer's response to FetchSnapshot.
type fetchResult struct {
	peer     string
	snapshot mesh.Snapshot
	err      error
}

// fetchFromFirst applies the snapshot of the first of the peers that responds, in the order of
// inFetchOrder.
func (s *Syncer) fetchFromFirst(ctx context.Context, peers map[string]mesh.State, known mesh.Versions) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wanted := newestConfig(peers)
	results := make(chan fetchResult, len(peers))
	for _, name := range s.inFetchOrder(peers, known) {
		p := peers[name]
		calls.Go(func() {
			snapshot, err := s.peers.FetchSnapshot(ctx, p.Address, known)
			results <- fetchResult{peer: name, snapshot: snapshot, err: err}
		})
		select {
		case r := <-results:
			if s.applyFetched(r, wanted) {
				return
			}
		case <-time.After(fetchHedgeDelay):
		}
	}
	go func() {
		calls.Wait()
		close(results)
	}()
	for r := range results {
		if s.applyFetched(r, wanted) {
			return
		}
	}
}

// inFetchOrder returns the names of the peers to ask. First come those with newer evacuations than
// the versions, then those with a newer configuration, of this host's cell before others and the
// newest before others. The rest are asked for their lists: those of the cell, to which hosts keep
// connections, or all if none is.
func (s *Syncer) inFetchOrder(peers map[string]mesh.State, known mesh.Versions) []string {
	var evacuations, ahead, aheadOutside, inCell, outside []string
	for name, p := range peers {
		isAhead, isInCell := p.ConfigVersion > known.Config, s.core.InCell(name)
		switch {
		case s.hasNewerEvacuations(p, known):
			evacuations = append(evacuations, name)
		case isAhead && isInCell:
			ahead = append(ahead, name)
		case isAhead:
			aheadOutside = append(aheadOutside, name)
		case isInCell:
			inCell = append(inCell, name)
		default:
			outside = append(outside, name)
		}
	}
	newestFirst := func(a, b string) int { return cmp.Compare(peers[b].ConfigVersion, peers[a].ConfigVersion) }
	slices.SortFunc(evacuations, func(a, b string) int { return cmp.Or(s.cellFirst(a, b), newestFirst(a, b)) })
	slices.SortFunc(ahead, newestFirst)
	slices.SortFunc(aheadOutside, newestFirst)
	if len(ahead)+len(inCell) > 0 {
		outside = nil
	}
	return slices.Concat(evacuations, ahead, aheadOutside, inCell, outside)
}

// cellFirst compares two peers such that those of this host's cell come first.
func (s *Syncer) cellFirst(a, b string) int {
	switch aInCell, bInCell := s.core.InCell(a), s.core.InCell(b); {
	case aInCell == bInCell:
		return 0
	case aInCell:
		return -1
	default:
		return 1
	}
}

// newestConfig returns the highest version of the configuration that the peers have.
func newestConfig(peers map[string]mesh.State) int64 {
	newest := int64(0)
	for _, p := range peers {
		newest = max(newest, p.ConfigVersion)
	}
	return newest
}

// applyFetched applies the snapshot and reports whether there was one. It logs which version
// of the configuration came while a peer has a newer one, wanted.
func (s *Syncer) applyFetched(r fetchResult, wanted int64) bool {
	if r.err != nil {
		s.log.WithFields(logrus.Fields{"event": "knowledge_not_fetched", "peer": r.peer, "error": r.err}).Info("failed to fetch a snapshot from a peer with newer data")
		return false
	}
	s.mu.Lock()
	known := s.versions()
	s.mu.Unlock()
	if wanted > known.Config {
		fetched := r.snapshot.Versions // zero for what the peer doesn't have newer
		s.log.WithFields(logrus.Fields{"event": "knowledge_fetched", "peer": r.peer, "version": known.Config, "wanted": wanted, "fetched": fetched.Config, "upstreams": fetched.Upstreams}).
			Info("fetched a snapshot while a peer has a newer configuration")
	}
	s.applySnapshot(r.snapshot, r.peer)
	return true
}
