package ratelimit

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/internal/team"
)

// benchMembers implements Membership with a lease that outlasts the benchmark.
type benchMembers struct{}

func (benchMembers) Self() membership.Host { return membership.Host{Name: "h0", Incarnation: "i"} }

func (benchMembers) Lease() (int64, time.Time) { return 1, time.Now().Add(time.Hour) }

func (benchMembers) Lapsed(membership.Owner) bool { return false }

func (benchMembers) Confirm(context.Context, membership.Owner) (membership.Lapse, error) {
	return membership.Lapse{}, nil
}

func newBenchLimiter() *ShareLimiter {
	log := logrus.New()
	log.SetOutput(io.Discard)
	specs := func(string) (team.Spec, bool) { return team.Spec{Rate: 1e9, Burst: 1e9}, true }
	return NewShareLimiter(nil, benchMembers{}, nil, specs, nil, NewMetrics(prometheus.NewRegistry()), log)
}

// shareOf returns a share with eight holders, the first of which is this host.
func shareOf(name string) objstore.Object {
	s := `{"pool":0,"holders":[`
	for i := range MaxHoldersByBurst {
		id := "i"
		if i > 0 {
			s += ","
			id = "4b0ad5a2-95a1-4b7c-a9a0-0c7a1c0c0d0" + fmt.Sprint(i)
		}
		s += fmt.Sprintf(`{"host":"h%d","incarnation":%q,"epoch":1,"address":"10.0.0.%d:7002","data_centre":"north-1","fraction":0.125,"reserved":0.1125}`, i, id, i)
	}
	return objstore.Object{Kind: objstore.KindRateShare, Name: name, Version: 1, Value: []byte(s + "]}")}
}

// BenchmarkTake measures a request of a team with local tokens.
func BenchmarkTake(b *testing.B) {
	e := newBenchLimiter()
	e.observeShare(shareOf("forecourt"))
	spec := team.Spec{Rate: 1e9, Burst: 1e9}
	time.Sleep(time.Second) // a holding starts without tokens
	for b.Loop() {
		if err := e.Take(context.Background(), "forecourt", spec); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkMemoryPerTeam measures the memory of one team with an observed share.
func BenchmarkMemoryPerTeam(b *testing.B) {
	const teams = 7200
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		e := newBenchLimiter()
		for i := range teams {
			e.observeShare(shareOf(fmt.Sprint("team-", i)))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/teams, "B/team")
		runtime.KeepAlive(e)
	}
}

// BenchmarkTick measures one maintenance run over 7,200 teams whose shares this
// host holds a part of.
func BenchmarkTick(b *testing.B) {
	const teams = 7200
	e := newBenchLimiter()
	for i := range teams {
		e.observeShare(shareOf(fmt.Sprint("team-", i)))
	}
	for b.Loop() {
		for _, t := range e.allTeams() {
			e.maintain(t)
		}
	}
}
