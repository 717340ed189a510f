package knowledge_test

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/emulator/memstore"
	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/knowledge"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/objstore"
)

const (
	kindConfig    objstore.Kind = "test-config"
	kindUpstreams objstore.Kind = "test-upstreams"
)

// decoder reads documents as JSON of the project's own types.
type decoder struct{}

func (decoder) ConfigKind() objstore.Kind   { return kindConfig }
func (decoder) ConfigName() string          { return "main" }
func (decoder) UpstreamKind() objstore.Kind { return kindUpstreams }

func (decoder) DecodeConfig(raw json.RawMessage) (*fleet.Config, error) {
	c := &fleet.Config{}
	err := json.Unmarshal(raw, c)
	if err == nil && c.Version == 0 {
		err = errors.New("no version")
	}
	return c, err
}

func (decoder) DecodeUpstream(id string, raw json.RawMessage) (fleet.Upstream, error) {
	var u fleet.Upstream
	err := json.Unmarshal(raw, &u)
	u.ID = id
	return u, err
}

// peers plays the other hosts.
type peers struct {
	mu       sync.Mutex
	document mesh.Snapshot
	joined   map[string]bool
}

func (p *peers) FetchSnapshot(context.Context, string, int64, int64) (mesh.Snapshot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.document, nil
}

func (p *peers) SetPeers(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.joined = addresses
}

func (p *peers) has(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.joined[address]
}

func (p *peers) set(d mesh.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.document = d
}

type world struct {
	store  *memstore.Store
	writer *memstore.Client
	client *memstore.Client
	core   *entry.Core
	source *knowledge.Syncer
	peers  *peers
}

const latency = 4 * time.Millisecond

// play runs a host's source in virtual time.
func play(t *testing.T, run func(c *qt.C, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		self := entry.Identity{Name: "h1", Incarnation: "i1", DataCentre: "dc", PeerAddress: "h1:1"}
		w := &world{store: memstore.New(), core: entry.NewCore(self, log), peers: &peers{}}
		w.writer, w.client = w.store.Client(latency), w.store.Client(latency)
		w.source = knowledge.NewSyncer(self, w.client, w.client, decoder{}, w.core, []string{"seed:1"}, log)
		w.source.SetPeerClient(w.peers)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { w.source.Run(ctx) })
		defer func() {
			cancel()
			wg.Wait()
		}()
		run(qt.New(t), w)
	})
}

func (w *world) writeConfig(c *qt.C, version int64, on int64) int64 {
	o, err := w.write(kindConfig, "main", on, fleet.Config{Version: version})
	c.Assert(err, qt.IsNil)
	return o.Version
}

func (w *world) write(kind objstore.Kind, name string, on int64, value any) (objstore.Object, error) {
	if on == 0 {
		return w.writer.Create(context.Background(), kind, name, value)
	}
	return w.writer.Update(context.Background(), kind, name, on, value)
}

func (w *world) writeUpstream(c *qt.C, name string) int64 {
	o, err := w.write(kindUpstreams, name, 0, fleet.Upstream{Service: "lm", Slots: 8, Address: name})
	c.Assert(err, qt.IsNil)
	return o.Version
}

func (w *world) listed() int { return len(w.core.UpstreamAddresses()) }

func TestChangesAreInForceSoon(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		c.Assert(w.source.Ready(), qt.IsFalse)
		on := w.writeConfig(c, 3, 0)
		w.writeUpstream(c, "u1")
		time.Sleep(100 * time.Millisecond)
		c.Assert(w.source.Ready(), qt.IsTrue)
		c.Assert(w.listed(), qt.Equals, 1)
		w.writeConfig(c, 9, on)
		time.Sleep(20 * time.Millisecond)
		c.Assert(w.core.Config().Version, qt.Equals, int64(9))
	})
}

func TestUnreadableDocumentsLeaveTheOldOnes(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		on := w.writeConfig(c, 3, 0)
		w.writeUpstream(c, "u1")
		_, err := w.write(kindUpstreams, "u2", 0, "no entry")
		c.Assert(err, qt.IsNil)
		_, err = w.write(kindConfig, "main", on, []int{1})
		c.Assert(err, qt.IsNil)
		time.Sleep(100 * time.Millisecond)
		c.Assert(w.core.Config().Version, qt.Equals, int64(3))
		c.Assert(w.listed(), qt.Equals, 1)
	})
}

// TestLapsedEntries replays an outage of the store in which upstreams could not
// renew their entries: those that live come back within two seconds.
func TestLapsedEntries(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		v1, v2 := w.writeUpstream(c, "u1"), w.writeUpstream(c, "u2")
		w.writeConfig(c, 1, 0)
		time.Sleep(time.Second)
		w.client.SetDown(true)
		for name, version := range map[string]int64{"u1": v1, "u2": v2} {
			c.Assert(w.writer.Delete(context.Background(), kindUpstreams, name, version), qt.IsNil)
		}
		time.Sleep(5 * time.Second)
		c.Assert(w.listed(), qt.Equals, 2)
		w.client.SetDown(false)
		time.Sleep(1700 * time.Millisecond)
		c.Assert(w.listed(), qt.Equals, 2)
		v := w.writeUpstream(c, "u1")
		time.Sleep(4 * time.Second) // the host may find the store 2.2 s after it is back, and waits 2.2 s from then on
		c.Assert(w.listed(), qt.Equals, 1)
		c.Assert(w.writer.Delete(context.Background(), kindUpstreams, "u1", v), qt.IsNil)
		time.Sleep(50 * time.Millisecond)
		c.Assert(w.listed(), qt.Equals, 0) // calm again: taken at once
	})
}

