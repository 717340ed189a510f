package entry

import (
	"context"
	"time"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/slots"
)

// Slot is a slot that a request holds at an upstream.
type Slot struct {
	Upstream fleet.Upstream
	Waited   time.Duration
	core     *Core
	run      *slots.Run
}

// Release gives the slot back. It may be called again.
func (p *Slot) Release() {
	p.core.mu.Lock()
	defer p.core.mu.Unlock()
	p.core.board.Finish(p.run)
	p.core.changed()
	p.core.schedule()
}

// ReportFailure notes that the upstream broke off its answer, or gave a wrong one.
func (p *Slot) ReportFailure() {
	p.core.mu.Lock()
	defer p.core.mu.Unlock()
	p.core.board.ReportFailure(p.Upstream.ID, time.Now())
}

// ReportRunResult notes whether a run at the upstream failed there.
func (p *Slot) ReportRunResult(failed bool) {
	p.core.mu.Lock()
	defer p.core.mu.Unlock()
	now := time.Now()
	if p.core.board.ReportRunResult(p.Upstream.ID, failed, now) {
		p.core.logSuspect(p.Upstream.ID, now)
	}
	p.core.tellOutcomes(now)
}

// ReportUnreachable notes that no answer came from the upstream, or no connection.
func (p *Slot) ReportUnreachable() { p.core.noteUnreached(p.Upstream) }

// ReportSuccess notes that the upstream answers.
func (p *Slot) ReportSuccess() {
	p.core.mu.Lock()
	defer p.core.mu.Unlock()
	p.core.board.ReportSuccess(p.Upstream.ID)
}

// ReportLoad notes what the upstream tells of its load.
func (p *Slot) ReportLoad(l *Load) {
	if l == nil {
		return
	}
	p.core.mu.Lock()
	defer p.core.mu.Unlock()
	p.core.board.ReportLoad(p.Upstream.ID, l.Running+l.Waiting, time.Now())
}

// ReportFull notes that the upstream turned the request away for lack of room.
func (p *Slot) ReportFull() {
	p.core.mu.Lock()
	defer p.core.mu.Unlock()
	p.core.board.ReportFull(p.Upstream.ID, time.Now())
}

// SlotRequest says what an online request needs.
type SlotRequest struct {
	Service  string
	Priority int
	Patience slots.WaitBudget
	Without  map[string]bool // upstreams that have failed it
}

// Acquire returns a slot for an online request, or the error with which it is
// refused. A request for a service without upstreams is refused at once.
func (c *Core) Acquire(ctx context.Context, want SlotRequest) (*Slot, error) {
	now := time.Now()
	c.mu.Lock()
	if c.board.CountRegistered(want.Service) == 0 {
		c.mu.Unlock()
		return nil, c.refusal(want, "no upstream of the service is registered")
	}
	if id, ok := c.board.PlaceOnline(want.Service, want.Without, now); ok && !c.overtakes(want, now) {
		place := c.start(id, now)
		c.mu.Unlock()
		return place, nil
	}
	patience := want.Patience.MaxWait()
	granted := make(chan string, 1)
	w := &slots.Waiter{
		Service: want.Service, Priority: want.Priority, Returned: want.Patience.Returned,
		Arrived: now, StartBy: now.Add(want.Patience.Aim), Without: want.Without,
	}
	var place *Slot
	w.Granted = func(id string) {
		place = c.start(id, now)
		granted <- id
	}
	c.queue.Push(w)
	c.schedule()
	c.mu.Unlock()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-granted:
		return place, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	waits := c.queue.Remove(w)
	c.mu.Unlock()
	if !waits { // the slot came at the last moment
		return place, nil
	}
	return nil, c.refusal(want, "all slots of the service are taken")
}

// overtakes reports whether others wait for the service, so that a slot that is
// free now is theirs; the caller holds mu.
func (c *Core) overtakes(want SlotRequest, now time.Time) bool {
	for _, w := range c.queue.Sorted(now) {
		if w.Service == want.Service && len(w.Without) == 0 {
			return true
		}
	}
	return false
}

// start counts an online request at the upstream; the caller holds mu.
func (c *Core) start(id string, arrived time.Time) *Slot {
	u, _ := c.board.Upstream(id)
	p := &Slot{Upstream: u, Waited: time.Since(arrived), core: c, run: &slots.Run{Upstream: id}}
	c.board.Start(p.run)
	c.changed()
	for _, run := range c.board.PreemptBatch(c.self.Name) {
		run.Pause()
	}
	return p
}

func (c *Core) refusal(want SlotRequest, why string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return apierr.New(apierr.Overloaded, why, "send the request again after the stated time").
		WithRetryAfter(slots.RetryAfter(want.Patience.Left, c.random))
}

// AcquireBatch returns a slot for a batch item, or false when there is none to
// spare. pause is called when the item has to give the slot back.
func (c *Core) AcquireBatch(service string, due time.Time, nearlyDue bool, pause func()) (*Slot, bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue.Len() > 0 {
		return nil, false
	}
	id, ok := c.board.PlaceBatch(service, nearlyDue, now)
	if !ok {
		return nil, false
	}
	u, _ := c.board.Upstream(id)
	p := &Slot{Upstream: u, core: c, run: &slots.Run{Upstream: id, Batch: !nearlyDue, Due: due, Pause: pause}}
	c.board.Start(p.run)
	c.changed()
	return p, true
}

// Admit takes one request from the team's rate.
func (c *Core) Admit(team fleet.Team) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	after, ok := c.ledger.Admit(team.Name, rateOf(team), c.part(), time.Now())
	if !ok {
		return apierr.Newf(apierr.RateLimited, "send fewer requests or ask the operator for a higher rate",
			"team %q has used up its rate", team.Name).WithRetryAfter(after)
	}
	c.stale = true
	if team.Rate > 0 && c.ledger.NearLimit(team.Name, rateOf(team)) {
		c.urgent()
	}
	return nil
}

// Refund gives back what a request took that reached no upstream.
func (c *Core) Refund(team string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Refund(team)
	c.stale = true
}

// retryAfter returns when a caller that is turned away should come back.
func (c *Core) retryAfter(left time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slots.RetryAfter(left, c.random)
}

// Random returns a random point of the unit interval.
func (c *Core) Random() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64()
}

// returnerPart is the part of the longest time given on a route below which a
// caller has used up some of its time elsewhere.
const returnerPart = 0.97

// longestLeft returns the time that callers of the route give when they first
// ask, as far as it was seen, less a margin.
func (c *Core) longestLeft(route string, left time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.longest[route] = max(c.longest[route], left)
	return time.Duration(float64(c.longest[route]) * returnerPart)
}
