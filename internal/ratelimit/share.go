package ratelimit

import (
	"slices"

	"github.com/masticscale/masticscale/internal/membership"
)

// Bounds on the number of active holders of one team's share. With more holders,
// the loss of a host costs a smaller part; with fewer, less of a small burst is
// wasted.
const (
	MinHolders        = 3  // for small bursts, if as many hosts have demand
	MaxHoldersByBurst = 8  // for large bursts
	MaxHolders        = 12 // including the first holder of each further data centre
	minBurstPerHolder = 10 // tokens
)

// holdersForBurst returns the number of holders that a burst is divided among.
func holdersForBurst(burst float64) int {
	return max(MinHolders, min(MaxHoldersByBurst, int(burst/minBurstPerHolder)))
}

// Holder is one host's part of a team's rate and burst.
type Holder struct {
	Host        string  `json:"host"`
	Incarnation string  `json:"incarnation"`
	Epoch       int64   `json:"epoch"`
	Address     string  `json:"address"` // peer address
	DataCentre  string  `json:"data_centre"`
	Fraction    float64 `json:"fraction"` // of rate and burst
	Reserved    float64 `json:"reserved"` // part of Fraction that stays usable without a lease
	// Retired holders are assigned nothing new: their lease has lapsed or they are
	// shutting down.
	Retired bool `json:"retired,omitempty"`
}

// Owner identifies the host lease that the holder's leased part depends on.
func (h Holder) Owner() membership.Owner {
	return membership.Owner{Host: h.Host, Epoch: h.Epoch}
}

// Share is the stored object that divides a team's rate and burst among holders.
// The sum of the fractions never exceeds one. A share is never deleted, because
// its replacement would start with a full burst.
type Share struct {
	// Pool is the number of released tokens. They go to the holders that take the
	// free fraction, and never exceed that fraction of the burst.
	Pool    float64  `json:"pool"`
	Holders []Holder `json:"holders"`
}

// NewShare returns the first share of a team: no holders and a full burst.
func NewShare(burst float64) Share { return Share{Pool: burst} }

// HolderState is the state of a holder's part as another host can establish it.
type HolderState int

// The states of a holder. Each is final for the holder's epoch and incarnation.
const (
	HolderAlive       HolderState = iota
	HolderLapsed                  // the leased part is no longer in use
	HolderReclaimable             // nothing is in use any longer, including transfers
)

// PlanInput is the state of a host that plans a change of a share.
type PlanInput struct {
	Self    Holder // with the epoch of the current lease
	Wanted  bool   // the team has demand at this host
	Leaving bool   // the host is shutting down
	Burst   float64
	State   func(Holder) HolderState
	// Limit, Aside and Outstanding describe the holding: the bound on its usable
	// fraction, its withheld tokens and its lent tokens.
	Limit       float64
	Aside       float64
	Outstanding float64
	// unsafeShrink confirms a shrink while transfers are outstanding, in mutation
	// tests only.
	unsafeShrink bool
}

// Plan is a change of a share that one host is about to write.
type Plan struct {
	Next    Share
	Changed bool
	Gained  float64 // tokens that the host takes from the pool
	writeID int64
}

// Index returns the position of a host's incarnation, or -1.
func (s Share) Index(host, incarnation string) int {
	return slices.IndexFunc(s.Holders, func(h Holder) bool { return h.Host == host && h.Incarnation == incarnation })
}

// hasEarlierIncarnation reports whether another incarnation of a host is a holder.
func (s Share) hasEarlierIncarnation(self Holder) bool {
	return slices.ContainsFunc(s.Holders, func(h Holder) bool {
		return h.Host == self.Host && h.Incarnation != self.Incarnation
	})
}

// FreeFraction returns the fraction without a holder.
func (s Share) FreeFraction() float64 {
	sum := 0.0
	for _, h := range s.Holders {
		sum += h.Fraction
	}
	return max(0, 1-sum)
}

// TargetFraction returns the fraction that each active holder should have.
func (s Share) TargetFraction() float64 {
	rest, active := 1.0, 0
	for _, h := range s.Holders {
		if h.Retired {
			rest -= h.Fraction
			continue
		}
		active++
	}
	if active == 0 {
		return 0
	}
	return max(0, rest) / float64(active)
}

// CanJoin reports whether a host may become a holder. The first host of a data
// centre may join beyond the number of holders that the burst allows.
func (s Share) CanJoin(h Holder, burst float64) bool {
	active, sameDataCentre := 0, false
	for _, other := range s.Holders {
		if other.Retired {
			continue
		}
		active++
		sameDataCentre = sameDataCentre || other.DataCentre == h.DataCentre
	}
	if active >= MaxHolders || float64(active+1) > burst {
		return false
	}
	return active < holdersForBurst(burst) || !sameDataCentre
}

