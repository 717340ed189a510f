//go:build wireinject

package fleethost

import (
	"github.com/google/wire"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/telemetry"
	"github.com/masticscale/masticscale/internal/upstream/connpool"
	"github.com/masticscale/masticscale/platform"
)

func newComponents(settings Settings, log *logrus.Logger) components {
	wire.Build(
		wire.Struct(new(components), "*"),
		wire.Bind(new(logrus.FieldLogger), new(*logrus.Logger)),
		wire.Bind(new(entry.UpstreamClient), new(*platform.Upstreams)),
		wire.Bind(new(entry.Connector), new(*platform.Upstreams)),
		telemetry.NewMetrics, connpool.New, platform.NewUpstreams,
		newIdentity, entry.NewCore, entry.NewHandler,
		newPlatformStore, newStoreRelay, newRunner, newSyncer, newGuards,
	)
	return components{}
}
