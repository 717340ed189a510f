package membership

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/objstore"
)

// observation is the last observed state of a host's lease. Times are on this
// host's clock.
type observation struct {
	host            Host
	version         int64
	observedAt      time.Time // when this version was first observed
	epochObservedAt time.Time // when this epoch was first observed
	deleted         bool
}

func (r *Registry) reset(objects []objstore.Object, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listReceived = true
	present := map[string]bool{}
	for _, o := range objects {
		present[o.Name] = true
		r.recordLease(o)
	}
	for name := range r.observed {
		if !present[name] {
			r.recordDeletion(name, version)
		}
	}
}

func (r *Registry) apply(e objstore.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e.Type {
	case objstore.EventPut:
		r.recordLease(e.Object)
	case objstore.EventDelete:
		r.recordDeletion(e.Object.Name, e.Object.Version)
	}
}

// recordLease records an observed lease; the caller holds mu. Only a version newer
// than the recorded one counts as a renewal.
func (r *Registry) recordLease(o objstore.Object) {
	var h Host
	if err := o.Decode(&h); err != nil {
		return
	}
	before, known := r.observed[o.Name]
	if known && before.version >= o.Version {
		return
	}
	now := time.Now()
	s := observation{host: h, version: o.Version, observedAt: now, epochObservedAt: now}
	if known && before.host.Epoch == h.Epoch {
		s.epochObservedAt = before.epochObservedAt
	}
	r.observed[o.Name] = s
}

// recordDeletion records that an operator deleted a lease object; the caller holds
// mu. The holder may still trust the lease for the full lease time.
func (r *Registry) recordDeletion(name string, version int64) {
	s := r.observed[name]
	if s.deleted || s.version >= version {
		return
	}
	s.version, s.deleted, s.observedAt = version, true, time.Now()
	r.observed[name] = s
}

// Lapsed implements View. The result comes from the watch and can be stale: call
// Confirm before a takeover of anything that the holder does not guard by
// compare-and-set.
func (r *Registry) Lapsed(owner Owner) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if owner.Host == r.self.Name {
		return r.ownEpochLapsed(owner)
	}
	s, known := r.observed[owner.Host]
	switch {
	case !known:
		return r.listReceived && time.Since(r.started) > LapseTime
	case s.host.Epoch > owner.Epoch:
		return time.Since(s.epochObservedAt) > LapseTime
	case s.host.State == Gone:
		return true
	default:
		return time.Since(s.observedAt) > LapseTime
	}
}

// ownEpochLapsed reports whether an earlier epoch of this host's name has lapsed;
// the caller holds mu. This process's own earlier epochs lapsed on its own clock.
// A predecessor at the same address has ended, since otherwise this process could
// not listen there.
func (r *Registry) ownEpochLapsed(owner Owner) bool {
	if owner.Epoch >= r.self.Epoch || r.version == 0 {
		return false
	}
	if owner.Epoch >= r.history.firstEpoch || r.history.predecessorEnded {
		return true
	}
	return time.Since(r.history.acquired) > LapseTime
}

// Lapse is the result of a check whether a holder can still trust its lease.
type Lapse struct {
	Lapsed   bool
	Resigned bool          // the holder released the lease
	For      time.Duration // minimum time since the lapse
}

// Confirm reports whether the owner's lease has lapsed. It reads the lease from
// the store when the only evidence is the absence of renewals. A reported lapse is
// final: no holder ever trusts that epoch again.
func (r *Registry) Confirm(ctx context.Context, owner Owner) (Lapse, error) {
	r.mu.Lock()
	s, known := r.observed[owner.Host]
	self, started := r.self.Name, r.started
	r.mu.Unlock()
	if owner.Host == self {
		return Lapse{Lapsed: r.Lapsed(owner), For: r.timeSinceLapse()}, nil
	}
	now := time.Now()
	switch {
	case known && s.host.Epoch > owner.Epoch:
		return lapsedSince(s.epochObservedAt.Add(LapseTime), now), nil
	case known && s.host.Epoch == owner.Epoch && s.host.State == Gone && !s.deleted:
		return Lapse{Lapsed: true, Resigned: true, For: now.Sub(s.observedAt)}, nil
	case known && now.Sub(s.observedAt) < LapseTime, !known && now.Sub(started) < LapseTime:
		return Lapse{}, nil
	}
	o, err := r.store.Get(ctx, objstore.KindHost, owner.Host)
	switch {
	case errors.Is(err, objstore.ErrNotFound) && (!known || s.deleted):
		if !known {
			s.observedAt = started
		}
		return lapsedSince(s.observedAt.Add(LapseTime), now), nil
	case err != nil:
		return Lapse{}, err
	case known && o.Version == s.version:
		return lapsedSince(s.observedAt.Add(LapseTime), now), nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordLease(o)
	return Lapse{}, nil
}

// timeSinceLapse returns the minimum time since the lease of an earlier process
// with this host's name lapsed.
func (r *Registry) timeSinceLapse() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, time.Since(r.history.acquired)-LapseTime)
}

// lapsedSince returns the Lapse, as of now, of a lease that has certainly lapsed
// at the given time.
func lapsedSince(certain, now time.Time) Lapse {
	if now.Before(certain) {
		return Lapse{}
	}
	return Lapse{Lapsed: true, For: now.Sub(certain)}
}
