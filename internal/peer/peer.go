// Package peer is how hosts talk with each other, over connect.
//
// Contract: what peers tell each other is soft state. Losing it costs
// efficiency, never a promise.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/masticscale/masticscale/internal/admin"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/certs"
	"github.com/masticscale/masticscale/internal/membership"
	peerv1 "github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1"
	"github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1/peerv1connect"
	"github.com/masticscale/masticscale/internal/peer/link"
	"github.com/masticscale/masticscale/internal/telemetry"
)

const (
	callTimeout = time.Second
	pingAfter   = 2 * time.Second // silence on a connection before it is checked
)

// Registration is one service that this host offers to its peers. Each duty
// brings its own.
type Registration struct {
	Path    string
	Handler http.Handler
}

// NewHandler returns the HTTP surface of all peer services.
func NewHandler(services ...Registration) http.Handler {
	mux := http.NewServeMux()
	for _, s := range services {
		mux.Handle(s.Path, s.Handler)
	}
	return mux
}

// Server answers the calls of peers about this host's status.
type Server struct {
	catalog *catalog.Catalog
	members membership.View
}

// NewServer returns a server.
func NewServer(c *catalog.Catalog, m membership.View) *Server {
	return &Server{catalog: c, members: m}
}

// Registration returns the service for NewHandler.
func (s *Server) Registration() Registration {
	path, handler := peerv1connect.NewHostServiceHandler(s)
	return Registration{Path: path, Handler: handler}
}

// Status implements peerv1connect.HostServiceHandler.
func (s *Server) Status(context.Context, *connect.Request[peerv1.StatusRequest]) (*connect.Response[peerv1.StatusResponse], error) {
	self := s.members.Self()
	return connect.NewResponse(&peerv1.StatusResponse{
		Name:                self.Name,
		Incarnation:         self.Incarnation,
		State:               string(self.State),
		Revision:            s.catalog.Current().Revision,
		KnowledgeAgeSeconds: s.catalog.Age(time.Now()).Seconds(),
	}), nil
}

// Client calls peers.
type Client struct {
	http   *http.Client
	scheme string
}

// NewClient returns a client that speaks HTTP/2 without TLS.
func NewClient(dial telemetry.Dial) *Client {
	return &Client{http: &http.Client{Transport: newTransport(dial)}, scheme: "http"}
}

// NewTLSClient returns a client that shows a certificate and checks the peer's.
func NewTLSClient(dial telemetry.Dial, files *certs.Reloader) *Client {
	transport := newTransport(dial)
	transport.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialTLS(ctx, dial, files, network, address)
	}
	return &Client{http: &http.Client{Transport: transport}, scheme: "https"}
}

func dialTLS(ctx context.Context, dial telemetry.Dial, files *certs.Reloader, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	raw, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := tls.Client(raw, files.Client(host))
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}

func newTransport(dial telemetry.Dial) *http.Transport {
	return &http.Transport{
		DialContext: dial,
		Protocols:   link.Protocols(),
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: callTimeout},
	}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Status implements admin.StatusReader.
func (c *Client) Status(ctx context.Context, host membership.Host) (admin.HostStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := peerv1connect.NewHostServiceClient(c.http, c.scheme+"://"+host.PeerAddress)
	resp, err := client.Status(ctx, connect.NewRequest(&peerv1.StatusRequest{}))
	if err != nil {
		return admin.HostStatus{}, err
	}
	return admin.HostStatus{
		Host:                host,
		Reachable:           true,
		Revision:            resp.Msg.Revision,
		KnowledgeAgeSeconds: resp.Msg.KnowledgeAgeSeconds,
	}, nil
}
