package mesh_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/masticscale/masticscale/internal/mesh"
)

// BenchmarkFetchSnapshot measures a list of 3,000 upstreams that a host fetches from a peer,
// both ends of the call together.
func BenchmarkFetchSnapshot(b *testing.B) {
	fetching, peer := newTestHost(b, "a", "127.0.0.1:0"), newTestHost(b, "b", "127.0.0.1:0")
	peer.snapshot = mesh.Snapshot{Versions: mesh.Versions{Upstreams: 2}, Upstreams: map[string][]byte{}}
	for i := range 3000 {
		entry := fmt.Sprintf(`{"service":"lm","address":"10.0.%d.%d:8080","data_centre":"dc%d","slots":8,"state":"ready","started":"2026-01-02T03:04:05.678Z"}`, i/250, i%250, i%3)
		peer.snapshot.Upstreams[fmt.Sprintf("u%05d", i)] = []byte(entry)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := fetching.mesh.FetchSnapshot(context.Background(), peer.state.Address, mesh.Versions{Upstreams: 1}); err != nil {
			b.Fatal(err)
		}
	}
}
