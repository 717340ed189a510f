package catalog

import (
	"slices"
	"time"
)

// PointerName is the name of the object that points to the revision in force.
const PointerName = "current"

const historyKept = 200 // accepted revisions that can still be read

// Pointer is the object that names the revision in force.
type Pointer struct {
	Revision int64          `json:"revision"`
	Object   string         `json:"object"`            // name of the revision's object
	History  []PointerEntry `json:"history,omitempty"` // accepted revisions, the latest last
}

// PointerEntry is one accepted revision as the history tells it.
type PointerEntry struct {
	Revision int64     `json:"revision"`
	Object   string    `json:"object"`
	Author   string    `json:"author,omitempty"`
	Note     string    `json:"note,omitempty"`
	Created  time.Time `json:"created"`
}

// follow returns the pointer to the next revision, and the entries that the
// history no longer holds.
func (p Pointer) follow(entry PointerEntry) (Pointer, []PointerEntry) {
	history := append(slices.Clone(p.History), entry)
	n := max(0, len(history)-historyKept)
	return Pointer{Revision: entry.Revision, Object: entry.Object, History: history[n:]}, history[:n]
}
