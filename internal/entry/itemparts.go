package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/quarantine"
)

// maxItemWait is the time until it is decided anew whether an item may try a quarantined part.
const maxItemWait = time.Second

// ItemKey identifies an item among all jobs of this host.
type ItemKey struct{ Job, Item string }

func (k ItemKey) String() string { return k.Job + "/" + k.Item }

// ItemWait returns the time until an item with the parts may run; zero if it may run now. Where a
// part isn't known to be sound, one item at a time runs with it. It also reports whether a part is
// quarantined: requests may stay away that would try it again, and the item is owed, so one item
// does so.
func (c *Core) ItemWait(parts []string, team string) (wait time.Duration, isQuarantined bool) {
	if len(parts) == 0 {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.partCrashesRestored && len(c.members) > 0 && c.hearsAllMembers() {
		c.itemRuns.SetHeard(now)
	}
	quarantined := c.quarantinedParts(parts, team)
	wait = c.itemRuns.Wait(without(parts, quarantined), len(quarantined), c.itemRunRank, now)
	others := time.Duration(c.partCrashes.CountSuspects(parts)-1) * quarantine.OtherSuspectWait
	for part, v := range quarantined {
		wait = max(wait, c.itemTrialWait(part, v, others, now))
	}
	return wait, len(quarantined) > 0
}

// without returns the parts that aren't quarantined.
func without(parts []string, quarantined map[string]*quarantine.PartVerdict) []string {
	if len(quarantined) == 0 {
		return parts
	}
	return slices.DeleteFunc(slices.Clone(parts), func(part string) bool { return quarantined[part] != nil })
}

// itemRunRank implements quarantine.Rank. While no crash is known any host may be given items with
// the part at this moment; later those with waiting items are known. The caller must hold mu.
func (c *Core) itemRunRank(part string, suspect bool) (rank, hosts int) {
	return c.partTrialRank(part, func(p *peerRecord) bool { return !suspect || len(p.state.Waiting) > 0 })
}

// BeginItemRun records that an item runs, as ItemWait allows. It reports whether the
// run shows if one of the parts is sound; then it must be followed by EndItemRun.
func (c *Core) BeginItemRun(key ItemKey, parts []string, team string) bool {
	if len(parts) == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.beginItemTrials(key, parts, team, now)
	unknown := c.itemRuns.Begin(key.String(), parts, now)
	if c.partCrashes.Suspects(unknown) {
		c.log.WithFields(logrus.Fields{"event": "prompt_parts_probed", "parts": strings.Join(unknown, ","), "job": key.Job, "id": key.Item}).
			Info("an item runs alone with parts of a prompt that crashes count against, to find out whether upstreams still end")
	}
	return len(unknown) > 0
}

// beginItemTrials records that an item tries the quarantined ones of the parts. The caller must
// hold mu.
func (c *Core) beginItemTrials(key ItemKey, parts []string, team string, now time.Time) {
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

// itemTrialWait returns the time until an item may try the part, which it does by the given time
// later than one whose prompt has no other suspect part. Hosts with waiting items, of whatever
// team, take turns, so that the next one hears of a trial. The caller must hold mu.
func (c *Core) itemTrialWait(part string, v *quarantine.PartVerdict, others time.Duration, now time.Time) time.Duration {
	if v.NextItemTrial.IsZero() {
		return maxItemWait
	}
	t, ongoing := c.partTrials[part]
	isOutdated := t.holder != nil && !t.lastCrash.Equal(v.LastCrash) // the trial has ended an upstream
	if ongoing && !isOutdated && !t.isOver(now) {
		return maxItemWait
	}
	return max(c.itemRuns.TurnWait(part, v.NextItemTrial, c.itemRunRank, now), v.NextItemTrial.Add(others).Sub(now))
}

// EndItemRun records that the run of an item has ended. If it isn't decided why, the parts aren't
// tried again for a while: an upstream may have ended with it.
func (c *Core) EndItemRun(key ItemKey, parts []string, decided bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.itemRuns.End(key.String(), parts, decided, time.Now())
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
