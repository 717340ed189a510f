package slots

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// QueueKey identifies the requests of one team and priority that wait for a service.
type QueueKey struct {
	Service  string
	Team     string
	Priority int
}

// QueueGroup is the number of a host's requests with the same QueueKey.
type QueueGroup struct {
	Requests int
	Oldest   time.Time // arrival of the oldest of them
}

// Queued is what a host tells the other hosts of its cell about its waiting requests. Its size
// depends on the teams and priorities that wait, not on the number of requests.
type Queued map[QueueKey]QueueGroup

// FairOrder is one order of the waiting requests of all hosts of a cell: by the share that
// their team uses of its rate, then by priority, then those that can still be in time, then by
// arrival. Each host applies it to its own requests and to what the others report of theirs,
// and leaves a free slot to requests of others that come first.
type FairOrder struct {
	self      string
	hosts     map[string]bool      // of the cell that are live
	ranks     map[string]int       // of teams; the lowest goes first
	hot       map[string]bool      // teams that use far more of their rate than all together
	peers     map[string]Queued    // by host
	freeSince map[string]time.Time // upstreams with room for an online request
	runTime   map[string]float64   // mean duration of online requests in seconds, by service
}

// NewFairOrder returns an order of teams that have used nothing, without reports of peers.
func NewFairOrder(self string) *FairOrder {
	return &FairOrder{self: self, ranks: map[string]int{}, hot: map[string]bool{}, peers: map[string]Queued{}, freeSince: map[string]time.Time{}, runTime: map[string]float64{}}
}

const (
	// minRankedShare is the share of its rate below which a team has the first rank. A team
	// below it has so few requests that others lose nothing by its precedence.
	minRankedShare = 1.0 / 64
	// slotLeftTime is the time for which a free slot is left to requests of other hosts. A host
	// hears of the slot and reports that it has taken it in less.
	slotLeftTime = 30 * time.Millisecond
	// slotTurnTime is the time for which a host has the turn at a slot that has stayed free. The
	// others hear within it that the slot is taken: hosts of a cell combine changes for 5 ms.
	slotTurnTime = 10 * time.Millisecond
	// hotFactor is how much more of its rate a hot team uses than all teams together.
	hotFactor = 2
	// runTimeWeight is the weight of one request in the mean duration.
	runTimeWeight = 1.0 / 32
)

// rankOf returns the rank of a team that uses the share of its rate. A rank covers shares up to
// a factor of two, because hosts learn of admissions at different times and must mostly
// agree on the order.
func rankOf(share float64) int {
	if share < minRankedShare {
		return 0
	}
	return 1 + int(math.Log2(share/minRankedShare))
}

// SetShares replaces the shares of their rates that the teams use, and for each team the share
// that the other active ones use of all their rates; a team without others can't be hot.
func (o *FairOrder) SetShares(shares, others map[string]float64) {
	clear(o.ranks)
	clear(o.hot)
	for team, share := range shares {
		o.ranks[team] = rankOf(share)
		if other, compared := others[team]; compared && share >= minRankedShare && share > hotFactor*other {
			o.hot[team] = true
		}
	}
}

// IsActive reports whether a team with the share counts among those that a hot one is
// compared with.
func IsActive(share float64) bool { return share >= minRankedShare }

// IsHot reports whether the team uses far more of its rate than the other teams together.
func (o *FairOrder) IsHot(team string) bool { return o.hot[team] }

// SetPeer replaces what a host of the cell reports of its waiting requests.
func (o *FairOrder) SetPeer(host string, queued Queued) {
	if len(queued) == 0 {
		delete(o.peers, host)
		return
	}
	o.peers[host] = queued
}

// compareClass compares the team and the priority of requests.
func (o *FairOrder) compareClass(team string, priority int, otherTeam string, otherPriority int) int {
	return cmp.Or(cmp.Compare(o.ranks[team], o.ranks[otherTeam]), cmp.Compare(priority, otherPriority))
}

// compare compares two waiting requests of this host. Within a class it is the order of Queue.
func (o *FairOrder) compare(a, b *Waiter, now time.Time) int {
	if class := o.compareClass(a.Team, a.Priority, b.Team, b.Priority); class != 0 {
		return class
	}
	switch {
	case before(a, b, now):
		return -1
	case before(b, a, now):
		return 1
	}
	return 0
}

// Sorted returns the waiting requests of this host in the order in which they get slots.
func (o *FairOrder) Sorted(q *Queue, now time.Time) []*Waiter {
	sorted := slices.Clone(q.waiting)
	slices.SortStableFunc(sorted, func(a, b *Waiter) int { return o.compare(a, b, now) })
	return sorted
}

