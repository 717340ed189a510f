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

// TestRemovalAfterOwnCutIsDeferredTooLong guards against a host that is back from a cut of
// its own and takes each removal for an expiry in an outage of the store: it kept upstreams
// that were removed after its return for up to 2.45 s. They serve for two seconds.
func TestRemovalAfterOwnCutIsDeferredTooLong(t *testing.T) {
	for _, sinceReturn := range []time.Duration{0, 40, 130, 400, 1000, 2150} {
		t.Run((sinceReturn * time.Millisecond).String(), func(t *testing.T) {
			runSyncer(t, func(c *qt.C, f *fixture) {
				version := f.writeUpstream(c, "u1")
				f.writeConfig(c, 1, 0)
				time.Sleep(time.Second)
				f.loseStore(3 * time.Second)
				time.Sleep(sinceReturn * time.Millisecond)
				c.Assert(f.writer.Delete(context.Background(), kindUpstreams, "u1", version), qt.IsNil)
				c.Assert(f.listedFor() <= 1800*time.Millisecond, qt.IsTrue)
			})
		})
	}
}

// TestDeferredRemovalWaitsForATick guards against deferred removals that took effect up to
// 250 ms after they were due.
func TestDeferredRemovalWaitsForATick(t *testing.T) {
	for _, cut := range []time.Duration{3000, 3070, 3140, 3210} {
		t.Run((cut * time.Millisecond).String(), func(t *testing.T) {
			runSyncer(t, func(c *qt.C, f *fixture) {
				version := f.writeUpstream(c, "u1")
				f.writeConfig(c, 1, 0)
				time.Sleep(time.Second)
				f.client.SetPartitioned(true)
				c.Assert(f.writer.Delete(context.Background(), kindUpstreams, "u1", version), qt.IsNil)
				f.writeUpstream(c, "u2")
				time.Sleep(cut * time.Millisecond)
				f.client.SetPartitioned(false)
				for f.listed() == 1 {
					time.Sleep(time.Millisecond)
				}
				c.Assert(f.core.UpstreamAddresses(), qt.DeepEquals, map[string]bool{"u1": true, "u2": true})
				start := time.Now()
				for f.listed() == 2 {
					time.Sleep(time.Millisecond)
				}
				c.Assert(time.Since(start), qt.Satisfies, func(d time.Duration) bool { return d > 2*time.Second && d <= 2205*time.Millisecond })
			})
		})
	}
}

// TestEntryThatExpiresAfterAnOutageStays checks that an upstream whose entry expires soon
// after an outage of the store stays listed until it has renewed the entry.
func TestEntryThatExpiresAfterAnOutageStays(t *testing.T) {
	runSyncer(t, func(c *qt.C, f *fixture) {
		version := f.writeUpstream(c, "u1")
		f.writeConfig(c, 1, 0)
		time.Sleep(time.Second)
		f.loseStore(3 * time.Second)
		time.Sleep(300 * time.Millisecond)
		c.Assert(f.writer.Delete(context.Background(), kindUpstreams, "u1", version), qt.IsNil)
		for range 33 {
			time.Sleep(50 * time.Millisecond)
			c.Assert(f.listed(), qt.Equals, 1)
		}
		f.writeUpstream(c, "u1")
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			c.Assert(f.listed(), qt.Equals, 1)
		}
	})
}

// TestPeerProlongsADeferredRemoval guards against a host that adopts the list of a peer that
// regained the store later, and with it the peer's later time for a removal that the host
// had deferred itself.
func TestPeerProlongsADeferredRemoval(t *testing.T) {
	runSyncer(t, func(c *qt.C, f *fixture) {
		version := f.writeUpstream(c, "u1")
		f.writeConfig(c, 1, 0)
		time.Sleep(time.Second)
		f.loseStore(3 * time.Second)
		time.Sleep(100 * time.Millisecond)
		c.Assert(f.writer.Delete(context.Background(), kindUpstreams, "u1", version), qt.IsNil)
		deleted := time.Now()
		time.Sleep(500 * time.Millisecond)
		f.peers.set(mesh.Snapshot{
			Versions:        mesh.Versions{Upstreams: 1000},
			Upstreams:       map[string][]byte{"u1": []byte(`{"Service":"lm","Address":"u1","Slots":8}`)},
			PendingRemovals: map[string]time.Duration{"u1": 2 * time.Second},
		})
		f.core.MergeState(mesh.State{Host: "h2", Incarnation: "i2", Address: "h2:1", UpstreamsVersion: 1000})
		f.listedFor()
		c.Assert(f.core.State().UpstreamsVersion, qt.Equals, int64(1000)) // the list was adopted
		c.Assert(time.Since(deleted) <= 1800*time.Millisecond, qt.IsTrue)
	})
}

