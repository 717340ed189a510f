package knowledge

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/objstore"
)

func (s *Syncer) resetUpstreams(objects []objstore.Object, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.upstreamsAdopted {
		return
	}
	before := s.upstreams
	s.upstreams = newUpstreamTable()
	for _, o := range objects {
		s.upstreams.put(o.Name, s.decodeUpstream(o.Name, o.Value, before))
		delete(s.pendingRemovals, o.Name)
	}
	for id, e := range before.entries {
		if _, listed := s.upstreams.entries[id]; !listed && s.keepUnlisted(id) {
			s.upstreams.put(id, e)
		}
	}
	s.upstreamsVersion = max(s.upstreamsVersion, version)
	s.upstreamsKnown = true
	if s.upstreamsListedAt.IsZero() {
		s.upstreamsListedAt = time.Now()
	}
	s.replaceUpstreams("store")
}

func (s *Syncer) applyUpstream(e objstore.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.upstreamsAdopted {
		return
	}
	id := e.Object.Name
	if e.Type == objstore.EventPut {
		s.upstreams.put(id, s.decodeUpstream(id, e.Object.Value, s.upstreams))
		delete(s.pendingRemovals, id)
	} else {
		s.applyRemoval(id, time.Now())
	}
	s.upstreamsVersion = max(s.upstreamsVersion, e.Object.Version)
	s.updateUpstreams("store", id)
}

// ReadUpstream implements entry.Registry.
func (s *Syncer) ReadUpstream(ctx context.Context, id string) (fleet.Upstream, bool, error) {
	o, err := s.store.Get(ctx, s.decoder.UpstreamKind(), id)
	if errors.Is(err, objstore.ErrNotFound) {
		return fleet.Upstream{}, false, nil
	}
	if err != nil {
		return fleet.Upstream{}, false, err
	}
	u, err := s.decoder.DecodeUpstream(id, o.Value)
	return u, err == nil, err
}

// keepUnlisted reports whether an entry stays that the store's list lacks. The caller holds mu.
func (s *Syncer) keepUnlisted(id string) bool {
	if !time.Now().Before(s.graceEnd()) {
		s.hastenRemoval(id, s.upstreamsListBegan)
	}
	return s.deferRemoval(id, s.missingUntil())
}

// applyRemoval removes an entry whose removal a watch delivered, or defers that. The caller
// holds mu.
func (s *Syncer) applyRemoval(id string, delivered time.Time) {
	s.hastenRemoval(id, delivered)
	if !s.deferRemoval(id, earlier(s.graceEnd(), delivered.Add(maxRemovalDelay))) {
		s.upstreams.remove(id)
	}
}

// decodeUpstream decodes an upstream's entry, unless it stands in the table already.
func (s *Syncer) decodeUpstream(id string, raw json.RawMessage, known *upstreamTable) upstreamEntry {
	if e, ok := known.entries[id]; ok && bytes.Equal(e.raw, raw) {
		return e
	}
	u, err := s.decoder.DecodeUpstream(id, raw)
	if err != nil {
		s.log.WithFields(logrus.Fields{"event": "upstream_unreadable", "upstream": id, "error": err}).Warn("ignoring an invalid upstream entry")
		return upstreamEntry{raw: raw, invalid: true}
	}
	u.EntryHash = xxhash.Sum64(raw)
	return upstreamEntry{raw: raw, upstream: u}
}

// graceEnd returns the end of the grace period after the latest outage of the store. The
// caller holds mu.
func (s *Syncer) graceEnd() time.Time { return s.storeRegainedAt.Add(expiryGracePeriod) }

// missingUntil returns until when entries stay that the latest list lacks. The caller
// holds mu.
func (s *Syncer) missingUntil() time.Time {
	until := s.graceEnd()
	switch {
	case !s.upstreamsListEndsOutage:
		return earlier(until, s.upstreamsListBegan.Add(maxRemovalDelay))
	case time.Since(s.upstreamsConfirmedAt) <= maxConfirmationAge:
		return earlier(until, s.upstreamsConfirmedAt.Add(maxRemovalDelay))
	default:
		return until
	}
}

// deferRemoval reports whether a removed entry stays, until the given time: upstreams
// could not renew their entries during an outage of the store, and live ones renew
// them soon after. The caller holds mu.
func (s *Syncer) deferRemoval(id string, until time.Time) bool {
	if _, pending := s.pendingRemovals[id]; pending {
		return true
	}
	if !time.Now().Before(until) {
		return false
	}
	s.setPendingRemoval(id, until)
	return true
}

// hastenRemoval lets a deferred removal take effect soon after the store has shown it to this
// host. A peer whose list was adopted may have deferred it for longer, because it regained
// the store just then. The caller holds mu.
func (s *Syncer) hastenRemoval(id string, shown time.Time) {
	if at, pending := s.pendingRemovals[id]; pending {
		s.setPendingRemoval(id, earlier(at, shown.Add(maxRemovalDelay)))
	}
}

// setPendingRemoval lets the removal of the entry take effect at the given time. The
// caller holds mu.
func (s *Syncer) setPendingRemoval(id string, at time.Time) {
	s.pendingRemovals[id] = at
	select {
	case s.removalDeferred <- struct{}{}:
	default: // expiryLoop has yet to see an earlier one
	}
}

