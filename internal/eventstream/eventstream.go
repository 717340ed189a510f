// Package eventstream cuts a text/event-stream into whole events.
//
// Contract: an event is handed on with its bytes unchanged and only when its
// closing blank line has come. The rest of a stream that breaks off in the
// middle of an event is dropped.
package eventstream

import (
	"bytes"
	"io"

	"github.com/go-faster/errors"
)

// maxEventBytes bounds one event; longer ones are an error.
const maxEventBytes = 4 << 20

const readBytes = 8 << 10

// Event is one whole event.
type Event struct {
	Raw  []byte // with its closing blank line
	ID   string // empty where the event has none
	Data []byte // its data lines, joined by line feeds
}

// Reader reads events.
type Reader struct {
	source  io.Reader
	pending []byte // read and not yet handed on
	end     error
}

// NewReader returns a reader of the source.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Next returns the events that have come, at least one. It returns io.EOF when
// the source ended after a whole event, and io.ErrUnexpectedEOF when it ended
// within one. The events are valid until the next call.
func (r *Reader) Next() ([]Event, error) {
	var events []Event
	for {
		events = r.cut(events)
		if len(events) > 0 {
			return events, nil
		}
		if r.end != nil {
			return nil, r.endError()
		}
		if len(r.pending) > maxEventBytes {
			return nil, errors.Errorf("an event of the upstream exceeds %d bytes", maxEventBytes)
		}
		r.read()
	}
}

func (r *Reader) read() {
	buffer := make([]byte, readBytes)
	n, err := r.source.Read(buffer)
	r.pending = append(r.pending, buffer[:n]...)
	r.end = err
}

func (r *Reader) endError() error {
	if errors.Is(r.end, io.EOF) && len(bytes.TrimSpace(r.pending)) > 0 {
		return io.ErrUnexpectedEOF
	}
	return r.end
}

// cut takes the whole events from the pending bytes.
func (r *Reader) cut(events []Event) []Event {
	for {
		n := eventEnd(r.pending)
		if n == 0 {
			return events
		}
		events = append(events, parse(r.pending[:n]))
		r.pending = r.pending[n:]
	}
}

// eventEnd returns the length of the first event with its blank line, or zero.
func eventEnd(b []byte) int {
	n := 0
	for _, end := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(b, []byte(end)); i >= 0 && (n == 0 || i+len(end) < n) {
			n = i + len(end)
		}
	}
	return n
}

func parse(raw []byte) Event {
	e := Event{Raw: raw}
	for line := range bytes.Lines(raw) {
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			e.ID = string(value)
		case "data":
			if e.Data != nil {
				e.Data = append(e.Data, '\n')
			}
			e.Data = append(e.Data, value...)
		}
	}
	return e
}
