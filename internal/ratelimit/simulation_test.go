package ratelimit

import (
	"fmt"
	"slices"
	"time"

	"github.com/masticscale/masticscale/internal/membership"
)

// source makes the random choices of a history: a seeded generator, or rapid.
type source interface {
	IntN(n int) int
}

// simulation is a fleet in virtual time: hosts with drifting clocks, the platform's
// lease and share objects, and messages that are lost, delayed and duplicated. It
// has one team, because teams share no state.
type simulation struct {
	src         source
	mutant      mutant
	now         time.Duration // true time
	hosts       []*simHost
	messages    []message
	partitioned map[[2]int]bool
	shares      []versioned // every version of the share object
	version     int64
	leases      map[string]*simLease
	rate        float64
	burst       float64
	oracle      oracle

	admitted int
}

type versioned struct {
	share   Share
	version int64
}

type simLease struct {
	incarnation string
	epoch       int64
	version     int64
	gone        bool
}

type message struct {
	at         time.Duration
	from       int // -1 is the platform
	to         int
	generation int // of the recipient, for a reply; 0 for any
	deliver    func()
}

type simHost struct {
	w                   *simulation
	index               int
	name                string
	generation          int // incarnation number
	up, suspended       bool
	offset              time.Duration
	speed               float64
	started             time.Time
	lease               Lease
	leaseVersion        int64
	leaving             bool
	observations        map[string]simObservation
	ends                map[string]time.Time // first observed end of a process, by incarnation
	participant         *Participant
	plan                Plan // in-flight write
	written             time.Time
	platformUnreachable bool
}

type simObservation struct {
	lease           simLease
	seen, epochSeen time.Time
}

// oracle is the reference model: one central bucket that every admission of every
// host is charged to. The admissions are within burst + rate × t in every window
// if and only if its tokens never become negative.
type oracle struct {
	bucket  Bucket
	pending []change
}

// change lowers the oracle's rate and burst at the time by which no host uses the
// old ones.
type change struct {
	at          time.Duration
	rate, burst float64
}

var simEpoch = time.Unix(1_000_000, 0)

// mutant is a faulty variant of the design that the check must detect. The zero
// value is the correct design.
type mutant struct {
	disabled              disabledSafeguards
	reclaimImmediately    bool // an unreachable holder's part is reclaimed without waiting
	restartWithFullBucket bool // a new incarnation starts with its old grant and full of tokens
	splitByReachable      bool // each host uses an even split over the hosts that it reaches
	unresponsiveIsEnded   bool // an unresponsive process counts as ended
	ignoreEndedTransfers  bool // parts are reclaimed before an ended process's transfers expire
}

func newWorld(src source, m mutant) *simulation {
	w := &simulation{src: src, mutant: m, partitioned: map[[2]int]bool{}, leases: map[string]*simLease{}}
	w.rate = []float64{0.5, 3, 10, 100}[src.IntN(4)]
	w.burst = []float64{1, 2, 5, 40, 200}[src.IntN(5)]
	w.oracle.bucket = NewBucket(w.rate, w.burst, w.burst, simEpoch)
	for i := range 3 + src.IntN(8) {
		h := &simHost{w: w, index: i, name: fmt.Sprintf("h%d", i)}
		h.offset = time.Duration(src.IntN(1_000_000)) * time.Millisecond
		h.speed = 1 + MaxClockDrift*float64(src.IntN(2001)-1000)/1000
		w.hosts = append(w.hosts, h)
		h.start()
	}
	return w
}

func (h *simHost) clock() time.Time {
	return simEpoch.Add(h.offset + time.Duration(float64(h.w.now)*h.speed))
}

func (h *simHost) identity() Holder {
	return Holder{Host: h.name, Incarnation: fmt.Sprint(h.name, "/", h.generation), Address: h.name, DataCentre: fmt.Sprint("dc", h.index%3)}
}