// expiryLoop removes entries when their deferred removal is due. It doesn't wait for peers.
func (s *Syncer) expiryLoop(ctx context.Context) {
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.removalDeferred:
		case <-due.C:
		}
		if next, pending := s.removeExpired(time.Now()); pending {
			due.Reset(time.Until(next))
		}
	}
}

// removeExpired removes the entries that were not renewed in the grace period. It returns
// when the next deferred removal is due, if there is one.
func (s *Syncer) removeExpired(now time.Time) (next time.Time, pending bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var expired []string
	for id, at := range s.pendingRemovals {
		if now.Before(at) {
			if !pending || at.Before(next) {
				next, pending = at, true
			}
			continue
		}
		delete(s.pendingRemovals, id)
		s.upstreams.remove(id)
		expired = append(expired, id)
	}
	if len(expired) > 0 {
		s.updateUpstreams("lapsed", expired...)
	}
	return next, pending
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// remainingTimes returns for how long each entry with a deferred removal stays listed.
// The caller holds mu.
func (s *Syncer) remainingTimes(now time.Time) map[string]time.Duration {
	remaining := make(map[string]time.Duration, len(s.pendingRemovals))
	for id, at := range s.pendingRemovals {
		remaining[id] = max(at.Sub(now), 0)
	}
	return remaining
}

// adoptUpstreams replaces the list of upstreams by a peer's newer one.
func (s *Syncer) adoptUpstreams(snapshot mesh.Snapshot, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.Versions.Upstreams <= s.upstreamsVersion {
		return
	}
	before, ownPending := s.upstreams, s.pendingRemovals
	s.upstreams, s.pendingRemovals = newUpstreamTable(), map[string]time.Time{}
	for id, raw := range snapshot.Upstreams {
		if remaining, pending := snapshot.PendingRemovals[id]; pending {
			s.adoptPendingRemoval(id, raw, before, remaining)
			continue
		}
		s.upstreams.put(id, s.decodeUpstream(id, raw, before))
	}
	s.keepUnknownExpiries(before, snapshot.UnknownExpiries)
	s.keepEarlierRemovals(ownPending)
	s.upstreamsVersion = snapshot.Versions.Upstreams
	s.upstreamsKnown = true
	if s.core.Peers()[from].StoreReachable {
		s.upstreamsConfirmedAt = time.Now()
	}
	changed := before.differing(s.upstreams)
	s.upstreamsAdopted = s.upstreamsAdopted || len(changed) > 0
	s.updateUpstreams(from, changed...)
}

// keepUnknownExpiries keeps the entries that the adopted list lacks for the given time, in
// which live upstreams renew them. A host that reaches the store goes by the store's list
// instead. The caller holds mu.
func (s *Syncer) keepUnknownExpiries(before *upstreamTable, grace time.Duration) {
	if grace <= 0 || len(s.failedWatches) == 0 {
		return
	}
	for id, e := range before.entries {
		if _, listed := s.upstreams.entries[id]; !listed {
			s.upstreams.put(id, e)
			s.setPendingRemoval(id, time.Now().Add(grace))
		}
	}
}

// keepEarlierRemovals keeps the times of this host's deferred removals that are earlier than
// those of the adopted list. The caller holds mu.
func (s *Syncer) keepEarlierRemovals(own map[string]time.Time) {
	for id, at := range own {
		if adopted, pending := s.pendingRemovals[id]; pending {
			s.setPendingRemoval(id, earlier(at, adopted))
		}
	}
}

// unknownExpiries returns for how long entries may be missing from this host's list that
// expired in an outage before it started. The caller holds mu.
func (s *Syncer) unknownExpiries(now time.Time) time.Duration {
	if s.upstreamsListedAt.IsZero() {
		return 0
	}
	return max(expiryGracePeriod-now.Sub(s.upstreamsListedAt), 0)
}

// adoptPendingRemoval keeps an entry whose removal the peer defers for the remaining
// time. An entry that this host knows to be removed doesn't return. The caller holds mu.
func (s *Syncer) adoptPendingRemoval(id string, raw json.RawMessage, before *upstreamTable, remaining time.Duration) {
	e, listed := before.entries[id]
	if s.upstreamsKnown && !listed {
		return
	}
	if !listed { // else the peer's may be from before an outage
		e = s.decodeUpstream(id, raw, before)
	}
	s.upstreams.put(id, e)
	s.setPendingRemoval(id, time.Now().Add(remaining))
}

// updateUpstreams passes the upstreams with the ids to the core. The caller holds mu.
func (s *Syncer) updateUpstreams(from string, ids ...string) {
	var changed []fleet.Upstream
	var removed []string
	for _, id := range ids {
		if e, listed := s.upstreams.entries[id]; listed && !e.invalid {
			changed = append(changed, e.upstream)
			continue
		}
		removed = append(removed, id)
	}
	s.core.UpdateUpstreams(changed, removed, s.upstreamsVersion)
	s.logUpstreams(from)
}

// replaceUpstreams passes all upstreams to the core. The caller holds mu.
func (s *Syncer) replaceUpstreams(from string) {
	s.core.SetUpstreams(s.upstreams.upstreams(), s.upstreamsVersion)
	s.logUpstreams(from)
}

func (s *Syncer) logUpstreams(from string) {
	s.log.WithFields(logrus.Fields{"event": "upstreams_in_force", "version": s.upstreamsVersion, "from": from, "upstreams": s.upstreams.valid, "leaving": s.upstreams.leaving}).Info("updated the list of upstreams")
}
