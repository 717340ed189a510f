package knowledge_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/emulator/memstore"
	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/knowledge"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/objstore"
)

// host is one of several hosts that fetch each other's snapshots.
type host struct {
	client *memstore.Client
	core   *entry.Core
	syncer *knowledge.Syncer
}

// hosts is the PeerClient of all of them; their addresses are their names.
type hosts struct {
	mu     sync.Mutex // guards byName while the hosts run
	byName map[string]*host
}

func newHosts() (*fixture, *hosts) {
	f := &fixture{store: memstore.New()}
	f.writer = f.store.Client(latency)
	return f, &hosts{byName: map[string]*host{}}
}

// add adds a host that uses the store, which may wrap the client.
func (h *hosts) add(name string, client *memstore.Client, store objstore.Store) *host {
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := entry.Identity{Name: name, Incarnation: name + "/1", DataCentre: "dc", PeerAddress: name}
	added := &host{client: client, core: entry.NewCore(self, log)}
	added.syncer = knowledge.NewSyncer(self, store, store, decoder{}, added.core, nil, log)
	added.syncer.SetPeerClient(h)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byName[name] = added
	return added
}

// start runs the hosts until the returned function is called. Each of them receives the
// states of the others every 50 ms.
func (h *hosts) start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, x := range h.byName {
		wg.Go(func() { x.syncer.Run(ctx) })
	}
	wg.Go(func() { h.shareStates(ctx) })
	return func() {
		cancel()
		wg.Wait()
	}
}

func (h *hosts) FetchSnapshot(_ context.Context, address string, _ mesh.Versions) (mesh.Snapshot, error) {
	h.mu.Lock()
	peer := h.byName[address]
	h.mu.Unlock()
	return peer.syncer.Snapshot(), nil
}

func (*hosts) SetPeers(map[string]bool) {}

// refusingDeletes is a store that is unavailable for a number of deletions.
type refusingDeletes struct {
	*memstore.Client
	left *atomic.Int64
}

func (s refusingDeletes) Delete(ctx context.Context, kind objstore.Kind, name string, version int64) error {
	if s.left.Add(-1) >= 0 {
		return objstore.ErrUnavailable
	}
	return s.Client.Delete(ctx, kind, name, version)
}

// TestRefusedDeletionKeepsALostHost guards against a lost host that stays registered, and counts
// in the size of the fleet, because the store refused the one attempt to delete its entry.
func TestRefusedDeletionKeepsALostHost(t *testing.T) {
	var left atomic.Int64
	left.Store(3)
	wrap := func(client *memstore.Client) objstore.Store { return refusingDeletes{client, &left} }
	runSyncerOn(t, wrap, func(c *qt.C, f *fixture) {
		_, err := f.write(knowledge.KindHost, "h9", 0, map[string]string{"address": "h9:1"})
		c.Assert(err, qt.IsNil)
		time.Sleep(32 * time.Second)
		_, err = f.writer.Get(context.Background(), knowledge.KindHost, "h9")
		c.Assert(errors.Is(err, objstore.ErrNotFound), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(f.core.SilentHosts(), qt.HasLen, 0)
	})
}

// TestHostThatDoesNotWatchKeepsALostHost guards against a lost host that stays registered in a
// fleet of several cells, because the host that is to delete its entry leaves the watch of the
// list, which has the entry's version, to others.
func TestHostThatDoesNotWatchKeepsALostHost(t *testing.T) {
	for lost := range 8 {
		t.Run(fmt.Sprint("g", lost), func(t *testing.T) {
			runSyncer(t, func(c *qt.C, f *fixture) {
				name := fmt.Sprint("g", lost)
				_, err := f.write(knowledge.KindHost, name, 0, map[string]string{"address": name + ":1"})
				c.Assert(err, qt.IsNil)
				for range 24 * 20 {
					f.core.MergeState(mesh.State{Host: "h2", Incarnation: "i", DataCentre: "dc", Address: "h2:1", StoreReachable: true})
					time.Sleep(50 * time.Millisecond)
				}
				_, err = f.writer.Get(context.Background(), knowledge.KindHost, name)
				c.Assert(errors.Is(err, objstore.ErrNotFound), qt.IsTrue, qt.Commentf("%v", err))
			})
		})
	}
}

// runHosts runs the test beside the syncers of several hosts, in virtual time.
func runHosts(t *testing.T, names []string, run func(c *qt.C, f *fixture, all *hosts)) {
	bubbletest.Run(t, func(t *testing.T) {
		f, all := newHosts()
		for _, name := range names {
			client := f.store.Client(latency)
			all.add(name, client, client)
		}
		defer all.start()()
		run(qt.New(t), f, all)
	})
}

func (h *hosts) shareStates(ctx context.Context) {
	for ctx.Err() == nil {
		h.shareOnce()
		time.Sleep(50 * time.Millisecond)
	}
}

func (h *hosts) shareOnce() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for from, sender := range h.byName {
		for to, receiver := range h.byName {
			if from != to {
				receiver.core.MergeState(sender.core.State())
			}
		}
	}
}

func (h *host) lists(upstream string) bool { return h.core.UpstreamAddresses()[upstream] }

