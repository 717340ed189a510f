// Package slots chooses the upstream for each request, orders the requests that
// wait for a slot, and selects the batch items to preempt.
//
// An engine runs a fixed number of requests at once and admits the rest in order
// of arrival, without priorities. Requests that wait inside an engine can't be
// reordered, so they are queued on the hosts: all hosts together send an engine
// no more requests than it has slots.
//
// The package does no I/O and reads no clock. A Balancer is not safe for
// concurrent use.
package slots

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticscale/masticscale/internal/fleet"
)

// Counts are the numbers of requests that run at one upstream.
type Counts struct {
	Online    int // online requests, and batch items that are protected
	Batch     int // batch items that can be preempted
	Isolated  int // of both, those that don't share an upstream with each other
	Protected int // of Online, batch items that are nearly due and can't be preempted
}

// Run is a request of this host that runs at an upstream.
type Run struct {
	Upstream  string
	Batch     bool      // can be preempted
	Protected bool      // a batch item that can't be preempted
	Isolated  bool      // must not share an upstream with another isolated run
	Due       time.Time // deadline of a batch item; the latest is preempted first
	Pause     func()    // stops a batch item; the events received so far are kept
	Placed    time.Time // when the upstream was chosen; counts at a cold one
	number    uint64    // of the start on this host
	preempted bool
	lost      bool // its connection was lost, and it no longer counts
	activity  activity
}

// upstream is the state of one upstream.
type upstream struct {
	fleet.Upstream
	own              Counts
	peers            map[string]Counts // by host
	total            Counts            // own and peers'
	backoffUntil     time.Time         // no requests, or no probe, before this time
	failures         int               // consecutive
	unreachable      bool              // gets no requests until a connection succeeds
	announcedLeaving bool              // in a response, which the entry may not say yet
	evacuated        bool              // its data centre is evacuated
	outlier          outlierDetector
	fullUntil        time.Time // set when the upstream rejected a request for lack of slots
	unaccounted      int       // requests that the upstream reports beyond own and peers'
	unaccountedUntil time.Time
	lastByte         time.Time // received by runs of this host that have ended
	recent           runActivity
	silences         int       // consecutive
	avoidedUntil     time.Time // used last before this time, because it was silent
	pingRequested    bool
	pingedAt         time.Time // last ping
	leastSincePing   int       // the smallest number of counted requests since then
	respondedAt      time.Time // last response to a ping
	healthyAt        time.Time // last healthy response to a ping, for which it had a free slot
	warmUp           warmUp
	key              uint64 // InstanceKey
	perf             performance
}

// Balancer tracks the use of the slots by all hosts and places requests.
type Balancer struct {
	dataCentre    string
	upstreams     map[string]*upstream
	inOrder       []*upstream                  // by id; nil when it must be built anew
	cellUpstreams map[string]bool              // upstreams of this host's cell; nil means all
	spillTo       map[string]bool              // upstreams of other cells that this host may use; nil means all
	announced     announcements                // of processes that leave
	runs          map[string]map[*Run]bool     // by upstream
	peerCounts    map[string]map[string]Counts // latest report of each peer, by upstream
	unresponsive  map[string]bool              // data centres
	evacuation    evacuation
	onlineLoad    map[string]*onlineLoad // by service
	learned       map[string]*servicePerformance
	reviewedAt    time.Time
	byKey         map[uint64]*upstream // nil when it must be built anew
	started       uint64               // runs on this host
	warmUps       *warmUps
	random        *rand.Rand
}

// NewBalancer returns a balancer without upstreams for a host in the data centre.
func NewBalancer(dataCentre string, seed uint64) *Balancer {
	return &Balancer{
		dataCentre: dataCentre,
		upstreams:  map[string]*upstream{},
		announced:  announcements{},
		runs:       map[string]map[*Run]bool{},
		peerCounts: map[string]map[string]Counts{},
		onlineLoad: map[string]*onlineLoad{},
		warmUps:    newWarmUps(),
		random:     rand.New(rand.NewPCG(seed, 0)),
	}
}

