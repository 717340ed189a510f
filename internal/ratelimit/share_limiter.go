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
	maxTokenWait        = 250 * time.Millisecond // limit on the wait for the next token, without the duration of borrow rounds
	maxJoinWait         = time.Second            // limit on the wait of a team's first requests for the write of its share
	maxTakeTime         = 5 * time.Second        // limit on the whole of Take; only reached on a host that is out of CPU time
	maxRoundsPerRequest = 8                      // borrow rounds and backoffs that one request waits for
	taskQueueSize       = 1024
	borrowWorkers       = 16
	shareWorkers        = 4
	maintenanceInterval = 500 * time.Millisecond
)

// ShareLimiter is a Limiter that divides each team's rate and burst among hosts
// and borrows tokens from peers when its own part runs short. Run does the
// background work.
type ShareLimiter struct {
	store         objstore.Store
	membership    Membership
	peerClient    PeerClient
	lookupSpec    SpecLookup
	peerAddresses PeerAddresses
	metrics       *Metrics
	log           logrus.FieldLogger
	self          Holder
	started       time.Time

	borrowTasks chan borrowTask // for borrowLoop
	shareTasks  chan *teamState // for shareUpdateLoop
	ended       *endedProcesses
	background  sync.WaitGroup // requests and writes that outlast the borrow round that started them

	mu      sync.RWMutex
	teams   map[string]*teamState
	stopped bool
}

// borrowTask is a unit of work for borrowLoop.
type borrowTask struct {
	team       *teamState
	settleOnly bool // only send the due settlements; borrow nothing
}

// NewShareLimiter returns a limiter without any tokens.
func NewShareLimiter(store objstore.Store, members Membership, client PeerClient, specs SpecLookup, peers PeerAddresses, m *Metrics, log logrus.FieldLogger) *ShareLimiter {
	h := members.Self()
	return &ShareLimiter{
		store: store, membership: members, peerClient: client, lookupSpec: specs, peerAddresses: peers, metrics: m, log: log,
		self:    Holder{Host: h.Name, Incarnation: h.Incarnation, Address: h.PeerAddress, DataCentre: h.DataCentre},
		started: time.Now(), teams: map[string]*teamState{},
		borrowTasks: make(chan borrowTask, taskQueueSize), shareTasks: make(chan *teamState, taskQueueSize), ended: newEndedProcesses(),
	}
}

// Run watches the share objects, updates this host's part of them and borrows
// tokens from peers until ctx is done.
func (sl *ShareLimiter) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { objstore.ListAndWatch(ctx, sl.store, objstore.KindRateShare, sl.reset, sl.apply) })
	wg.Go(func() { sl.maintenanceLoop(ctx) })
	wg.Go(func() { sl.probeLoop(ctx) })
	for range borrowWorkers {
		wg.Go(func() { sl.borrowLoop(ctx) })
	}
	for range shareWorkers {
		wg.Go(func() { sl.shareUpdateLoop(ctx) })
	}
	wg.Wait()
	sl.background.Wait()
}

func (sl *ShareLimiter) lease() Lease {
	epoch, until := sl.membership.Lease()
	return Lease{Epoch: epoch, Until: until}
}

func (sl *ShareLimiter) getOrCreateTeam(name string) *teamState {
	sl.mu.RLock()
	t := sl.teams[name]
	sl.mu.RUnlock()
	if t != nil {
		return t
	}
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if t := sl.teams[name]; t != nil {
		return t
	}
	spec, _ := sl.lookupSpec(name)
	// The random first id keeps the transfer ids of different incarnations apart.
	h := NewHolding(spec.Rate, float64(spec.Burst), rand.Uint64()>>1, time.Now())
	t = &teamState{
		name: name, participant: NewParticipant(sl.self, h), lenders: map[string]*lenderStatus{},
		dueSettlements: map[string][]Settlement{}, writeLock: make(chan struct{}, 1),
	}
	sl.teams[name] = t
	return t
}

func (sl *ShareLimiter) isStopped() bool {
	sl.mu.RLock()
	defer sl.mu.RUnlock()
	return sl.stopped
}

