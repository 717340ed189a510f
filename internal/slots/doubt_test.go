package slots_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/slots"
)

// TestCutDataCentresAreTriedLast replays a cut: this host hears none of the other
// data centres' hosts. What its own upstreams can take goes there; beyond that one
// request at a time tries the others, and its failure counts for its whole data
// centre. It failed with every third request waiting for a connection timeout.
func TestCutDataCentresAreTriedLast(t *testing.T) {
	c := qt.New(t)
	b := board(9, 8) // 24 slots in each data centre
	b.SetUnheard(map[string]bool{"dc1": true, "dc2": true})
	for range 24 {
		r, ok := online(b, epoch)
		c.Assert(ok, qt.IsTrue)
		c.Assert(dataCentreOf(b, r), qt.Equals, "dc0")
	}
	first, ok := online(b, epoch)
	c.Assert(ok, qt.IsTrue)
	second, ok := online(b, epoch)
	c.Assert(ok, qt.IsTrue)
	c.Assert(dataCentreOf(b, first), qt.Not(qt.Equals), dataCentreOf(b, second))
	_, ok = online(b, epoch)
	c.Assert(ok, qt.IsFalse)
	for _, r := range []*slots.Run{first, second} {
		b.Failed(r.Upstream, epoch)
		b.Finish(r)
	}
	_, ok = online(b, epoch)
	c.Assert(ok, qt.IsFalse)
	_, ok = online(b, epoch.Add(time.Second)) // tried again
	c.Assert(ok, qt.IsTrue)
}

// TestLostHostsLeaveTheirUpstreams replays the loss of all hosts of a data centre
// whose upstreams live on: the first answer shows that they are in reach.
func TestLostHostsLeaveTheirUpstreams(t *testing.T) {
	c := qt.New(t)
	b := board(9, 8)
	b.SetUnheard(map[string]bool{"dc1": true})
	var probe *slots.Run
	for probe == nil {
		r, ok := online(b, epoch)
		c.Assert(ok, qt.IsTrue)
		if dataCentreOf(b, r) == "dc1" {
			probe = r
		}
	}
	_, ok := online(b, epoch)
	c.Assert(ok, qt.IsFalse) // 48 slots are taken, and one request finds out
	b.Succeeded(probe.Upstream)
	for range 23 {
		r, ok := online(b, epoch)
		c.Assert(ok, qt.IsTrue)
		c.Assert(dataCentreOf(b, r), qt.Equals, "dc1")
	}
	b.Failed(probe.Upstream, epoch) // one that crashes later is one only
	b.Finish(probe)
	c.Assert(b.Tally("lm", epoch).Upstreams, qt.Equals, 6)
	b.SetUnheard(nil)
	c.Assert(b.Tally("lm", epoch).Upstreams, qt.Equals, 8)
}

// TestBatchFindsOut: an item tries a data centre that may be cut off when there
// is no other slot for it.
func TestBatchFindsOut(t *testing.T) {
	c := qt.New(t)
	b := board(3, 8)
	b.SetUnheard(map[string]bool{"dc1": true, "dc2": true})
	tried := map[string]int{}
	for {
		r, ok := item(b, epoch, epoch)
		if !ok {
			break
		}
		tried[dataCentreOf(b, r)]++
	}
	c.Assert(tried["dc0"] >= 7, qt.IsTrue, qt.Commentf("%v", tried))
	c.Assert(tried["dc1"], qt.Equals, 1)
	c.Assert(tried["dc2"], qt.Equals, 1)
}

func dataCentreOf(b *slots.Board, r *slots.Run) string {
	u, _ := b.Upstream(r.Upstream)
	return u.DataCentre
}
