package jobs

import (
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/entry"
)

const (
	minPartDelay = 50 * time.Millisecond // between the looks at an item that waits for a part of its prompt
	maxPartDelay = time.Second
)

// partEvidence is what a run of an item shows of the parts of its prompt.
type partEvidence struct {
	answer entry.AnswerWatch
	run    *entry.RunBreak // describes the run in case it breaks; nil if the prompt has no parts
	probes bool            // a part isn't known to be sound
}

// newPartEvidence returns the evidence of a run of the item that begins now. The caller holds
// Runner.mu.
func newPartEvidence(i *item) partEvidence {
	if len(i.PromptParts) == 0 {
		return partEvidence{}
	}
	return partEvidence{probes: i.probesParts, run: &entry.RunBreak{
		Fingerprint: i.fingerprint(), Started: time.Now(), WasAlive: true, Team: i.job.record.Team, PromptParts: i.PromptParts, Item: true,
	}}
}

// observeSend records the outcome of the call that sent the item.
func (e *partEvidence) observeSend(err error) {
	if e.run == nil || err == nil {
		return
	}
	var send *entry.SendError
	e.run.WasAlive = errors.As(err, &send) && send.NewConnection
}

// brokenRun returns the description of a run that broke now, or nil if its prompt has no parts.
func (e *partEvidence) brokenRun() *entry.RunBreak {
	if e.run != nil {
		e.run.Answering, e.run.Sound = e.answer.HasBegun(), e.answer.IsSound()
	}
	return e.run
}

// reportEndOfRun reports what the end of an answer that seems complete shows of the parts of the
// prompt. One that isn't delimited may have ended with its upstream.
func (r *Runner) reportEndOfRun(i *item, slot *entry.Slot, response *entry.Response, evidence *partEvidence) {
	switch {
	case evidence.answer.IsSound() || evidence.run == nil:
	case response.Delimited:
		r.reportAnswered(i, evidence)
	default:
		slot.ReportUndelimitedItemEnd(i.ID, *evidence.brokenRun())
	}
}

// reportAnswered reports that the parts of the item's prompt don't crash upstreams, and looks at
// the items again that waited for it.
func (r *Runner) reportAnswered(i *item, evidence *partEvidence) {
	r.core.ReportAnswered(i.PromptParts)
	if !evidence.probes {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, j := range r.jobs {
		for _, other := range j.items {
			if other.awaitsPart {
				other.awaitsPart, other.notBefore = false, time.Time{}
			}
		}
	}
	signal(r.work)
}

// awaitParts delays an item whose prompt has a part that isn't known to be sound, or is quarantined,
// while it may not run, and with it the items of its job with the same parts. It reports whether it
// did. The caller holds mu.
func (r *Runner) awaitParts(i *item, now time.Time) bool {
	i.awaitsPart = false
	if len(i.PromptParts) == 0 {
		return false
	}
	wait, isQuarantined := r.core.ItemWait(i.PromptParts, i.job.record.Team)
	if wait <= 0 {
		return false
	}
	for _, other := range i.job.items {
		if other.state != itemWaiting || now.Before(other.notBefore) || !slices.Equal(other.PromptParts, i.PromptParts) {
			continue
		}
		other.notBefore = now.Add(min(max(wait, minPartDelay), maxPartDelay))
		other.awaitsPart = !isQuarantined
		if isQuarantined {
			r.logHeld(other)
		}
	}
	return true
}

// logHeld logs that an item waits because a part of its prompt is quarantined: each of its runs
// would end an upstream, and all that runs there. It stays owed until its job's deadline. The caller
// holds mu.
func (r *Runner) logHeld(i *item) {
	if i.held {
		return
	}
	i.held = true
	r.log.WithFields(logrus.Fields{"event": "item_held", "job": i.job.id, "id": i.ID, "prompt_parts": strings.Join(i.PromptParts, ","), "trial_in": r.core.ItemHold(i.PromptParts, i.job.record.Team)}).
		Warn("an item waits because a part of its prompt is quarantined")
}

// endProbe ends the item's run with parts of its prompt that weren't known to be sound, if it was
// one. The argument decided tells whether it is known why the run ended. The caller holds mu.
func (r *Runner) endProbe(i *item, decided bool) {
	if i.probesParts {
		i.probesParts = false
		r.core.EndItemRun(i.key(), i.PromptParts, decided)
	}
}
