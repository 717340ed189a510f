package eventstream_test

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"github.com/masticscale/masticscale/internal/eventstream"
)

// chunks is a reader that returns the text in chunks of the given sizes, and then
// the end error.
type chunks struct {
	text  []byte
	sizes []int
	end   error
}

func (c *chunks) Read(p []byte) (int, error) {
	if len(c.text) == 0 {
		return 0, c.end
	}
	n := min(len(c.text), len(p))
	if len(c.sizes) > 0 {
		n = min(n, c.sizes[0])
		c.sizes = c.sizes[1:]
	}
	copy(p, c.text[:n])
	c.text = c.text[n:]
	return n, nil
}

func readAll(r io.Reader) ([]eventstream.Event, []byte, error) {
	reader := eventstream.NewReader(r)
	var all []eventstream.Event
	var raw []byte
	for {
		events, err := reader.Next()
		if err != nil {
			return all, raw, err
		}
		for _, e := range events {
			raw = append(raw, e.Raw...)
			all = append(all, e)
		}
	}
}

// TestAnyChunking checks that the events don't depend on the chunks in which the
// network delivers the stream.
func TestAnyChunking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "events")
		newline := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "newline")
		var text []byte
		for i := range n {
			text = fmt.Appendf(text, "id: %d%sdata: part %d%s%s", i+1, newline, i, newline, newline)
		}
		sizes := rapid.SliceOf(rapid.IntRange(1, 40)).Draw(t, "sizes")
		events, raw, err := readAll(&chunks{text: bytes.Clone(text), sizes: sizes, end: io.EOF})
		if !errors.Is(err, io.EOF) || len(events) != n || !bytes.Equal(raw, text) {
			t.Fatalf("%d events of %d, raw equal %v, end %v", len(events), n, bytes.Equal(raw, text), err)
		}
		for i, e := range events {
			if e.ID != fmt.Sprint(i+1) || string(e.Data) != fmt.Sprintf("part %d", i) {
				t.Fatalf("event %d is %q %q", i, e.ID, e.Data)
			}
		}
	})
}

func TestTruncatedEventIsUnexpectedEOF(t *testing.T) {
	c := qt.New(t)
	events, _, err := readAll(bytes.NewBufferString("id: 1\ndata: a\n\nid: 2\ndata: b"))
	c.Assert(events, qt.HasLen, 1)
	c.Assert(errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue)
}

func TestSourceErrorIsReturned(t *testing.T) {
	c := qt.New(t)
	sourceErr := errors.New("connection reset")
	events, _, err := readAll(io.MultiReader(bytes.NewBufferString("data: a\n\n"), iotest.ErrReader(sourceErr)))
	c.Assert(events, qt.HasLen, 1)
	c.Assert(errors.Is(err, sourceErr), qt.IsTrue)
}

func TestDataLinesAreJoined(t *testing.T) {
	c := qt.New(t)
	events, _, _ := readAll(bytes.NewBufferString("event: x\ndata: a\ndata:b\ndata:\n\n"))
	c.Assert(events, qt.HasLen, 1)
	c.Assert(string(events[0].Data), qt.Equals, "a\nb\n")
}

// TestFirstDataLineIsEmpty guards against an empty first line that is lost from an event's
// data, and an event of empty data that passes for a comment.
func TestFirstDataLineIsEmpty(t *testing.T) {
	c := qt.New(t)
	events, _, _ := readAll(bytes.NewBufferString("data:\ndata: b\n\ndata:\n\n: comment\n\n"))
	c.Assert(events, qt.HasLen, 3)
	c.Check(string(events[0].Data), qt.Equals, "\nb")
	c.Check(events[1].Data, qt.DeepEquals, []byte{})
	c.Check(events[2].Data, qt.IsNil)
}

func TestOversizedEventIsAnError(t *testing.T) {
	c := qt.New(t)
	_, _, err := readAll(io.LimitReader(endless{}, 16<<20))
	c.Assert(err, qt.ErrorMatches, "an event of the upstream exceeds .*")
}

// endless is a reader of an event that never ends.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}
