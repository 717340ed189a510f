// Package order is the aggregate of an order to an upstream: load a model, an
// adapter or a version, or change role.
//
// Contract: one host at a time gives orders to an upstream, and no old order
// takes effect after a newer one. An upstream that checks fencing numbers
// refuses old orders itself. For one that does not, a new order waits until an
// earlier one cannot arrive any more. The package does no I/O.
package order

import (
	"time"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/membership"
)

const (
	// SendLifetime is how long the network holds unacknowledged bytes of an order
	// before it drops the connection.
	SendLifetime = 3 * time.Second
	// LateOrderTime is how long an order can still arrive whose sender is gone or
	// has given up. It leaves a margin over SendLifetime.
	LateOrderTime = 2 * SendLifetime
)

// Desired is the state that operators want an upstream to have.
type Desired struct {
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Validate returns an error when the order asks for nothing.
func (d Desired) Validate() error {
	if d == (Desired{}) {
		return apierr.New(apierr.Invalid, "the order asks for nothing", "give a model, an adapter, a version or a role")
	}
	return nil
}

// Sending is an order that was about to be sent, and of which no end is known.
type Sending struct {
	Owner       membership.Owner `json:"owner"`
	Incarnation string           `json:"incarnation"`  // the owner's process
	PeerAddress string           `json:"peer_address"` // of the owner, to learn whether it is gone
	Fencing     int64            `json:"fencing"`
}

// Order is the stored state of one upstream's orders.
type Order struct {
	Service    string           `json:"service"`
	Upstream   string           `json:"upstream"`
	Desired    Desired          `json:"desired"`
	Generation int64            `json:"generation"` // rises with each change by operators
	Applied    int64            `json:"applied"`    // generation that the upstream has confirmed
	Fencing    int64            `json:"fencing"`    // rises with each order sent
	Owner      membership.Owner `json:"owner"`      // the host that gives orders
	Sending    *Sending         `json:"sending,omitempty"`
	Rejected   int64            `json:"rejected,omitempty"` // generation that the upstream will not carry out
	Failure    string           `json:"failure,omitempty"`  // why it will not
}

// Settled reports whether the upstream has carried out or refused what operators
// want.
func (o Order) Settled() bool { return o.Applied == o.Generation || o.Rejected == o.Generation }

// Change returns the order with another desired state.
func (o Order) Change(d Desired) Order {
	o.Desired = d
	o.Generation++
	o.Failure = ""
	return o
}

// Claim returns the order as owned by a host. It reports false when another
// owner's lease has not lapsed.
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

// MarkSending returns the order as about to be sent. It is stored before the first
// byte goes out, so that a successor knows what can still arrive.
func (o Order) MarkSending(sender membership.Host) Order {
	o.Fencing++
	o.Sending = &Sending{
		Owner: o.Owner, Incarnation: sender.Incarnation, PeerAddress: sender.PeerAddress, Fencing: o.Fencing,
	}
	return o
}

// MarkApplied returns the order after its upstream carried it out.
func (o Order) MarkApplied() Order {
	o.Sending = nil
	o.Failure = ""
	o.Applied = o.Generation
	return o
}

// MarkRejected returns the order after its upstream refused it for good.
func (o Order) MarkRejected(why string) Order {
	o.Sending = nil
	o.Failure = why
	o.Rejected = o.Generation
	return o
}

// MarkOutdated returns the order after its upstream answered that it has seen a
// newer one; the next attempt carries a higher number.
func (o Order) MarkOutdated() Order {
	o.Sending = nil
	return o
}
