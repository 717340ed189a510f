package dispatch

import (
	"math/rand/v2"
	"time"
)

// choice is where a request goes and what has to give way for it.
type choice struct {
	target  *target
	yields  int // own batch requests that stop
	foreign int // other hosts' batch requests that should stop
}

// choose picks an upstream for the request; the caller holds mu.
func (p *Pool) choose(n Need, now time.Time) choice {
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
		return chooseOnline(eligible, now)
	}
}

// chooseBatch takes only capacity that is idle and falls to this host's share.
func (p *Pool) chooseBatch(eligible []*target, now time.Time) choice {
	room := keep(eligible, func(t *target) bool {
		return len(t.batch) < p.shares.of(t, now) && t.load(now) < t.batchLimit()
	})
	return choice{target: pickOfTwo(room, now)}
}

// chooseOnline prefers a free slot, then the slot of an own batch request, then
// the slot of another host's. Online requests wait only for each other.
func chooseOnline(eligible []*target, now time.Time) choice {
	free := keep(eligible, func(t *target) bool { return t.load(now) < t.slots() })
	if t := pickOfTwo(free, now); t != nil {
		return choice{target: t, yields: max(t.prefilling(now), t.crowding(now))}
	}
	own := keep(eligible, func(t *target) bool { return len(t.batch) > 0 })
	if t := pickOfTwo(own, now); t != nil {
		return choice{target: t, yields: max(t.prefilling(now), 1)}
	}
	foreign := keep(eligible, func(t *target) bool {
		f := t.foreign(now)
		return f.Batch > 0 && t.online+f.Online < t.slots()
	})
	if t := pickOfTwo(foreign, now); t != nil {
		return choice{target: t, foreign: 1}
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

// pickOfTwo returns the less loaded of two random candidates. Always taking the
// least loaded one would send all hosts to the same upstream between reports.
func pickOfTwo(candidates []*target, now time.Time) *target {
	if len(candidates) == 0 {
		return nil
	}
	a := candidates[rand.IntN(len(candidates))]
	b := candidates[rand.IntN(len(candidates))]
	if b.relativeLoad(now) < a.relativeLoad(now) {
		return b
	}
	return a
}