// TestRemovedUpstreamReturnsFromPeer guards against a host that regains the store and
// defers the removal of an upstream that left meanwhile: hosts that had removed the
// upstream took its newer list over and sent requests to the upstream again.
func TestRemovedUpstreamReturnsFromPeer(t *testing.T) {
	runHosts(t, []string{"a", "b"}, func(c *qt.C, f *fixture, all *hosts) {
		a, b := all.byName["a"], all.byName["b"]
		f.writeConfig(c, 1, 0)
		version := f.writeUpstream(c, "u1")
		f.writeUpstream(c, "u2")
		time.Sleep(8 * time.Second)
		a.client.SetPartitioned(true)
		time.Sleep(3 * time.Second)
		a.client.SetPartitioned(false)
		for !a.core.State().StoreReachable {
			time.Sleep(10 * time.Millisecond)
		}
		c.Assert(f.writer.Delete(context.Background(), kindUpstreams, "u1", version), qt.IsNil)
		time.Sleep(50 * time.Millisecond)
		c.Assert(a.lists("u1"), qt.IsTrue) // its removal is deferred
		c.Assert(b.lists("u1"), qt.IsFalse)
		b.client.SetPartitioned(true)
		f.writeUpstream(c, "u3")
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			c.Assert(b.lists("u1"), qt.IsFalse)
		}
		c.Assert(b.lists("u3"), qt.IsTrue) // the rest of the list was taken over
		c.Assert(a.lists("u1"), qt.IsFalse)
	})
}

// TestDeferredRemovalTakesEffectAtPeers guards against entries that expired in an outage
// of the store and stayed for good at hosts that got them from a peer.
func TestDeferredRemovalTakesEffectAtPeers(t *testing.T) {
	runHosts(t, []string{"a", "b"}, func(c *qt.C, f *fixture, all *hosts) {
		a, b := all.byName["a"], all.byName["b"]
		f.writeConfig(c, 1, 0)
		version := f.writeUpstream(c, "u1")
		time.Sleep(8 * time.Second)
		a.client.SetPartitioned(true)
		b.client.SetPartitioned(true)
		time.Sleep(3 * time.Second)
		c.Assert(f.writer.Delete(context.Background(), kindUpstreams, "u1", version), qt.IsNil)
		f.writeUpstream(c, "u2")
		a.client.SetPartitioned(false)
		for !b.lists("u2") {
			time.Sleep(10 * time.Millisecond)
		}
		c.Assert(a.lists("u1"), qt.IsTrue)
		c.Assert(b.lists("u1"), qt.IsTrue)
		time.Sleep(3 * time.Second)
		c.Assert(a.lists("u1"), qt.IsFalse)
		c.Assert(b.lists("u1"), qt.IsFalse)
	})
}

// TestNewHostAdoptsPendingRemovals checks that a host without a list of its own lists the
// upstreams that a peer keeps after an outage of the store.
func TestNewHostAdoptsPendingRemovals(t *testing.T) {
	runSyncer(t, func(c *qt.C, f *fixture) {
		f.client.SetPartitioned(true)
		f.peers.set(mesh.Snapshot{
			Versions:        mesh.Versions{Upstreams: 1000},
			Upstreams:       map[string][]byte{"u1": []byte(`{"Service":"lm","Address":"u1","Slots":8}`)},
			PendingRemovals: map[string]time.Duration{"u1": time.Second},
		})
		f.core.MergeState(mesh.State{Host: "h2", Incarnation: "i2", Address: "h2:1", UpstreamsVersion: 1000})
		time.Sleep(600 * time.Millisecond)
		c.Assert(f.listed(), qt.Equals, 1)
		time.Sleep(time.Second)
		c.Assert(f.listed(), qt.Equals, 0)
	})
}

// TestVersionOfUpstreamsIgnoresHosts guards against a host whose list of upstreams seemed
// newer after a change of the hosts, which another watch delivers.
func TestVersionOfUpstreamsIgnoresHosts(t *testing.T) {
	runSyncer(t, func(c *qt.C, f *fixture) {
		f.writeUpstream(c, "u1")
		time.Sleep(time.Second)
		before := f.core.State()
		_, err := f.write(knowledge.KindHost, "h2", 0, map[string]string{"address": "h2:1"})
		c.Assert(err, qt.IsNil)
		time.Sleep(100 * time.Millisecond)
		after := f.core.State()
		c.Assert(after.UpstreamsVersion, qt.Equals, before.UpstreamsVersion)
		c.Assert(after.HostsVersion > before.HostsVersion, qt.IsTrue)
	})
}

// TestNewHostTakesExpiryForRemoval guards against a host that starts after an outage of the
// store: it doesn't know the upstreams whose entries expired, and hosts that adopt its list
// drop them at once, though live ones renew their entries within two seconds.
func TestNewHostTakesExpiryForRemoval(t *testing.T) {
	runHosts(t, []string{"a", "b"}, func(c *qt.C, f *fixture, all *hosts) {
		a, b := all.byName["a"], all.byName["b"]
		f.writeConfig(c, 1, 0)
		version := f.writeUpstream(c, "u1")
		time.Sleep(8 * time.Second)
		a.client.SetPartitioned(true)
		b.client.SetPartitioned(true)
		time.Sleep(3 * time.Second)
		c.Assert(f.writer.Delete(context.Background(), kindUpstreams, "u1", version), qt.IsNil)
		f.writeUpstream(c, "u2")
		client := f.store.Client(latency)
		n := all.add("n", client, client)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { n.syncer.Run(ctx) })
		defer func() {
			cancel()
			wg.Wait()
		}()
		for !b.lists("u2") {
			time.Sleep(10 * time.Millisecond)
		}
		c.Assert(b.lists("u1"), qt.IsTrue)
		c.Assert(a.lists("u1"), qt.IsTrue)
		time.Sleep(3 * time.Second) // an entry that isn't renewed by then is that of a removed upstream
		c.Assert(b.lists("u1"), qt.IsFalse)
		c.Assert(a.lists("u1"), qt.IsFalse)
	})
}
