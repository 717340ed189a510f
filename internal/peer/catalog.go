package peer

import (
	"context"
	"encoding/json"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/key"
	peerv1 "github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1"
	"github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1/peerv1connect"
)

// CatalogServer serves this host's catalog to peers.
type CatalogServer struct {
	gossip  *catalog.Gossip
	catalog *catalog.Catalog
}

// NewCatalogServer returns a CatalogServer.
func NewCatalogServer(g *catalog.Gossip, c *catalog.Catalog) *CatalogServer {
	return &CatalogServer{gossip: g, catalog: c}
}

// Registration returns the service for NewHandler.
func (s *CatalogServer) Registration() Registration {
	path, handler := peerv1connect.NewCatalogServiceHandler(s, withMaxMessageBytes)
	return Registration{Path: path, Handler: handler}
}

// CompareCatalogs implements peerv1connect.CatalogServiceHandler.
func (s *CatalogServer) CompareCatalogs(_ context.Context, r *connect.Request[peerv1.CompareCatalogsRequest]) (*connect.Response[peerv1.CompareCatalogsResponse], error) {
	digest := s.gossip.HandleDigest(digestFromProto(r.Msg.Digest))
	return connect.NewResponse(&peerv1.CompareCatalogsResponse{Digest: digestToProto(digest)}), nil
}

// FetchCatalog implements peerv1connect.CatalogServiceHandler.
func (s *CatalogServer) FetchCatalog(_ context.Context, r *connect.Request[peerv1.FetchCatalogRequest]) (*connect.Response[peerv1.FetchCatalogResponse], error) {
	state := s.catalog.Export(time.Now())
	if r.Msg.RevisionOnly {
		state = catalog.State{Revision: state.Revision}
	}
	text, err := json.Marshal(state)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, errors.Wrap(err, "encode catalog"))
	}
	return connect.NewResponse(&peerv1.FetchCatalogResponse{StateJson: text}), nil
}

// CompareCatalogs implements catalog.PeerClient.
func (c *Client) CompareCatalogs(ctx context.Context, address string, d catalog.Digest) (catalog.Digest, error) {
	resp, err := c.catalogService(address).CompareCatalogs(ctx, connect.NewRequest(&peerv1.CompareCatalogsRequest{Digest: digestToProto(d)}))
	if err != nil {
		return catalog.Digest{}, err
	}
	return digestFromProto(resp.Msg.Digest), nil
}

// FetchCatalog implements catalog.PeerClient.
func (c *Client) FetchCatalog(ctx context.Context, address string, revisionOnly bool) (catalog.State, error) {
	var state catalog.State
	resp, err := c.catalogService(address).FetchCatalog(ctx, connect.NewRequest(&peerv1.FetchCatalogRequest{RevisionOnly: revisionOnly}))
	if err != nil {
		return state, err
	}
	if err := json.Unmarshal(resp.Msg.StateJson, &state); err != nil {
		return state, errors.Wrap(err, "decode peer's catalog")
	}
	return state, nil
}

func (c *Client) catalogService(address string) peerv1connect.CatalogServiceClient {
	return peerv1connect.NewCatalogServiceClient(c.http, c.scheme+"://"+address, withMaxMessageBytes, connect.WithSendGzip())
}

func digestToProto(d catalog.Digest) *peerv1.CatalogDigest {
	out := &peerv1.CatalogDigest{
		From: d.From, Revision: d.Revision, Objects: d.Objects, Withdrawn: d.Withdrawn,
		CompleteVersion: d.Complete.Version, CompleteAgeSeconds: d.Complete.Age.Seconds(),
		HeardVersion: d.Heard.Version, HeardAgeSeconds: d.Heard.Age.Seconds(),
	}
	for _, w := range d.News {
		out.News = append(out.News, &peerv1.Withdrawal{KeyId: string(w.ID), WithdrawnUnixNano: w.At.UnixNano(), CutActive: w.CutActive})
	}
	return out
}

func digestFromProto(m *peerv1.CatalogDigest) catalog.Digest {
	d := catalog.Digest{
		From: m.GetFrom(), Revision: m.GetRevision(), Objects: m.GetObjects(), Withdrawn: m.GetWithdrawn(),
		Complete: catalog.CheckpointAge{Version: m.GetCompleteVersion(), Age: seconds(m.GetCompleteAgeSeconds())},
		Heard:    catalog.CheckpointAge{Version: m.GetHeardVersion(), Age: seconds(m.GetHeardAgeSeconds())},
	}
	for _, w := range m.GetNews() {
		d.News = append(d.News, catalog.Withdrawal{
			ID: key.ID(w.KeyId), At: time.Unix(0, w.WithdrawnUnixNano).UTC(), CutActive: w.CutActive,
		})
	}
	return d
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
