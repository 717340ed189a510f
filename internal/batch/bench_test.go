package batch

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/masticscale/masticscale/internal/emulator/objectapi"
	"github.com/masticscale/masticscale/internal/job"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/platform"
)

// instantExecutor returns a successful result without delay.
type instantExecutor struct{}

func (instantExecutor) Execute(_ context.Context, t Task) (job.ResultLine, error) {
	if err := t.Permit(); err != nil {
		return job.ResultLine{}, err
	}
	return responseLine(t.Item, 200), nil
}

const benchItems = 100 * job.MaxPartLines

// benchmarkJob measures the throughput of one large job on one host, from
// submission to the end of the job, in items per second.
func benchmarkJob(b *testing.B, store objstore.Store) {
	members := newFleet("h1")
	s := NewService(NewRepository(store))
	text := inputText(goodIDs(benchItems)...)
	r := NewRunner(NewRepository(store), store, instantExecutor{}, fleetView{members, "h1"}, testMetrics, discardLog())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	defer func() { cancel(); <-done }()
	b.ResetTimer()
	for b.Loop() {
		f, err := s.Upload(ctx, Upload{Team: "t"}, strings.NewReader(text))
		if err != nil {
			b.Fatal(err)
		}
		started := time.Now()
		j, err := s.Submit(ctx, Submission{Team: "t", File: f.ID, Endpoint: endpoints[0]})
		if err != nil {
			b.Fatal(err)
		}
		for !j.State.Terminal() {
			time.Sleep(time.Millisecond)
			if j, _, err = s.repo.Job(ctx, j.Team, j.ID); err != nil {
				b.Fatal(err)
			}
		}
		if j.Counts.Completed != benchItems {
			b.Fatalf("job ended as %+v", j.Counts)
		}
		b.ReportMetric(float64(benchItems)/time.Since(started).Seconds(), "items/s")
	}
}

func BenchmarkRunnerInMemory(b *testing.B) { benchmarkJob(b, newMemoryStore()) }

func BenchmarkRunnerOverHTTP(b *testing.B) {
	server := objectapi.New()
	web := httptest.NewServer(server.Handler())
	defer web.Close()
	client := platform.NewStoreClient(web.URL, "bench")
	defer client.Close()
	benchmarkJob(b, client)
}

// BenchmarkUpload measures validation and compression of a large file.
func BenchmarkUpload(b *testing.B) {
	text := inputText(goodIDs(benchItems)...)
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		s := NewService(NewRepository(newMemoryStore()))
		if _, err := s.Upload(context.Background(), Upload{Team: "t"}, strings.NewReader(text)); err != nil {
			b.Fatal(err)
		}
	}
}
