// Package catalog holds a host's copy of the teams, keys, routes and services,
// from the configuration in force and from objects that operators create one by
// one.
//
// A Snapshot never changes, and readers take the current one without a lock. A
// revision lower than the one in force is never applied, an older state of the
// objects never replaces a newer one, and a withdrawn key stays withdrawn even
// if a late read returns it as active.
package catalog

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/key"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/internal/route"
	"github.com/masticscale/masticscale/internal/service"
	"github.com/masticscale/masticscale/internal/team"
)

// Snapshot is an immutable state of the catalog.
type Snapshot struct {
	Revision int64
	Teams    map[string]team.Spec
	Services map[string]service.Spec
	Routes   map[string]route.Spec
	Keys     map[key.ID]key.Spec
	Models   map[string]string // services by model
	Limits   config.Limits
}

// MatchRoute returns the most specific route for a request, and its name.
func (s *Snapshot) MatchRoute(method, path string) (string, route.Spec, bool) {
	best, bestName := -1, ""
	for name, r := range s.Routes {
		score, ok := r.Matches(method, path)
		if ok && (score > best || score == best && name < bestName) {
			best, bestName = score, name
		}
	}
	return bestName, s.Routes[bestName], best >= 0
}

// HasPath reports whether any route matches the path, whatever its methods.
func (s *Snapshot) HasPath(path string) bool {
	for _, r := range s.Routes {
		r.Methods = nil
		if _, ok := r.Matches("", path); ok {
			return true
		}
	}
	return false
}

// Catalog holds the current snapshot and the data that it is built from.
type Catalog struct {
	current     atomic.Pointer[Snapshot]
	catchUpGate gate
	requests    requestTracker

	mu         sync.Mutex // guards the fields below and the building of snapshots
	accepted   *config.Revision
	revision   int64
	fleet      config.Fleet
	objects    ObjectSpecs
	versions   versionIndex
	freshness  freshness
	withdrawn  map[key.ID]Withdrawal
	watchers   []func(*Snapshot)
	onWithdraw []func(Withdrawal)
}

// New returns an empty catalog.
func New() *Catalog {
	c := &Catalog{objects: newObjectSpecs(), versions: newVersionIndex(), withdrawn: map[key.ID]Withdrawal{}}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.publish()
	return c
}

// Current returns the current snapshot.
func (c *Catalog) Current() *Snapshot { return c.current.Load() }

// OnChange registers a function that is called with the current snapshot and
// then with each new one, in order. It must not block.
func (c *Catalog) OnChange(f func(*Snapshot)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchers = append(c.watchers, f)
	f(c.Current())
}

// ApplyConfig puts a fleet configuration in force, unless a higher revision
// already is. It reports whether the revision is in force now.
func (c *Catalog) ApplyConfig(revision int64, fleet config.Fleet) bool {
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
	c.accepted = nil
	c.publish()
	return true
}

// setAccepted stores the whole revision in force, which peers fetch.
func (c *Catalog) setAccepted(r config.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Number == c.revision {
		c.accepted = &r
	}
}

// AcceptedRevision returns the whole revision in force, if there is one.
func (c *Catalog) AcceptedRevision() (config.Revision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.accepted == nil {
		return config.Revision{}, false
	}
	return *c.accepted, true
}

// Fleet returns the fleet configuration in force.
func (c *Catalog) Fleet() config.Fleet {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fleet
}

// UpdateObjects edits the objects and publishes a new snapshot.
func (c *Catalog) UpdateObjects(edit func(*ObjectSpecs)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	edit(&c.objects)
	c.publish()
}

// replaceKind replaces all objects of a kind by a list as of version, unless a
// newer state is known. It reports objects that cannot be decoded.
func (c *Catalog) replaceKind(kind objstore.Kind, objects []objstore.Object, version int64, report func(error)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.versions.isNewer(kind, version) {
		return
	}
	if c.versions.setObjects(kind, objects, version) {
		c.objects.clear(kind)
		for _, o := range objects {
			if err := c.objects.put(kind, o); err != nil {
				report(err)
			}
		}
		c.publish()
	}
}

// applyEvent applies one change of a kind, unless it is known already.
func (c *Catalog) applyEvent(kind objstore.Kind, e objstore.Event, report func(error)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.versions.isNewer(kind, e.Object.Version) {
		return
	}
	c.versions.advance(kind, e.Object.Version)
	switch e.Type {
	case objstore.EventPut:
		c.versions.put(kind, e.Object.Name, e.Object.Version)
		if err := c.objects.put(kind, e.Object); err != nil {
			report(err)
		}
	case objstore.EventDelete:
		c.versions.remove(kind, e.Object.Name)
		c.objects.remove(kind, e.Object.Name)
	default:
		return
	}
	c.publish()
}

// publish builds the next snapshot and makes it the current one. The entries of
// the configuration take precedence over objects of the same name. The caller
// holds mu.
func (c *Catalog) publish() {
	withdrawals := c.mergeKeyWithdrawals()
	s := &Snapshot{
		Revision: c.revision,
		Teams:    overlay(c.objects.Teams, c.fleet.Teams),
		Services: overlay(c.objects.Services, c.fleet.Services),
		Routes:   overlay(c.objects.Routes, c.fleet.Routes),
		Keys:     c.effectiveKeys(),
		Models:   map[string]string{},
		Limits:   c.fleet.Limits.WithDefaults(),
	}
	for name, spec := range s.Services {
		for _, model := range spec.Models {
			// If two services offer a model, every host must choose the same one.
			if other, taken := s.Models[model]; !taken || name < other {
				s.Models[model] = name
			}
		}
	}
	c.current.Store(s)
	for _, f := range c.watchers {
		f(s)
	}
	c.notifyWithdrawals(withdrawals)
}

// Age returns the maximum age of the host's copy of the platform's objects: the
// time since the latest moment as of which the copy is known to be complete.
func (c *Catalog) Age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.freshness.age(now)
}

func overlay[V any](base, overrides map[string]V) map[string]V {
	out := make(map[string]V, len(base)+len(overrides))
	maps.Copy(out, base)
	maps.Copy(out, overrides)
	return out
}
