package catalog

import (
	"github.com/masticscale/masticscale/internal/key"
	"github.com/masticscale/masticscale/internal/platform"
	"github.com/masticscale/masticscale/internal/route"
	"github.com/masticscale/masticscale/internal/service"
	"github.com/masticscale/masticscale/internal/team"
)

// Parts are the objects made one by one. An edit changes the maps in place.
type Parts struct {
	Teams    map[string]team.Spec    `json:"teams"`
	Services map[string]service.Spec `json:"services"`
	Routes   map[string]route.Spec   `json:"routes"`
	Keys     map[key.ID]key.Spec     `json:"keys"`
}

func newParts() Parts {
	return Parts{
		Teams:    map[string]team.Spec{},
		Services: map[string]service.Spec{},
		Routes:   map[string]route.Spec{},
		Keys:     map[key.ID]key.Spec{},
	}
}

func (p *Parts) clear(kind platform.Kind) {
	switch kind {
	case platform.KindTeam:
		clear(p.Teams)
	case platform.KindKey:
		clear(p.Keys)
	case platform.KindRoute:
		clear(p.Routes)
	case platform.KindService:
		clear(p.Services)
	}
}

func (p *Parts) put(kind platform.Kind, o platform.Object) error {
	switch kind {
	case platform.KindTeam:
		return decodeInto(p.Teams, o.Name, o)
	case platform.KindKey:
		return decodeInto(p.Keys, key.ID(o.Name), o)
	case platform.KindRoute:
		return decodeInto(p.Routes, o.Name, o)
	case platform.KindService:
		return decodeInto(p.Services, o.Name, o)
	}
	return nil
}

func decodeInto[K comparable, V any](m map[K]V, name K, o platform.Object) error {
	var v V
	if err := o.Decode(&v); err != nil {
		return err
	}
	m[name] = v
	return nil
}

func (p *Parts) remove(kind platform.Kind, name string) {
	switch kind {
	case platform.KindTeam:
		delete(p.Teams, name)
	case platform.KindKey:
		delete(p.Keys, key.ID(name))
	case platform.KindRoute:
		delete(p.Routes, name)
	case platform.KindService:
		delete(p.Services, name)
	}
}

// copyKind takes over one kind from another set of parts.
func (p *Parts) copyKind(kind platform.Kind, from Parts) {
	switch kind {
	case platform.KindTeam:
		p.Teams = orEmpty(from.Teams)
	case platform.KindKey:
		p.Keys = orEmpty(from.Keys)
	case platform.KindRoute:
		p.Routes = orEmpty(from.Routes)
	case platform.KindService:
		p.Services = orEmpty(from.Services)
	}
}

func orEmpty[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return m
}
