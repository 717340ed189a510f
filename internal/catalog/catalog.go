// Package catalog is the host's view of all that operators have made: teams,
// keys, routes and services, from the configuration in force and from objects
// made one by one.
//
// Contract: a Snapshot never changes; readers take the current one without a
// lock. A revision lower than one already used is never adopted.
package catalog

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/key"
	"github.com/masticscale/masticscale/internal/route"
	"github.com/masticscale/masticscale/internal/service"
	"github.com/masticscale/masticscale/internal/team"
)

// Snapshot is one state of the catalog.
type Snapshot struct {
	Revision int64
	Teams    map[string]team.Spec
	Services map[string]service.Spec
	Routes   map[string]route.Spec
	Keys     map[key.ID]key.Spec
	Models   map[string]string // model to service
	Limits   config.Limits
}

// Route returns the most specific route for a request.
func (s *Snapshot) Route(method, path string) (string, route.Spec, bool) {
	best, bestName := -1, ""
	for name, r := range s.Routes {
		score, ok := r.Matches(method, path)
		if ok && (score > best || score == best && name < bestName) {
			best, bestName = score, name
		}
	}
	return bestName, s.Routes[bestName], best >= 0
}

// KnowsPath reports whether any route has the path under another method.
func (s *Snapshot) KnowsPath(path string) bool {
	for _, r := range s.Routes {
		r.Methods = nil
		if _, ok := r.Matches("", path); ok {
			return true
		}
	}
	return false
}

// Catalog holds the current snapshot.
type Catalog struct {
	current atomic.Pointer[Snapshot]

	mu       sync.Mutex // guards the parts and the building of snapshots
	revision int64
	fleet    config.Fleet
	teams    map[string]team.Spec
	services map[string]service.Spec
	routes   map[string]route.Spec
	keys     map[key.ID]key.Spec
	watchers []func(*Snapshot)

	heard atomic.Int64 // unix nanoseconds at which the source last confirmed
}

// New returns an empty catalog.
func New() *Catalog {
	c := &Catalog{
		teams:    map[string]team.Spec{},
		services: map[string]service.Spec{},
		routes:   map[string]route.Spec{},
		keys:     map[key.ID]key.Spec{},
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.publish()
	return c
}

// Current returns the snapshot in force.
func (c *Catalog) Current() *Snapshot { return c.current.Load() }

// OnChange registers a function that is called with each new snapshot, in
// order. It must not block.
func (c *Catalog) OnChange(f func(*Snapshot)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchers = append(c.watchers, f)
	f(c.Current())
}

// Confirm notes that the source of knowledge answered at the time.
func (c *Catalog) Confirm(now time.Time) { c.heard.Store(now.UnixNano()) }

// Age returns how long ago the source of knowledge last answered.
func (c *Catalog) Age(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, c.heard.Load()))
}

// Adopt puts a fleet configuration in force, unless a higher revision already
// is. It reports whether the revision is in force now.
func (c *Catalog) Adopt(revision int64, fleet config.Fleet) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision < c.revision {
		return false
	}
	if revision == c.revision {
		return true
	}
	c.revision = revision
	c.fleet = fleet
	c.publish()
	return true
}

// Change edits the parts made one by one and publishes the result.
func (c *Catalog) Change(edit func(*Parts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	edit(&Parts{Teams: c.teams, Services: c.services, Routes: c.routes, Keys: c.keys})
	c.publish()
}

// Parts are the objects made one by one. An edit changes the maps in place.
type Parts struct {
	Teams    map[string]team.Spec
	Services map[string]service.Spec
	Routes   map[string]route.Spec
	Keys     map[key.ID]key.Spec
}

// publish builds the next snapshot; the caller holds mu. The configuration's
// entries win over objects of the same name.
func (c *Catalog) publish() {
	s := &Snapshot{
		Revision: c.revision,
		Teams:    union(c.teams, c.fleet.Teams),
		Services: union(c.services, c.fleet.Services),
		Routes:   union(c.routes, c.fleet.Routes),
		Keys:     maps.Clone(c.keys),
		Models:   map[string]string{},
		Limits:   c.fleet.Limits.WithDefaults(),
	}
	for name, spec := range s.Services {
		for _, model := range spec.Models {
			s.Models[model] = name
		}
	}
	c.current.Store(s)
	for _, f := range c.watchers {
		f(s)
	}
}

func union[V any](below, above map[string]V) map[string]V {
	out := make(map[string]V, len(below)+len(above))
	maps.Copy(out, below)
	maps.Copy(out, above)
	return out
}
