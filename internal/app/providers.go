package app

import (
	"crypto/sha256"
	"maps"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/admin"
	"github.com/masticscale/masticscale/internal/admission"
	"github.com/masticscale/masticscale/internal/batch"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/claim/keeper"
	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/gateway"
	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/internal/order/orderer"
	"github.com/masticscale/masticscale/internal/peer"
	"github.com/masticscale/masticscale/internal/ratelimit"
	"github.com/masticscale/masticscale/internal/team"
	"github.com/masticscale/masticscale/internal/telemetry"
	"github.com/masticscale/masticscale/internal/upstream/httpengine"
	"github.com/masticscale/masticscale/platform"
)

// components holds the objects that make up a host. Wire builds them.
type components struct {
	Settings      config.Host
	Log           *logrus.Logger
	Metrics       *telemetry.Metrics
	Catalog       *catalog.Catalog
	CatalogSyncer *catalog.Syncer
	CatalogGossip *catalog.Gossip
	Registry      *membership.Registry
	Pool          *dispatch.Pool
	Observer      *dispatch.Observer
	LoadGossip    *dispatch.Gossip
	Suspects      *dispatch.Suspects
	Loads         *peer.LoadServer
	Admission     *admission.Controller
	Runner        *batch.Runner
	Orderer       *orderer.Orderer
	Gateway       *gateway.Gateway
	Claims        *keeper.Keeper
	Admin         *admin.API
	Peers         *peer.Server
	Catalogs      *peer.CatalogServer
	Client        *objstore.Client
	Engine        *httpengine.Engine
	PeerCalls     *peer.Client
	Rates         *ratelimit.ShareLimiter
	RatePeers     *peer.RateLimitServer
}

func assembleHost(p components) *Host {
	return &Host{components: p, drainer: newDrainer()}
}

func newLogger(s config.Host, out LogOutput) (*logrus.Logger, error) {
	return telemetry.NewLogger(out, s.LogLevel, s.Name)
}

func newPlatformClient(s config.Host, m *telemetry.Metrics, log logrus.FieldLogger) *objstore.Client {
	store := platform.NewStore(s.Platform, platform.Dial(m.CountingDial(telemetry.LinkPlatform)), log)
	return objstore.NewClient(store, s.Name, objstore.WithObserver(m))
}

// orderTargets looks up the targets of orders in the catalog.
type orderTargets struct{ catalog *catalog.Catalog }

// Target implements orderer.Targets.
func (t orderTargets) Target(service, name string) (orderer.Target, bool) {
	spec, known := t.catalog.Current().Services[service].Upstreams[name]
	return orderer.Target{Address: spec.Address, ChecksFencing: spec.ChecksFencing}, known
}

func newOrderTargets(c *catalog.Catalog) orderer.Targets { return orderTargets{c} }

func newCatalogSyncer(store objstore.Store, c *catalog.Catalog, s config.Host, log logrus.FieldLogger) (*catalog.Syncer, error) {
	syncer := catalog.NewSyncer(store, c, s.Site, log)
	if s.DataFolder == "" {
		return syncer, nil
	}
	stateFile, err := catalog.NewStateFile(s.DataFolder)
	if err != nil {
		return nil, err
	}
	syncer.PersistTo(stateFile)
	return syncer, nil
}

func newCatalogGossip(syncer *catalog.Syncer, members membership.View, peers catalog.PeerClient, s config.Host, log logrus.FieldLogger) *catalog.Gossip {
	return catalog.NewGossip(syncer, members, peers, s.Peers, log)
}

func newRegistry(store objstore.Store, s config.Host, log logrus.FieldLogger) *membership.Registry {
	return membership.NewRegistry(store, membership.Host{
		Name: s.Name, DataCentre: s.DataCentre, PeerAddress: s.PeerAddress, AdminAddress: s.AdminAddress,
	}, log)
}

// fingerprintKey returns the key for request fingerprints. All hosts derive the same
// key from the shared operator token.
func fingerprintKey(s config.Host) dispatch.FingerprintKey {
	key := sha256.Sum256([]byte("request fingerprint\x00" + s.OperatorToken))
	return key[:]
}

func operatorTokens(s config.Host) admin.Tokens {
	tokens := admin.Tokens{}
	maps.Copy(tokens, s.OperatorTokens)
	if s.OperatorToken != "" {
		tokens[admin.SharedOperator] = s.OperatorToken
	}
	return tokens
}

func newRateMetrics(m *telemetry.Metrics) *ratelimit.Metrics {
	return ratelimit.NewMetrics(m.Registry)
}

func newPeerAddresses(g *catalog.Gossip) ratelimit.PeerAddresses { return g.RandomPeers }

func newSpecLookup(c *catalog.Catalog) ratelimit.SpecLookup {
	return func(name string) (team.Spec, bool) {
		spec, ok := c.Current().Teams[name]
		return spec, ok
	}
}
