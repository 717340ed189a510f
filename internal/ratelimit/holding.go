package ratelimit

import "time"

// Timing of transfers and shares.
const (
	// BorrowedTokenTTL is how long a receiver may use borrowed tokens, counted on its
	// own clock from before it asked.
	BorrowedTokenTTL = 2 * time.Second
	// TransferHoldTime is how long a giver keeps capacity occupied for tokens that
	// it gave. It is longer than BorrowedTokenTTL by more than clocks can drift.
	TransferHoldTime = 2500 * time.Millisecond
	// ReservedGracePeriod is how long a host uses its reserved part after its lease has
	// lapsed.
	ReservedGracePeriod = 2 * time.Hour
	// ReservedFraction is the part of a host's share that stays usable without a
	// lease.
	ReservedFraction = 0.9
	// MaxClockDrift bounds how much faster than true time a monotonic clock runs.
	// Hosts refill slower by as much.
	MaxClockDrift = 500e-6

	maxTransfers = 256 // outstanding transfers of one team on one host
)

// Lease is the host lease as a holding needs it.
type Lease struct {
	Epoch int64
	Until time.Time // on this host's monotonic clock
}

// Grant is the part of a team's rate and burst that the team's share object
// gives to this host.
type Grant struct {
	Fraction float64 // of rate and burst
	Reserved float64 // part of Fraction that is usable without a lease
	Epoch    int64   // epoch of the lease under which the rest is usable
}

// transfer is tokens that were given to a peer.
type transfer struct {
	id      uint64
	amount  float64
	expires time.Time
}

// Holding is what one host holds of one team's rate and burst. It does no I/O
// and has no lock; time is an argument, so that it runs the same under virtual
// time.
//
// Invariant: own tokens, tokens set aside and outstanding transfers together
// never exceed the capacity that the grant allows.
type Holding struct {
	rate, burst float64
	grant       Grant
	limit       float64 // fraction that a pending shrink leaves in use
	leaseUntil  time.Time
	tokens      float64
	aside       float64 // tokens taken out of use by a pending shrink
	updated     time.Time
	lent        []transfer
	lastID      uint64
	borrowed    []lot
	asks        []ask
	variant     variant
}

// variant switches one safeguard off, so that tests can show that their check
// notices. The zero value is the product's.
type variant struct {
	freeTransfers    bool // transfers do not occupy the giver's capacity
	usableWhenLapsed bool // the leased part stays in use after the lease
	uncheckedShrink  bool // a shrink is confirmed while transfers are outstanding
	endlessBorrowing bool // borrowed tokens have no deadline
	repeatedReplies  bool // a reply that comes twice is used twice
}

// NewHolding returns a holding of nothing. Transfer ids follow firstID, which
// must differ between incarnations.
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

// RenewLease takes note of the host lease. A lease of another epoch than the grant's
// is of no use to it.
func (h *Holding) RenewLease(l Lease) {
	if l.Epoch == h.grant.Epoch && l.Until.After(h.leaseUntil) {
		h.leaseUntil = l.Until
	}
}

// SetGrant replaces the grant by one that is known to stand in the share
// object, and begins to shrink to the target where that is lower.
func (h *Holding) SetGrant(g Grant, target float64, l Lease, now time.Time) {
	h.advance(now)
	if g.Epoch != h.grant.Epoch {
		h.leaseUntil = time.Time{}
	}
	h.grant = g
	h.RenewLease(l)
	h.LimitFraction(target, now)
}

// LimitFraction bounds the fraction in use. Tokens above a lower limit are set aside
// until the shrink is confirmed.
func (h *Holding) LimitFraction(fraction float64, now time.Time) {
	h.advance(now)
	fraction = min(fraction, h.grant.Fraction)
	if fraction > h.limit {
		h.tokens += h.aside
		h.aside = 0
	}
	h.limit = fraction
	before := h.tokens
	h.advance(now)
	h.aside += before - h.tokens
	h.advance(now)
}

