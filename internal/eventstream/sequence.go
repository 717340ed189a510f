package eventstream

import (
	"strconv"

	"github.com/go-faster/errors"
)

// Sequence checks that the events of an answer are in order. The answer may consist of
// several runs, each of which continues after the last event of the run before.
//
// Events with numeric ids must be numbered without gaps. The order of other ids isn't
// checked. Events without an id and without data, such as comments, don't count.
type Sequence struct {
	resumable bool
	lastID    string
	events    int64 // of all runs
	lastHasID bool  // the last event has an id
}

// NewSequence returns the sequence of an answer that begins after the event with the id, or
// with the first event if the id is empty. Its ids may begin with any number, and no other
// run can go on after its events.
func NewSequence(afterID string) Sequence { return Sequence{lastID: afterID} }

// NewResumableSequence is like NewSequence for an answer that may be resumed: its numeric
// ids count the events from the first one on.
func NewResumableSequence(afterID string) Sequence {
	return Sequence{lastID: afterID, resumable: true}
}

// LastID returns the id after which the next run must continue. It is empty if that run
// must begin with the first event.
func (s *Sequence) LastID() string { return s.lastID }

// CanResume reports whether another run can go on with the next event. After an event
// without an id there is nothing by which to ask for the one that follows.
func (s *Sequence) CanResume() bool { return s.events == 0 || s.resumable && s.lastHasID }

// Len returns the number of events that were added.
func (s *Sequence) Len() int64 { return s.events }

// Add appends the event, unless it doesn't follow the last one.
func (s *Sequence) Add(e Event) error {
	if e.ID == "" && e.Data == nil {
		return nil
	}
	if err := s.checkID(e.ID); err != nil {
		return err
	}
	s.events++
	s.lastHasID = e.ID != ""
	if s.lastHasID {
		s.lastID = e.ID
	}
	return nil
}

// checkID returns an error if events are missing before the one with the id.
func (s *Sequence) checkID(id string) error {
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return nil
	}
	if s.lastID == "" {
		if s.resumable && number > s.events+1 {
			return errors.Errorf("the stream begins with event %q; events before it are missing", id)
		}
		return nil
	}
	if last, err := strconv.ParseInt(s.lastID, 10, 64); err == nil && number != last+1 {
		return errors.Errorf("event %q does not follow event %q", id, s.lastID)
	}
	return nil
}
