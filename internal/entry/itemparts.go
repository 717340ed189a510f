package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/quarantine"
)

const (
	itemTrialGap    = time.Second     // between the times from which hosts may try a quarantined part with an item
	maxItemTrialGap = 4 * time.Second // between those of the first and the last host
)

// ItemKey identifies an item among all jobs of this host.
type ItemKey struct{ Job, Item string }

// MayTryItem reports whether an item with the parts may run though some of them are quarantined.
// Requests may stay away that would try them again, and the item is owed; so one item at a time
// does so.
func (c *Core) MayTryItem(parts []string, backlog mesh.Backlog) bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for part, v := range c.quarantinedParts(parts, backlog.Team) {
		if !c.mayTryWithItem(part, v, backlog, now) {
			return false
		}
	}
	return true
}

// BeginItemTrial records that an item runs, as MayTryItem allows. It must be followed by
// EndItemTrial.
func (c *Core) BeginItemTrial(key ItemKey, parts []string, team string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for part, v := range c.quarantinedParts(parts, team) {
		c.partTrials[part] = partTrial{item: key, lastCrash: v.LastCrash}
		c.log.WithFields(logrus.Fields{"event": "prompt_part_tried", "part": part, "job": key.Job, "id": key.Item, "crashes": v.Crashes, "age_ms": now.Sub(v.LastCrash).Milliseconds()}).
			Info("an item with a quarantined part of a prompt runs, to find out whether upstreams still end")
	}
}

// quarantinedParts returns the parts that are quarantined for requests of the team. The caller
// must hold mu.
func (c *Core) quarantinedParts(parts []string, team string) map[string]*quarantine.PartVerdict {
	quarantined := map[string]*quarantine.PartVerdict{}
	for _, part := range parts {
		if v := c.partCrashes.Verdict(part); v != nil && v.AppliesTo(team) {
			quarantined[part] = v
		}
	}
	return quarantined
}

// mayTryWithItem reports whether an item may try the part now. Hosts with waiting items of the
// backlog may do so one after the other, so that those after the first hear of its trial. The
// caller must hold mu.
func (c *Core) mayTryWithItem(part string, v *quarantine.PartVerdict, backlog mesh.Backlog, now time.Time) bool {
	if v.NextItemTrial.IsZero() {
		return false
	}
	rank, hosts := c.partTrialRank(part, func(p *peerRecord) bool { return p.state.Waiting[backlog] > 0 })
	delay := time.Duration(rank) * min(itemTrialGap, maxItemTrialGap/time.Duration(hosts))
	if now.Before(v.NextItemTrial.Add(delay)) {
		return false
	}
	t, ongoing := c.partTrials[part]
	isOutdated := t.holder != nil && !t.lastCrash.Equal(v.LastCrash) // the trial has ended an upstream
	return !ongoing || isOutdated || t.isOver(now)
}

// EndItemTrial records that the run of an item that tried parts has ended. If it isn't decided
// why, the parts aren't tried again for a while: an upstream may have ended with it.
func (c *Core) EndItemTrial(key ItemKey, parts []string, decided bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, part := range parts {
		t := c.partTrials[part]
		if t.item != key {
			continue
		}
		delete(c.partTrials, part)
		if !decided {
			t.since = time.Now()
			c.partTrials[part] = t
		}
	}
}

// RefuseItem returns an error if no item of the team with the parts may run within the given time:
// a part stays quarantined for longer, and the last allowed trial has failed.
func (c *Core) RefuseItem(parts []string, team string, within time.Duration) *apierr.Error {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for part, v := range c.quarantinedParts(parts, team) {
		if left := v.Remaining(now); v.NextItemTrial.IsZero() && left >= within {
			return quarantinedPartError(part, v).WithRetryAfter(left)
		}
	}
	return nil
}

// ItemHold describes for logs why an item waits: the quarantined parts of its prompt, each with
// the time until an item may try it, or "never".
func (c *Core) ItemHold(parts []string, team string) string {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var holds []string
	for part, v := range c.quarantinedParts(parts, team) {
		next := "never"
		if !v.NextItemTrial.IsZero() {
			next = max(v.NextItemTrial.Sub(now), 0).String()
		}
		holds = append(holds, part+" "+next)
	}
	slices.Sort(holds)
	return strings.Join(holds, ",")
}
