package app

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/bubbletest"
)

// settled returns how long a drain of one second takes while requests arrive
// every 100 ms for a time.
func settled(arriving time.Duration) time.Duration {
	d := newDrain()
	started := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for time.Since(started) < arriving {
			d.arrived()
			time.Sleep(100 * time.Millisecond)
		}
	}()
	d.settle(context.Background(), time.Second)
	took := time.Since(started)
	<-done
	return took
}

// TestDrainLastsUntilBalancersHaveNoticed replays a balancer that takes twice the
// drain time to notice.
func TestDrainLastsUntilBalancersHaveNoticed(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		c.Assert(settled(0), qt.Equals, time.Second)
		c.Assert(settled(2*time.Second), qt.Equals, 1900*time.Millisecond+quietTime)
		c.Assert(settled(time.Minute) <= maxDrains*time.Second+quietTime, qt.IsTrue)
	})
}
