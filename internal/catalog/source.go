package catalog

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/key"
	"github.com/masticscale/masticscale/internal/platform"
	"github.com/masticscale/masticscale/internal/route"
	"github.com/masticscale/masticscale/internal/service"
	"github.com/masticscale/masticscale/internal/team"
)

// PointerName is the name of the object that points to the revision in force.
const PointerName = "current"

// Pointer is the object that names the revision in force.
type Pointer struct {
	Revision int64  `json:"revision"`
	Object   string `json:"object"` // name of the revision's object
}

// Source keeps a catalog up to date with the platform.
type Source struct {
	store   platform.Store
	catalog *Catalog
	site    string
	log     logrus.FieldLogger
	ready   sync.Map // platform.Kind to struct{}: kinds listed at least once
}

// NewSource returns a source for the site.
func NewSource(store platform.Store, c *Catalog, site string, log logrus.FieldLogger) *Source {
	return &Source{store: store, catalog: c, site: site, log: log}
}

var followedKinds = []platform.Kind{
	platform.KindPointer, platform.KindTeam, platform.KindKey, platform.KindRoute, platform.KindService,
}

// Run follows the platform until ctx is done.
func (s *Source) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, kind := range followedKinds {
		wg.Go(func() { s.follow(ctx, kind) })
	}
	wg.Wait()
}

// Ready reports whether every kind has been read at least once.
func (s *Source) Ready() bool {
	for _, kind := range followedKinds {
		if _, ok := s.ready.Load(kind); !ok {
			return false
		}
	}
	return true
}

func (s *Source) follow(ctx context.Context, kind platform.Kind) {
	reset := func(objects []platform.Object, _ int64) {
		s.reset(ctx, kind, objects)
		s.ready.Store(kind, struct{}{})
		s.catalog.Confirm(time.Now())
	}
	apply := func(e platform.Event) {
		s.apply(ctx, kind, e)
		s.catalog.Confirm(time.Now())
	}
	platform.Follow(ctx, s.store, kind, reset, apply)
}

func (s *Source) reset(ctx context.Context, kind platform.Kind, objects []platform.Object) {
	if kind == platform.KindPointer {
		for _, o := range objects {
			s.adopt(ctx, o)
		}
		return
	}
	s.catalog.Change(func(p *Parts) {
		p.clear(kind)
		for _, o := range objects {
			s.put(p, kind, o)
		}
	})
}

func (s *Source) apply(ctx context.Context, kind platform.Kind, e platform.Event) {
	switch {
	case e.Type == platform.EventBookmark:
	case kind == platform.KindPointer && e.Type == platform.EventPut:
		s.adopt(ctx, e.Object)
	case e.Type == platform.EventPut:
		s.catalog.Change(func(p *Parts) { s.put(p, kind, e.Object) })
	case e.Type == platform.EventDelete:
		s.catalog.Change(func(p *Parts) { p.remove(kind, e.Object.Name) })
	}
}

func (s *Source) put(p *Parts, kind platform.Kind, o platform.Object) {
	if err := p.put(kind, o); err != nil {
		s.log.WithError(err).WithField("event", "object_skipped").Error("object cannot be read")
	}
}

// adopt reads the revision that the pointer names and puts it in force.
func (s *Source) adopt(ctx context.Context, o platform.Object) {
	var p Pointer
	if err := o.Decode(&p); err != nil {
		s.log.WithError(err).WithField("event", "config_pointer_invalid").Error("pointer cannot be read")
		return
	}
	if p.Revision <= s.catalog.Current().Revision {
		return
	}
	revision, err := ReadRevision(ctx, s.store, p)
	if err != nil {
		s.log.WithError(err).WithField("event", "config_read_failed").Warn("revision cannot be read")
		return
	}
	s.AdoptRevision(revision)
}

// AdoptRevision renders a revision for this site and puts it in force. It
// reports whether the revision is in force now.
func (s *Source) AdoptRevision(revision config.Revision) bool {
	doc, err := revision.Bundle.Render(s.site)
	if err != nil {
		s.log.WithError(err).WithField("event", "config_render_failed").Error("revision cannot be rendered")
		return false
	}
	if !s.catalog.Adopt(revision.Number, doc.Fleet) {
		return false
	}
	s.log.WithFields(logrus.Fields{"event": "config_in_force", "revision": revision.Number}).Info("configuration is in force")
	return true
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
		return decodeInto[string, team.Spec](p.Teams, o.Name, o)
	case platform.KindKey:
		return decodeInto[key.ID, key.Spec](p.Keys, key.ID(o.Name), o)
	case platform.KindRoute:
		return decodeInto[string, route.Spec](p.Routes, o.Name, o)
	case platform.KindService:
		return decodeInto[string, service.Spec](p.Services, o.Name, o)
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
