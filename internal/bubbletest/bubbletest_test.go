package bubbletest_test

import (
	"sync"
	"testing"
	"time"

	"github.com/masticscale/masticscale/internal/bubbletest"
)

// Guards against corruption of the race detector by goroutines of one bubble that
// read channels of expired timers in parallel. Under the race detector, the process
// would crash.
func TestExpiredTimersInParallel(t *testing.T) {
	bubbletest.Run(t, func(*testing.T) {
		var readers sync.WaitGroup
		for range 32 {
			readers.Go(func() {
				for range 2000 {
					<-time.After(0)
				}
			})
		}
		readers.Wait()
	})
}
