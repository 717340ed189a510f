package admin

import (
	"net/http"
	"sort"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/platform"
	"github.com/masticscale/masticscale/internal/route"
	"github.com/masticscale/masticscale/internal/service"
	"github.com/masticscale/masticscale/internal/team"
)

// Named is an object with its name.
type Named[T any] struct {
	Name string `json:"name"`
	Spec T      `json:"spec"`
}

// List is a list of objects.
type List[T any] struct {
	Items []T `json:"items"`
}

type validator interface{ Validate() error }

// objects describes one kind of object that operators make one by one.
type objects[T validator] struct {
	kind    platform.Kind
	plural  string
	current func(*catalog.Snapshot) map[string]T
}

var teamObjects = objects[team.Spec]{platform.KindTeam, "teams",
	func(s *catalog.Snapshot) map[string]team.Spec { return s.Teams }}

var routeObjects = objects[route.Spec]{platform.KindRoute, "routes",
	func(s *catalog.Snapshot) map[string]route.Spec { return s.Routes }}

var serviceObjects = objects[service.Spec]{platform.KindService, "services",
	func(s *catalog.Snapshot) map[string]service.Spec { return s.Services }}

func addObjects[T validator](a *API, mux *http.ServeMux, o objects[T]) {
	base := "/admin/v1/" + o.plural
	mux.HandleFunc("GET "+base, a.handle(func(*http.Request) (any, error) { return o.list(a), nil }))
	mux.HandleFunc("POST "+base, a.handle(func(r *http.Request) (any, error) { return o.create(a, r) }))
	mux.HandleFunc("DELETE "+base+"/{name}", a.handle(func(r *http.Request) (any, error) { return o.remove(a, r) }))
}

func (o objects[T]) list(a *API) List[Named[T]] {
	list := List[Named[T]]{Items: []Named[T]{}}
	for name, spec := range o.current(a.catalog.Current()) {
		list.Items = append(list.Items, Named[T]{name, spec})
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
		return nil, apierr.Newf(apierr.Invalid, "use lower case letters, digits, dots and dashes", "name %q is not valid", n.Name)
	}
	if err := n.Spec.Validate(); err != nil {
		return nil, err
	}
	if _, exists := o.current(a.catalog.Current())[n.Name]; exists {
		return nil, apierr.Newf(apierr.Conflict, "choose another name, or change the configuration", "%q exists already", n.Name)
	}
	_, err := a.store.Create(r.Context(), o.kind, n.Name, n.Spec)
	return n, err
}

func (o objects[T]) remove(a *API, r *http.Request) (any, error) {
	name := r.PathValue("name")
	stored, err := a.store.Get(r.Context(), o.kind, name)
	if err != nil {
		return nil, err
	}
	return Named[T]{Name: name}, a.store.Delete(r.Context(), o.kind, name, stored.Version)
}
