package mesh

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/objstore"
	peerv1 "github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1"
	"github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1/peerv1connect"
	"github.com/masticscale/masticscale/internal/peer/link"
	"github.com/masticscale/masticscale/internal/telemetry"
)

const (
	heartbeat             = 200 * time.Millisecond  // between unchanged states to hosts of the cell; peers count as unresponsive after a few missed ones
	minCrossCellHeartbeat = 500 * time.Millisecond  // shortest interval between unchanged states to a host of another cell
	maxCrossCellHeartbeat = 2 * time.Second         // longest interval; bounds the time to detect a lost host
	crossCellStateRate    = 70                      // states per second to all hosts of other cells, while the interval is below its upper bound
	cellRelayInterval     = 500 * time.Millisecond  // between states of other cells to hosts of the cell
	idleConnTimeout       = 10 * time.Second        // of connections to peers
	crossCellCoalesce     = 150 * time.Millisecond  // least time between two states to a host of another cell
	coalesce              = 5 * time.Millisecond    // in which changes are combined into one state
	dialTimeout           = 500 * time.Millisecond  // the round trip between hosts takes milliseconds
	pingAfter             = 1200 * time.Millisecond // idle time of a connection before a ping
	crossCellPingAfter    = 4 * time.Second         // longer for hosts of other cells, as there are many
	pingTimeout           = 700 * time.Millisecond
	sendTimeout           = time.Second // a slower send closes the stream, and a new one is opened
	initialRedialDelay    = 100 * time.Millisecond
	maxRedialDelay        = time.Second
	callTimeout           = 700 * time.Millisecond // for calls that are served from memory
	snapshotTimeout       = 2 * time.Second        // for a call that returns the whole configuration
)

// CrossCellInterval returns the time between two states to each of n hosts of
// other cells. A host sends them at most crossCellStateRate states per second in total,
// until the interval reaches its upper bound; in larger fleets the rate grows with n.
func CrossCellInterval(n int) time.Duration {
	interval := time.Duration(n) * time.Second / crossCellStateRate
	return min(max(interval, minCrossCellHeartbeat), maxCrossCellHeartbeat)
}

// Delegate provides this host's state and receives the states of peers.
type Delegate interface {
	// State returns the state to send to peers.
	State() State
	// MergeState replaces the state of the peer that sent it.
	MergeState(State)
	// VisitRelayed calls visit for each peer whose state this host passes on: to the hosts of
	// its own cell, or to those of others. Both must not be kept after the call.
	VisitRelayed(toCell bool, visit func(KnownPeer))
	// MergeRelayed adopts what is newer of the states that the sender passes on.
	MergeRelayed(sender string, states []RelayedState)
}

// Mesh exchanges states and calls with the other hosts.
type Mesh struct {
	self            string // address
	delegate        Delegate
	jobs            Jobs
	snapshots       SnapshotProvider
	store           objstore.Transport
	onStoreCall     func(bool)   // called with whether the store served a peer's call
	cellClient      *http.Client // for states and calls to hosts of the cell
	crossCellClient *http.Client // for states and calls to other cells
	log             logrus.FieldLogger
	ctx             context.Context
	mu              sync.Mutex
	senders         map[string]*sender // by address
	interval        time.Duration      // between states to hosts of other cells
	wg              sync.WaitGroup
}

// sender sends this host's state to one peer.
type sender struct {
	address   string
	otherCell bool
	changed   chan struct{}
	relayDue  atomic.Bool // states of other hosts are to be passed on with the next message
	stop      context.CancelFunc
}

// New returns a mesh for a host that peers reach at the address. The mesh stops
// when ctx ends.
func New(ctx context.Context, address string, delegate Delegate, jobs Jobs, snapshots SnapshotProvider, log logrus.FieldLogger) *Mesh {
	return &Mesh{
		self: address, delegate: delegate, jobs: jobs, snapshots: snapshots, log: log, ctx: ctx,
		cellClient: newClient(pingAfter), crossCellClient: newClient(crossCellPingAfter),
		senders: map[string]*sender{},
	}
}

// maxMessageBytes limits a message of a peer. The longest are snapshots: the
// configuration, of at most objstore.MaxValueBytes, and a few hundred bytes an upstream.
const maxMessageBytes = 16 << 20

var withMaxMessageBytes = link.WithMaxMessageBytes(maxMessageBytes)

// newClient returns a client that pings connections after the idle time.
func newClient(idle time.Duration) *http.Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext,
		Protocols:   link.Protocols(),

		MaxResponseHeaderBytes: link.MaxHeadBytes,
		IdleConnTimeout:        idleConnTimeout,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: idle, PingTimeout: pingTimeout},
	}}
}

