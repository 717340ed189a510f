package admission

// fairQueue orders the requests of many teams by tokens served: each team has a
// virtual time that advances by the tokens it was given over its weight, and
// the team that is furthest behind goes next. A team that was idle starts at
// the current virtual time, so that it banks no credit.
type fairQueue struct {
	teams map[string]*teamQueue
	now   float64 // virtual time of the last grant
}

type teamQueue struct {
	name    string
	waiters []*waiter
	virtual float64
}

func newFairQueue() fairQueue { return fairQueue{teams: map[string]*teamQueue{}} }

func (f *fairQueue) empty() bool {
	for _, t := range f.teams {
		if len(t.waiters) > 0 {
			return false
		}
	}
	return true
}

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
	if len(t.waiters) == 0 {
		t.virtual = max(t.virtual, f.now)
	}
	t.waiters = append(t.waiters, w)
}

// next returns the team that goes next.
func (f *fairQueue) next() *teamQueue {
	var best *teamQueue
	for _, t := range f.teams {
		if len(t.waiters) == 0 {
			continue
		}
		if best == nil || t.virtual < best.virtual || t.virtual == best.virtual && t.name < best.name {
			best = t
		}
	}
	return best
}

func (f *fairQueue) peek() *waiter {
	if t := f.next(); t != nil {
		return t.waiters[0]
	}
	return nil
}

func (f *fairQueue) pop() *waiter {
	t := f.next()
	if t == nil {
		return nil
	}
	w := t.waiters[0]
	t.waiters = t.waiters[1:]
	f.now = t.virtual
	weight := w.req.Weight
	if weight <= 0 {
		weight = 1
	}
	t.virtual += float64(max(w.req.Tokens, 1)) / weight
	return w
}
