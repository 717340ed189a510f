package entry

import (
	"cmp"
	"hash/fnv"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/eventstream"
	"github.com/masticscale/masticscale/internal/quarantine"
)

const (
	soundAnswerTime = 250 * time.Millisecond // from the first event, after which the upstream would have ended
	partTrialGap    = 250 * time.Millisecond // between the times from which hosts may try a quarantined part
	maxPartTrialGap = 4 * time.Second        // between those of the first and the last host
	partTrialTime   = 3 * time.Second        // in which a request that tries a part shows its end
	minPartRetry    = time.Second            // Retry-After of a request whose part is due to be tried
)

// partTrial is a request, or an item of a job, that this host runs though a part of its prompt
// is quarantined.
type partTrial struct {
	holder    *request  // nil if an item holds it
	item      ItemKey   // zero if a request holds it
	lastCrash time.Time // of the part, when the trial began
	since     time.Time // begin of a request's trial, or end of an item's run; zero while an item runs
}

// isOver reports whether another request or item may try the part.
func (t partTrial) isOver(now time.Time) bool {
	return !t.since.IsZero() && now.Sub(t.since) >= partTrialTime
}

// checkPromptParts returns an error if a part of the prompt is quarantined, unless the request
// is the one that tries it again.
func (h *Handler) checkPromptParts(r *request) error {
	if len(r.PromptParts) == 0 {
		return nil
	}
	refusal := h.core.admitPromptParts(r, time.Now())
	switch {
	case refusal == nil:
		return nil
	case r.runs > 0:
		return refusal.MayHaveRun()
	}
	return refusal
}

// admitPromptParts updates whether crashes count against a part of the request's prompt, and
// returns an error if the request must not run.
func (c *Core) admitPromptParts(r *request, now time.Time) *apierr.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.partCrashes.Empty() {
		r.hasSuspectPart, r.isPartTrial = false, false
		return nil
	}
	r.hasSuspectPart = c.partCrashes.Suspects(r.PromptParts)
	part, verdict, others := c.quarantinedPart(r.PromptParts, r.team.Name)
	r.isPartTrial = verdict != nil && others == 0 && c.takesPartTrial(part, verdict, r, now)
	if verdict == nil || r.isPartTrial {
		return nil
	}
	return quarantinedPartError(part, verdict).WithRetryAfter(c.partRetryAfter(verdict, now))
}

func quarantinedPartError(part string, v *quarantine.PartVerdict) *apierr.Error {
	return apierr.Newf(apierr.Quarantined, "send the prompt without this part; operators find it in the log as prompt_part_quarantined",
		"%d upstreams ended when they began to answer requests with part %q of the prompt", v.Crashes, part)
}

// quarantinedPart returns the first part that is quarantined for requests of the team, and how
// many others are. The caller must hold mu.
func (c *Core) quarantinedPart(parts []string, team string) (first string, verdict *quarantine.PartVerdict, others int) {
	for _, part := range parts {
		v := c.partCrashes.Verdict(part)
		switch {
		case v == nil || !v.AppliesTo(team):
		case verdict != nil:
			others++
		default:
			first, verdict = part, v
		}
	}
	return first, verdict, others
}

// refusesPromptParts reports whether requests of the team with the parts aren't run. The
// caller must hold mu.
func (c *Core) refusesPromptParts(parts []string, team string) bool {
	_, verdict, _ := c.quarantinedPart(parts, team)
	return verdict != nil
}

// RefusesPromptParts reports whether requests of the team with the parts aren't run.
func (c *Core) RefusesPromptParts(parts []string, team string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusesPromptParts(parts, team)
}

// partRetryAfter returns the time after which a request with the part may be served. The
// caller must hold mu.
func (c *Core) partRetryAfter(v *quarantine.PartVerdict, now time.Time) time.Duration {
	if v.NextTrial.IsZero() {
		return v.Remaining(now)
	}
	return max(v.NextTrial.Sub(now), minPartRetry)
}

