package catalog

import (
	"github.com/masticscale/masticscale/internal/key"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/internal/route"
	"github.com/masticscale/masticscale/internal/service"
	"github.com/masticscale/masticscale/internal/team"
)

// ObjectSpecs holds the objects that operators create one by one. Edits change the
// maps in place.
type ObjectSpecs struct {
	Teams    map[string]team.Spec    `json:"teams"`
	Services map[string]service.Spec `json:"services"`
	Routes   map[string]route.Spec   `json:"routes"`
	Keys     map[key.ID]key.Spec     `json:"keys"`
}

func newParts() ObjectSpecs {
	return ObjectSpecs{
		Teams:    map[string]team.Spec{},
		Services: map[string]service.Spec{},
		Routes:   map[string]route.Spec{},
		Keys:     map[key.ID]key.Spec{},
	}
}

func (p *ObjectSpecs) clear(kind objstore.Kind) {
	switch kind {
	case objstore.KindTeam:
		clear(p.Teams)
	case objstore.KindKey:
		clear(p.Keys)
	case objstore.KindRoute:
		clear(p.Routes)
	case objstore.KindService:
		clear(p.Services)
	}
}

func (p *ObjectSpecs) put(kind objstore.Kind, o objstore.Object) error {
	switch kind {
	case objstore.KindTeam:
		return decodeInto(p.Teams, o.Name, o)
	case objstore.KindKey:
		return decodeInto(p.Keys, key.ID(o.Name), o)
	case objstore.KindRoute:
		return decodeInto(p.Routes, o.Name, o)
	case objstore.KindService:
		return decodeInto(p.Services, o.Name, o)
	}
	return nil
}

func decodeInto[K comparable, V any](m map[K]V, name K, o objstore.Object) error {
	var v V
	if err := o.Decode(&v); err != nil {
		return err
	}
	m[name] = v
	return nil
}

func (p *ObjectSpecs) remove(kind objstore.Kind, name string) {
	switch kind {
	case objstore.KindTeam:
		delete(p.Teams, name)
	case objstore.KindKey:
		delete(p.Keys, key.ID(name))
	case objstore.KindRoute:
		delete(p.Routes, name)
	case objstore.KindService:
		delete(p.Services, name)
	}
}

// copyKind replaces the objects of a kind by those of another ObjectSpecs.
func (p *ObjectSpecs) copyKind(kind objstore.Kind, from ObjectSpecs) {
	switch kind {
	case objstore.KindTeam:
		p.Teams = orEmpty(from.Teams)
	case objstore.KindKey:
		p.Keys = orEmpty(from.Keys)
	case objstore.KindRoute:
		p.Routes = orEmpty(from.Routes)
	case objstore.KindService:
		p.Services = orEmpty(from.Services)
	}
}

func orEmpty[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return m
}
