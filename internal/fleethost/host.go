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
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/jobs"
	"github.com/masticscale/masticscale/internal/knowledge"
	"github.com/masticscale/masticscale/internal/mesh"
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
	watchAnswer    = 3 * time.Second
	quickWait      = 1500 * time.Millisecond // of a host that finds out for all whether watches are deaf
	quickAnswer    = 700 * time.Millisecond
	logFlushTime   = 200 * time.Millisecond
	traceFlushTime = 200 * time.Millisecond
	settingsPeriod = time.Second             // between looks at the settings file
	balancerTime   = 2500 * time.Millisecond // in which the balancer has noticed that the host isn't ready
	stopMargin     = 1200 * time.Millisecond // before the kill, for closing what is left
	poolPeriod     = 5 * time.Second         // between looks for stale connections
)

// parts are the parts of a host.
type parts struct {
	Settings Settings
	Log      *logrus.Logger
	Metrics  *telemetry.Metrics
	Core     *entry.Core
	Source   *knowledge.Syncer
	Runner   *jobs.Runner
	Direct   *platform.Store // makes the calls of peers too
	Relay    *storeRelay
	Pool     *connpool.Pool
	Online   *entry.Handler
	Reacher  entry.Connector
}

// Host is one host before a fleet of upstreams.
type Host struct {
	parts
	path     string
	out      *telemetry.AsyncWriter
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
	h := &Host{parts: newParts(settings, log), path: path, out: out}
	h.Metrics.RegisterDroppedLogLines(out.Dropped)
	return h, nil
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
	telemetry.LimitEventRate(log, s.LogLines)
	return out, log, nil
}

// Run serves until ctx ends, then stops gracefully.
func (h *Host) Run(ctx context.Context) error {
	flush, err := telemetry.StartTracing(ctx, h.Settings.Traces, h.Settings.Name)
	if err != nil {
		return err
	}
	defer h.flushTraces(flush)
	duties, stopDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDuties()
	jobCtx, stopJobs := context.WithCancel(duties)
	defer stopJobs()
	peers := mesh.New(duties, h.Settings.Listen.PeersAt, h.Core, h.Runner, h.Source, h.Log)
	peers.SetStore(h.Direct, h.Core.RecordStoreCall)
	h.Relay.peers = peers
	h.Runner.SetPeers(peers)
	h.Source.SetPeerClient(peers)
	h.Core.OnStateChange(peers.NotifyCell)
	h.Core.OnUrgentChange(peers.NotifyAll)
	h.Core.OnPeerChange(h.Runner.PeerChanged)
	h.Core.OnJobsCancelled(h.Runner.StopCancelled)
	h.Core.SetConnector(h.Reacher)
	servers, failed, err := h.listen(peers)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	wg.Go(func() { h.Core.Run(duties) })
	wg.Go(func() { h.Source.Run(duties) })
	wg.Go(func() { h.Runner.Run(jobCtx) })
	wg.Go(func() { h.tidyPool(duties) })
	wg.Go(func() { followSettings(duties, h.path, h.Log) })
	h.Log.WithFields(logrus.Fields{"event": "host_started", "callers": h.Settings.Listen.Callers, "peers": h.Settings.Listen.Peers, "store": h.Settings.Store}).Info("host started")
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	h.stop(servers, stopJobs)
	stopDuties()
	wg.Wait()
	peers.Wait()
	h.Direct.Close()
	h.Pool.Close()
	h.Log.WithField("event", "host_stopped").WithField("log_lines_dropped", h.out.Dropped()).Info("host stopped")
	h.out.Close(logFlushTime)
	return err
}

type server struct {
	name string
	http *http.Server
}

// listen opens the host's addresses.
func (h *Host) listen(peers *mesh.Mesh) ([]server, <-chan error, error) {
	callers := platform.NewCallerServer(h.Core, h.Online, h.Runner, h.stopping.Load, h.Log)
	readiness := http.NewServeMux()
	readiness.HandleFunc("/", h.ready)
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", promhttp.HandlerFor(h.Metrics.Registry, promhttp.HandlerOpts{}))
	failed := make(chan error, 4)
	var servers []server
	for _, l := range []struct {
		name, address string
		handler       http.Handler
		protocols     *http.Protocols
	}{
		{"peers", h.Settings.Listen.Peers, peers.Handler(), link.Protocols()},
		{"metrics", h.Settings.Listen.Metrics, metrics, nil},
		{"readiness", h.Settings.Listen.Readiness, readiness, nil},
		{"callers", h.Settings.Listen.Callers, callers.Handler(), nil},
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
	if h.stopping.Load() || !h.Source.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// stop reports "not ready", hands the jobs over, and answers every request that
// was accepted.
func (h *Host) stop(servers []server, stopJobs context.CancelFunc) {
	h.Log.WithField("event", "host_stopping").Info("host stops; it takes no new callers")
	deadline := time.Now().Add(time.Duration(h.Settings.StopSecond*float64(time.Second)) - stopMargin)
	h.stopping.Store(true)
	h.Core.SetLeaving()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	h.Runner.Stop(ctx)
	select {
	case <-ctx.Done():
	case <-time.After(balancerTime):
	}
	for i := len(servers) - 1; i >= 0; i-- {
		if servers[i].name == "peers" {
			continue
		}
		if err := servers[i].http.Shutdown(ctx); err != nil {
			h.Log.WithFields(logrus.Fields{"event": "requests_cut", "listener": servers[i].name, "error": err}).Warn("requests were still running at the end of the stop")
			_ = servers[i].http.Close() // nothing more can be done for them
		}
	}
	stopJobs()
	for _, s := range servers {
		_ = s.http.Close() // peers open their streams elsewhere
	}
}

// flushTraces sends the last spans.
func (h *Host) flushTraces(flush func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), traceFlushTime)
	defer cancel()
	if err := flush(ctx); err != nil {
		h.Log.WithFields(logrus.Fields{"event": "traces_not_sent", "error": err}).Warn("the last spans could not be sent")
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
			h.Pool.Retain(h.Core.UpstreamAddresses())
		}
	}
}
