package eventstream

import (
	"strconv"

	"github.com/go-faster/errors"
)

// Sequence checks that the events of an answer are in order. The answer may consist of
// several runs, each of which continues after the last event of the run before.
//
// Events with numeric ids must be numbered without gaps. The order of other ids isn't
// checked.
type Sequence struct{ lastID string }

// NewSequence returns the sequence of an answer that begins after the event with the id, or
// with the first event if the id is empty.
func NewSequence(afterID string) Sequence { return Sequence{lastID: afterID} }

// LastID returns the id after which the next run must continue. It is empty if that run
// must begin with the first event.
func (s *Sequence) LastID() string { return s.lastID }

// Add appends the event, unless it doesn't follow the last one.
func (s *Sequence) Add(e Event) error {
	if !follows(s.lastID, e.ID) {
		return errors.Errorf("event %q does not follow event %q", e.ID, s.lastID)
	}
	if e.ID != "" {
		s.lastID = e.ID
	}
	return nil
}

// follows reports whether the event id directly follows lastID.
func follows(lastID, id string) bool {
	last, err := strconv.ParseInt(lastID, 10, 64)
	if err != nil {
		return true // the first event, or a non-numeric id
	}
	number, err := strconv.ParseInt(id, 10, 64)
	return err != nil || number == last+1
}
