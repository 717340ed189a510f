package app

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/bubbletest"
)

// measureDrain returns how long a drain of one second takes if requests arrive every
// 100 ms for the given time.
func measureDrain(arrivalTime time.Duration) time.Duration {
	d := newDrainer()
	started := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for time.Since(started) < arrivalTime {
			d.recordArrival()
			time.Sleep(100 * time.Millisecond)
		}
	}()
	d.waitUntilQuiet(context.Background(), time.Second)
	took := time.Since(started)
	<-done
	return took
}

// TestDrainWaitsWhileRequestsArrive simulates balancers that stop sending requests
// immediately, after twice the drain time, and only after the limit.
func TestDrainWaitsWhileRequestsArrive(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		c.Assert(measureDrain(0), qt.Equals, time.Second)
		c.Assert(measureDrain(2*time.Second), qt.Equals, 1900*time.Millisecond+quietPeriod)
		c.Assert(measureDrain(time.Minute) <= maxDrainFactor*time.Second+quietPeriod, qt.IsTrue)
	})
}
