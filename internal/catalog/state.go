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
	Versions  versionIndex          `json:"contents"`
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
			Teams: maps.Clone(c.objects.Teams), Services: maps.Clone(c.objects.Services),
			Routes: maps.Clone(c.objects.Routes), Keys: maps.Clone(c.objects.Keys),
		},
		Versions:  c.versions.clone(),
		Withdrawn: maps.Clone(c.withdrawn),
	}
	if age := c.freshness.age(now); age != unknownAge {
		s.Confirmed = now.Add(-age).Round(0)
	}
	return s
}

// mergeState applies the kinds and withdrawals that are newer in another state. The
// revision is left to the syncer, which renders it.
func (c *Catalog) mergeState(s State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, kind := range objectKinds {
		version := s.Versions.Complete[kind]
		if c.versions.isNewer(kind, version) && c.versions.setVersions(kind, orEmpty(s.Versions.Objects[kind]), version) {
			c.objects.copyKind(kind, s.Objects)
		}
	}
	var withdrawals []Withdrawal
	for id, w := range s.Withdrawn {
		before, known := c.withdrawn[id]
		if known && (before.CutActive || !w.CutActive) {
			continue
		}
		c.withdrawn[id] = w
		withdrawals = append(withdrawals, w)
	}
	c.publish()
	c.notifyWithdrawals(withdrawals)
}

// advancePointer records that the pointer's revision as of version is in force.
func (c *Catalog) advancePointer(version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions.advance(objstore.KindPointer, version)
}

// restoreAge sets the age to that of a stored state, unless it is known already.
func (c *Catalog) restoreAge(confirmed time.Time, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if confirmed.IsZero() || !c.freshness.confirmed.At.IsZero() {
		return
	}
	age := max(0, now.Round(0).Sub(confirmed))
	c.freshness.confirmed = Checkpoint{At: now.Add(-age)}
}
