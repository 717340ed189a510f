package peer

import (
	"context"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/order"
	peerv1 "github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1"
	"github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1/peerv1connect"
)

const endedTimeout = 2 * time.Second // between data centres, for a peer that is busy

// OwnerStopped implements orderer.Prober.
func (c *Client) OwnerStopped(ctx context.Context, s order.Sending) bool {
	return c.Ended(ctx, s.PeerAddress, s.Incarnation)
}

// Ended implements ratelimit.Exchange. A process has ended when its address
// refuses connections, or when another incarnation answers there. An address that
// is silent proves nothing, since the process may be paused, and neither does a
// higher epoch, which the same process can have after a pause.
func (c *Client) Ended(ctx context.Context, address, incarnation string) bool {
	ctx, cancel := context.WithTimeout(ctx, endedTimeout)
	defer cancel()
	client := peerv1connect.NewHostServiceClient(c.http, c.scheme+"://"+address)
	resp, err := client.Status(ctx, connect.NewRequest(&peerv1.StatusRequest{}))
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return resp.Msg.Incarnation != incarnation
}
