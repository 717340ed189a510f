package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// BalancingPolicy is a way to pick an upstream.
type BalancingPolicy int

// The ways to pick an upstream.
const (
	LeastOutstanding  BalancingPolicy = iota // the one that runs the fewest of this host's requests
	PowerOfTwoChoices                        // the less loaded of two random ones, lag-corrected
	LeastReported                            // the one with the lowest load report
	RoundRobin
	Random
)

// BatchPolicy is a way to let batch requests in.
type BatchPolicy int

// The ways to let batch requests in.
const (
	Assigned     BatchPolicy = iota // an upstream's batch belongs to one host, yielding to online
	SlotShares                      // an upstream's slots are divided among all hosts, yielding to online
	Optimistic                      // every host by its own view, yielding to online
	NoPreemption                    // every host by its own view, running to the end
)

// Policy says how a pool chooses. The zero value is the one in force; the others
// are kept to be measured against it.
type Policy struct {
	Choice BalancingPolicy
	Batch  BatchPolicy
}

// SetPolicy replaces the policy.
func (p *Pool) SetPolicy(policy Policy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.policy = policy
}

// choice is where a request goes and what has to give way for it.
type choice struct {
	target *target
	yields int // own batch requests that stop
}

// choose picks an upstream for the request; the caller holds mu.
func (p *Pool) choose(n SlotRequest, now time.Time) choice {
	var eligible []*target
	for _, t := range p.targets {
		if t.eligible(n, now) {
			eligible = append(eligible, t)
		}
	}
	switch {
	case n.Trial:
		return chooseTrial(eligible, now)
	case n.Class == Batch:
		return p.chooseBatch(eligible, now)
	default:
		return p.chooseOnline(eligible, now)
	}
}

// chooseBatch takes only capacity that is idle and falls to this host's share.
func (p *Pool) chooseBatch(eligible []*target, now time.Time) choice {
	room := keep(eligible, func(t *target) bool {
		return len(t.batch) < p.share(t) && t.load(now)+surgeRoom*t.surge(now) < t.batchLimit() && t.prefilling(now) == 0 && t.quiet(now)
	})
	return choice{target: p.pick(room, now)}
}

// chooseOnline prefers a free slot, then the slot of an own batch request, then
// the slot of another host's. Online requests wait only for each other.
func (p *Pool) chooseOnline(eligible []*target, now time.Time) choice {
	free := keep(eligible, func(t *target) bool { return t.load(now) < t.slots() })
	if t := p.pick(free, now); t != nil {
		if p.policy.Batch == NoPreemption {
			return choice{target: t}
		}
		return choice{target: t, yields: max(t.prefilling(now), t.crowding(1, now))}
	}
	if p.policy.Batch == NoPreemption {
		return choice{}
	}
	own := keep(eligible, func(t *target) bool { return len(t.batch) > 0 })
	if t := p.pick(own, now); t != nil {
		return choice{target: t, yields: max(t.prefilling(now), 1)}
	}
	foreign := keep(eligible, func(t *target) bool {
		f := t.foreign(now)
		return f.Batch > 0 && t.online+f.Online < t.slots()
	})
	if t := p.pick(foreign, now); t != nil {
		return choice{target: t}
	}
	return choice{}
}

// chooseTrial takes the emptiest upstream, so that a suspect meets as few
// other requests as possible.
func chooseTrial(eligible []*target, now time.Time) choice {
	var best *target
	for _, t := range eligible {
		if best == nil || t.relativeLoad(now) < best.relativeLoad(now) {
			best = t
		}
	}
	if best == nil {
		return choice{}
	}
	return choice{target: best, yields: len(best.batch)}
}

func keep(targets []*target, ok func(*target) bool) []*target {
	var out []*target
	for _, t := range targets {
		if ok(t) {
			out = append(out, t)
		}
	}
	return out
}

// pick returns one of the candidates by the policy, or nil when there is none.
func (p *Pool) pick(candidates []*target, now time.Time) *target {
	if len(candidates) == 0 {
		return nil
	}
	switch p.policy.Choice {
	case PowerOfTwoChoices:
		return pickOfTwo(candidates, now)
	case LeastReported:
		return slices.MinFunc(candidates, func(a, b *target) int { return a.reportedLoad() - b.reportedLoad() })
	case RoundRobin:
		slices.SortFunc(candidates, func(a, b *target) int { return strings.Compare(a.id.Name, b.id.Name) })
		p.turn++
		return candidates[p.turn%len(candidates)]
	case Random:
		return candidates[rand.IntN(len(candidates))]
	default:
		return leastOutstanding(candidates)
	}
}

// leastOutstanding returns the candidate that runs the fewest of this host's
// requests for its slots; a random one among equals. What the host runs itself
// it knows without lag, and hosts that see different numbers do not herd.
func leastOutstanding(candidates []*target) *target {
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return slices.MinFunc(candidates, func(a, b *target) int {
		return cmp.Compare(a.own()*b.slots(), b.own()*a.slots())
	})
}

// pickOfTwo returns the less loaded of two random candidates.
func pickOfTwo(candidates []*target, now time.Time) *target {
	a := candidates[rand.IntN(len(candidates))]
	b := candidates[rand.IntN(len(candidates))]
	if b.relativeLoad(now) < a.relativeLoad(now) {
		return b
	}
	return a
}
