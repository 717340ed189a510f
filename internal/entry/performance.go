package entry

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/eventstream"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/slots"
)

// sampleInterval is the time between two messages with observed times to the hosts of the
// cell. Placement is to follow a change within a second, of which this is a part.
const sampleInterval = 250 * time.Millisecond

// performance is the state of a host that learns the performance of upstreams.
type performance struct {
	learns    bool
	samples   []slots.Samples // as last published to peers
	version   int64           // of samples
	sampledAt time.Time
}

// LearnPerformance makes the host learn the performance of upstreams and place requests by
// it. It must be called before the host serves.
func (c *Core) LearnPerformance() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.performance.learns = true
	c.setTargets()
}

// setTargets passes the targets of the configuration's routes to the balancer. The caller
// must hold mu.
func (c *Core) setTargets() {
	if c.performance.learns && c.config != nil {
		c.balancer.LearnPerformance(performanceTargets(c.config))
	}
}

// performanceTargets returns the strictest targets of the streaming routes to each service.
func performanceTargets(config *fleet.Config) map[string]slots.Targets {
	targets := map[string]slots.Targets{}
	for _, route := range config.Routes {
		if route.Kind != fleet.Stream || route.LatencyTarget <= 0 && route.EventGapTarget <= 0 {
			continue
		}
		for _, to := range route.Targets {
			t := targets[to.Service]
			t.FirstEvent, t.EventPause = stricter(t.FirstEvent, route.LatencyTarget), stricter(t.EventPause, route.EventGapTarget)
			targets[to.Service] = t
		}
	}
	return targets
}

// stricter returns the smaller of two targets, of which zero is none.
func stricter(a, b time.Duration) time.Duration {
	if a <= 0 || b > 0 && b < a {
		return b
	}
	return a
}

// EventTimer reports the times between the events of a run. A nil EventTimer reports none.
type EventTimer struct {
	slot    *Slot
	began   time.Time // zero if the time to the first event isn't reported
	last    time.Time // event; zero before the first
	waiting time.Time // since when the host has waited for the next one
}

// TimeEvents returns a timer of the run in the slot that began at the time, or nil if the host
// doesn't learn. If the time is zero, the time to the first event isn't reported.
func (s *Slot) TimeEvents(began time.Time) *EventTimer {
	if !s.core.performance.learns {
		return nil
	}
	return &EventTimer{slot: s, began: began}
}

// Await records that the host waits for the next events.
func (t *EventTimer) Await(now time.Time) {
	if t != nil {
		t.waiting = now
	}
}

// Observe reports the events that have arrived. A pause doesn't count if this host, or the
// caller that reads the response, took most of it.
func (t *EventTimer) Observe(events []eventstream.Event, now time.Time) {
	if t == nil || !slices.ContainsFunc(events, func(e eventstream.Event) bool { return e.Data != nil }) {
		return
	}
	last := t.last
	t.last = now
	c := t.slot.core
	switch pause := now.Sub(last); {
	case last.IsZero() && t.began.IsZero() || !last.IsZero() && now.Sub(t.waiting) < pause/2:
	case last.IsZero():
		c.mu.Lock()
		c.balancer.ReportFirstEvent(t.slot.Upstream, now.Sub(t.began), now)
		c.mu.Unlock()
	default:
		c.mu.Lock()
		c.balancer.ReportEvents(t.slot.Upstream, pause, now)
		c.mu.Unlock()
	}
}

// reportPace records the pace that an upstream states. The caller must hold mu.
func (c *Core) reportPace(u fleet.Upstream, percent int, now time.Time) {
	if c.performance.learns && percent > 0 {
		c.balancer.ReportPace(u, percent, now)
		c.stateDirty = true
	}
}

// publishSamples shares the observed times with the next state that is sent anyway. The
// caller must hold mu.
func (c *Core) publishSamples(now time.Time) {
	p := &c.performance
	if !p.learns || now.Sub(p.sampledAt) < sampleInterval {
		return
	}
	p.sampledAt = now
	samples := c.balancer.TakeSamples()
	if len(samples) > 0 || len(p.samples) > 0 {
		p.samples = samples
		p.version++
		c.stateDirty = true
	}
}

// sharedPerformance returns what peers are told of the performance of upstreams. The caller
// must hold mu.
func (c *Core) sharedPerformance(now time.Time) mesh.Performance {
	if !c.performance.learns {
		return mesh.Performance{}
	}
	return mesh.Performance{Samples: c.performance.samples, Version: c.performance.version, Paces: c.balancer.StatedPaces(now)}
}

// mergePerformance adds what a peer has observed, once for each message. The caller must
// hold mu.
func (c *Core) mergePerformance(p *peerRecord, shared mesh.Performance, now time.Time) {
	if !c.performance.learns {
		return
	}
	c.balancer.MergePaces(shared.Paces, now)
	if shared.Version > p.samplesVersion {
		p.samplesVersion = shared.Version
		c.balancer.MergeSamples(shared.Samples, now)
	}
}

// logPerformance logs the upstreams whose use has changed because of their performance. The
// caller must hold mu.
func (c *Core) logPerformance(now time.Time) {
	if !c.performance.learns {
		return
	}
	for _, u := range c.balancer.TakePerformanceChanges(now) {
		c.log.WithFields(logrus.Fields{
			"event": "upstream_performance", "upstream": u.Upstream.ID, "service": u.Upstream.Service, "slow": u.Slow, "usable_slots": u.Usable, "slots": u.Upstream.Slots,
			"running": u.Running, "first_ms": u.FirstEvent.Milliseconds(), "pause_ms": u.EventPause.Milliseconds(),
			"recent_percent": int(100 * u.Recent), "pace_trust": int(100 * u.PaceTrust), "samples": int(u.Samples), "age_ms": u.Age.Milliseconds(),
		}).Info("the learned performance of an upstream changes how it is used")
	}
}

// LearnedUse returns the number of upstreams that miss their targets even with one request,
// and of the slots that are left unused because more requests would miss theirs.
func (c *Core) LearnedUse() (slow, unused int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balancer.LearnedUse()
}
