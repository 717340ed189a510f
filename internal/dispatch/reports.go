package dispatch

import (
	"time"

	"github.com/masticscale/masticscale/internal/upstream"
)

// RecordReport records a load report that this host requested from the upstream
// at the given time.
func (p *Pool) RecordReport(id upstream.ID, load upstream.Load, at time.Time) {
	p.setReport(id, load, at, true)
}

// recordPeerReport records a load report that another host requested at the given
// time.
func (p *Pool) recordPeerReport(id upstream.ID, load upstream.Load, at time.Time) {
	p.setReport(id, load, at, false)
}

func (p *Pool) setReport(id upstream.ID, load upstream.Load, at time.Time, isLocal bool) {
	var preempted []*Slot
	p.updateTarget(id, func(t *target) {
		if !at.After(t.reportedAt) {
			return
		}
		if at.Sub(t.reportedAt) >= reportInterval/2 {
			t.previousWaiting = t.reported.Waiting
		}
		t.reported = load
		t.reportedAt = at
		t.reportIsLocal = isLocal
		t.ownAtReport = t.ownRequests()
		if p.policy.Batch != NoPreemption {
			preempted = t.removeNewestBatch(t.batchToShed(time.Now()))
		}
	})
	preemptAll(preempted)
}

// RecordPeerLoad records the requests that another host runs at an upstream.
func (p *Pool) RecordPeerLoad(host string, id upstream.ID, load PeerLoad) {
	p.updateTarget(id, func(t *target) { t.peers[host] = load })
}

// MarkLeaving sets the leaving state of the upstreams in the platform's host list.
// Upstreams that are not in the list keep their state.
func (p *Pool) MarkLeaving(leaving map[string]bool) {
	p.mu.Lock()
	for id, t := range p.targets {
		if isLeaving, listed := leaving[id.Name]; listed {
			t.leavingListed = isLeaving
		}
	}
	onFreed := p.onFreed
	p.mu.Unlock()
	onFreed()
}

// MarkDraining records whether the upstream's health check reports draining.
func (p *Pool) MarkDraining(id upstream.ID, draining bool) {
	p.updateTarget(id, func(t *target) {
		t.leavingHealth = draining
		t.health.recordAlive()
	})
}

// HintLeaving records that a peer regards the upstream as leaving. The hint
// expires unless the peer repeats it.
func (p *Pool) HintLeaving(id upstream.ID, at time.Time) {
	p.updateTarget(id, func(t *target) {
		if until := at.Add(leavingHintLifetime); until.After(t.leavingHint) {
			t.leavingHint = until
		}
	})
}

// MarkDown records that a health check got no response from the upstream.
func (p *Pool) MarkDown(id upstream.ID) {
	p.updateTarget(id, func(t *target) { t.health.recordGone(time.Now()) })
}

// MarkAlive records that the upstream responds to health checks.
func (p *Pool) MarkAlive(id upstream.ID) {
	p.updateTarget(id, func(t *target) { t.health.recordAlive() })
}

// recordServed records a successful attempt. Its time to first byte is 0 if
// unknown.
func (p *Pool) recordServed(slot *Slot, ttfb time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := slot.target
	t.health.recordSuccess()
	if slot.Class == Online && ttfb > 0 {
		t.meanTTFB += time.Duration(float64(ttfb-t.meanTTFB) * ttfbWeight)
	}
}

// Observe records the result of a health check.
func (p *Pool) Observe(id upstream.ID, h upstream.Health) {
	switch h {
	case upstream.Gone:
		p.MarkDown(id)
	case upstream.Draining:
		p.MarkDraining(id, true)
	case upstream.Alive:
		p.MarkDraining(id, false)
	}
}