// SetUpstreams replaces the registered upstreams. Requests that run at an
// upstream that is no longer registered continue.
func (b *Balancer) SetUpstreams(list []fleet.Upstream) {
	registered := map[string]bool{}
	for _, u := range list {
		registered[u.ID] = true
		b.PutUpstream(u)
	}
	for id := range b.upstreams {
		if !registered[id] {
			b.RemoveUpstream(id)
		}
	}
}

// PutUpstream registers an upstream or replaces its entry.
func (b *Balancer) PutUpstream(u fleet.Upstream) {
	b.attributeAnnouncements(u)
	known, ok := b.upstreams[u.ID]
	if !ok {
		b.addUpstream(u)
		return
	}
	if known.Started != u.Started || known.Address != u.Address {
		known.backoffUntil, known.fullUntil, known.failures = time.Time{}, time.Time{}, 0
		known.unreachable, known.outlier = false, outlierDetector{}
		known.endSilence()
		known.warmUp = warmUp{shared: b.warmUps}
		known.key, known.perf, b.byKey = InstanceKey(u), performance{}, nil
	}
	known.warmUp.entryRead = known.warmUp.entryRead || known.Upstream != u // a list may repeat an old entry
	known.Upstream, known.announcedLeaving, known.evacuated = u, b.HasAnnouncedLeaving(u), b.evacuation.covers(u.DataCentre)
}

// RemoveUpstream removes an upstream. Requests that run there continue.
func (b *Balancer) RemoveUpstream(id string) {
	if _, registered := b.upstreams[id]; registered {
		delete(b.upstreams, id)
		b.inOrder, b.byKey = nil, nil
		b.warmUps.forgetUpstream(id)
	}
}

// ordered returns the upstreams by id, so that the choice among equal ones depends on the
// seed alone.
func (b *Balancer) ordered() []*upstream {
	if b.inOrder == nil {
		b.inOrder = slices.SortedFunc(maps.Values(b.upstreams), func(x, y *upstream) int { return strings.Compare(x.ID, y.ID) })
	}
	return b.inOrder
}

// addUpstream registers an upstream. Requests may already run there if the
// upstream was registered before and its entry was missing for a while.
func (b *Balancer) addUpstream(u fleet.Upstream) {
	b.inOrder, b.byKey = nil, nil
	b.upstreams[u.ID] = &upstream{
		Upstream: u, key: InstanceKey(u), announcedLeaving: b.HasAnnouncedLeaving(u), evacuated: b.evacuation.covers(u.DataCentre), peers: map[string]Counts{},
		warmUp: warmUp{shared: b.warmUps, entryRead: true},
	}
	for r := range b.runs[u.ID] {
		b.countOwn(r, 1)
	}
	for host, running := range b.peerCounts {
		if c, ok := running[u.ID]; ok {
			b.setPeerCount(host, u.ID, c)
		}
	}
	b.upstreams[u.ID].unreachable = b.unresponsive[u.DataCentre]
}

// SetCell sets the upstreams of this host's cell and the upstreams of other
// cells to which requests may spill over. Counts from other cells arrive late: if
// all hosts could use all upstreams, a peak that fills some cells would place
// several requests on each free slot elsewhere, and the surplus would wait inside
// the engines.
func (b *Balancer) SetCell(ids, others map[string]bool) { b.cellUpstreams, b.spillTo = ids, others }

func (b *Balancer) mayUse(id string) bool { return b.inCell(id) || b.spillTo == nil || b.spillTo[id] }

func (b *Balancer) inCell(id string) bool { return b.cellUpstreams == nil || b.cellUpstreams[id] }

// Upstream returns a registered upstream.
func (b *Balancer) Upstream(id string) (fleet.Upstream, bool) {
	u, ok := b.upstreams[id]
	if !ok {
		return fleet.Upstream{}, false
	}
	return u.Upstream, true
}

// Upstreams returns the registered upstreams.
func (b *Balancer) Upstreams() []fleet.Upstream {
	list := make([]fleet.Upstream, 0, len(b.upstreams))
	for _, u := range b.ordered() {
		list = append(list, u.Upstream)
	}
	return list
}

