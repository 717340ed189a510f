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

	"github.com/masticscale/masticscale/internal/objstore"
	peerv1 "github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1"
	"github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1/peerv1connect"
	"github.com/masticscale/masticscale/internal/peer/link"
	"github.com/masticscale/masticscale/internal/telemetry"
)

const (
	heartbeat       = 200 * time.Millisecond  // between states when nothing changes; peers count as silent after a few
	farHeartbeat    = 500 * time.Millisecond  // the least time between states to a host of another cell when nothing changes
	farHeartbeatMax = 2 * time.Second         // the most: a lost host is noticed within seconds
	farStates       = 70                      // a second to the hosts of other cells, all together, while the period allows it
	farPause        = 150 * time.Millisecond  // least time between two states to a host of another cell
	coalesce        = 5 * time.Millisecond    // in which changes are gathered into one state
	dialTimeout     = 500 * time.Millisecond  // hosts are milliseconds apart
	pingAfter       = 1200 * time.Millisecond // silence on a connection before it is checked
	farPingAfter    = 4 * time.Second         // the same to hosts of other cells, of which there are many
	pingTimeout     = 700 * time.Millisecond
	sendTimeout     = time.Second // a state that takes longer goes out on a new connection
	redialWait      = 100 * time.Millisecond
	redialWaitMax   = time.Second
	callTimeout     = 700 * time.Millisecond // of calls that answer from memory
	knowledgeExpiry = 2 * time.Second        // of a call that carries the whole configuration
)

// CrossCellInterval returns the time between two states to each of n hosts of other
// cells. A host sends at most farStates a second to them all, until the longest
// period is reached; with more hosts than that the number grows with the fleet.
func CrossCellInterval(n int) time.Duration {
	even := time.Duration(n) * time.Second / farStates
	return min(max(even, farHeartbeat), farHeartbeatMax)
}

// Delegate serves the calls of peers.
type Delegate interface {
	// State returns what to tell peers.
	State() State
	// MergeState takes a peer's state.
	MergeState(State)
}

// Mesh connects this host with its peers.
type Mesh struct {
	self    string // address
	local   Delegate
	jobs    Jobs
	share   SnapshotProvider
	store   objstore.Transport
	served  func(bool) // told of calls for peers
	near    *http.Client
	far     *http.Client // for states to other cells, and for calls
	log     logrus.FieldLogger
	ctx     context.Context
	mu      sync.Mutex
	senders map[string]*sender // by address
	period  time.Duration      // between states to hosts of other cells
	wg      sync.WaitGroup
}

// sender sends this host's state to one address.
type sender struct {
	address string
	far     bool // the peer is in another cell
	changed chan struct{}
	stop    context.CancelFunc
}

// New returns a mesh of a host that peers reach at the address. It works until
// ctx ends.
func New(ctx context.Context, address string, local Delegate, jobs Jobs, share SnapshotProvider, log logrus.FieldLogger) *Mesh {
	return &Mesh{
		self: address, local: local, jobs: jobs, share: share, log: log, ctx: ctx,
		near: newClient(pingAfter), far: newClient(farPingAfter),
		senders: map[string]*sender{},
	}
}

// newClient returns a client that checks connections after some silence.
func newClient(silence time.Duration) *http.Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext,
		Protocols:   link.Protocols(),
		HTTP2:       &http.HTTP2Config{SendPingTimeout: silence, PingTimeout: pingTimeout},
	}}
}

// SetPeers makes this host tell its state to the addresses, and only to these. Those
// that are near, in this host's cell, hear of every change.
func (m *Mesh) SetPeers(near map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, isNear := range near {
		if s := m.senders[address]; s != nil && s.far == isNear {
			s.stop()
			delete(m.senders, address)
		}
		if address == m.self || address == "" || m.senders[address] != nil || m.ctx.Err() != nil {
			continue
		}
		ctx, cancel := context.WithCancel(m.ctx)
		s := &sender{address: address, far: !isNear, changed: make(chan struct{}, 1), stop: cancel}
		m.senders[address] = s
		m.wg.Go(func() { m.run(ctx, s) })
	}
	far := 0
	for address, s := range m.senders {
		if _, joined := near[address]; !joined {
			s.stop()
			delete(m.senders, address)
		} else if s.far {
			far++
		}
	}
	m.period = CrossCellInterval(far)
}

func (m *Mesh) farPeriod() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.period, farHeartbeat)
}

// NotifyCell makes the state go out to the near hosts at once.
func (m *Mesh) NotifyCell() { m.tell(func(s *sender) bool { return !s.far }) }

// NotifyAll makes the state go out to all hosts soon.
func (m *Mesh) NotifyAll() { m.tell(func(*sender) bool { return true }) }

func (m *Mesh) tell(whom func(*sender) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.senders {
		if !whom(s) {
			continue
		}
		select {
		case s.changed <- struct{}{}:
		default: // a change is noted already
		}
	}
}

// Wait returns when all senders have ended.
func (m *Mesh) Wait() {
	m.wg.Wait()
	m.near.CloseIdleConnections()
	m.far.CloseIdleConnections()
}

func (m *Mesh) client(address string) peerv1connect.FleetServiceClient {
	return peerv1connect.NewFleetServiceClient(m.far, "http://"+address, telemetry.CallTraces())
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
	client, pause := m.near, coalesce
	period := func() time.Duration { return heartbeat }
	if s.far {
		client, pause, period = m.far, farPause, m.farPeriod
	}
	stream := peerv1connect.NewFleetServiceClient(client, "http://"+s.address).ShareState(ctx)
	tick := time.NewTicker(period())
	defer tick.Stop()
	told := map[string]int64{} // admissions, as they were sent on this stream
	for {
		guard := time.AfterFunc(sendTimeout, cancel)
		err := stream.Send(encodeState(m.local.State(), told))
		guard.Stop()
		tick.Reset(period())
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

// Handler returns the HTTP surface for peers.
func (m *Mesh) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewFleetServiceHandler(&server{mesh: m}, telemetry.CallTraces()))
	return mux
}

// server implements peerv1connect.FleetServiceHandler.
type server struct{ mesh *Mesh }

// ShareState takes a peer's states until the stream ends.
func (s *server) ShareState(_ context.Context, stream *connect.ClientStream[peerv1.ShareStateRequest]) (*connect.Response[peerv1.ShareStateResponse], error) {
	for stream.Receive() {
		s.mesh.local.MergeState(decodeState(stream.Msg()))
	}
	return connect.NewResponse(&peerv1.ShareStateResponse{}), stream.Err()
}
