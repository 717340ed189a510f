// Package slots decides which upstream a request runs at, which requests wait,
// and which batch items give their slot back.
//
// Engines run a fixed number of requests at once, know no priorities and admit
// in order of arrival, so whatever waits inside an engine can't be overtaken.
// Work is therefore held on the hosts, and an engine is given no more requests
// than it has slots, counted over all hosts.
//
// Contract: no I/O and no clock. A Board is not safe for concurrent use.
package slots

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/masticscale/masticscale/internal/fleet"
)

// Counts are requests that run at one upstream.
type Counts struct {
	Online int // online requests, and batch items that are nearly due
	Batch  int // batch items that can be paused
}

// Run is one request of this host at an upstream.
type Run struct {
	Upstream  string
	Batch     bool      // can be paused
	Due       time.Time // of a batch item
	Pause     func()    // ends a batch item's run; its events so far are kept
	cancelled bool
}

// upstream is one upstream with what is known to run there.
type upstream struct {
	fleet.Upstream
	own       Counts
	peers     map[string]Counts
	total     Counts    // own and peers'
	downUntil time.Time // no requests before
	failures  int       // in a row
	unreached bool      // no requests before a connection was made
	trust     trust
	fullUntil time.Time // the upstream itself turned a request away
	hidden    int       // requests that the upstream has beyond those that are known
	hiddenTil time.Time
}

// Balancer is what a host knows of the slots.
type Balancer struct {
	dataCentre string
	upstreams  map[string]*upstream
	home       map[string]bool // upstreams of this host's cell; nil makes all of them home
	others     map[string]bool // further ones that this host may use; nil makes it all
	runs       map[*Run]bool
	told       map[string]map[string]Counts // by peer: what it said last
	unheard    map[string]bool              // data centres
	random     *rand.Rand
}

// NewBalancer returns an empty board of a host in the data centre.
func NewBalancer(dataCentre string, seed uint64) *Balancer {
	return &Balancer{
		dataCentre: dataCentre,
		upstreams:  map[string]*upstream{},
		runs:       map[*Run]bool{},
		told:       map[string]map[string]Counts{},
		random:     rand.New(rand.NewPCG(seed, 0)),
	}
}

// SetUpstreams replaces the list of upstreams. What runs at one that is no
// longer listed goes on.
func (b *Balancer) SetUpstreams(list []fleet.Upstream) {
	listed := map[string]bool{}
	for _, u := range list {
		listed[u.ID] = true
		known, ok := b.upstreams[u.ID]
		if !ok {
			b.add(u)
			continue
		}
		if known.Started != u.Started || known.Address != u.Address {
			known.downUntil, known.fullUntil, known.failures = time.Time{}, time.Time{}, 0
			known.unreached, known.trust = false, trust{}
		}
		known.Upstream = u
	}
	for id := range b.upstreams {
		if !listed[id] {
			delete(b.upstreams, id)
		}
	}
}

// add lists an upstream. One that was listed before and left out for a while
// still has runs of this host.
func (b *Balancer) add(u fleet.Upstream) {
	b.upstreams[u.ID] = &upstream{Upstream: u, peers: map[string]Counts{}}
	for r := range b.runs {
		if r.Upstream == u.ID {
			b.countOwn(r, 1)
		}
	}
	for host, running := range b.told {
		if c, ok := running[u.ID]; ok {
			b.setPeer(host, u.ID, c)
		}
	}
	b.upstreams[u.ID].unreached = b.unheard[u.DataCentre]
}

// SetCell sets the upstreams that this host's cell uses first, and the others
// that it may use. What runs at these is known with a delay: were they open to all
// hosts, a peak that fills some cells would send the same free slots several
// requests each, and those would wait inside engines.
func (b *Balancer) SetCell(ids, others map[string]bool) { b.home, b.others = ids, others }

func (b *Balancer) isOpen(id string) bool { return b.isHome(id) || b.others == nil || b.others[id] }

func (b *Balancer) isHome(id string) bool { return b.home == nil || b.home[id] }

// Upstream returns a listed upstream.
func (b *Balancer) Upstream(id string) (fleet.Upstream, bool) {
	u, ok := b.upstreams[id]
	if !ok {
		return fleet.Upstream{}, false
	}
	return u.Upstream, true
}

// SetPeerCounts replaces what a peer runs. No counts drop the peer.
func (b *Balancer) SetPeerCounts(host string, running map[string]Counts) {
	for id := range b.told[host] {
		if _, still := running[id]; !still {
			b.setPeer(host, id, Counts{})
		}
	}
	for id, now := range running {
		b.setPeer(host, id, now)
	}
	b.told[host] = running
	if len(running) == 0 {
		delete(b.told, host)
	}
}

