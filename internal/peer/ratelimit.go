package peer

import (
	"context"

	"connectrpc.com/connect"

	peerv1 "github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1"
	"github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1/peerv1connect"
	"github.com/masticscale/masticscale/internal/ratelimit"
)

// Lender lends rate limit tokens to peers.
type Lender interface {
	Lend(context.Context, ratelimit.BorrowRequest) ratelimit.BorrowReply
}

// RateLimitServer serves the requests of peers that borrow rate limit tokens.
type RateLimitServer struct{ lender Lender }

// NewRateLimitServer returns a RateLimitServer.
func NewRateLimitServer(l Lender) *RateLimitServer { return &RateLimitServer{lender: l} }

// Registration returns the service for NewHandler.
func (s *RateLimitServer) Registration() Registration {
	path, handler := peerv1connect.NewRateLimitServiceHandler(s, withMaxMessageBytes)
	return Registration{Path: path, Handler: handler}
}

// Borrow implements peerv1connect.RateLimitServiceHandler.
func (s *RateLimitServer) Borrow(ctx context.Context, r *connect.Request[peerv1.BorrowRequest]) (*connect.Response[peerv1.BorrowResponse], error) {
	m := r.Msg
	request := ratelimit.BorrowRequest{Team: m.Team, Amount: m.Amount, Minimum: m.Minimum}
	for _, settlement := range m.Settlements {
		request.Settlements = append(request.Settlements, ratelimit.Settlement{Transfer: settlement.Transfer, Returned: settlement.Returned})
	}
	reply := s.lender.Lend(ctx, request)
	return connect.NewResponse(&peerv1.BorrowResponse{
		Transfer: reply.Transfer, Amount: reply.Amount, Left: reply.Left, Rate: reply.Rate,
	}), nil
}

// Borrow implements ratelimit.PeerClient.
func (c *Client) Borrow(ctx context.Context, address string, r ratelimit.BorrowRequest) (ratelimit.BorrowReply, error) {
	m := &peerv1.BorrowRequest{Team: r.Team, Amount: r.Amount, Minimum: r.Minimum}
	for _, s := range r.Settlements {
		m.Settlements = append(m.Settlements, &peerv1.Settlement{Transfer: s.Transfer, Returned: s.Returned})
	}
	client := peerv1connect.NewRateLimitServiceClient(c.http, c.scheme+"://"+address, withMaxMessageBytes)
	resp, err := client.Borrow(ctx, connect.NewRequest(m))
	if err != nil {
		return ratelimit.BorrowReply{}, err
	}
	return ratelimit.BorrowReply{
		Transfer: resp.Msg.Transfer, Amount: resp.Msg.Amount, Left: resp.Msg.Left, Rate: resp.Msg.Rate,
	}, nil
}
