package fleethost

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/jobs"
	"github.com/masticscale/masticscale/internal/knowledge"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/internal/peer/link"
	"github.com/masticscale/masticscale/internal/telemetry"
	"github.com/masticscale/masticscale/internal/upstream/connpool"
	"github.com/masticscale/masticscale/platform"
)

const (
	memoryPart     = 0.7 // of the process's limit, above which Go collects garbage harder
	collectPercent = 100 // growth of the heap between collections
	headerTimeout  = 10 * time.Second
	idleTimeout    = 75 * time.Second // longer than callers keep a connection idle
	headerBytes    = 64 << 10
	watchWait      = 20 * time.Second // of one poll: each is charged
	logFlushTime   = 200 * time.Millisecond
	settingsPeriod = time.Second             // between looks at the settings file
	balancerTime   = 2500 * time.Millisecond // in which the balancer has noticed that the host isn't ready
	stopMargin     = 1200 * time.Millisecond // before the kill, for closing what is left
	poolPeriod     = 5 * time.Second         // between looks for stale connections
)

// Host is one host before a fleet of upstreams.
type Host struct {
	settings Settings
	path     string
	log      *logrus.Logger
	out      *telemetry.AsyncWriter
	metrics  *telemetry.Metrics
	core     *entry.Core
	source   *knowledge.Source
	runner   *jobs.Runner
	direct   *platform.Store // calls that no peer makes for this host
	peers    *mesh.Mesh
	store    *objstore.Client
	watched  *objstore.Client
	pool     *connpool.Pool
	online   *entry.Handler
	stopping atomic.Bool
}

// NewHost returns a host with the settings in the file.
func NewHost(path string) (*Host, error) {
	settings, err := ReadSettings(path)
	if err != nil {
		return nil, err
	}
	if err := settings.checkHost(); err != nil {
		return nil, err
	}
	tune(settings)
	out, log, err := newLog(settings, os.Stdout)
	if err != nil {
		return nil, err
	}
	h := &Host{settings: settings, path: path, log: log, out: out, metrics: telemetry.NewMetrics(), pool: connpool.New()}
	self := entry.Identity{
		Name: settings.Name, Incarnation: uuid.NewString(), DataCentre: settings.DataCentre, PeerAddress: settings.Listen.PeersAt,
	}
	h.core = entry.NewCore(self, log)
	h.direct = newTransport(settings, log)
	h.store = newStore(settings, objstore.NewRelayedTransport(h.direct, h.relay), h.metrics)
	upstreams := platform.NewUpstreams(h.pool)
	h.online = entry.NewHandler(h.core, upstreams, h.metrics, log)
	h.runner = jobs.NewRunner(self, h.core, h.store, upstreams, h.metrics, log)
	// What a host knows is followed directly: peers tell what they know themselves.
	h.watched = newStore(settings, h.direct, h.metrics)
	h.source = knowledge.NewSource(self, h.watched, platform.Decoder{}, h.core, settings.Seeds, log)
	return h, nil
}

func newTransport(s Settings, log logrus.FieldLogger) *platform.Store {
	return platform.NewStore("http://"+s.Store, platform.StoreDial(), log)
}

func newStore(s Settings, t objstore.Transport, m *telemetry.Metrics) *objstore.Client {
	return objstore.NewClient(t, s.Name, objstore.WithObserver(m), objstore.WithWatchWait(watchWait))
}

// relay makes a call to the store through a peer that it serves.
func (h *Host) relay(ctx context.Context, c objstore.Call) (objstore.Page, error) {
	address, found := h.core.StorePeer()
	if !found {
		return objstore.Page{}, errors.Wrap(objstore.ErrUnavailable, "the platform's store turns this host away, and no peer reaches it")
	}
	return h.peers.StoreCall(ctx, address, c)
}

// tune bounds the runtime to what the process may use.
func tune(s Settings) {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryPart * (1 << 20)))
	}
	debug.SetGCPercent(collectPercent)
	if s.Cores > 0 {
		runtime.GOMAXPROCS(s.Cores)
	}
}

func newLog(s Settings, to io.Writer) (*telemetry.AsyncWriter, *logrus.Logger, error) {
	out := telemetry.NewAsyncWriter(to)
	log, err := telemetry.NewLogger(out, s.LogLevel, s.Name)
	if err != nil {
		return nil, nil, err
	}
	telemetry.LimitEvents(log, s.LogLines)
	return out, log, nil
}

