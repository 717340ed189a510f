package catalog

import (
	"maps"
	"time"

	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/key"
	"github.com/masticscale/masticscale/internal/objstore"
)

// State is the whole catalog as sent to peers and stored in the data folder. Keys
// are stored as hashes.
type State struct {
	Revision  *config.Revision      `json:"revision,omitempty"`
	Objects   ObjectSpecs           `json:"parts"`
	Versions  contents              `json:"contents"`
	Withdrawn map[key.ID]Withdrawal `json:"withdrawn"`
	Confirmed time.Time             `json:"confirmed"` // wall clock time as of which the state is complete
}

// Export returns the catalog's state.
func (c *Catalog) Export(now time.Time) State {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := State{
		Revision: c.accepted,
		Objects: ObjectSpecs{
			Teams: maps.Clone(c.parts.Teams), Services: maps.Clone(c.parts.Services),
			Routes: maps.Clone(c.parts.Routes), Keys: maps.Clone(c.parts.Keys),
		},
		Versions:  c.contents.clone(),
		Withdrawn: maps.Clone(c.withdrawn),
	}
	if age := c.fresh.age(now); age != unknownAge {
		s.Confirmed = now.Add(-age).Round(0)
	}
	return s
}

// mergeState applies the kinds and withdrawals that are newer in another state. The
// revision is left to the syncer, which renders it.
func (c *Catalog) merge(s State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, kind := range objectKinds {
		version := s.Versions.Complete[kind]
		if c.contents.advances(kind, version) && c.contents.take(kind, orEmpty(s.Versions.Objects[kind]), version) {
			c.parts.copyKind(kind, s.Objects)
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

// advancePointer records that the pointer's revision as of version is in force.
func (c *Catalog) pointerAt(version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.contents.advance(objstore.KindPointer, version)
}

// restoreAge sets the age to that of a stored state, unless it is known already.
func (c *Catalog) restoreAge(confirmed time.Time, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if confirmed.IsZero() || !c.fresh.confirmed.At.IsZero() {
		return
	}
	age := max(0, now.Round(0).Sub(confirmed))
	c.fresh.confirmed = Checkpoint{At: now.Add(-age)}
}
