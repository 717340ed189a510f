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

func newObjectSpecs() ObjectSpecs {
	return ObjectSpecs{
		Teams:    map[string]team.Spec{},
		Services: map[string]service.Spec{},
		Routes:   map[string]route.Spec{},
		Keys:     map[key.ID]key.Spec{},
	}
}

func (s *ObjectSpecs) clear(kind objstore.Kind) {
	switch kind {
	case objstore.KindTeam:
		clear(s.Teams)
	case objstore.KindKey:
		clear(s.Keys)
	case objstore.KindRoute:
		clear(s.Routes)
	case objstore.KindService:
		clear(s.Services)
	}
}

func (s *ObjectSpecs) put(kind objstore.Kind, o objstore.Object) error {
	switch kind {
	case objstore.KindTeam:
		return decodeInto(s.Teams, o.Name, o)
	case objstore.KindKey:
		return decodeInto(s.Keys, key.ID(o.Name), o)
	case objstore.KindRoute:
		return decodeInto(s.Routes, o.Name, o)
	case objstore.KindService:
		return decodeInto(s.Services, o.Name, o)
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

func (s *ObjectSpecs) remove(kind objstore.Kind, name string) {
	switch kind {
	case objstore.KindTeam:
		delete(s.Teams, name)
	case objstore.KindKey:
		delete(s.Keys, key.ID(name))
	case objstore.KindRoute:
		delete(s.Routes, name)
	case objstore.KindService:
		delete(s.Services, name)
	}
}

// copyKind replaces the objects of a kind by those of another ObjectSpecs.
func (s *ObjectSpecs) copyKind(kind objstore.Kind, from ObjectSpecs) {
	switch kind {
	case objstore.KindTeam:
		s.Teams = orEmpty(from.Teams)
	case objstore.KindKey:
		s.Keys = orEmpty(from.Keys)
	case objstore.KindRoute:
		s.Routes = orEmpty(from.Routes)
	case objstore.KindService:
		s.Services = orEmpty(from.Services)
	}
}

func orEmpty[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return m
}