func (h *simHost) start() {
	h.generation++
	h.up, h.suspended, h.leaving = true, false, false
	h.lease, h.leaseVersion = Lease{}, 0
	h.started = h.clock()
	h.observations = map[string]simObservation{}
	h.ends = map[string]time.Time{}
	holding := NewHolding(h.w.rate, h.w.burst, uint64(h.generation)<<32|uint64(h.index)<<48, h.clock())
	holding.disabled = h.w.mutant.disabled
	before := h.participant
	h.participant = NewParticipant(h.identity(), holding)
	switch {
	case h.w.mutant.restartWithFullBucket && before != nil:
		g := before.Holding.Grant()
		holding.SetGrant(g, g.Fraction, Lease{Epoch: g.Epoch, Until: h.clock().Add(membership.LeaseTime)}, h.clock())
		holding.AddTokens(g.Fraction*h.w.burst, h.clock())
	case h.w.mutant.splitByReachable:
		h.splitByReachable()
	}
}

// splitByReachable grants the host an equal part among the hosts that are up and
// reachable.
func (h *simHost) splitByReachable() {
	n := 0
	for _, other := range h.w.hosts {
		if other.up && !h.w.partitioned[[2]int{min(h.index, other.index), max(h.index, other.index)}] {
			n++
		}
	}
	part := 1 / float64(max(n, 1))
	holding := h.participant.Holding
	holding.SetGrant(Grant{Fraction: part, Reserved: part}, part, Lease{Until: h.clock().Add(time.Hour)}, h.clock())
	if h.w.now == 0 {
		holding.AddTokens(part*h.w.burst, h.clock())
	}
}

func (h *simHost) running() bool { return h.up && !h.suspended }

// send schedules a message, which may be lost, delayed or duplicated.
func (w *simulation) send(from, to, generation int, deliver func()) {
	if w.src.IntN(8) == 0 {
		return
	}
	copies := 1 + w.src.IntN(8)/7
	for range copies {
		delay := time.Duration(1+w.src.IntN(50)) * time.Millisecond
		if w.src.IntN(6) == 0 {
			delay = time.Duration(w.src.IntN(15_000)) * time.Millisecond
		}
		w.messages = append(w.messages, message{at: w.now + delay, from: from, to: to, generation: generation, deliver: deliver})
	}
}

// advance advances the virtual time and delivers the due messages in order.
func (w *simulation) advance(d time.Duration) {
	end := w.now + d
	for {
		slices.SortStableFunc(w.messages, func(a, b message) int { return int(a.at - b.at) })
		if len(w.messages) == 0 || w.messages[0].at > end {
			break
		}
		m := w.messages[0]
		w.messages = w.messages[1:]
		w.now = max(w.now, m.at)
		w.deliver(m)
	}
	w.now = end
}

func (w *simulation) deliver(m message) {
	for _, side := range []int{m.from, m.to} {
		other := m.from + m.to - side
		if side < 0 {
			if w.hosts[other].platformUnreachable {
				return
			}
		} else if other >= 0 && w.partitioned[[2]int{min(side, other), max(side, other)}] {
			return
		}
	}
	if m.to < 0 {
		m.deliver()
		return
	}
	h := w.hosts[m.to]
	if !h.up || m.generation != 0 && m.generation != h.generation {
		return
	}
	if h.suspended {
		m.at = w.now + time.Second
		w.messages = append(w.messages, m)
		return
	}
	m.deliver()
}

// admit charges the oracle and fails when the fleet has admitted too much.
func (w *simulation) admit() error {
	w.admitted++
	at := simEpoch.Add(w.now)
	w.oracle.settle(w.now)
	w.oracle.bucket.Refill(at)
	w.oracle.bucket.Tokens--
	if w.oracle.bucket.Tokens < -1e-6 {
		return fmt.Errorf("at %v: %g admissions above burst + rate × t", w.now, -w.oracle.bucket.Tokens)
	}
	return nil
}

