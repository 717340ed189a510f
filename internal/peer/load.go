package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/membership"
	peerv1 "github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1"
	"github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1/peerv1connect"
	"github.com/masticscale/masticscale/internal/upstream"
)

const maxArrivals = 1024 // online requests that one entry of an Arrive call may report

// LoadServer receives the load, arrivals and suspicions that peers report.
type LoadServer struct {
	gossip   *dispatch.Gossip
	pool     *dispatch.Pool
	suspects *dispatch.Suspects
}

// NewLoadServer returns a LoadServer.
func NewLoadServer(g *dispatch.Gossip, p *dispatch.Pool, s *dispatch.Suspects) *LoadServer {
	return &LoadServer{gossip: g, pool: p, suspects: s}
}

// Registration returns the service for NewHandler.
func (s *LoadServer) Registration() Registration {
	path, handler := peerv1connect.NewLoadServiceHandler(s, withMaxMessageBytes)
	return Registration{Path: path, Handler: handler}
}

// Exchange implements peerv1connect.LoadServiceHandler.
func (s *LoadServer) Exchange(_ context.Context, r *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	now := time.Now()
	s.gossip.Merge(rowsFromProto(r.Msg.Rows, now))
	return connect.NewResponse(&peerv1.ExchangeResponse{Rows: rowsToProto(s.gossip.Rows(), now)}), nil
}

// Arrive implements peerv1connect.LoadServiceHandler.
func (s *LoadServer) Arrive(_ context.Context, r *connect.Request[peerv1.ArriveRequest]) (*connect.Response[peerv1.ArriveResponse], error) {
	for _, a := range r.Msg.Arrivals {
		s.pool.RecordArrivals(r.Msg.Host, upstream.ID{Service: a.Service, Name: a.Name}, int(max(min(a.Change, maxArrivals), -maxArrivals)))
	}
	return connect.NewResponse(&peerv1.ArriveResponse{}), nil
}

// TellSuspicions implements peerv1connect.LoadServiceHandler.
func (s *LoadServer) TellSuspicions(_ context.Context, r *connect.Request[peerv1.TellSuspicionsRequest]) (*connect.Response[peerv1.TellSuspicionsResponse], error) {
	for _, x := range r.Msg.Suspicions {
		if len(x.Fingerprint) != len(dispatch.Fingerprint{}) {
			continue
		}
		level := dispatch.Suspected
		if x.Quarantined {
			level = dispatch.Quarantined
		}
		s.suspects.Merge(dispatch.Suspicion{Fingerprint: dispatch.Fingerprint(x.Fingerprint), Level: level, Since: time.Now()})
	}
	return connect.NewResponse(&peerv1.TellSuspicionsResponse{}), nil
}

func (c *Client) loadService(host membership.Host) peerv1connect.LoadServiceClient {
	return peerv1connect.NewLoadServiceClient(c.http, c.scheme+"://"+host.PeerAddress, withMaxMessageBytes)
}

// Exchange implements dispatch.Peers.
func (c *Client) Exchange(ctx context.Context, host membership.Host, rows []dispatch.LoadRow) ([]dispatch.LoadRow, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.loadService(host).Exchange(ctx, connect.NewRequest(&peerv1.ExchangeRequest{Rows: rowsToProto(rows, time.Now())}))
	if err != nil {
		return nil, err
	}
	return rowsFromProto(resp.Msg.Rows, time.Now()), nil
}

// Arrive implements dispatch.Peers.
func (c *Client) Arrive(ctx context.Context, host membership.Host, from string, arrivals []dispatch.Arrival) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	msg := &peerv1.ArriveRequest{Host: from}
	for _, a := range arrivals {
		msg.Arrivals = append(msg.Arrivals, &peerv1.Arrival{Service: a.ID.Service, Name: a.ID.Name, Change: int32(a.Change)})
	}
	_, err := c.loadService(host).Arrive(ctx, connect.NewRequest(msg))
	return err
}

// TellSuspicions implements dispatch.Peers.
func (c *Client) TellSuspicions(ctx context.Context, host membership.Host, suspicions []dispatch.Suspicion) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	msg := &peerv1.TellSuspicionsRequest{}
	for _, s := range suspicions {
		msg.Suspicions = append(msg.Suspicions, &peerv1.Suspicion{Fingerprint: s.Fingerprint[:], Quarantined: s.Level == dispatch.Quarantined})
	}
	_, err := c.loadService(host).TellSuspicions(ctx, connect.NewRequest(msg))
	return err
}

// toAge returns the age of a time in milliseconds. Messages carry ages instead of
// times because the clocks of hosts differ.
func toAge(at, now time.Time) uint32 { return uint32(max(now.Sub(at), 0).Milliseconds()) }

func fromAge(age uint32, now time.Time) time.Time {
	return now.Add(-time.Duration(age) * time.Millisecond)
}

func rowsToProto(rows []dispatch.LoadRow, now time.Time) []*peerv1.LoadRow {
	var out []*peerv1.LoadRow
	for _, r := range rows {
		row := &peerv1.LoadRow{Host: r.Host, Epoch: r.Epoch, Sequence: r.Sequence, AgeMilliseconds: toAge(r.At, now), BatchServices: r.BatchServices}
		for _, u := range r.Upstreams {
			row.Upstreams = append(row.Upstreams, upstreamToProto(u, now))
		}
		out = append(out, row)
	}
	return out
}

func upstreamToProto(u dispatch.UpstreamLoad, now time.Time) *peerv1.UpstreamLoad {
	out := &peerv1.UpstreamLoad{
		Service: u.ID.Service, Name: u.ID.Name, Online: uint32(u.Online), Batch: uint32(u.Batch), Leaving: u.Leaving,
	}
	if u.Report != nil {
		out.Reported = true
		out.Running, out.Waiting = uint32(u.Report.Running), uint32(u.Report.Waiting)
		out.ReportAgeMilliseconds = toAge(u.ReportedAt, now)
	}
	return out
}

func rowsFromProto(rows []*peerv1.LoadRow, now time.Time) []dispatch.LoadRow {
	var out []dispatch.LoadRow
	for _, r := range rows {
		row := dispatch.LoadRow{Host: r.Host, Epoch: r.Epoch, Sequence: r.Sequence, At: fromAge(r.AgeMilliseconds, now), BatchServices: r.BatchServices}
		for _, u := range r.Upstreams {
			row.Upstreams = append(row.Upstreams, upstreamFromProto(u, now))
		}
		out = append(out, row)
	}
	return out
}

func upstreamFromProto(u *peerv1.UpstreamLoad, now time.Time) dispatch.UpstreamLoad {
	out := dispatch.UpstreamLoad{
		ID: upstream.ID{Service: u.Service, Name: u.Name}, Online: int(u.Online), Batch: int(u.Batch), Leaving: u.Leaving,
	}
	if u.Reported {
		out.Report = &upstream.Load{Running: int(u.Running), Waiting: int(u.Waiting)}
		out.ReportedAt = fromAge(u.ReportAgeMilliseconds, now)
	}
	return out
}
