package config

import (
	"fmt"
	"reflect"
	"sort"
)

// Change is one difference between two documents.
type Change struct {
	Path   string `json:"path"`
	Before any    `json:"before,omitempty"` // nil if the value was added
	After  any    `json:"after,omitempty"`  // nil if the value was removed
}

// Changes returns the differences between two documents, sorted by path.
func Changes(before, after map[string]any) []Change {
	changes := diff("", before, after)
	sort.Slice(changes, func(i, j int) bool { return changes[i].Path < changes[j].Path })
	return changes
}

func diff(path string, before, after any) []Change {
	beforeObject, wasObject := before.(map[string]any)
	afterObject, isObject := after.(map[string]any)
	if !wasObject || !isObject {
		if reflect.DeepEqual(before, after) {
			return nil
		}
		return []Change{{Path: path, Before: before, After: after}}
	}
	var changes []Change
	for name, value := range beforeObject {
		changes = append(changes, diff(joinPath(path, name), value, afterObject[name])...)
	}
	for name, value := range afterObject {
		if _, known := beforeObject[name]; !known {
			changes = append(changes, diff(joinPath(path, name), nil, value)...)
		}
	}
	return changes
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return fmt.Sprintf("%s.%s", path, name)
}

// Changes returns the differences between two bundles. Each path is prefixed
// with the file that contains it: "base" or "overlay SITE".
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
