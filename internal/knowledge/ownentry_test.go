package knowledge_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/emulator/memstore"
	"github.com/masticscale/masticscale/internal/knowledge"
	"github.com/masticscale/masticscale/internal/objstore"
)

// countingStore counts the attempts to write a host's entry.
type countingStore struct {
	objstore.Store
	creates atomic.Int32
}

func (s *countingStore) Create(ctx context.Context, kind objstore.Kind, name string, value any) (objstore.Object, error) {
	if kind == knowledge.KindHost {
		s.creates.Add(1)
	}
	return s.Store.Create(ctx, kind, name, value)
}

// TestListFromBeforeTheEntryWritesItAgain guards against two calls too many at each start: the
// first list of hosts is mostly older than the host's own entry.
func TestListFromBeforeTheEntryWritesItAgain(t *testing.T) {
	counting := &countingStore{}
	runSyncerOn(t, func(client *memstore.Client) objstore.Store { counting.Store = client; return counting }, func(c *qt.C, f *fixture) {
		time.Sleep(3 * time.Second)
		c.Assert(counting.creates.Load(), qt.Equals, int32(1))
		o, err := f.writer.Get(context.Background(), knowledge.KindHost, "h1")
		c.Assert(err, qt.IsNil)
		c.Assert(f.writer.Delete(context.Background(), knowledge.KindHost, "h1", o.Version), qt.IsNil)
		time.Sleep(3 * time.Second)
		_, err = f.writer.Get(context.Background(), knowledge.KindHost, "h1")
		c.Assert(err, qt.IsNil, qt.Commentf("an entry that was removed is written again"))
	})
}
