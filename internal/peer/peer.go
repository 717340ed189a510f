// Package peer implements the Connect RPCs between hosts.
//
// The exchanged state is soft: its loss costs efficiency but breaks no guarantee.
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
	pingAfter   = 2 * time.Second // time without a frame after which a connection is checked by a ping
)

// Registration is one RPC service that this host offers to its peers.
type Registration struct {
	Path    string
	Handler http.Handler
}

// NewHandler returns an HTTP handler for all peer services.
func NewHandler(services ...Registration) http.Handler {
	mux := http.NewServeMux()
	for _, s := range services {
		mux.Handle(s.Path, s.Handler)
	}
	return mux
}

// Server serves this host's status to peers.
type Server struct {
	catalog *catalog.Catalog
	members membership.View
}

// NewServer returns a Server.
func NewServer(c *catalog.Catalog, m membership.View) *Server {
	return &Server{catalog: c, members: m}
}

// Registration returns the service for NewHandler.
func (s *Server) Registration() Registration {
	path, handler := peerv1connect.NewHostServiceHandler(s, withMaxMessageBytes)
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

// maxMessageBytes limits a message of a peer. The longest are catalogs, with 1.3 KB a
// team of three keys.
const maxMessageBytes = 64 << 20

var withMaxMessageBytes = link.WithMaxMessageBytes(maxMessageBytes)

// Client calls the RPC services of peers.
type Client struct {
	http   *http.Client
	scheme string
}

// NewClient returns a Client that uses HTTP/2 without TLS.
func NewClient(dial telemetry.DialFunc) *Client {
	return &Client{http: &http.Client{Transport: newTransport(dial)}, scheme: "http"}
}

// NewTLSClient returns a Client that uses mutual TLS.
func NewTLSClient(dial telemetry.DialFunc, files *certs.Reloader) *Client {
	transport := newTransport(dial)
	transport.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialTLS(ctx, dial, files, network, address)
	}
	return &Client{http: &http.Client{Transport: transport}, scheme: "https"}
}

func dialTLS(ctx context.Context, dial telemetry.DialFunc, files *certs.Reloader, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	raw, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := tls.Client(raw, files.ClientConfig(host))
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}

func newTransport(dial telemetry.DialFunc) *http.Transport {
	return &http.Transport{
		DialContext: dial,
		Protocols:   link.Protocols(),

		MaxResponseHeaderBytes: link.MaxHeadBytes,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: callTimeout},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Status implements admin.StatusReader.
func (c *Client) Status(ctx context.Context, host membership.Host) (admin.HostStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := peerv1connect.NewHostServiceClient(c.http, c.scheme+"://"+host.PeerAddress, withMaxMessageBytes)
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