// TestNewHostProlongsADeferredRemoval is the same with a list that lacks the entry, of a
// peer that has just started.
func TestNewHostProlongsADeferredRemoval(t *testing.T) {
	runSyncer(t, func(c *qt.C, f *fixture) {
		version := f.writeUpstream(c, "u1")
		f.writeConfig(c, 1, 0)
		time.Sleep(time.Second)
		f.loseStore(3 * time.Second)
		time.Sleep(100 * time.Millisecond)
		c.Assert(f.writer.Delete(context.Background(), kindUpstreams, "u1", version), qt.IsNil)
		deleted := time.Now()
		time.Sleep(100 * time.Millisecond)
		f.client.SetPartitioned(true)
		time.Sleep(500 * time.Millisecond)
		f.peers.set(mesh.Snapshot{Versions: mesh.Versions{Upstreams: 1000}, Upstreams: map[string][]byte{}, UnknownExpiries: 2 * time.Second})
		f.core.MergeState(mesh.State{Host: "h2", Incarnation: "i2", Address: "h2:1", UpstreamsVersion: 1000})
		f.listedFor()
		c.Assert(f.core.State().UpstreamsVersion, qt.Equals, int64(1000)) // the list was adopted
		c.Assert(time.Since(deleted) <= 1800*time.Millisecond, qt.IsTrue)
	})
}

// TestPeerDefersARemovalThatTheWatchDelivers guards against a host that was never without the
// store and obeys a removal late, because the list of a peer that regained the store just
// then, and defers the removal, arrives before the watch's event.
func TestPeerDefersARemovalThatTheWatchDelivers(t *testing.T) {
	for name, list := range map[string]map[string][]byte{
		"the same upstreams": {"u1": upstreamAt("u1")},
		"another one, too":   {"u1": upstreamAt("u1"), "u2": upstreamAt("u2")}, // so the host lists them again
	} {
		t.Run(name, func(t *testing.T) {
			runSyncer(t, func(c *qt.C, f *fixture) {
				version := f.writeUpstream(c, "u1")
				f.writeConfig(c, 1, 0)
				time.Sleep(10 * time.Second)
				f.peers.set(mesh.Snapshot{
					Versions:        mesh.Versions{Upstreams: 1000},
					Upstreams:       list,
					PendingRemovals: map[string]time.Duration{"u1": 2200 * time.Millisecond},
				})
				f.core.MergeState(mesh.State{Host: "h2", Incarnation: "i2", Address: "h2:1", UpstreamsVersion: 1000})
				for f.core.State().UpstreamsVersion < 1000 {
					time.Sleep(time.Millisecond)
				}
				c.Assert(f.writer.Delete(context.Background(), kindUpstreams, "u1", version), qt.IsNil)
				deleted := time.Now()
				for f.core.UpstreamAddresses()["u1"] {
					time.Sleep(5 * time.Millisecond)
				}
				c.Assert(time.Since(deleted), qt.Satisfies, func(d time.Duration) bool { return d <= 1800*time.Millisecond })
			})
		})
	}
}

// upstreamAt returns the entry of the upstream at the address.
func upstreamAt(address string) []byte {
	return fmt.Appendf(nil, `{"Service":"lm","Address":%q,"Slots":8}`, address)
}

// configlessStore fails lists of configurations while it is set to.
type configlessStore struct {
	*memstore.Client
	failing atomic.Bool
}

func (s *configlessStore) List(ctx context.Context, kind objstore.Kind, prefix string) ([]objstore.Object, int64, error) {
	if kind == kindConfig && s.failing.Load() {
		return nil, 0, objstore.ErrUnavailable
	}
	return s.Client.List(ctx, kind, prefix)
}

// TestRemovalFoundByARelistIsDeferredTooLong guards against a host that regains the store,
// adopts a peer's list and lists the upstreams again: it kept one that the second list
// lacked for 2.2 s from its return.
func TestRemovalFoundByARelistIsDeferredTooLong(t *testing.T) {
	store := &configlessStore{}
	wrap := func(client *memstore.Client) objstore.Store {
		store.Client = client
		return store
	}
	runSyncerOn(t, wrap, func(c *qt.C, f *fixture) {
		v1, v2 := f.writeUpstream(c, "u1"), f.writeUpstream(c, "u2")
		f.writeConfig(c, 1, 0)
		time.Sleep(time.Second)
		f.client.SetPartitioned(true)
		store.failing.Store(true)
		c.Assert(f.writer.Delete(context.Background(), kindUpstreams, "u1", v1), qt.IsNil)
		f.writeUpstream(c, "u3")
		time.Sleep(3 * time.Second)
		f.client.SetPartitioned(false)
		for f.listed() < 3 { // the removal of u1 is deferred
			time.Sleep(5 * time.Millisecond)
		}
		f.peers.set(mesh.Snapshot{Versions: mesh.Versions{Upstreams: 1000}, Upstreams: map[string][]byte{
			"u2": []byte(`{"Service":"lm","Address":"u2","Slots":8}`), "u3": []byte(`{"Service":"lm","Address":"u3","Slots":8}`),
		}})
		f.core.MergeState(mesh.State{Host: "h2", Incarnation: "i2", Address: "h2:1", UpstreamsVersion: 1000})
		for f.listed() == 3 {
			time.Sleep(5 * time.Millisecond)
		}
		store.failing.Store(false)
		for !f.core.State().StoreReachable {
			time.Sleep(5 * time.Millisecond)
		}
		c.Assert(f.writer.Delete(context.Background(), kindUpstreams, "u2", v2), qt.IsNil)
		deleted := time.Now()
		for f.core.UpstreamAddresses()["u2"] {
			time.Sleep(5 * time.Millisecond)
		}
		c.Assert(time.Since(deleted), qt.Satisfies, func(d time.Duration) bool { return d <= 1800*time.Millisecond })
	})
}

