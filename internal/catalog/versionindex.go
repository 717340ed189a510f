package catalog

import (
	"fmt"
	"maps"

	"github.com/cespare/xxhash/v2"

	"github.com/masticscale/masticscale/internal/objstore"
)

// objectKinds are the kinds of objects that operators create one by one.
var objectKinds = []objstore.Kind{
	objstore.KindTeam, objstore.KindKey, objstore.KindRoute, objstore.KindService,
}

// versionIndex holds the versions of the objects in a catalog. The store's
// versions rise with every write, so the state of a kind with the higher version
// is the later one.
type versionIndex struct {
	Complete map[objstore.Kind]int64            `json:"complete"` // version as of which the kind is complete
	Objects  map[objstore.Kind]map[string]int64 `json:"objects"`  // version of each object

	digest uint64 // XOR of the hashes of all objects
}

func newVersionIndex() versionIndex {
	index := versionIndex{Complete: map[objstore.Kind]int64{}, Objects: map[objstore.Kind]map[string]int64{}}
	for _, kind := range objectKinds {
		index.Objects[kind] = map[string]int64{}
	}
	return index
}

// isNewer reports whether the version is later than the known state of the kind.
func (idx *versionIndex) isNewer(kind objstore.Kind, version int64) bool {
	return version > idx.Complete[kind]
}

func (idx *versionIndex) advance(kind objstore.Kind, version int64) {
	idx.Complete[kind] = max(idx.Complete[kind], version)
}

// setObjects replaces the objects of a kind, and reports whether they changed.
func (idx *versionIndex) setObjects(kind objstore.Kind, objects []objstore.Object, version int64) bool {
	next := make(map[string]int64, len(objects))
	for _, o := range objects {
		next[o.Name] = o.Version
	}
	return idx.setVersions(kind, next, version)
}

func (idx *versionIndex) setVersions(kind objstore.Kind, next map[string]int64, version int64) bool {
	idx.advance(kind, version)
	if maps.Equal(idx.Objects[kind], next) {
		return false
	}
	for name, v := range idx.Objects[kind] {
		idx.digest ^= hashObject(kind, name, v)
	}
	for name, v := range next {
		idx.digest ^= hashObject(kind, name, v)
	}
	idx.Objects[kind] = next
	return true
}

func (idx *versionIndex) put(kind objstore.Kind, name string, version int64) {
	idx.remove(kind, name)
	idx.Objects[kind][name] = version
	idx.digest ^= hashObject(kind, name, version)
}

func (idx *versionIndex) remove(kind objstore.Kind, name string) {
	if v, known := idx.Objects[kind][name]; known {
		idx.digest ^= hashObject(kind, name, v)
		delete(idx.Objects[kind], name)
	}
}

// completeVersion returns the version as of which every kind is complete.
func (idx *versionIndex) completeVersion() int64 {
	lowest := int64(-1)
	for _, kind := range watchedKinds {
		v := idx.Complete[kind]
		if lowest < 0 || v < lowest {
			lowest = v
		}
	}
	return lowest
}

func (idx *versionIndex) clone() versionIndex {
	out := versionIndex{Complete: maps.Clone(idx.Complete), Objects: map[objstore.Kind]map[string]int64{}, digest: idx.digest}
	for kind, objects := range idx.Objects {
		out.Objects[kind] = maps.Clone(objects)
	}
	return out
}

func hashObject(kind objstore.Kind, name string, version int64) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%s@%d", kind, name, version))
}
