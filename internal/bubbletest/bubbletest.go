// Package bubbletest runs tests with synthetic time.
package bubbletest

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// oneThread serialises bubbles, so that GOMAXPROCS is restored only when no bubble
// runs.
var oneThread sync.Mutex

// Run calls f in a synctest bubble while GOMAXPROCS is 1. Go 1.26 runs the timers
// of a bubble on the goroutine that finds them expired, but with one race context
// for the whole bubble: two threads that do so at once corrupt the race detector,
// which then ends the process with SIGSEGV or "ThreadSanitizer: CHECK failed".
func Run(t *testing.T, f func(*testing.T)) {
	t.Helper()
	oneThread.Lock()
	defer oneThread.Unlock()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, f)
}
