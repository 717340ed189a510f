package ratelimit

import (
	"slices"

	"github.com/masticscale/masticscale/internal/membership"
)

// Bounds on the home hosts of one team. More home hosts lose less with each
// host that is lost; fewer waste less of a small burst.
const (
	MinHolders        = 3  // for the smallest bursts, where hosts have demand
	MaxHoldersByBurst = 8  // for larger ones
	MaxHolders        = 12 // with those that stand for a data centre
	tokensPerHome     = 10 // burst that each home host should have at least
)

// homesFor returns how many home hosts a burst is spread over.
func homesFor(burst float64) int {
	return max(MinHolders, min(MaxHoldersByBurst, int(burst/tokensPerHome)))
}

// Holder is one host's part of a team's rate and burst.
type Holder struct {
	Host        string  `json:"host"`
	Incarnation string  `json:"incarnation"`
	Epoch       int64   `json:"epoch"`
	Address     string  `json:"address"` // for peers
	DataCentre  string  `json:"data_centre"`
	Fraction    float64 `json:"fraction"` // of rate and burst
	Reserved    float64 `json:"reserved"` // part of Fraction that is usable without a lease
	// Retired holders get nothing new: their lease has lapsed or they have left.
	Retired bool `json:"retired,omitempty"`
}

// Owner returns the host lease that the holder's leased part hangs on.
func (h Holder) Owner() membership.Owner {
	return membership.Owner{Host: h.Host, Epoch: h.Epoch}
}

// Share is the object that divides a team's rate and burst among its home
// hosts. The fractions never sum above one. It is never deleted, since a share
// made anew would come with a full burst.
type Share struct {
	// Pool is tokens that were given back and wait for whoever takes the free
	// fraction. They fit that fraction of the burst.
	Pool    float64  `json:"pool"`
	Holders []Holder `json:"holders"`
}

// NewShare returns the share of a team that has never had one.
func NewShare(burst float64) Share { return Share{Pool: burst} }

// HolderState is what is known of a holder.
type HolderState int

// The states of a holder. Each is final for the holder's epoch and incarnation.
const (
	HolderAlive       HolderState = iota
	HolderLapsed                  // the leased part is not in use any more
	HolderReclaimable             // no part is in use any more, transfers included
)

// PlanInput is what a host knows when it plans a change of a share.
type PlanInput struct {
	Self    Holder // identity, with the epoch of the lease that it trusts
	Wanted  bool   // callers of the team come to this host
	Leaving bool
	Burst   float64
	State   func(Holder) HolderState
	// Limit, Aside and Outstanding are the holding's: the fraction that it has
	// left in use, the tokens taken out of use, and those given to peers.
	Limit       float64
	Aside       float64
	Outstanding float64
	// unchecked confirms a shrink while transfers are outstanding. Tests only.
	unchecked bool
}

// Plan is the next state of a share, as one host would write it.
type Plan struct {
	Next    Share
	Changed bool
	Gained  float64 // tokens that the write takes from the pool
	write   int64
}

// Index returns the position of a host's incarnation, or -1.
func (s Share) Index(host, incarnation string) int {
	return slices.IndexFunc(s.Holders, func(h Holder) bool { return h.Host == host && h.Incarnation == incarnation })
}

// holdsPast reports whether an earlier incarnation of a host has a part.
func (s Share) holdsPast(self Holder) bool {
	return slices.ContainsFunc(s.Holders, func(h Holder) bool {
		return h.Host == self.Host && h.Incarnation != self.Incarnation
	})
}

// FreeFraction returns the fraction that nobody holds.
func (s Share) FreeFraction() float64 {
	sum := 0.0
	for _, h := range s.Holders {
		sum += h.Fraction
	}
	return max(0, 1-sum)
}

// TargetFraction returns the fraction that each home host should have.
func (s Share) TargetFraction() float64 {
	rest, homes := 1.0, 0
	for _, h := range s.Holders {
		if h.Retired {
			rest -= h.Fraction
			continue
		}
		homes++
	}
	if homes == 0 {
		return 0
	}
	return max(0, rest) / float64(homes)
}

