package jobs

import (
	"time"
)

// runStats is what this host has seen of how long items run.
type runStats struct {
	duration time.Duration // moving average of whole runs
	events   float64       // moving average of events
}

const (
	smoothingFactor = 0.2 // of the newest item in the moving averages
	initialDuration = 4 * time.Second
	initialEvents   = 250
	loadSlowdown    = 1.5                    // a full engine works at about two thirds of its usual speed
	deliveryMargin  = 700 * time.Millisecond // for writing the result and for the caller's next read
)

func newRunStats() runStats { return runStats{duration: initialDuration, events: initialEvents} }

// observe takes an item in that ran without a pause.
func (p *runStats) observe(took time.Duration, events int) {
	p.duration += time.Duration(smoothingFactor * float64(took-p.duration))
	p.events += smoothingFactor * (float64(events) - p.events)
}

// remaining estimates how long the item has to run.
func (p *runStats) remaining(events int) time.Duration {
	part := max(1-float64(events)/max(p.events, 1), 0)
	return time.Duration(part * float64(p.duration))
}

// isNearlyDue reports whether an item misses its due time unless it runs from now
// on without a pause. It answers long peaks of online load, in which items would
// otherwise be paused until they are late. An item that is late already is no
// longer hurried.
func (p *runStats) isNearlyDue(due time.Time, events int, now time.Time) bool {
	if now.After(due) {
		return false
	}
	needed := time.Duration(loadSlowdown*float64(p.remaining(events))) + deliveryMargin
	return due.Sub(now) < needed
}

// runsBefore orders waiting items: those that can still be done in time first, by
// their due time, and of one job those that have made more progress.
func runsBefore(a, b *item, now time.Time) bool {
	lateA, lateB := now.After(a.job.due), now.After(b.job.due)
	if lateA != lateB {
		return lateB
	}
	if !a.job.due.Equal(b.job.due) {
		return a.job.due.Before(b.job.due)
	}
	return a.events > b.events
}

// nextItem returns the waiting item that runs nextItem, or nil.
func nextItem(jobs map[string]*job, now time.Time) *item {
	var best *item
	for _, j := range jobs {
		if !j.hasWork() || j.unverified {
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
