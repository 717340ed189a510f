package membership

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/objstore"
)

// errNameTaken means that another process holds the lease of this host's name.
var errNameTaken = errors.New("another process holds this host's name; give each host a name of its own")

// nameHistory records how this process acquired the lease of its host name.
type nameHistory struct {
	firstEpoch int64     // first epoch that this process held; 0 before that
	acquired   time.Time // when firstEpoch was acquired
	// predecessorChecked is set after the lookup of the previous holder.
	// predecessorEnded is set when there was none, when it resigned, or when it
	// listened on this process's address.
	predecessorChecked bool
	predecessorEnded   bool
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

// lockWrites acquires the write lock of this host's lease. It returns false when
// ctx is done first.
func (r *Registry) lockWrites(ctx context.Context) bool {
	select {
	case r.writeLock <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Registry) unlockWrites() { <-r.writeLock }

// renew renews the lease, or acquires it when this host holds none.
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

// renewHeld renews the current lease. It returns false when there is none or when
// the lease has lapsed on the local clock: other hosts may then have taken over
// what this host owned, so the lease must be acquired under a new epoch.
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
		return r.resolveConflict(ctx)
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

// resolveConflict reads the stored lease after a version conflict. A delayed write
// of this process leaves the lease valid; a write by anyone else ends it at once.
func (r *Registry) resolveConflict(ctx context.Context) bool {
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

// acquire takes the lease of the host's name with an epoch above all earlier ones.
func (r *Registry) acquire(ctx context.Context) {
	sent := time.Now()
	r.mu.Lock()
	next := r.self
	r.version = 0
	r.mu.Unlock()
	current, before, err := r.read(ctx)
	found := !errors.Is(err, objstore.ErrNotFound)
	if err == nil && r.heldBySuccessor(current, before) {
		err = errNameTaken
	}
	if found && err != nil {
		r.log.WithError(err).WithField("event", "lease_not_acquired").Warn("host lease was not acquired")
		return
	}
	r.recordPredecessor(found, before)
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
	if r.history.firstEpoch == 0 {
		r.history.firstEpoch, r.history.acquired = next.Epoch, time.Now()
	}
	r.self.Epoch, r.self.Renewals = next.Epoch, next.Renewals
	r.version = o.Version
	r.deadline = sent.Add(LeaseTime)
}

// recordPredecessor stores the result of the first lookup of the previous holder.
func (r *Registry) recordPredecessor(found bool, before Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.history.predecessorChecked {
		return
	}
	r.history.predecessorChecked = true
	r.history.predecessorEnded = !found || before.State == Gone || before.PeerAddress == r.self.PeerAddress
}

// heldBySuccessor reports whether a later process holds the lease of this name. A
// process that has just started takes the lease over from its predecessor; a
// superseded process reacquires it only when the successor has stopped or lapsed.
func (r *Registry) heldBySuccessor(current objstore.Object, stored Host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.history.firstEpoch == 0 || stored.Incarnation == r.self.Incarnation || stored.State == Gone {
		return false
	}
	s, known := r.observed[stored.Name]
	return !known || s.version != current.Version || time.Since(s.observedAt) < LapseTime
}

// Leave marks this host as leaving and writes the lease at once.
func (r *Registry) Leave(ctx context.Context) {
	r.mu.Lock()
	r.self.State = Leaving
	r.mu.Unlock()
	r.renew(ctx)
}

// Resign releases this host's lease, so that other hosts need not wait for it to
// lapse. The object stays as a tombstone in state Gone to preserve the epoch.
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
		r.log.WithError(err).WithField("event", "lease_resign_failed").Warn("host lease was not released")
	}
}
