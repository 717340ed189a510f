package admission

import (
	"container/heap"
	"sort"
	"time"
)

// order sorts the requests of one team.
type order int

const (
	byArrival order = iota
	byDeadline
)

const (
	urgentTime  = 10 * time.Minute // a batch request due sooner is at risk
	urgentBoost = 4                // weight of a team whose next request is at risk
)

// fairQueue orders the requests of many teams by tokens served: each team has a
// virtual time that advances by the tokens it was given over its weight, and
// the team that is furthest behind goes next. A team that was idle starts at
// the current virtual time, so that it banks no credit.
type fairQueue struct {
	order order
	teams map[string]*teamQueue
	ready teamHeap // the teams that have waiters, furthest behind first
	size  int
	now   float64 // virtual time of the last grant
}

type teamQueue struct {
	name    string
	waiters []*waiter
	virtual float64
	index   int // in the heap, while it has waiters
}

// teamHeap implements heap.Interface.
type teamHeap []*teamQueue

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(i, j int) bool {
	if h[i].virtual != h[j].virtual {
		return h[i].virtual < h[j].virtual
	}
	return h[i].name < h[j].name
}

func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) {
	t := x.(*teamQueue)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return t
}

func newFairQueue(o order) fairQueue { return fairQueue{order: o, teams: map[string]*teamQueue{}} }

func (f *fairQueue) empty() bool { return f.size == 0 }

func (f *fairQueue) waiting(team string) int {
	if t, ok := f.teams[team]; ok {
		return len(t.waiters)
	}
	return 0
}

func (f *fairQueue) push(w *waiter) {
	t, ok := f.teams[w.req.Team]
	if !ok {
		t = &teamQueue{name: w.req.Team}
		f.teams[w.req.Team] = t
	}
	t.insert(w, f.order)
	f.size++
	if len(t.waiters) == 1 {
		t.virtual = max(t.virtual, f.now)
		heap.Push(&f.ready, t)
	}
}

// insert puts the waiter behind those that go before it.
func (t *teamQueue) insert(w *waiter, o order) {
	i := len(t.waiters)
	if o == byDeadline {
		i = sort.Search(len(t.waiters), func(i int) bool { return t.waiters[i].req.Deadline.After(w.req.Deadline) })
	}
	t.waiters = append(t.waiters, nil)
	copy(t.waiters[i+1:], t.waiters[i:])
	t.waiters[i] = w
}

// next returns the team that goes next.
func (f *fairQueue) next() *teamQueue {
	if len(f.ready) == 0 {
		return nil
	}
	return f.ready[0]
}

// peek returns the request that goes next. Among batch requests one whose
// deadline is at risk raises its team's share.
func (f *fairQueue) peek(now time.Time) *waiter {
	if t := f.next(); t != nil {
		w := t.waiters[0]
		w.boosted = f.order == byDeadline && !w.req.Deadline.IsZero() && w.req.Deadline.Sub(now) < urgentTime
		return w
	}
	return nil
}

// take removes a request that was granted and charges its team.
func (f *fairQueue) take(w *waiter) {
	t := f.teams[w.req.Team]
	f.remove(w)
	f.now = max(f.now, t.virtual)
	weight := effective(w.req.Weight)
	if w.boosted {
		weight *= urgentBoost
	}
	f.advance(t, float64(max(w.req.Tokens, 1))/weight)
}

// advance moves a team's virtual time.
func (f *fairQueue) advance(t *teamQueue, by float64) {
	t.virtual += by
	if len(t.waiters) > 0 {
		heap.Fix(&f.ready, t.index)
	}
}

// remove drops a request without a charge and reports whether it was there.
func (f *fairQueue) remove(w *waiter) bool {
	t, ok := f.teams[w.req.Team]
	if !ok {
		return false
	}
	for i, other := range t.waiters {
		if other == w {
			t.waiters = append(t.waiters[:i:i], t.waiters[i+1:]...)
			f.size--
			if len(t.waiters) == 0 {
				heap.Remove(&f.ready, t.index)
			}
			return true
		}
	}
	return false
}

// pop drops and returns the next request without a charge.
func (f *fairQueue) pop() *waiter {
	t := f.next()
	if t == nil {
		return nil
	}
	w := t.waiters[0]
	f.remove(w)
	return w
}

// charge corrects a team's account after its request ended. A team that has
// been forgotten was not ahead of the others, so a credit is of no use to it.
func (f *fairQueue) charge(team string, weight float64, tokens int) {
	t, ok := f.teams[team]
	if !ok {
		if tokens <= 0 {
			return
		}
		t = &teamQueue{name: team}
		f.teams[team] = t
	}
	if len(t.waiters) == 0 {
		t.virtual = max(t.virtual, f.now)
	}
	f.advance(t, float64(tokens)/effective(weight))
}

// sweep forgets idle teams that owe nothing, so that the table holds only teams
// with current traffic.
func (f *fairQueue) sweep() {
	for name, t := range f.teams {
		if len(t.waiters) == 0 && t.virtual <= f.now {
			delete(f.teams, name)
		}
	}
}

// ahead estimates how many requests go before a new one of the team: those of
// its own team, and as many of each other team as its weight gives it.
func (f *fairQueue) ahead(w *waiter) int {
	own := f.waiting(w.req.Team) + 1
	n := own
	for _, t := range f.ready {
		if t.name != w.req.Team {
			rivals := float64(own) * effective(t.waiters[0].req.Weight) / effective(w.req.Weight)
			n += min(len(t.waiters), int(rivals+0.5))
		}
	}
	return n
}

func effective(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}
