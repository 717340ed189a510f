package ratelimit

import (
	"context"
	"time"
)

const (
	// patience is the wait for one peer's answer before the next peer is asked as
	// well. Hosts of different data centres are milliseconds apart; the rest is for
	// a peer that is busy.
	patience = 250 * time.Millisecond
	// askTime bounds one question. An answer within it still counts: a fleet of
	// busy hosts is slow, not cut off.
	askTime = time.Second
)

// answer is what came of one question.
type answer struct {
	gave     float64
	answered bool
	unknown  bool // the peer is not known to be a home host of the team
}

func (e *ShareLimiter) borrowLoop(ctx context.Context) {
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
func (e *ShareLimiter) borrow(ctx context.Context, t *state) {
	e.joinIfNew(ctx, t)
	t.mu.Lock()
	now := time.Now()
	amount, minimum := t.shortage(now)
	candidates := t.candidates(e.self, amount, now)
	t.mu.Unlock()
	if len(candidates) == 0 {
		candidates = e.unknownLenders(t)
	}
	reached, gained := e.askAround(ctx, t, candidates, amount, minimum)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cutOff, t.decided = !reached, true
	now = time.Now()
	served := minimum > 0 && gained >= minimum // those who wait still came during the round
	if !served && t.member.Holding.Available(now) < float64(max(t.waiting, 1)) {
		t.rest(now)
	}
	close(t.round)
	t.round = nil
}

// askAround asks one candidate after another until there is enough, and waits
// for those that have not answered while requests need their tokens. It reports
// whether a home host answered, and the tokens gained.
func (e *ShareLimiter) askAround(ctx context.Context, t *state, candidates []lender, amount, minimum float64) (reached bool, gained float64) {
	answers := make(chan answer, len(candidates))
	open := 0
	take := func(a answer) {
		open--
		gained += a.gave
		reached = reached || a.answered && (!a.unknown || a.gave > 0)
		t.mu.Lock()
		amount, minimum = t.shortage(time.Now())
		t.mu.Unlock()
	}
	for _, c := range candidates {
		if amount <= tolerance {
			break
		}
		open++
		asked, least := amount, minimum
		e.asks.Go(func() {
			gave, answered := e.ask(ctx, t, c.address, asked, least)
			answers <- answer{gave: gave, answered: answered, unknown: c.unknown}
		})
		select {
		case a := <-answers:
			take(a)
		case <-time.After(patience):
		}
	}
	for open > 0 && minimum > tolerance {
		take(<-answers)
	}
	return reached, gained
}

// unknownLenders returns peers to ask when this host does not know the team's
// share: it has started while the platform cannot be reached, and a peer may be a
// home host of the team. One that is not gives nothing.
func (e *ShareLimiter) unknownLenders(t *state) []lender {
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
func (e *ShareLimiter) ask(ctx context.Context, t *state, address string, amount, minimum float64) (gave float64, answered bool) {
	t.mu.Lock()
	t.collect(time.Now())
	due := t.takeDebts(address)
	id := t.member.Holding.RegisterRequest(address, time.Now())
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
func (e *ShareLimiter) settle(ctx context.Context, t *state) {
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

// joinIfNew lets the first requests of a team wait for the team's share. The
// write goes on when they have waited long enough: one that is given up may have
// taken effect, and its tokens would be lost.
func (e *ShareLimiter) joinIfNew(ctx context.Context, t *state) {
	t.mu.Lock()
	l := e.lease()
	joining := t.member.pending || t.member.unsettled(true, l)
	fresh := len(t.member.share.Holders) == 0 && joining && time.Now().Before(l.Until)
	t.mu.Unlock()
	if !fresh {
		return
	}
	joined := make(chan struct{})
	e.asks.Go(func() {
		defer close(joined)
		bounded, cancel := context.WithTimeout(ctx, keepTime)
		defer cancel()
		e.keep(bounded, t, false)
	})
	select {
	case <-joined:
	case <-time.After(joinTime):
	}
}
