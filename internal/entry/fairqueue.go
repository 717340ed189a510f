package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/ratelimit/replicated"
	"github.com/masticscale/masticscale/internal/slots"
	"github.com/masticscale/masticscale/internal/telemetry"
)

// fairQueue is the state of a Core that orders the waiting requests by team over the hosts of
// its cell. Core's mutex guards it.
type fairQueue struct {
	order   *slots.FairOrder
	usage   *replicated.Usage
	metrics *telemetry.Metrics
	results map[waitKey]int // since the last log line
	logged  time.Time
}

// waitResult is what became of a request that found no slot, as a metric's label.
type waitResult string

const (
	waitGranted   waitResult = "granted"
	waitTooLong   waitResult = "not_in_time" // refused at once
	waitTeamBound waitResult = "team_bound"  // refused at once
	waitTimedOut  waitResult = "timed_out"
	waitYielded   waitResult = "left_to_peer" // a free slot was left to a request of another host; the wait goes on
)

type waitKey struct {
	service string
	result  waitResult
}

// waitLogInterval bounds the log lines about waiting requests.
const waitLogInterval = time.Second

// OrderByTeam makes the host order its waiting requests by team together with the hosts of its
// cell. It must be called before Run.
func (c *Core) OrderByTeam(metrics *telemetry.Metrics) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fair = &fairQueue{order: slots.NewFairOrder(c.self.Name), usage: replicated.NewUsage(), metrics: metrics, results: map[waitKey]int{}}
	c.countUnlimitedTeams()
}

// countUnlimitedTeams has the admissions of teams without a limit counted, and those of public
// routes, which have no team. The caller must hold mu.
func (c *Core) countUnlimitedTeams() {
	if c.fair == nil || c.config == nil {
		return
	}
	unlimited := map[string]bool{"": true}
	for name, team := range c.config.Teams {
		if team.Rate <= 0 {
			unlimited[name] = true
		}
	}
	c.limiter.SetUnlimited(unlimited)
}

// updateShares computes which share of its rate each team uses. A team without a limit is
// compared by the mean of the others' rates. The caller must hold mu.
func (c *Core) updateShares(now time.Time) {
	if c.fair == nil || c.config == nil {
		return
	}
	c.fair.usage.Observe(c.limiter.Totals(), now)
	mean := meanRate(c.config.Teams)
	shares, rates := make(map[string]float64, len(c.config.Teams)+1), make(map[string]float64, len(c.config.Teams)+1)
	used, entitled, active := 0.0, 0.0, 0 // of the active teams
	add := func(name string, rate float64) {
		if rate <= 0 {
			rate = mean
		}
		use := c.fair.usage.PerSecond(name)
		shares[name], rates[name] = use/rate, rate
		if slots.IsActive(shares[name]) {
			used, entitled, active = used+use, entitled+rate, active+1
		}
	}
	add("", 0)
	for name, team := range c.config.Teams {
		add(name, team.Rate)
	}
	others := make(map[string]float64, len(shares))
	for name, share := range shares {
		used, entitled, active := used, entitled, active
		if slots.IsActive(share) {
			used, entitled, active = used-share*rates[name], entitled-rates[name], active-1
		}
		if active > 0 {
			others[name] = used / entitled
		}
	}
	c.fair.order.SetShares(shares, others)
	c.logWaiting(shares, now)
}

// meanRate returns the mean rate of the teams that have a limit, or 1 if there is none.
func meanRate(teams map[string]fleet.Team) float64 {
	sum, limited := 0.0, 0
	for _, team := range teams {
		if team.Rate > 0 {
			sum, limited = sum+team.Rate, limited+1
		}
	}
	if limited == 0 {
		return 1
	}
	return sum / float64(limited)
}

// mergeQueued takes over which requests wait on a peer. It reports whether they may leave slots
// to the requests of this host. Relays pass on that a host is alive, but not which requests
// wait there. The caller must hold mu.
func (c *Core) mergeQueued(host string, queued slots.Queued, direct bool) bool {
	if c.fair == nil {
		return false
	}
	if !direct || !c.cellHosts[host] {
		queued = nil
	}
	c.fair.order.SetPeer(host, queued)
	return !c.queue.IsEmpty()
}

// updateOrderingHosts forgets which requests wait on peers that aren't live or have left the
// cell. The caller must hold mu.
func (c *Core) updateOrderingHosts() {
	if c.fair == nil {
		return
	}
	live := map[string]bool{c.self.Name: true}
	for name, p := range c.peers {
		if c.cellHosts[name] && !p.unresponsive {
			live[name] = true
		}
	}
	c.fair.order.SetHosts(live)
}

// queuedGroups returns which requests wait on this host, for the hosts of the cell. The caller
// must hold mu.
func (c *Core) queuedGroups() slots.Queued {
	if c.fair == nil {
		return nil
	}
	return c.queue.Groups()
}

