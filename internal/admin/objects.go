package admin

import (
	"context"
	"net/http"
	"sort"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/internal/route"
	"github.com/masticscale/masticscale/internal/service"
	"github.com/masticscale/masticscale/internal/team"
)

// Named is an object with its name.
type Named[T any] struct {
	Name string `json:"name"`
	Spec T      `json:"spec"`
	// Version is the state that was read; an update needs it. It is zero for
	// an object that stands in the configuration.
	Version int64 `json:"version,omitempty"`
}

// List is a list of objects.
type List[T any] struct {
	Items []T `json:"items"`
}

type validator interface{ Validate() error }

// objects describes one kind of object that operators make one by one.
type objects[T validator] struct {
	kind    objstore.Kind
	plural  string
	current func(*catalog.Snapshot) map[string]T
	fleet   func(config.Fleet) map[string]T
	// usedBy names what depends on an object; empty when nothing does.
	usedBy func(s *catalog.Snapshot, name string) string
	// fits checks a new state against the rest of the catalog.
	fits func(ctx context.Context, a *API, name string, spec T) error
}

var teamObjects = objects[team.Spec]{
	kind: objstore.KindTeam, plural: "teams",
	current: func(s *catalog.Snapshot) map[string]team.Spec { return s.Teams },
	fleet:   func(f config.Fleet) map[string]team.Spec { return f.Teams },
	usedBy:  activeKeyOf,
	fits:    func(context.Context, *API, string, team.Spec) error { return nil },
}

var routeObjects = objects[route.Spec]{
	kind: objstore.KindRoute, plural: "routes",
	current: func(s *catalog.Snapshot) map[string]route.Spec { return s.Routes },
	fleet:   func(f config.Fleet) map[string]route.Spec { return f.Routes },
	usedBy:  func(*catalog.Snapshot, string) string { return "" },
	fits:    routeFits,
}

var serviceObjects = objects[service.Spec]{
	kind: objstore.KindService, plural: "services",
	current: func(s *catalog.Snapshot) map[string]service.Spec { return s.Services },
	fleet:   func(f config.Fleet) map[string]service.Spec { return f.Services },
	usedBy:  routeTo,
	fits:    serviceFits,
}

func (o objects[T]) endpoints(a *API, one, many any) []endpoint {
	base := "/" + o.plural
	return []endpoint{
		{"GET", base, "List the " + o.plural, nil, nil, many, func(*http.Request) (any, error) { return o.list(a), nil }},
		{"POST", base, "Create one of the " + o.plural, nil, one, one, func(r *http.Request) (any, error) { return o.create(a, r) }},
		{"GET", base + "/{name}", "Read one of the " + o.plural, nil, nil, one, func(r *http.Request) (any, error) { return o.read(a, r) }},
		{"PUT", base + "/{name}", "Change one of the " + o.plural, nil, one, one, func(r *http.Request) (any, error) { return o.update(a, r) }},
		{"DELETE", base + "/{name}", "Delete one of the " + o.plural, nil, nil, one, func(r *http.Request) (any, error) { return o.remove(a, r) }},
	}
}

func (o objects[T]) list(a *API) List[Named[T]] {
	list := List[Named[T]]{Items: []Named[T]{}}
	for name, spec := range o.current(a.catalog.Current()) {
		list.Items = append(list.Items, Named[T]{Name: name, Spec: spec})
	}
	sort.Slice(list.Items, func(i, j int) bool { return list.Items[i].Name < list.Items[j].Name })
	return list
}

func (o objects[T]) create(a *API, r *http.Request) (any, error) {
	var n Named[T]
	if err := decode(r, &n); err != nil {
		return nil, err
	}
	if !team.ValidName(n.Name) {
		return nil, apierr.Newf(apierr.Invalid, "use lower case letters, digits, dots and dashes", "name %q is not valid", n.Name).At("name")
	}
	if err := o.check(a, r, n.Name, n.Spec); err != nil {
		return nil, err
	}
	if _, exists := o.current(a.catalog.Current())[n.Name]; exists {
		return nil, apierr.Newf(apierr.Conflict, "choose another name, or change the one that exists", "%q exists already", n.Name)
	}
	stored, err := a.store.Create(r.Context(), o.kind, n.Name, n.Spec)
	if err != nil {
		return nil, err
	}
	n.Version = stored.Version
	return n, nil
}

func (o objects[T]) check(a *API, r *http.Request, name string, spec T) error {
	if err := spec.Validate(); err != nil {
		return err
	}
	return o.fits(r.Context(), a, name, spec)
}

// configured returns an error when the name stands in the configuration, whose
// entries win over objects.
func (o objects[T]) configured(a *API, name string) error {
	if _, stands := o.fleet(a.catalog.Fleet())[name]; stands {
		return apierr.Newf(apierr.Invalid, "change the file and run 'config apply'", "%q stands in the configuration", name)
	}
	return nil
}

func (o objects[T]) read(a *API, r *http.Request) (any, error) {
	name := r.PathValue("name")
	if spec, stands := o.fleet(a.catalog.Fleet())[name]; stands {
		return Named[T]{Name: name, Spec: spec}, nil
	}
	stored, err := a.store.Get(r.Context(), o.kind, name)
	if err != nil {
		return nil, err
	}
	n := Named[T]{Name: name, Version: stored.Version}
	return n, stored.Decode(&n.Spec)
}

// update replaces an object if it is still as the operator read it.
func (o objects[T]) update(a *API, r *http.Request) (any, error) {
	var n Named[T]
	if err := decode(r, &n); err != nil {
		return nil, err
	}
	name := r.PathValue("name")
	if n.Name != "" && n.Name != name {
		return nil, apierr.Newf(apierr.Invalid, "send the name of the path, or none", "the body names %q", n.Name).At("name")
	}
	if err := o.configured(a, name); err != nil {
		return nil, err
	}
	if n.Version <= 0 {
		return nil, apierr.New(apierr.Invalid, "the update names no version", "read the object and send the version that you read").At("version")
	}
	if err := o.check(a, r, name, n.Spec); err != nil {
		return nil, err
	}
	stored, err := a.store.Update(r.Context(), o.kind, name, n.Version, n.Spec)
	if err != nil {
		return nil, err
	}
	return Named[T]{Name: name, Spec: n.Spec, Version: stored.Version}, nil
}

func (o objects[T]) remove(a *API, r *http.Request) (any, error) {
	name := r.PathValue("name")
	if err := o.configured(a, name); err != nil {
		return nil, err
	}
	if user := o.usedBy(a.catalog.Current(), name); user != "" {
		return nil, apierr.Newf(apierr.Conflict, "end what depends on it first", "%q is in use by %s", name, user)
	}
	stored, err := a.store.Get(r.Context(), o.kind, name)
	if err != nil {
		return nil, err
	}
	return Named[T]{Name: name}, a.store.Delete(r.Context(), o.kind, name, stored.Version)
}
