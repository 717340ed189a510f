package catalog

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/key"
)

// Withdrawal revokes a key permanently.
type Withdrawal struct {
	ID        key.ID    `json:"id"`
	At        time.Time `json:"at"`
	CutActive bool      `json:"cut_active,omitempty"` // also cancel requests in progress
}

// Withdraw revokes a key on this host at once. It reports whether the withdrawal is
// new to this host.
func (c *Catalog) Withdraw(w Withdrawal) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if before, known := c.withdrawn[w.ID]; known && (before.CutActive || !w.CutActive) {
		return false
	}
	c.withdrawn[w.ID] = w
	c.publish()
	c.notifyWithdrawals([]Withdrawal{w})
	return true
}

// IsWithdrawn reports whether a key is known to be withdrawn.
func (c *Catalog) IsWithdrawn(id key.ID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, known := c.withdrawn[id]
	return known
}

// OnWithdraw registers a function that is called with each withdrawal that is new
// to this host, after it is in force. It must not block.
func (c *Catalog) OnWithdraw(f func(Withdrawal)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onWithdraw = append(c.onWithdraw, f)
}

// mergeKeyWithdrawals adds the withdrawals in the key objects and returns the new
// ones. The caller holds mu.
func (c *Catalog) mergeKeyWithdrawals() []Withdrawal {
	var withdrawals []Withdrawal
	for id, spec := range c.objects.Keys {
		if spec.Active() {
			continue
		}
		before, known := c.withdrawn[id]
		if known && (before.CutActive || !spec.CutActive) {
			continue
		}
		w := Withdrawal{ID: id, At: *spec.Withdrawn, CutActive: spec.CutActive}
		c.withdrawn[id] = w
		withdrawals = append(withdrawals, w)
	}
	return withdrawals
}

// notifyWithdrawals cancels the requests in progress of withdrawn keys where asked,
// and calls the registered functions. The caller holds mu.
func (c *Catalog) notifyWithdrawals(withdrawals []Withdrawal) {
	for _, w := range withdrawals {
		if w.CutActive {
			c.requests.cancelAll(w.ID)
		}
		for _, f := range c.onWithdraw {
			f(w)
		}
	}
}

// effectiveKeys returns the key objects with the withdrawals applied. The caller
// holds mu.
func (c *Catalog) effectiveKeys() map[key.ID]key.Spec {
	keys := maps.Clone(c.objects.Keys)
	for id, w := range c.withdrawn {
		if spec, known := keys[id]; known && spec.Active() {
			keys[id] = spec.Withdraw(w.At, w.CutActive)
		}
	}
	return keys
}

// withdrawnDigest identifies the set of withdrawn keys. The caller holds mu.
func (c *Catalog) withdrawnDigest() uint64 {
	var sum uint64
	for id := range c.withdrawn {
		sum ^= xxhash.Sum64String(string(id))
	}
	return sum
}

// ErrKeyWithdrawn is the cancellation cause of a request whose key was withdrawn
// while it ran.
var ErrKeyWithdrawn = apierr.New(apierr.Unauthorized, "the key was withdrawn while the request ran", "ask your operators for a new key").MayHaveRun()

// requestTracker holds the requests in progress by key.
type requestTracker struct {
	mu     sync.Mutex
	active map[key.ID]map[*trackedRequest]struct{}
}

type trackedRequest struct{ cancel context.CancelCauseFunc }

func (t *requestTracker) add(id key.ID, request *trackedRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active == nil {
		t.active = map[key.ID]map[*trackedRequest]struct{}{}
	}
	if t.active[id] == nil {
		t.active[id] = map[*trackedRequest]struct{}{}
	}
	t.active[id][request] = struct{}{}
}

func (t *requestTracker) remove(id key.ID, request *trackedRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.active[id], request)
	if len(t.active[id]) == 0 {
		delete(t.active, id)
	}
}

func (t *requestTracker) cancelAll(id key.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for request := range t.active[id] {
		request.cancel(ErrKeyWithdrawn)
	}
}

// TrackRequest returns a context that is cancelled with the cause ErrKeyWithdrawn
// if the key is withdrawn and CutActive is set. Check the key after calling
// TrackRequest, and call release when the request has ended.
func (c *Catalog) TrackRequest(ctx context.Context, id key.ID) (tracked context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	request := &trackedRequest{cancel: cancel}
	c.requests.add(id, request)
	return ctx, func() {
		c.requests.remove(id, request)
		cancel(nil)
	}
}
