package knowledge_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/emulator/memstore"
	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/knowledge"
)

// TestElectedPollerKeepsALongPoll guards against a host that doesn't notice that its watch
// delivers nothing any more: the watch began after an outage of the store, while the host
// could not be a store poller yet.
func TestElectedPollerKeepsALongPoll(t *testing.T) {
	for range 8 { // the order in which the kinds are listed after the outage is random
		bubbletest.Run(t, func(t *testing.T) {
			c := qt.New(t)
			log := logrus.New()
			log.SetOutput(io.Discard)
			self := entry.Identity{Name: "h1", Incarnation: "i1", DataCentre: "dc", PeerAddress: "h1:1"}
			f := &fixture{store: memstore.New(), core: entry.NewCore(self, log)}
			f.writer, f.client = f.store.Client(latency), f.store.Client(latency)
			long := f.store.Client(latency)
			f.syncer = knowledge.NewSyncer(self, long, f.client, decoder{}, f.core, nil, log)
			f.syncer.SetPeerClient(&fakePeers{})
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { f.syncer.Run(ctx) })
			defer func() {
				cancel()
				wg.Wait()
			}()
			on := f.writeConfig(c, 1, 0)
			time.Sleep(3 * time.Second)
			long.SetPartitioned(true)
			f.client.SetPartitioned(true)
			time.Sleep(5 * time.Second)
			long.SetStaleWatch(true)
			long.SetPartitioned(false)
			f.client.SetPartitioned(false)
			time.Sleep(3 * time.Second)
			c.Assert(f.core.IsStorePoller(), qt.IsTrue)
			f.writeConfig(c, 2, on)
			time.Sleep(time.Second)
			c.Assert(f.core.Config().Version, qt.Equals, int64(2))
		})
	}
}
