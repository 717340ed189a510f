package slots

import (
	"fmt"
	"testing"
	"time"

	"github.com/masticscale/masticscale/internal/fleet"
)

// newRestartedFleet returns a balancer that has heard n upstreams announce that they leave,
// and the entries with which they have registered again.
func newRestartedFleet(n int) (*Balancer, []fleet.Upstream) {
	now := time.Unix(1_000_000, 0)
	b := NewBalancer("dc0", 1)
	var restarted []fleet.Upstream
	for i := range n {
		u := fleet.Upstream{ID: fmt.Sprintf("u%04d", i), Service: "lm", DataCentre: "dc0", Slots: 8, Started: now.Add(-time.Hour)}
		b.PutUpstream(u)
		b.ReportLeaving(u, now)
		u.Started = now.Add(time.Second)
		restarted = append(restarted, u)
	}
	return b, restarted
}

// BenchmarkListAfterRestarts measures a list of 3,000 upstreams, each of which has announced
// that it leaves and has then restarted.
func BenchmarkListAfterRestarts(b *testing.B) {
	balancer, restarted := newRestartedFleet(3000)
	b.ReportAllocs()
	for b.Loop() {
		balancer.SetUpstreams(restarted)
	}
}
