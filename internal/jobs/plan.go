package jobs

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/fleet"
)

const (
	planInterval      = 200 * time.Millisecond // between plans
	planCapacityShare = 0.85                   // of the expected slots; the rest covers variations of the online load
	planLogPeriod     = 5 * time.Second        // between lines about the deferred items of a service
)

// plannedItem is an item in the plan with the slot time that it still needs.
type plannedItem struct {
	item *item
	work time.Duration
}

// victims is a heap of the planned items of a team: the one to defer next comes first.
type victims []plannedItem

func (v victims) Len() int { return len(v) }
func (v victims) Less(i, j int) bool {
	if v[i].work != v[j].work {
		return v[i].work > v[j].work
	}
	return v[i].item.job.due.Before(v[j].item.job.due)
}
func (v victims) Swap(i, j int) { v[i], v[j] = v[j], v[i] }
func (v *victims) Push(x any)   { *v = append(*v, x.(plannedItem)) }
func (v *victims) Pop() any {
	last := (*v)[len(*v)-1]
	*v = (*v)[:len(*v)-1]
	return last
}

// planItems marks the items as deferred that can't end in time on this many slots, or only
// at the cost of others. Items that run under overload until all are nearly due would all
// end late; of the others, as many as possible end in time.
//
// The items are taken by due time. Where one would end late, the team that has planned the
// most work defers one: the one that needs the most time and, among equal ones, the one
// that is due first, because a newer one leaves more time for interruptions.
func (s *runStats) planItems(items []*item, slots float64, now time.Time) (deferred int) {
	slices.SortStableFunc(items, func(a, b *item) int {
		return cmp.Or(a.job.due.Compare(b.job.due), cmp.Compare(a.job.id, b.job.id))
	})
	slots *= planCapacityShare
	planned := map[string]*victims{}
	byTeam := map[string]time.Duration{}
	var total time.Duration
	for _, i := range items {
		i.deferred, i.contested = false, false
		work, left := s.remaining(i.events), i.job.due.Sub(now)-deliveryMargin
		if work > left {
			i.deferred = true
			deferred++
			continue
		}
		team := i.job.record.Team
		if planned[team] == nil {
			planned[team] = &victims{}
		}
		heap.Push(planned[team], plannedItem{i, work})
		total, byTeam[team] = total+work, byTeam[team]+work
		for float64(total) > float64(left)*slots && total > work {
			team := mostPlanned(byTeam)
			victim := heap.Pop(planned[team]).(plannedItem)
			victim.item.deferred = true
			deferred++
			total, byTeam[team] = total-victim.work, byTeam[team]-victim.work
			if victim.item == i {
				break
			}
		}
	}
	markContested(items)
	return deferred
}

// markContested marks the items of teams that have deferred items.
func markContested(items []*item) {
	contested := map[string]bool{}
	for _, i := range items {
		if i.deferred {
			contested[i.job.record.Team] = true
		}
	}
	for _, i := range items {
		i.contested = contested[i.job.record.Team]
	}
}

// mostPlanned returns the team with the most planned work.
func mostPlanned(byTeam map[string]time.Duration) string {
	most := ""
	for team, work := range byTeam {
		if most == "" || work > byTeam[most] || work == byTeam[most] && team < most {
			most = team
		}
	}
	return most
}

// planState is what the runner remembers of its last plan.
type planState struct {
	at       time.Time
	loggedAt time.Time
	deferred int // items in the last logged plan
}

// replan plans the unfinished items of all jobs, if the last plan is old. Running items
// that are deferred can be preempted from then on. The caller holds mu.
func (r *Runner) replan(now time.Time) {
	if now.Sub(r.plan.at) < planInterval {
		return
	}
	r.plan.at = now
	config := r.core.Config()
	if config == nil {
		return
	}
	unfinished, deferred := 0, 0
	for service, items := range r.itemsByService(config) {
		unfinished += len(items)
		deferred += r.stats.planItems(items, r.core.BatchShare(service), now)
		for _, i := range items {
			if i.deferred && i.slot != nil && !i.preemptible {
				i.preemptible = true
				i.slot.Defer(i.job.deadline)
			}
		}
	}
	r.logPlan(unfinished, deferred, now)
}

// itemsByService returns the unfinished items by the main service of their route. The caller
// holds mu.
func (r *Runner) itemsByService(config *fleet.Config) map[string][]*item {
	byService := map[string][]*item{}
	for _, j := range r.jobs {
		route := config.RouteNamed(j.record.Route)
		if !j.hasWork() || j.unverified || route == nil {
			continue
		}
		service := route.MainTarget()
		for _, i := range j.items {
			if i.state != itemFinished {
				byService[service] = append(byService[service], i)
			}
		}
	}
	return byService
}

// logPlan logs that items are deferred, or no longer. The caller holds mu.
func (r *Runner) logPlan(unfinished, deferred int, now time.Time) {
	if deferred == r.plan.deferred || (deferred > 0) == (r.plan.deferred > 0) && now.Sub(r.plan.loggedAt) < planLogPeriod {
		return
	}
	r.plan.loggedAt, r.plan.deferred = now, deferred
	r.log.WithFields(logrus.Fields{
		"event": "items_deferred", "deferred": deferred, "unfinished": unfinished, "run_ms": r.stats.duration.Milliseconds(),
	}).Info("number of batch items that can't all end in time changed; they run after those that can")
}

// yieldDeferred stops a running deferred item of the route, so that one that can be in time
// gets its slot. The caller holds mu.
func (r *Runner) yieldDeferred(route string) {
	if i := deferredRun(r.jobs, route); i != nil {
		i.yielding = true
		i.cancelRun()
	}
}

// deferredRun returns a running deferred item of the route that may be stopped, or nil.
func deferredRun(jobs map[string]*job, route string) *item {
	for _, j := range jobs {
		if j.record.Route != route {
			continue
		}
		for _, i := range j.items {
			if i.mayYield() {
				return i
			}
		}
	}
	return nil
}

// mayYield reports whether the item runs, is deferred and hasn't been stopped yet, and others can
// take its slot.
func (i *item) mayYield() bool {
	return i.state == itemRunning && i.deferred && !i.yielding && i.cancelRun != nil && (i.slot == nil || !i.slot.IsEvacuated())
}
