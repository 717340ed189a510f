// Package app puts the parts of an entry host together and runs them.
package app

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/admin"
	"github.com/masticscale/masticscale/internal/admission"
	"github.com/masticscale/masticscale/internal/batch"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/claim/keeper"
	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/gateway"
	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/peer"
	"github.com/masticscale/masticscale/internal/platform"
	"github.com/masticscale/masticscale/internal/ratelimit"
	"github.com/masticscale/masticscale/internal/telemetry"
	"github.com/masticscale/masticscale/internal/upstream/httpengine"
)

const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// LogOutput is where a host writes its log.
type LogOutput io.Writer

// Host is one entry host.
type Host struct {
	settings  config.Host
	log       *logrus.Logger
	metrics   *telemetry.Metrics
	catalog   *catalog.Catalog
	source    *catalog.Source
	registry  *membership.Registry
	pool      *dispatch.Pool
	observer  *dispatch.Observer
	admission *admission.Controller
	runner    *batch.Runner
	gateway   *gateway.Gateway
	claims    *keeper.Keeper
	admin     *admin.API
	peers     *peer.Server
	client    *platform.Client
	engine    *httpengine.Engine
	peerCalls *peer.Client
	rates     *ratelimit.Escrow
	ratePeers *peer.RateLimitServer

	drain *drain
}

// Log returns the host's logger.
func (h *Host) Log() *logrus.Logger { return h.log }

// listener is one server with its socket.
type listener struct {
	name   string
	server *http.Server
	socket net.Listener
}

// Run serves until ctx is done, then stops gracefully: it reports "not ready",
// waits for the balancer, answers everything accepted, gives its leases back
// and returns. A done force context cuts what still runs.
func (h *Host) Run(ctx, force context.Context) error {
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	flush, err := telemetry.StartTraces(ctx, h.settings.Traces, h.settings.Name)
	if err != nil {
		return err
	}
	defer func() { _ = flush(context.WithoutCancel(ctx)) }()
	duties, stopDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDuties()
	runnerCtx, stopRunner := context.WithCancel(duties)
	defer stopRunner()
	wg, runnerDone := h.startDuties(duties, runnerCtx)
	failed := h.serve(listeners)
	h.log.WithFields(logrus.Fields{"event": "host_started", "listen": h.settings.Listen,
		"admin": h.settings.AdminListen, "peer": h.settings.PeerListen}).Info("host started")
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	h.stop(force, listeners, stopRunner, runnerDone)
	stopDuties()
	wg.Wait()
	h.client.Close()
	h.engine.Close()
	h.peerCalls.Close()
	h.log.WithField("event", "host_stopped").Info("host stopped")
	return err
}

// startDuties starts a goroutine for each duty.
func (h *Host) startDuties(ctx, runnerCtx context.Context) (*sync.WaitGroup, <-chan struct{}) {
	h.pool.OnFreed(h.admission.Wake)
	h.catalog.OnChange(h.pool.Apply)
	h.catalog.OnChange(func(s *catalog.Snapshot) { h.metrics.Revision.Set(float64(s.Revision)) })
	var wg sync.WaitGroup
	wg.Go(func() { h.source.Run(ctx) })
	wg.Go(func() { h.registry.Run(ctx) })
	wg.Go(func() { h.rates.Run(ctx) })
	wg.Go(func() { h.observer.Run(ctx) })
	wg.Go(func() { h.claims.Run(ctx) })
	wg.Go(func() { h.admission.Run(ctx) })
	runnerDone := make(chan struct{})
	go func() {
		defer close(runnerDone)
		h.runner.Run(runnerCtx)
	}()
	return &wg, runnerDone
}

func (h *Host) listen() ([]listener, error) {
	var all []listener
	for _, l := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"callers", h.settings.Listen, h.callers()},
		{"operators", h.settings.AdminListen, h.admin.Handler()},
		{"peers", h.settings.PeerListen, peer.NewHandler(h.peers.Registration(), h.ratePeers.Registration())},
	} {
		socket, err := net.Listen("tcp", l.address)
		if err != nil {
			for _, open := range all {
				_ = open.socket.Close()
			}
			return nil, errors.Wrapf(err, "listen for %s; free the address or choose another", l.name)
		}
		all = append(all, listener{name: l.name, socket: socket, server: h.newServer(l.handler)})
	}
	return all, nil
}

func (h *Host) newServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// callers adds health, readiness and metrics to the gateway.
func (h *Host) callers() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", h.ready)
	mux.Handle("GET /metrics", promhttp.HandlerFor(h.metrics.Registry, promhttp.HandlerOpts{}))
	mux.Handle("/", h.drain.track(h.gateway.Handler()))
	return mux
}

func (h *Host) ready(w http.ResponseWriter, _ *http.Request) {
	if h.drain.stopping() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	if !h.source.Ready() {
		http.Error(w, "configuration has not been read yet", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (h *Host) serve(listeners []listener) <-chan error {
	failed := make(chan error, len(listeners))
	for _, l := range listeners {
		go func() {
			err := l.server.Serve(l.socket)
			if !errors.Is(err, http.ErrServerClosed) {
				failed <- errors.Wrapf(err, "serve %s", l.name)
			}
		}()
	}
	return failed
}
