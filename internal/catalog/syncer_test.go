package catalog_test

import (
	"context"
	"io"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/emulator/fault"
	"github.com/masticscale/masticscale/internal/emulator/objectapi"
	"github.com/masticscale/masticscale/internal/key"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/platform"
)

const eventTimeout = 30 * time.Second

// flakyStore fails reads, returns old lists and blocks lists on demand.
type flakyStore struct {
	objstore.Store
	failRevisions atomic.Int32 // number of further reads of revisions that fail

	mu       sync.Mutex
	old      map[objstore.Kind][]objstore.Object // results of stale lists
	oldAt    int64
	staleFor objstore.Kind
	blocked  chan struct{} // if set, lists of keys wait until it is closed
}

func (s *flakyStore) Get(ctx context.Context, kind objstore.Kind, name string) (objstore.Object, error) {
	if kind == objstore.KindRevision && s.failRevisions.Add(-1) >= 0 {
		return objstore.Object{}, objstore.ErrUnavailable
	}
	return s.Store.Get(ctx, kind, name)
}

func (s *flakyStore) List(ctx context.Context, kind objstore.Kind, prefix string) ([]objstore.Object, int64, error) {
	if kind == objstore.KindKey && s.blocked != nil {
		<-s.blocked
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.staleFor == kind {
		return s.old[kind], s.oldAt, nil
	}
	return s.Store.List(ctx, kind, prefix)
}

// recordList stores the current list of a kind for serveStale.
func (s *flakyStore) recordList(c *qt.C, kind objstore.Kind) {
	objects, version, err := s.Store.List(context.Background(), kind, "")
	c.Assert(err, qt.IsNil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.old, s.oldAt = map[objstore.Kind][]objstore.Object{kind: objects}, version
}

func (s *flakyStore) serveStale(kind objstore.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleFor = kind
}

type testPlatform struct {
	server *objectapi.Server
	store  *flakyStore
}

func newTestPlatform(c *qt.C) *testPlatform {
	server := objectapi.New()
	listener := httptest.NewServer(server.Handler())
	c.Cleanup(listener.CloseClientConnections)
	client := platform.NewStoreClient(listener.URL, "test")
	c.Cleanup(client.Close)
	return &testPlatform{server: server, store: &flakyStore{Store: client}}
}

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// startSyncer runs a syncer until the test ends.
func (b *testPlatform) startSyncer(c *qt.C) (*catalog.Catalog, *catalog.Syncer) {
	cat := catalog.New()
	syncer := catalog.NewSyncer(b.store, cat, "", discardLogger())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		syncer.Run(ctx)
	}()
	c.Cleanup(func() { cancel(); <-done })
	eventually(c, syncer.Ready)
	return cat, syncer
}

func eventually(c *qt.C, condition func() bool) {
	c.Helper()
	deadline := time.Now().Add(eventTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			c.Fatalf("condition did not hold within %v", eventTimeout)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (b *testPlatform) acceptRevision(c *qt.C) config.Revision {
	r, err := catalog.AcceptRevision(context.Background(), b.store, config.Bundle{}, "ada", "", -1)
	c.Assert(err, qt.IsNil)
	return r
}

func TestFailedRevisionReadIsRetried(t *testing.T) {
	c := qt.New(t)
	b := newTestPlatform(c)
	cat, _ := b.startSyncer(c)
	b.store.failRevisions.Store(3)
	r := b.acceptRevision(c)
	eventually(c, func() bool { return cat.Current().Revision == r.Number })
}

func TestRevisionArrivesWhileWatchIsStale(t *testing.T) {
	c := qt.New(t)
	b := newTestPlatform(c)
	cat, _ := b.startSyncer(c)
	b.server.Faults.Replace(fault.Faults{StaleWatch: true})
	r := b.acceptRevision(c)
	eventually(c, func() bool { return cat.Current().Revision == r.Number })
}

func TestWithdrawalArrivesWhileWatchIsStale(t *testing.T) {
	c := qt.New(t)
	b := newTestPlatform(c)
	cat, _ := b.startSyncer(c)
	id, o := b.createKey(c)
	eventually(c, func() bool { return cat.Current().Keys[id].Active() && cat.Current().Keys[id].Team != "" })
	b.server.Faults.Replace(fault.Faults{StaleWatch: true})
	b.withdraw(c, id, o)
	eventually(c, func() bool { return !cat.Current().Keys[id].Active() })
}

func TestStaleListDoesNotReviveWithdrawnKey(t *testing.T) {
	c := qt.New(t)
	b := newTestPlatform(c)
	cat, _ := b.startSyncer(c)
	id, o := b.createKey(c)
	b.store.recordList(c, objstore.KindKey)
	b.withdraw(c, id, o)
	eventually(c, func() bool { k, ok := cat.Current().Keys[id]; return ok && !k.Active() })
	b.store.serveStale(objstore.KindKey)
	var revived atomic.Bool
	cat.OnChange(func(s *catalog.Snapshot) {
		if s.Keys[id].Active() {
			revived.Store(true)
		}
	})
	// An outage makes the syncer list again, and the list is old.
	b.server.Faults.Replace(fault.Faults{Down: true})
	time.Sleep(3 * time.Second)
	b.server.Faults.Replace(fault.Faults{})
	r := b.acceptRevision(c)
	eventually(c, func() bool { return cat.Current().Revision == r.Number })
	c.Assert(revived.Load(), qt.IsFalse)
}

func (b *testPlatform) createKey(c *qt.C) (key.ID, objstore.Object) {
	id := key.IDOf(key.NewSecret())
	o, err := b.store.Create(context.Background(), objstore.KindKey, string(id), key.Spec{Team: "forecourt", Created: time.Now()})
	c.Assert(err, qt.IsNil)
	return id, o
}

func (b *testPlatform) withdraw(c *qt.C, id key.ID, o objstore.Object) {
	var spec key.Spec
	c.Assert(o.Decode(&spec), qt.IsNil)
	_, err := b.store.Update(context.Background(), objstore.KindKey, string(id), o.Version, spec.Withdraw(time.Now(), false))
	c.Assert(err, qt.IsNil)
}

// TestRequestsWaitForSyncAfterStaleRestore starts a host from a state file that is a
// minute old, in which a key is active that was withdrawn since. From the first
// response of the platform on, requests wait until the host has caught up.
func TestRequestsWaitForSyncAfterStaleRestore(t *testing.T) {
	c := qt.New(t)
	b := newTestPlatform(c)
	before, _ := b.startSyncer(c)
	id, o := b.createKey(c)
	eventually(c, func() bool { return before.Current().Keys[id].Team != "" })
	stateFile, err := catalog.NewStateFile(c.TempDir())
	c.Assert(err, qt.IsNil)
	old := before.Export(time.Now())
	old.Confirmed = time.Now().Add(-time.Minute)
	c.Assert(stateFile.Save(old), qt.IsNil)
	b.withdraw(c, id, o)

	blocking := &flakyStore{Store: b.store.Store, blocked: make(chan struct{})}
	unblock := sync.OnceFunc(func() { close(blocking.blocked) })
	cat := catalog.New()
	syncer := catalog.NewSyncer(blocking, cat, "", discardLogger())
	syncer.PersistTo(stateFile)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		syncer.Run(ctx)
	}()
	c.Cleanup(func() { unblock(); cancel(); <-done })
	eventually(c, func() bool { return checkFreshnessWithin(cat, 50*time.Millisecond) != nil })
	c.Assert(cat.Current().Keys[id].Active(), qt.IsTrue)
	unblock()
	eventually(c, func() bool { return checkFreshnessWithin(cat, eventTimeout) == nil })
	c.Assert(cat.Current().Keys[id].Active(), qt.IsFalse)
}

func checkFreshnessWithin(cat *catalog.Catalog, d time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return cat.CheckFreshness(ctx)
}
