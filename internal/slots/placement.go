package slots

import (
	"slices"
	"time"
)

// PlaceOnline picks the upstream for an online request, other than the excluded
// ones. Load can rise faster than batch items complete, so where no slot is free,
// PlaceOnline picks an upstream that runs a batch item, and the host of the item
// preempts it. Items of this host are preferred, because other hosts must first
// receive a message about the request. The second result is false when online
// requests hold all slots.
func (b *Balancer) PlaceOnline(service string, excluded map[string]bool, now time.Time) (string, bool) {
	id, ok := b.placeOnline(service, now, func(u *upstream) bool { return !excluded[u.ID] })
	if !ok && len(excluded) == 0 { // otherwise an excluded one may have room
		b.warmUps.recordNoUpstream(service, now)
	}
	return id, ok
}

// placeOnline is PlaceOnline among the upstreams that are fit.
func (b *Balancer) placeOnline(service string, now time.Time, isFit func(*upstream) bool) (string, bool) {
	var best *upstream
	var bestScore float64
	for _, u := range b.ordered() {
		id := u.ID
		if !u.isAvailable(service, now) || !b.mayUse(id) && !u.isWarmingUp(now) || u.total.Online+u.unaccountedAt(now) >= u.usableSlots() || !isFit(u) {
			continue
		}
		if score := b.scoreOnline(u, now); best == nil || score > bestScore {
			best, bestScore = u, score
		}
	}
	if best == nil {
		return "", false
	}
	return best.ID, true
}

// The parts of a placement score. Each outweighs the ones below it.
const (
	scoreFree           = 1000  // a slot is free
	scoreAvoided        = -1000 // was silent or has just failed the item; for batch items
	scoreEjected        = -1000 // an ejected upstream is used only if no other is left
	scoreIsolating      = -250  // keeps requests apart from an isolated run while others have free slots
	scoreCold           = -200  // may be slow; used before items are preempted
	scoreOwnBatch       = 700   // a batch item of this host can be preempted
	scoreSpillover      = 600   // slots are free at an upstream of another cell
	scorePeerBatch      = 500   // a batch item of another host of the cell can be preempted
	scorePerFreeSlot    = 1     // an engine with fewer requests is faster
	scoreSameDataCentre = 0.9   // saves traffic between data centres
	scoreJitter         = 1.0   // keeps hosts from picking the same upstream at once
)

// minSpilloverFree is the number of free slots that an upstream of another cell
// must show: hosts of that cell may have taken slots that they haven't reported yet.
const minSpilloverFree = 2

func (b *Balancer) scoreOnline(u *upstream, now time.Time) float64 {
	score := b.random.Float64() * scoreJitter
	if u.outlier.isEjected(now) || u.isAvoided(now) {
		if b.learned[u.Service] != nil { // the scores of others may be negative
			score += scoreEjected
		}
		return score // below all others
	}
	free := u.freeSlots(now)
	switch inCell := b.inCell(u.ID); {
	case inCell && free > 0:
		score += scoreFree
	case u.own.Batch > 0:
		score += scoreOwnBatch
	case !inCell && free >= minSpilloverFree:
		score += scoreSpillover
	case inCell:
		score += scorePeerBatch
	}
	if u.total.Isolated > 0 {
		score += scoreIsolating
	}
	if u.isWarmingUp(now) {
		score += scoreCold
	}
	if u.DataCentre == b.dataCentre {
		score += scoreSameDataCentre
	}
	return score + float64(free)*scorePerFreeSlot + b.learnedScore(u, now)
}

// Urgency is how soon a batch item must run.
type Urgency int

const (
	InTime    Urgency = iota // is expected to end in time
	NearlyDue                // must run from now on without preemption to end in time
	Deferred                 // can't end in time any more, or only at the cost of another item
)

