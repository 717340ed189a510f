package ratelimit

import (
	"fmt"
	"slices"
	"time"

	"github.com/masticscale/masticscale/internal/membership"
)

// source draws the choices of a history: a seeded generator, or rapid.
type source interface {
	IntN(n int) int
}

// world is a fleet in virtual time: hosts with clocks of their own, the
// platform's two objects, and messages that are lost, late and repeated. One
// team is enough, since teams share nothing.
type world struct {
	src     source
	mutant  mutant
	now     time.Duration // true time
	hosts   []*simHost
	msgs    []message
	cut     map[[2]int]bool
	shares  []versioned // every version of the share object
	version int64
	leases  map[string]*simLease
	rate    float64
	burst   float64
	oracle  oracle

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
	at      time.Duration
	from    int // -1 is the platform
	to      int
	birth   int // of the receiver, when the message is an answer; 0 for any
	deliver func()
}

type simHost struct {
	w             *world
	index         int
	name          string
	birth         int // incarnation number
	up, frozen    bool
	offset        time.Duration
	speed         float64
	started       time.Time
	lease         Lease
	leaseVersion  int64
	leaving       bool
	sightings     map[string]simSighting
	ends          map[string]time.Time // by incarnation: when the process was first seen to have ended
	member        *Participant
	plan          Plan // write that is out
	written       time.Time
	platformIsCut bool
}

type simSighting struct {
	lease           simLease
	seen, epochSeen time.Time
}

// oracle is the naive version: one central bucket that every admission of every
// host is charged to. Admissions fit burst + rate × t in every window exactly
// when it never runs short.
type oracle struct {
	bucket  Bucket
	pending []change
}

// change lowers the oracle's rate and burst at a time when no host is left with
// the old ones.
type change struct {
	at          time.Duration
	rate, burst float64
}

var simEpoch = time.Unix(1_000_000, 0)

// mutant is a loose version of the design, which the check must catch. The zero
// value is the product.
type mutant struct {
	variant       variant
	reclaimAtOnce bool // a silent holder's share is freed without waiting
	fullRestart   bool // a new incarnation begins with its old share, full
	splitBySight  bool // each host divides by the number of hosts that it sees
	silenceIsEnd  bool // a process that does not answer is taken to have ended
	endedAtOnce   bool // transfers of an ended process are not waited for
}

func newWorld(src source, m mutant) *world {
	w := &world{src: src, mutant: m, cut: map[[2]int]bool{}, leases: map[string]*simLease{}}
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
	return Holder{Host: h.name, Incarnation: fmt.Sprint(h.name, "/", h.birth), Address: h.name, DataCentre: fmt.Sprint("dc", h.index%3)}
}

func (h *simHost) start() {
	h.birth++
	h.up, h.frozen, h.leaving = true, false, false
	h.lease, h.leaseVersion = Lease{}, 0
	h.started = h.clock()
	h.sightings = map[string]simSighting{}
	h.ends = map[string]time.Time{}
	holding := NewHolding(h.w.rate, h.w.burst, uint64(h.birth)<<32|uint64(h.index)<<48, h.clock())
	holding.variant = h.w.mutant.variant
	before := h.member
	h.member = NewParticipant(h.identity(), holding)
	switch {
	case h.w.mutant.fullRestart && before != nil:
		g := before.Holding.Grant()
		holding.SetGrant(g, g.Fraction, Lease{Epoch: g.Epoch, Until: h.clock().Add(membership.LeaseTime)}, h.clock())
		holding.AddTokens(g.Fraction*h.w.burst, h.clock())
	case h.w.mutant.splitBySight:
		h.splitBySight()
	}
}

// splitBySight gives the host an equal part among the hosts that are up and in
// reach.
func (h *simHost) splitBySight() {
	n := 0
	for _, other := range h.w.hosts {
		if other.up && !h.w.cut[[2]int{min(h.index, other.index), max(h.index, other.index)}] {
			n++
		}
	}
	part := 1 / float64(max(n, 1))
	holding := h.member.Holding
	holding.SetGrant(Grant{Fraction: part, Reserved: part}, part, Lease{Until: h.clock().Add(time.Hour)}, h.clock())
	if h.w.now == 0 {
		holding.AddTokens(part*h.w.burst, h.clock())
	}
}

func (h *simHost) running() bool { return h.up && !h.frozen }

// send delivers a message later, never, or twice.
func (w *world) send(from, to, birth int, deliver func()) {
	if w.src.IntN(8) == 0 {
		return
	}
	copies := 1 + w.src.IntN(8)/7
	for range copies {
		delay := time.Duration(1+w.src.IntN(50)) * time.Millisecond
		if w.src.IntN(6) == 0 {
			delay = time.Duration(w.src.IntN(15_000)) * time.Millisecond
		}
		w.msgs = append(w.msgs, message{at: w.now + delay, from: from, to: to, birth: birth, deliver: deliver})
	}
}

