package catalog

import (
	"maps"
	"time"

	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/key"
	"github.com/masticscale/masticscale/internal/objstore"
)

// State is the whole catalog as peers and the data folder keep it. Keys are
// kept by their hashes only.
type State struct {
	Revision  *config.Revision      `json:"revision,omitempty"`
	Parts     Parts                 `json:"parts"`
	Contents  contents              `json:"contents"`
	Withdrawn map[key.ID]Withdrawal `json:"withdrawn"`
	Confirmed time.Time             `json:"confirmed"` // wall clock time as of which nothing is missing
}

// Export returns the catalog's state.
func (c *Catalog) Export(now time.Time) State {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := State{
		Revision: c.accepted,
		Parts: Parts{
			Teams: maps.Clone(c.parts.Teams), Services: maps.Clone(c.parts.Services),
			Routes: maps.Clone(c.parts.Routes), Keys: maps.Clone(c.parts.Keys),
		},
		Contents:  c.contents.clone(),
		Withdrawn: maps.Clone(c.withdrawn),
	}
	if age := c.fresh.age(now); age != unknownAge {
		s.Confirmed = now.Add(-age).Round(0)
	}
	return s
}

// merge takes over what is newer in another state, kind by kind. The revision
// is adopted by the source, which renders it.
func (c *Catalog) merge(s State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, kind := range objectKinds {
		version := s.Contents.Complete[kind]
		if c.contents.advances(kind, version) && c.contents.take(kind, orEmpty(s.Contents.Objects[kind]), version) {
			c.parts.copyKind(kind, s.Parts)
		}
	}
	var news []Withdrawal
	for id, w := range s.Withdrawn {
		before, known := c.withdrawn[id]
		if known && (before.CutActive || !w.CutActive) {
			continue
		}
		c.withdrawn[id] = w
		news = append(news, w)
	}
	c.publish()
	c.announce(news)
}

// pointerAt notes that the pointer's revision is in force as of the version.
func (c *Catalog) pointerAt(version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.contents.advance(objstore.KindPointer, version)
}

// restoreAge takes over the age of a stored state after a restart.
func (c *Catalog) restoreAge(confirmed time.Time, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if confirmed.IsZero() || !c.fresh.confirmed.At.IsZero() {
		return
	}
	age := max(0, now.Round(0).Sub(confirmed))
	c.fresh.confirmed = Checkpoint{At: now.Add(-age)}
}
