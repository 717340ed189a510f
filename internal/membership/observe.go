package membership

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/objstore"
)

// sighting is what this host has seen of a host's lease. Times are on this
// host's clock.
type sighting struct {
	host      Host
	version   int64
	seen      time.Time // when this version was first seen
	epochSeen time.Time // when this epoch was first seen
	deleted   bool
}

func (r *Registry) reset(objects []objstore.Object, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = true
	present := map[string]bool{}
	for _, o := range objects {
		present[o.Name] = true
		r.sight(o)
	}
	for name := range r.others {
		if !present[name] {
			r.sightDeletion(name, version)
		}
	}
}

func (r *Registry) apply(e objstore.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e.Type {
	case objstore.EventPut:
		r.sight(e.Object)
	case objstore.EventDelete:
		r.sightDeletion(e.Object.Name, e.Object.Version)
	}
}

// sight notes a host's lease; the caller holds mu. A version that was seen
// before, or an older one, does not count as a renewal.
func (r *Registry) sight(o objstore.Object) {
	var h Host
	if err := o.Decode(&h); err != nil {
		return
	}
	before, known := r.others[o.Name]
	if known && before.version >= o.Version {
		return
	}
	now := time.Now()
	s := sighting{host: h, version: o.Version, seen: now, epochSeen: now}
	if known && before.host.Epoch == h.Epoch {
		s.epochSeen = before.epochSeen
	}
	r.others[o.Name] = s
}

// sightDeletion notes that an operator removed a lease object; the caller holds
// mu. Its holder may trust the lease for as long as any other.
func (r *Registry) sightDeletion(name string, version int64) {
	s := r.others[name]
	if s.deleted || s.version >= version {
		return
	}
	s.version, s.deleted, s.seen = version, true, time.Now()
	r.others[name] = s
}

// Lapsed implements View. It goes by what has been watched, which can be stale:
// what it says is a reason to look again before anything is taken over that
// the holder does not check by a conditional write. Confirm looks again.
func (r *Registry) Lapsed(owner Owner) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if owner.Host == r.self.Name {
		return r.ownLapsed(owner)
	}
	s, known := r.others[owner.Host]
	switch {
	case !known:
		return r.listed && time.Since(r.started) > LapseTime
	case s.host.Epoch > owner.Epoch:
		return time.Since(s.epochSeen) > LapseTime
	case s.host.State == Gone:
		return true
	default:
		return time.Since(s.seen) > LapseTime
	}
}

// ownLapsed judges an earlier lease of this host's name; the caller holds mu.
// This process's own earlier epochs lapsed on its own clock. A predecessor at
// the same address has ended, or this process could not listen there.
func (r *Registry) ownLapsed(owner Owner) bool {
	if owner.Epoch >= r.self.Epoch || r.version == 0 {
		return false
	}
	if owner.Epoch >= r.own.firstEpoch || r.own.predecessorEnded {
		return true
	}
	return time.Since(r.own.acquired) > LapseTime
}

// Lapse is proof that a host lease is not trusted by its holder any more.
type Lapse struct {
	Lapsed   bool
	Resigned bool          // the holder gave it up
	For      time.Duration // how long it has been so, at least
}

// Confirm reports whether the owner's lease has lapsed, and asks the platform
// where only silence speaks for it. A lapse that it has reported is final: no
// holder ever trusts that epoch again.
func (r *Registry) Confirm(ctx context.Context, owner Owner) (Lapse, error) {
	r.mu.Lock()
	s, known := r.others[owner.Host]
	self, started := r.self.Name, r.started
	r.mu.Unlock()
	if owner.Host == self {
		return Lapse{Lapsed: r.Lapsed(owner), For: r.heldFor()}, nil
	}
	now := time.Now()
	switch {
	case known && s.host.Epoch > owner.Epoch:
		return lapsedSince(s.epochSeen.Add(LapseTime), now), nil
	case known && s.host.Epoch == owner.Epoch && s.host.State == Gone && !s.deleted:
		return Lapse{Lapsed: true, Resigned: true, For: now.Sub(s.seen)}, nil
	case known && now.Sub(s.seen) < LapseTime, !known && now.Sub(started) < LapseTime:
		return Lapse{}, nil
	}
	o, err := r.store.Get(ctx, objstore.KindHost, owner.Host)
	switch {
	case errors.Is(err, objstore.ErrNotFound) && (!known || s.deleted):
		if !known {
			s.seen = started
		}
		return lapsedSince(s.seen.Add(LapseTime), now), nil
	case err != nil:
		return Lapse{}, err
	case known && o.Version == s.version:
		return lapsedSince(s.seen.Add(LapseTime), now), nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sight(o)
	return Lapse{}, nil
}

// heldFor returns how long an earlier process of this host's name has been out
// of its lease, at least.
func (r *Registry) heldFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, time.Since(r.own.acquired)-LapseTime)
}

// lapsedSince is a lapse that is certain from a time on.
func lapsedSince(certain, now time.Time) Lapse {
	if now.Before(certain) {
		return Lapse{}
	}
	return Lapse{Lapsed: true, For: now.Sub(certain)}
}
