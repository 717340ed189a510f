package objstore

import "sync"

// historyObjects bounds the objects whose writers are remembered. A write on an
// object that was forgotten carries a shorter history.
const historyObjects = 8192

type objectKey struct {
	kind Kind
	name string
}

type remembered struct {
	version int64
	writers []writer
}

// history remembers the writers of objects that were read or written, so that
// an update carries them on without reading the object again.
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

// evictOne forgets any one object; the caller holds mu.
func (h *history) evictOne() {
	for key := range h.objects {
		delete(h.objects, key)
		return
	}
}

// of returns the writers that led to the version, as far as they are known.
func (h *history) of(kind Kind, name string, version int64) []writer {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.objects[objectKey{kind, name}]
	if version == 0 || r.version != version {
		return nil
	}
	return r.writers
}

// attemptState is what an object's history tells of an attempt.
type attemptState int

const (
	undecided  attemptState = iota // the object is as it was before the attempt
	applied                        // the attempt took effect
	superseded                     // another attempt took the place that this one needed
	untold                         // the history does not reach back far enough
)

// attemptStateOf reads the history of the object at version for an attempt that was
// made on version on, and returns the version that the attempt made.
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

// reachesCreation reports whether the history begins with the object's create.
func reachesCreation(writers []writer) bool {
	return len(writers) > 0 && writers[len(writers)-1].On == 0
}
