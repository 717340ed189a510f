package ratelimit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/internal/team"
)

const (
	waitTime     = 250 * time.Millisecond // a request waits so long for a token that is due
	joinTime     = time.Second            // a team's first requests wait so long for its share to be written
	answerTime   = 5 * time.Second        // bounds a request's wait; rounds of questions end sooner, but on a host out of processor time
	roundsWaited = 8                      // rounds that one request waits for at most
	ringSize     = 1024
	borrowers    = 16
	keepers      = 4
	tickInterval = 500 * time.Millisecond
)

// ShareLimiter is the Limiter of a host whose teams' rates are divided among hosts.
// Run does its duties.
type ShareLimiter struct {
	store    objstore.Store
	members  Membership
	exchange PeerClient
	specs    SpecLookup
	peers    PeerAddresses
	metrics  *Metrics
	log      logrus.FieldLogger
	self     Holder
	started  time.Time

	rounds  chan errand // for the borrowers
	keeping chan *state // for the keepers
	endings *endings
	asks    sync.WaitGroup // questions and writes that outlast the round that began them

	mu      sync.RWMutex
	teams   map[string]*state
	stopped bool
}

// errand is work for a borrower.
type errand struct {
	team   *state
	settle bool // only give back what is due
}

// NewShareLimiter returns a limiter that holds nothing yet.
func NewShareLimiter(store objstore.Store, members Membership, exchange PeerClient, specs SpecLookup, peers PeerAddresses, m *Metrics, log logrus.FieldLogger) *ShareLimiter {
	h := members.Self()
	return &ShareLimiter{
		store: store, members: members, exchange: exchange, specs: specs, peers: peers, metrics: m, log: log,
		self:    Holder{Host: h.Name, Incarnation: h.Incarnation, Address: h.PeerAddress, DataCentre: h.DataCentre},
		started: time.Now(), teams: map[string]*state{},
		rounds: make(chan errand, ringSize), keeping: make(chan *state, ringSize), endings: newEndings(),
	}
}

// Run does the limiter's duties until ctx is done: it follows the shares, keeps
// this host's part of them, and moves tokens between hosts.
func (e *ShareLimiter) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { objstore.Follow(ctx, e.store, objstore.KindRateShare, e.reset, e.apply) })
	wg.Go(func() { e.tickLoop(ctx) })
	wg.Go(func() { e.probeLoop(ctx) })
	for range borrowers {
		wg.Go(func() { e.borrowLoop(ctx) })
	}
	for range keepers {
		wg.Go(func() { e.keepLoop(ctx) })
	}
	wg.Wait()
	e.asks.Wait()
}

func (e *ShareLimiter) lease() Lease {
	epoch, until := e.members.Lease()
	return Lease{Epoch: epoch, Until: until}
}

// state returns what is known of a team, and begins to know it if need be.
func (e *ShareLimiter) state(name string) *state {
	e.mu.RLock()
	t := e.teams[name]
	e.mu.RUnlock()
	if t != nil {
		return t
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if t := e.teams[name]; t != nil {
		return t
	}
	spec, _ := e.specs(name)
	// Ids of different incarnations must differ.
	h := NewHolding(spec.Rate, float64(spec.Burst), rand.Uint64()>>1, time.Now())
	t = &state{
		name: name, member: NewParticipant(e.self, h), lenders: map[string]*lenderView{},
		debts: map[string][]Settlement{}, writing: make(chan struct{}, 1),
	}
	e.teams[name] = t
	return t
}

func (e *ShareLimiter) isStopped() bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.stopped
}

// Take implements Limiter. A request that finds no token here waits a bounded
// time for those of peers.
func (e *ShareLimiter) Take(ctx context.Context, name string, spec team.Spec) error {
	t := e.state(name)
	if e.takeHere(t, spec) {
		return nil
	}
	t.mu.Lock()
	t.waiting++
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.waiting--
		t.mu.Unlock()
	}()
	deadline := time.Now().Add(waitTime)
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	for range roundsWaited {
		began := time.Now()
		resting, ok := e.await(ctx, t, deadline)
		if !ok {
			break
		}
		if !resting {
			deadline = deadline.Add(time.Since(began)) // slow peers are not a lack of tokens
		}
		if e.retake(t) {
			return nil
		}
	}
	if e.retake(t) { // tokens may have come since the last round ended
		return nil
	}
	return e.refuse(t)
}

