package knowledge_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/emulator/memstore"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/objstore"
)

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
