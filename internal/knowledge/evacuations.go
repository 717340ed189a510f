package knowledge

import (
	"maps"
	"slices"

	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/objstore"
)

// evacuations are the evacuated data centres as a host knows them.
type evacuations struct {
	dataCentres map[string]bool
	// asOf is the store's version up to which every change is reflected, and zero if nothing is
	// known. What is older is ignored.
	asOf int64
	// version is what this host tells peers, from 1 to asOf: the version of the latest change
	// that it knows of. A host that starts lists the same with a later asOf; peers would fetch
	// that from it all at once.
	version int64
}

func (e evacuations) isKnown() bool { return e.asOf > 0 }

// names returns the evacuated data centres, sorted.
func (e evacuations) names() []string { return slices.Sorted(maps.Keys(e.dataCentres)) }

// listed returns the evacuations after the store's list of the version.
func (e evacuations) listed(objects []objstore.Object, version int64) evacuations {
	if version < e.asOf {
		return e
	}
	next := evacuations{dataCentres: map[string]bool{}, asOf: max(version, 1), version: 1}
	for _, o := range objects {
		next.dataCentres[o.Name] = true
		next.version = max(next.version, o.Version)
	}
	next.asOf = max(next.asOf, next.version)
	switch {
	case !e.isKnown():
	case maps.Equal(e.dataCentres, next.dataCentres):
		next.version = max(next.version, e.version)
	default:
		next.version = next.asOf
	}
	return next
}

// changed returns the evacuations after an event of a watch. One that is older than what is known
// from a peer is ignored.
func (e evacuations) changed(event objstore.Event) evacuations {
	version := event.Object.Version
	if version < e.asOf {
		return e
	}
	next := evacuations{dataCentres: maps.Clone(e.dataCentres), asOf: version, version: version}
	if event.Type == objstore.EventPut {
		next.dataCentres[event.Object.Name] = true
	} else {
		delete(next.dataCentres, event.Object.Name)
	}
	return next
}

// adopted returns the evacuations after a peer's snapshot, which counts only if it is newer. If
// the peer has an older state under a later version, a removal is unknown to it: this host then
// tells peers of its own state under a still later version.
func (e evacuations) adopted(dataCentres []string, version int64) evacuations {
	peers := map[string]bool{}
	for _, name := range dataCentres {
		peers[name] = true
	}
	next := e
	switch {
	case version > e.asOf:
		next = evacuations{dataCentres: peers, asOf: version, version: version}
	case version > e.version && maps.Equal(peers, e.dataCentres):
		next.version = version
	case version > e.version:
		next.version = e.asOf
	}
	return next
}

// WatchEvacuations makes the syncer follow which data centres are evacuated. It must be called
// before Run. Until they are known, the host isn't ready and sends no requests to upstreams.
func (s *Syncer) WatchEvacuations() {
	s.watchesEvacuations = true
	s.core.AwaitEvacuated()
}

func (s *Syncer) resetEvacuations(objects []objstore.Object, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEvacuations(s.evacuations.listed(objects, version), "store")
}

func (s *Syncer) applyEvacuation(event objstore.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEvacuations(s.evacuations.changed(event), "store")
}

// adoptEvacuations adopts the evacuations of a peer's snapshot if it has them and they are newer.
func (s *Syncer) adoptEvacuations(snapshot mesh.Snapshot, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watchesEvacuations && snapshot.Versions.Evacuations > 0 {
		s.setEvacuations(s.evacuations.adopted(snapshot.Evacuated, snapshot.Versions.Evacuations), from)
	}
}

// setEvacuations passes the evacuations to the core if peers are to be told of them. The caller
// holds mu.
func (s *Syncer) setEvacuations(e evacuations, from string) {
	before := s.evacuations
	s.evacuations = e
	if e.version != before.version {
		s.core.SetEvacuated(e.dataCentres, e.version, from)
	}
}

// evacuationsReady reports whether the evacuations are known, if this host follows them. The
// caller holds mu.
func (s *Syncer) evacuationsReady() bool { return !s.watchesEvacuations || s.evacuations.isKnown() }

// hasNewerEvacuations reports whether the peer has later evacuations than the version, and this
// host follows them.
func (s *Syncer) hasNewerEvacuations(p mesh.State, known mesh.Versions) bool {
	return s.watchesEvacuations && p.EvacuationsVersion > known.Evacuations
}