// await waits until a round of borrowing has ended, or until tokens are
// expected, and reports which. It returns false at once when no token is
// expected before the deadline.
func (e *ShareLimiter) await(ctx context.Context, t *state, deadline time.Time) (resting, ok bool) {
	done, rest := e.startRound(t)
	if done == nil {
		if rest <= 0 || time.Now().Add(rest).After(deadline) {
			return true, false
		}
		timer := time.NewTimer(rest)
		defer timer.Stop()
		select {
		case <-timer.C:
			return true, true
		case <-ctx.Done():
			return true, false
		}
	}
	select {
	case <-done:
		return false, true
	case <-ctx.Done():
		return false, false
	}
}

// takeHere takes a token that this host has, and has more borrowed ahead when
// few are left.
func (e *ShareLimiter) takeHere(t *state, spec team.Spec) bool {
	if e.isStopped() {
		return false
	}
	l := e.lease()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.demand.add(now)
	t.wanted = now
	h := t.member.Holding
	h.RenewLease(l)
	h.SetSpec(spec.Rate, float64(spec.Burst), now)
	ok := h.Take(now)
	if ok && t.low(now) {
		e.beginRound(t)
	}
	return ok
}

func (e *ShareLimiter) retake(t *state) bool {
	l := e.lease()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.member.Holding.RenewLease(l)
	return t.member.Holding.Take(time.Now())
}

// startRound returns the end of a round of borrowing that can help, or the time
// until one can, or neither when too many requests wait already.
func (e *ShareLimiter) startRound(t *state) (done <-chan struct{}, rest time.Duration) {
	if e.isStopped() {
		return nil, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.round != nil {
		return t.round, 0
	}
	if rest := time.Until(t.dryUntil); rest > 0 {
		if float64(t.waiting) > max(1, t.member.Holding.rate*waitTime.Seconds()) {
			return nil, 0
		}
		return nil, rest
	}
	return e.beginRound(t), 0
}

// beginRound hands a round to the borrowers unless one is out; the caller holds
// the team's mu. A full ring gives nil.
func (e *ShareLimiter) beginRound(t *state) <-chan struct{} {
	if t.round != nil {
		return t.round
	}
	done := make(chan struct{})
	select {
	case e.rounds <- errand{team: t}:
		t.round = done
		return done
	default:
		return nil
	}
}

// refuse returns the refusal of a request that found no token.
func (e *ShareLimiter) refuse(t *state) *apierr.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	wait := max(t.dryUntil.Sub(now), dryTimeMin)
	if e.isStopped() {
		return apierr.New(apierr.Unavailable, "this host is stopping", "send again; another host will take it").WithRetryAfter(dryTimeMin)
	}
	if t.member.Holding.UsableFraction(now) > 0 || t.decided && !t.cutOff {
		return Refusal(t.name, wait)
	}
	return apierr.Newf(apierr.Unavailable, "send again after the time in Retry-After, or through a host of another data centre",
		"this host holds no share of the rate of team %q and reaches no host that does", t.name).WithRetryAfter(dryTimeMax)
}

// Lend answers a peer that asks for tokens.
func (e *ShareLimiter) Lend(r BorrowRequest) BorrowReply {
	e.mu.RLock()
	t := e.teams[r.Team]
	e.mu.RUnlock()
	if t == nil {
		return BorrowReply{}
	}
	l := e.lease()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	h := t.member.Holding
	h.RenewLease(l)
	for _, s := range r.Settlements {
		h.Settle(s, now)
	}
	var reply BorrowReply
	if r.Amount > 0 {
		t.demand.decay(now)
		keep := t.demand.rate * borrowHorizon.Seconds()
		reply.Transfer, reply.Amount = h.Lend(r.Amount, r.Minimum, keep, now)
		e.metrics.lent(reply.Amount)
	}
	reply.Left, reply.Rate = h.OwnTokens(now), h.RefillRate(now)
	return reply
}
