package catalog

import (
	"slices"
	"time"
)

// PointerName is the name of the pointer object.
const PointerName = "current"

const maxHistory = 200 // accepted revisions that stay readable

// Pointer is the object that names the revision in force.
type Pointer struct {
	Revision int64          `json:"revision"`
	Object   string         `json:"object"`            // name of the revision's object
	History  []PointerEntry `json:"history,omitempty"` // accepted revisions, latest last
}

// PointerEntry is one accepted revision in the history.
type PointerEntry struct {
	Revision int64     `json:"revision"`
	Object   string    `json:"object"`
	Author   string    `json:"author,omitempty"`
	Note     string    `json:"note,omitempty"`
	Created  time.Time `json:"created"`
}

// next returns the pointer to a new revision, and the entries dropped from the
// history.
func (p Pointer) next(entry PointerEntry) (Pointer, []PointerEntry) {
	history := append(slices.Clone(p.History), entry)
	n := max(0, len(history)-maxHistory)
	return Pointer{Revision: entry.Revision, Object: entry.Object, History: history[n:]}, history[:n]
}
