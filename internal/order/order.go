// Package order models orders to upstreams. An order tells an upstream to load a
// model, an adapter or a version, or to change its role.
//
// Contract: at most one host at a time sends orders to an upstream, and no old
// order takes effect after a newer one. An upstream that checks fencing tokens
// rejects old orders itself. For other upstreams, a new order waits until an
// earlier order can no longer arrive. The package performs no I/O.
package order

import (
	"time"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/membership"
)

const (
	// SendLifetime is the time after which the network stack drops a connection
	// with unacknowledged bytes of an order.
	SendLifetime = 3 * time.Second
	// LateOrderTime bounds the time for which an order can still arrive after its
	// sender stopped or timed out. It includes a margin over SendLifetime.
	LateOrderTime = 2 * SendLifetime
)

// Desired is the state of an upstream as requested by operators.
type Desired struct {
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Validate returns an error when the desired state is empty.
func (d Desired) Validate() error {
	if d == (Desired{}) {
		return apierr.New(apierr.Invalid, "the order asks for nothing", "give a model, an adapter, a version or a role")
	}
	return nil
}

// Sending records an order that may have been sent and has no known outcome.
type Sending struct {
	Owner       membership.Owner `json:"owner"`
	Incarnation string           `json:"incarnation"`  // of the owner's process
	PeerAddress string           `json:"peer_address"` // of the owner, to probe whether it still runs
	Fencing     int64            `json:"fencing"`
}

// Order is the stored order state of one upstream.
type Order struct {
	Service    string           `json:"service"`
	Upstream   string           `json:"upstream"`
	Desired    Desired          `json:"desired"`
	Generation int64            `json:"generation"` // increases with each change by operators
	Applied    int64            `json:"applied"`    // last generation that the upstream confirmed
	Fencing    int64            `json:"fencing"`    // fencing token; increases with each order sent
	Owner      membership.Owner `json:"owner"`      // the host that sends orders
	Sending    *Sending         `json:"sending,omitempty"`
	Rejected   int64            `json:"rejected,omitempty"` // last generation that the upstream rejected
	Failure    string           `json:"failure,omitempty"`  // reason for the rejection
}

// Settled reports whether the upstream has applied or rejected the current
// generation.
func (o Order) Settled() bool { return o.Applied == o.Generation || o.Rejected == o.Generation }

// Change returns the order with a new desired state and the next generation.
func (o Order) Change(d Desired) Order {
	o.Desired = d
	o.Generation++
	o.Failure = ""
	return o
}

// Claim returns the order with the given owner. It reports false while the lease of
// another owner has not lapsed.
func (o Order) Claim(owner membership.Owner, lapsed func(membership.Owner) bool) (Order, bool) {
	if o.Owner == owner {
		return o, true
	}
	if o.Owner != (membership.Owner{}) && !lapsed(o.Owner) {
		return o, false
	}
	o.Owner = owner
	return o, true
}

// MarkSending returns the order with a new fencing token and a Sending record. The
// caller stores the result before the first byte is sent, so that a new owner knows
// which order can still arrive.
func (o Order) MarkSending(sender membership.Host) Order {
	o.Fencing++
	o.Sending = &Sending{
		Owner: o.Owner, Incarnation: sender.Incarnation, PeerAddress: sender.PeerAddress, Fencing: o.Fencing,
	}
	return o
}

// MarkApplied returns the order after the upstream applied the current generation.
func (o Order) MarkApplied() Order {
	o.Sending = nil
	o.Failure = ""
	o.Applied = o.Generation
	return o
}

// MarkRejected returns the order after the upstream rejected the current generation
// permanently.
func (o Order) MarkRejected(reason string) Order {
	o.Sending = nil
	o.Failure = reason
	o.Rejected = o.Generation
	return o
}

// MarkOutdated returns the order after the upstream reported a newer fencing token.
// The next attempt carries a higher token.
func (o Order) MarkOutdated() Order {
	o.Sending = nil
	return o
}