// TestEntryThatGoesLongAfterAnOutage checks that an upstream whose entry goes
// long after the store is back is taken as gone at once. It failed where nothing
// had happened since: the watch that waited was not yet counted as working.
func TestEntryThatGoesLongAfterAnOutage(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		version := w.writeUpstream(c, "u1")
		w.writeConfig(c, 1, 0)
		time.Sleep(time.Second)
		w.client.SetDown(true)
		time.Sleep(5 * time.Second)
		w.client.SetDown(false)
		time.Sleep(8 * time.Second)
		c.Assert(w.writer.Delete(context.Background(), kindUpstreams, "u1", version), qt.IsNil)
		time.Sleep(50 * time.Millisecond)
		c.Assert(w.listed(), qt.Equals, 0)
	})
}

// TestCutOffHostLearnsFromPeers checks what a host takes from a peer while the
// store turns it away, and that it never goes back.
func TestCutOffHostLearnsFromPeers(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		w.writeConfig(c, 3, 0)
		w.writeUpstream(c, "u1")
		time.Sleep(time.Second)
		w.client.SetDown(true)
		time.Sleep(time.Second)
		newer, err := json.Marshal(fleet.Config{Version: 5})
		c.Assert(err, qt.IsNil)
		known := mesh.Snapshot{ConfigVersion: 5, Config: newer, UpstreamsVersion: 1000, Upstreams: map[string][]byte{
			"u2": []byte(`{"Service":"lm","Address":"u2","Slots":8}`), "u3": []byte(`{"Service":"lm","Address":"u3","Slots":8}`),
		}}
		w.peers.set(known)
		w.core.MergeState(mesh.State{Host: "h2", Incarnation: "i2", Address: "h2:1", ConfigVersion: 5, UpstreamsVersion: 1000})
		time.Sleep(300 * time.Millisecond)
		c.Assert(w.core.Config().Version, qt.Equals, int64(5))
		c.Assert(w.listed(), qt.Equals, 2)
		older, err := json.Marshal(fleet.Config{Version: 4})
		c.Assert(err, qt.IsNil)
		known.Config, known.ConfigVersion = older, 6
		w.peers.set(known)
		w.core.MergeState(mesh.State{Host: "h2", Incarnation: "i2", Address: "h2:1", ConfigVersion: 6, UpstreamsVersion: 1000})
		time.Sleep(300 * time.Millisecond)
		c.Assert(w.core.Config().Version, qt.Equals, int64(5))
	})
}

// TestDeafWatch replays a store that drops its history: watches that wait hear
// nothing any more and aren't cut. What a peer knows is taken. It failed with a
// revoked key in force after 6.8 s, on the bench.
func TestDeafWatch(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		w.writeConfig(c, 3, 0)
		w.writeUpstream(c, "u1")
		time.Sleep(time.Second)
		w.client.SetStale(true)
		newer, err := json.Marshal(fleet.Config{Version: 5})
		c.Assert(err, qt.IsNil)
		w.peers.set(mesh.Snapshot{ConfigVersion: 5, Config: newer, UpstreamsVersion: 1000, Upstreams: map[string][]byte{"u2": []byte(`{"Service":"lm","Address":"u2","Slots":8}`)}})
		w.core.MergeState(mesh.State{Host: "h2", Incarnation: "i2", Address: "h2:1", ConfigVersion: 5, UpstreamsVersion: 1000})
		time.Sleep(time.Second)
		c.Assert(w.core.Config().Version, qt.Equals, int64(5))
		c.Assert(w.core.UpstreamAddresses(), qt.DeepEquals, map[string]bool{"u2": true})
	})
}

// TestHostsFindEachOther checks that a host publishes itself, again after its
// entry was removed, and joins those it finds.
func TestHostsFindEachOther(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		time.Sleep(100 * time.Millisecond)
		_, err := w.write(knowledge.KindHost, "h2", 0, map[string]string{"address": "h2:1"})
		c.Assert(err, qt.IsNil)
		time.Sleep(100 * time.Millisecond)
		c.Assert(w.peers.has("h2:1"), qt.IsTrue)
		own, err := w.writer.Get(context.Background(), knowledge.KindHost, "h1")
		c.Assert(err, qt.IsNil)
		c.Assert(w.writer.Delete(context.Background(), knowledge.KindHost, "h1", own.Version), qt.IsNil)
		time.Sleep(time.Second)
		_, err = w.writer.Get(context.Background(), knowledge.KindHost, "h1")
		c.Assert(err, qt.IsNil)
	})
}

// TestRemovedHostIsPruned checks that a host that was never heard and is gone
// for good loses its entry, so that its part of every rate goes to the others.
func TestRemovedHostIsPruned(t *testing.T) {
	play(t, func(c *qt.C, w *world) {
		_, err := w.write(knowledge.KindHost, "h9", 0, map[string]string{"address": "h9:1"})
		c.Assert(err, qt.IsNil)
		time.Sleep(10 * time.Second)
		c.Assert(w.core.SeesMajority(), qt.IsFalse)
		time.Sleep(12 * time.Second)
		_, err = w.writer.Get(context.Background(), knowledge.KindHost, "h9")
		c.Assert(errors.Is(err, objstore.ErrNotFound), qt.IsTrue)
		c.Assert(w.core.SeesMajority(), qt.IsTrue)
	})
}
