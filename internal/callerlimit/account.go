package callerlimit

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// smallBodyBytes is the size up to which a body may use the whole account. Larger ones
	// leave a quarter of it, so that they don't keep ordinary requests out.
	smallBodyBytes = 64 << 10

	// A body makes progress if it gets this many bytes, or this part of its length, in
	// stallTime. Less than 64 KB/s doesn't complete a body of 4 MB in the minute that it has.
	progressBytes = 16 << 10
	progressParts = 64
	stallTime     = time.Second
)

// Account bounds the bytes that a host holds for callers.
type Account struct {
	mu     sync.Mutex
	limit  int64
	used   int64
	bodies map[*Body]struct{} // those that are being read
}

// NewAccount returns an account of the given number of bytes; 0 is no bound.
func NewAccount(limit int64) *Account {
	return &Account{limit: limit, bodies: map[*Body]struct{}{}}
}

func (a *Account) bounded() bool { return a.limit > 0 }

// Used returns the number of bytes that are reserved.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Body is what the account holds for one request.
type Body struct {
	account  *Account
	declared int64 // -1 if not known
	held     int64
	received int64
	began    time.Time
	abort    func()

	markAt    time.Time // of the last progress
	markBytes int64     // received until then
	aborted   bool
	closed    bool
}

// Open starts the account of a body that is about to be read. The function abort must make
// the read fail; it is called with the account locked, and not after Close.
func (a *Account) Open(declared int64, now time.Time, abort func()) *Body {
	b := &Body{account: a, declared: declared, began: now, markAt: now, abort: abort}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bodies[b] = struct{}{}
	return b
}

// hold returns a Body for bytes that have a time limit of their own: it is never aborted.
func (a *Account) hold(now time.Time) *Body {
	return &Body{account: a, declared: -1, began: now, markAt: now}
}

// Reserve reserves bytes and reports whether they fit. What is the only large thing that is
// held always fits, so that no legal request is refused for good.
func (b *Body) Reserve(n int64) bool {
	a := b.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if b.closed {
		return false
	}
	room := a.limit
	if b.held+n > smallBodyBytes {
		room -= a.limit / 4
	}
	if others := a.used - b.held; a.limit > 0 && a.used+n > room && others > a.limit/4 {
		return false
	}
	a.used += n
	b.held += n
	return true
}

// Held returns the number of bytes that are reserved.
func (b *Body) Held() int64 {
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	return b.held
}

// Release returns bytes that were reserved.
func (b *Body) Release(n int64) {
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	if b.closed {
		return
	}
	b.account.used -= n
	b.held -= n
}

// Receive records that n bytes have arrived.
func (b *Body) Receive(n int, now time.Time) {
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	b.received += int64(n)
	if b.declared >= 0 && b.received >= b.declared {
		delete(b.account.bodies, b) // an abort would cancel the request that has arrived whole
	}
	step := int64(progressBytes)
	if b.declared >= 0 {
		step = min(step, b.declared/progressParts)
	}
	if b.received-b.markBytes > step {
		b.markAt, b.markBytes = now, b.received
	}
}

// Complete ends the reading and reports whether the body was aborted. What is reserved
// stays so.
func (b *Body) Complete() (aborted bool) {
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	delete(b.account.bodies, b)
	return b.aborted
}

// Close returns all that is reserved; nothing can be reserved after it. It may be called
// again, and at the same time as the other methods.
func (b *Body) Close() {
	b.Complete()
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	b.account.used -= b.held
	b.held, b.closed = 0, true
}

// ReleaseAll returns all that is reserved until now.
func (b *Body) ReleaseAll() {
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	b.account.used -= b.held
	b.held = 0
}

// Stalled is a body that was aborted.
type Stalled struct {
	Declared, Received int64
	Silent             time.Duration // since its last progress
}

// AbortStalled aborts bodies without progress while more than half of the account is
// reserved: the least complete and, of those, the slowest first, until what is left
// would be less than half.
func (a *Account) AbortStalled(now time.Time) []Stalled {
	a.mu.Lock()
	defer a.mu.Unlock()
	excess := a.used - a.limit/2
	if a.limit == 0 || excess <= 0 {
		return nil
	}
	var found []*Body
	for b := range a.bodies {
		if !b.aborted && b.abort != nil && now.Sub(b.markAt) >= stallTime {
			found = append(found, b)
		}
	}
	slices.SortFunc(found, func(x, y *Body) int { return compareProgress(x, y, now) })
	var aborted []Stalled
	for _, b := range found {
		if excess <= 0 {
			break
		}
		excess -= b.held
		b.aborted = true
		b.abort()
		aborted = append(aborted, Stalled{b.declared, b.received, now.Sub(b.markAt)})
	}
	return aborted
}

// compareProgress orders the less complete body first, and of two alike the slower one.
func compareProgress(x, y *Body, now time.Time) int {
	return cmp.Or(cmp.Compare(x.completeness(), y.completeness()), cmp.Compare(x.rate(now), y.rate(now)))
}

// completeness returns the part of the declared length that has arrived, in steps of a
// tenth; 0 if no length was declared.
func (b *Body) completeness() int64 {
	if b.declared <= 0 {
		return 0
	}
	return 10 * b.received / b.declared
}

func (b *Body) rate(now time.Time) float64 {
	return float64(b.received) / max(now.Sub(b.began), time.Millisecond).Seconds()
}
