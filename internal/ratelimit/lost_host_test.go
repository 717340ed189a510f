package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/team"
)

// TestLostHostsShareIsReclaimed kills one of two hosts. 45 seconds later the other
// host must have reclaimed its part: of a load of four fifths of the rate, fewer
// than 1 in 50 requests may be refused.
func TestLostHostsShareIsReclaimed(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		r := rand.New(rand.NewPCG(1, 0))
		f := newFleet(2, team.Spec{Rate: 50, Burst: 100})
		defer f.stop()
		either := func(_ time.Duration, r *rand.Rand) int { return r.IntN(2) }
		f.run(load{perSecond: 40, time: 20 * time.Second, place: either}, r)
		f.hosts[1].kill()
		time.Sleep(45 * time.Second)
		first := func(time.Duration, *rand.Rand) int { return 0 }
		a := f.run(load{perSecond: 40, time: 30 * time.Second, place: first}, r)
		c.Assert(a.refused*50 < a.inside, qt.IsTrue, qt.Commentf("%d of %d requests inside the rate were refused", a.refused, a.inside))
	})
}
