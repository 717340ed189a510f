package eventstream_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/eventstream"
)

// TestResumableSequenceBeginsWithALaterEvent guards against a stream that is taken for
// whole though events are missing before its first id.
func TestResumableSequenceBeginsWithALaterEvent(t *testing.T) {
	numbered := func(id string) eventstream.Event { return eventstream.Event{ID: id, Data: []byte("d")} }
	for _, tc := range []struct {
		name, after string
		ids         []string
		ok          bool
	}{
		{"the first event", "", []string{"1", "2"}, true},
		{"an event 0", "", []string{"0", "1"}, true},
		{"the second event", "", []string{"2"}, false},
		{"the event after the given one", "4", []string{"5", "6"}, true},
		{"a later event than that", "4", []string{"6"}, false},
		{"an id that isn't a number", "", []string{"a", "9"}, true},
		{"a number and an id that isn't one", "", []string{"1", "a"}, false},
		{"events without an id after the first", "", []string{"1", "", "2"}, true},
		{"no id after the given one", "4", []string{""}, false},
		{"no number after the given one", "4", []string{"a"}, false},
		{"no id after a given one that isn't a number", "a", []string{"", "b"}, true},
		{"an event without an id, then the second", "", []string{"", "2"}, true},
		{"an event without an id, then the third", "", []string{"", "3"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			s := eventstream.NewResumableSequence(tc.after)
			var err error
			for _, id := range tc.ids {
				if err = s.Add(numbered(id)); err != nil {
					break
				}
			}
			c.Assert(err == nil, qt.Equals, tc.ok, qt.Commentf("%v", err))
		})
	}
}