// takesPartTrial reports whether the request is the one of this host that runs the part again.
// It isn't one whose content may crash upstreams: that would say nothing of the part. Hosts may
// do so one after the other, so that those after the first hear of its trial. The caller must
// hold mu.
func (c *Core) takesPartTrial(part string, v *quarantine.PartVerdict, r *request, now time.Time) bool {
	if v.NextTrial.IsZero() || r.suspicion >= quarantine.Isolated || now.Before(v.NextTrial.Add(c.partTrialDelay(part))) {
		return false
	}
	t, ongoing := c.partTrials[part]
	if ongoing && t.lastCrash.Equal(v.LastCrash) && t.holder != r && !t.isOver(now) {
		return false
	}
	if !ongoing || t.holder != r {
		c.partTrials[part] = partTrial{holder: r, lastCrash: v.LastCrash, since: now}
		c.log.WithFields(logrus.Fields{"event": "prompt_part_tried", "part": part, "id": r.ID, "crashes": v.Crashes, "age_ms": now.Sub(v.LastCrash).Milliseconds()}).
			Info("a request with a quarantined part of a prompt runs, to find out whether upstreams still end")
	}
	return true
}

// partTrialDelay returns how much later than the first host this one may try the part. The
// caller must hold mu.
func (c *Core) partTrialDelay(part string) time.Duration {
	rank, hosts := c.partTrialRank(part, func(*peerRecord) bool { return true })
	return time.Duration(rank) * min(partTrialGap, maxPartTrialGap/time.Duration(hosts))
}

// partTrialRank returns this host's place, from 0 on, in the order in which hosts try the part,
// and the number of hosts: this one and the active peers that take part. The caller must hold mu.
func (c *Core) partTrialRank(part string, takesPart func(*peerRecord) bool) (rank, hosts int) {
	type place struct {
		hash uint64
		name string
	}
	placeOf := func(host string) place {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(part + "\x00" + host)) // a hash never fails
		return place{hash.Sum64(), host}
	}
	own := placeOf(c.self.Name)
	hosts = 1
	for name, p := range c.peers {
		if p.unresponsive || p.state.Leaving || !takesPart(p) {
			continue
		}
		hosts++
		if other := placeOf(name); cmp.Or(cmp.Compare(other.hash, own.hash), cmp.Compare(other.name, own.name)) < 0 {
			rank++
		}
	}
	return rank, hosts
}

// addPartCrash counts the end of the run's upstream against the parts of its prompt and tells
// peers. The caller must hold mu.
func (c *Core) addPartCrash(run quarantine.BrokenRun, now time.Time) {
	if len(run.PromptParts) == 0 || !c.partCrashes.Observe(run, now) {
		return
	}
	c.log.WithFields(logrus.Fields{
		"event": "prompt_parts_suspected", "parts": strings.Join(run.PromptParts, ","), "upstream": run.Upstream.ID,
		"fingerprint": run.Fingerprint, "team": run.Team, "sent_ms": now.Sub(run.Sent).Milliseconds(), "unproven": run.Unproven,
	}).Warn("an upstream ended before it had begun to answer a request with these parts of a prompt")
	c.logPartVerdicts(run.PromptParts, "here", now)
	c.notifyUrgentChange()
	c.rejectRefusedWaiters()
}

// mergePartCrashes adds the crashes that a peer reports. The caller must hold mu.
func (c *Core) mergePartCrashes(host string, crashes []quarantine.PartCrash) {
	var changed []string
	for _, x := range crashes {
		if c.partCrashes.Merge(x) && !slices.Contains(changed, x.Part) {
			changed = append(changed, x.Part)
		}
	}
	if len(changed) == 0 {
		return
	}
	c.stateDirty = true
	c.logPartVerdicts(changed, host, time.Now())
	c.rejectRefusedWaiters()
}

// logPartVerdicts logs which of the parts are quarantined, once for each crash, and which no
// longer are. The caller must hold mu.
func (c *Core) logPartVerdicts(parts []string, from string, now time.Time) {
	for _, part := range parts {
		v := c.partCrashes.Verdict(part)
		logged, known := c.loggedParts[part]
		switch {
		case v == nil && known:
			delete(c.loggedParts, part)
			c.log.WithFields(logrus.Fields{"event": "prompt_part_released", "part": part, "from": from}).Info("requests with this part of a prompt are run again")
		case v != nil && v.Crashes != logged:
			c.loggedParts[part] = v.Crashes
			c.log.WithFields(logrus.Fields{"event": "prompt_part_quarantined", "part": part, "from": from, "crashes": v.Crashes, "age_ms": now.Sub(v.LastCrash).Milliseconds()}).
				Error("part of a prompt quarantined: upstreams ended when they began to answer requests with it; they are refused from now on")
		}
	}
}

