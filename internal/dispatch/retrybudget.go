package dispatch

import "sync"

const (
	retryFraction = 0.1  // attempts beyond the first, as a part of the requests
	retryReserve  = 20.0 // retries that a quiet host may spend at once
)

// retryBudget bounds retries to a fraction of the requests, so that upstreams
// which fail do not get a multiple of the load.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryReserve} }

// earn counts one request.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryFraction, retryReserve)
}

// spend reports whether one more retry is affordable, and counts it.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
