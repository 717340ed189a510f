//go:build wireinject

package app

import (
	"github.com/google/wire"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/admin"
	"github.com/masticscale/masticscale/internal/admission"
	"github.com/masticscale/masticscale/internal/batch"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/claim/claimstore"
	"github.com/masticscale/masticscale/internal/claim/keeper"
	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/gateway"
	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/internal/order/orderer"
	"github.com/masticscale/masticscale/internal/order/orderstore"
	"github.com/masticscale/masticscale/internal/peer"
	"github.com/masticscale/masticscale/internal/ratelimit"
	"github.com/masticscale/masticscale/internal/serving"
	"github.com/masticscale/masticscale/internal/telemetry"
	"github.com/masticscale/masticscale/internal/upstream"
	"github.com/masticscale/masticscale/internal/upstream/httpengine"
	"github.com/masticscale/masticscale/internal/upstream/httporder"
)

// NewHost builds an entry host from its settings.
func NewHost(settings config.Host, out LogOutput) (*Host, error) {
	panic(wire.Build(hostSet))
}

var hostSet = wire.NewSet(
	assembleHost,
	wire.Struct(new(components), "*"),
	newLogger, wire.Bind(new(logrus.FieldLogger), new(*logrus.Logger)),
	telemetry.NewMetrics,
	newPlatformClient,
	wire.Bind(new(objstore.Store), new(*objstore.Client)),
	wire.Bind(new(objstore.HostLister), new(*objstore.Client)),
	catalog.New, newCatalogSyncer, newCatalogGossip, peer.NewCatalogServer,
	newRegistry, wire.Bind(new(membership.View), new(*membership.Registry)),
	httpengine.New, wire.Bind(new(upstream.Engine), new(*httpengine.Engine)),
	dispatch.NewPool, dispatch.NewObserver, dispatch.NewDispatcher,
	fingerprintKey, dispatch.NewSuspects, dispatch.NewGossip, wire.Bind(new(dispatch.Peers), new(*peer.Client)), peer.NewLoadServer,
	admission.NewController, wire.Bind(new(admission.UpstreamPool), new(*dispatch.Pool)),
	serving.NewPipeline,
	newRateMetrics, newSpecLookup,
	newPeerAddresses, ratelimit.NewShareLimiter, wire.Bind(new(ratelimit.Limiter), new(*ratelimit.ShareLimiter)),
	wire.Bind(new(ratelimit.Membership), new(*membership.Registry)),
	wire.Bind(new(ratelimit.PeerClient), new(*peer.Client)),
	peer.NewRateLimitServer, wire.Bind(new(peer.Lender), new(*ratelimit.ShareLimiter)),
	batch.NewRepository, batch.NewService, batch.NewRunner,
	batch.NewPathExecutor, wire.Bind(new(batch.Executor), new(*batch.PathExecutor)),
	claimstore.New, keeper.New, gateway.New,
	peer.NewServer, newPeerClient, wire.Bind(new(admin.StatusReader), new(*peer.Client)), wire.Bind(new(catalog.PeerClient), new(*peer.Client)),
	wire.Bind(new(admin.RevisionAdopter), new(*catalog.Syncer)), wire.Bind(new(admin.WithdrawalBroadcaster), new(*catalog.Gossip)),
	orderstore.New, wire.Bind(new(orderer.Repository), new(*orderstore.Store)), newOrderTargets,
	httporder.New, wire.Bind(new(orderer.Sender), new(*httporder.Sender)),
	wire.Bind(new(orderer.Prober), new(*peer.Client)), orderer.NewOrderer,
	operatorTokens, wire.Struct(new(admin.Deps), "*"), admin.New,
)
