package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/slots"
)

// Slot is an upstream slot held by a request.
type Slot struct {
	Upstream fleet.Upstream
	Waited   time.Duration // time in the queue
	core     *Core
	run      *slots.Run
	started  time.Time // of an online request

	responded bool       // the upstream has responded to the request and ran it; guarded by core.mu
	isHeld    bool       // until its upstream was checked; guarded by core.mu
	endCause  BreakCause // found by checkEnd; BreakUnknown before
}

// Release returns the slot, unless ReportAbandonedRun keeps it. Further calls have no effect.
func (s *Slot) Release() {
	s.core.mu.Lock()
	defer s.core.mu.Unlock()
	if !s.isHeld {
		s.release()
	}
}

// release returns the slot. The caller must hold mu.
func (s *Slot) release() {
	s.core.reportRunTime(s)
	s.core.balancer.Finish(s.run)
	s.core.notifyChange()
	s.core.schedule()
}

// isolationSettleTime is longer than peers of the cell take to report a run that they
// have placed at the same moment.
const isolationSettleTime = 30 * time.Millisecond

// ConfirmIsolation reports whether the slot may be used: always, unless its request must
// not share an upstream with another isolated request. Then it waits until peers have
// reported theirs, and one of the hosts keeps the upstream, unless that leaves meanwhile.
func (s *Slot) ConfirmIsolation(ctx context.Context) bool {
	if !s.run.Isolated {
		return true
	}
	select {
	case <-ctx.Done():
	case <-time.After(isolationSettleTime):
	}
	s.core.mu.Lock()
	defer s.core.mu.Unlock()
	return !s.core.balancer.HasAnnouncedLeaving(s.Upstream) && !s.core.balancer.YieldsIsolation(s.Upstream.ID, s.core.self.Name)
}

// ReportFailure records that the upstream truncated its response or sent an invalid
// one.
func (s *Slot) ReportFailure() {
	s.core.mu.Lock()
	defer s.core.mu.Unlock()
	s.core.balancer.ReportFailure(s.Upstream.ID, time.Now())
}

// ReportRunResult records for outlier detection whether a run failed at the
// upstream.
func (s *Slot) ReportRunResult(failed bool) {
	s.core.mu.Lock()
	defer s.core.mu.Unlock()
	now := time.Now()
	if s.core.balancer.ReportRunResult(s.Upstream.ID, failed, now) {
		s.core.logEjection(s.Upstream.ID, now)
	}
	s.core.publishOutcomes(now)
}

// ReportSilence records that a run ended, or moved, after it had received no byte for the
// given time.
func (s *Slot) ReportSilence(silence time.Duration) {
	s.core.mu.Lock()
	defer s.core.mu.Unlock()
	now := time.Now()
	if s.core.balancer.ReportSilence(s.Upstream.ID, silence, now) {
		s.core.logEjection(s.Upstream.ID, now)
	}
	s.core.publishOutcomes(now)
}

// ServedOthersDuring reports whether the upstream sent bytes to other runs, or responded to
// a health check, in the given time until now.
func (s *Slot) ServedOthersDuring(silence time.Duration) bool {
	s.core.mu.Lock()
	defer s.core.mu.Unlock()
	return s.core.balancer.SentBytesSince(s.Upstream.ID, time.Now().Add(-silence))
}

// AtSilentUpstream reports whether the upstream sends nothing to other runs at present, so
// that connections to it may be dead.
func (s *Slot) AtSilentUpstream() bool {
	s.core.mu.Lock()
	defer s.core.mu.Unlock()
	return s.core.balancer.IsSilent(s.Upstream.ID, time.Now())
}

// ReportUnreachable records that the connection to the upstream failed or no
// response arrived.
func (s *Slot) ReportUnreachable() { s.core.reportUnreachable(s.Upstream) }

// ReportSuccess records that the upstream responded.
func (s *Slot) ReportSuccess() {
	s.core.mu.Lock()
	defer s.core.mu.Unlock()
	s.core.balancer.ReportSuccess(s.Upstream.ID)
	s.responded = true
}

