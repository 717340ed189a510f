package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"github.com/masticscale/masticscale/internal/admission"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/claim/claimstore"
	"github.com/masticscale/masticscale/internal/claim/keeper"
	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/emulator/objectapi"
	"github.com/masticscale/masticscale/internal/gateway"
	"github.com/masticscale/masticscale/internal/httpreset"
	"github.com/masticscale/masticscale/internal/key"
	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/route"
	"github.com/masticscale/masticscale/internal/service"
	"github.com/masticscale/masticscale/internal/serving"
	"github.com/masticscale/masticscale/internal/team"
	"github.com/masticscale/masticscale/internal/telemetry"
	"github.com/masticscale/masticscale/internal/upstream"
	"github.com/masticscale/masticscale/internal/upstream/httpengine"
	"github.com/masticscale/masticscale/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// unlimited admits every request; the rate limiter has its own tests.
type unlimited struct{}

func (unlimited) Take(context.Context, string, team.Spec) error { return nil }

// fakeMembership is a membership in which the test decides which leases have lapsed.
type fakeMembership struct {
	self   membership.Host
	lapsed *sync.Map // keyed by host name
}

func (f fakeMembership) Self() membership.Host      { return f.self }
func (f fakeMembership) HoldsLease() bool           { return true }
func (f fakeMembership) Members() []membership.Host { return []membership.Host{f.self} }
func (f fakeMembership) Lapsed(o membership.Owner) bool {
	_, gone := f.lapsed.Load(o.Host)
	return gone
}

// fleet is a set of hosts that share one platform.
type fleet struct {
	c        *qt.C
	store    *objectapi.Server
	storeURL string
	lapsed   sync.Map
	secret   string // of team forecourt
	other    string // of team cafe
	logs     syncBuffer
	parts    catalog.ObjectSpecs
	limits   config.Limits
}

type syncBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func newFleet(c *qt.C) *fleet {
	f := &fleet{c: c, store: objectapi.New(), secret: key.NewSecret(), other: key.NewSecret()}
	server := httptest.NewServer(f.store.Handler())
	c.Cleanup(server.Close)
	f.storeURL = server.URL
	f.limits = config.Limits{RequestTimeoutSeconds: 20, ResponseIdleTimeoutSeconds: 0.5}
	spec := team.Spec{Rate: 1000, Burst: 1000}
	f.parts = catalog.ObjectSpecs{
		Teams:    map[string]team.Spec{"forecourt": spec, "cafe": spec},
		Keys:     map[key.ID]key.Spec{key.IDOf(f.secret): {Team: "forecourt"}, key.IDOf(f.other): {Team: "cafe"}},
		Services: map[string]service.Spec{},
		Routes:   map[string]route.Spec{},
	}
	return f
}

func (f *fleet) service(name string, kind service.Kind, addresses ...string) {
	s := service.Spec{Kind: kind, Upstreams: map[string]upstream.Spec{}}
	if kind == service.Engine {
		s.Models = []string{name}
	}
	for i, a := range addresses {
		s.Upstreams[fmt.Sprintf("u%d", i)] = upstream.Spec{Address: a}
	}
	f.parts.Services[name] = s
}

// host starts a host and returns its URL.
func (f *fleet) host(name string) string {
	url, _ := f.hostWithPool(name)
	return url
}

func (f *fleet) hostWithPool(name string) (string, *dispatch.Pool) {
	log := logrus.New()
	log.SetOutput(&f.logs)
	log.SetLevel(logrus.DebugLevel)
	metrics := telemetry.NewMetrics()
	cat := catalog.New()
	cat.ApplyConfig(1, config.Fleet{Limits: f.limits})
	cat.UpdateObjects(func(p *catalog.ObjectSpecs) {
		copyInto(p.Teams, f.parts.Teams)
		copyInto(p.Keys, f.parts.Keys)
		copyInto(p.Services, f.parts.Services)
		copyInto(p.Routes, f.parts.Routes)
	})
	engine := httpengine.New()
	pool := dispatch.NewPool()
	pool.Apply(cat.Current())
	controller := admission.NewController(pool, metrics)
	pool.OnFreed(controller.Wake)
	client := platform.NewStoreClient(f.storeURL, name)
	members := fakeMembership{membership.Host{Name: name, Epoch: 1}, &f.lapsed}
	suspects := dispatch.NewSuspects(dispatch.FingerprintKey("fleet"), client, members, log)
	path := serving.NewPipeline(controller, dispatch.NewDispatcher(pool, engine, suspects, metrics))
	claimKeeper := keeper.New(claimstore.New(client), members, log)
	var guard httpreset.Guard
	server := httptest.NewUnstartedServer(guard.Handler(gateway.New(cat, unlimited{}, path, nil, claimKeeper, metrics, log).Handler()))
	server.Config.ConnContext = httpreset.ConnContext
	server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { controller.Run(ctx) })
	wg.Go(func() { claimKeeper.Run(ctx) })
	f.c.Cleanup(func() {
		server.Close()
		cancel()
		wg.Wait()
		engine.Close()
		client.Close()
	})
	for { // wait until the controller runs
		probe, stop := context.WithCancel(context.Background())
		stop()
		_, err := controller.Admit(probe, admission.Request{Service: "probe", Class: dispatch.Online})
		if err == nil || !strings.Contains(err.Error(), "stopping") {
			return server.URL, pool
		}
		time.Sleep(time.Millisecond)
	}
}

func copyInto[K comparable, V any](to, from map[K]V) {
	for k, v := range from {
		to[k] = v
	}
}

// reply is a response as the caller received it.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // set if the response was cut off
}

func (r reply) execution() string { return r.header.Get("X-Masticscale-Execution") }

var httpClient = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// send makes a request; header holds alternating names and values. An empty
// value deletes the header.
func (f *fleet) send(method, target, body string, header ...string) reply {
	req, err := http.NewRequest(method, target, strings.NewReader(body))
	f.c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+f.secret)
	for i := 0; i+1 < len(header); i += 2 {
		if header[i+1] == "" {
			req.Header.Del(header[i])
			continue
		}
		req.Header.Add(header[i], header[i+1])
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(text), err}
}

func newHTTP(c *qt.C, handler http.Handler) string {
	server := httptest.NewServer(handler)
	c.Cleanup(server.Close)
	return server.URL
}
