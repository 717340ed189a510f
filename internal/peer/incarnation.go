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

const endedTimeout = 2 * time.Second // allows for a busy peer in another data centre

// OwnerStopped implements orderer.Prober.
func (c *Client) OwnerStopped(ctx context.Context, s order.Sending) bool {
	return c.Ended(ctx, s.PeerAddress, s.Incarnation)
}

// Ended implements ratelimit.PeerClient. It reports that a process has ended if its
// address refuses connections or responds as another incarnation. An unresponsive
// address proves nothing, since the process may be suspended. Neither does a higher
// epoch, since the same process can have one after a suspension.
func (c *Client) Ended(ctx context.Context, address, incarnation string) bool {
	ctx, cancel := context.WithTimeout(ctx, endedTimeout)
	defer cancel()
	client := peerv1connect.NewHostServiceClient(c.http, c.scheme+"://"+address, withMaxMessageBytes)
	resp, err := client.Status(ctx, connect.NewRequest(&peerv1.StatusRequest{}))
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return resp.Msg.Incarnation != incarnation
}