// Run serves until ctx ends, then stops gracefully.
func (h *Host) Run(ctx context.Context) error {
	duties, stopDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDuties()
	jobCtx, stopJobs := context.WithCancel(duties)
	defer stopJobs()
	peers := mesh.New(duties, h.settings.Listen.PeersAt, h.core, h.runner, h.source, h.log)
	peers.SetStore(h.direct)
	h.peers = peers
	h.runner.SetPeers(peers)
	h.source.SetPeers(peers)
	h.core.OnChanged(peers.Changed)
	h.core.OnUrgent(peers.Urgent)
	h.core.OnPeer(h.runner.PeerChanged)
	h.core.OnEnded(h.runner.StopEnded)
	servers, failed, err := h.listen(peers)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	wg.Go(func() { h.core.Run(duties) })
	wg.Go(func() { h.source.Run(duties) })
	wg.Go(func() { h.runner.Run(jobCtx) })
	wg.Go(func() { h.tidyPool(duties) })
	wg.Go(func() { followSettings(duties, h.path, h.log) })
	h.log.WithFields(logrus.Fields{"event": "host_started", "callers": h.settings.Listen.Callers, "peers": h.settings.Listen.Peers, "store": h.settings.Store}).Info("host started")
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	h.stop(servers, stopJobs)
	stopDuties()
	wg.Wait()
	peers.Wait()
	h.store.Close()
	h.pool.Close()
	h.log.WithField("event", "host_stopped").WithField("log_lines_dropped", h.out.Dropped()).Info("host stopped")
	h.out.Close(logFlushTime)
	return err
}

type server struct {
	name string
	http *http.Server
}

// listen opens the host's addresses.
func (h *Host) listen(peers *mesh.Mesh) ([]server, <-chan error, error) {
	callers := platform.NewCallers(h.core, h.online, h.runner, h.stopping.Load, h.log)
	readiness := http.NewServeMux()
	readiness.HandleFunc("/", h.ready)
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", promhttp.HandlerFor(h.metrics.Registry, promhttp.HandlerOpts{}))
	failed := make(chan error, 4)
	var servers []server
	for _, l := range []struct {
		name, address string
		handler       http.Handler
		protocols     *http.Protocols
	}{
		{"peers", h.settings.Listen.Peers, peers.Handler(), link.Protocols()},
		{"metrics", h.settings.Listen.Metrics, metrics, nil},
		{"readiness", h.settings.Listen.Readiness, readiness, nil},
		{"callers", h.settings.Listen.Callers, callers.Handler(), nil},
	} {
		if l.address == "" {
			continue
		}
		socket, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, nil, errors.Wrapf(err, "listen for %s; free the address or choose another", l.name)
		}
		s := server{l.name, &http.Server{
			Handler: l.handler, Protocols: l.protocols, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		}}
		servers = append(servers, s)
		go func() {
			if err := s.http.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
				failed <- errors.Wrapf(err, "serve %s", l.name)
			}
		}()
	}
	return servers, failed, nil
}

// ready answers the balancer.
func (h *Host) ready(w http.ResponseWriter, _ *http.Request) {
	if h.stopping.Load() || !h.source.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// stop reports "not ready", hands the jobs over, and answers every request that
// was accepted.
func (h *Host) stop(servers []server, stopJobs context.CancelFunc) {
	h.log.WithField("event", "host_stopping").Info("host stops; it takes no new callers")
	deadline := time.Now().Add(time.Duration(h.settings.StopSecond*float64(time.Second)) - stopMargin)
	h.stopping.Store(true)
	h.core.SetLeaving()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	h.runner.Stop(ctx)
	select {
	case <-ctx.Done():
	case <-time.After(balancerTime):
	}
	for i := len(servers) - 1; i >= 0; i-- {
		if servers[i].name == "peers" {
			continue
		}
		if err := servers[i].http.Shutdown(ctx); err != nil {
			h.log.WithFields(logrus.Fields{"event": "requests_cut", "listener": servers[i].name, "error": err}).Warn("requests were still running at the end of the stop")
			_ = servers[i].http.Close() // nothing more can be done for them
		}
	}
	stopJobs()
	for _, s := range servers {
		_ = s.http.Close() // peers open their streams elsewhere
	}
}

// tidyPool closes connections that are no longer of use.
func (h *Host) tidyPool(ctx context.Context) {
	tick := time.NewTicker(poolPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			h.pool.Retain(h.core.UpstreamAddresses())
		}
	}
}