// Take implements Limiter. A request that finds no local token waits a bounded
// time for tokens borrowed from peers.
func (sl *ShareLimiter) Take(ctx context.Context, name string, spec team.Spec) error {
	t := sl.getOrCreateTeam(name)
	if sl.takeLocal(t, spec) {
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
	deadline := time.Now().Add(maxTokenWait)
	ctx, cancel := context.WithTimeout(ctx, maxTakeTime)
	defer cancel()
	for range maxRoundsPerRequest {
		start := time.Now()
		backedOff, ok := sl.awaitTokens(ctx, t, deadline)
		if !ok {
			break
		}
		if !backedOff {
			deadline = deadline.Add(time.Since(start)) // time spent on slow peers does not count as a lack of tokens
		}
		if sl.retryTake(t) {
			return nil
		}
	}
	if sl.retryTake(t) { // tokens may have arrived since the last round ended
		return nil
	}
	return sl.refusalFor(t)
}

// awaitTokens waits for the end of a borrow round or of the backoff between
// rounds, and reports whether it was the backoff. When no token is expected
// before the deadline, it returns ok = false without waiting.
func (sl *ShareLimiter) awaitTokens(ctx context.Context, t *teamState, deadline time.Time) (backedOff, ok bool) {
	done, backoff := sl.joinRound(t)
	if done == nil {
		if backoff <= 0 || time.Now().Add(backoff).After(deadline) {
			return true, false
		}
		timer := time.NewTimer(backoff)
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

// takeLocal takes a token without waiting, and starts a borrow round ahead of
// need when few tokens are left.
func (sl *ShareLimiter) takeLocal(t *teamState, spec team.Spec) bool {
	if sl.isStopped() {
		return false
	}
	l := sl.lease()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.demand.recordRequest(now)
	t.lastRequest = now
	h := t.participant.Holding
	h.RenewLease(l)
	h.SetSpec(spec.Rate, float64(spec.Burst), now)
	ok := h.Take(now)
	if ok && t.shouldBorrowAhead(now) {
		sl.startRound(t)
	}
	return ok
}

func (sl *ShareLimiter) retryTake(t *teamState) bool {
	l := sl.lease()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.participant.Holding.RenewLease(l)
	return t.participant.Holding.Take(time.Now())
}

// joinRound returns a channel that is closed at the end of the current or a new
// borrow round, or the remaining backoff before the next round, or neither when
// more requests are waiting than the backoff can refill tokens for.
func (sl *ShareLimiter) joinRound(t *teamState) (done <-chan struct{}, backoff time.Duration) {
	if sl.isStopped() {
		return nil, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.round != nil {
		return t.round, 0
	}
	if backoff := time.Until(t.backoffUntil); backoff > 0 {
		if float64(t.waiting) > max(1, t.participant.Holding.rate*maxTokenWait.Seconds()) {
			return nil, 0
		}
		return nil, backoff
	}
	return sl.startRound(t), 0
}

// startRound queues a borrow round unless one is in progress. It returns nil
// when the task queue is full. The caller holds the team's mu.
func (sl *ShareLimiter) startRound(t *teamState) <-chan struct{} {
	if t.round != nil {
		return t.round
	}
	done := make(chan struct{})
	select {
	case sl.borrowTasks <- borrowTask{team: t}:
		t.round = done
		return done
	default:
		return nil
	}
}

// refusalFor returns the error for a request that got no token.
func (sl *ShareLimiter) refusalFor(t *teamState) *apierr.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	wait := max(t.backoffUntil.Sub(now), minRoundBackoff)
	if sl.isStopped() {
		return apierr.New(apierr.Unavailable, "this host is stopping", "send again; another host will take it").WithRetryAfter(minRoundBackoff)
	}
	if t.participant.Holding.UsableFraction(now) > 0 || t.roundCompleted && !t.noLenderReached {
		return Refusal(t.name, wait)
	}
	return apierr.Newf(apierr.Unavailable, "send again after the time in Retry-After, or through a host of another data centre",
		"this host holds no share of the rate of team %q and reaches no host that does", t.name).WithRetryAfter(maxRoundBackoff)
}

// Lend handles a peer's borrow request. It keeps the tokens that this host's own
// demand needs within borrowHorizon.
func (sl *ShareLimiter) Lend(ctx context.Context, r BorrowRequest) BorrowReply {
	sl.mu.RLock()
	t := sl.teams[r.Team]
	sl.mu.RUnlock()
	if t == nil {
		return BorrowReply{}
	}
	if r.Amount > 0 {
		t.awaitFirstPart(ctx)
	}
	l := sl.lease()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	h := t.participant.Holding
	h.RenewLease(l)
	for _, s := range r.Settlements {
		h.Settle(s, now)
	}
	var reply BorrowReply
	if r.Amount > 0 {
		t.demand.decay(now)
		keep := t.demand.rate * borrowHorizon.Seconds()
		reply.Transfer, reply.Amount = h.Lend(r.Amount, r.Minimum, keep, now)
		sl.metrics.recordLend(reply.Amount)
	}
	reply.Left, reply.Rate = h.OwnTokens(now), h.RefillRate(now)
	return reply
}
