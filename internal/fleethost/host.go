package fleethost

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/callerlimit"
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
	memoryLimitFraction     = 0.7 // of the process's memory limit; above it the garbage collector runs more often
	gcPercent               = 100 // heap growth between garbage collections
	readHeaderTimeout       = 10 * time.Second
	idleTimeout             = 75 * time.Second // longer than callers keep idle connections open
	maxHeaderBytes          = 64 << 10
	pollWait                = 20 * time.Second        // per poll; long because the platform charges for each poll
	pollResponseMargin      = 3 * time.Second         // added to the wait for the response to arrive
	shortPollWait           = 1500 * time.Millisecond // per poll of a store poller; short to detect soon that a watch no longer delivers changes
	shortPollResponseMargin = 700 * time.Millisecond
	pollInterval            = 100 * time.Millisecond // least time between two polls for registrations
	logFlushTimeout         = 200 * time.Millisecond
	traceFlushTimeout       = 200 * time.Millisecond
	settingsCheckInterval   = time.Second             // between checks of the settings file for changes
	balancerDetectionTime   = 2500 * time.Millisecond // within which the balancer detects that the host isn't ready
	stopTimeMargin          = 1200 * time.Millisecond // reserved before the kill for closing what still runs
	poolCleanupInterval     = 5 * time.Second         // between checks for unused connections
)

// components holds the objects that make up a host. Wire builds them.
type components struct {
	Settings   Settings
	Log        *logrus.Logger
	Metrics    *telemetry.Metrics
	Core       *entry.Core
	Syncer     *knowledge.Syncer
	Runner     *jobs.Runner
	Direct     *platform.Store // also used for calls relayed on behalf of peers
	StoreRelay *storeRelay
	Pool       *connpool.Pool
	Online     *entry.Handler
	Connector  entry.Connector
	Guards     *guards
}

// Host serves callers from one fleet of upstreams.
type Host struct {
	components
	settingsPath string
	logWriter    *telemetry.AsyncWriter
	stopping     atomic.Bool
}

// NewHost returns a host with the settings in the file at path.
func NewHost(path string) (*Host, error) {
	settings, err := ReadSettings(path)
	if err != nil {
		return nil, err
	}
	if err := settings.validateHost(); err != nil {
		return nil, err
	}
	applyResourceLimits(settings)
	out, log, err := newLogger(settings, os.Stdout)
	if err != nil {
		return nil, err
	}
	h := &Host{components: newComponents(settings, log), settingsPath: path, logWriter: out}
	h.Metrics.RegisterDroppedLogLines(out.Dropped)
	h.applyFeatures()
	return h, nil
}

// applyFeatures switches on what the terms of the deployment ask for.
func (c components) applyFeatures() {
	features := platform.FeaturesOf(c.Settings.Terms)
	if features.Evacuation {
		c.Metrics.RegisterEvacuation(c.Core.Evacuation)
	}
	c.Metrics.RegisterWarmUp(c.Core.WarmUpStats)
	if features.LearnCapacity {
		c.Core.LearnPerformance()
		c.Metrics.RegisterLearnedUse(c.Core.LearnedUse)
		c.Core.OrderByTeam(c.Metrics)
	}
}

// applyResourceLimits sets the memory limit and the processor count of the Go
// runtime to the configured ones.
func applyResourceLimits(s Settings) {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryLimitFraction * (1 << 20)))
	}
	debug.SetGCPercent(gcPercent)
	if s.Cores > 0 {
		runtime.GOMAXPROCS(s.Cores)
	}
}

func newLogger(s Settings, to io.Writer) (*telemetry.AsyncWriter, *logrus.Logger, error) {
	out := telemetry.NewAsyncWriter(to)
	log, err := telemetry.NewLogger(out, s.LogLevel, s.Name)
	if err != nil {
		return nil, nil, err
	}
	telemetry.LimitEventRate(log, s.LogLines)
	return out, log, nil
}

// Run serves until ctx is done, then shuts down gracefully.
func (h *Host) Run(ctx context.Context) error {
	flush, err := telemetry.StartTracing(ctx, h.Settings.Traces, h.Settings.Name)
	if err != nil {
		return err
	}
	defer h.flushTraces(flush)
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	jobCtx, stopJobs := context.WithCancel(loopCtx)
	defer stopJobs()
	peers := mesh.New(loopCtx, h.Settings.Listen.PeersAt, h.Core, h.Runner, h.Syncer, h.Log)
	peers.SetStore(h.Direct, h.Core.RecordStoreCall)
	h.StoreRelay.peers = peers
	h.Runner.SetPeers(peers)
	h.boundJobs()
	h.Syncer.SetPeerClient(peers)
	h.Core.OnStateChange(peers.NotifyCell)
	h.Core.OnUrgentChange(peers.NotifyAll)
	h.Core.OnRelayedChange(peers.NotifyRelayed)
	h.Core.OnPeerChange(h.Runner.PeerChanged)
	h.Core.OnJobsCancelled(h.Runner.StopCancelled)
	h.Core.SetConnector(h.Connector)
	servers, serveErrs, err := h.listen(peers)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	wg.Go(func() { h.Core.Run(loopCtx) })
	wg.Go(func() { h.Syncer.Run(loopCtx) })
	wg.Go(func() { h.Runner.Run(jobCtx) })
	wg.Go(func() { h.poolCleanupLoop(loopCtx) })
	wg.Go(func() { h.Guards.callers.Run(loopCtx) })
	wg.Go(func() { h.Guards.peers.Run(loopCtx) })
	wg.Go(func() { reloadLoop(loopCtx, h.settingsPath, h.Log) })
	h.Log.WithFields(logrus.Fields{"event": "host_started", "callers": h.Settings.Listen.Callers, "peers": h.Settings.Listen.Peers, "store": h.Settings.Store}).Info("host started")
	select {
	case <-ctx.Done():
	case err = <-serveErrs:
	}
	h.stop(servers, stopJobs)
	stopLoops()
	wg.Wait()
	peers.Wait()
	h.Direct.Close()
	h.Pool.Close()
	h.Log.WithField("event", "host_stopped").WithField("log_lines_dropped", h.logWriter.Dropped()).Info("host stopped")
	h.logWriter.Close(logFlushTimeout)
	return err
}