// Ahead returns how many waiting requests of this host's queue and of other hosts get slots of
// the service before the waiter.
func (o *FairOrder) Ahead(q *Queue, w *Waiter, now time.Time) (own, peers int) {
	for _, x := range q.waiting {
		if x != w && x.Service == w.Service && o.compare(x, w, now) < 0 {
			own++
		}
	}
	return own, o.AheadOnPeers(w, now)
}

// AheadOnPeers returns how many requests of other hosts get slots before the waiter. Of its
// class those are the older ones, of which only the oldest arrival is known: they are taken
// to have arrived evenly since.
func (o *FairOrder) AheadOnPeers(w *Waiter, now time.Time) int {
	ahead := 0
	for _, queued := range o.peers {
		for key, group := range queued {
			if key.Service != w.Service {
				continue
			}
			switch class := o.compareClass(key.Team, key.Priority, w.Team, w.Priority); {
			case class < 0:
				ahead += group.Requests
			case class == 0 && group.Oldest.Before(w.Arrived):
				older := float64(w.Arrived.Sub(group.Oldest)) / float64(now.Sub(group.Oldest))
				ahead += int(math.Ceil(float64(group.Requests) * min(older, 1)))
			}
		}
	}
	return ahead
}

// TeamWaiting returns how many requests of the team wait for the service in the cell.
func (o *FairOrder) TeamWaiting(q *Queue, service, team string) int {
	n := 0
	for _, w := range q.waiting {
		if w.Service == service && w.Team == team {
			n++
		}
	}
	for _, queued := range o.peers {
		for key, group := range queued {
			if key.Service == service && key.Team == team {
				n += group.Requests
			}
		}
	}
	return n
}

// LeavesSlot reports whether this host leaves the room of its cell to requests of other hosts,
// instead of giving a slot of the upstream to the waiter. The cell is as ObserveRoom returned
// it, without the slots given since. A hot team also leaves the last room, one slot for each
// host and a quarter of the slots at most: others may be about to use it, and the hosts hear
// of that only afterwards.
//
// A slot that stays free is given in the end, so that a report that is late or wrong wastes
// little: by one host after the other, because it can be used only once.
func (o *FairOrder) LeavesSlot(w *Waiter, upstream string, cell CellRoom, now time.Time) bool {
	var leave time.Duration
	if o.hot[w.Team] && cell.Free <= min(len(o.hosts), cell.Slots/4) {
		leave = slotLeftTime
	}
	if ahead := o.AheadOnPeers(w, now); ahead > 0 && ahead >= cell.Free {
		leave += slotLeftTime + time.Duration(o.turn(upstream))*slotTurnTime
	}
	return now.Sub(o.freeSince[upstream]) < leave
}

// turn returns the number of hosts of the cell that come before this one where a slot of the
// upstream has stayed free.
func (o *FairOrder) turn(upstream string) int {
	n := 0
	for host := range o.hosts {
		if host != o.self && preemptsBefore(host, o.self, upstream) {
			n++
		}
	}
	return n
}

// SetHosts replaces the hosts of the cell, by name, and drops the reports of others.
func (o *FairOrder) SetHosts(hosts map[string]bool) {
	o.hosts = hosts
	maps.DeleteFunc(o.peers, func(host string, _ Queued) bool { return !hosts[host] })
}

// CellRoom is the state of a service's available upstreams in this host's cell.
type CellRoom struct {
	Free  int // slots that online requests may take
	Slots int
}

// roomAt returns the slots of an upstream that online requests may take.
func (u *upstream) roomAt(now time.Time) int {
	return max(u.usableSlots()-u.total.Online-u.unaccountedAt(now), 0)
}

// ObserveStart records that a run of this host has started at the upstream, which may have no
// room any more.
func (o *FairOrder) ObserveStart(b *Balancer, id string, now time.Time) {
	if u, ok := b.upstreams[id]; !ok || u.roomAt(now) == 0 {
		delete(o.freeSince, id)
	}
}

// ObserveRoom records which upstreams of the cell have room for an online request, and returns
// the room by service. It must be called after each change of the counts while requests wait
// in the cell.
func (o *FairOrder) ObserveRoom(b *Balancer, now time.Time) map[string]CellRoom {
	cells := map[string]CellRoom{}
	freeSince := make(map[string]time.Time, len(o.freeSince))
	for _, u := range b.ordered() {
		if !b.inCell(u.ID) || !u.isAvailable(u.Service, now) {
			continue
		}
		free, cell := u.roomAt(now), cells[u.Service]
		cells[u.Service] = CellRoom{Free: cell.Free + free, Slots: cell.Slots + u.usableSlots()}
		if free == 0 {
			continue
		}
		freeSince[u.ID] = now
		if since, known := o.freeSince[u.ID]; known {
			freeSince[u.ID] = since
		}
	}
	o.freeSince = freeSince
	return cells
}

