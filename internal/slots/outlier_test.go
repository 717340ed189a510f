package slots_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/slots"
)

// outlierFleet simulates hosts that exchange the outcomes of their requests, and
// upstreams of which some fail a part of the requests.
type outlierFleet struct {
	balancers []*slots.Balancer
	random    *rand.Rand
	now       time.Time
}

func newOutlierFleet(hosts, upstreamCount int) *outlierFleet {
	f := &outlierFleet{random: rand.New(rand.NewPCG(7, 7)), now: epoch}
	for i := range hosts {
		b := slots.NewBalancer(fmt.Sprint("dc", i%3), uint64(i))
		b.SetUpstreams(upstreams(upstreamCount, 8))
		f.balancers = append(f.balancers, b)
	}
	return f
}

// runSecond simulates one second of requests, and returns how many failed.
func (f *outlierFleet) runSecond(requests int, fails func(host int, upstream string) bool) int {
	failed := 0
	for range requests {
		f.now = f.now.Add(time.Second / time.Duration(requests))
		i := f.random.IntN(len(f.balancers))
		b := f.balancers[i]
		id, ok := b.PlaceOnline("lm", nil, f.now)
		if !ok {
			continue
		}
		isFailure := fails(i, id)
		if isFailure {
			failed++
		}
		b.ReportRunResult(id, isFailure, f.now)
		f.sendOutcomes(i)
	}
	return failed
}

func (f *outlierFleet) sendOutcomes(from int) {
	for i, b := range f.balancers {
		if i != from {
			b.SetPeerOutcomes(fmt.Sprint("h", from), from%3 == i%3, f.balancers[from].Outcomes(f.now), f.now)
		}
	}
}

// TestPartlyFailingUpstreamsAreEjected simulates two of nine upstreams that fail
// 40 % of their requests for half a minute while their health checks pass, at the
// load of a small site. Without ejection, 9 % of all requests fail.
func TestPartlyFailingUpstreamsAreEjected(t *testing.T) {
	c := qt.New(t)
	f := newOutlierFleet(8, 9)
	fails := func(_ int, id string) bool { return (id == "u1" || id == "u5") && f.random.Float64() < 0.4 }
	f.runSecond(50, fails)
	f.runSecond(50, fails)
	failed := 0
	for range 28 {
		failed += f.runSecond(50, fails)
	}
	c.Assert(failed <= 50*28*2/100, qt.IsTrue, qt.Commentf("%d of %d failed", failed, 50*28))
	healthy := func(int, string) bool { return false }
	for range 30 {
		f.runSecond(50, healthy)
	}
	c.Assert(f.balancers[0].Capacity("lm", f.now).Upstreams, qt.Equals, 9)
}

// TestUpstreamThatFailsOneDataCentre simulates an upstream that fails only for the
// hosts of one data centre: these hosts eject it.
func TestUpstreamThatFailsOneDataCentre(t *testing.T) {
	c := qt.New(t)
	f := newOutlierFleet(9, 9)
	fails := func(host int, id string) bool { return id == "u0" && host%3 == 0 && f.random.Float64() < 0.4 }
	failed := 0
	for n := range 40 {
		in := f.runSecond(50, fails)
		if n >= 5 {
			failed += in
		}
	}
	c.Assert(failed <= 35*50/3*2/100, qt.IsTrue, qt.Commentf("%d failed", failed)) // about a third of the requests come from the data centre
}

// TestCommonCauseEjectsFew simulates failures that no upstream causes, such as
// requests that fail everywhere: most upstreams stay in use.
func TestCommonCauseEjectsFew(t *testing.T) {
	c := qt.New(t)
	f := newOutlierFleet(8, 9)
	for range 20 {
		f.runSecond(50, func(int, string) bool { return f.random.Float64() < 0.5 })
	}
	for _, b := range f.balancers {
		c.Assert(b.Capacity("lm", f.now).Upstreams >= 6, qt.IsTrue)
	}
}

// TestRareFailuresDoNotEject simulates upstreams that abort 2 % of their responses:
// on average, at most 1 % of the upstreams are ejected by chance.
func TestRareFailuresDoNotEject(t *testing.T) {
	c := qt.New(t)
	const seconds, seeds, hosts, all = 60, 10, 8, 9
	used := 0
	for seed := range uint64(seeds) {
		f := newOutlierFleet(hosts, all)
		f.random = rand.New(rand.NewPCG(seed, 1))
		for range seconds {
			f.runSecond(50, func(int, string) bool { return f.random.Float64() < 0.02 })
			for _, b := range f.balancers {
				used += b.Capacity("lm", f.now).Upstreams
			}
		}
	}
	c.Assert(used >= seconds*seeds*hosts*all*99/100, qt.IsTrue, qt.Commentf("%d of %d", used, seconds*seeds*hosts*all))
}

// TestEjectedUpstreamServesWhenNoOtherIsFree checks that an ejected upstream gets
// requests that would otherwise be refused.
func TestEjectedUpstreamServesWhenNoOtherIsFree(t *testing.T) {
	c := qt.New(t)
	b := newBalancer(3, 1)
	for range 4 {
		b.ReportRunResult("u1", true, epoch)
	}
	for _, want := range []bool{false, false, true} {
		r, ok := startOnline(b, epoch)
		c.Assert(ok, qt.IsTrue)
		c.Assert(r.Upstream == "u1", qt.Equals, want)
	}
}