func (b *Balancer) setPeer(host, id string, now Counts) {
	u, ok := b.upstreams[id]
	if !ok {
		return
	}
	before := u.peers[host]
	u.peers[host] = now
	if now == (Counts{}) {
		delete(u.peers, host)
	}
	u.total.Online += now.Online - before.Online
	u.total.Batch += now.Batch - before.Batch
}

// OwnCounts returns what this host runs at each upstream, to be told to peers.
func (b *Balancer) OwnCounts() map[string]Counts {
	own := map[string]Counts{}
	for id, u := range b.upstreams {
		if u.own != (Counts{}) {
			own[id] = u.own
		}
	}
	return own
}

// Start counts a run.
func (b *Balancer) Start(r *Run) {
	b.runs[r] = true
	b.countOwn(r, 1)
}

// Finish counts the end of a run. It may be called again.
func (b *Balancer) Finish(r *Run) {
	if !b.runs[r] {
		return
	}
	b.countOwn(r, -1)
	delete(b.runs, r)
}

// countOwn adds a run to the counts of its upstream, or takes it out.
func (b *Balancer) countOwn(r *Run, change int) {
	u, ok := b.upstreams[r.Upstream]
	if !ok {
		return
	}
	if r.Batch {
		u.own.Batch = max(u.own.Batch+change, 0)
		u.total.Batch = max(u.total.Batch+change, 0)
		return
	}
	u.own.Online = max(u.own.Online+change, 0)
	u.total.Online = max(u.total.Online+change, 0)
}

// ReportFailure notes that an upstream broke off an answer, or gave a wrong one.
func (b *Balancer) ReportFailure(id string, now time.Time) {
	if u, ok := b.upstreams[id]; ok {
		u.fail(now)
	}
}

func (u *upstream) fail(now time.Time) {
	u.failures++
	u.downUntil = now.Add(min(downTime<<min(u.failures-1, maxDownDoublings), maxDownTime))
}

// ReportSuccess notes that an upstream answers.
func (b *Balancer) ReportSuccess(id string) {
	if u, ok := b.upstreams[id]; ok {
		u.failures = 0
		u.downUntil = time.Time{}
		u.unreached = false
	}
}

// ReportLoad notes how many requests an upstream says that it has. It answers upstreams
// that go on with a request whose connection was closed, as some do: such a slot
// looks free to hosts and isn't.
func (b *Balancer) ReportLoad(id string, requests int, now time.Time) {
	u, ok := b.upstreams[id]
	if !ok {
		return
	}
	u.hidden = max(requests-u.total.Online-u.total.Batch, 0)
	u.hiddenTil = now.Add(toldTime)
}

// ReportFull notes that an upstream turned a request away for lack of room.
func (b *Balancer) ReportFull(id string, now time.Time) {
	if u, ok := b.upstreams[id]; ok {
		u.fullUntil = now.Add(fullTime)
	}
}

const (
	downTime         = 250 * time.Millisecond // after the first failure; a crashed upstream is away for seconds
	maxDownDoublings = 3
	maxDownTime      = 2 * time.Second        // an upstream that is back should be found soon
	fullTime         = 50 * time.Millisecond  // in which about one slot of an engine becomes free
	toldTime         = 400 * time.Millisecond // in which an engine ends some of its requests and tells its load again
)

// usable reports whether new work may go to the upstream.
func (u *upstream) usable(service string, now time.Time) bool {
	return u.Service == service && !u.Leaving && !u.unreached && !now.Before(u.downUntil) && !now.Before(u.fullUntil)
}

// free returns the slots that nothing runs in.
func (u *upstream) free(now time.Time) int {
	return u.Slots - u.total.Online - u.total.Batch - u.hiddenAt(now)
}

func (u *upstream) hiddenAt(now time.Time) int {
	if now.After(u.hiddenTil) {
		return 0
	}
	return u.hidden
}

// Capacity sums up a service's slots.
type Capacity struct {
	Upstreams int // that take work
	Slots     int
	Free      int
	Batch     int // slots that batch items would give back
}

// Capacity returns the state of a service at the upstreams of this host's cell.
func (b *Balancer) Capacity(service string, now time.Time) Capacity {
	var t Capacity
	for id, u := range b.upstreams {
		if !u.usable(service, now) || !b.isHome(id) || u.trust.suspect(now) {
			continue
		}
		t.Upstreams++
		t.Slots += u.Slots
		t.Free += max(u.free(now), 0)
		t.Batch += u.total.Batch
	}
	return t
}

