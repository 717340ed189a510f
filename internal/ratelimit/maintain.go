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
	keepTime     = 5 * time.Second // bounds one change of a share
	keepTries    = 3               // after conflicts with other writers
	releaseHosts = 8               // shares given back at once
)

func (e *ShareLimiter) keepLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-e.keeping:
			t.mu.Lock()
			t.queued = false
			t.mu.Unlock()
			bounded, cancel := context.WithTimeout(ctx, keepTime)
			e.keep(bounded, t, false)
			cancel()
		}
	}
}

// enqueue hands a team to the keepers; the caller holds the team's mu.
func (e *ShareLimiter) enqueue(t *state) {
	if t.queued {
		return
	}
	select {
	case e.keeping <- t:
		t.queued = true
	default: // the next tick finds it again
	}
}

// tickLoop looks after the teams that are active here.
func (e *ShareLimiter) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, t := range e.all() {
			e.tick(t)
		}
	}
}

func (e *ShareLimiter) all() []*state {
	e.mu.RLock()
	defer e.mu.RUnlock()
	all := make([]*state, 0, len(e.teams))
	for _, t := range e.teams {
		all = append(all, t)
	}
	return all
}

func (e *ShareLimiter) tick(t *state) {
	spec, exists := e.specs(t.name)
	l := e.lease()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	wanted := exists && now.Sub(t.wanted) < wantedTime
	home := t.member.HoldsShare()
	past := t.member.share.holdsPast(e.self)
	if !home && !wanted && !past && len(t.member.Holding.borrowed) == 0 && len(t.debts) == 0 {
		return
	}
	h := t.member.Holding
	h.RenewLease(l)
	h.SetSpec(spec.Rate, float64(spec.Burst), now)
	t.collect(now)
	if len(t.debts) > 0 {
		select {
		case e.rounds <- errand{team: t, settle: true}:
		default:
		}
	}
	if past || t.member.unsettled(wanted, l) || e.suspects(t.member.share) {
		e.enqueue(t)
	}
}

// suspects reports whether a holder of the share seems to be gone.
func (e *ShareLimiter) suspects(s Share) bool {
	for _, h := range s.Holders {
		if h.Incarnation != e.self.Incarnation && e.members.Lapsed(h.Owner()) {
			return true
		}
	}
	return false
}

// keep changes the share as this host needs it: it joins, grows, confirms a
// shrink, puts its part under a new lease, and frees what is out of use.
func (e *ShareLimiter) keep(ctx context.Context, t *state, leaving bool) {
	select {
	case t.writing <- struct{}{}:
		defer func() { <-t.writing }()
	case <-ctx.Done():
		return
	}
	for range keepTries {
		t.mu.Lock()
		share, _ := t.member.Share()
		t.mu.Unlock()
		states := e.holderStates(ctx, share)
		l := e.lease()
		t.mu.Lock()
		now := time.Now()
		_, base := t.member.Share()
		p, changed := t.member.PrepareWrite(Intent{
			Wanted: now.Sub(t.wanted) < wantedTime, Leaving: leaving,
			State: func(h Holder) HolderState { return states[h] },
		}, l, now)
		t.mu.Unlock()
		if !changed {
			return
		}
		if e.write(ctx, t, p, base) {
			return
		}
	}
}

// holderStates finds out which holders are out of use. The state of a holder whose
// entry has changed meanwhile is not used.
func (e *ShareLimiter) holderStates(ctx context.Context, s Share) map[Holder]HolderState {
	states := map[Holder]HolderState{}
	for _, h := range s.Holders {
		switch {
		case h.Incarnation == e.self.Incarnation:
		case h.Host == e.self.Host && h.Address == e.self.Address:
			states[h] = EarlierProcessState(time.Since(e.started))
		case e.members.Lapsed(h.Owner()):
			lapse, err := e.members.Confirm(ctx, h.Owner())
			if err != nil {
				lapse = membership.Lapse{}
			}
			states[h] = HolderStateOf(lapse, e.endings.since(h, time.Now()))
		}
	}
	return states
}

// write sends a planned change. It returns false after a conflict, when the
// share as it now stands has been taken in.
func (e *ShareLimiter) write(ctx context.Context, t *state, p Plan, base int64) bool {
	var o objstore.Object
	var err error
	if base == 0 {
		o, err = e.store.Create(ctx, objstore.KindRateShare, t.name, p.Next)
	} else {
		o, err = e.store.Update(ctx, objstore.KindRateShare, t.name, base, p.Next)
	}
	e.metrics.wrote(err)
	l := e.lease()
	t.mu.Lock()
	if err == nil {
		t.member.ConfirmWrite(p, o.Version, l, time.Now())
		t.dryUntil = time.Time{}
		t.mu.Unlock()
		return true
	}
	t.member.AbandonWrite(p, l, time.Now())
	t.mu.Unlock()
	if !errors.Is(err, objstore.ErrConflict) {
		e.log.WithError(err).WithField("event", "rate_share_not_written").Debug("rate share was not changed")
		return true
	}
	if o, err = e.store.Get(ctx, objstore.KindRateShare, t.name); err != nil {
		return true
	}
	e.observe(o)
	return false
}

func (e *ShareLimiter) observe(o objstore.Object) {
	var s Share
	if err := o.Decode(&s); err != nil {
		e.log.WithError(err).WithField("event", "rate_share_unreadable").Error("rate share was not understood; it is left alone")
		return
	}
	t := e.state(o.Name)
	l := e.lease()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.member.Observe(s, o.Version, l, now)
	if t.member.unsettled(now.Sub(t.wanted) < wantedTime, l) {
		e.enqueue(t)
	}
}

func (e *ShareLimiter) reset(objects []objstore.Object, _ int64) {
	for _, o := range objects {
		e.observe(o)
	}
}

func (e *ShareLimiter) apply(event objstore.Event) {
	if event.Type == objstore.EventPut {
		e.observe(event.Object)
	}
}

// ReleaseShares stops admitting and gives every share back, for a graceful stop.
func (e *ShareLimiter) ReleaseShares(ctx context.Context) {
	e.mu.Lock()
	e.stopped = true
	e.mu.Unlock()
	var wg sync.WaitGroup
	slots := make(chan struct{}, releaseHosts)
	for _, t := range e.all() {
		t.mu.Lock()
		home := t.member.HoldsShare()
		t.mu.Unlock()
		if !home {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			e.settle(ctx, t)
			e.keep(ctx, t, true)
		})
	}
	wg.Wait()
}
