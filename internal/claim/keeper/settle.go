package keeper

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/claim"
)

const (
	pendingSize   = 4096
	settleRetry   = time.Second
	settleBound   = 5 * time.Second
	retention     = 24 * time.Hour
	sweepInterval = 30 * time.Second
	sweepPrefixes = 1 << 12 // three hexadecimal digits
	sweepDeletes  = 200     // claims deleted in one step
)

// settlement is a claim that is still to be written.
type settlement struct {
	name string
	want claim.Claim
}

func (k *Keeper) enqueue(s settlement) {
	select {
	case k.pending <- s:
	default:
		k.forget(s.want.Attempt)
		k.log.WithFields(logrus.Fields{"event": "claim_unsettled", "claim": s.name}).
			Warn("too many claims wait for the platform; this one ends as unknown")
	}
}

// Run settles unfinished writes and deletes expired claims until ctx is done.
// It tries once more at the end.
func (k *Keeper) Run(ctx context.Context) {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	step := 0
	for {
		select {
		case <-ctx.Done():
			k.settleRest()
			return
		case s := <-k.pending:
			k.settleUntil(ctx, s)
		case now := <-sweep.C:
			k.sweep(ctx, step, now)
			step++
		}
	}
}

func (k *Keeper) settleUntil(ctx context.Context, s settlement) {
	for !k.settle(ctx, s) {
		timer := time.NewTimer(settleRetry)
		select {
		case <-ctx.Done():
			timer.Stop()
			k.enqueue(s)
			return
		case <-timer.C:
		}
	}
}

func (k *Keeper) settleRest() {
	ctx, cancel := context.WithTimeout(context.Background(), settleBound)
	defer cancel()
	for ctx.Err() == nil {
		select {
		case s := <-k.pending:
			k.settle(ctx, s)
		default:
			return
		}
	}
}

// settle writes the end of an attempt if its claim still stands, and reports
// whether nothing is left to do. A claim that is absent is created as it ends,
// so that a late copy of the first write finds the name taken.
func (k *Keeper) settle(ctx context.Context, s settlement) bool {
	ctx, cancel := context.WithTimeout(ctx, settleBound)
	defer cancel()
	found, err := k.repo.Get(ctx, s.name)
	switch {
	case errors.Is(err, claim.ErrNotFound):
		_, err = k.repo.Create(ctx, s.name, s.want)
	case err != nil:
		return false
	case found.Attempt == s.want.Attempt && found.State == claim.Running:
		_, err = k.repo.Update(ctx, s.name, found.Version, s.want)
	case found.Attempt != s.want.Attempt && found.State == claim.Released:
		// A new version makes a late copy of the takeover fail its condition.
		_, err = k.repo.Update(ctx, s.name, found.Version, found.Claim)
	default:
		err = nil // another attempt holds it, or it is written
	}
	if err != nil {
		return false
	}
	k.forget(s.want.Attempt)
	return true
}

// sweep deletes the expired claims of one prefix. The hosts share the prefixes.
func (k *Keeper) sweep(ctx context.Context, step int, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, settleBound)
	defer cancel()
	members := k.feed.Members()
	share := 0
	for i, m := range members {
		if m.Name == k.feed.Self().Name {
			share = i
		}
	}
	prefix := fmt.Sprintf("%03x", (step*len(members)+share)%sweepPrefixes)
	claims, err := k.repo.List(ctx, prefix)
	if err != nil {
		return
	}
	deleted := 0
	for _, c := range claims {
		if deleted < sweepDeletes && c.Expired(now, retention) && k.repo.Delete(ctx, c.Name, c.Version) == nil {
			deleted++
		}
	}
}
