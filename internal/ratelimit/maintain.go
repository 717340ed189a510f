package ratelimit

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/objstore"
)

const (
	shareUpdateTimeout    = 5 * time.Second // for all attempts together
	maxShareWriteAttempts = 3               // compare-and-set attempts after conflicts with other writers
	releaseConcurrency    = 8               // shares released in parallel
)

func (sl *ShareLimiter) shareUpdateLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-sl.shareTasks:
			t.mu.Lock()
			t.updateQueued = false
			t.mu.Unlock()
			bounded, cancel := context.WithTimeout(ctx, shareUpdateTimeout)
			sl.updateShare(bounded, t, false)
			cancel()
		}
	}
}

// enqueueShareUpdate queues a team for shareUpdateLoop. The caller holds the team's mu.
func (sl *ShareLimiter) enqueueShareUpdate(t *teamState) {
	if t.updateQueued {
		return
	}
	select {
	case sl.shareTasks <- t:
		t.updateQueued = true
	default: // the queue is full; the next maintenance retries
	}
}

// maintenanceLoop maintains all teams at every maintenanceInterval.
func (sl *ShareLimiter) maintenanceLoop(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, t := range sl.allTeams() {
			sl.maintain(t)
		}
	}
}

func (sl *ShareLimiter) allTeams() []*teamState {
	sl.mu.RLock()
	defer sl.mu.RUnlock()
	all := make([]*teamState, 0, len(sl.teams))
	for _, t := range sl.teams {
		all = append(all, t)
	}
	return all
}

// maintain settles a team's transfers and queues an update of its share where one
// is due. It skips teams without requests, tokens or a share on this host.
func (sl *ShareLimiter) maintain(t *teamState) {
	spec, exists := sl.lookupSpec(t.name)
	l := sl.lease()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	hasDemand := exists && now.Sub(t.lastRequest) < activeTeamWindow
	holdsShare := t.participant.HoldsShare()
	earlier := t.participant.share.hasEarlierIncarnation(sl.self)
	if !holdsShare && !hasDemand && !earlier && len(t.participant.Holding.borrowed) == 0 && len(t.dueSettlements) == 0 {
		return
	}
	h := t.participant.Holding
	h.RenewLease(l)
	h.SetSpec(spec.Rate, float64(spec.Burst), now)
	t.collectSettlements(now)
	if len(t.dueSettlements) > 0 {
		select {
		case sl.borrowTasks <- borrowTask{team: t, settleOnly: true}:
		default:
		}
	}
	if earlier || t.participant.needsWrite(hasDemand, l) || sl.hasLapsedHolder(t.participant.share) {
		sl.enqueueShareUpdate(t)
	}
}

// hasLapsedHolder reports whether the host lease of a holder seems to have lapsed.
func (sl *ShareLimiter) hasLapsedHolder(s Share) bool {
	for _, h := range s.Holders {
		if h.Incarnation != sl.self.Incarnation && sl.membership.Lapsed(h.Owner()) {
			return true
		}
	}
	return false
}

// updateShare writes the change that this host needs to the share object: joining,
// growing, confirming a shrink, moving its part to a new lease epoch, or
// reclaiming unused parts. It retries after conflicts with other writers.
func (sl *ShareLimiter) updateShare(ctx context.Context, t *teamState, leaving bool) {
	select {
	case t.writeLock <- struct{}{}:
		defer func() { <-t.writeLock }()
	case <-ctx.Done():
		return
	}
	for range maxShareWriteAttempts {
		t.mu.Lock()
		share, _ := t.participant.Share()
		t.mu.Unlock()
		states := sl.holderStates(ctx, share)
		l := sl.lease()
		t.mu.Lock()
		now := time.Now()
		_, base := t.participant.Share()
		p, changed := t.participant.PrepareWrite(Intent{
			Wanted: now.Sub(t.lastRequest) < activeTeamWindow, Leaving: leaving,
			State: func(h Holder) HolderState { return states[h] },
		}, l, now)
		if changed {
			t.writeEnded = make(chan struct{})
		}
		t.mu.Unlock()
		if !changed {
			return
		}
		if sl.writePlan(ctx, t, p, base) {
			return
		}
	}
}

