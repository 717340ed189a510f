package slots

import (
	"math"
	"time"
)

const (
	loadPeriod        = 6 * time.Second // longer than one swing of the online load
	minProtectedShare = 1.0 / 16        // of the slots, which protected items may hold whatever the online load
)

// onlineLoad tracks how many slots of the cell the online requests of a service use.
type onlineLoad struct {
	mean         float64 // moving average over loadPeriod
	peak         int     // highest use in the current period
	previousPeak int     // highest use in the period before
	periodStart  time.Time
	observed     time.Time
}

// observe adds the present use to the averages.
func (l *onlineLoad) observe(used int, now time.Time) {
	if now.Sub(l.periodStart) >= loadPeriod {
		l.previousPeak, l.peak, l.periodStart = l.peak, 0, now
	}
	l.peak = max(l.peak, used)
	if l.observed.IsZero() {
		l.mean = float64(used)
	} else {
		weight := 1 - math.Exp(-float64(now.Sub(l.observed))/float64(loadPeriod))
		l.mean += weight * (float64(used) - l.mean)
	}
	l.observed = now
}

// cellUse is the use of a service's slots in this host's cell.
type cellUse struct{ slots, online, protected int }

// cellUses returns the use of the slots by service.
func (b *Balancer) cellUses() map[string]cellUse {
	uses := map[string]cellUse{}
	for _, u := range b.ordered() {
		id := u.ID
		if !b.inCell(id) || u.isOutOfUse() || u.unreachable {
			continue
		}
		use := uses[u.Service]
		use.slots += u.usableSlots()
		use.online += u.total.Online - u.total.Protected
		use.protected += u.total.Protected
		uses[u.Service] = use
	}
	return uses
}

// ObserveLoad records the slots that online requests use at present. It must be called
// several times a second.
func (b *Balancer) ObserveLoad(now time.Time) {
	b.reviewPerformance(now)
	for service, use := range b.cellUses() {
		if b.onlineLoad[service] == nil {
			b.onlineLoad[service] = &onlineLoad{periodStart: now}
		}
		b.onlineLoad[service].observe(use.online, now)
	}
	for service, load := range b.onlineLoad {
		if now.Sub(load.observed) > 2*loadPeriod {
			delete(b.onlineLoad, service)
		}
	}
}

// BatchSlots estimates how many slots of the cell are left to batch items in the next
// seconds, as an average over the swings of the online load.
func (b *Balancer) BatchSlots(service string) float64 {
	use := b.cellUses()[service]
	left := float64(use.slots - onlineReserve(use.slots))
	if load := b.onlineLoad[service]; load != nil {
		left -= load.mean
	}
	return max(left, minProtectedShare*float64(use.slots))
}

// MayProtect reports whether one more batch item may hold a slot that online requests can't
// take: the peaks of the online load must leave a slot beside those of the protected items
// of all hosts of the cell.
func (b *Balancer) MayProtect(service string) bool {
	use := b.cellUses()[service]
	limit := use.slots
	if load := b.onlineLoad[service]; load != nil {
		limit -= max(load.peak, load.previousPeak)
	}
	least := int(math.Ceil(minProtectedShare * float64(use.slots)))
	return use.protected < max(limit, least)
}

// MakePreemptible takes the protection from a batch item. The due time decides when it is
// preempted.
func (b *Balancer) MakePreemptible(r *Run, due time.Time) {
	running := b.runs[r.Upstream][r]
	if running {
		b.countOwn(r, -1)
	}
	r.Batch, r.Protected, r.Due = true, false, due
	if running {
		b.countOwn(r, 1)
	}
}
