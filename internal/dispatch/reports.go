package dispatch

import (
	"time"

	"github.com/masticscale/masticscale/internal/upstream"
)

// RecordReport takes over an upstream's own load report, which this host asked for
// at the time.
func (p *Pool) RecordReport(id upstream.ID, load upstream.Load, at time.Time) {
	p.report(id, load, at, true)
}

// reportFromPeer takes over a load report that another host read.
func (p *Pool) reportFromPeer(id upstream.ID, load upstream.Load, at time.Time) {
	p.report(id, load, at, false)
}

func (p *Pool) report(id upstream.ID, load upstream.Load, at time.Time, here bool) {
	var yields []*Slot
	p.update(id, func(t *target) {
		if !at.After(t.reportedAt) {
			return
		}
		if at.Sub(t.reportedAt) >= reportInterval/2 {
			t.waitedBefore = t.reported.Waiting
		}
		t.reported = load
		t.reportedAt = at
		t.reportedHere = here
		t.ownAtReport = t.own()
		if p.policy.Batch != NoPreemption {
			yields = t.takeYields(t.excess(time.Now()))
		}
	})
	cancelAll(yields)
}

// RecordPeerLoad takes over what another host runs at an upstream.
func (p *Pool) RecordPeerLoad(host string, id upstream.ID, load PeerLoad) {
	p.update(id, func(t *target) { t.peers[host] = load })
}

// MarkLeaving marks the upstreams that the platform lists as leaving.
func (p *Pool) MarkLeaving(leaving map[string]bool) {
	p.mu.Lock()
	for id, t := range p.targets {
		if state, listed := leaving[id.Name]; listed {
			t.leavingListed = state
		}
	}
	freed := p.freed
	p.mu.Unlock()
	freed()
}

// MarkDraining notes what an upstream's own health check says of leaving.
func (p *Pool) MarkDraining(id upstream.ID, draining bool) {
	p.update(id, func(t *target) {
		t.leavingHealth = draining
		t.health.alive()
	})
}

// HintLeaving notes that a peer considers the upstream to be leaving.
func (p *Pool) HintLeaving(id upstream.ID, at time.Time) {
	p.update(id, func(t *target) {
		if until := at.Add(hintLifetime); until.After(t.leavingHint) {
			t.leavingHint = until
		}
	})
}

// MarkDown notes that nobody answers at the upstream's address.
func (p *Pool) MarkDown(id upstream.ID) {
	p.update(id, func(t *target) { t.health.gone(time.Now()) })
}

// MarkAlive notes that the upstream answers.
func (p *Pool) MarkAlive(id upstream.ID) {
	p.update(id, func(t *target) { t.health.alive() })
}

// served notes the end of an attempt that went well, and its time to the first
// byte where that is known.
func (p *Pool) served(place *Slot, firstByte time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := place.target
	t.health.served()
	if place.Class == Online && firstByte > 0 {
		t.firstByte += time.Duration(float64(firstByte-t.firstByte) * firstByteDecay)
	}
}

// Observe takes over the result of a health check.
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
