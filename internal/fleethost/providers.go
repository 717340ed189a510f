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

// newIncarnation returns a name of this process that is greater than those of earlier ones, as
// far as the clock has not gone back.
func newIncarnation() string { return uuid.Must(uuid.NewV7()).String() }

func newIdentity(s Settings) entry.Identity {
	return entry.Identity{Name: s.Name, Incarnation: newIncarnation(), DataCentre: s.DataCentre, PeerAddress: s.Listen.PeersAt}
}

func newPlatformStore(s Settings, log logrus.FieldLogger) *platform.Store {
	return platform.NewStore("http://"+s.Store, platform.NewStoreDialer(), log)
}

func newStoreClient(s Settings, t objstore.Transport, m *telemetry.Metrics) *objstore.Client {
	return objstore.NewClient(t, s.Name, objstore.WithObserver(m), objstore.WithPollTimeouts(pollWait, pollResponseMargin), spacedPolls)
}

// spacedPolls keeps watches from polling once for each of many registrations.
var spacedPolls = objstore.WithPollInterval(pollInterval, platform.KindUpstreams, knowledge.KindHost)

// newShortPollStoreClient returns a client whose watches detect soon that they no
// longer deliver changes.
func newShortPollStoreClient(s Settings, t objstore.Transport, m *telemetry.Metrics) *objstore.Client {
	return objstore.NewClient(t, s.Name, objstore.WithObserver(m), objstore.WithPollTimeouts(shortPollWait, shortPollResponseMargin), spacedPolls)
}

// storeRelay makes calls to the platform's store through a peer that can reach it.
type storeRelay struct {
	core  *entry.Core
	peers *mesh.Mesh // set before the host's background loops start
}

func newStoreRelay(core *entry.Core) *storeRelay { return &storeRelay{core: core} }

func (r *storeRelay) call(ctx context.Context, c objstore.Call) (objstore.Page, error) {
	address, found := r.core.StoreRelayPeer()
	if !found {
		return objstore.Page{}, errors.Wrap(objstore.ErrUnavailable, "the platform's store doesn't serve this host, and no live peer can relay the call")
	}
	return r.peers.StoreCall(ctx, address, c)
}

// newRunner returns a job runner. A peer relays its calls to the store while the store
// doesn't serve this host.
func newRunner(s Settings, self entry.Identity, core *entry.Core, direct *platform.Store, relay *storeRelay, u entry.UpstreamClient, m *telemetry.Metrics, log logrus.FieldLogger) *jobs.Runner {
	store := newStoreClient(s, objstore.NewRelayedTransport(direct, relay.call, core.RecordStoreCall), m)
	r := jobs.NewRunner(self, core, store, u, m, log)
	r.SetTTL(time.Duration(s.KeepSeconds * float64(time.Second)))
	return r
}

// newSyncer returns a syncer that watches the store directly. It needs no relay,
// because it fetches the snapshots of peers while the store is unavailable.
func newSyncer(s Settings, self entry.Identity, core *entry.Core, direct *platform.Store, m *telemetry.Metrics, log logrus.FieldLogger) *knowledge.Syncer {
	syncer := knowledge.NewSyncer(self, newStoreClient(s, direct, m), newShortPollStoreClient(s, direct, m), platform.Decoder{}, core, s.Seeds, log)
	syncer.SetIdleCloser(direct.Close)
	if platform.FeaturesOf(s.Terms).Evacuation {
		syncer.WatchEvacuations()
	}
	core.SetRegistry(syncer)
	return syncer
}