// gatedStore holds up lists of upstreams that begin after hold, until release.
type gatedStore struct {
	*memstore.Client
	mu      sync.Mutex
	gate    chan struct{} // nil: open
	waiting atomic.Bool
}

func (s *gatedStore) hold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate = make(chan struct{})
}

func (s *gatedStore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.gate)
	s.gate = nil
}

func (s *gatedStore) wait() {
	s.mu.Lock()
	gate := s.gate
	s.mu.Unlock()
	if gate != nil {
		s.waiting.Store(true)
		<-gate
	}
}

func (s *gatedStore) List(ctx context.Context, kind objstore.Kind, prefix string) ([]objstore.Object, int64, error) {
	if kind == kindUpstreams {
		s.wait()
	}
	return s.Client.List(ctx, kind, prefix)
}

// TestRemovalDuringAHostsReturnIsDeferredTooLong guards against a host that learns from
// peers while the store turns it away: it kept an upstream for 2.2 s that was removed
// moments before the list that ends its outage.
func TestRemovalDuringAHostsReturnIsDeferredTooLong(t *testing.T) {
	for _, wait := range []time.Duration{0, 60, 120, 180, 240} {
		t.Run((wait * time.Millisecond).String(), func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := qt.New(t)
				f, all := newHosts()
				client := f.store.Client(latency)
				all.add("a", client, client)
				gated := &gatedStore{Client: f.store.Client(latency)}
				b := all.add("b", gated.Client, gated)
				defer all.start()()
				f.writeConfig(c, 1, 0)
				version := f.writeUpstream(c, "u1")
				time.Sleep(8 * time.Second)
				gated.SetPartitioned(true)
				time.Sleep(3 * time.Second)
				gated.hold()
				gated.SetPartitioned(false)
				for !gated.waiting.Load() {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(500*time.Millisecond + wait*time.Millisecond)
				c.Assert(f.writer.Delete(context.Background(), kindUpstreams, "u1", version), qt.IsNil)
				deleted := time.Now()
				gated.release()
				for b.lists("u1") {
					time.Sleep(5 * time.Millisecond)
				}
				c.Assert(time.Since(deleted), qt.Satisfies, func(d time.Duration) bool { return d <= 1800*time.Millisecond })
			})
		})
	}
}

// TestOutageOfAllHostsKeepsExpiredUpstreams checks that upstreams whose entries expired in
// an outage stay listed for the two seconds in which they renew them, also where peers
// regain the store before.
func TestOutageOfAllHostsKeepsExpiredUpstreams(t *testing.T) {
	runHosts(t, []string{"a", "b", "c"}, func(c *qt.C, f *fixture, all *hosts) {
		f.writeConfig(c, 1, 0)
		version := f.writeUpstream(c, "u1")
		time.Sleep(8 * time.Second)
		for _, h := range all.byName {
			h.client.SetPartitioned(true)
		}
		time.Sleep(5 * time.Second)
		c.Assert(f.writer.Delete(context.Background(), kindUpstreams, "u1", version), qt.IsNil)
		for _, h := range all.byName {
			h.client.SetPartitioned(false)
		}
		for n := range 100 {
			if n == 38 {
				f.writeUpstream(c, "u1")
			}
			time.Sleep(50 * time.Millisecond)
			for name, h := range all.byName {
				c.Assert(h.lists("u1"), qt.IsTrue, qt.Commentf("%s, %d", name, n))
			}
		}
	})
}

// loseStore cuts the host off from the store and waits until it has regained it.
func (f *fixture) loseStore(cut time.Duration) {
	f.client.SetPartitioned(true)
	time.Sleep(cut)
	f.client.SetPartitioned(false)
	for !f.core.State().StoreReachable {
		time.Sleep(5 * time.Millisecond)
	}
}

// listedFor waits until no upstream is listed, and returns how long that took.
func (f *fixture) listedFor() time.Duration {
	start := time.Now()
	for f.listed() > 0 {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}
