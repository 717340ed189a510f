package knowledge_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/emulator/memstore"
	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/knowledge"
	"github.com/masticscale/masticscale/internal/quarantine"
)

// deadUpstreams is a Connector whose upstreams have all crashed.
type deadUpstreams struct{}

func (deadUpstreams) Connect(context.Context, fleet.Upstream) error {
	return errors.New("connection refused")
}

// soleHost is the only host of a fleet, with a store that outlasts it.
type soleHost struct {
	core *entry.Core
	stop func()
}

func startSoleHost(store *memstore.Store, incarnation string) *soleHost {
	return startSoleHostWith(store.Client(latency), incarnation)
}

func startSoleHostWith(client *memstore.Client, incarnation string) *soleHost {
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := entry.Identity{Name: "h1", Incarnation: incarnation, DataCentre: "dc", PeerAddress: "h1:1"}
	core := entry.NewCore(self, log)
	core.SetConnector(deadUpstreams{})
	syncer := knowledge.NewSyncer(self, client, client, decoder{}, core, nil, log)
	syncer.SetPeerClient(&fakePeers{})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { core.Run(ctx) })
	wg.Go(func() { syncer.Run(ctx) })
	return &soleHost{core: core, stop: func() { cancel(); wg.Wait() }}
}

// crash ends n upstreams, one after the other, while they run the request.
func (h *soleHost) crash(c *qt.C, f quarantine.Fingerprint, n int) {
	for i := range n {
		id := fmt.Sprint("u", i)
		h.core.SetUpstreams([]fleet.Upstream{{ID: id, Service: "lm", Slots: 8, Started: time.Now()}}, int64(i))
		slot, err := h.core.Acquire(context.Background(), entry.SlotRequest{Service: "lm", Isolated: i == n-1})
		c.Assert(err, qt.IsNil)
		c.Assert(slot.ReportBrokenRun(context.Background(), entry.RunBreak{Fingerprint: f, Started: time.Now(), WasAlive: true}), qt.Equals, entry.UpstreamEnded)
		slot.Release()
	}
}

// TestRestartOfAllHostsEndsAQuarantine guards against a quarantine that only the hosts'
// memory holds, and against one that is stored for longer than it lasts.
func TestRestartOfAllHostsEndsAQuarantine(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		store := memstore.New()
		guilty, suspect := quarantine.Fingerprint{1}, quarantine.Fingerprint{2}
		var h *soleHost
		defer func() { h.stop() }()
		h = startSoleHost(store, "i1")
		time.Sleep(time.Second)
		h.crash(c, guilty, 3)
		h.crash(c, suspect, 2)
		time.Sleep(time.Second)
		h.stop()

		h = startSoleHost(store, "i2")
		time.Sleep(time.Second)
		c.Assert(h.core.Suspicion(guilty), qt.Equals, quarantine.Quarantined)
		c.Assert(h.core.Suspicion(suspect), qt.Equals, quarantine.Clear)
		h.core.ReportCompletedRun(guilty) // a run that had begun before
		time.Sleep(time.Minute)
		h.stop()

		h = startSoleHost(store, "i3")
		time.Sleep(time.Second)
		c.Assert(h.core.Suspicion(guilty), qt.Equals, quarantine.Clear)
		h.crash(c, guilty, 3)
		time.Sleep(time.Second)
		h.stop()
		time.Sleep(2 * time.Hour)

		h = startSoleHost(store, "i4")
		time.Sleep(time.Second)
		c.Assert(h.core.Suspicion(guilty), qt.Equals, quarantine.Clear)
		objects, _, err := store.Client(latency).List(context.Background(), knowledge.KindQuarantine, "")
		c.Assert(err, qt.IsNil)
		c.Assert(objects, qt.HasLen, 0)
	})
}

// crashUnderPart ends upstreams, numbered from the first, while they run requests with the
// part, of which no two are alike.
func (h *soleHost) crashUnderPart(c *qt.C, part string, first, n int) {
	for i := first; i < first+n; i++ {
		h.core.SetUpstreams([]fleet.Upstream{{ID: fmt.Sprint("u", i), Service: "lm", Slots: 8, Started: time.Now()}}, int64(i))
		slot, err := h.core.Acquire(context.Background(), entry.SlotRequest{Service: "lm"})
		c.Assert(err, qt.IsNil)
		run := entry.RunBreak{Fingerprint: quarantine.Fingerprint{9, byte(i)}, Started: time.Now(), WasAlive: true, Team: "cafe", PromptParts: []string{part}}
		c.Assert(slot.ReportBrokenRun(context.Background(), run), qt.Equals, entry.UpstreamEnded)
		slot.Release()
	}
}

func (h *soleHost) refuses(part string) bool {
	return h.core.RefusesPromptParts([]string{part}, "cafe")
}

// TestRestartOfAllHostsRunsAQuarantinedPart guards against a part of a prompt that is run again
// after a restart of all hosts, also one at which the store doesn't respond at first, and
// against trials that begin anew with each restart.
func TestRestartOfAllHostsRunsAQuarantinedPart(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		store := memstore.New()
		var h *soleHost
		defer func() { h.stop() }()
		h = startSoleHost(store, "i1")
		time.Sleep(time.Second)
		h.crashUnderPart(c, "5c", 0, 3)
		h.crashUnderPart(c, "6d", 10, 2)
		time.Sleep(time.Second)
		h.crashUnderPart(c, "5c", 3, 1)
		time.Sleep(time.Second)
		h.stop()

		client := store.Client(latency)
		client.SetPartitioned(true)
		h = startSoleHostWith(client, "i2")
		time.Sleep(8 * time.Second)
		client.SetPartitioned(false)
		time.Sleep(2 * time.Second)
		c.Assert(h.refuses("5c"), qt.IsTrue)
		c.Assert(h.refuses("6d"), qt.IsFalse)
		crashes := h.core.State().PartCrashes
		c.Assert(crashes, qt.HasLen, 4)
		h.core.ReportAnswered([]string{"5c"})
		time.Sleep(time.Minute)
		h.stop()

		h = startSoleHost(store, "i3")
		time.Sleep(time.Second)
		c.Assert(h.refuses("5c"), qt.IsFalse)
	})
}
