package ratelimit

import "time"

// Participant is one host's state in the protocol that divides one team's share:
// the share object as last observed, and the host's holding. It does no I/O and
// is not safe for concurrent use.
type Participant struct {
	Holding *Holding
	self    Holder // identity; the epoch comes from the lease
	share   Share
	version int64 // of share; 0 before the first observation

	// At most one write is in flight. Share versions that arrive meanwhile are
	// deferred until its end, so that the tokens gained by a write are never added
	// to capacity that has already refilled on its own.
	lastWriteID  int64 // of the last planned write
	writePending bool
	deferred     *shareVersion
}

// shareVersion is a version of the share object.
type shareVersion struct {
	share   Share
	version int64
}

// NewParticipant returns a participant that has not observed the share yet.
func NewParticipant(self Holder, h *Holding) *Participant {
	return &Participant{Holding: h, self: self}
}

// Share returns the share as last observed, and its version.
func (m *Participant) Share() (Share, int64) { return m.share, m.version }

// Holders returns the holders in the latest known version of the share, also while
// a write is in flight.
func (m *Participant) Holders() []Holder {
	if m.deferred != nil {
		return m.deferred.share.Holders
	}
	return m.share.Holders
}

// HoldsShare reports whether this process is a holder in the team's share.
func (m *Participant) HoldsShare() bool { return m.share.Index(m.self.Host, m.self.Incarnation) >= 0 }

// Observe applies a version of the share object. Older versions are ignored: only
// this host lowers its own fraction while its lease is valid, so an older version
// could restore a part that it has released.
func (m *Participant) Observe(s Share, version int64, l Lease, now time.Time) {
	if m.writePending {
		if m.deferred == nil || version > m.deferred.version {
			m.deferred = &shareVersion{s, version}
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

// Intent is the input of PrepareWrite.
type Intent struct {
	Wanted  bool // the team has demand at this host
	Leaving bool // the host is shutting down
	State   func(Holder) HolderState
}

// PrepareWrite plans the next write of the share object, and reports whether there
// is one. The write must be conditional on the version that Share returns, or a
// creation if that is 0. The part that the plan releases is out of use when
// PrepareWrite returns, so that a write without a reply does no harm. The caller
// must end a planned write by ConfirmWrite or AbandonWrite. A host without a valid
// lease plans nothing.
func (m *Participant) PrepareWrite(in Intent, l Lease, now time.Time) (Plan, bool) {
	if m.writePending || !now.Before(l.Until) {
		return Plan{}, false
	}
	h := m.Holding
	h.RenewLease(l)
	current := m.share
	if m.version == 0 {
		current = NewShare(h.burst)
	}
	if in.Leaving {
		h.LimitFraction(0, now)
	}
	self := m.self
	self.Epoch = l.Epoch
	p := current.Plan(PlanInput{
		Self: self, Wanted: in.Wanted, Leaving: in.Leaving, Burst: h.burst, State: in.State,
		Limit: h.fractionLimit, Aside: h.Withheld(now), Outstanding: h.Outstanding(), unsafeShrink: h.disabled.unsafeShrink,
	})
	if p.Changed {
		entry := p.holderEntry(self)
		h.LowerGrant(entry.Fraction, entry.Reserved, now)
		m.lastWriteID++
		m.writePending = true
		p.writeID = m.lastWriteID
	}
	return p, p.Changed
}

// holderEntry returns a host's entry in the planned share, or the zero Holder.
func (p Plan) holderEntry(self Holder) Holder {
	i := p.Next.Index(self.Host, self.Incarnation)
	if i < 0 {
		return Holder{}
	}
	return p.Next.Holders[i]
}

// ConfirmWrite ends a planned write that is known to have taken effect.
func (m *Participant) ConfirmWrite(p Plan, version int64, l Lease, now time.Time) {
	if !m.writePending || p.writeID != m.lastWriteID {
		return
	}
	m.writePending = false
	m.Observe(p.Next, version, l, now)
	m.Holding.AddTokens(p.Gained, now)
	m.observeDeferred(l, now)
}

// AbandonWrite ends a planned write that failed or whose outcome is unknown. The
// tokens that it would have gained are lost.
func (m *Participant) AbandonWrite(p Plan, l Lease, now time.Time) {
	if !m.writePending || p.writeID != m.lastWriteID {
		return
	}
	m.writePending = false
	m.observeDeferred(l, now)
}

// observeDeferred observes the latest version that arrived during a write.
func (m *Participant) observeDeferred(l Lease, now time.Time) {
	latest := m.deferred
	m.deferred = nil
	if latest != nil {
		m.Observe(latest.share, latest.version, l, now)
	}
}
