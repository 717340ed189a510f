package mesh_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/masticscale/masticscale/internal/mesh"
)

// BenchmarkPeerConnections reports the memory that a host and its peers use for their streams,
// outward and inward, both ends together.
func BenchmarkPeerConnections(b *testing.B) {
	for _, peers := range []int{35, 294} {
		b.Run(fmt.Sprint(peers), func(b *testing.B) {
			memory := func() float64 {
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				return float64(m.HeapInuse + m.StackInuse)
			}
			for range b.N {
				before := memory()
				host := newTestHost(b, "h", "127.0.0.1:0")
				addresses := map[string]bool{}
				var all []*testHost
				for n := range peers {
					p := newTestHost(b, fmt.Sprint("p", n), "127.0.0.1:0")
					p.mesh.SetPeers(map[string]bool{host.state.Address: true})
					addresses[p.state.Address] = true
					all = append(all, p)
				}
				idle := memory()
				host.mesh.SetPeers(addresses)
				for _, p := range all {
					if !p.awaitState("h", func(mesh.State) bool { return true }) {
						b.Fatal("a peer has received no state")
					}
				}
				time.Sleep(time.Second)
				b.ReportMetric((memory()-before)/float64(peers)/1024, "KB/peer")
				b.ReportMetric((idle-before)/float64(peers)/1024, "KB/peer-inward")
			}
		})
	}
}