// CanJoin reports whether a host that is no home host may become one.
func (s Share) CanJoin(h Holder, burst float64) bool {
	homes, near := 0, false
	for _, other := range s.Holders {
		if other.Retired {
			continue
		}
		homes++
		near = near || other.DataCentre == h.DataCentre
	}
	if homes >= MaxHolders || float64(homes+1) > burst {
		return false
	}
	return homes < homesFor(burst) || !near
}

// Plan returns what the host should write. It only ever adds to the host's own
// part, gives up what the host has stopped using, and frees what a holder
// is known not to use any more.
func (s Share) Plan(v PlanInput) Plan {
	p := Plan{Next: Share{Pool: s.Pool, Holders: slices.Clone(s.Holders)}}
	p.reclaim(v)
	if v.Leaving {
		p.release(v)
	} else {
		p.join(v)
		p.adopt(v)
		p.shrink(v)
		p.grow(v)
	}
	return p
}

// reclaim frees what holders have proved not to use any more. No tokens come
// with it.
func (p *Plan) reclaim(v PlanInput) {
	kept := p.Next.Holders[:0]
	for _, h := range p.Next.Holders {
		holder := HolderAlive
		if h.Host != v.Self.Host || h.Incarnation != v.Self.Incarnation {
			holder = v.State(h)
		}
		if holder == HolderReclaimable {
			p.Changed = true
			continue
		}
		if holder == HolderLapsed && !h.Retired {
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

// adopt puts the holder's part under its new lease.
func (p *Plan) adopt(v PlanInput) {
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

// shrink gives the part above the target back once what is in use fits it.
func (p *Plan) shrink(v PlanInput) {
	i := p.Next.Index(v.Self.Host, v.Self.Incarnation)
	if i < 0 {
		return
	}
	h := &p.Next.Holders[i]
	target := p.Next.TargetFraction()
	fits := v.Limit <= target+shareStep && v.Outstanding <= target*v.Burst || v.unchecked
	if h.Fraction <= target+shareStep || !fits {
		return
	}
	h.Fraction = target
	h.Reserved = target * ReservedFraction
	p.deposit(v)
}

// shareStep is the smallest change of a fraction that is worth a write.
const shareStep = 1e-6

func (p *Plan) deposit(v PlanInput) {
	p.Next.Pool = min(p.Next.Pool+v.Aside, p.Next.FreeFraction()*v.Burst)
	p.Changed = true
}

// grow takes what is free, up to the target, with its tokens.
func (p *Plan) grow(v PlanInput) {
	i := p.Next.Index(v.Self.Host, v.Self.Incarnation)
	if i < 0 {
		return
	}
	h := &p.Next.Holders[i]
	free := p.Next.FreeFraction()
	part := min(p.Next.TargetFraction()-h.Fraction, free)
	if part <= shareStep {
		return
	}
	taken := p.Next.Pool * part / free
	p.Gained = min(taken, part*v.Burst) // the burst may have been lowered since
	p.Next.Pool -= taken
	h.Fraction += part
	h.Reserved = h.Fraction * ReservedFraction
	p.Changed = true
}

// occupied returns the fraction that outstanding transfers occupy.
func (v PlanInput) occupied() float64 {
	if v.Outstanding <= 0 {
		return 0
	}
	if v.Burst <= 0 {
		return 1
	}
	return v.Outstanding / v.Burst
}

// release gives everything back but what outstanding transfers occupy.
func (p *Plan) release(v PlanInput) {
	i := p.Next.Index(v.Self.Host, v.Self.Incarnation)
	if i < 0 {
		return
	}
	h := &p.Next.Holders[i]
	h.Fraction = min(h.Fraction, v.occupied())
	h.Reserved, h.Retired = h.Fraction, true
	if h.Fraction == 0 {
		p.Next.Holders = slices.Delete(p.Next.Holders, i, i+1)
	}
	p.deposit(v)
}
