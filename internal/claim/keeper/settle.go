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
	maxPending          = 4096 // queued writes
	settleRetryInterval = time.Second
	settleTimeout       = 5 * time.Second
	retention           = 24 * time.Hour
	sweepInterval       = 30 * time.Second
	sweepPrefixes       = 1 << 12 // three hexadecimal digits
	maxSweepDeletes     = 200     // claims per sweep
)

// pendingWrite is the final state of a claim that is not yet written.
type pendingWrite struct {
	name  string
	claim claim.Claim
}

func (k *Keeper) enqueue(s pendingWrite) {
	select {
	case k.pending <- s:
	default:
		k.clearPhase(s.claim.Attempt)
		k.log.WithFields(logrus.Fields{"event": "claim_unsettled", "claim": s.name}).
			Warn("queue of pending claim writes is full; the outcome of this claim remains unknown")
	}
}

// Run settles pending writes and deletes expired claims until ctx is done. On
// shutdown Run tries each remaining write once more.
func (k *Keeper) Run(ctx context.Context) {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	step := 0
	for {
		select {
		case <-ctx.Done():
			k.settlePending()
			return
		case s := <-k.pending:
			k.settleWithRetry(ctx, s)
		case now := <-sweep.C:
			k.sweep(ctx, step, now)
			step++
		}
	}
}

func (k *Keeper) settleWithRetry(ctx context.Context, s pendingWrite) {
	for !k.settle(ctx, s) {
		timer := time.NewTimer(settleRetryInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			k.enqueue(s)
			return
		case <-timer.C:
		}
	}
}

func (k *Keeper) settlePending() {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
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

// settle writes the final state of an attempt if the attempt still holds its claim,
// and reports whether the write is complete. An absent claim is created in its
// final state, so that a delayed copy of the first write fails with a conflict.
func (k *Keeper) settle(ctx context.Context, s pendingWrite) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	found, err := k.repo.Get(ctx, s.name)
	switch {
	case errors.Is(err, claim.ErrNotFound):
		_, err = k.repo.Create(ctx, s.name, s.claim)
	case err != nil:
		return false
	case found.Attempt == s.claim.Attempt && found.State == claim.Running:
		_, err = k.repo.Update(ctx, s.name, found.Version, s.claim)
	case found.Attempt != s.claim.Attempt && found.State == claim.Released:
		// The rewrite raises the version, so that a delayed copy of the takeover
		// fails with a conflict.
		_, err = k.repo.Update(ctx, s.name, found.Version, found.Claim)
	default:
		err = nil // another attempt holds the claim, or the final state is already written
	}
	if err != nil {
		return false
	}
	k.clearPhase(s.claim.Attempt)
	return true
}

// sweep deletes the expired claims of one name prefix. The prefixes are divided
// among the hosts.
func (k *Keeper) sweep(ctx context.Context, step int, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	members := k.members.Members()
	index := 0
	for i, m := range members {
		if m.Name == k.members.Self().Name {
			index = i
		}
	}
	prefix := fmt.Sprintf("%03x", (step*len(members)+index)%sweepPrefixes)
	claims, err := k.repo.List(ctx, prefix)
	if err != nil {
		return
	}
	deleted := 0
	for _, c := range claims {
		if deleted < maxSweepDeletes && c.Expired(now, retention) && k.repo.Delete(ctx, c.Name, c.Version) == nil {
			deleted++
		}
	}
}
