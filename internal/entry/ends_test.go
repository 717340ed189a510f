package entry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/entry"
)

// TestStreamWithoutItsFirstEventIsTakenForWhole guards against a resumable stream whose
// first events are missing and that reaches its caller as complete.
func TestStreamWithoutItsFirstEventIsTakenForWhole(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		w, err := serve(newCore(4), &script{steps: steps(events(2, 4, false), events(1, 4, false))}, "/stream/x", "k")
		c.Check(err, qt.IsNil)
		c.Check(w.Body.String(), qt.Equals, eventText(1, 4))
		w, err = serve(newCore(4), &script{steps: steps(events(2, 4, false), events(3, 4, false), events(2, 4, false))}, "/stream/x", "k")
		c.Check(apierr.IsKind(err, apierr.Unknown), qt.IsTrue, qt.Commentf("%v", err))
		c.Check(errors.Is(err, entry.ErrResponseTruncated), qt.IsFalse, qt.Commentf("%v", err))
		c.Check(w.Body.Len(), qt.Equals, 0)
	})
}

// TestStreamThatBeginsAnywhereIsRelayed checks that the ids of a stream that can't be
// resumed may begin with any number, and those of a resumable one with 0.
func TestStreamThatBeginsAnywhereIsRelayed(t *testing.T) {
	for path, first := range map[string]int{"/stream/fixed/x": 7, "/stream/x": 0} {
		t.Run(path, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := qt.New(t)
				w, err := serve(newCore(4), &script{steps: steps(events(first, 9, false))}, path, "k")
				c.Check(err, qt.IsNil)
				c.Check(w.Body.String(), qt.Equals, eventText(first, 9))
			})
		})
	}
}
