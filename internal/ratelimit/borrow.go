package ratelimit

import (
	"context"
	"time"
)

// askTime bounds one question to a peer. Hosts of different data centres are
// milliseconds apart; the rest is for a peer that is busy.
const askTime = 250 * time.Millisecond

func (e *Escrow) borrowLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-e.rounds:
			if w.settle {
				e.settle(ctx, w.team)
				continue
			}
			e.borrow(ctx, w.team)
		}
	}
}

// borrow does one round: it asks the home hosts until there is enough.
func (e *Escrow) borrow(ctx context.Context, t *state) {
	e.joinIfNew(ctx, t)
	t.mu.Lock()
	now := time.Now()
	amount, minimum := t.shortage(now)
	candidates := t.candidates(e.self, amount, now)
	t.mu.Unlock()
	if len(candidates) == 0 {
		candidates = e.unknownLenders(t)
	}
	reached := false
	for _, c := range candidates {
		if amount <= tolerance {
			break
		}
		gave, answered := e.ask(ctx, t, c.address, amount, minimum)
		reached = reached || answered && (!c.unknown || gave > 0)
		t.mu.Lock()
		amount, minimum = t.shortage(time.Now())
		t.mu.Unlock()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cutOff = !reached
	now = time.Now()
	if t.member.Holding.Available(now) < float64(max(t.waiting, 1)) {
		t.rest(now)
	}
	close(t.round)
	t.round = nil
}

// unknownLenders returns peers to ask when this host does not know the team's
// share: it has started while the platform cannot be reached, and a peer may be a
// home host of the team. One that is not gives nothing.
func (e *Escrow) unknownLenders(t *state) []lender {
	t.mu.Lock()
	known := len(t.member.share.Holders) > 0
	t.mu.Unlock()
	if known {
		return nil
	}
	var all []lender
	for _, address := range e.peers(lendersAsked) {
		all = append(all, lender{address: address, unknown: true})
	}
	return all
}

// ask asks one peer, and returns what it gave and whether it answered.
func (e *Escrow) ask(ctx context.Context, t *state, address string, amount, minimum float64) (gave float64, answered bool) {
	t.mu.Lock()
	t.collect(time.Now())
	due := t.takeDebts(address)
	id := t.member.Holding.Ask(address, time.Now())
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	reply, err := e.exchange.Borrow(ctx, address, BorrowRequest{Team: t.name, Amount: amount, Minimum: minimum, Settlements: due})
	e.metrics.asked(reply.Amount, err)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.heard(address, reply, err, now)
	if err != nil {
		return 0, false
	}
	t.member.Holding.AddBorrowed(id, reply.Transfer, reply.Amount, now)
	return reply.Amount, true
}

// settle tells givers what has been used and gives back the rest.
func (e *Escrow) settle(ctx context.Context, t *state) {
	t.mu.Lock()
	t.collect(time.Now())
	debts := t.debts
	t.debts = map[string][]Settlement{}
	t.mu.Unlock()
	for address, due := range debts {
		bounded, cancel := context.WithTimeout(ctx, askTime)
		reply, err := e.exchange.Borrow(bounded, address, BorrowRequest{Team: t.name, Settlements: due})
		cancel()
		e.metrics.asked(0, err)
		t.mu.Lock()
		t.heard(address, reply, err, time.Now())
		t.mu.Unlock()
	}
}

// joinIfNew lets the first request of a team wait for the team's share.
func (e *Escrow) joinIfNew(ctx context.Context, t *state) {
	t.mu.Lock()
	l := e.lease()
	fresh := len(t.member.share.Holders) == 0 && t.member.unsettled(true, l) && time.Now().Before(l.Until)
	t.mu.Unlock()
	if !fresh {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, waitTime)
	defer cancel()
	e.keep(ctx, t, false)
}