// Plan returns the change that the host should write. A plan only adds to the
// host's own part, releases what the host has stopped using, and reclaims what
// other holders are known to have stopped using.
func (s Share) Plan(v PlanInput) Plan {
	p := Plan{Next: Share{Pool: s.Pool, Holders: slices.Clone(s.Holders)}}
	p.reclaim(v)
	if v.Leaving {
		p.release(v)
	} else {
		p.join(v)
		p.renewEpoch(v)
		p.shrink(v)
		p.grow(v)
	}
	return p
}

// reclaim frees the parts of holders that are known to be out of use. It returns
// no tokens to the pool.
func (p *Plan) reclaim(v PlanInput) {
	kept := p.Next.Holders[:0]
	for _, h := range p.Next.Holders {
		state := HolderAlive
		if h.Host != v.Self.Host || h.Incarnation != v.Self.Incarnation {
			state = v.State(h)
		}
		if state == HolderReclaimable {
			p.Changed = true
			continue
		}
		if state == HolderLapsed && !h.Retired {
			h.Fraction, h.Retired = h.Reserved, true
			p.Changed = true
		}
		kept = append(kept, h)
	}
	p.Next.Holders = kept
}

func (p *Plan) join(v PlanInput) {
	if !v.Wanted || p.Next.Index(v.Self.Host, v.Self.Incarnation) >= 0 || !p.Next.CanJoin(v.Self, v.Burst) {
		return
	}
	p.Next.Holders = append(p.Next.Holders, v.Self)
	p.Changed = true
}

// renewEpoch moves the host's part to the epoch of its current lease.
func (p *Plan) renewEpoch(v PlanInput) {
	i := p.Next.Index(v.Self.Host, v.Self.Incarnation)
	if i < 0 {
		return
	}
	h := &p.Next.Holders[i]
	if h.Epoch == v.Self.Epoch && !h.Retired {
		return
	}
	h.Epoch, h.Retired = v.Self.Epoch, false
	p.Changed = true
}

// shrink releases the part above the target, once the usable fraction and the
// outstanding transfers fit the target.
func (p *Plan) shrink(v PlanInput) {
	i := p.Next.Index(v.Self.Host, v.Self.Incarnation)
	if i < 0 {
		return
	}
	h := &p.Next.Holders[i]
	target := p.Next.TargetFraction()
	fits := v.Limit <= target+minFractionChange && v.Outstanding <= target*v.Burst || v.unsafeShrink
	if h.Fraction <= target+minFractionChange || !fits {
		return
	}
	h.Fraction = target
	h.Reserved = target * ReservedFraction
	p.depositWithheld(v)
}

// minFractionChange is the smallest change of a fraction that is worth a write.
const minFractionChange = 1e-6

func (p *Plan) depositWithheld(v PlanInput) {
	p.Next.Pool = min(p.Next.Pool+v.Aside, p.Next.FreeFraction()*v.Burst)
	p.Changed = true
}

// grow takes the free fraction up to the target, with the pool's tokens for it.
func (p *Plan) grow(v PlanInput) {
	i := p.Next.Index(v.Self.Host, v.Self.Incarnation)
	if i < 0 {
		return
	}
	h := &p.Next.Holders[i]
	free := p.Next.FreeFraction()
	added := min(p.Next.TargetFraction()-h.Fraction, free)
	if added <= minFractionChange {
		return
	}
	taken := p.Next.Pool * added / free
	p.Gained = min(taken, added*v.Burst) // the burst may have been lowered since the tokens were released
	p.Next.Pool -= taken
	h.Fraction += added
	h.Reserved = h.Fraction * ReservedFraction
	p.Changed = true
}

// occupiedFraction returns the fraction that outstanding transfers occupy.
func (v PlanInput) occupiedFraction() float64 {
	if v.Outstanding <= 0 {
		return 0
	}
	if v.Burst <= 0 {
		return 1
	}
	return v.Outstanding / v.Burst
}

// release returns the host's part except for what outstanding transfers occupy.
func (p *Plan) release(v PlanInput) {
	i := p.Next.Index(v.Self.Host, v.Self.Incarnation)
	if i < 0 {
		return
	}
	h := &p.Next.Holders[i]
	h.Fraction = min(h.Fraction, v.occupiedFraction())
	h.Reserved, h.Retired = h.Fraction, true
	if h.Fraction == 0 {
		p.Next.Holders = slices.Delete(p.Next.Holders, i, i+1)
	}
	p.depositWithheld(v)
}