// advance lets time pass and delivers what is due, in order.
func (w *world) advance(d time.Duration) {
	end := w.now + d
	for {
		slices.SortStableFunc(w.msgs, func(a, b message) int { return int(a.at - b.at) })
		if len(w.msgs) == 0 || w.msgs[0].at > end {
			break
		}
		m := w.msgs[0]
		w.msgs = w.msgs[1:]
		w.now = max(w.now, m.at)
		w.deliver(m)
	}
	w.now = end
}

func (w *world) deliver(m message) {
	for _, side := range []int{m.from, m.to} {
		other := m.from + m.to - side
		if side < 0 {
			if w.hosts[other].platformIsCut {
				return
			}
		} else if other >= 0 && w.cut[[2]int{min(side, other), max(side, other)}] {
			return
		}
	}
	if m.to < 0 {
		m.deliver()
		return
	}
	h := w.hosts[m.to]
	if !h.up || m.birth != 0 && m.birth != h.birth {
		return
	}
	if h.frozen {
		m.at = w.now + time.Second
		w.msgs = append(w.msgs, m)
		return
	}
	m.deliver()
}

// admit charges the oracle and fails when the fleet admitted too much.
func (w *world) admit() error {
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

// setSpec changes the team's rate and burst. Raised values are in force from
// now, lowered ones once every host has heard and old transfers have expired.
func (w *world) setSpec(rate, burst float64) {
	w.oracle.settle(w.now)
	b := &w.oracle.bucket
	b.Refill(simEpoch.Add(w.now))
	b.Rate, b.Capacity = max(b.Rate, rate), max(b.Capacity, burst)
	if burst > w.burst {
		b.Tokens = b.Capacity // a higher burst may be granted at once
	}
	for i := range w.oracle.pending {
		w.oracle.pending[i].rate = max(w.oracle.pending[i].rate, rate)
		w.oracle.pending[i].burst = max(w.oracle.pending[i].burst, burst)
	}
	w.rate, w.burst = rate, burst
	heard := 5 * time.Second
	w.oracle.pending = append(w.oracle.pending, change{at: w.now + heard, rate: rate, burst: burst})
}

func (h *simHost) lapse(other Holder) membership.Lapse {
	l := h.w.leases[other.Host]
	s, known := h.sightings[other.Host]
	now := h.clock()
	certain := s.seen.Add(membership.LapseTime)
	switch {
	case h.platformIsCut || !known || l == nil:
		return membership.Lapse{}
	case s.lease.epoch > other.Epoch:
		certain = s.epochSeen.Add(membership.LapseTime)
	case s.lease.epoch < other.Epoch:
		return membership.Lapse{}
	case s.lease.gone:
		return membership.Lapse{Lapsed: true, Resigned: true, For: now.Sub(s.seen)}
	case l.version != s.lease.version:
		return membership.Lapse{}
	}
	return membership.Lapse{Lapsed: !now.Before(certain), For: now.Sub(certain)}
}

// upAndSeen reports whether a host answers the platform now.
func (w *world) upAndSeen(name string) bool {
	for _, h := range w.hosts {
		if h.name == name {
			return h.running() && !h.platformIsCut
		}
	}
	return false
}

func (h *simHost) holderState(other Holder) HolderState {
	if h.w.mutant.reclaimAtOnce && !h.w.upAndSeen(other.Host) {
		return HolderReclaimable
	}
	if other.Host == h.name {
		return EarlierProcessState(h.clock().Sub(h.started))
	}
	return HolderStateOf(h.lapse(other), h.sinceEnd(other))
}

// sinceEnd asks the holder's address and returns how long its process is known
// to have ended.
func (h *simHost) sinceEnd(other Holder) time.Duration {
	if _, known := h.ends[other.Incarnation]; !known {
		if !h.seesEnd(other) {
			return 0
		}
		h.ends[other.Incarnation] = h.clock()
	}
	if h.w.mutant.endedAtOnce {
		return TransferHoldTime
	}
	return h.clock().Sub(h.ends[other.Incarnation])
}

// seesEnd reports whether the holder's address refuses connections or another
// process answers there. A frozen process, or one behind a cut, is silent.
func (h *simHost) seesEnd(other Holder) bool {
	for _, o := range h.w.hosts {
		if o.name != other.Host {
			continue
		}
		silent := h.w.cut[[2]int{min(h.index, o.index), max(h.index, o.index)}] || o.up && o.frozen
		if silent {
			return h.w.mutant.silenceIsEnd
		}
		return !o.up || o.identity().Incarnation != other.Incarnation
	}
	return false
}
