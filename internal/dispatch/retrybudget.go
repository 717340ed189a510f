package dispatch

import "sync"

const (
	retryFraction = 0.1  // retries that each request adds to the budget
	retryReserve  = 20.0 // cap and initial balance, in retries
)

// retryBudget limits retries to a fraction of the requests, so that retries do
// not multiply the load on failing upstreams.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryReserve} }

// deposit adds the retry fraction of one request to the budget.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryFraction, retryReserve)
}

// tryWithdraw takes one retry from the budget and reports whether the budget
// covers the retry.
func (b *retryBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
