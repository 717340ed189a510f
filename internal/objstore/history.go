package objstore

import "sync"

// maxHistoryObjects is the number of objects whose writers are cached. An update
// of an object that was evicted records a shorter history.
const maxHistoryObjects = 8192

type objectKey struct {
	kind Kind
	name string
}

type historyEntry struct {
	version int64
	writers []writer
}

// history caches the writers of objects that were read or written, so that an
// update can record them without reading the object again.
type history struct {
	mu      sync.Mutex
	objects map[objectKey]historyEntry
}

func newHistory() *history { return &history{objects: map[objectKey]historyEntry{}} }

func (h *history) record(kind Kind, name string, version int64, writers []writer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := objectKey{kind, name}
	cached, found := h.objects[key]
	if found && cached.version > version {
		return
	}
	if !found && len(h.objects) >= maxHistoryObjects {
		h.evictOne()
	}
	h.objects[key] = historyEntry{version, writers}
}

// evictOne removes an arbitrary object. The caller holds mu.
func (h *history) evictOne() {
	for key := range h.objects {
		delete(h.objects, key)
		return
	}
}

// writersAt returns the known writers that led to the version, newest first.
func (h *history) writersAt(kind Kind, name string, version int64) []writer {
	h.mu.Lock()
	defer h.mu.Unlock()
	entry := h.objects[objectKey{kind, name}]
	if version == 0 || entry.version != version {
		return nil
	}
	return entry.writers
}

// attemptState is the state of a write attempt according to the object's writers.
type attemptState int

const (
	pending         attemptState = iota // the object still has the version before the attempt
	applied                             // the attempt took effect
	superseded                          // another attempt replaced the same version
	historyTooShort                     // the recorded writers don't reach back to the attempt
)

// resolveAttempt looks up an attempt to replace base among the writers of an
// object that is now at version. For an applied attempt, it also returns the
// version that the attempt created.
func resolveAttempt(version int64, writers []writer, attempt string, base int64) (attemptState, int64) {
	created := version
	for _, w := range writers {
		if w.Attempt == attempt {
			return applied, created
		}
		created = w.BaseVersion
	}
	if version == base {
		return pending, 0
	}
	for _, w := range writers {
		if w.BaseVersion == base {
			return superseded, 0
		}
	}
	return historyTooShort, 0
}

// reachesCreation reports whether the oldest recorded writer created the object.
func reachesCreation(writers []writer) bool {
	return len(writers) > 0 && writers[len(writers)-1].BaseVersion == 0
}
