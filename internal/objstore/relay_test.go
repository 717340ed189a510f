package objstore_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/objstore"
)

// faultyTransport is a transport whose Get and Create return err.
type faultyTransport struct {
	objstore.Transport
	err   error
	calls int
}

func (f *faultyTransport) Get(context.Context, objstore.Kind, string) (objstore.Object, error) {
	f.calls++
	return objstore.Object{Name: "direct"}, f.err
}

func (f *faultyTransport) Create(_ context.Context, _ objstore.Kind, name string, _ json.RawMessage) (objstore.Object, error) {
	f.calls++
	return objstore.Object{Name: name}, f.err
}

// TestCallsAreRelayedWhenStoreIsUnavailable covers a store that rejects one
// host's calls while it serves other hosts.
func TestCallsAreRelayedWhenStoreIsUnavailable(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		direct := &faultyTransport{}
		relayed := 0
		transport := objstore.NewRelayedTransport(direct, func(context.Context, objstore.Call) (objstore.Page, error) {
			relayed++
			return objstore.Page{Items: []objstore.Object{{Name: "relayed"}}}, nil
		}, func(bool) {})
		o, err := transport.Get(ctx, testKind, "a")
		c.Assert(err, qt.IsNil)
		c.Assert(o.Name, qt.Equals, "direct")
		direct.err = objstore.ErrUnavailable
		for range 10 {
			o, err = transport.Get(ctx, testKind, "a")
			c.Assert(err, qt.IsNil)
			c.Assert(o.Name, qt.Equals, "relayed")
		}
		c.Assert(direct.calls <= 3, qt.IsTrue, qt.Commentf("%d direct calls", direct.calls))
		direct.err = nil
		time.Sleep(time.Second)
		o, err = transport.Get(ctx, testKind, "a")
		c.Assert(err, qt.IsNil)
		c.Assert(o.Name, qt.Equals, "direct")
		c.Assert(relayed, qt.Equals, 10)
	})
}

// TestWriteWithoutResponseIsNotRelayed checks that a write that may have taken
// effect is not sent again through a peer, so that its writer can read it back.
func TestWriteWithoutResponseIsNotRelayed(t *testing.T) {
	c := qt.New(t)
	direct := &faultyTransport{err: objstore.ErrNoResponse}
	transport := objstore.NewRelayedTransport(direct, func(context.Context, objstore.Call) (objstore.Page, error) {
		c.Fatal("the write was relayed as well")
		return objstore.Page{}, nil
	}, func(bool) {})
	_, err := transport.Create(context.Background(), testKind, "a", nil)
	c.Assert(errors.Is(err, objstore.ErrNoResponse), qt.IsTrue)
}

// memStore is a transport to an in-memory store.
type memStore struct {
	objstore.Transport
	mu      sync.Mutex
	version int64
	byName  map[string]objstore.Object
	calls   int
}

func (m *memStore) Get(_ context.Context, _ objstore.Kind, name string) (objstore.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if o, ok := m.byName[name]; ok {
		return o, nil
	}
	return objstore.Object{}, objstore.ErrNotFound
}

func (m *memStore) GetStale(ctx context.Context, kind objstore.Kind, name string) (objstore.Object, error) {
	return m.Get(ctx, kind, name)
}

func (m *memStore) Create(_ context.Context, kind objstore.Kind, name string, value json.RawMessage) (objstore.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if _, ok := m.byName[name]; ok {
		return objstore.Object{}, objstore.ErrConflict
	}
	m.version++
	o := objstore.Object{Kind: kind, Name: name, Version: m.version, Value: value}
	m.byName[name] = o
	return o, nil
}

// unresponsiveTransport is one host's transport to a store. While unresponsive,
// it blocks calls until they time out; with applyWrites, writes still take
// effect.
type unresponsiveTransport struct {
	*memStore
	unresponsive, applyWrites atomic.Bool
}

func (s *unresponsiveTransport) waitWhileUnresponsive(ctx context.Context) error {
	if !s.unresponsive.Load() {
		return nil
	}
	<-ctx.Done()
	return objstore.ErrNoResponse
}

func (s *unresponsiveTransport) Get(ctx context.Context, kind objstore.Kind, name string) (objstore.Object, error) {
	if err := s.waitWhileUnresponsive(ctx); err != nil {
		return objstore.Object{}, err
	}
	return s.memStore.Get(ctx, kind, name)
}

func (s *unresponsiveTransport) GetStale(ctx context.Context, kind objstore.Kind, name string) (objstore.Object, error) {
	return s.Get(ctx, kind, name)
}

func (s *unresponsiveTransport) Create(ctx context.Context, kind objstore.Kind, name string, value json.RawMessage) (objstore.Object, error) {
	if s.applyWrites.Load() {
		_, _ = s.memStore.Create(ctx, kind, name, value)
	}
	if err := s.waitWhileUnresponsive(ctx); err != nil {
		return objstore.Object{}, err
	}
	return s.memStore.Create(ctx, kind, name, value)
}

// TestCallsAreRelayedWhenStoreIsUnresponsive covers a store that does not respond
// to one host while it serves other hosts. The first write failed after 1.5 s, and
// so did each write that was chosen to try the store directly, twice a second.
func TestCallsAreRelayedWhenStoreIsUnresponsive(t *testing.T) {
	for _, applyWrites := range []bool{false, true} {
		bubbletest.Run(t, func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			direct := &unresponsiveTransport{memStore: &memStore{byName: map[string]objstore.Object{}}}
			direct.unresponsive.Store(true)
			direct.applyWrites.Store(applyWrites)
			relay := func(ctx context.Context, op objstore.Call) (objstore.Page, error) { return op.Do(ctx, direct.memStore) }
			var served atomic.Bool
			served.Store(true)
			client := objstore.NewClient(objstore.NewRelayedTransport(direct, relay, served.Store), "h")
			for n := range 20 {
				started := time.Now()
				_, err := client.Create(ctx, testKind, fmt.Sprint("job-", n), n)
				c.Assert(err, qt.IsNil)
				took := time.Since(started)
				c.Assert(took < time.Second, qt.IsTrue, qt.Commentf("write %d took %v", n, took))
				c.Assert(n == 0 || took < 100*time.Millisecond, qt.IsTrue, qt.Commentf("write %d took %v", n, took))
				_, err = client.Create(ctx, testKind, fmt.Sprint("job-", n), n)
				c.Assert(errors.Is(err, objstore.ErrConflict), qt.IsTrue)
				time.Sleep(300 * time.Millisecond)
			}
			c.Assert(served.Load(), qt.IsFalse)
			direct.unresponsive.Store(false)
			direct.applyWrites.Store(false)
			time.Sleep(time.Second)
			_, err := client.Get(ctx, testKind, "job-0")
			c.Assert(err, qt.IsNil)
			c.Assert(served.Load(), qt.IsTrue)
		})
	}
}
