package ratelimit

import (
	"slices"
	"sync"
	"time"
)

// Policy of borrowing.
const (
	borrowHorizon = 150 * time.Millisecond // demand that one borrowing covers
	lowWater      = 100 * time.Millisecond // demand below which more is borrowed ahead
	returnAge     = 500 * time.Millisecond // age at which unused tokens go back
	lendersAsked  = 4                      // peers asked in one round at most
	avoidTime     = time.Second            // a peer that did not answer is left alone,
	// and twice as long after each further failure, so many times at most
	avoidDoublings = 3
	dryTimeMin     = 50 * time.Millisecond // rest after a round that found nothing
	dryTimeMax     = time.Second
	wantedTime     = time.Minute // a team whose callers came so lately is active here
)

// state is all that this host knows of one team.
type state struct {
	name string

	mu       sync.Mutex
	member   *Participant
	demand   demand
	wanted   time.Time // when a caller last came
	waiting  int       // requests that wait for tokens
	lenders  map[string]*lenderView
	debts    map[string][]Settlement // due, by giver
	dryUntil time.Time               // no peer is expected to have tokens before
	cutOff   bool                    // the last round reached no lender
	decided  bool                    // a round has ended
	round    chan struct{}           // closed at the end of the round that is out
	queued   bool                    // for the keepers

	writing chan struct{} // holds one element while the share is changed
}

// lender is a peer that can be asked.
type lender struct {
	address string
	near    bool
	tokens  float64
	unknown bool // not known to be a home host of the team
}

// candidates returns the home hosts to ask, the best first; the caller holds
// mu. A near one that is expected to have enough comes before a far one.
func (t *state) candidates(self Holder, enough float64, now time.Time) []lender {
	var all []lender
	for _, h := range t.member.share.Holders {
		view := t.lenders[h.Address]
		if h.Address == self.Address || h.Fraction <= 0 || view != nil && now.Before(view.avoid) {
			continue
		}
		tokens := min(view.expected(now), h.Fraction*t.member.Holding.burst)
		all = append(all, lender{address: h.Address, near: h.DataCentre == self.DataCentre, tokens: tokens})
	}
	slices.SortStableFunc(all, func(a, b lender) int {
		if aNear, bNear := a.near && a.tokens >= enough, b.near && b.tokens >= enough; aNear != bNear {
			if aNear {
				return -1
			}
			return 1
		}
		return int(min(max(b.tokens-a.tokens, -1), 1))
	})
	return all[:min(len(all), lendersAsked)]
}

// shortage returns the tokens to borrow and those needed at once; the caller
// holds mu.
func (t *state) shortage(now time.Time) (amount, minimum float64) {
	t.demand.decay(now)
	available := t.member.Holding.Available(now)
	minimum = max(0, float64(t.waiting)-available)
	amount = max(float64(t.waiting), t.demand.rate*borrowHorizon.Seconds()) - available
	return max(amount, minimum), minimum
}

// low reports whether more should be borrowed ahead; the caller holds mu.
func (t *state) low(now time.Time) bool {
	h := t.member.Holding
	if t.demand.rate <= h.RefillRate(now) || now.Before(t.dryUntil) {
		return false
	}
	return h.Available(now) < t.demand.rate*lowWater.Seconds()
}

// collect moves what is due to givers into debts; the caller holds mu.
func (t *state) collect(now time.Time) {
	for _, d := range t.member.Holding.CollectSettlements(now.Add(-returnAge), now) {
		t.debts[d.Giver] = append(t.debts[d.Giver], d.Settlement)
	}
}

// takeDebts returns what is due to a giver and forgets it; the caller holds mu.
func (t *state) takeDebts(giver string) []Settlement {
	due := t.debts[giver]
	delete(t.debts, giver)
	return due
}

// heard takes in the answer of a lender, or that it did not answer; the caller
// holds mu.
func (t *state) heard(address string, r BorrowReply, err error, now time.Time) {
	view := t.lenders[address]
	if view == nil {
		view = &lenderView{}
		t.lenders[address] = view
	}
	view.answered = err == nil
	if err != nil {
		view.avoid = now.Add(avoidTime << min(view.failures, avoidDoublings))
		view.failures++
		return
	}
	view.failures = 0
	view.left, view.rate, view.heard = r.Left, r.Rate, now
}

// rest is called after a round that found too little: no further round starts
// before some lender should have a token; the caller holds mu.
func (t *state) rest(now time.Time) {
	wait := t.ownWait(now)
	for _, h := range t.member.share.Holders {
		view := t.lenders[h.Address]
		if view == nil || !view.answered || view.rate <= 0 {
			continue
		}
		missing := max(0, 1-view.expected(now))
		wait = min(wait, time.Duration(missing/view.rate*float64(time.Second)))
	}
	t.dryUntil = now.Add(max(dryTimeMin, min(wait, dryTimeMax)))
}

// ownWait returns the time until this host has a token of its own; the caller
// holds mu.
func (t *state) ownWait(now time.Time) time.Duration {
	h := t.member.Holding
	refill := h.RefillRate(now)
	if refill <= 0 || h.UsableFraction(now)*h.burst < 1 {
		return dryTimeMax
	}
	return time.Duration(max(0, 1-h.Available(now)) / refill * float64(time.Second))
}

// unsettled reports whether this host has something to write into the share;
// the caller holds mu.
func (m *Participant) unsettled(wanted bool, l Lease) bool {
	if m.pending {
		return false
	}
	i := m.share.Index(m.self.Host, m.self.Incarnation)
	if i < 0 {
		return wanted && (m.version == 0 || m.share.CanJoin(m.self, m.Holding.burst))
	}
	h := m.share.Holders[i]
	if h.Retired || h.Epoch != l.Epoch {
		return true
	}
	missing := m.share.TargetFraction() - h.Fraction
	return missing < -shareStep || missing > shareStep && m.share.FreeFraction() > shareStep
}
