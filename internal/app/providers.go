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

// parts are the parts that a host runs.
type parts struct {
	Settings  config.Host
	Log       *logrus.Logger
	Metrics   *telemetry.Metrics
	Catalog   *catalog.Catalog
	Source    *catalog.Syncer
	Relay     *catalog.Gossip
	Registry  *membership.Registry
	Pool      *dispatch.Pool
	Observer  *dispatch.Observer
	Exchange  *dispatch.Gossip
	Suspects  *dispatch.Suspects
	Loads     *peer.LoadServer
	Admission *admission.Controller
	Runner    *batch.Runner
	Orderer   *orderer.Orderer
	Gateway   *gateway.Gateway
	Claims    *keeper.Keeper
	Admin     *admin.API
	Peers     *peer.Server
	Catalogs  *peer.CatalogServer
	Client    *objstore.Client
	Engine    *httpengine.Engine
	PeerCalls *peer.Client
	Rates     *ratelimit.ShareLimiter
	RatePeers *peer.RateLimitServer
}

func assemble(p parts) *Host {
	return &Host{parts: p, drain: newDrain()}
}

func newLogger(s config.Host, out LogOutput) (*logrus.Logger, error) {
	return telemetry.NewLogger(out, s.LogLevel, s.Name)
}

func newPlatformClient(s config.Host, m *telemetry.Metrics, log logrus.FieldLogger) *objstore.Client {
	store := platform.NewStore(s.Platform, platform.Dial(m.CountingDial(telemetry.LinkPlatform)), log)
	return objstore.NewClient(store, s.Name, objstore.WithObserver(m))
}

// orderTargets finds the upstreams of the catalog.
type orderTargets struct{ catalog *catalog.Catalog }

// Target implements orderer.Targets.
func (t orderTargets) Target(service, name string) (orderer.Target, bool) {
	spec, known := t.catalog.Current().Services[service].Upstreams[name]
	return orderer.Target{Address: spec.Address, ChecksFencing: spec.ChecksFencing}, known
}

func newOrderTargets(c *catalog.Catalog) orderer.Targets { return orderTargets{c} }

func newSource(store objstore.Store, c *catalog.Catalog, s config.Host, log logrus.FieldLogger) (*catalog.Syncer, error) {
	source := catalog.NewSyncer(store, c, s.Site, log)
	if s.DataFolder == "" {
		return source, nil
	}
	folder, err := catalog.NewStateFile(s.DataFolder)
	if err != nil {
		return nil, err
	}
	source.PersistTo(folder)
	return source, nil
}

func newRelay(source *catalog.Syncer, members membership.View, peers catalog.PeerClient, s config.Host, log logrus.FieldLogger) *catalog.Gossip {
	return catalog.NewGossip(source, members, peers, s.Peers, log)
}

func newRegistry(store objstore.Store, s config.Host, log logrus.FieldLogger) *membership.Registry {
	return membership.NewRegistry(store, membership.Host{
		Name: s.Name, DataCentre: s.DataCentre, PeerAddress: s.PeerAddress, AdminAddress: s.AdminAddress,
	}, log)
}

// fingerprintKey is the same on every host, since all share the operators' token.
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

func newRatePeers(r *catalog.Gossip) ratelimit.PeerAddresses { return r.RandomPeers }

func newSpecs(c *catalog.Catalog) ratelimit.SpecLookup {
	return func(name string) (team.Spec, bool) {
		spec, ok := c.Current().Teams[name]
		return spec, ok
	}
}
