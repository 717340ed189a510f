// Package eventstream splits a text/event-stream body into events.
//
// An event is returned with its bytes unchanged, and only after its terminating
// blank line was read. The incomplete event at the end of a truncated stream is
// dropped.
package eventstream

import (
	"bytes"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/readlimit"
)

// MaxEventBytes limits the size of one event.
const MaxEventBytes = 256 << 10

// MaxIDBytes limits the size of an event's id, which is logged and sent in a header.
const MaxIDBytes = 128

// maxEventTime limits the time from the first field to the last byte of one event, without
// the time between calls of Next. Idle timeouts don't bound an event whose bytes
// trickle in.
const maxEventTime = 5 * time.Second

const readBytes = 8 << 10

// Event is one complete event.
type Event struct {
	Raw  []byte // including the terminating blank line
	ID   string // empty if the event has none
	Data []byte // the data lines, joined by line feeds; nil if there are none
}

// Reader reads events from a byte stream.
type Reader struct {
	source  io.Reader
	pending []byte        // read but not yet returned
	scanned int           // bytes of pending that hold no end of an event
	waited  time.Duration // for the rest of the first pending event
	err     error         // of the last read
	badID   error         // of an event whose id exceeds its limit; nothing after it is returned
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
		if r.badID != nil {
			return nil, r.badID
		}
		if r.err != nil {
			return nil, r.endError()
		}
		if len(r.pending) > MaxEventBytes {
			return nil, &readlimit.SizeError{What: "an event of the upstream", Limit: MaxEventBytes}
		}
		if r.waited >= maxEventTime {
			return nil, &readlimit.TimeError{What: "an event of the upstream", Limit: maxEventTime}
		}
		r.read()
	}
}

// Rest returns the blank lines after the last event, once Next has returned io.EOF.
func (r *Reader) Rest() []byte { return r.pending }

func (r *Reader) read() {
	buffer := make([]byte, readBytes)
	started := time.Now()
	n, err := r.source.Read(buffer)
	if hasFieldBytes(r.pending) {
		r.waited += time.Since(started)
	}
	r.pending = append(r.pending, buffer[:n]...)
	r.err = err
}

// hasFieldBytes reports whether the bytes after the last event begin the next one. Blank
// lines and comments don't: upstreams send them while they have no event.
func hasFieldBytes(pending []byte) bool {
	for line := range bytes.Lines(pending) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

func (r *Reader) endError() error {
	if errors.Is(r.err, io.EOF) && len(bytes.TrimSpace(r.pending)) > 0 {
		return io.ErrUnexpectedEOF
	}
	return r.err
}

// appendEvents moves the complete events from the pending bytes to the slice, up to one
// whose id exceeds its limit.
func (r *Reader) appendEvents(events []Event) []Event {
	for r.badID == nil {
		n := eventEnd(r.pending, r.scanned)
		if n == 0 {
			r.scanned = max(len(r.pending)-maxTerminatorBytes+1, 0)
			return events
		}
		e := parse(r.pending[:n])
		if len(e.ID) > MaxIDBytes {
			r.badID = &readlimit.SizeError{What: "the id of an event of the upstream", Limit: MaxIDBytes}
			break
		}
		events = append(events, e)
		r.pending, r.scanned, r.waited = r.pending[n:], 0, 0
	}
	return events
}

// maxTerminatorBytes is the length of the longest blank line with the line end before it.
const maxTerminatorBytes = len("\r\n\r\n")

// eventEnd returns the length of the first event including its blank line, or zero
// if no event is complete. No event ends before the given position.
func eventEnd(b []byte, from int) int {
	n := 0
	for _, terminator := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(b[from:], []byte(terminator)); i >= 0 && (n == 0 || from+i+len(terminator) < n) {
			n = from + i + len(terminator)
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
			if e.Data == nil {
				e.Data = []byte{}
			} else {
				e.Data = append(e.Data, '\n')
			}
			e.Data = append(e.Data, value...)
		}
	}
	return e
}