func (o *oracle) settle(now time.Duration) {
	for len(o.pending) > 0 && o.pending[0].at <= now {
		c := o.pending[0]
		o.pending = o.pending[1:]
		o.bucket.Refill(simEpoch.Add(c.at))
		o.bucket.Rate, o.bucket.Capacity = c.rate, c.burst
		o.bucket.Tokens = min(o.bucket.Tokens, c.burst)
	}
}

// setSpec changes the team's rate and burst. The oracle applies raised values at
// once, and lowered ones once every host has applied them and old transfers have
// expired.
func (w *simulation) setSpec(rate, burst float64) {
	w.oracle.settle(w.now)
	b := &w.oracle.bucket
	b.Refill(simEpoch.Add(w.now))
	b.Rate, b.Capacity = max(b.Rate, rate), max(b.Capacity, burst)
	if burst > w.burst {
		b.Tokens = b.Capacity // the tokens of a raised burst may be granted at once
	}
	for i := range w.oracle.pending {
		w.oracle.pending[i].rate = max(w.oracle.pending[i].rate, rate)
		w.oracle.pending[i].burst = max(w.oracle.pending[i].burst, burst)
	}
	w.rate, w.burst = rate, burst
	propagation := 5 * time.Second
	w.oracle.pending = append(w.oracle.pending, change{at: w.now + propagation, rate: rate, burst: burst})
}

func (h *simHost) lapse(other Holder) membership.Lapse {
	l := h.w.leases[other.Host]
	observed, known := h.observations[other.Host]
	now := h.clock()
	certain := observed.seen.Add(membership.LapseTime)
	switch {
	case h.platformUnreachable || !known || l == nil:
		return membership.Lapse{}
	case observed.lease.epoch > other.Epoch:
		certain = observed.epochSeen.Add(membership.LapseTime)
	case observed.lease.epoch < other.Epoch:
		return membership.Lapse{}
	case observed.lease.gone:
		return membership.Lapse{Lapsed: true, Resigned: true, For: now.Sub(observed.seen)}
	case l.version != observed.lease.version:
		return membership.Lapse{}
	}
	return membership.Lapse{Lapsed: !now.Before(certain), For: now.Sub(certain)}
}

// upAndReachable reports whether a host runs and reaches the platform.
func (w *simulation) upAndReachable(name string) bool {
	for _, h := range w.hosts {
		if h.name == name {
			return h.running() && !h.platformUnreachable
		}
	}
	return false
}

func (h *simHost) holderState(other Holder) HolderState {
	if h.w.mutant.reclaimImmediately && !h.w.upAndReachable(other.Host) {
		return HolderReclaimable
	}
	if other.Host == h.name {
		return EarlierProcessState(h.clock().Sub(h.started))
	}
	return HolderStateOf(h.lapse(other), h.sinceEnd(other))
}

// sinceEnd probes the holder's address and returns the time since its process was
// first observed to have ended.
func (h *simHost) sinceEnd(other Holder) time.Duration {
	if _, known := h.ends[other.Incarnation]; !known {
		if !h.observesEnd(other) {
			return 0
		}
		h.ends[other.Incarnation] = h.clock()
	}
	if h.w.mutant.ignoreEndedTransfers {
		return TransferHoldTime
	}
	return h.clock().Sub(h.ends[other.Incarnation])
}

// observesEnd reports whether the holder's address refuses connections or belongs
// to another process. A suspended or partitioned process is unresponsive.
func (h *simHost) observesEnd(other Holder) bool {
	for _, o := range h.w.hosts {
		if o.name != other.Host {
			continue
		}
		unresponsive := h.w.partitioned[[2]int{min(h.index, o.index), max(h.index, o.index)}] || o.up && o.suspended
		if unresponsive {
			return h.w.mutant.unresponsiveIsEnded
		}
		return !o.up || o.identity().Incarnation != other.Incarnation
	}
	return false
}
