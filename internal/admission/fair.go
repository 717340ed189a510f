package admission

import (
	"container/heap"
	"sort"
	"time"
)

// order is how the requests within one team are sorted.
type order int

const (
	byArrival order = iota
	byDeadline
)

const (
	urgentWithin       = 10 * time.Minute // remaining time below which a batch deadline is at risk
	urgentWeightFactor = 4                // multiplies the weight of a team whose next request is at risk
)

// fairQueue is a weighted fair queue over teams. A team's virtual time advances by
// the tokens granted to the team divided by its weight, and the team with the
// lowest virtual time goes next. A team that becomes active starts at the queue's
// virtual time, so that idle time earns no credit.
type fairQueue struct {
	order       order
	teams       map[string]*teamQueue
	active      teamHeap // teams with waiters, lowest virtual time first
	size        int
	virtualTime float64 // highest virtual time at which a team was granted a slot
}

type teamQueue struct {
	name        string
	waiters     []*waiter
	virtualTime float64
	index       int // in fairQueue.active, while the team has waiters
}

// teamHeap implements heap.Interface.
type teamHeap []*teamQueue

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(i, j int) bool {
	if h[i].virtualTime != h[j].virtualTime {
		return h[i].virtualTime < h[j].virtualTime
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

func (f *fairQueue) waitingCount(team string) int {
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
		t.virtualTime = max(t.virtualTime, f.virtualTime)
		heap.Push(&f.active, t)
	}
}

// insert adds the waiter at its position in the order; ties keep arrival order.
func (t *teamQueue) insert(w *waiter, o order) {
	i := len(t.waiters)
	if o == byDeadline {
		i = sort.Search(len(t.waiters), func(i int) bool { return t.waiters[i].req.Deadline.After(w.req.Deadline) })
	}
	t.waiters = append(t.waiters, nil)
	copy(t.waiters[i+1:], t.waiters[i:])
	t.waiters[i] = w
}

// next returns the team with the lowest virtual time, or nil if the queue is empty.
func (f *fairQueue) next() *teamQueue {
	if len(f.active) == 0 {
		return nil
	}
	return f.active[0]
}

// peek returns the request to be granted next, or nil, and marks a batch request
// as boosted if its deadline is at risk.
func (f *fairQueue) peek(now time.Time) *waiter {
	if t := f.next(); t != nil {
		w := t.waiters[0]
		w.boosted = f.order == byDeadline && !w.req.Deadline.IsZero() && w.req.Deadline.Sub(now) < urgentWithin
		return w
	}
	return nil
}

// dequeue removes a granted request and charges its expected tokens to the team.
func (f *fairQueue) dequeue(w *waiter) {
	t := f.teams[w.req.Team]
	f.remove(w)
	f.virtualTime = max(f.virtualTime, t.virtualTime)
	weight := effectiveWeight(w.req.Weight)
	if w.boosted {
		weight *= urgentWeightFactor
	}
	f.advance(t, float64(max(w.req.Tokens, 1))/weight)
}

// advance adds to a team's virtual time and restores the heap order.
func (f *fairQueue) advance(t *teamQueue, by float64) {
	t.virtualTime += by
	if len(t.waiters) > 0 {
		heap.Fix(&f.active, t.index)
	}
}

// remove removes a request without a charge and reports whether it was queued.
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
				heap.Remove(&f.active, t.index)
			}
			return true
		}
	}
	return false
}

// pop removes and returns the next request without a charge.
func (f *fairQueue) pop() *waiter {
	t := f.next()
	if t == nil {
		return nil
	}
	w := t.waiters[0]
	f.remove(w)
	return w
}

// charge adjusts a team's virtual time by the difference between served and
// expected tokens. A credit to a team without an entry is dropped: the team would
// start at the queue's virtual time anyway.
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
		t.virtualTime = max(t.virtualTime, f.virtualTime)
	}
	f.advance(t, float64(tokens)/effectiveWeight(weight))
}

// removeIdleTeams deletes teams without waiters whose virtual time isn't ahead of
// the queue's, which bounds the map to teams with current traffic.
func (f *fairQueue) removeIdleTeams() {
	for name, t := range f.teams {
		if len(t.waiters) == 0 && t.virtualTime <= f.virtualTime {
			delete(f.teams, name)
		}
	}
}

// countAhead estimates the queue position of a new request: all requests of its
// own team, and of each other team as many as the ratio of weights allows.
func (f *fairQueue) countAhead(w *waiter) int {
	own := f.waitingCount(w.req.Team) + 1
	n := own
	for _, t := range f.active {
		if t.name != w.req.Team {
			others := float64(own) * effectiveWeight(t.waiters[0].req.Weight) / effectiveWeight(w.req.Weight)
			n += min(len(t.waiters), int(others+0.5))
		}
	}
	return n
}

func effectiveWeight(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}
