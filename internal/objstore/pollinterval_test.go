package objstore_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/objstore"
)

// busyTransport has one more change each 20 ms, and returns those since the poll before.
type busyTransport struct {
	objstore.Transport
	polls   int
	started time.Time
}

func (t *busyTransport) Poll(_ context.Context, kind objstore.Kind, after int64, _ time.Duration) (objstore.Changes, error) {
	t.polls++
	time.Sleep(20 * time.Millisecond)
	changes := objstore.Changes{Version: int64(time.Since(t.started) / (20 * time.Millisecond))}
	for version := after + 1; version <= changes.Version; version++ {
		changes.Events = append(changes.Events, objstore.Event{Type: objstore.EventDelete, Object: objstore.Object{Kind: kind, Name: "x", Version: version}})
	}
	return changes, nil
}

// TestRegistrationsArePolledTogether guards against a poll for each of many registrations, at
// each of the hosts that watch the store.
func TestRegistrationsArePolledTogether(t *testing.T) {
	for kind, most := range map[objstore.Kind]int{"registrations": 11, "others": 50} {
		bubbletest.Run(t, func(t *testing.T) {
			c := qt.New(t)
			transport := &busyTransport{started: time.Now()}
			client := objstore.NewClient(transport, "w", objstore.WithPollInterval(100*time.Millisecond, "registrations"))
			w, err := client.Watch(context.Background(), kind, 0)
			c.Assert(err, qt.IsNil)
			defer w.Close()
			seen := 0
			for ; seen < 49; seen++ {
				_, err := w.Next()
				c.Assert(err, qt.IsNil)
				if seen == 0 {
					c.Assert(time.Since(transport.started) < 50*time.Millisecond, qt.IsTrue, qt.Commentf("the first change comes at once"))
				}
			}
			c.Assert(transport.polls <= most, qt.IsTrue, qt.Commentf("%d polls", transport.polls))
			c.Assert(kind == "registrations" || transport.polls > 40, qt.IsTrue)
		})
	}
}
