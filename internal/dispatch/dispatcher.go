package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/telemetry"
	"github.com/masticscale/masticscale/internal/upstream"
)

const (
	maxAttempts  = 3
	probeTimeout = 2 * time.Second

	abandonedCheckDelay = 100 * time.Millisecond // from the end of an attempt by its caller to the check of its upstream
	retryInterval       = 50 * time.Millisecond
	maxRetryWait        = 2 * time.Second
)

// ErrPreempted is returned by a batch attempt, or by reading its response, after
// an online request has taken its slot. The item has no result and must be run
// again.
var ErrPreempted = errors.New("batch request was preempted by an online request")

// Request is an admitted request.
type Request struct {
	Team    string
	Service string
	Class   Class
	Call    upstream.Call
	// FailedAt is the upstream that failed an earlier run of the request. It is used
	// only if no other upstream has room.
	FailedAt upstream.ID
	// RunTimeout limits the time from the grant of the slot to the end of the response.
	// Zero means no limit.
	RunTimeout time.Duration
}

// mayBeQuarantined reports whether crashes count against the request. They don't count
// against a batch request: it is an item of a job and owed until the job's deadline.
func (r Request) mayBeQuarantined() bool { return r.Class != Batch }

// AttemptError is the cause of a failed attempt.
type AttemptError struct {
	Upstream upstream.ID
	Cause    error
}