type server struct {
	name string
	http *http.Server
}

// listen starts a server on each configured address. Errors of the servers are sent
// to the channel.
func (h *Host) listen(peers *mesh.Mesh) ([]server, <-chan error, error) {
	callers := platform.NewCallerServer(h.Core, h.Online, h.Runner, h.stopping.Load, h.Log)
	callers.LimitCallers(h.Guards.callers)
	readiness := http.NewServeMux()
	readiness.HandleFunc("/", h.serveReadiness)
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", promhttp.HandlerFor(h.Metrics.Registry, promhttp.HandlerOpts{}))
	serveErrs := make(chan error, 4)
	listenerLog := log.New(&listenerLogWriter{h.Log}, "", 0)
	var servers []server
	for _, l := range []struct {
		name, address string
		handler       http.Handler
		protocols     *http.Protocols
		connContext   func(context.Context, net.Conn) context.Context
	}{
		{"peers", h.Settings.Listen.Peers, h.boundPeerBodies(peers.Handler()), link.Protocols(), nil},
		{"metrics", h.Settings.Listen.Metrics, callerlimit.CompleteWithoutBody(metrics), nil, callerlimit.ConnContext},
		{"readiness", h.Settings.Listen.Readiness, callerlimit.CompleteWithoutBody(readiness), nil, callerlimit.ConnContext},
		{"callers", h.Settings.Listen.Callers, callers.Handler(), nil, callers.ConnContext},
	} {
		if l.address == "" {
			continue
		}
		socket, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, nil, errors.Wrapf(err, "listen for %s; free the address or choose another", l.name)
		}
		socket = h.boundConnections(l.name, socket)
		s := server{l.name, &http.Server{
			Handler: l.handler, Protocols: l.protocols, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
			ErrorLog: listenerLog, ConnContext: l.connContext, ConnState: callerlimit.ConnState,
		}}
		servers = append(servers, s)
		go func() {
			if err := s.http.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
				serveErrs <- errors.Wrapf(err, "serve %s", l.name)
			}
		}()
	}
	return servers, serveErrs, nil
}

// listenerLogWriter logs the errors of the HTTP servers, such as failures to accept a
// connection.
type listenerLogWriter struct{ log logrus.FieldLogger }

// Write implements io.Writer.
func (l *listenerLogWriter) Write(line []byte) (int, error) {
	l.log.WithFields(logrus.Fields{"event": "listener_error", "error": strings.TrimSpace(string(line))}).Warn("an HTTP server reported an error")
	return len(line), nil
}

// serveReadiness serves the balancer's readiness checks.
func (h *Host) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if h.stopping.Load() || !h.Syncer.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// stop reports "not ready", hands jobs over to other hosts and finishes the accepted
// requests.
func (h *Host) stop(servers []server, stopJobs context.CancelFunc) {
	h.Log.WithField("event", "host_stopping").Info("host is shutting down and accepts no new callers")
	deadline := time.Now().Add(time.Duration(h.Settings.StopSeconds*float64(time.Second)) - stopTimeMargin)
	h.stopping.Store(true)
	h.Core.SetLeaving()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	h.Runner.Stop(ctx)
	select {
	case <-ctx.Done():
	case <-time.After(balancerDetectionTime):
	}
	for i := len(servers) - 1; i >= 0; i-- {
		if servers[i].name == "peers" {
			continue
		}
		if err := servers[i].http.Shutdown(ctx); err != nil {
			h.Log.WithFields(logrus.Fields{"event": "requests_cut", "listener": servers[i].name, "error": err}).Warn("shutdown deadline passed; closing connections with requests in progress")
			_ = servers[i].http.Close() // the requests are lost either way
		}
	}
	stopJobs()
	for _, s := range servers {
		_ = s.http.Close() // peers open their streams to other hosts
	}
}

// flushTraces exports the remaining spans.
func (h *Host) flushTraces(flush func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer cancel()
	if err := flush(ctx); err != nil {
		h.Log.WithFields(logrus.Fields{"event": "traces_not_sent", "error": err}).Warn("failed to export the remaining spans")
	}
}

// poolCleanupLoop closes idle connections that are too old or lead to removed
// upstreams, until ctx is done.
func (h *Host) poolCleanupLoop(ctx context.Context) {
	tick := time.NewTicker(poolCleanupInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			h.Pool.Prune(h.Core.UpstreamAddresses())
		}
	}
}
