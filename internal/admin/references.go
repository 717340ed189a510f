package admin

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/internal/route"
	"github.com/masticscale/masticscale/internal/service"
)

// findActiveKey returns a description of an active key of a team, or "".
func findActiveKey(s *catalog.Snapshot, name string) string {
	for id, k := range s.Keys {
		if k.Team == name && k.Active() {
			return fmt.Sprintf("key %s (%s)", id, k.Label)
		}
	}
	return ""
}

// findRouteTo returns a description of a route to a service, or "".
func findRouteTo(s *catalog.Snapshot, name string) string {
	for _, r := range slices.Sorted(maps.Keys(s.Routes)) {
		if s.Routes[r].Service == name {
			return "route " + r
		}
	}
	return ""
}

// checkRoute checks that a route leads to a plain service and overlaps no other
// route.
func checkRoute(ctx context.Context, a *API, name string, spec route.Spec) error {
	target, err := a.findService(ctx, spec.Service)
	if err != nil {
		return err
	}
	if target.Kind != service.Plain {
		return apierr.Newf(apierr.Invalid, "name a plain service; engines are reached by their models",
			"service %q is not a plain service", spec.Service).At("service")
	}
	for other, r := range a.catalog.Current().Routes {
		if other != name && r.Overlaps(spec) {
			return apierr.Newf(apierr.Conflict, "give each path and method to one route", "path %q is that of route %q too", spec.Path, other).At("path")
		}
	}
	return nil
}

// findService returns a service from the catalog, or from the platform if the
// catalog does not contain it yet.
func (a *API) findService(ctx context.Context, name string) (service.Spec, error) {
	spec, known := a.catalog.Current().Services[name]
	if known {
		return spec, nil
	}
	stored, err := a.store.Get(ctx, objstore.KindService, name)
	if errors.Is(err, objstore.ErrNotFound) {
		return spec, apierr.Newf(apierr.NotFound, "create the service first", "service %q does not exist", name).At("service")
	}
	if err != nil {
		return spec, err
	}
	return spec, stored.Decode(&spec)
}

// checkService checks that no other service offers the same model.
func checkService(_ context.Context, a *API, name string, spec service.Spec) error {
	for other, s := range a.catalog.Current().Services {
		if other == name {
			continue
		}
		for _, model := range spec.Models {
			if slices.Contains(s.Models, model) {
				return apierr.Newf(apierr.Conflict, "offer each model by one service", "model %q is offered by service %q too", model, other).At("models")
			}
		}
	}
	return nil
}