// Error implements error.
func (e *AttemptError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// Dispatcher runs requests at upstreams, with retries.
type Dispatcher struct {
	pool     *Pool
	engine   upstream.Engine
	suspects *Suspects
	budget   *retryBudget
	metrics  *telemetry.Metrics
}

func NewDispatcher(pool *Pool, engine upstream.Engine, suspects *Suspects, metrics *telemetry.Metrics) *Dispatcher {
	return &Dispatcher{pool: pool, engine: engine, suspects: suspects, budget: newRetryBudget(), metrics: metrics}
}

// requestState is a request with the state that its attempts share.
type requestState struct {
	Request
	fingerprint Fingerprint
	avoid       map[upstream.ID]bool
}

// CheckQuarantine returns an error if the request is quarantined.
func (d *Dispatcher) CheckQuarantine(req Request) error {
	if d.level(d.newState(req)) == Quarantined {
		return quarantinedError()
	}
	return nil
}

func (d *Dispatcher) newState(req Request) *requestState {
	r := &requestState{Request: req, avoid: map[upstream.ID]bool{}}
	if req.mayBeQuarantined() {
		r.fingerprint = FingerprintOf(d.suspects.key, req)
	}
	return r
}

// level returns the request's level of suspicion.
func (d *Dispatcher) level(r *requestState) Level {
	if !r.mayBeQuarantined() {
		return Clear
	}
	return d.suspects.State(r.fingerprint)
}

// suspect records that an upstream died while running the request.
func (d *Dispatcher) suspect(ctx context.Context, r *requestState) {
	if r.mayBeQuarantined() {
		d.suspects.Suspect(ctx, r.fingerprint)
	}
}

// Do runs the request in the reserved slot and retries a failed attempt at
// another upstream if a retry is safe. A request whose upstream died is retried
// only alone, as a trial. A batch request that may have run is left to its caller,
// which runs it again after a pause.
func (d *Dispatcher) Do(ctx context.Context, req Request, slot *Slot) (*Response, error) {
	if req.RunTimeout == 0 {
		return d.do(ctx, req, slot)
	}
	ctx, cancel := context.WithTimeout(ctx, req.RunTimeout)
	response, err := d.do(ctx, req, slot)
	if err != nil {
		cancel()
		return nil, err
	}
	endAttempt := response.cancel
	response.cancel = func() {
		endAttempt()
		cancel()
	}
	return response, nil
}

func (d *Dispatcher) do(ctx context.Context, req Request, slot *Slot) (*Response, error) {
	r := d.newState(req)
	d.budget.deposit()
	switch d.level(r) {
	case Quarantined:
		slot.Release(false)
		return nil, quarantinedError()
	case Suspected:
		slot.Release(false)
		return d.runAlone(ctx, r, slot.onSettle)
	}
	slot = d.preferOther(r, slot)
	for attempt := 1; ; attempt++ {
		response, err := d.attempt(ctx, r, slot, attempt)
		if err == nil {
			return response, nil
		}
		if slot.Preempted() {
			slot.Release(false)
			return nil, ErrPreempted
		}
		failure := classify(ctx, &AttemptError{Upstream: slot.ID, Cause: err})
		died := d.handleFailure(ctx, r, slot, failure)
		switch {
		case !d.mayRetry(ctx, r, failure, attempt):
			slot.Settle(0)
			return nil, failure
		case died:
			return d.runAlone(ctx, r, slot.onSettle)
		}
		next, ok := d.reserveForRetry(ctx, r)
		if !ok {
			slot.Settle(0)
			return nil, failure
		}
		next.onSettle = slot.onSettle
		slot = next
	}
}

// preferOther returns the slot, or one at another upstream if the slot's upstream has
// failed the request before and another one has room.
func (d *Dispatcher) preferOther(r *requestState, slot *Slot) *Slot {
	if slot.ID != r.FailedAt {
		return slot
	}
	avoid := map[upstream.ID]bool{r.FailedAt: true}
	other, ok := d.pool.Reserve(SlotRequest{Service: r.Service, Class: r.Class, Avoid: avoid})
	if !ok {
		return slot
	}
	other.onSettle = slot.onSettle
	slot.Release(false)
	return other
}

// reserveForRetry reserves a slot for another attempt. It waits for a slot only
// while an upstream that has not failed the request may become free.
func (d *Dispatcher) reserveForRetry(ctx context.Context, r *requestState) (*Slot, bool) {
	for waited := time.Duration(0); ; waited += retryInterval {
		slot, ok := d.pool.Reserve(SlotRequest{Service: r.Service, Class: r.Class, Avoid: r.avoid})
		if ok || waited >= maxRetryWait || !d.pool.Reachable(r.Service, r.avoid) {
			return slot, ok
		}
		if !sleep(ctx, retryInterval) {
			return nil, false
		}
	}
}

// mayRetry reports whether a retry is safe and within the retry budget.
func (d *Dispatcher) mayRetry(ctx context.Context, r *requestState, failure *apierr.Error, attempt int) bool {
	if ctx.Err() != nil || attempt >= maxAttempts {
		return false
	}
	if (!r.Call.Repeatable || r.Class == Batch) && failure.Execution != apierr.NotRun {
		return false
	}
	return d.budget.tryWithdraw()
}

// handleFailure releases the slot and checks the upstream's health. If the
// upstream died while running the request, it marks the request as suspected,
// unless it is a batch request, and returns true.
func (d *Dispatcher) handleFailure(ctx context.Context, r *requestState, slot *Slot, failure *apierr.Error) bool {
	if ctx.Err() != nil {
		slot.Release(false)
		if failure.Execution != apierr.NotRun && d.endsAfter(ctx, r, slot) {
			d.suspect(ctx, r)
		}
		return false
	}
	r.avoid[slot.ID] = true
	slot.Release(true)
	health := d.probe(ctx, slot)
	if health != upstream.Gone || failure.Execution == apierr.NotRun {
		return false
	}
	d.suspect(ctx, r)
	return true
}

// endsAfter reports whether the upstream ends soon after the caller left, before it had
// responded. It doesn't ask for a request against which crashes don't count.
func (d *Dispatcher) endsAfter(ctx context.Context, r *requestState, slot *Slot) bool {
	if !r.mayBeQuarantined() {
		return false
	}
	sleep(context.WithoutCancel(ctx), abandonedCheckDelay)
	return d.probe(ctx, slot) == upstream.Gone
}

// probe checks the upstream's health and records the result in the pool.
func (d *Dispatcher) probe(ctx context.Context, slot *Slot) upstream.Health {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	health := upstream.HealthFromError(d.engine.CheckHealth(ctx, slot.Address))
	d.pool.Observe(slot.ID, health)
	return health
}

// classify converts the error of a failed attempt into the caller's error.
func classify(ctx context.Context, err error) *apierr.Error {
	var e *apierr.Error
	switch {
	case ctx.Err() == context.Canceled:
		e = apierr.New(apierr.Cancelled, "the caller went away", "")
	case ctx.Err() == context.DeadlineExceeded:
		e = apierr.New(apierr.Timeout, "the request's time ran out", "send it again, or allow it more time").WithRetryAfter(time.Second)
	default:
		e = apierr.New(apierr.UpstreamError, "the upstream did not answer", "send the request again if running it twice does no harm").WithRetryAfter(time.Second)
	}
	e = e.WithCause(err)
	if upstream.MayHaveRun(err) {
		return e.MayHaveRun()
	}
	return e
}