// ReportLeaving records that the upstream announces in the response that it shuts down, if
// it does.
func (s *Slot) ReportLeaving(resp *Response) {
	if resp.Leaving {
		s.core.reportLeaving(s.Upstream, "response")
	}
}

// ReportLoad records the load that the upstream reported, if any.
func (s *Slot) ReportLoad(l *Load) {
	if l == nil {
		return
	}
	s.core.mu.Lock()
	defer s.core.mu.Unlock()
	now := time.Now()
	s.core.balancer.ReportLoad(s.Upstream.ID, l.Running+l.Waiting, now)
	s.core.reportPace(s.Upstream, l.Pace, now)
}

// ReportFull records that the upstream rejected the request for lack of capacity.
func (s *Slot) ReportFull() {
	s.core.mu.Lock()
	defer s.core.mu.Unlock()
	s.core.balancer.ReportFull(s.Upstream.ID, time.Now())
}

// SlotRequest describes the slot that an online request needs.
type SlotRequest struct {
	Service    string
	Priority   int
	WaitBudget slots.WaitBudget
	Excluded   map[string]bool // upstreams that have failed this request; used if no other is registered
	Barred     map[string]bool // those of them that must not get it again
	Isolated   bool            // must not share an upstream with another isolated request

	Team        string   // empty on a public route
	PromptParts []string // of a request that is rejected once one of them is quarantined
}

