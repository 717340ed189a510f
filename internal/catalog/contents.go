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
	c := versionIndex{Complete: map[objstore.Kind]int64{}, Objects: map[objstore.Kind]map[string]int64{}}
	for _, kind := range objectKinds {
		c.Objects[kind] = map[string]int64{}
	}
	return c
}

// isNewer reports whether the version is later than the known state of the kind.
func (c *versionIndex) isNewer(kind objstore.Kind, version int64) bool {
	return version > c.Complete[kind]
}

func (c *versionIndex) advance(kind objstore.Kind, version int64) {
	c.Complete[kind] = max(c.Complete[kind], version)
}

// setObjects replaces the objects of a kind, and reports whether they changed.
func (c *versionIndex) setObjects(kind objstore.Kind, objects []objstore.Object, version int64) bool {
	next := make(map[string]int64, len(objects))
	for _, o := range objects {
		next[o.Name] = o.Version
	}
	return c.setVersions(kind, next, version)
}

func (c *versionIndex) setVersions(kind objstore.Kind, next map[string]int64, version int64) bool {
	c.advance(kind, version)
	if maps.Equal(c.Objects[kind], next) {
		return false
	}
	for name, v := range c.Objects[kind] {
		c.digest ^= hashObject(kind, name, v)
	}
	for name, v := range next {
		c.digest ^= hashObject(kind, name, v)
	}
	c.Objects[kind] = next
	return true
}

func (c *versionIndex) put(kind objstore.Kind, name string, version int64) {
	c.remove(kind, name)
	c.Objects[kind][name] = version
	c.digest ^= hashObject(kind, name, version)
}

func (c *versionIndex) remove(kind objstore.Kind, name string) {
	if v, known := c.Objects[kind][name]; known {
		c.digest ^= hashObject(kind, name, v)
		delete(c.Objects[kind], name)
	}
}

// completeVersion returns the version as of which every kind is complete.
func (c *versionIndex) completeVersion() int64 {
	lowest := int64(-1)
	for _, kind := range watchedKinds {
		v := c.Complete[kind]
		if lowest < 0 || v < lowest {
			lowest = v
		}
	}
	return lowest
}

func (c *versionIndex) clone() versionIndex {
	out := versionIndex{Complete: maps.Clone(c.Complete), Objects: map[objstore.Kind]map[string]int64{}, digest: c.digest}
	for kind, objects := range c.Objects {
		out.Objects[kind] = maps.Clone(objects)
	}
	return out
}

func hashObject(kind objstore.Kind, name string, version int64) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%s@%d", kind, name, version))
}