// grantInOrder grants free slots to queued requests, unless requests of other hosts come first.
// The caller must hold mu.
func (c *Core) grantInOrder(now time.Time) {
	cells := c.fair.order.ObserveRoom(c.balancer, now)
	full := map[string]bool{}     // services none of whose upstreams takes a request of this host
	cellFull := map[string]bool{} // services that have room only in other cells
	queued := map[string]int{}    // requests that stay in the queue, by service
	for _, w := range c.fair.order.Sorted(&c.queue, now) {
		s, cell := w.Service, cells[w.Service]
		if full[s] || cellFull[s] && !c.mayLeaveCell(w, queued[s], cell, now) {
			queued[s]++
			continue
		}
		id, ok := c.place(w, now)
		switch {
		case !ok:
			full[s] = w.MayUseAny()
		case c.waitsForCell(w, id, queued[s], cell, now):
			cellFull[s] = w.MayUseAny()
		case c.leavesSlot(w, id, cell, now):
			c.countWait(s, waitYielded)
			full[s] = w.MayUseAny()
		default:
			if c.balancer.InCell(id) {
				cells[s] = slots.CellRoom{Free: cell.Free - 1, Slots: cell.Slots}
			}
			c.queue.Remove(w)
			c.countWait(s, waitGranted)
			w.Granted(id)
			continue
		}
		queued[s]++
	}
}

// leavesSlot reports whether a slot at the upstream is left to requests of other hosts. Those
// order only the upstreams of their own cell. The caller must hold mu.
func (c *Core) leavesSlot(w *slots.Waiter, id string, cell slots.CellRoom, now time.Time) bool {
	return c.balancer.InCell(id) && c.fair.order.LeavesSlot(w, id, cell, now)
}

// waitsForCell reports whether a waiter waits for a slot of its own cell, though one is free at
// the upstream of another. The load of other cells is known with a delay, so a hot team's
// requests need an upstream that seems mostly free. The caller must hold mu.
func (c *Core) waitsForCell(w *slots.Waiter, id string, queuedBefore int, cell slots.CellRoom, now time.Time) bool {
	if c.balancer.InCell(id) {
		return false
	}
	return !c.mayLeaveCell(w, queuedBefore, cell, now) || c.fair.order.IsHot(w.Team) && !c.balancer.IsMostlyFree(id, now)
}

// mayLeaveCell reports whether a waiter may use upstreams of other cells: its own cell has no
// slots, or it would wait there for longer than a first attempt should. The caller must hold mu.
func (c *Core) mayLeaveCell(w *slots.Waiter, queuedBefore int, cell slots.CellRoom, now time.Time) bool {
	wait, known := c.fair.order.TimeToStart(w.Service, queuedBefore+c.fair.order.AheadOnPeers(w, now), cell.Slots)
	return !known || wait > slots.SpillOverWait(w.StartBy.Sub(w.Arrived))
}

// acquireInOrder is Acquire for hosts that order by team. The caller must hold mu, which is
// released.
func (c *Core) acquireInOrder(ctx context.Context, req SlotRequest, now time.Time) (*Slot, error) {
	w, decision := c.newWaiter(req, now)
	if !c.hasEarlierWaiters(req.Service) {
		cell := c.fair.order.ObserveRoom(c.balancer, now)[req.Service]
		id, ok := c.place(w, now)
		if ok && !c.waitsForCell(w, id, 0, cell, now) && !c.leavesSlot(w, id, cell, now) {
			slot := c.startRun(id, req.Isolated, now)
			c.mu.Unlock()
			return slot, nil
		}
	}
	if reason, refused := c.refusesWait(w, req.WaitBudget, now); refused {
		c.countWait(req.Service, reason)
		err := c.noRoomError(w, req, now)
		c.mu.Unlock()
		return nil, err
	}
	c.queue.Push(w)
	c.notifyChange()
	c.schedule()
	c.mu.Unlock()
	return c.awaitInOrder(ctx, w, req, decision)
}

