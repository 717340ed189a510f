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

// activeKeyOf names a key that still runs requests for a team.
func activeKeyOf(s *catalog.Snapshot, name string) string {
	for id, k := range s.Keys {
		if k.Team == name && k.Active() {
			return fmt.Sprintf("key %s (%s)", id, k.Label)
		}
	}
	return ""
}

// routeTo names a route that leads to a service.
func routeTo(s *catalog.Snapshot, name string) string {
	for _, r := range slices.Sorted(maps.Keys(s.Routes)) {
		if s.Routes[r].Service == name {
			return "route " + r
		}
	}
	return ""
}

// routeFits checks that a route leads to a plain service and that no other
// route takes its requests.
func routeFits(ctx context.Context, a *API, name string, spec route.Spec) error {
	target, err := a.serviceNow(ctx, spec.Service)
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

// serviceNow finds a service here, or in the platform when it is too new to be
// known here.
func (a *API) serviceNow(ctx context.Context, name string) (service.Spec, error) {
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

// serviceFits checks that no other service offers the same model.
func serviceFits(_ context.Context, a *API, name string, spec service.Spec) error {
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
