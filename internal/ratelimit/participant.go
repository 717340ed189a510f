package ratelimit

import "time"

// Participant is one host's side of one team's share: what it last saw of the share
// object, and what it holds. It does no I/O and has no lock.
type Participant struct {
	Holding *Holding
	self    Holder // identity; the epoch is filled in from the lease
	share   Share
	version int64 // of share; 0 before the first sight

	// One write is out at a time. What is seen meanwhile waits for its end, so
	// that tokens which come with a write are never added to capacity that has
	// refilled by itself.
	writes   int64 // number of the last planned write
	pending  bool
	deferred *sight
}

// sight is a version of the share object.
type sight struct {
	share   Share
	version int64
}

// NewParticipant returns a member that has not seen the share and holds nothing.
func NewParticipant(self Holder, h *Holding) *Participant {
	return &Participant{Holding: h, self: self}
}

// Share returns the share as last seen, and its version.
func (m *Participant) Share() (Share, int64) { return m.share, m.version }

// HoldsShare reports whether this host is a home host of the team.
func (m *Participant) HoldsShare() bool { return m.share.Index(m.self.Host, m.self.Incarnation) >= 0 }

// Observe takes in a version of the share object. An old one changes nothing:
// only this host lowers its own fraction while its lease is trusted, so an old
// sight could bring back what it has given up.
func (m *Participant) Observe(s Share, version int64, l Lease, now time.Time) {
	if m.pending {
		if m.deferred == nil || version > m.deferred.version {
			m.deferred = &sight{s, version}
		}
		return
	}
	if version <= m.version {
		return
	}
	m.share, m.version = s, version
	i := s.Index(m.self.Host, m.self.Incarnation)
	if i < 0 {
		m.Holding.SetGrant(Grant{}, 0, l, now)
		return
	}
	h := s.Holders[i]
	target := s.TargetFraction()
	if h.Retired {
		target = h.Fraction
	}
	m.Holding.SetGrant(Grant{Fraction: h.Fraction, Reserved: h.Reserved, Epoch: h.Epoch}, target, l, now)
}

// Intent is what the host wants with the team.
type Intent struct {
	Wanted  bool // callers of the team come to this host
	Leaving bool
	State   func(Holder) HolderState
}

// PrepareWrite plans the next write of the share object. It must be sent with the
// version that Share returns, or as a creation when that is 0. What the plan
// gives away is out of use when PrepareWrite returns, so that a write whose answer
// is lost does no harm. ConfirmWrite or AbandonWrite must follow a plan that changes
// something. A host without a trusted lease plans nothing.
func (m *Participant) PrepareWrite(in Intent, l Lease, now time.Time) (Plan, bool) {
	if m.pending || !now.Before(l.Until) {
		return Plan{}, false
	}
	h := m.Holding
	h.RenewLease(l)
	before := m.share
	if m.version == 0 {
		before = NewShare(h.burst)
	}
	if in.Leaving {
		h.LimitFraction(0, now)
	}
	self := m.self
	self.Epoch = l.Epoch
	p := before.Plan(PlanInput{
		Self: self, Wanted: in.Wanted, Leaving: in.Leaving, Burst: h.burst, State: in.State,
		Limit: h.limit, Aside: h.Withheld(now), Outstanding: h.Outstanding(), unchecked: h.variant.uncheckedShrink,
	})
	if p.Changed {
		left := p.holder(self)
		h.LowerGrant(left.Fraction, left.Reserved, now)
		m.writes++
		m.pending = true
		p.write = m.writes
	}
	return p, p.Changed
}

// holder returns what the plan leaves to a host.
func (p Plan) holder(self Holder) Holder {
	i := p.Next.Index(self.Host, self.Incarnation)
	if i < 0 {
		return Holder{}
	}
	return p.Next.Holders[i]
}

// ConfirmWrite takes in that the planned write is known to have taken effect.
func (m *Participant) ConfirmWrite(p Plan, version int64, l Lease, now time.Time) {
	if !m.pending || p.write != m.writes {
		return
	}
	m.pending = false
	m.Observe(p.Next, version, l, now)
	m.Holding.AddTokens(p.Gained, now)
	m.catchUp(l, now)
}

// AbandonWrite ends a planned write that failed, or whose end is not known. The
// tokens that came with it are lost.
func (m *Participant) AbandonWrite(p Plan, l Lease, now time.Time) {
	if !m.pending || p.write != m.writes {
		return
	}
	m.pending = false
	m.catchUp(l, now)
}

// catchUp observes what was seen while a write was out.
func (m *Participant) catchUp(l Lease, now time.Time) {
	seen := m.deferred
	m.deferred = nil
	if seen != nil {
		m.Observe(seen.share, seen.version, l, now)
	}
}