// holderStates determines which holders' parts are out of use. The map's key is
// the whole entry, so the state of a holder is ignored once its entry has changed.
func (sl *ShareLimiter) holderStates(ctx context.Context, s Share) map[Holder]HolderState {
	states := map[Holder]HolderState{}
	for _, h := range s.Holders {
		switch {
		case h.Incarnation == sl.self.Incarnation:
		case h.Host == sl.self.Host && h.Address == sl.self.Address:
			states[h] = EarlierProcessState(time.Since(sl.started))
		case sl.membership.Lapsed(h.Owner()):
			lapse, err := sl.membership.Confirm(ctx, h.Owner())
			if err != nil {
				lapse = membership.Lapse{}
			}
			states[h] = HolderStateOf(lapse, sl.ended.timeSinceEnd(h, time.Now()))
		}
	}
	return states
}

// writePlan writes a planned change to the store by compare-and-set. After a
// conflict it observes the current share and returns false for another attempt.
func (sl *ShareLimiter) writePlan(ctx context.Context, t *teamState, p Plan, base int64) bool {
	var o objstore.Object
	var err error
	if base == 0 {
		o, err = sl.store.Create(ctx, objstore.KindRateShare, t.name, p.Next)
	} else {
		o, err = sl.store.Update(ctx, objstore.KindRateShare, t.name, base, p.Next)
	}
	sl.metrics.recordWrite(err)
	l := sl.lease()
	t.mu.Lock()
	t.endWrite()
	if err == nil {
		t.participant.ConfirmWrite(p, o.Version, l, time.Now())
		t.backoffUntil = time.Time{}
		t.mu.Unlock()
		return true
	}
	t.participant.AbandonWrite(p, l, time.Now())
	t.mu.Unlock()
	if !errors.Is(err, objstore.ErrConflict) {
		sl.log.WithError(err).WithField("event", "rate_share_not_written").Debug("failed to write a rate share")
		return true
	}
	if o, err = sl.store.Get(ctx, objstore.KindRateShare, t.name); err != nil {
		return true
	}
	sl.observeShare(o)
	return false
}

func (sl *ShareLimiter) observeShare(o objstore.Object) {
	var s Share
	if err := o.Decode(&s); err != nil {
		sl.log.WithError(err).WithField("event", "rate_share_unreadable").Error("failed to decode a rate share; ignoring it")
		return
	}
	t := sl.getOrCreateTeam(o.Name)
	l := sl.lease()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.participant.Observe(s, o.Version, l, now)
	if t.participant.needsWrite(now.Sub(t.lastRequest) < activeTeamWindow, l) {
		sl.enqueueShareUpdate(t)
	}
}

func (sl *ShareLimiter) reset(objects []objstore.Object, _ int64) {
	for _, o := range objects {
		sl.observeShare(o)
	}
}

func (sl *ShareLimiter) apply(event objstore.Event) {
	if event.Type == objstore.EventPut {
		sl.observeShare(event.Object)
	}
}

// ReleaseShares stops admitting requests and returns this host's part of every
// share, for a graceful shutdown.
func (sl *ShareLimiter) ReleaseShares(ctx context.Context) {
	sl.mu.Lock()
	sl.stopped = true
	sl.mu.Unlock()
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, releaseConcurrency)
	for _, t := range sl.allTeams() {
		t.mu.Lock()
		holdsShare := t.participant.HoldsShare()
		t.mu.Unlock()
		if !holdsShare {
			continue
		}
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			sl.sendSettlements(ctx, t)
			sl.updateShare(ctx, t, true)
		})
	}
	wg.Wait()
}
