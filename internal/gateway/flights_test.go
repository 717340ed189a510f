package gateway

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/claim"
)

// TestFlightsAreBounded keeps more answers than there is room for, some of them
// still running.
func TestFlightsAreBounded(t *testing.T) {
	c := qt.New(t)
	f := newFlights()
	for i := range 2 * maxFlights {
		name := fmt.Sprint(i)
		fl, first := f.join(name, "p")
		c.Assert(first, qt.IsTrue)
		switch i % 3 {
		case 0:
			f.land(name, fl, &claim.Response{Body: make([]byte, maxFlightBytes)})
		case 1:
			f.land(name, fl, nil)
		}
		c.Assert(f.bytes <= maxKnownBytes, qt.IsTrue)
	}
	kept := 0
	for _, fl := range f.known {
		if fl.answer != nil {
			kept += len(fl.answer.Body)
		}
	}
	c.Assert(f.bytes, qt.Equals, kept)
	c.Assert(len(f.known), qt.Equals, len(f.order))
	c.Assert(len(f.order) <= maxFlights, qt.IsTrue)
}
