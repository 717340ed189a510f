package knowledge

import (
	"encoding/json"
	"fmt"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/objstore"
)

// jsonDecoder decodes upstreams as JSON and counts them. Tests of this file use no other
// part of Decoder.
type jsonDecoder struct {
	Decoder
	decoded int
}

// DecodeUpstream implements Decoder.
func (d *jsonDecoder) DecodeUpstream(id string, raw json.RawMessage) (fleet.Upstream, error) {
	d.decoded++
	var u fleet.Upstream
	err := json.Unmarshal(raw, &u)
	u.ID = id
	return u, err
}

// newLargeFleet returns the syncer of a host that has heard from all other hosts of a
// fleet in three data centres.
func newLargeFleet(hosts int) (*Syncer, *jsonDecoder) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := entry.Identity{Name: "h0", Incarnation: "h0/1", DataCentre: "dc0", PeerAddress: "h0"}
	core := entry.NewCore(self, log)
	decoder := &jsonDecoder{}
	hearPeers(core, hosts)
	return NewSyncer(self, nil, nil, decoder, core, nil, log), decoder
}

// hearPeers merges the first state of each other host.
func hearPeers(core *entry.Core, hosts int) {
	for i := range hosts {
		name := fmt.Sprint("h", i)
		core.MergeState(mesh.State{Host: name, Incarnation: name, DataCentre: fmt.Sprint("dc", i%3), Address: name})
	}
}

// registration returns the event of an upstream that registers.
func registration(i int) objstore.Event {
	raw := fmt.Sprintf(`{"Service":"lm","Slots":8,"Address":"u%d:80","DataCentre":"dc%d"}`, i, i%3)
	o := objstore.Object{Name: fmt.Sprintf("u%05d", i), Version: int64(i + 2), Value: json.RawMessage(raw)}
	return objstore.Event{Type: objstore.EventPut, Object: o}
}

// TestEachRegistrationIsDecodedOnce guards against work for each event that grows with the
// number of upstreams.
func TestEachRegistrationIsDecodedOnce(t *testing.T) {
	c := qt.New(t)
	s, decoder := newLargeFleet(20)
	for i := range 100 {
		s.applyUpstream(registration(i))
	}
	c.Assert(decoder.decoded, qt.Equals, 100)
	var listed []objstore.Object
	for i := range 101 {
		listed = append(listed, registration(i).Object)
	}
	s.resetUpstreams(listed, 200)
	c.Assert(decoder.decoded, qt.Equals, 101, qt.Commentf("known entries are not decoded again"))
	c.Assert(s.core.UpstreamAddresses(), qt.HasLen, 101)
}

// TestAdoptedListReplacesTheOwn checks that a peer's list adds, changes and removes
// upstreams, and that entries which it leaves as they are aren't decoded again.
func TestAdoptedListReplacesTheOwn(t *testing.T) {
	c := qt.New(t)
	s, decoder := newLargeFleet(20)
	for i := range 3 {
		s.applyUpstream(registration(i))
	}
	decoder.decoded = 0
	changed := registration(9).Object.Value
	s.adoptUpstreams(mesh.Snapshot{Versions: mesh.Versions{Upstreams: 50}, Upstreams: map[string][]byte{
		"u00000": registration(0).Object.Value, "u00001": changed, "u00003": registration(3).Object.Value,
	}}, "h1")
	c.Assert(decoder.decoded, qt.Equals, 2)
	c.Assert(s.core.UpstreamAddresses(), qt.DeepEquals, map[string]bool{"u0:80": true, "u9:80": true, "u3:80": true})
	c.Assert(s.core.State().UpstreamsVersion, qt.Equals, int64(50))
}

// BenchmarkRegistrations measures the registration of 3,000 upstreams, one after the
// other, at a host of 300.
func BenchmarkRegistrations(b *testing.B) {
	for b.Loop() {
		s, _ := newLargeFleet(300)
		for i := range 3000 {
			s.applyUpstream(registration(i))
		}
	}
}

// BenchmarkPeersHeard measures the first states of 299 peers at a host that knows 3,000
// upstreams.
func BenchmarkPeersHeard(b *testing.B) {
	var list []fleet.Upstream
	for i := range 3000 {
		list = append(list, fleet.Upstream{ID: fmt.Sprintf("u%05d", i), Service: "lm", Slots: 8, DataCentre: fmt.Sprint("dc", i%3)})
	}
	for b.Loop() {
		b.StopTimer()
		s, _ := newLargeFleet(1)
		s.core.SetUpstreams(list, 1)
		b.StartTimer()
		hearPeers(s.core, 300)
	}
}

// BenchmarkAdoptedLists measures a peer's list of 3,000 upstreams, one of which is new, at a
// host of 300.
func BenchmarkAdoptedLists(b *testing.B) {
	s, _ := newLargeFleet(300)
	upstreams := map[string][]byte{}
	for i := range 3000 {
		o := registration(i).Object
		upstreams[o.Name] = o.Value
	}
	for i := 3000; b.Loop(); i++ {
		o := registration(i).Object
		upstreams["new"] = o.Value
		s.adoptUpstreams(mesh.Snapshot{Versions: mesh.Versions{Upstreams: o.Version}, Upstreams: upstreams}, "h1")
	}
}
