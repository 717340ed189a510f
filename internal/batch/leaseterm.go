package batch

import (
	"sync"
	"time"

	"github.com/masticscale/masticscale/internal/membership"
)

// continuity is the longest time between two looks at the host lease over which
// the lease is known to have held without a gap. A lease that was confirmed at
// the first look is not taken for lapsed by any other host before.
const continuity = membership.LapseTime - membership.LeaseTime - time.Second

// leaseTerm counts the stretches over which this host held its lease without a
// gap. What was claimed in one term is not trusted in another: others may have
// taken it over in between.
type leaseTerm struct {
	feed membership.View

	mu    sync.Mutex
	last  time.Time // begin of the last look that found the lease confirmed
	epoch int64
	term  int64
}

// check returns the term, and whether the lease is confirmed now.
func (t *leaseTerm) check() (int64, bool) {
	before := time.Now()
	held := t.feed.HoldsLease()
	epoch := t.feed.Self().Epoch
	after := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !held {
		return t.term, false
	}
	if t.term == 0 || epoch != t.epoch || after.Sub(t.last) > continuity {
		t.term++
		t.epoch = epoch
	}
	if before.After(t.last) {
		t.last = before
	}
	return t.term, true
}