// awaitInOrder waits for the decision on a queued request, as long as it can be in time.
func (c *Core) awaitInOrder(ctx context.Context, w *slots.Waiter, req SlotRequest, decision <-chan *Slot) (*Slot, error) {
	timer := time.NewTimer(req.WaitBudget.TimeInTarget())
	defer timer.Stop()
	select {
	case slot := <-decision:
		return c.decided(req, slot)
	case <-timer.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	now := time.Now()
	stillQueued := c.queue.Remove(w)
	var err error
	if stillQueued {
		c.balancer.RequestPings(req.Service, nil, minSilence, now) // runs whose connections are lost may hold the slots
		c.countWait(req.Service, waitTimedOut)
		c.notifyChange()
		err = c.noRoomError(w, req, now)
	}
	c.mu.Unlock()
	if !stillQueued { // decided before the removal
		return c.decided(req, <-decision)
	}
	return nil, err
}

// refusesWait reports whether a request that finds no slot is refused at once, and why: it
// can't be in time behind those before it, or its team has too many waiting. A response that
// has begun waits in any case. The caller must hold mu.
func (c *Core) refusesWait(w *slots.Waiter, budget slots.WaitBudget, now time.Time) (waitResult, bool) {
	if budget.Begun {
		return "", false
	}
	order, service := c.fair.order, w.Service
	total, longest := c.balancer.SlotsFor(service), budget.TimeInTarget()
	if order.TeamWaiting(&c.queue, service, w.Team) >= order.MaxTeamWaiting(service, total, longest) {
		return waitTeamBound, true
	}
	if wait, known := c.expectedWait(w, now); known && wait > longest {
		return waitTooLong, true
	}
	return "", false
}

// expectedWait estimates when the requests before the waiter have got slots. The caller must
// hold mu.
func (c *Core) expectedWait(w *slots.Waiter, now time.Time) (time.Duration, bool) {
	own, peers := c.fair.order.Ahead(&c.queue, w, now)
	return c.fair.order.TimeToStart(w.Service, own+peers, c.balancer.SlotsFor(w.Service))
}

// noRoomError returns the error of a request that gets no slot in time. It states when room is
// expected: when the requests before a new one have got slots. A hot team gets what the others
// leave, so for its requests that is when the peak has passed. The caller must hold mu.
func (c *Core) noRoomError(w *slots.Waiter, req SlotRequest, now time.Time) error {
	left := max(req.WaitBudget.TimeLeft-now.Sub(w.Arrived), time.Millisecond) // the response must state a time
	after := slots.RetryAfter(left, c.random)
	w.Arrived = now
	if expected, known := c.expectedWait(w, now); c.fair.order.IsHot(w.Team) {
		after = slots.RetryAfterPeak(left, c.random.Float64())
	} else if known {
		after = slots.RetryAfterRoom(expected, left, c.random.Float64())
	}
	return apierr.New(apierr.Overloaded, "all slots of the service are taken", "send the request again after the stated time").WithRetryAfter(after)
}

// reportRunTime records the duration of an online request that returns its slot. One that the
// upstream refused, or that never reached it, says nothing of how long slots are held. The caller
// must hold mu.
func (c *Core) reportRunTime(s *Slot) {
	if c.fair != nil && s.responded {
		c.fair.order.ReportRun(s.Upstream.Service, time.Since(s.started))
	}
	s.responded = false
}

// countWait counts what became of a request that found no slot. The caller must hold mu.
func (c *Core) countWait(service string, result waitResult) {
	c.fair.results[waitKey{service, result}]++
	c.fair.metrics.Waits.WithLabelValues(string(result)).Inc()
}

// logWaiting logs what became of requests that found no slot, and what the order rests on. The
// caller must hold mu.
func (c *Core) logWaiting(shares map[string]float64, now time.Time) {
	c.fair.metrics.Queued.WithLabelValues("online").Set(float64(c.queue.Len()))
	if len(c.fair.results) == 0 || now.Sub(c.fair.logged) < waitLogInterval {
		return
	}
	c.fair.logged = now
	services := map[string]bool{}
	for key := range c.fair.results {
		services[key.service] = true
	}
	team, share := greatestShare(shares)
	for service := range services {
		fields := logrus.Fields{
			"event": "slots_awaited", "service": service, "queued": c.queue.Len(), "slots": c.balancer.SlotsFor(service),
			"greatest_share": share, "team": team, "state_age_ms": c.oldestCellState(now).Milliseconds(),
		}
		if wait, known := c.fair.order.TimeToStart(service, 1, c.balancer.SlotsFor(service)); known {
			fields["slot_every_ms"] = float64(wait) / float64(time.Millisecond)
		}
		for _, result := range []waitResult{waitGranted, waitTooLong, waitTeamBound, waitTimedOut, waitYielded} {
			fields[string(result)] = c.fair.results[waitKey{service, result}]
		}
		c.log.WithFields(fields).Info("online requests waited for slots")
	}
	clear(c.fair.results)
}

// greatestShare returns the team that uses most of its rate.
func greatestShare(shares map[string]float64) (team string, share float64) {
	for name, s := range shares {
		if s > share || s == share && name < team {
			team, share = name, s
		}
	}
	return team, share
}

// oldestCellState returns the age of the oldest state of a live peer of the cell. The caller
// must hold mu.
func (c *Core) oldestCellState(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for name, p := range c.peers {
		if c.cellHosts[name] && !p.unresponsive {
			oldest = max(oldest, now.Sub(p.lastHeartbeat))
		}
	}
	return oldest
}
