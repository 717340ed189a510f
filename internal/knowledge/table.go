package knowledge

import (
	"bytes"
	"encoding/json"

	"github.com/masticscale/masticscale/internal/fleet"
)

// upstreamEntry is an upstream's entry in the store.
type upstreamEntry struct {
	raw      json.RawMessage
	upstream fleet.Upstream
	invalid  bool // upstream is empty
}

// upstreamTable holds the entries of the upstreams by id, decoded once each.
type upstreamTable struct {
	entries map[string]upstreamEntry
	valid   int
	leaving int
}

func newUpstreamTable() *upstreamTable {
	return &upstreamTable{entries: map[string]upstreamEntry{}}
}

func (t *upstreamTable) put(id string, e upstreamEntry) {
	t.remove(id)
	t.entries[id] = e
	t.count(e, 1)
}

func (t *upstreamTable) remove(id string) {
	e, ok := t.entries[id]
	if !ok {
		return
	}
	delete(t.entries, id)
	t.count(e, -1)
}

// count changes the counts of an entry's kind by n.
func (t *upstreamTable) count(e upstreamEntry, n int) {
	if e.invalid {
		return
	}
	t.valid += n
	if e.upstream.Leaving {
		t.leaving += n
	}
}

// upstreams returns the upstreams with a valid entry.
func (t *upstreamTable) upstreams() []fleet.Upstream {
	list := make([]fleet.Upstream, 0, t.valid)
	for _, e := range t.entries {
		if !e.invalid {
			list = append(list, e.upstream)
		}
	}
	return list
}

// differing returns the ids of the entries that the other table lacks, adds or changes.
func (t *upstreamTable) differing(other *upstreamTable) []string {
	var ids []string
	for id, e := range other.entries {
		if own, ok := t.entries[id]; !ok || !bytes.Equal(own.raw, e.raw) {
			ids = append(ids, id)
		}
	}
	for id := range t.entries {
		if _, ok := other.entries[id]; !ok {
			ids = append(ids, id)
		}
	}
	return ids
}
