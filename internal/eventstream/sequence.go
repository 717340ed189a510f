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
	inRun     int64 // events of the current run
	lastHasID bool  // the last event has an id
}

// NewSequence returns the sequence of an answer that begins after the event with the id, or
// with the first event if the id is empty. Its ids may begin with any number, and no other
// run can go on after its events.
func NewSequence(afterID string) Sequence { return Sequence{lastID: afterID} }

// NewResumableSequence is like NewSequence for an answer that may be resumed: its numeric
// ids count the events from the first one on, and are followed by no others. A run that
// continues after a numeric id begins with the next one.
func NewResumableSequence(afterID string) Sequence {
	return Sequence{lastID: afterID, resumable: true}
}

// LastID returns the id after which the next run must continue. It is empty if that run
// must begin with the first event.
func (s *Sequence) LastID() string { return s.lastID }

// CanResume reports whether another run can go on with the next event. After an event
// without an id there is nothing by which to ask for the one that follows.
func (s *Sequence) CanResume() bool { return s.events == 0 || s.resumable && s.lastHasID }

// StartRun begins a run that continues after the last event.
func (s *Sequence) StartRun() { s.inRun = 0 }

// RunLen returns the number of events of the current run.
func (s *Sequence) RunLen() int64 { return s.inRun }

// Add appends the event, unless it doesn't follow the last one.
func (s *Sequence) Add(e Event) error {
	if e.ID == "" && e.Data == nil {
		return nil
	}
	if err := s.checkID(e.ID); err != nil {
		return err
	}
	s.events++
	s.inRun++
	s.lastHasID = e.ID != ""
	if s.lastHasID {
		s.lastID = e.ID
	}
	return nil
}

// checkID returns an error if the event with the id doesn't follow the last one.
func (s *Sequence) checkID(id string) error {
	number, err := strconv.ParseInt(id, 10, 64)
	isNumber := err == nil
	if s.lastID == "" {
		if s.resumable && isNumber && number > s.events+1 {
			return errors.Errorf("the stream begins with event %q; events before it are missing", id)
		}
		return nil
	}
	last, err := strconv.ParseInt(s.lastID, 10, 64)
	if err != nil || isNumber && number == last+1 || !isNumber && s.mayLackNumber(id) {
		return nil
	}
	return errors.Errorf("event %q does not follow event %q", id, s.lastID)
}

// mayLackNumber reports whether the id, which isn't a number, may follow one that is.
func (s *Sequence) mayLackNumber(id string) bool {
	return !s.resumable || id == "" && s.inRun > 0
}
