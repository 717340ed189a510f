package ratelimit

import "time"

// Timing of transfers and shares.
const (
	// BorrowedTokenTTL is how long a borrower may use borrowed tokens, measured on
	// its own clock from before it sent the request.
	BorrowedTokenTTL = 2 * time.Second
	// TransferHoldTime is how long a lender keeps capacity occupied for tokens that
	// it lent. It exceeds BorrowedTokenTTL by more than clocks can drift.
	TransferHoldTime = 2500 * time.Millisecond
	// ReservedGracePeriod is how long a host may use its reserved part after its
	// lease has lapsed.
	ReservedGracePeriod = 2 * time.Hour
	// ReservedFraction is the fraction of a host's part that stays usable without a
	// lease.
	ReservedFraction = 0.9
	// MaxClockDrift is the largest relative error of a monotonic clock's rate. Hosts
	// refill more slowly by as much, so that a fast clock yields no excess tokens.
	MaxClockDrift = 500e-6

	maxOutstandingTransfers = 256 // outstanding transfers lent by one host for one team
)

// Lease is this host's lease.
type Lease struct {
	Epoch int64
	Until time.Time // expiry on this host's monotonic clock
}

// Grant is the part of a team's rate and burst that the team's share object
// assigns to this host.
type Grant struct {
	Fraction float64 // of rate and burst
	Reserved float64 // part of Fraction that stays usable without a lease
	Epoch    int64   // lease epoch under which the rest is usable
}

// lentTransfer is an outstanding transfer at the lender.
type lentTransfer struct {
	id      uint64
	amount  float64
	expires time.Time
}

// Holding is one host's part of one team's token bucket: its own tokens, the
// tokens lent to peers and the tokens borrowed from them. It does no I/O and is
// not safe for concurrent use. Time is an argument, so that tests can use virtual
// time.
//
// Invariant: own tokens, withheld tokens and outstanding transfers together never
// exceed the capacity that the grant allows.
type Holding struct {
	rate, burst   float64
	grant         Grant
	fractionLimit float64 // upper bound on the usable fraction while a shrink is pending
	leaseUntil    time.Time
	tokens        float64
	withheld      float64 // tokens that a pending shrink has taken out of use
	updated       time.Time
	lent          []lentTransfer
	lastID        uint64
	borrowed      []borrowedTransfer
	requests      []pendingRequest
	disabled      disabledSafeguards
}

// disabledSafeguards turns safeguards off for mutation tests, which show that the
// simulation detects each missing one. Production code uses the zero value.
type disabledSafeguards struct {
	ignoreOutstanding      bool // outstanding transfers do not occupy the lender's capacity
	ignoreLeaseExpiry      bool // the leased part stays usable after the lease has lapsed
	unsafeShrink           bool // a shrink is confirmed while transfers are outstanding
	ignoreBorrowDeadline   bool // borrowed tokens never expire
	acceptDuplicateReplies bool // a duplicate reply adds its tokens again
}

// NewHolding returns a holding without a grant or tokens. Transfer ids count up
// from firstID, which must differ between incarnations.
func NewHolding(rate, burst float64, firstID uint64, now time.Time) *Holding {
	return &Holding{rate: rate, burst: burst, updated: now, lastID: firstID}
}

// SetSpec changes the team's rate and burst.
func (h *Holding) SetSpec(rate, burst float64, now time.Time) {
	if rate == h.rate && burst == h.burst {
		return
	}
	h.advance(now)
	h.rate, h.burst = rate, burst
	h.advance(now)
}

// RenewLease extends the time for which the leased part is usable. A lease of
// another epoch than the grant's is ignored.
func (h *Holding) RenewLease(l Lease) {
	if l.Epoch == h.grant.Epoch && l.Until.After(h.leaseUntil) {
		h.leaseUntil = l.Until
	}
}

// SetGrant replaces the grant by one that the share object contains, and starts a
// shrink if the target fraction is lower.
func (h *Holding) SetGrant(g Grant, target float64, l Lease, now time.Time) {
	h.advance(now)
	if g.Epoch != h.grant.Epoch {
		h.leaseUntil = time.Time{}
	}
	h.grant = g
	h.RenewLease(l)
	h.LimitFraction(target, now)
}

// LimitFraction bounds the usable fraction. Tokens above a lowered limit are
// withheld until the shrink is confirmed, and restored when the limit rises.
func (h *Holding) LimitFraction(fraction float64, now time.Time) {
	h.advance(now)
	fraction = min(fraction, h.grant.Fraction)
	if fraction > h.fractionLimit {
		h.tokens += h.withheld
		h.withheld = 0
	}
	h.fractionLimit = fraction
	previous := h.tokens
	h.advance(now)
	h.withheld += previous - h.tokens
	h.advance(now)
}

// Withheld returns the tokens that a pending shrink has taken out of use.
func (h *Holding) Withheld(now time.Time) float64 {
	h.advance(now)
	return h.withheld
}