// Acquire waits for a slot for an online request, within its WaitBudget. A request that
// can't be served is rejected at once, also while it waits.
func (c *Core) Acquire(ctx context.Context, req SlotRequest) (*Slot, error) {
	now := time.Now()
	c.mu.Lock()
	if !c.canServe(req.Service, req.Barred) {
		c.mu.Unlock()
		return nil, c.unservableError(req)
	}
	if c.fair != nil {
		return c.acquireInOrder(ctx, req, now)
	}
	w, decision := c.newWaiter(req, now)
	if id, ok := c.place(w, now); ok && !c.hasEarlierWaiters(req.Service) {
		slot := c.startRun(id, req.Isolated, now)
		c.mu.Unlock()
		return slot, nil
	}
	c.queue.Push(w)
	c.schedule()
	c.mu.Unlock()
	timer := time.NewTimer(req.WaitBudget.MaxWait())
	defer timer.Stop()
	select {
	case slot := <-decision:
		return c.decided(req, slot)
	case <-timer.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	stillQueued := c.queue.Remove(w)
	if stillQueued { // runs whose connections are lost may hold the slots
		c.balancer.RequestPings(req.Service, nil, minSilence, time.Now())
	}
	c.mu.Unlock()
	if !stillQueued { // decided before the removal
		return c.decided(req, <-decision)
	}
	return nil, c.overloadedError(req, "all slots of the service are taken")
}

// newWaiter returns a waiter for the request. The channel receives its slot, or nil if it
// can't be served any more.
func (c *Core) newWaiter(req SlotRequest, now time.Time) (*slots.Waiter, <-chan *Slot) {
	decision := make(chan *Slot, 1)
	return &slots.Waiter{
		Service: req.Service, Team: req.Team, Priority: req.Priority, IsRetry: req.WaitBudget.IsRetry,
		Arrived: now, StartBy: now.Add(req.WaitBudget.LatencyTarget), Excluded: req.Excluded, Barred: req.Barred, Isolated: req.Isolated,
		Refused:  func() bool { return c.refusesPromptParts(req.PromptParts, req.Team) },
		Granted:  func(id string) { decision <- c.startRun(id, req.Isolated, now) },
		Rejected: func() { decision <- nil },
	}, decision
}

// decided returns the result of a request that has left the queue with the slot, or with
// none because it can't be served.
func (c *Core) decided(req SlotRequest, slot *Slot) (*Slot, error) {
	if slot == nil {
		return nil, c.unservableError(req)
	}
	return slot, nil
}

// canServe reports whether a request for the service can be served: an upstream from which
// it isn't barred is registered, not about to leave and not evacuated. One that is full,
// unreachable or ejected may return to use within the time that a request waits. The caller must hold mu.
func (c *Core) canServe(service string, barred map[string]bool) bool {
	return c.balancer.HasRegistered(service, barred)
}

// reviewQueue rejects the queued requests that can't be served any more, and places those
// that may use other upstreams now. It must be called after each change that can take away
// upstreams. The caller must hold mu.
func (c *Core) reviewQueue() {
	if c.queue.IsEmpty() {
		return
	}
	rejected := map[string]int{}
	for _, w := range c.queue.RemoveIf(func(w *slots.Waiter) bool { return w.IsRefused() || !c.canServe(w.Service, w.Barred) }) {
		if !w.IsRefused() {
			rejected[w.Service]++
		}
		w.Rejected()
	}
	for service, requests := range rejected {
		c.log.WithFields(logrus.Fields{"event": "queued_requests_rejected", "service": service, "requests": requests, "reason": c.unservableReason(service)}).
			Info("no upstream of a service is left; the requests that waited for it were rejected")
	}
	if c.fair != nil {
		c.notifyChange()
	}
	c.schedule()
}

// AcquireForMove returns a slot for a request that has received no byte from its upstream
// for the given time. It doesn't wait, and returns false if no other upstream is fit.
func (c *Core) AcquireForMove(req SlotRequest, silence time.Duration) (*Slot, bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasEarlierWaiters(req.Service) {
		c.balancer.RequestPings(req.Service, req.Excluded, silence, now)
		return nil, false
	}
	id, ok := c.balancer.PlaceMove(req.Service, req.Excluded, silence, now)
	if !ok {
		return nil, false
	}
	return c.startRun(id, false, now), true
}

// place picks the upstream for a waiter. The caller must hold mu.
func (c *Core) place(w *slots.Waiter, now time.Time) (string, bool) {
	return c.balancer.PlaceOnline(w.Service, c.unusable(w), now)
}

// unusable returns the upstreams that a waiter must not use. Those that have failed its
// request are among them while another is registered. The caller must hold mu.
func (c *Core) unusable(w *slots.Waiter) map[string]bool {
	excluded := w.Excluded
	if len(excluded) > 0 && !c.balancer.HasRegistered(w.Service, excluded) {
		excluded = w.Barred
	}
	if w.Isolated {
		return c.balancer.Isolating(excluded)
	}
	return excluded
}

// hasEarlierWaiters reports whether requests that may use any upstream are queued for
// the service, and therefore come first. The caller must hold mu.
func (c *Core) hasEarlierWaiters(service string) bool { return c.queue.WaitsForAny(service) }

// startRun adds an online request to the upstream's count and pauses batch items
// that exceed the slots. The caller must hold mu.
func (c *Core) startRun(id string, isolated bool, arrived time.Time) *Slot {
	u, _ := c.balancer.Upstream(id)
	s := &Slot{
		Upstream: u, Waited: time.Since(arrived), core: c, started: time.Now(),
		run: &slots.Run{Upstream: id, Isolated: isolated, Placed: time.Now()},
	}
	c.balancer.Start(s.run)
	if c.fair != nil {
		c.fair.order.ObserveStart(c.balancer, id, s.started)
	}
	c.notifyChange()
	for _, run := range c.balancer.PreemptBatch(c.self.Name) {
		run.Pause()
	}
	return s
}

// unservableError returns the error of a request that can't be served.
func (c *Core) unservableError(req SlotRequest) error {
	c.mu.Lock()
	reason := c.unservableReason(req.Service)
	c.mu.Unlock()
	return c.overloadedError(req, reason)
}

func (c *Core) overloadedError(req SlotRequest, message string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return apierr.New(apierr.Overloaded, message, "send the request again after the stated time").
		WithRetryAfter(slots.RetryAfter(req.WaitBudget.TimeLeft, c.random))
}

// BatchSlotRequest describes the slot that a batch item needs.
type BatchSlotRequest struct {
	Service string
	Due     time.Time // the item with the latest one is preempted first
	Urgency slots.Urgency
	Avoid   []string // IDs of upstreams to use last, because they failed runs of the item; the latest last
	Pause   func()   // called when the item must return the slot, unless it is protected
}

// AcquireBatch returns a slot for a batch item, or false if none is available or
// online requests that may use any upstream are queued for the service. An item that is
// nearly due is protected from preemption as far as online load leaves slots for that.
func (c *Core) AcquireBatch(req BatchSlotRequest) (*Slot, bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasEarlierWaiters(req.Service) {
		return nil, false
	}
	urgency := req.Urgency
	if urgency == slots.NearlyDue && !c.balancer.MayProtect(req.Service) {
		urgency = slots.InTime
	}
	id, ok := c.balancer.PlaceBatch(req.Service, urgency, req.Avoid, now)
	if !ok {
		return nil, false
	}
	u, _ := c.balancer.Upstream(id)
	protected := urgency == slots.NearlyDue
	s := &Slot{Upstream: u, core: c, run: &slots.Run{Upstream: id, Batch: !protected, Protected: protected, Due: req.Due, Pause: req.Pause, Placed: now}}
	c.balancer.Start(s.run)
	c.notifyChange()
	return s, true
}

// Defer makes the slot of a batch item preemptible, with the due time that decides the order
// of preemption.
func (s *Slot) Defer(due time.Time) {
	s.core.mu.Lock()
	defer s.core.mu.Unlock()
	s.core.balancer.MakePreemptible(s.run, due)
	s.core.notifyChange()
	s.core.schedule()
}

// BatchShare estimates how many slots this host's batch items get on average in the next
// seconds: what online load leaves in the cell, divided among its hosts by their waiting
// tokens.
func (c *Core) BatchShare(service string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	own, all := int64(0), int64(0)
	for _, tokens := range c.waitingTokens {
		own += tokens
	}
	for name, p := range c.peers {
		if !c.cellHosts[name] || p.unresponsive {
			continue
		}
		for _, tokens := range p.state.Waiting {
			all += tokens
		}
	}
	all += own
	if own == 0 || all == 0 {
		return c.balancer.BatchSlots(service)
	}
	return c.balancer.BatchSlots(service) * float64(own) / float64(all)
}

// Admit charges one request to the team's rate limit.
func (c *Core) Admit(team fleet.Team) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	after, ok := c.limiter.Admit(team.Name, rateOf(team), c.visibleFraction(), time.Now())
	if !ok {
		return apierr.Newf(apierr.RateLimited, "send fewer requests or ask the operator for a higher rate",
			"team %q has used up its rate", team.Name).WithRetryAfter(after)
	}
	c.stateDirty = true
	if team.Rate > 0 && c.limiter.NearLimit(team.Name, rateOf(team)) {
		c.notifyUrgentChange()
	}
	return nil
}

// Refund reverses the charge of a request that no upstream ran.
func (c *Core) Refund(team fleet.Team) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if team.Rate <= 0 && c.fair == nil {
		return // such admissions are counted only for the order of waiting requests
	}
	c.limiter.Refund(team.Name)
	c.stateDirty = true
}

// retryAfter returns the randomized Retry-After time for a rejected request.
func (c *Core) retryAfter(left time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slots.RetryAfter(left, c.random)
}

// Random returns a random number in [0, 1).
func (c *Core) Random() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64()
}

// retryThreshold is the fraction of a route's longest seen timeout below which a
// request counts as a retry: the caller has spent part of its timeout elsewhere.
const retryThreshold = 0.97

// firstAttemptThreshold returns the timeout below which a request on the route counts
// as a retry, and records the request's own timeout.
func (c *Core) firstAttemptThreshold(route string, left time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.longestTimeouts[route] = max(c.longestTimeouts[route], left)
	return time.Duration(float64(c.longestTimeouts[route]) * retryThreshold)
}
