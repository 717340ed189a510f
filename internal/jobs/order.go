package jobs

import (
	"time"
)

// pace is what this host has seen of how long items run.
type pace struct {
	perItem time.Duration // moving average of whole runs
	events  float64       // moving average of events
}

const (
	paceWeight    = 0.2 // of the newest item in the moving averages
	firstPerItem  = 4 * time.Second
	firstEvents   = 250
	slowdown      = 1.5                    // a full engine works at about two thirds of its usual speed
	writingMargin = 700 * time.Millisecond // for writing the result and for the caller's next read
)

func newPace() pace { return pace{perItem: firstPerItem, events: firstEvents} }

// observe takes an item in that ran without a pause.
func (p *pace) observe(took time.Duration, events int) {
	p.perItem += time.Duration(paceWeight * float64(took-p.perItem))
	p.events += paceWeight * (float64(events) - p.events)
}

// left estimates how long the item has to run.
func (p *pace) left(events int) time.Duration {
	part := max(1-float64(events)/max(p.events, 1), 0)
	return time.Duration(part * float64(p.perItem))
}

// nearlyDue reports whether an item misses its due time unless it runs from now
// on without a pause. It answers long peaks of online load, in which items would
// otherwise be paused until they are late. An item that is late already is no
// longer hurried.
func (p *pace) nearlyDue(due time.Time, events int, now time.Time) bool {
	if now.After(due) {
		return false
	}
	needed := time.Duration(slowdown*float64(p.left(events))) + writingMargin
	return due.Sub(now) < needed
}

// before orders waiting items: those that can still be done in time first, by
// their due time, and of one job those that have made more progress.
func before(a, b *item, now time.Time) bool {
	lateA, lateB := now.After(a.job.due), now.After(b.job.due)
	if lateA != lateB {
		return lateB
	}
	if !a.job.due.Equal(b.job.due) {
		return a.job.due.Before(b.job.due)
	}
	return a.events > b.events
}

// next returns the waiting item that runs next, or nil.
func next(jobs map[string]*job, now time.Time) *item {
	var best *item
	for _, j := range jobs {
		if !j.open() || j.doubtful {
			continue
		}
		for _, i := range j.items {
			if i.state != itemWaiting || now.Before(i.notBefore) {
				continue
			}
			if best == nil || before(i, best, now) {
				best = i
			}
		}
	}
	return best
}
