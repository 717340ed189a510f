package entry_test

import (
	"fmt"
	"testing"

	"github.com/masticscale/masticscale/internal/mesh"
)

// BenchmarkWatchRole measures the decision whether a host of 250 watches the store, which
// each watch loop of a host that doesn't makes 25 times a second.
func BenchmarkWatchRole(b *testing.B) {
	core := newCore(0)
	for n := range 249 {
		core.MergeState(mesh.State{Host: fmt.Sprint("peer-", n), Incarnation: "i", DataCentre: fmt.Sprint("dc", n%5), StoreReachable: true, Watching: n < 10})
	}
	core.SetStoreReachable(true)
	b.ReportAllocs()
	for b.Loop() {
		core.ShouldWatchStore()
	}
}
