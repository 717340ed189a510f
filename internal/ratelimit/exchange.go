package ratelimit

import (
	"context"
	"time"

	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/team"
)

// BorrowRequest asks a home host of a team for tokens.
type BorrowRequest struct {
	Team        string
	Amount      float64 // tokens wanted; zero only settles
	Minimum     float64 // tokens that waiting requests need now
	Settlements []Settlement
}

// BorrowReply is what a home host gives.
type BorrowReply struct {
	Transfer uint64
	Amount   float64
	Left     float64 // tokens that the giver still has
	Rate     float64 // tokens a second that the giver refills
}

// PeerClient asks peers for tokens. It may lose questions and answers.
type PeerClient interface {
	Borrow(ctx context.Context, address string, r BorrowRequest) (BorrowReply, error)
	// Ended reports whether a process has ended for certain. One that does not
	// answer may be paused or cut off.
	Ended(ctx context.Context, address, incarnation string) bool
}

// PeerAddresses returns the addresses of up to n hosts that are known without the
// platform, such as those of the settings.
type PeerAddresses func(n int) []string

// Membership is what the limiter needs to know of the membership.
type Membership interface {
	Self() membership.Host
	// Lease returns the epoch of this host's lease and when trust in it ends.
	Lease() (epoch int64, until time.Time)
	// Lapsed reports whether a lease seems to have lapsed.
	Lapsed(membership.Owner) bool
	// Confirm reports whether a lease has lapsed for certain.
	Confirm(context.Context, membership.Owner) (membership.Lapse, error)
}

// SpecLookup returns the rate and burst in force for a team.
type SpecLookup func(name string) (team.Spec, bool)
