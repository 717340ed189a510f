package ratelimit

import (
	"context"
	"time"
)

const (
	// hedgeDelay is the wait for one peer's reply before a request to the next peer
	// is sent in parallel. The round trip between data centres takes milliseconds;
	// the rest allows for a busy peer.
	hedgeDelay = 250 * time.Millisecond
	// borrowTimeout bounds one request. It is longer than hedgeDelay because the
	// late reply of a busy peer still counts; the peer is slow, not partitioned.
	borrowTimeout = time.Second
)

// borrowResult is the outcome of one request to a lender.
type borrowResult struct {
	amount     float64
	replied    bool
	unverified bool // the peer is not known to hold a part of the team's share
}

func (sl *ShareLimiter) borrowLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-sl.borrowTasks:
			if task.settleOnly {
				sl.sendSettlements(ctx, task.team)
				continue
			}
			sl.runBorrowRound(ctx, task.team)
		}
	}
}

// runBorrowRound borrows from lenders until the shortage is covered, and backs off
// when requests are still short of tokens afterwards.
func (sl *ShareLimiter) runBorrowRound(ctx context.Context, t *teamState) {
	sl.joinIfNew(ctx, t)
	t.mu.Lock()
	now := time.Now()
	amount, minimum := t.shortage(now)
	candidates := t.candidates(sl.self, amount, now)
	t.mu.Unlock()
	if len(candidates) == 0 {
		candidates = sl.fallbackLenders(t)
	}
	reached, gained := sl.borrowFrom(ctx, t, candidates, amount, minimum)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noLenderReached, t.roundCompleted = !reached, true
	now = time.Now()
	served := minimum > 0 && gained >= minimum // the requests that are still waiting arrived during the round
	if !served && t.participant.Holding.Available(now) < float64(max(t.waiting, 1)) {
		t.backOff(sl.self, now)
	}
	close(t.round)
	t.round = nil
}

// borrowFrom sends hedged requests to the candidates until the shortage is
// covered, then waits for outstanding replies as long as requests need their
// tokens. It reports whether a holder of the share replied, and the tokens gained.
func (sl *ShareLimiter) borrowFrom(ctx context.Context, t *teamState, candidates []lender, amount, minimum float64) (reached bool, gained float64) {
	results := make(chan borrowResult, len(candidates))
	outstanding := 0
	collect := func(r borrowResult) {
		outstanding--
		gained += r.amount
		reached = reached || r.replied && (!r.unverified || r.amount > 0)
		t.mu.Lock()
		amount, minimum = t.shortage(time.Now())
		t.mu.Unlock()
	}
	for _, c := range candidates {
		if amount <= tolerance {
			break
		}
		outstanding++
		wantedAmount, wantedMinimum := amount, minimum
		sl.background.Go(func() {
			lent, replied := sl.requestTokens(ctx, t, c.address, wantedAmount, wantedMinimum)
			results <- borrowResult{amount: lent, replied: replied, unverified: c.unverified}
		})
		select {
		case r := <-results:
			collect(r)
		case <-time.After(hedgeDelay):
		}
	}
	for outstanding > 0 && minimum > tolerance {
		collect(<-results)
	}
	return reached, gained
}

// fallbackLenders returns peers to try when this host does not know the team's
// share because it started while the platform was unreachable. A peer that does
// not hold a part of the share lends nothing.
func (sl *ShareLimiter) fallbackLenders(t *teamState) []lender {
	t.mu.Lock()
	known := len(t.participant.Holders()) > 0
	t.mu.Unlock()
	if known {
		return nil
	}
	var all []lender
	for _, address := range sl.peerAddresses(maxLendersPerRound) {
		all = append(all, lender{address: address, unverified: true})
	}
	return all
}

// requestTokens sends one borrow request, with the settlements due to the same
// lender, and returns the tokens lent and whether the lender replied.
func (sl *ShareLimiter) requestTokens(ctx context.Context, t *teamState, address string, amount, minimum float64) (lent float64, replied bool) {
	t.mu.Lock()
	t.collectSettlements(time.Now())
	due := t.takeSettlements(address)
	id := t.participant.Holding.RegisterRequest(address, time.Now())
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	reply, err := sl.peerClient.Borrow(ctx, address, BorrowRequest{Team: t.name, Amount: amount, Minimum: minimum, Settlements: due})
	sl.metrics.recordBorrow(reply.Amount, err)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.recordReply(address, reply, err, now)
	if err != nil {
		return 0, false
	}
	t.participant.Holding.AddBorrowed(id, reply.Transfer, reply.Amount, now)
	return reply.Amount, true
}

// sendSettlements returns unused tokens to their lenders and ends the transfers.
func (sl *ShareLimiter) sendSettlements(ctx context.Context, t *teamState) {
	t.mu.Lock()
	t.collectSettlements(time.Now())
	byLender := t.dueSettlements
	t.dueSettlements = map[string][]Settlement{}
	t.mu.Unlock()
	for address, due := range byLender {
		bounded, cancel := context.WithTimeout(ctx, borrowTimeout)
		reply, err := sl.peerClient.Borrow(bounded, address, BorrowRequest{Team: t.name, Settlements: due})
		cancel()
		sl.metrics.recordBorrow(0, err)
		t.mu.Lock()
		t.recordReply(address, reply, err, time.Now())
		t.mu.Unlock()
	}
}

// joinIfNew makes the first requests of a team wait up to maxJoinWait for the write
// that creates the team's share or joins it. The write continues after that
// wait: an abandoned write may have taken effect, and its tokens would be lost.
func (sl *ShareLimiter) joinIfNew(ctx context.Context, t *teamState) {
	t.mu.Lock()
	l := sl.lease()
	joining := t.participant.writePending || t.participant.needsWrite(true, l)
	isNew := len(t.participant.share.Holders) == 0 && joining && time.Now().Before(l.Until)
	t.mu.Unlock()
	if !isNew {
		return
	}
	joined := make(chan struct{})
	sl.background.Go(func() {
		defer close(joined)
		bounded, cancel := context.WithTimeout(ctx, shareUpdateTimeout)
		defer cancel()
		sl.updateShare(bounded, t, false)
	})
	select {
	case <-joined:
	case <-time.After(maxJoinWait):
	}
}
