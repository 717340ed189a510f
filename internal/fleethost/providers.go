package fleethost

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/jobs"
	"github.com/masticscale/masticscale/internal/knowledge"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/internal/telemetry"
	"github.com/masticscale/masticscale/platform"
)

func newIdentity(s Settings) entry.Identity {
	return entry.Identity{Name: s.Name, Incarnation: uuid.NewString(), DataCentre: s.DataCentre, PeerAddress: s.Listen.PeersAt}
}

func newTransport(s Settings, log logrus.FieldLogger) *platform.Store {
	return platform.NewStore("http://"+s.Store, platform.NewStoreDialer(), log)
}

func newStore(s Settings, t objstore.Transport, m *telemetry.Metrics) *objstore.Client {
	return objstore.NewClient(t, s.Name, objstore.WithObserver(m), objstore.WithPollTimeouts(watchWait, watchAnswer))
}

// newQuickStore returns a client whose watches find out soon that they are deaf.
func newQuickStore(s Settings, t objstore.Transport, m *telemetry.Metrics) *objstore.Client {
	return objstore.NewClient(t, s.Name, objstore.WithObserver(m), objstore.WithPollTimeouts(quickWait, quickAnswer))
}

// storeRelay makes calls to the platform's store through a peer that it serves.
type storeRelay struct {
	core  *entry.Core
	peers *mesh.Mesh // set before the host's duties start
}

func newStoreRelay(core *entry.Core) *storeRelay { return &storeRelay{core: core} }

func (r *storeRelay) call(ctx context.Context, c objstore.Call) (objstore.Page, error) {
	address, found := r.core.StoreRelayPeer()
	if !found {
		return objstore.Page{}, errors.Wrap(objstore.ErrUnavailable, "the platform's store turns this host away, and no peer reaches it")
	}
	return r.peers.StoreCall(ctx, address, c)
}

// newRunner returns a runner whose calls to the store go through a peer while
// the store turns this host away.
func newRunner(s Settings, self entry.Identity, core *entry.Core, direct *platform.Store, relay *storeRelay, u entry.UpstreamClient, m *telemetry.Metrics, log logrus.FieldLogger) *jobs.Runner {
	store := newStore(s, objstore.NewRelayedTransport(direct, relay.call, core.RecordStoreCall), m)
	r := jobs.NewRunner(self, core, store, u, m, log)
	r.SetTTL(time.Duration(s.KeepSecond * float64(time.Second)))
	return r
}

// newSource returns a source that follows the store directly: peers tell what
// they know themselves.
func newSource(s Settings, self entry.Identity, core *entry.Core, direct *platform.Store, m *telemetry.Metrics, log logrus.FieldLogger) *knowledge.Syncer {
	return knowledge.NewSyncer(self, newStore(s, direct, m), newQuickStore(s, direct, m), platform.Decoder{}, core, s.Seeds, log)
}
