package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// BalancingPolicy selects the load-balancing algorithm.
type BalancingPolicy int

// The load-balancing algorithms.
const (
	LeastOutstanding  BalancingPolicy = iota // fewest in-flight requests of this host per slot
	PowerOfTwoChoices                        // the less loaded of two random upstreams, by lag-corrected load
	LeastReported                            // lowest load report
	RoundRobin
	Random
)

// BatchPolicy selects how hosts share upstream slots for batch requests and
// whether online requests preempt them.
type BatchPolicy int

// The batch policies. All but NoPreemption let online requests preempt batch
// requests.
const (
	Assigned     BatchPolicy = iota // one host runs all batch requests of an upstream
	SlotShares                      // all hosts divide the slots of each upstream
	Optimistic                      // each host decides by its own view of the load
	NoPreemption                    // as Optimistic, but batch requests run to completion
)

// Policy configures how a pool selects upstreams. Production uses the zero
// value; the other policies exist for comparison in experiments.
type Policy struct {
	Balancing BalancingPolicy
	Batch     BatchPolicy
}

func (p *Pool) SetPolicy(policy Policy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.policy = policy
}

// selection is the upstream selected for a request, and the number of batch
// requests to preempt there.
type selection struct {
	target  *target
	preempt int // batch requests of this host
}

// choose selects an upstream for the request. The caller holds mu.
func (p *Pool) choose(req SlotRequest, now time.Time) selection {
	var eligible []*target
	for _, t := range p.targets {
		if t.eligible(req, now) {
			eligible = append(eligible, t)
		}
	}
	switch {
	case req.Trial:
		return chooseTrial(eligible, now)
	case req.Class == Batch:
		return p.chooseBatch(eligible, now)
	default:
		return p.chooseOnline(eligible, now)
	}
}

// chooseBatch selects an upstream that has idle capacity within this host's
// batch share.
func (p *Pool) chooseBatch(eligible []*target, now time.Time) selection {
	withRoom := filter(eligible, func(t *target) bool {
		return len(t.batch) < p.batchShare(t) && t.load(now)+burstReserveSlots*t.onlineBurst(now) < t.batchLimit() && t.prefillingBatch(now) == 0 && t.mayStartBatch(now)
	})
	return selection{target: p.pick(withRoom, now)}
}

// chooseOnline prefers a free slot, then the slot of a batch request of this
// host, then the slot of a batch request of another host. An online request
// waits only for other online requests.
func (p *Pool) chooseOnline(eligible []*target, now time.Time) selection {
	free := filter(eligible, func(t *target) bool { return t.load(now) < t.slots() })
	if t := p.pick(free, now); t != nil {
		if p.policy.Batch == NoPreemption {
			return selection{target: t}
		}
		return selection{target: t, preempt: max(t.prefillingBatch(now), t.batchOverHighWater(1, now))}
	}
	if p.policy.Batch == NoPreemption {
		return selection{}
	}
	withOwnBatch := filter(eligible, func(t *target) bool { return len(t.batch) > 0 })
	if t := p.pick(withOwnBatch, now); t != nil {
		return selection{target: t, preempt: max(t.prefillingBatch(now), 1)}
	}
	withPeerBatch := filter(eligible, func(t *target) bool {
		peers := t.peerLoad(now)
		return peers.Batch > 0 && t.online+peers.Online < t.slots()
	})
	if t := p.pick(withPeerBatch, now); t != nil {
		return selection{target: t}
	}
	return selection{}
}

// chooseTrial selects the least loaded upstream, so that a crash affects as few
// other requests as possible.
func chooseTrial(eligible []*target, now time.Time) selection {
	var best *target
	for _, t := range eligible {
		if best == nil || t.relativeLoad(now) < best.relativeLoad(now) {
			best = t
		}
	}
	if best == nil {
		return selection{}
	}
	return selection{target: best, preempt: len(best.batch)}
}

func filter(targets []*target, ok func(*target) bool) []*target {
	var out []*target
	for _, t := range targets {
		if ok(t) {
			out = append(out, t)
		}
	}
	return out
}

// pick selects a candidate by the balancing policy. It returns nil if there are
// no candidates.
func (p *Pool) pick(candidates []*target, now time.Time) *target {
	if len(candidates) == 0 {
		return nil
	}
	switch p.policy.Balancing {
	case PowerOfTwoChoices:
		return pickPowerOfTwo(candidates, now)
	case LeastReported:
		return slices.MinFunc(candidates, func(a, b *target) int { return a.reportedLoad() - b.reportedLoad() })
	case RoundRobin:
		slices.SortFunc(candidates, func(a, b *target) int { return strings.Compare(a.id.Name, b.id.Name) })
		p.nextRoundRobin++
		return candidates[p.nextRoundRobin%len(candidates)]
	case Random:
		return candidates[rand.IntN(len(candidates))]
	default:
		return leastOutstanding(candidates)
	}
}

// leastOutstanding returns the candidate with the fewest in-flight requests of
// this host per slot, breaking ties at random. A host counts its own requests
// without lag, and since each host counts different requests, the hosts do not
// all select the same upstream.
func leastOutstanding(candidates []*target) *target {
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return slices.MinFunc(candidates, func(a, b *target) int {
		return cmp.Compare(a.ownRequests()*b.slots(), b.ownRequests()*a.slots())
	})
}

// pickPowerOfTwo draws two random candidates and returns the less loaded one.
func pickPowerOfTwo(candidates []*target, now time.Time) *target {
	a := candidates[rand.IntN(len(candidates))]
	b := candidates[rand.IntN(len(candidates))]
	if b.relativeLoad(now) < a.relativeLoad(now) {
		return b
	}
	return a
}