// SetPeerCounts replaces a peer's counts, by upstream. An empty map removes the peer.
func (b *Balancer) SetPeerCounts(host string, running map[string]Counts) {
	for id := range b.peerCounts[host] {
		if _, still := running[id]; !still {
			b.setPeerCount(host, id, Counts{})
		}
	}
	for id, now := range running {
		b.setPeerCount(host, id, now)
	}
	b.peerCounts[host] = running
	if len(running) == 0 {
		delete(b.peerCounts, host)
	}
}

func (b *Balancer) setPeerCount(host, id string, now Counts) {
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
	u.total.Isolated += now.Isolated - before.Isolated
	u.total.Protected += now.Protected - before.Protected
	u.noteLeast()
}

// OwnCounts returns this host's counts by upstream, to be sent to peers.
func (b *Balancer) OwnCounts() map[string]Counts {
	own := map[string]Counts{}
	for id := range b.runs {
		if u, ok := b.upstreams[id]; ok && u.own != (Counts{}) {
			own[id] = u.own
		}
	}
	return own
}

// Start counts a run as in flight.
func (b *Balancer) Start(r *Run) {
	if b.runs[r.Upstream] == nil {
		b.runs[r.Upstream] = map[*Run]bool{}
	}
	b.started++
	r.number = b.started
	b.runs[r.Upstream][r] = true
	b.countOwn(r, 1)
	if u, ok := b.upstreams[r.Upstream]; ok {
		u.noteSent(r.Placed)
	}
}

// Finish removes a run from the counts. Further calls for the same run do nothing.
func (b *Balancer) Finish(r *Run) {
	if !b.runs[r.Upstream][r] {
		return
	}
	b.countOwn(r, -1)
	delete(b.runs[r.Upstream], r)
	if len(b.runs[r.Upstream]) == 0 {
		delete(b.runs, r.Upstream)
	}
	u, ok := b.upstreams[r.Upstream]
	if _, lastByte := r.activity.times(); ok && lastByte.After(u.lastByte) {
		u.lastByte = lastByte
	}
}

// countOwn changes the counts of the run's upstream by 1 or -1.
func (b *Balancer) countOwn(r *Run, change int) {
	u, ok := b.upstreams[r.Upstream]
	if !ok || r.lost {
		return
	}
	defer u.noteLeast()
	if r.Isolated {
		u.own.Isolated = max(u.own.Isolated+change, 0)
		u.total.Isolated = max(u.total.Isolated+change, 0)
	}
	if r.Protected {
		u.own.Protected = max(u.own.Protected+change, 0)
		u.total.Protected = max(u.total.Protected+change, 0)
	}
	if r.Batch {
		u.own.Batch = max(u.own.Batch+change, 0)
		u.total.Batch = max(u.total.Batch+change, 0)
		return
	}
	u.own.Online = max(u.own.Online+change, 0)
	u.total.Online = max(u.total.Online+change, 0)
}

// ReportFailure records that an upstream aborted a response or sent an invalid one.
func (b *Balancer) ReportFailure(id string, now time.Time) {
	if u, ok := b.upstreams[id]; ok {
		u.backOff(now)
	}
}

func (u *upstream) backOff(now time.Time) {
	u.failures++
	u.backoffUntil = now.Add(min(initialBackoff<<min(u.failures-1, maxBackoffDoublings), maxBackoff))
}

// ReportSuccess records that an upstream responded. Its backoff ends.
func (b *Balancer) ReportSuccess(id string) {
	if u, ok := b.upstreams[id]; ok {
		u.failures = 0
		u.backoffUntil = time.Time{}
		u.markReachable()
		u.endSilence()
	}
}

// ReportLoad records the number of requests that an upstream reports. Some
// upstreams continue a request after its connection was closed: the slot looks
// free to the hosts but is taken.
func (b *Balancer) ReportLoad(id string, requests int, now time.Time) {
	u, ok := b.upstreams[id]
	if !ok {
		return
	}
	u.unaccounted = max(requests-u.total.Online-u.total.Batch, 0)
	u.unaccountedUntil = now.Add(loadReportTTL)
}

// ReportFull records that an upstream rejected a request for lack of slots.
func (b *Balancer) ReportFull(id string, now time.Time) {
	if u, ok := b.upstreams[id]; ok {
		u.fullUntil = now.Add(fullBackoff)
	}
}

