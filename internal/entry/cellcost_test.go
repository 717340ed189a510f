package entry

import (
	"runtime"
	"testing"
	"time"
	"unsafe"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/fleet"
)

// newFleetOf300 returns the core of a host of 300 that knows 3,000 upstreams.
func newFleetOf300() *Core {
	core, _ := newLargeFleetCore(300)
	var list []fleet.Upstream
	for i := range 3000 {
		list = append(list, newUpstream(i))
	}
	core.SetUpstreams(list, 1)
	return core
}

// TestRegistrationDoesNotDivideAllUpstreams guards against all upstreams being copied, sorted
// and divided among the cells for each one that registers. It counts the bytes allocated: a
// list of all ids alone takes more.
func TestRegistrationDoesNotDivideAllUpstreams(t *testing.T) {
	c := qt.New(t)
	const changes = 20
	core := newFleetOf300()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range changes {
		core.cellUpdatedAt = time.Time{}
		core.UpdateUpstreams([]fleet.Upstream{newUpstream(3000 + i)}, nil, int64(2+i))
		c.Assert(core.cellOutdated, qt.IsFalse)
	}
	runtime.ReadMemStats(&after)
	bytes := (after.TotalAlloc - before.TotalAlloc) / changes
	c.Assert(bytes < 3000*uint64(unsafe.Sizeof("")), qt.IsTrue, qt.Commentf("%d bytes a registration", bytes))
}

// BenchmarkSpacedRegistration measures an upstream that registers and is removed, at a host
// of 300 that knows 3,000 upstreams. Both changes are far enough apart to change cells.
func BenchmarkSpacedRegistration(b *testing.B) {
	core := newFleetOf300()
	b.ReportAllocs()
	for i := int64(2); b.Loop(); i += 2 {
		core.cellUpdatedAt = time.Time{}
		core.UpdateUpstreams([]fleet.Upstream{newUpstream(3000)}, nil, i)
		core.cellUpdatedAt = time.Time{}
		core.UpdateUpstreams(nil, []string{"u3000"}, i+1)
	}
}