// rejectRefusedWaiters rejects the queued requests with a part that has been quarantined. The
// caller must hold mu.
func (c *Core) rejectRefusedWaiters() {
	if !c.queue.IsEmpty() {
		c.reviewQueue()
	}
}

// reviewParts removes the parts whose suspicion has expired, and trials that have shown their
// end. The caller must hold mu.
func (c *Core) reviewParts(now time.Time) {
	c.partCrashes.Expire(now)
	maps.DeleteFunc(c.partTrials, func(_ string, t partTrial) bool { return t.isOver(now) })
	c.itemRuns.Expire(now)
	c.logPartVerdicts(slices.Collect(maps.Keys(c.loggedParts)), "review", now)
}

// ReportAnswered records that an upstream has begun to answer a request with the parts of a
// prompt, and goes on: they don't crash upstreams.
func (c *Core) ReportAnswered(parts []string) {
	if len(parts) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	cleared := c.partCrashes.Answer(parts, now)
	if len(cleared) == 0 {
		return
	}
	c.log.WithFields(logrus.Fields{"event": "prompt_parts_cleared", "parts": strings.Join(cleared, ",")}).
		Info("an upstream answers a request with these parts of a prompt; crashes no longer count against them")
	c.logPartVerdicts(cleared, "here", now)
	c.notifyUrgentChange()
}

// QuarantinedPartsHere returns the crashes of the quarantined parts of prompts of which this
// host has observed a crash.
func (c *Core) QuarantinedPartsHere() map[string][]quarantine.PartCrash {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partCrashes.QuarantinedHere()
}

// IsPartQuarantined reports whether requests with the part aren't run.
func (c *Core) IsPartQuarantined(part string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partCrashes.Verdict(part) != nil
}

// RestorePartCrashes adds the crashes that were stored before this host started.
func (c *Core) RestorePartCrashes(crashes []quarantine.PartCrash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mergePartCrashes("store", crashes)
}

// PartCrashesRestored records that all crashes were added that were stored before this host started.
func (c *Core) PartCrashesRestored() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partCrashesRestored = true
}

// AnswerWatch tells whether an upstream goes on with an answer that it has begun. The zero value
// is that of a run without an event.
type AnswerWatch struct {
	since time.Time // first event with data; zero before it
	sound bool      // the upstream went on for soundAnswerTime after it, or has sent the whole answer
}

// Observe records that events of the answer have arrived. It reports whether they show that the
// prompt doesn't crash the upstream, and no earlier ones did: it has gone on for soundAnswerTime.
func (a *AnswerWatch) Observe(events []eventstream.Event, now time.Time) bool {
	if a.sound || !slices.ContainsFunc(events, func(e eventstream.Event) bool { return e.Data != nil }) {
		return false
	}
	if a.since.IsZero() {
		a.since = now
	}
	a.sound = now.Sub(a.since) >= soundAnswerTime
	return a.sound
}

// HasBegun reports whether an event with data has arrived.
func (a *AnswerWatch) HasBegun() bool { return !a.since.IsZero() }

// IsSound reports whether the prompt doesn't crash the upstream, according to the answer so far.
func (a *AnswerWatch) IsSound() bool { return a.sound }

// observeEvents records that events of the response have arrived.
func (h *Handler) observeEvents(r *request, events []eventstream.Event) {
	if r.answering.Observe(events, time.Now()) {
		h.core.ReportAnswered(r.PromptParts)
	}
}

// reportEndOfRun reports what the end of a response that was relayed to its end shows. One
// that isn't delimited may have ended with its upstream.
func (h *Handler) reportEndOfRun(r *request, slot *Slot, resp *Response) {
	succeeded := resp.Status < http.StatusMultipleChoices
	if !resp.Delimited {
		r.reportUndelimited(slot, succeeded)
		return
	}
	if succeeded && !r.answering.sound {
		r.answering.sound = true
		h.core.ReportAnswered(r.PromptParts)
	}
	if h.core.TracksCompletion(len(r.Body)) {
		h.core.ReportCompletedRun(r.fingerprint())
	}
}

// reportUndelimited reports a response that ended with its connection. Whether its upstream
// has ended too is checked for requests that are suspected, and otherwise if the upstream is
// silent from then on.
func (r *request) reportUndelimited(slot *Slot, succeeded bool) {
	if r.suspicion == quarantine.Clear && !r.hasSuspectPart {
		r.reportAbandoned(slot, true)
		return
	}
	slot.ReportUndelimitedEnd(r.brokenRun(true), succeeded)
}