// PlaceBatch picks the upstream for a batch item. Batch items fill the slots that
// online load leaves free, except for a reserve: online load swings from second
// to second, and the next online requests take the reserve without preempting an
// item. Deferred items leave more free, for other hosts' items that can be in time.
// Items that are nearly due may use the reserve, and where no slot of the cell is
// free, the upstreams of other cells that are open to this host's online requests.
// The upstreams to avoid are used last, and among them the first ones first.
func (b *Balancer) PlaceBatch(service string, urgency Urgency, avoid []string, now time.Time) (string, bool) {
	nearlyDue := urgency == NearlyDue
	capacity := b.Capacity(service, now)
	if capacity.Upstreams == 0 && !b.cellBacksOff(service, now) {
		return b.placeBatchElsewhere(service, func(*upstream) bool { return true }, now)
	}
	if nearlyDue && capacity.Free == 0 {
		return b.placeBatchElsewhere(service, func(u *upstream) bool { return b.mayUse(u.ID) && !u.outlier.isEjected(now) }, now)
	}
	reserve := onlineReserve(capacity.Slots)
	switch urgency {
	case NearlyDue:
		reserve = 0
	case Deferred:
		reserve = int(deferredReserveFraction * float64(capacity.Slots))
	}
	if capacity.Free <= reserve {
		return "", false
	}
	var best *upstream
	var bestScore float64
	for _, u := range b.ordered() {
		if !u.isAvailable(service, now) || !u.maySendBatch(now) || u.freeSlots(now) <= 0 || !b.inCell(u.ID) || u.outlier.isEjected(now) {
			continue
		}
		score := float64(u.freeSlots(now))*scorePerFreeSlot + b.random.Float64()*scoreJitter
		if u.DataCentre == b.dataCentre {
			score += scoreSameDataCentre
		}
		if u.isAvoided(now) {
			score += scoreAvoided
		}
		score += scoreAvoided * float64(slices.Index(avoid, u.ID)+1)
		score += b.learnedItemScore(u, nearlyDue, now)
		if best == nil || score > bestScore {
			best, bestScore = u, score
		}
	}
	if best == nil {
		return "", false
	}
	return best.ID, true
}

// cellBacksOff reports whether an upstream of this host's cell is out of use only for a
// moment, after a failure or a rejection for lack of slots.
func (b *Balancer) cellBacksOff(service string, now time.Time) bool {
	for _, u := range b.ordered() {
		if u.Service == service && b.inCell(u.ID) && !u.isOutOfUse() && !u.unreachable && !u.outlier.isEjected(now) && !u.isAvailable(service, now) {
			return true
		}
	}
	return false
}

// placeBatchElsewhere picks the upstream for a batch item of a host whose cell has none to
// use: one of another cell, or else one that is ejected. It must be less than half full,
// because the load of other cells is known with a delay, and mayUse must hold for it.
func (b *Balancer) placeBatchElsewhere(service string, mayUse func(*upstream) bool, now time.Time) (string, bool) {
	var best *upstream
	var bestScore float64
	for _, u := range b.ordered() {
		free := u.freeSlots(now)
		if !u.isAvailable(service, now) || !u.maySendBatch(now) || !mayUse(u) || 2*free <= u.Slots {
			continue
		}
		score := float64(free)*scorePerFreeSlot + b.random.Float64()*scoreJitter
		if u.outlier.isEjected(now) {
			score += scoreEjected
		}
		if u.DataCentre == b.dataCentre {
			score += scoreSameDataCentre
		}
		if best == nil || score > bestScore {
			best, bestScore = u, score
		}
	}
	if best == nil {
		return "", false
	}
	return best.ID, true
}

// reserveFraction is the part of a service's slots that batch items leave free.
// At the request rates of the users' load sheets, online requests fill the reserve
// in about 50 ms, by which time other hosts have received the new counts.
const reserveFraction = 0.04

// deferredReserveFraction is the part of a service's slots that deferred items leave free.
const deferredReserveFraction = 0.125

func onlineReserve(slots int) int { return int(float64(slots)*reserveFraction + 0.5) }
