package entry

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/quarantine"
)

const (
	heldSlotTime       = time.Second // from the end of an isolated run by this host
	heldSlotCheckPause = 250 * time.Millisecond
)

// ReportAbandonedRun records that this host ended the run before its response was complete.
// If the upstream ends soon after, the crash counts against the request. The argument silent
// tells that the run was ended because the upstream was silent. The slot of an isolated run
// is kept for a while, so that nothing else explains such an end.
func (s *Slot) ReportAbandonedRun(b RunBreak, silent bool) {
	s.core.mu.Lock()
	defer s.core.mu.Unlock()
	now := time.Now()
	if s.run.Isolated {
		s.core.heldSlots = append(s.core.heldSlots, &heldSlot{slot: s, run: b, until: now.Add(heldSlotTime), nextCheck: now})
		s.isHeld = true
		return
	}
	s.core.abandonedRuns.Add(quarantine.AbandonedRun{
		Fingerprint: b.Fingerprint, Upstream: instanceOf(s.Upstream), Started: b.Started, Ended: now,
		Silent: silent, Unproven: !b.WasAlive, PromptParts: b.suspectParts(), Team: b.Team, Item: b.Item,
	})
}

// heldSlot is the slot of an isolated run that this host has ended.
type heldSlot struct {
	slot      *Slot
	run       RunBreak
	until     time.Time // when the slot is given back
	nextCheck time.Time // of the upstream
	isDone    bool      // the slot was given back
}

// reviewHeldSlots gives back the held slots that are due, and starts checks of the upstreams
// of the others.
func (c *Core) reviewHeldSlots(ctx context.Context, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.heldSlots {
		switch {
		case !now.Before(h.until):
			c.releaseHeldSlot(h)
		case !now.Before(h.nextCheck):
			h.nextCheck = now.Add(heldSlotCheckPause)
			c.probes.Go(func() { c.checkHeldSlot(ctx, h) })
		}
	}
	c.heldSlots = slices.DeleteFunc(c.heldSlots, func(h *heldSlot) bool { return h.isDone })
}

// checkHeldSlot counts the end of the upstream of a held slot against its request.
func (c *Core) checkHeldSlot(ctx context.Context, h *heldSlot) {
	cause, err := c.findCause(ctx, h.slot.Upstream)
	if cause != UpstreamEnded {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.isDone {
		return
	}
	c.logAbandonedEnd(h.slot.Upstream, err)
	c.recordEnd(h.slot.Upstream)
	c.addCrash(h.slot.brokenRun(h.run))
	c.releaseHeldSlot(h)
}

// releaseHeldSlot gives the slot back. The caller must hold mu.
func (c *Core) releaseHeldSlot(h *heldSlot) {
	if h.isDone {
		return
	}
	h.isDone = true
	h.slot.release()
}

// checkAbandonedUpstreams starts the due checks of upstreams at which this host has ended
// runs, except of those that have sent bytes since.
func (c *Core) checkAbandonedUpstreams(ctx context.Context, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandonedRuns.Expire(now)
	for _, due := range c.abandonedRuns.TakeDue(now) {
		u, registered := c.balancer.Upstream(due.Upstream.ID)
		if registered && instanceOf(u) == due.Upstream && !c.balancer.SentBytesSince(u.ID, due.Since.Add(crashSettleTime)) {
			c.probes.Go(func() { c.checkAbandonedUpstream(ctx, u) })
		}
	}
}

// checkAbandonedUpstream records the end of an upstream at which this host has ended runs.
func (c *Core) checkAbandonedUpstream(ctx context.Context, u fleet.Upstream) {
	cause, err := c.findCause(ctx, u)
	if cause != UpstreamEnded {
		return
	}
	c.logAbandonedEnd(u, err)
	c.reportEnd(u)
}

func (c *Core) logAbandonedEnd(u fleet.Upstream, err error) {
	c.log.WithFields(logrus.Fields{"event": "abandoned_upstream_ended", "upstream": u.ID, "error": err}).
		Info("an upstream has ended after this host had ended runs there")
}