// LowerGrant lowers the grant irrevocably where the new parts are smaller. It must
// be called before the write that releases the rest to others is sent.
func (h *Holding) LowerGrant(fraction, reserved float64, now time.Time) {
	h.advance(now)
	h.grant.Reserved = min(h.grant.Reserved, reserved)
	if fraction >= h.grant.Fraction {
		return
	}
	h.LimitFraction(min(h.fractionLimit, fraction), now)
	h.grant.Fraction = fraction
	h.withheld = 0
}

// AddTokens adds tokens taken from the share's pool.
func (h *Holding) AddTokens(n float64, now time.Time) {
	h.advance(now)
	h.tokens += n
	h.advance(now)
}

// Grant returns the grant in use.
func (h *Holding) Grant() Grant { return h.grant }

// UsableFraction returns the fraction of rate and burst that is usable now.
func (h *Holding) UsableFraction(now time.Time) float64 {
	switch {
	case h.disabled.ignoreLeaseExpiry || now.Before(h.leaseUntil):
		return min(h.grant.Fraction, h.fractionLimit)
	case now.Before(h.leaseUntil.Add(ReservedGracePeriod)):
		return min(h.grant.Reserved, h.fractionLimit)
	default:
		return 0
	}
}

// Outstanding returns the lent tokens that occupied capacity at the last call of a
// method with a time argument.
func (h *Holding) Outstanding() float64 {
	sum := 0.0
	for _, t := range h.lent {
		sum += t.amount
	}
	return sum
}

// advance refills up to now, drops expired transfers and enforces the capacity. A
// fraction that fell since the last call applies to the whole interval, which can
// only yield fewer tokens. The refill is computed in steps up to each transfer's
// expiry, so that a holding without free capacity accrues nothing before then.
func (h *Holding) advance(now time.Time) {
	fraction := h.UsableFraction(now)
	for len(h.lent) > 0 && !now.Before(h.lent[0].expires) {
		h.refill(fraction, h.lent[0].expires)
		h.lent = h.lent[1:]
	}
	h.refill(fraction, now)
	h.withheld = min(h.withheld, max(0, (h.grant.Fraction-h.fractionLimit)*h.burst))
	if !now.Before(h.leaseUntil) {
		h.withheld = 0
	}
	h.expireBorrowed(now)
}

func (h *Holding) refill(fraction float64, now time.Time) {
	if elapsed := now.Sub(h.updated); elapsed > 0 {
		h.tokens += fraction * h.rate * (1 - MaxClockDrift) * elapsed.Seconds()
		h.updated = now
	}
	free := fraction * h.burst
	if !h.disabled.ignoreOutstanding {
		free -= h.Outstanding()
	}
	h.tokens = max(0, min(h.tokens, free))
}

// Take removes one token, borrowed ones first, and reports whether there was one.
func (h *Holding) Take(now time.Time) bool {
	h.advance(now)
	if h.tokens+h.borrowedTokens() < 1-tolerance {
		return false
	}
	h.tokens = max(0, h.tokens-h.spendBorrowed(1))
	return true
}

// tolerance absorbs rounding errors in sums of fractional tokens.
const tolerance = 1e-9

// Available returns the own and borrowed tokens that requests can take now.
func (h *Holding) Available(now time.Time) float64 {
	h.advance(now)
	return h.tokens + h.borrowedTokens()
}

// OwnTokens returns the tokens that this host can lend now.
func (h *Holding) OwnTokens(now time.Time) float64 {
	h.advance(now)
	return h.tokens
}

// RefillRate returns the current refill rate in tokens per second.
func (h *Holding) RefillRate(now time.Time) float64 { return h.UsableFraction(now) * h.rate }

// Lend starts a transfer of up to amount tokens. It keeps the given number of own
// tokens, but lends at least minimum while it has them. Borrowed tokens are not
// lent on.
func (h *Holding) Lend(amount, minimum, keep float64, now time.Time) (id uint64, lent float64) {
	h.advance(now)
	lent = max(h.tokens-keep, min(minimum, h.tokens))
	lent = min(lent, amount)
	if lent <= tolerance || len(h.lent) >= maxOutstandingTransfers {
		return 0, 0
	}
	h.tokens -= lent
	h.lastID++
	h.lent = append(h.lent, lentTransfer{id: h.lastID, amount: lent, expires: now.Add(TransferHoldTime)})
	return h.lastID, lent
}

// Settle ends a transfer and takes back its unused tokens. An unknown or expired
// transfer is ignored.
func (h *Holding) Settle(s Settlement, now time.Time) {
	h.advance(now)
	for i, t := range h.lent {
		if t.id != s.Transfer {
			continue
		}
		h.lent = append(h.lent[:i], h.lent[i+1:]...)
		h.tokens += max(0, min(s.Returned, t.amount))
		h.advance(now)
		return
	}
}
