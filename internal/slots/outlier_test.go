package slots_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/slots"
)

// greyFleet plays hosts that place requests at upstreams, some of which fail a
// part of them, and tell each other how runs end.
type greyFleet struct {
	boards []*slots.Balancer
	random *rand.Rand
	now    time.Time
}

func newGreyFleet(hosts, upstreamCount int) *greyFleet {
	f := &greyFleet{random: rand.New(rand.NewPCG(7, 7)), now: epoch}
	for i := range hosts {
		b := slots.NewBalancer(fmt.Sprint("dc", i%3), uint64(i))
		b.SetUpstreams(upstreams(upstreamCount, 8))
		f.boards = append(f.boards, b)
	}
	return f
}

// second plays a second with some requests, and returns how many failed.
func (f *greyFleet) second(requests int, fails func(host int, upstream string) bool) int {
	failed := 0
	for range requests {
		f.now = f.now.Add(time.Second / time.Duration(requests))
		i := f.random.IntN(len(f.boards))
		b := f.boards[i]
		id, ok := b.PlaceOnline("lm", nil, f.now)
		if !ok {
			continue
		}
		bad := fails(i, id)
		if bad {
			failed++
		}
		b.ReportRunResult(id, bad, f.now)
		f.tell(i)
	}
	return failed
}

func (f *greyFleet) tell(from int) {
	for i, b := range f.boards {
		if i != from {
			b.SetPeerOutcomes(fmt.Sprint("h", from), from%3 == i%3, f.boards[from].Outcomes(f.now), f.now)
		}
	}
}

// TestUpstreamsThatOnlyLookHealthy replays two of nine upstreams that fail two in
// five of their requests for half a minute while health checks pass, at the load
// of a small site. Without suspicion, nine in a hundred requests fail.
func TestUpstreamsThatOnlyLookHealthy(t *testing.T) {
	c := qt.New(t)
	f := newGreyFleet(8, 9)
	grey := func(_ int, id string) bool { return (id == "u1" || id == "u5") && f.random.Float64() < 0.4 }
	f.second(50, grey)
	f.second(50, grey)
	failed := 0
	for range 28 {
		failed += f.second(50, grey)
	}
	c.Assert(failed <= 50*28*2/100, qt.IsTrue, qt.Commentf("%d of %d failed", failed, 50*28))
	healthy := func(int, string) bool { return false }
	for range 30 {
		f.second(50, healthy)
	}
	c.Assert(f.boards[0].Capacity("lm", f.now).Upstreams, qt.Equals, 9)
}

// TestUpstreamThatFailsOneDataCentre replays an upstream that fails the callers of
// one data centre only: there it is avoided.
func TestUpstreamThatFailsOneDataCentre(t *testing.T) {
	c := qt.New(t)
	f := newGreyFleet(9, 9)
	grey := func(host int, id string) bool { return id == "u0" && host%3 == 0 && f.random.Float64() < 0.4 }
	failed := 0
	for n := range 40 {
		in := f.second(50, grey)
		if n >= 5 {
			failed += in
		}
	}
	c.Assert(failed <= 35*50/3*2/100, qt.IsTrue, qt.Commentf("%d failed", failed)) // of the data centre's requests
}

// TestCommonCauseSuspectsFew replays failures that are nobody's own, such as
// requests that fail everywhere: most upstreams stay in use.
func TestCommonCauseSuspectsFew(t *testing.T) {
	c := qt.New(t)
	f := newGreyFleet(8, 9)
	for range 20 {
		f.second(50, func(int, string) bool { return f.random.Float64() < 0.5 })
	}
	for _, b := range f.boards {
		c.Assert(b.Capacity("lm", f.now).Upstreams >= 6, qt.IsTrue)
	}
}

// TestRareFailuresAreNoPattern replays upstreams that break off one answer in
// fifty: at most one in a hundred is out of use by chance.
func TestRareFailuresAreNoPattern(t *testing.T) {
	c := qt.New(t)
	const seconds, seeds, hosts, all = 60, 10, 8, 9
	used := 0
	for seed := range uint64(seeds) {
		f := newGreyFleet(hosts, all)
		f.random = rand.New(rand.NewPCG(seed, 1))
		for range seconds {
			f.second(50, func(int, string) bool { return f.random.Float64() < 0.02 })
			for _, b := range f.boards {
				used += b.Capacity("lm", f.now).Upstreams
			}
		}
	}
	c.Assert(used >= seconds*seeds*hosts*all*99/100, qt.IsTrue, qt.Commentf("%d of %d", used, seconds*seeds*hosts*all))
}

// TestSuspectsServeWhenNothingElseIsFree: a run that may fail is better than a
// refusal.
func TestSuspectsServeWhenNothingElseIsFree(t *testing.T) {
	c := qt.New(t)
	b := board(3, 1)
	for range 4 {
		b.ReportRunResult("u1", true, epoch)
	}
	for _, want := range []bool{false, false, true} {
		r, ok := online(b, epoch)
		c.Assert(ok, qt.IsTrue)
		c.Assert(r.Upstream == "u1", qt.Equals, want)
	}
}
