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

// Named is the representation of a named object in the API.
type Named[T any] struct {
	Name string `json:"name"`
	Spec T      `json:"spec"`
	// Version is the stored version that was read. An update must send it. It is
	// zero for an object defined in the configuration.
	Version int64 `json:"version,omitempty"`
}

// List is the body of a response with several objects.
type List[T any] struct {
	Items []T `json:"items"`
}

type validator interface{ Validate() error }

// resource describes one kind of object that operators manage individually.
type resource[T validator] struct {
	kind         objstore.Kind
	plural       string
	fromSnapshot func(*catalog.Snapshot) map[string]T
	fromFleet    func(config.Fleet) map[string]T
	// findDependent returns a description of something that depends on an object,
	// or "" if nothing does.
	findDependent func(s *catalog.Snapshot, name string) string
	// checkReferences validates a new spec against the rest of the catalog.
	checkReferences func(ctx context.Context, a *API, name string, spec T) error
}

var teamResource = resource[team.Spec]{
	kind: objstore.KindTeam, plural: "teams",
	fromSnapshot:    func(s *catalog.Snapshot) map[string]team.Spec { return s.Teams },
	fromFleet:       func(f config.Fleet) map[string]team.Spec { return f.Teams },
	findDependent:   findActiveKey,
	checkReferences: func(context.Context, *API, string, team.Spec) error { return nil },
}

var routeResource = resource[route.Spec]{
	kind: objstore.KindRoute, plural: "routes",
	fromSnapshot:    func(s *catalog.Snapshot) map[string]route.Spec { return s.Routes },
	fromFleet:       func(f config.Fleet) map[string]route.Spec { return f.Routes },
	findDependent:   func(*catalog.Snapshot, string) string { return "" },
	checkReferences: checkRoute,
}

var serviceResource = resource[service.Spec]{
	kind: objstore.KindService, plural: "services",
	fromSnapshot:    func(s *catalog.Snapshot) map[string]service.Spec { return s.Services },
	fromFleet:       func(f config.Fleet) map[string]service.Spec { return f.Services },
	findDependent:   findRouteTo,
	checkReferences: checkService,
}

func (o resource[T]) endpoints(a *API, single, list any) []endpoint {
	base := "/" + o.plural
	return []endpoint{
		{"GET", base, "List the " + o.plural, nil, nil, list, func(*http.Request) (any, error) { return o.list(a), nil }},
		{"POST", base, "Create one of the " + o.plural, nil, single, single, func(r *http.Request) (any, error) { return o.create(a, r) }},
		{"GET", base + "/{name}", "Read one of the " + o.plural, nil, nil, single, func(r *http.Request) (any, error) { return o.read(a, r) }},
		{"PUT", base + "/{name}", "Change one of the " + o.plural, nil, single, single, func(r *http.Request) (any, error) { return o.update(a, r) }},
		{"DELETE", base + "/{name}", "Delete one of the " + o.plural, nil, nil, single, func(r *http.Request) (any, error) { return o.remove(a, r) }},
	}
}

func (o resource[T]) list(a *API) List[Named[T]] {
	list := List[Named[T]]{Items: []Named[T]{}}
	for name, spec := range o.fromSnapshot(a.catalog.Current()) {
		list.Items = append(list.Items, Named[T]{Name: name, Spec: spec})
	}
	sort.Slice(list.Items, func(i, j int) bool { return list.Items[i].Name < list.Items[j].Name })
	return list
}

func (o resource[T]) create(a *API, r *http.Request) (any, error) {
	var n Named[T]
	if err := decode(r, &n); err != nil {
		return nil, err
	}
	if !team.ValidName(n.Name) {
		return nil, apierr.Newf(apierr.Invalid, "use lower case letters, digits, dots and dashes", "name %q is not valid", n.Name).At("name")
	}
	if err := o.validate(a, r, n.Name, n.Spec); err != nil {
		return nil, err
	}
	if _, exists := o.fromSnapshot(a.catalog.Current())[n.Name]; exists {
		return nil, apierr.Newf(apierr.Conflict, "choose another name, or change the one that exists", "%q exists already", n.Name)
	}
	stored, err := a.store.Create(r.Context(), o.kind, n.Name, n.Spec)
	if err != nil {
		return nil, err
	}
	n.Version = stored.Version
	return n, nil
}

func (o resource[T]) validate(a *API, r *http.Request, name string, spec T) error {
	if err := spec.Validate(); err != nil {
		return err
	}
	return o.checkReferences(r.Context(), a, name, spec)
}

// rejectConfigured returns an error if the configuration defines the name, because
// its entries take precedence over stored objects.
func (o resource[T]) rejectConfigured(a *API, name string) error {
	if _, configured := o.fromFleet(a.catalog.Fleet())[name]; configured {
		return apierr.Newf(apierr.Invalid, "change the file and run 'config apply'", "%q stands in the configuration", name)
	}
	return nil
}

func (o resource[T]) read(a *API, r *http.Request) (any, error) {
	name := r.PathValue("name")
	if spec, configured := o.fromFleet(a.catalog.Fleet())[name]; configured {
		return Named[T]{Name: name, Spec: spec}, nil
	}
	stored, err := a.store.Get(r.Context(), o.kind, name)
	if err != nil {
		return nil, err
	}
	n := Named[T]{Name: name, Version: stored.Version}
	return n, stored.Decode(&n.Spec)
}

// update replaces an object if its version is still the one in the request.
func (o resource[T]) update(a *API, r *http.Request) (any, error) {
	var n Named[T]
	if err := decode(r, &n); err != nil {
		return nil, err
	}
	name := r.PathValue("name")
	if n.Name != "" && n.Name != name {
		return nil, apierr.Newf(apierr.Invalid, "send the name of the path, or none", "the body names %q", n.Name).At("name")
	}
	if err := o.rejectConfigured(a, name); err != nil {
		return nil, err
	}
	if n.Version <= 0 {
		return nil, apierr.New(apierr.Invalid, "the update names no version", "read the object and send the version that you read").At("version")
	}
	if err := o.validate(a, r, name, n.Spec); err != nil {
		return nil, err
	}
	stored, err := a.store.Update(r.Context(), o.kind, name, n.Version, n.Spec)
	if err != nil {
		return nil, err
	}
	return Named[T]{Name: name, Spec: n.Spec, Version: stored.Version}, nil
}

func (o resource[T]) remove(a *API, r *http.Request) (any, error) {
	name := r.PathValue("name")
	if err := o.rejectConfigured(a, name); err != nil {
		return nil, err
	}
	if dependent := o.findDependent(a.catalog.Current(), name); dependent != "" {
		return nil, apierr.Newf(apierr.Conflict, "end what depends on it first", "%q is in use by %s", name, dependent)
	}
	stored, err := a.store.Get(r.Context(), o.kind, name)
	if err != nil {
		return nil, err
	}
	return Named[T]{Name: name}, a.store.Delete(r.Context(), o.kind, name, stored.Version)
}
