// Package eventstream splits a text/event-stream body into events.
//
// An event is returned with its bytes unchanged, and only after its terminating
// blank line was read. The incomplete event at the end of a truncated stream is
// dropped.
package eventstream

import (
	"bytes"
	"io"

	"github.com/go-faster/errors"
)

// maxEventBytes bounds the size of one event; a longer event is an error.
const maxEventBytes = 4 << 20

const readBytes = 8 << 10

// Event is one complete event.
type Event struct {
	Raw  []byte // including the terminating blank line
	ID   string // empty if the event has none
	Data []byte // the data lines, joined by line feeds
}

// Reader reads events from a byte stream.
type Reader struct {
	source  io.Reader
	pending []byte // read but not yet returned
	err     error  // of the last read
}

// NewReader returns a Reader of the source.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Next blocks until at least one event is complete and returns all complete events.
// It returns io.EOF if the source ended after a complete event, and
// io.ErrUnexpectedEOF if the source ended within one. The events are valid until
// the next call.
func (r *Reader) Next() ([]Event, error) {
	var events []Event
	for {
		events = r.appendEvents(events)
		if len(events) > 0 {
			return events, nil
		}
		if r.err != nil {
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
	r.err = err
}

func (r *Reader) endError() error {
	if errors.Is(r.err, io.EOF) && len(bytes.TrimSpace(r.pending)) > 0 {
		return io.ErrUnexpectedEOF
	}
	return r.err
}

// appendEvents moves the complete events from the pending bytes to the slice.
func (r *Reader) appendEvents(events []Event) []Event {
	for {
		n := eventEnd(r.pending)
		if n == 0 {
			return events
		}
		events = append(events, parse(r.pending[:n]))
		r.pending = r.pending[n:]
	}
}

// eventEnd returns the length of the first event including its blank line, or zero
// if no event is complete.
func eventEnd(b []byte) int {
	n := 0
	for _, terminator := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(b, []byte(terminator)); i >= 0 && (n == 0 || i+len(terminator) < n) {
			n = i + len(terminator)
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
