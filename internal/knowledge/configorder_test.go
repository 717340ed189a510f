package knowledge

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/fleet"
)

// configDecoder decodes configurations that hold only their version.
type configDecoder struct{ Decoder }

// DecodeConfig implements Decoder.
func (configDecoder) DecodeConfig(raw json.RawMessage) (*fleet.Config, error) {
	var c fleet.Config
	return &c, json.Unmarshal(raw, &c)
}

// TestPeersGetAnOlderConfigThanIsInForce guards against a host that goes on passing an older
// configuration to peers, because one came from the store and one from a peer at the same
// moment.
func TestPeersGetAnOlderConfigThanIsInForce(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	core := entry.NewCore(entry.Identity{Name: "h1", Incarnation: "i1", DataCentre: "dc"}, log)
	syncer := NewSyncer(entry.Identity{Name: "h1"}, nil, nil, configDecoder{}, core, nil, log)
	for version := int64(1); version < 40_000; version += 2 {
		var sources sync.WaitGroup
		for i, from := range []string{"store", "peer"} {
			raw := json.RawMessage(fmt.Sprintf(`{"Version":%d}`, version+int64(i)))
			sources.Go(func() { syncer.activateConfig(raw, from) })
		}
		sources.Wait()
		c.Assert(syncer.Snapshot().Versions.Config, qt.Equals, core.Config().Version)
	}
}