// CountRegistered reports how many upstreams of the service are registered and stay.
func (b *Balancer) CountRegistered(service string) int {
	n := 0
	for _, u := range b.upstreams {
		if u.Service == service && !u.Leaving {
			n++
		}
	}
	return n
}

// PlaceOnline picks the upstream for an online request. It answers load that
// rises faster than batch items end: where no slot is free, it picks an
// upstream at which a batch item runs, whose host then pauses it. It prefers
// items of this host, because others hear of the request only after a message.
// The second result is false when online requests hold all slots.
func (b *Balancer) PlaceOnline(service string, without map[string]bool, now time.Time) (string, bool) {
	var best *upstream
	var bestScore float64
	for id, u := range b.upstreams {
		if without[id] || !u.usable(service, now) || !b.isOpen(id) || u.total.Online+u.hiddenAt(now) >= u.Slots {
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

// The parts of a placement's score. Each outweighs the ones below it.
const (
	scoreFree    = 1000 // a slot is free
	scoreOwnItem = 700  // a batch item of this host can be paused
	scoreSpill   = 600  // slots are free at an upstream of another cell
	scoreItem    = 500  // a batch item of another host of the cell can be paused
	scoreSlot    = 1    // for each free slot: an emptier engine is faster
	scoreLocal   = 0.9  // the same data centre: fewer bytes between data centres
	scoreJitter  = 1.0  // keeps hosts from picking the same upstream at once
)

// spillFree is how many slots an upstream of another cell shows free before work
// goes there: its own cell may have filled some that this host hasn't heard of.
const spillFree = 2

func (b *Balancer) scoreOnline(u *upstream, now time.Time) float64 {
	score := b.random.Float64() * scoreJitter
	if u.trust.suspect(now) {
		return score // below all others
	}
	free := u.free(now)
	switch home := b.isHome(u.ID); {
	case home && free > 0:
		score += scoreFree
	case u.own.Batch > 0:
		score += scoreOwnItem
	case !home && free >= spillFree:
		score += scoreSpill
	case home:
		score += scoreItem
	}
	if u.DataCentre == b.dataCentre {
		score += scoreLocal
	}
	return score + float64(free)*scoreSlot
}

// PlaceBatch picks the upstream for a batch item. It answers an online load
// that swings from second to second: items fill what it leaves free, but for a
// reserve that the next online requests take without a pause of an item. Items
// that are nearly due may take the reserve too.
func (b *Balancer) PlaceBatch(service string, nearlyDue bool, now time.Time) (string, bool) {
	t := b.Capacity(service, now)
	reserve := reserveOf(t.Slots)
	if nearlyDue {
		reserve = 0
	}
	if t.Free <= reserve {
		return "", false
	}
	var best *upstream
	var bestScore float64
	for _, u := range b.upstreams {
		if !u.usable(service, now) || u.free(now) <= 0 || !b.isHome(u.ID) || u.trust.suspect(now) {
			continue
		}
		score := float64(u.free(now))*scoreSlot + b.random.Float64()*scoreJitter
		if u.DataCentre == b.dataCentre {
			score += scoreLocal
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

// reservePart is the part of a service's slots that batch items leave free. At
// the rates of the users' sheets, online requests fill it within some 50 ms, in
// which other hosts have heard of them.
const reservePart = 0.04

func reserveOf(slots int) int { return int(float64(slots)*reservePart + 0.5) }

// PreemptBatch returns the items of this host that give their slots back,
// because more requests have been sent to their upstream than it has slots. Of
// several hosts, those first by name give back first, so that no two give back
// for the same request. The latest due go first.
func (b *Balancer) PreemptBatch(self string) []*Run {
	var pause []*Run
	for id, u := range b.upstreams {
		excess := u.total.Online + u.total.Batch - u.Slots
		if excess <= 0 || u.own.Batch == 0 {
			continue
		}
		for host, c := range u.peers {
			if host < self {
				excess -= c.Batch
			}
		}
		if excess > 0 {
			pause = append(pause, b.latestDue(id, excess)...)
		}
	}
	return pause
}

// latestDue returns up to n pausable runs at the upstream and counts them out.
func (b *Balancer) latestDue(id string, n int) []*Run {
	var runs []*Run
	for r := range b.runs {
		if r.Upstream == id && r.Batch && !r.cancelled {
			runs = append(runs, r)
		}
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].Due.After(runs[j].Due) })
	runs = runs[:min(n, len(runs))]
	for _, r := range runs {
		r.cancelled = true
		b.Finish(r)
	}
	return runs
}

// Addresses returns the addresses of the listed upstreams.
func (b *Balancer) Addresses() map[string]bool {
	addresses := map[string]bool{}
	for _, u := range b.upstreams {
		addresses[u.Address] = true
	}
	return addresses
}
