package mesh

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	peerv1 "github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1"
	"github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1/peerv1connect"
	"github.com/masticscale/masticscale/internal/peer/link"
)

const (
	heartbeat       = 200 * time.Millisecond // between states when nothing changes; peers count as silent after a few
	coalesce        = 5 * time.Millisecond   // in which changes are gathered into one state
	dialTimeout     = 500 * time.Millisecond // hosts are milliseconds apart
	pingAfter       = 700 * time.Millisecond // silence on a connection before it is checked
	pingTimeout     = 700 * time.Millisecond
	sendTimeout     = time.Second // a state that takes longer goes out on a new connection
	redialWait      = 100 * time.Millisecond
	redialWaitMax   = time.Second
	callTimeout     = 700 * time.Millisecond // of calls that answer from memory
	knowledgeExpiry = 2 * time.Second        // of a call that carries the whole configuration
)

// Peer serves the calls of peers.
type Peer interface {
	// State returns what to tell peers.
	State() State
	// Absorb takes a peer's state.
	Absorb(State)
}

// Mesh connects this host with its peers.
type Mesh struct {
	self    string // address
	local   Peer
	jobs    Jobs
	share   Knowledge
	http    *http.Client
	log     logrus.FieldLogger
	ctx     context.Context
	mu      sync.Mutex
	senders map[string]*sender // by address
	wg      sync.WaitGroup
}

// sender sends this host's state to one address.
type sender struct {
	address string
	changed chan struct{}
	stop    context.CancelFunc
}

// New returns a mesh of a host that peers reach at the address. It works until
// ctx ends.
func New(ctx context.Context, address string, local Peer, jobs Jobs, share Knowledge, log logrus.FieldLogger) *Mesh {
	dialer := net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext,
		Protocols:   link.Protocols(),
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	return &Mesh{
		self: address, local: local, jobs: jobs, share: share, log: log, ctx: ctx,
		http:    &http.Client{Transport: transport},
		senders: map[string]*sender{},
	}
}

// Join makes this host tell its state to the addresses, and only to these.
func (m *Mesh) Join(addresses map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address := range addresses {
		if address == m.self || address == "" || m.senders[address] != nil || m.ctx.Err() != nil {
			continue
		}
		ctx, cancel := context.WithCancel(m.ctx)
		s := &sender{address: address, changed: make(chan struct{}, 1), stop: cancel}
		m.senders[address] = s
		m.wg.Go(func() { m.run(ctx, s) })
	}
	for address, s := range m.senders {
		if !addresses[address] {
			s.stop()
			delete(m.senders, address)
		}
	}
}

// Changed makes the state go out soon.
func (m *Mesh) Changed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.senders {
		select {
		case s.changed <- struct{}{}:
		default: // a change is noted already
		}
	}
}

// Wait returns when all senders have ended.
func (m *Mesh) Wait() {
	m.wg.Wait()
	m.http.CloseIdleConnections()
}

func (m *Mesh) client(address string) peerv1connect.FleetServiceClient {
	return peerv1connect.NewFleetServiceClient(m.http, "http://"+address)
}

// run keeps a stream of states open and opens another when it ends.
func (m *Mesh) run(ctx context.Context, s *sender) {
	wait := redialWait
	for ctx.Err() == nil {
		started := time.Now()
		err := m.stream(ctx, s)
		if ctx.Err() != nil {
			return
		}
		m.log.WithFields(logrus.Fields{"event": "peer_lost", "address": s.address, "after": time.Since(started).Round(time.Millisecond), "error": err}).
			Info("the stream of states to a peer ended; it is opened again")
		if time.Since(started) > redialWaitMax {
			wait = redialWait
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, redialWaitMax)
	}
}

func (m *Mesh) stream(ctx context.Context, s *sender) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream := m.client(s.address).ShareState(ctx)
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		guard := time.AfterFunc(sendTimeout, cancel)
		err := stream.Send(encodeState(m.local.State()))
		guard.Stop()
		if err != nil {
			_, end := stream.CloseAndReceive()
			return errors.Wrapf(err, "send state (%v)", end)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-s.changed:
			time.Sleep(coalesce)
		}
	}
}

// Handler returns the HTTP surface for peers.
func (m *Mesh) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewFleetServiceHandler(&server{mesh: m}))
	return mux
}

// server implements peerv1connect.FleetServiceHandler.
type server struct{ mesh *Mesh }

// ShareState takes a peer's states until the stream ends.
func (s *server) ShareState(_ context.Context, stream *connect.ClientStream[peerv1.ShareStateRequest]) (*connect.Response[peerv1.ShareStateResponse], error) {
	for stream.Receive() {
		s.mesh.local.Absorb(decodeState(stream.Msg()))
	}
	return connect.NewResponse(&peerv1.ShareStateResponse{}), stream.Err()
}
