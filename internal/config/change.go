package config

import (
	"fmt"
	"reflect"
	"sort"
)

// Change is one difference between two documents.
type Change struct {
	Path   string `json:"path"`
	Before any    `json:"before,omitempty"` // nil when it was added
	After  any    `json:"after,omitempty"`  // nil when it was removed
}

// Changes returns what differs between two documents, in the order of paths.
func Changes(before, after map[string]any) []Change {
	changes := compare("", before, after)
	sort.Slice(changes, func(i, j int) bool { return changes[i].Path < changes[j].Path })
	return changes
}

func compare(path string, before, after any) []Change {
	below, wasObject := before.(map[string]any)
	above, isObject := after.(map[string]any)
	if !wasObject || !isObject {
		if reflect.DeepEqual(before, after) {
			return nil
		}
		return []Change{{Path: path, Before: before, After: after}}
	}
	var changes []Change
	for name, value := range below {
		changes = append(changes, compare(join(path, name), value, above[name])...)
	}
	for name, value := range above {
		if _, known := below[name]; !known {
			changes = append(changes, compare(join(path, name), nil, value)...)
		}
	}
	return changes
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return fmt.Sprintf("%s.%s", path, name)
}

// Changes returns what differs between two bundles, with the file in which it
// stands in front of each path: "base" or "overlay SITE".
func (b Bundle) Changes(after Bundle) []Change {
	var all []Change
	add := func(file string, changes []Change) {
		for _, c := range changes {
			c.Path = file + ": " + c.Path
			all = append(all, c)
		}
	}
	add("base", Changes(b.Base, after.Base))
	sites := map[string]bool{}
	for site := range b.Overlays {
		sites[site] = true
	}
	for site := range after.Overlays {
		sites[site] = true
	}
	names := make([]string, 0, len(sites))
	for site := range sites {
		names = append(names, site)
	}
	sort.Strings(names)
	for _, site := range names {
		add("overlay "+site, Changes(b.Overlays[site], after.Overlays[site]))
	}
	return all
}
