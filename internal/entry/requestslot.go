package entry

import (
	"context"
	"time"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/quarantine"
	"github.com/masticscale/masticscale/internal/slots"
	"github.com/masticscale/masticscale/internal/telemetry"
)

// maxIsolationAttempts bounds the upstreams that an isolated request yields to others.
const maxIsolationAttempts = 4

func (h *Handler) acquireSlot(ctx context.Context, r *request) (*Slot, error) {
	ctx, span := telemetry.Tracer().Start(ctx, "admission")
	defer span.End()
	if slot, err := h.takeNextSlot(r); slot != nil || err != nil {
		return slot, err
	}
	for range maxIsolationAttempts {
		slot, err := h.acquireOnce(ctx, r)
		if err != nil || slot.ConfirmIsolation(ctx) {
			return slot, err
		}
		slot.Release()
	}
	return nil, apierr.New(apierr.Overloaded, "no upstream is free of other requests that may crash it", "send the request again after the stated time").
		WithRetryAfter(h.core.retryAfter(time.Until(r.deadline)))
}

// takeNextSlot returns the slot to which the request moves, if any. A request that has
// become a suspect meanwhile gives it back and is placed anew.
func (h *Handler) takeNextSlot(r *request) (*Slot, error) {
	slot := r.next
	r.next = nil
	if slot == nil {
		return nil, nil
	}
	err := h.checkQuarantine(r)
	if err == nil && r.suspicion != quarantine.Isolated {
		return slot, nil
	}
	slot.Release()
	return nil, err
}

// releaseNextSlot gives back the slot of a request that ended while it was about to move.
func (r *request) releaseNextSlot() {
	if r.next != nil {
		r.next.Release()
	}
}

// acquireOnce waits for a slot, unless the request is quarantined.
func (h *Handler) acquireOnce(ctx context.Context, r *request) (*Slot, error) {
	if err := h.checkQuarantine(r); err != nil {
		return nil, err
	}
	req := SlotRequest{
		Service: r.service, Team: r.team.Name, Priority: r.priority, Excluded: r.excluded, Barred: r.barred, Isolated: r.suspicion == quarantine.Isolated,
		WaitBudget: slots.WaitBudget{
			LatencyTarget: r.route.LatencyTarget, TimeLeft: time.Until(r.deadline),
			IsRetry: r.isRetry || r.sends > 0, Begun: r.answer.begun,
		},
	}
	if !r.isPartTrial {
		req.PromptParts = r.PromptParts
	}
	slot, err := h.core.Acquire(ctx, req)
	if err != nil {
		if refusal := h.checkQuarantine(r); refusal != nil { // it was rejected for a part that crashes upstreams
			return nil, refusal
		}
		return nil, err
	}
	r.waited += slot.Waited
	if err := h.checkQuarantine(r); err != nil { // upstreams may have ended under it elsewhere meanwhile
		slot.Release()
		return nil, err
	}
	return slot, nil
}

// checkQuarantine updates the request's level of suspicion. It returns an error if the
// request is quarantined, or a part of its prompt.
func (h *Handler) checkQuarantine(r *request) error {
	if err := h.checkContent(r); err != nil {
		return err
	}
	return h.checkPromptParts(r)
}

// checkContent is checkQuarantine without the parts of the prompt.
func (h *Handler) checkContent(r *request) error {
	if !h.core.HasSuspects() {
		return nil
	}
	f := r.fingerprint()
	r.suspicion = h.core.Suspicion(f)
	if r.suspicion != quarantine.Quarantined {
		return nil
	}
	err := h.core.quarantinedError(f)
	if r.runs > 0 {
		return err.MayHaveRun()
	}
	return err
}
