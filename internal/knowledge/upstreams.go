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
		delete(s.lapsed, o.Name)
	}
	for id, raw := range before {
		if _, listed := s.upstreams[id]; !listed && s.remove(id) {
			s.upstreams[id] = raw
		}
	}
	s.upstreamsVersion = max(s.upstreamsVersion, version)
	s.upstreamsKnown = true
	s.tellUpstreams("store")
}

func (s *Syncer) applyUpstream(e objstore.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Type == objstore.EventPut {
		s.upstreams[e.Object.Name] = e.Object.Value
		delete(s.lapsed, e.Object.Name)
	} else if !s.remove(e.Object.Name) {
		delete(s.upstreams, e.Object.Name)
	}
	s.upstreamsVersion = max(s.upstreamsVersion, e.Object.Version)
	s.tellUpstreams("store")
}

// remove reports whether the entry stays for a while: while the store was away,
// upstreams could not renew their entries, and those that live renew them soon.
// The caller holds mu.
func (s *Syncer) remove(id string) bool {
	if _, pending := s.lapsed[id]; pending {
		return true
	}
	if s.regained.IsZero() || time.Since(s.regained) > lapseGrace {
		return false
	}
	s.lapsed[id] = s.regained.Add(lapseGrace)
	return true
}

// dropLapsed removes the entries that have not been renewed.
func (s *Syncer) dropLapsed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	dropped := false
	for id, at := range s.lapsed {
		if now.After(at) {
			delete(s.lapsed, id)
			delete(s.upstreams, id)
			dropped = true
		}
	}
	if dropped {
		s.tellUpstreams("lapsed")
	}
}

// tellUpstreams decodes the list for the core; the caller holds mu.
func (s *Syncer) tellUpstreams(from string) {
	var list []fleet.Upstream
	leaving := 0
	for id, raw := range s.upstreams {
		u, err := s.decode.DecodeUpstream(id, raw)
		if err != nil {
			s.log.WithFields(logrus.Fields{"event": "upstream_unreadable", "upstream": id, "error": err}).Warn("an entry of the list of upstreams is left out")
			continue
		}
		if u.Leaving {
			leaving++
		}
		list = append(list, u)
	}
	s.core.SetUpstreams(list, s.upstreamsVersion)
	s.log.WithFields(logrus.Fields{"event": "upstreams_in_force", "version": s.upstreamsVersion, "from": from, "upstreams": len(list), "leaving": leaving}).Info("the list of upstreams has changed")
}
