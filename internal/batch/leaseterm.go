package batch

import (
	"sync"
	"time"

	"github.com/masticscale/masticscale/internal/membership"
)

// maxCheckGap is the longest interval between two checks of the host lease
// during which the lease can't have lapsed. A lease confirmed at the first
// check isn't considered lapsed by any other host within this interval.
const maxCheckGap = membership.LapseTime - membership.LeaseTime - time.Second

// leaseTerm counts the periods during which this host held its lease without
// interruption. A claim from an earlier term isn't valid, because another host
// may have taken over the chunk between the terms.
type leaseTerm struct {
	members membership.View

	mu            sync.Mutex
	lastConfirmed time.Time // start of the last check that found the lease confirmed
	epoch         int64
	term          int64
}

// check returns the current term and whether the lease is confirmed.
func (t *leaseTerm) check() (int64, bool) {
	before := time.Now()
	held := t.members.HoldsLease()
	epoch := t.members.Self().Epoch
	after := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !held {
		return t.term, false
	}
	if t.term == 0 || epoch != t.epoch || after.Sub(t.lastConfirmed) > maxCheckGap {
		t.term++
		t.epoch = epoch
	}
	if before.After(t.lastConfirmed) {
		t.lastConfirmed = before
	}
	return t.term, true
}
