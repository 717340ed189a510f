package objstore

import "sync"

// maxHistoryObjects is the number of objects whose writers are cached. An update
// of an object that was evicted records a shorter history.
const historyObjects = 8192

type objectKey struct {
	kind Kind
	name string
}

type remembered struct {
	version int64
	writers []writer
}

// history caches the writers of objects that were read or written, so that an
// update can record them without reading the object again.
type history struct {
	mu      sync.Mutex
	objects map[objectKey]remembered
}

func newHistory() *history { return &history{objects: map[objectKey]remembered{}} }

func (h *history) remember(kind Kind, name string, version int64, writers []writer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := objectKey{kind, name}
	before, known := h.objects[key]
	if known && before.version > version {
		return
	}
	if !known && len(h.objects) >= historyObjects {
		h.evictOne()
	}
	h.objects[key] = remembered{version, writers}
}

// evictOne removes an arbitrary object. The caller holds mu.
func (h *history) evictOne() {
	for key := range h.objects {
		delete(h.objects, key)
		return
	}
}

// writersAt returns the known writers that led to the version, newest first.
func (h *history) of(kind Kind, name string, version int64) []writer {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.objects[objectKey{kind, name}]
	if version == 0 || r.version != version {
		return nil
	}
	return r.writers
}

// attemptState is the state of a write attempt according to the object's writers.
type attemptState int

const (
	undecided  attemptState = iota // the object still has the version before the attempt
	applied                        // the attempt took effect
	superseded                     // another attempt replaced the version that this one was to replace
	untold                         // the recorded writers don't reach back to the attempt
)

// attemptStateOf looks up an attempt to replace base among the writers of an
// object that is now at version. For an applied attempt, it also returns the
// version that the attempt created.
func attemptStateOf(version int64, writers []writer, attempt string, on int64) (attemptState, int64) {
	made := version
	for _, w := range writers {
		if w.Attempt == attempt {
			return applied, made
		}
		made = w.On
	}
	if version == on {
		return undecided, 0
	}
	for _, w := range writers {
		if w.On == on {
			return superseded, 0
		}
	}
	return untold, 0
}

// reachesCreation reports whether the oldest recorded writer created the object.
func reachesCreation(writers []writer) bool {
	return len(writers) > 0 && writers[len(writers)-1].On == 0
}