const (
	initialBackoff      = 250 * time.Millisecond // after the first failure; a crashed upstream is unavailable for seconds
	maxBackoffDoublings = 3
	maxBackoff          = 2 * time.Second        // bounds the time for which a recovered upstream stays unused
	fullBackoff         = 50 * time.Millisecond  // in which about one slot of an engine becomes free
	loadReportTTL       = 400 * time.Millisecond // in which an engine completes some requests and reports its load again
)

// isAvailable reports whether new requests of the service may go to the upstream.
func (u *upstream) isAvailable(service string, now time.Time) bool {
	return u.Service == service && !u.isOutOfUse() && !u.unreachable && !now.Before(u.backoffUntil) && !now.Before(u.fullUntil) && u.toleratesRequest(now)
}

// freeSlots is negative when the upstream has more requests than slots.
func (u *upstream) freeSlots(now time.Time) int {
	return u.usableSlots() - u.running(now)
}

func (u *upstream) unaccountedAt(now time.Time) int {
	if u.perf.contradictsLoad(now) {
		return 0
	}
	return u.statedUnaccounted(now)
}

func (u *upstream) statedUnaccounted(now time.Time) int {
	if now.After(u.unaccountedUntil) {
		return 0
	}
	return u.unaccounted
}

// Capacity sums up the slots of a service.
type Capacity struct {
	Upstreams int // available ones
	Slots     int
	Free      int
	Batch     int // slots held by batch items that can be preempted
}

// Capacity returns the slots of a service at the upstreams of this host's cell.
func (b *Balancer) Capacity(service string, now time.Time) Capacity {
	var sum Capacity
	for _, u := range b.ordered() {
		id := u.ID
		if !u.isAvailable(service, now) || !b.inCell(id) || u.outlier.isEjected(now) {
			continue
		}
		sum.Upstreams++
		sum.Slots += u.usableSlots()
		sum.Free += max(u.freeSlots(now), 0)
		sum.Batch += u.total.Batch
	}
	return sum
}

// HasRegistered reports whether an upstream of the service is registered that isn't about
// to leave and isn't evacuated, other than the given ones.
func (b *Balancer) HasRegistered(service string, except map[string]bool) bool {
	for _, u := range b.ordered() {
		id := u.ID
		if u.Service == service && !u.isOutOfUse() && !except[id] {
			return true
		}
	}
	return false
}

// PreemptBatch returns the batch items of this host to preempt at upstreams that
// have more requests than slots, and removes them from the counts. Hosts preempt
// in an order that differs between upstreams, so that no two of them do so for the same
// request and no host always comes first. Items with the latest deadlines are preempted
// first.
func (b *Balancer) PreemptBatch(self string) []*Run {
	var preempted []*Run
	for id := range b.runs {
		u, ok := b.upstreams[id]
		if !ok || u.own.Batch == 0 {
			continue
		}
		excess := u.total.Online + u.total.Batch - u.usableSlots()
		for host, c := range u.peers {
			if c.Batch > 0 && preemptsBefore(host, self, id) {
				excess -= c.Batch
			}
		}
		if excess > 0 {
			preempted = append(preempted, b.preemptAt(id, excess)...)
		}
	}
	return preempted
}

// preemptsBefore reports whether one host preempts its items at the upstream before another
// one does.
func preemptsBefore(host, other, upstream string) bool {
	a, b := xxhash.Sum64String(host+"\x00"+upstream), xxhash.Sum64String(other+"\x00"+upstream)
	return a < b || a == b && host < other
}

// preemptAt removes up to n batch items at the upstream from the counts and
// returns them.
func (b *Balancer) preemptAt(id string, n int) []*Run {
	var runs []*Run
	for r := range b.runs[id] {
		if r.Batch && !r.preempted {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(x, y *Run) int { return cmp.Or(y.Due.Compare(x.Due), cmp.Compare(y.number, x.number)) })
	runs = runs[:min(n, len(runs))]
	for _, r := range runs {
		r.preempted = true
		b.Finish(r)
	}
	return runs
}

// Addresses returns the set of the registered upstreams' addresses.
func (b *Balancer) Addresses() map[string]bool {
	addresses := map[string]bool{}
	for _, u := range b.ordered() {
		addresses[u.Address] = true
	}
	return addresses
}