// SetPeers replaces the peers that this host sends its state to: by address, whether
// the peer is in this host's cell. Peers in the cell are sent every change.
func (m *Mesh) SetPeers(inCell map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, isInCell := range inCell {
		if s := m.senders[address]; s != nil && s.otherCell == isInCell {
			s.stop()
			delete(m.senders, address)
		}
		if address == m.self || address == "" || m.senders[address] != nil || m.ctx.Err() != nil {
			continue
		}
		ctx, cancel := context.WithCancel(m.ctx)
		s := &sender{address: address, otherCell: !isInCell, changed: make(chan struct{}, 1), stop: cancel}
		m.senders[address] = s
		m.wg.Go(func() { m.runSender(ctx, s) })
	}
	otherCells := 0
	for address, s := range m.senders {
		if _, listed := inCell[address]; !listed {
			s.stop()
			delete(m.senders, address)
		} else if s.otherCell {
			otherCells++
		}
	}
	m.interval = CrossCellInterval(otherCells)
}

func (m *Mesh) crossCellInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.interval, minCrossCellHeartbeat)
}

// NotifyCell sends the state to the hosts of this host's cell at once.
func (m *Mesh) NotifyCell() { m.notify(func(s *sender) bool { return !s.otherCell }) }

// NotifyAll sends the state to all hosts, to those of other cells after a short delay.
func (m *Mesh) NotifyAll() { m.notify(func(*sender) bool { return true }) }

// NotifyRelayed passes on states of other hosts: to the hosts of this host's cell at once, or
// to those of other cells after a short delay.
func (m *Mesh) NotifyRelayed(toCell bool) {
	m.notify(func(s *sender) bool {
		if s.otherCell == toCell {
			return false
		}
		s.relayDue.Store(true)
		return true
	})
}

func (m *Mesh) notify(selects func(*sender) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.senders {
		if !selects(s) {
			continue
		}
		select {
		case s.changed <- struct{}{}:
		default: // a change is already pending
		}
	}
}

// Wait waits until all senders have ended, and closes idle connections.
func (m *Mesh) Wait() {
	m.wg.Wait()
	m.cellClient.CloseIdleConnections()
	m.crossCellClient.CloseIdleConnections()
}

// client returns a client for calls to the host at the address. Calls within the cell share the
// connection of the states, on which pings soon detect silence.
func (m *Mesh) client(address string) peerv1connect.FleetServiceClient {
	client := m.crossCellClient
	m.mu.Lock()
	if s := m.senders[address]; s != nil && !s.otherCell {
		client = m.cellClient
	}
	m.mu.Unlock()
	return peerv1connect.NewFleetServiceClient(client, "http://"+address, telemetry.WithTracing(), withMaxMessageBytes)
}

// runSender keeps a stream of states open and reopens it with a backoff.
func (m *Mesh) runSender(ctx context.Context, s *sender) {
	delay := initialRedialDelay
	for ctx.Err() == nil {
		started := time.Now()
		err := m.streamStates(ctx, s)
		if ctx.Err() != nil {
			return
		}
		m.log.WithFields(logrus.Fields{"event": "peer_lost", "address": s.address, "after": time.Since(started).Round(time.Millisecond), "error": err}).
			Info("state stream to peer ended; reopening it")
		if time.Since(started) > maxRedialDelay {
			delay = initialRedialDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

func (m *Mesh) streamStates(ctx context.Context, s *sender) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client, pause := m.cellClient, coalesce
	interval := func() time.Duration { return heartbeat }
	if s.otherCell {
		client, pause, interval = m.crossCellClient, crossCellCoalesce, m.crossCellInterval
	}
	stream := peerv1connect.NewFleetServiceClient(client, "http://"+s.address, withMaxMessageBytes).ShareState(ctx)
	tick := time.NewTicker(interval())
	defer tick.Stop()
	outbox := NewOutbox(m.delegate, !s.otherCell)
	for {
		message := outbox.Next(time.Now(), s.relayDue.Swap(false))
		sendTimer := time.AfterFunc(sendTimeout, cancel)
		err := stream.Send(message)
		sendTimer.Stop()
		tick.Reset(interval())
		if err != nil {
			_, end := stream.CloseAndReceive()
			return errors.Wrapf(err, "send state (%v)", end)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-s.changed:
			time.Sleep(pause)
		}
	}
}

// Handler returns the handler for the calls of peers.
func (m *Mesh) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewFleetServiceHandler(&server{mesh: m}, telemetry.WithTracing(), withMaxMessageBytes))
	return mux
}

// server implements peerv1connect.FleetServiceHandler.
type server struct{ mesh *Mesh }

// ShareState implements peerv1connect.FleetServiceHandler. It merges a peer's
// states until the stream ends.
func (s *server) ShareState(_ context.Context, stream *connect.ClientStream[peerv1.ShareStateRequest]) (*connect.Response[peerv1.ShareStateResponse], error) {
	for stream.Receive() {
		Deliver(s.mesh.delegate, stream.Msg(), time.Now())
	}
	return connect.NewResponse(&peerv1.ShareStateResponse{}), stream.Err()
}
