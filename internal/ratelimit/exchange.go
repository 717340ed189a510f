package ratelimit

import (
	"context"
	"time"

	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/team"
)

// BorrowRequest asks a holder of a team's share for tokens.
type BorrowRequest struct {
	Team        string
	Amount      float64 // tokens wanted; 0 only settles earlier transfers
	Minimum     float64 // part of Amount that waiting requests need now, in tokens
	Settlements []Settlement
}

// BorrowReply is a lender's reply to a BorrowRequest.
type BorrowReply struct {
	Transfer uint64  // id of the transfer at the lender
	Amount   float64 // tokens lent
	Left     float64 // tokens left at the lender
	Rate     float64 // refill rate of the lender, in tokens per second
}

// PeerClient sends requests to peers. Requests and replies may be lost.
type PeerClient interface {
	Borrow(ctx context.Context, address string, r BorrowRequest) (BorrowReply, error)
	// Ended reports whether a process has certainly ended. An unresponsive process
	// does not count: it may be suspended or partitioned.
	Ended(ctx context.Context, address, incarnation string) bool
}

// PeerAddresses returns the addresses of up to n hosts that are known while the
// platform is unreachable, such as those in the settings.
type PeerAddresses func(n int) []string

// Membership provides this host's lease and the state of other hosts' leases.
type Membership interface {
	Self() membership.Host
	// Lease returns the epoch of this host's lease and the time until which the host
	// may rely on it.
	Lease() (epoch int64, until time.Time)
	// Lapsed reports whether a lease seems to have lapsed, from local state alone.
	Lapsed(membership.Owner) bool
	// Confirm determines whether a lease has certainly lapsed.
	Confirm(context.Context, membership.Owner) (membership.Lapse, error)
}

// SpecLookup returns the rate and burst in force for a team.
type SpecLookup func(name string) (team.Spec, bool)
