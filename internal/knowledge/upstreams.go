package knowledge

import (
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/objstore"
)

func (s *Syncer) resetUpstreams(objects []objstore.Object, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.upstreams
	s.upstreams = map[string]json.RawMessage{}
	for _, o := range objects {
		s.upstreams[o.Name] = o.Value
		delete(s.pendingRemovals, o.Name)
	}
	for id, raw := range before {
		if _, listed := s.upstreams[id]; !listed && s.deferRemoval(id) {
			s.upstreams[id] = raw
		}
	}
	s.upstreamsVersion = max(s.upstreamsVersion, version)
	s.upstreamsKnown = true
	s.updateUpstreams("store")
}

func (s *Syncer) applyUpstream(e objstore.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Type == objstore.EventPut {
		s.upstreams[e.Object.Name] = e.Object.Value
		delete(s.pendingRemovals, e.Object.Name)
	} else if !s.deferRemoval(e.Object.Name) {
		delete(s.upstreams, e.Object.Name)
	}
	s.upstreamsVersion = max(s.upstreamsVersion, e.Object.Version)
	s.updateUpstreams("store")
}

// deferRemoval reports whether a removed entry stays for a grace period: upstreams
// could not renew their entries during an outage of the store, and live ones renew
// them soon after. The caller holds mu.
func (s *Syncer) deferRemoval(id string) bool {
	if _, pending := s.pendingRemovals[id]; pending {
		return true
	}
	if s.storeRegainedAt.IsZero() || time.Since(s.storeRegainedAt) > expiryGracePeriod {
		return false
	}
	s.pendingRemovals[id] = s.storeRegainedAt.Add(expiryGracePeriod)
	return true
}

// removeExpired removes the entries that were not renewed in the grace period.
func (s *Syncer) removeExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	dropped := false
	for id, at := range s.pendingRemovals {
		if now.After(at) {
			delete(s.pendingRemovals, id)
			delete(s.upstreams, id)
			dropped = true
		}
	}
	if dropped {
		s.updateUpstreams("lapsed")
	}
}

// updateUpstreams decodes the upstreams and passes them to the core. The caller
// holds mu.
func (s *Syncer) updateUpstreams(from string) {
	var list []fleet.Upstream
	leaving := 0
	for id, raw := range s.upstreams {
		u, err := s.decoder.DecodeUpstream(id, raw)
		if err != nil {
			s.log.WithFields(logrus.Fields{"event": "upstream_unreadable", "upstream": id, "error": err}).Warn("ignoring an invalid upstream entry")
			continue
		}
		if u.Leaving {
			leaving++
		}
		list = append(list, u)
	}
	s.core.SetUpstreams(list, s.upstreamsVersion)
	s.log.WithFields(logrus.Fields{"event": "upstreams_in_force", "version": s.upstreamsVersion, "from": from, "upstreams": len(list), "leaving": leaving}).Info("updated the list of upstreams")
}
