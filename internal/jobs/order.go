package jobs

import (
	"time"

	"github.com/masticscale/masticscale/internal/slots"
)

// runStats estimates how long items run, from the runs on this host.
type runStats struct {
	duration time.Duration // moving average over finished items
	events   float64       // moving average of the events per item
}

const (
	smoothingFactor = 0.2 // weight of the newest item in the moving averages
	initialDuration = 4 * time.Second
	initialEvents   = 250
	loadSlowdown    = 1.5                    // an engine with all slots in use runs at about two thirds of its usual speed
	deliveryMargin  = 700 * time.Millisecond // for storing the result and for the caller's next read
)

func newRunStats() runStats { return runStats{duration: initialDuration, events: initialEvents} }

// observe adds an item that took this long in all its runs to the averages.
func (s *runStats) observe(took time.Duration, events int) {
	s.duration += time.Duration(smoothingFactor * float64(took-s.duration))
	s.events += smoothingFactor * (float64(events) - s.events)
}

// remaining estimates the remaining run time of an item with this many events.
func (s *runStats) remaining(events int) time.Duration {
	fraction := max(1-float64(events)/max(s.events, 1), 0)
	return time.Duration(fraction * float64(s.duration))
}

// isNearlyDue reports whether an item misses its due time unless it runs from now
// on without preemption. Without this rule, long peaks of online load preempt
// items until they are late. An item that is already late has no priority.
func (s *runStats) isNearlyDue(due time.Time, events int, now time.Time) bool {
	if now.After(due) {
		return false
	}
	needed := time.Duration(loadSlowdown*float64(s.remaining(events))) + deliveryMargin
	return due.Sub(now) < needed
}

// urgency returns how soon a waiting item must run.
func (s *runStats) urgency(i *item, now time.Time) slots.Urgency {
	switch {
	case i.deferred || now.After(i.job.due):
		return slots.Deferred
	case !i.contested && s.isNearlyDue(i.job.due, i.events, now):
		return slots.NearlyDue
	}
	return slots.InTime
}

// runsBefore orders waiting items: items that can be in time come first, then those of
// teams all of whose items can, then items with the earlier due time, then items with more
// progress.
func runsBefore(a, b *item, now time.Time) bool {
	lateA, lateB := a.deferred || now.After(a.job.due), b.deferred || now.After(b.job.due)
	if lateA != lateB {
		return lateB
	}
	if a.contested != b.contested {
		return b.contested
	}
	if !a.job.due.Equal(b.job.due) {
		return a.job.due.Before(b.job.due)
	}
	if a.events != b.events {
		return a.events > b.events
	}
	return a.job.id < b.job.id
}

// nextItem returns the waiting item to run next, or nil. Jobs of the excluded routes are
// passed over.
func nextItem(jobs map[string]*job, excluded map[string]bool, now time.Time) *item {
	var best *item
	for _, j := range jobs {
		if !j.hasWork() || j.unverified || excluded[j.record.Route] {
			continue
		}
		for _, i := range j.items {
			if i.state != itemWaiting || now.Before(i.notBefore) {
				continue
			}
			if best == nil || runsBefore(i, best, now) {
				best = i
			}
		}
	}
	return best
}