// ReportRun records the duration of an online request.
func (o *FairOrder) ReportRun(service string, took time.Duration) {
	mean, known := o.runTime[service]
	if !known {
		mean = took.Seconds()
	}
	o.runTime[service] = mean + runTimeWeight*(took.Seconds()-mean)
}

// TimeToStart returns the time in which the given number of requests gets slots, if all slots
// are taken. It is unknown before the first request of the service has ended.
func (o *FairOrder) TimeToStart(service string, requests, slots int) (time.Duration, bool) {
	runTime, known := o.runTime[service]
	if !known || slots <= 0 {
		return 0, false
	}
	return time.Duration(float64(requests) * runTime / float64(slots) * float64(time.Second)), true
}

// MaxTeamWaiting returns how many requests one team may have waiting in the cell: those that
// all slots together can start within the time for which they may wait, or one for each slot
// while the duration of requests is unknown.
func (o *FairOrder) MaxTeamWaiting(service string, slots int, wait time.Duration) int {
	runTime := o.runTime[service]
	if runTime <= 0 {
		return max(slots, 1)
	}
	return max(int(wait.Seconds()*float64(slots)/runTime), 1)
}

// Groups returns the waiting requests by service, team and priority. Those that may not use
// any upstream are left out: other hosts would leave slots to them that they can't take.
func (q *Queue) Groups() Queued {
	groups := Queued{}
	for _, w := range q.waiting {
		if !w.MayUseAny() {
			continue
		}
		key := QueueKey{Service: w.Service, Team: w.Team, Priority: w.Priority}
		group := groups[key]
		if group.Requests == 0 || w.Arrived.Before(group.Oldest) {
			group.Oldest = w.Arrived
		}
		group.Requests++
		groups[key] = group
	}
	return groups
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// TimeInTarget returns the longest wait with which a request can still meet its latency target,
// and within which a response that has begun, or has no target, can still end.
func (b WaitBudget) TimeInTarget() time.Duration {
	longest := time.Duration(float64(b.TimeLeft) * minResponseFraction)
	if b.Begun || b.LatencyTarget <= 0 {
		return longest
	}
	return min(time.Duration(float64(b.LatencyTarget)*retryWaitFraction), longest)
}

// SpillOverWait returns the expected wait in the own cell above which a request may use other
// cells: the time after which a first attempt with the latency target is refused without
// this order.
func SpillOverWait(target time.Duration) time.Duration {
	return time.Duration(float64(target) * firstWaitFraction)
}

// RetryAfterRoom returns the delay after which a caller should retry, if room is expected after
// the given time. The random part keeps callers refused together from retrying together.
func RetryAfterRoom(expected, left time.Duration, random float64) time.Duration {
	delay := max(expected, minRetryAfter)
	delay += time.Duration(float64(delay) * retryAfterJitter * random)
	return min(delay, maxRetryAfter, left)
}

// RetryAfterPeak returns the delay after which a caller should retry if room is expected once a
// peak has passed. Unlike RetryAfter it doesn't shorten as the caller's time runs out: retries
// of a hot team would come more and more often while it gets nothing.
func RetryAfterPeak(left time.Duration, random float64) time.Duration {
	return min(time.Duration(float64(maxRetryAfter)*(1-retryAfterJitter*random)), left)
}

// SlotsFor returns the slots of the service in this host's cell, or of all upstreams that its
// requests may use if the cell has none.
func (b *Balancer) SlotsFor(service string) int {
	inCell, all := 0, 0
	for _, u := range b.ordered() {
		if u.Service != service || u.isOutOfUse() || u.unreachable || !b.mayUse(u.ID) && !b.inCell(u.ID) {
			continue
		}
		all += u.usableSlots()
		if b.inCell(u.ID) {
			inCell += u.usableSlots()
		}
	}
	if inCell > 0 {
		return inCell
	}
	return all
}

// IsMostlyFree reports whether online requests use at most a quarter of the upstream's slots.
func (b *Balancer) IsMostlyFree(id string, now time.Time) bool {
	u, ok := b.upstreams[id]
	return ok && 4*u.roomAt(now) >= 3*u.usableSlots()
}

// InCell reports whether the upstream is one of this host's cell.
func (b *Balancer) InCell(id string) bool { return b.inCell(id) }