// Withheld returns the tokens that a pending shrink has taken out of use.
func (h *Holding) Withheld(now time.Time) float64 {
	h.advance(now)
	return h.aside
}

// LowerGrant lowers the grant for good where the new parts are smaller, before the
// write that gives the rest away is sent.
func (h *Holding) LowerGrant(fraction, reserved float64, now time.Time) {
	h.advance(now)
	h.grant.Reserved = min(h.grant.Reserved, reserved)
	if fraction >= h.grant.Fraction {
		return
	}
	h.LimitFraction(min(h.limit, fraction), now)
	h.grant.Fraction = fraction
	h.aside = 0
}

// AddTokens adds tokens that came from the share's pool.
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
	case h.variant.usableWhenLapsed || now.Before(h.leaseUntil):
		return min(h.grant.Fraction, h.limit)
	case now.Before(h.leaseUntil.Add(ReservedGracePeriod)):
		return min(h.grant.Reserved, h.limit)
	default:
		return 0
	}
}

// Outstanding returns the tokens given to peers that occupied capacity at the
// last call with a time.
func (h *Holding) Outstanding() float64 {
	sum := 0.0
	for _, t := range h.lent {
		sum += t.amount
	}
	return sum
}

// advance refills up to now and enforces the capacity. A fraction that fell
// since the last call counts for the whole time, which can only give less. A
// transfer occupies capacity until the moment at which it expired, so that the
// refill of a full holding is not kept for later.
func (h *Holding) advance(now time.Time) {
	fraction := h.UsableFraction(now)
	for len(h.lent) > 0 && !now.Before(h.lent[0].expires) {
		h.refill(fraction, h.lent[0].expires)
		h.lent = h.lent[1:]
	}
	h.refill(fraction, now)
	h.aside = min(h.aside, max(0, (h.grant.Fraction-h.limit)*h.burst))
	if !now.Before(h.leaseUntil) {
		h.aside = 0
	}
	h.expireLots(now)
}

func (h *Holding) refill(fraction float64, now time.Time) {
	if elapsed := now.Sub(h.updated); elapsed > 0 {
		h.tokens += fraction * h.rate * (1 - MaxClockDrift) * elapsed.Seconds()
		h.updated = now
	}
	free := fraction * h.burst
	if !h.variant.freeTransfers {
		free -= h.Outstanding()
	}
	h.tokens = max(0, min(h.tokens, free))
}

// Take takes one token: borrowed ones first, own ones after.
func (h *Holding) Take(now time.Time) bool {
	h.advance(now)
	if h.tokens+h.borrowedTokens() < 1-tolerance {
		return false
	}
	h.tokens = max(0, h.tokens-h.spendBorrowed(1))
	return true
}

// tolerance absorbs rounding in sums of fractions of a token.
const tolerance = 1e-9

// Available returns the tokens that a request could take now.
func (h *Holding) Available(now time.Time) float64 {
	h.advance(now)
	return h.tokens + h.borrowedTokens()
}

// OwnTokens returns the tokens that this host could lend now.
func (h *Holding) OwnTokens(now time.Time) float64 {
	h.advance(now)
	return h.tokens
}

// RefillRate returns the tokens a second that this host refills now.
func (h *Holding) RefillRate(now time.Time) float64 { return h.UsableFraction(now) * h.rate }

// Lend gives up to amount tokens and keeps keep of its own, but gives at least
// minimum where it can. Borrowed tokens are not lent again.
func (h *Holding) Lend(amount, minimum, keep float64, now time.Time) (id uint64, given float64) {
	h.advance(now)
	given = max(h.tokens-keep, min(minimum, h.tokens))
	given = min(given, amount)
	if given <= tolerance || len(h.lent) >= maxTransfers {
		return 0, 0
	}
	h.tokens -= given
	h.lastID++
	h.lent = append(h.lent, transfer{id: h.lastID, amount: given, expires: now.Add(TransferHoldTime)})
	return h.lastID, given
}

// Settle ends a transfer and takes back what was not used. One that is unknown
// or has expired changes nothing.
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
