package fleethost

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/emulator/fault"
	"github.com/masticscale/masticscale/internal/emulator/objectapi"
	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/knowledge"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/internal/telemetry"
	"github.com/masticscale/masticscale/platform"
)

const (
	contactTime  = 3 * time.Second // after the last fault, from when on the promises hold
	configBound  = 2 * time.Second // from the acknowledgement of a change until hosts apply it
	storeLatency = 4 * time.Millisecond
)

// pipeConn is a connection of a pipeNet. Once it is silent, what is written to it is lost and
// nothing arrives, as on a connection whose state a middlebox has dropped.
type pipeConn struct {
	net.Conn
	silent chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (c *pipeConn) Read(b []byte) (int, error) {
	type result struct {
		n   int
		err error
	}
	read := make(chan result, 1)
	buffer := make([]byte, len(b))
	go func() {
		n, err := c.Conn.Read(buffer)
		read <- result{n, err}
	}()
	select {
	case r := <-read:
		return copy(b, buffer[:r.n]), r.err
	case <-c.silent:
		<-c.closed
		return 0, net.ErrClosed
	}
}

func (c *pipeConn) Write(b []byte) (int, error) {
	select {
	case <-c.silent:
		return len(b), nil
	default:
		return c.Conn.Write(b)
	}
}

func (c *pipeConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// pipeNet connects hosts to a store in the same process.
type pipeNet struct {
	accepted chan net.Conn
	done     chan struct{}
	mu       sync.Mutex
	conns    []*pipeConn
}

func newPipeNet() *pipeNet {
	return &pipeNet{accepted: make(chan net.Conn), done: make(chan struct{})}
}

func (n *pipeNet) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case n.accepted <- server:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c := &pipeConn{Conn: client, silent: make(chan struct{}), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, c)
	return c, nil
}

// silence makes the open connections silent for good.
func (n *pipeNet) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		close(c.silent)
	}
	n.conns = nil
}

