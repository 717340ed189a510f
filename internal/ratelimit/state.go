package ratelimit

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Policy of borrowing.
const (
	borrowHorizon      = 150 * time.Millisecond // demand that one borrow round covers
	lowWatermark       = 100 * time.Millisecond // demand that the tokens at hand must cover; below it the host borrows ahead
	maxUnusedAge       = 500 * time.Millisecond // age at which unused borrowed tokens are returned
	maxLendersPerRound = 4
	lenderBackoff      = time.Second // after the first failed request to a lender; doubles with each further one
	// maxLenderBackoffDoublings limits the growth of lenderBackoff.
	maxLenderBackoffDoublings = 3
	minRoundBackoff           = 50 * time.Millisecond // after a borrow round that gained too little
	maxRoundBackoff           = time.Second
	activeTeamWindow          = time.Minute // time after its last request for which a team is active on this host
)

// teamState is this host's state of one team.
type teamState struct {
	name string

	mu              sync.Mutex
	participant     *Participant
	demand          demand
	lastRequest     time.Time // arrival of the last request at this host
	waiting         int       // requests waiting for tokens
	lenders         map[string]*lenderStatus
	dueSettlements  map[string][]Settlement // not yet sent, by lender address
	backoffUntil    time.Time               // no borrow round starts before this time
	noLenderReached bool                    // in the last round
	roundCompleted  bool                    // at least once
	round           chan struct{}           // closed at the end of the current round; nil without one
	updateQueued    bool                    // in shareTasks
	writeEnded      chan struct{}           // closed at the end of the write in flight; nil without one

	writeLock chan struct{} // mutex as a channel, so that waiting for it ends with a context
}

// lender is a candidate for a borrow request.
type lender struct {
	address        string
	sameDataCentre bool
	tokens         float64
	unverified     bool // not known to hold a part of the team's share
}

// candidates returns the share holders to borrow from, the best first: holders of
// the same data centre that are expected to have enough tokens, then all others
// by expected tokens. The caller holds mu.
func (t *teamState) candidates(self Holder, enough float64, now time.Time) []lender {
	var all []lender
	for _, h := range t.participant.Holders() {
		status := t.lenders[h.Address]
		if h.Address == self.Address || h.Fraction <= 0 || status != nil && now.Before(status.avoidUntil) {
			continue
		}
		tokens := min(status.expectedTokens(now), h.Fraction*t.participant.Holding.burst)
		all = append(all, lender{address: h.Address, sameDataCentre: h.DataCentre == self.DataCentre, tokens: tokens})
	}
	slices.SortStableFunc(all, func(a, b lender) int {
		if aPreferred, bPreferred := a.sameDataCentre && a.tokens >= enough, b.sameDataCentre && b.tokens >= enough; aPreferred != bPreferred {
			if aPreferred {
				return -1
			}
			return 1
		}
		return int(min(max(b.tokens-a.tokens, -1), 1))
	})
	return all[:min(len(all), maxLendersPerRound)]
}

// endWrite reports the end of the write in flight to those that wait for it. The
// caller holds mu.
func (t *teamState) endWrite() {
	close(t.writeEnded)
	t.writeEnded = nil
}

// awaitFirstPart waits for the end of a write in flight while this host has no
// usable part. Peers may see the part that the write adds before the write
// returns, and would take a reply without tokens for an exhausted rate.
func (t *teamState) awaitFirstPart(ctx context.Context) {
	t.mu.Lock()
	ended := t.writeEnded
	usable := t.participant.Holding.UsableFraction(time.Now())
	t.mu.Unlock()
	if ended == nil || usable > 0 {
		return
	}
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// shortage returns the tokens to borrow, and how many of them waiting requests
// need now. The caller holds mu.
func (t *teamState) shortage(now time.Time) (amount, minimum float64) {
	t.demand.decay(now)
	available := t.participant.Holding.Available(now)
	minimum = max(0, float64(t.waiting)-available)
	amount = max(float64(t.waiting), t.demand.rate*borrowHorizon.Seconds()) - available
	return max(amount, minimum), minimum
}

// shouldBorrowAhead reports whether the tokens at hand cover less demand than
// lowWatermark, so that the host borrows before it runs out. The caller holds mu.
func (t *teamState) shouldBorrowAhead(now time.Time) bool {
	h := t.participant.Holding
	if t.demand.rate <= h.RefillRate(now) || now.Before(t.backoffUntil) {
		return false
	}
	return h.Available(now) < t.demand.rate*lowWatermark.Seconds()
}

// collectSettlements moves the settlements of spent and unused transfers into
// dueSettlements. The caller holds mu.
func (t *teamState) collectSettlements(now time.Time) {
	for _, d := range t.participant.Holding.CollectSettlements(now.Add(-maxUnusedAge), now) {
		t.dueSettlements[d.Lender] = append(t.dueSettlements[d.Lender], d.Settlement)
	}
}

// takeSettlements removes and returns the settlements due to a lender. The caller
// holds mu.
func (t *teamState) takeSettlements(lender string) []Settlement {
	due := t.dueSettlements[lender]
	delete(t.dueSettlements, lender)
	return due
}

// recordReply updates the status of a lender after a request, and backs off from
// one that did not reply. The caller holds mu.
func (t *teamState) recordReply(address string, r BorrowReply, err error, now time.Time) {
	status := t.lenders[address]
	if status == nil {
		status = &lenderStatus{}
		t.lenders[address] = status
	}
	status.replied = err == nil
	if err != nil {
		status.avoidUntil = now.Add(lenderBackoff << min(status.failures, maxLenderBackoffDoublings))
		status.failures++
		return
	}
	status.failures = 0
	status.tokens, status.refillRate, status.repliedAt = r.Left, r.Rate, now
}

// backOff delays the next borrow round until this host or a lender is expected to
// have a token. The caller holds mu.
func (t *teamState) backOff(self Holder, now time.Time) {
	wait := t.timeToOwnToken(now)
	for _, h := range t.participant.Holders() {
		if h.Address != self.Address && h.Fraction > 0 {
			wait = min(wait, t.lenders[h.Address].timeToToken(now))
		}
	}
	t.backoffUntil = now.Add(max(minRoundBackoff, min(wait, maxRoundBackoff)))
}

// timeToOwnToken returns the time until this host's own refill yields a token.
// The caller holds mu.
func (t *teamState) timeToOwnToken(now time.Time) time.Duration {
	h := t.participant.Holding
	refill := h.RefillRate(now)
	if refill <= 0 || h.UsableFraction(now)*h.burst < 1 {
		return maxRoundBackoff
	}
	return time.Duration(max(0, 1-h.Available(now)) / refill * float64(time.Second))
}

// needsWrite reports whether this host has a change to write to the share object.
func (m *Participant) needsWrite(hasDemand bool, l Lease) bool {
	if m.writePending {
		return false
	}
	i := m.share.Index(m.self.Host, m.self.Incarnation)
	if i < 0 {
		return hasDemand && (m.version == 0 || m.share.CanJoin(m.self, m.Holding.burst))
	}
	h := m.share.Holders[i]
	if h.Retired || h.Epoch != l.Epoch {
		return true
	}
	missing := m.share.TargetFraction() - h.Fraction
	return missing < -minFractionChange || missing > minFractionChange && m.share.FreeFraction() > minFractionChange
}
