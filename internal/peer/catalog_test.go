package peer_test

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/emulator/fault"
	"github.com/masticscale/masticscale/internal/emulator/objectapi"
	"github.com/masticscale/masticscale/internal/key"
	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/internal/peer"
	"github.com/masticscale/masticscale/internal/peer/link"
	"github.com/masticscale/masticscale/platform"
)

// staticMembership is a membership.View with fixed members.
type staticMembership struct {
	self int
	all  []membership.Host
}

func (f staticMembership) Self() membership.Host          { return f.all[f.self] }
func (f staticMembership) HoldsLease() bool               { return true }
func (f staticMembership) Members() []membership.Host     { return f.all }
func (f staticMembership) Lapsed(_ membership.Owner) bool { return false }

// fleet is a set of hosts that exchange their catalogs over loopback.
type fleet struct {
	store    *objstore.Client
	server   *objectapi.Server
	catalogs []*catalog.Catalog
	syncers  []*catalog.Syncer
	gossips  []*catalog.Gossip
}

func newFleet(b *testing.B, hosts int, withGossip bool) *fleet {
	f := &fleet{server: objectapi.New()}
	listener := httptest.NewServer(f.server.Handler())
	b.Cleanup(listener.CloseClientConnections)
	f.store = platform.NewStoreClient(listener.URL, "bench")
	log := logrus.New()
	log.SetOutput(io.Discard)
	members := make([]membership.Host, hosts)
	client := peer.NewClient(nil)
	for i := range hosts {
		cat := catalog.New()
		syncer := catalog.NewSyncer(f.store, cat, "", log)
		gossip := catalog.NewGossip(syncer, staticMembership{i, members}, client, nil, log)
		server := httptest.NewUnstartedServer(peer.NewHandler(peer.NewCatalogServer(gossip, cat).Registration()))
		server.Config.Protocols = link.Protocols()
		server.Start()
		b.Cleanup(server.CloseClientConnections)
		members[i] = membership.Host{Name: fmt.Sprintf("h%d", i), PeerAddress: strings.TrimPrefix(server.URL, "http://"), State: membership.Live}
		f.catalogs, f.syncers, f.gossips = append(f.catalogs, cat), append(f.syncers, syncer), append(f.gossips, gossip)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	b.Cleanup(func() { cancel(); wg.Wait() })
	for i := range hosts {
		wg.Go(func() { f.syncers[i].Run(ctx) })
		if withGossip {
			wg.Go(func() { f.gossips[i].Run(ctx) })
		}
	}
	f.await(func(i int) bool { return f.syncers[i].Ready() && (!withGossip || f.gossips[i].InitialRoundDone()) })
	return f
}

// await waits until the condition holds for every host.
func (f *fleet) await(holds func(i int) bool) {
	for i := range f.catalogs {
		for !holds(i) {
			time.Sleep(100 * time.Microsecond)
		}
	}
}

// BenchmarkSpread measures the time from the acknowledgement of a change until the
// last host applies it.
func BenchmarkSpread(b *testing.B) {
	for _, hosts := range []int{8, 32} {
		for _, path := range []string{"peers", "watch", "both"} {
			b.Run(fmt.Sprintf("hosts=%d/revision/%s", hosts, path), func(b *testing.B) { benchRevision(b, hosts, path) })
		}
		b.Run(fmt.Sprintf("hosts=%d/withdrawal/peers", hosts), func(b *testing.B) { benchWithdrawal(b, hosts) })
	}
}

func benchRevision(b *testing.B, hosts int, path string) {
	f := newFleet(b, hosts, path != "watch")
	if path == "peers" {
		f.server.Faults.Replace(fault.Faults{StaleWatch: true})
	}
	var worst, sum time.Duration
	for b.Loop() {
		r, err := catalog.AcceptRevision(context.Background(), f.store, config.Bundle{}, "", "", -1)
		if err != nil {
			b.Fatal(err)
		}
		start := time.Now()
		f.syncers[0].ApplyRevision(r)
		f.await(func(i int) bool { return f.catalogs[i].Current().Revision >= r.Number })
		took := time.Since(start)
		worst, sum = max(worst, took), sum+took
	}
	b.ReportMetric(float64(sum.Microseconds())/1000/float64(b.N), "ms/spread")
	b.ReportMetric(float64(worst.Microseconds())/1000, "ms-worst")
}

func benchWithdrawal(b *testing.B, hosts int) {
	f := newFleet(b, hosts, true)
	f.server.Faults.Replace(fault.Faults{StaleWatch: true})
	var worst, sum time.Duration
	for b.Loop() {
		id := key.IDOf(key.NewSecret())
		start := time.Now()
		f.gossips[0].Broadcast(context.Background(), catalog.Withdrawal{ID: id, At: start})
		f.await(func(i int) bool { return f.catalogs[i].IsWithdrawn(id) })
		took := time.Since(start)
		worst, sum = max(worst, took), sum+took
	}
	b.ReportMetric(float64(sum.Microseconds())/1000/float64(b.N), "ms/spread")
	b.ReportMetric(float64(worst.Microseconds())/1000, "ms-worst")
}