// Accept implements net.Listener.
func (n *pipeNet) Accept() (net.Conn, error) {
	select {
	case c := <-n.accepted:
		return c, nil
	case <-n.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (n *pipeNet) Close() error {
	close(n.done)
	return nil
}

// Addr implements net.Listener.
func (n *pipeNet) Addr() net.Addr { return &net.UnixAddr{Name: "store"} }

// knowingHost is a host without callers.
type knowingHost struct {
	address string
	core    *entry.Core
	syncer  *knowledge.Syncer
	direct  *platform.Store
	changed chan struct{}
}

// knowingHosts are hosts that learn from one store and from each other.
type knowingHosts struct {
	net     *pipeNet
	store   *objectapi.Server
	writer  *objstore.Client
	hosts   []*knowingHost
	version int64       // of the configuration object
	cut     atomic.Bool // the hosts are cut off from each other
}

// FetchSnapshot implements knowledge.PeerClient.
func (f *knowingHosts) FetchSnapshot(_ context.Context, address string, _ mesh.Versions) (mesh.Snapshot, error) {
	for _, h := range f.hosts {
		if h.address == address && !f.cut.Load() {
			return h.syncer.Snapshot(), nil
		}
	}
	return mesh.Snapshot{}, fmt.Errorf("no host at %q", address)
}

// SetPeers implements knowledge.PeerClient.
func (*knowingHosts) SetPeers(map[string]bool) {}

// shareStates passes the host's state to the others, at once when it changes.
func (f *knowingHosts) shareStates(ctx context.Context, h *knowingHost) {
	for ctx.Err() == nil {
		for _, other := range f.hosts {
			if other != h && !f.cut.Load() {
				other.core.MergeState(h.core.State())
			}
		}
		select {
		case <-ctx.Done():
		case <-h.changed:
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (f *knowingHosts) addHost(name string, log *logrus.Logger) {
	settings := Settings{Name: name, DataCentre: "dc", Store: "store", Listen: Listen{PeersAt: name + ":1"}}
	h := &knowingHost{address: settings.Listen.PeersAt, changed: make(chan struct{}, 1)}
	self := newIdentity(settings)
	h.core = entry.NewCore(self, log)
	notify := func() {
		select {
		case h.changed <- struct{}{}:
		default: // a change is already pending
		}
	}
	h.core.OnStateChange(notify)
	h.core.OnUrgentChange(notify)
	h.direct = platform.NewStore("http://store", f.net.dial, log)
	h.syncer = newSyncer(settings, self, h.core, h.direct, telemetry.NewMetrics(), log)
	h.syncer.SetPeerClient(f)
	f.hosts = append(f.hosts, h)
}

// fillIdle leaves the host with as many idle connections as it keeps.
func (h *knowingHost) fillIdle() {
	var calls sync.WaitGroup
	for range 16 {
		calls.Go(func() { _, _ = h.direct.Get(context.Background(), platform.KindConfig, platform.ConfigName) }) // only its connection matters
	}
	calls.Wait()
}

// change writes a version of the configuration.
func (f *knowingHosts) change(c *qt.C, version int64) {
	value := map[string]any{"version": version}
	var o objstore.Object
	var err error
	if f.version == 0 {
		o, err = f.writer.Create(context.Background(), platform.KindConfig, platform.ConfigName, value)
	} else {
		o, err = f.writer.Update(context.Background(), platform.KindConfig, platform.ConfigName, f.version, value)
	}
	c.Assert(err, qt.IsNil)
	f.version = o.Version
}

// countBehind returns the number of hosts that have a configuration older than the version.
func (f *knowingHosts) countBehind(version int64) int {
	behind := 0
	for _, h := range f.hosts {
		if h.core.Config().Version < version {
			behind++
		}
	}
	return behind
}

// runKnowingHosts runs hosts in virtual time, and run once they are up to date.
func runKnowingHosts(t *testing.T, count int, run func(c *qt.C, f *knowingHosts)) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		storeNet, writerNet := newPipeNet(), newPipeNet()
		f := &knowingHosts{net: storeNet, store: objectapi.New()}
		f.store.Faults.Replace(fault.Faults{Latency: storeLatency})
		server := &http.Server{Handler: f.store.Handler()}
		var loops sync.WaitGroup
		loops.Go(func() { _ = server.Serve(storeNet) })
		loops.Go(func() { _ = server.Serve(writerNet) })
		writerStore := platform.NewStore("http://store", writerNet.dial, log)
		f.writer = objstore.NewClient(writerStore, "operator")
		for n := range count {
			f.addHost(fmt.Sprint("h", n), log)
		}
		ctx, cancel := context.WithCancel(context.Background())
		for _, h := range f.hosts {
			loops.Go(func() { h.syncer.Run(ctx) })
			loops.Go(func() { h.core.Run(ctx) })
			loops.Go(func() { f.shareStates(ctx, h) })
		}
		defer func() {
			cancel()
			_ = server.Close()
			loops.Wait()
			for _, h := range f.hosts {
				h.direct.Close()
			}
			writerStore.Close()
			time.Sleep(time.Second) // the store's handlers end
		}()
		f.change(c, 1)
		time.Sleep(5 * time.Second)
		run(c, f)
	})
}

// TestChangeUnseenWhileStoreConnectionsAreSilent guards against a confirmed change that no host
// learns of in time, because each call to the store waits on another silent connection.
func TestChangeUnseenWhileStoreConnectionsAreSilent(t *testing.T) {
	for _, count := range []int{1, 4, 16} { // one alone, a cell, several cells
		for _, offset := range []time.Duration{0, 700 * time.Millisecond, 1400 * time.Millisecond} { // within a store poller's poll
			runKnowingHosts(t, count, func(c *qt.C, f *knowingHosts) {
				for _, h := range f.hosts {
					h.fillIdle()
				}
				time.Sleep(offset)
				f.net.silence()
				time.Sleep(contactTime)
				f.change(c, 2)
				time.Sleep(configBound)
				c.Check(f.countBehind(2), qt.Equals, 0, qt.Commentf("of %d hosts, silent %v after the start", count, offset))
			})
		}
	}
}

// TestCutOffHostWaitsOnASilentWatch guards against a host that reaches the store but no peer, and
// doesn't learn of a change: its connections to the store had gone silent before, and it goes
// on with those.
func TestCutOffHostWaitsOnASilentWatch(t *testing.T) {
	for _, pause := range []time.Duration{contactTime - 100*time.Millisecond, 2 * contactTime} { // from the silence to the cut
		runKnowingHosts(t, 4, func(c *qt.C, f *knowingHosts) {
			for _, h := range f.hosts {
				h.fillIdle()
			}
			f.net.silence()
			time.Sleep(pause)
			f.cut.Store(true)
			time.Sleep(100 * time.Millisecond)
			f.change(c, 2)
			time.Sleep(configBound)
			c.Check(f.countBehind(2), qt.Equals, 0, qt.Commentf("cut off %v after the silence", pause))
		})
	}
}
