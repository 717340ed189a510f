package membership

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/objstore"
)

// errNameTaken means that another process runs under this host's name.
var errNameTaken = errors.New("another process holds this host's name; give each host a name of its own")

// ownership is how this process came by its name.
type ownership struct {
	firstEpoch int64     // first epoch that this process held; 0 before
	acquired   time.Time // when it was first held
	// predecessor says that the earlier holder of the name has been looked for,
	// and predecessorEnded that it resigned, or listened where this process
	// listens now.
	predecessor      bool
	predecessorEnded bool
}

func (r *Registry) renewLoop(ctx context.Context) {
	ticker := time.NewTicker(RenewInterval)
	defer ticker.Stop()
	for {
		r.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// lockWrites waits for the right to write the own lease; false when ctx ends.
func (r *Registry) lockWrites(ctx context.Context) bool {
	select {
	case r.writing <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Registry) unlockWrites() { <-r.writing }

// renew acquires the lease when it has none, else renews it.
func (r *Registry) renew(ctx context.Context) {
	if !r.lockWrites(ctx) {
		return
	}
	defer r.unlockWrites()
	if r.resigned {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	if !r.renewHeld(ctx) {
		r.acquire(ctx)
	}
}

// renewHeld renews a lease that is held. It returns false when there is none,
// also when it has lapsed on the own clock: others may then have taken over
// what hung on it, so that it must be acquired under a new epoch.
func (r *Registry) renewHeld(ctx context.Context) bool {
	sent := time.Now()
	r.mu.Lock()
	next, version, deadline := r.self, r.version, r.deadline
	r.mu.Unlock()
	if version == 0 || !sent.Before(deadline) {
		return false
	}
	next.Renewals++
	o, err := r.store.Update(ctx, objstore.KindHost, next.Name, version, next)
	if errors.Is(err, objstore.ErrConflict) {
		return r.recognise(ctx)
	}
	if err != nil {
		r.log.WithError(err).WithField("event", "lease_renewal_failed").Debug("host lease was not renewed")
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = o.Version
	r.self.Renewals = next.Renewals
	if !time.Now().Before(deadline) {
		return false
	}
	r.deadline = sent.Add(LeaseTime)
	return true
}

// recognise settles a conflict: a write of this process that came late is no
// loss, anyone else's ends the lease at once.
func (r *Registry) recognise(ctx context.Context) bool {
	o, stored, err := r.read(ctx)
	if err != nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if stored.Incarnation == r.self.Incarnation && stored.Epoch == r.self.Epoch && stored.State != Gone {
		r.version = o.Version
		return true
	}
	r.version, r.deadline = 0, time.Time{}
	r.log.WithFields(map[string]any{"event": "lease_conflict", "epoch": stored.Epoch}).Warn("host lease was taken by another writer")
	return false
}

func (r *Registry) read(ctx context.Context) (objstore.Object, Host, error) {
	var h Host
	o, err := r.store.Get(ctx, objstore.KindHost, r.Self().Name)
	if err != nil {
		return o, h, err
	}
	return o, h, o.Decode(&h)
}

// acquire takes the host's name with an epoch above every earlier one.
func (r *Registry) acquire(ctx context.Context) {
	sent := time.Now()
	r.mu.Lock()
	next := r.self
	r.version = 0
	r.mu.Unlock()
	current, before, err := r.read(ctx)
	found := !errors.Is(err, objstore.ErrNotFound)
	if err == nil && r.taken(current, before) {
		err = errNameTaken
	}
	if found && err != nil {
		r.log.WithError(err).WithField("event", "lease_not_acquired").Warn("host lease was not acquired")
		return
	}
	r.notePredecessor(found, before)
	next.Epoch = max(next.Epoch, before.Epoch) + 1
	next.Renewals++
	var o objstore.Object
	if found {
		o, err = r.store.Update(ctx, objstore.KindHost, next.Name, current.Version, next)
	} else {
		o, err = r.store.Create(ctx, objstore.KindHost, next.Name, next)
	}
	if err != nil {
		r.log.WithError(err).WithField("event", "lease_not_acquired").Warn("host lease was not acquired")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.own.firstEpoch == 0 {
		r.own.firstEpoch, r.own.acquired = next.Epoch, time.Now()
	}
	r.self.Epoch, r.self.Renewals = next.Epoch, next.Renewals
	r.version = o.Version
	r.deadline = sent.Add(LeaseTime)
}

// notePredecessor keeps the first answer to who held the name before.
func (r *Registry) notePredecessor(found bool, before Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.own.predecessor {
		return
	}
	r.own.predecessor = true
	r.own.predecessorEnded = !found || before.State == Gone || before.PeerAddress == r.self.PeerAddress
}

// taken reports whether the name belongs to a process that succeeded this one.
// A process that has just started takes its name from its predecessor; one that
// has been succeeded takes it back only when the successor is gone.
func (r *Registry) taken(current objstore.Object, stored Host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.own.firstEpoch == 0 || stored.Incarnation == r.self.Incarnation || stored.State == Gone {
		return false
	}
	s, known := r.others[stored.Name]
	return !known || s.version != current.Version || time.Since(s.seen) < LapseTime
}

// Leave says that this host is leaving and writes it at once.
func (r *Registry) Leave(ctx context.Context) {
	r.mu.Lock()
	r.self.State = Leaving
	r.mu.Unlock()
	r.renew(ctx)
}

// Resign gives this host's lease up, so that others need not wait for it to
// lapse. The object stays, as gone, so that its epoch is kept.
func (r *Registry) Resign(ctx context.Context) {
	if !r.lockWrites(ctx) {
		return
	}
	defer r.unlockWrites()
	r.resigned = true
	r.mu.Lock()
	version := r.version
	self := r.self
	r.version, r.deadline = 0, time.Time{}
	r.mu.Unlock()
	if version == 0 {
		return
	}
	self.State = Gone
	if _, err := r.store.Update(ctx, objstore.KindHost, self.Name, version, self); err != nil {
		r.log.WithError(err).WithField("event", "lease_resign_failed").Warn("host lease was not given up")
	}
}
