// Package app builds and runs an entry host.
package app

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/callerlimit"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/httpreset"
	"github.com/masticscale/masticscale/internal/peer"
	"github.com/masticscale/masticscale/internal/telemetry"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// LogOutput is the writer to which a host logs.
type LogOutput io.Writer

// Host is one entry host.
type Host struct {
	components

	drainer *drainer
	guard   httpreset.Guard // of the responses of all listeners

	peerGuard *callerlimit.Guard // of the messages of peers
}

// listener is a server and the socket it accepts connections on.
type listener struct {
	name   string
	server *http.Server
	socket net.Listener
}

// Run serves until ctx is done, then shuts down gracefully: it reports "not ready",
// waits for the balancer to send no more requests, finishes the accepted ones and
// releases its leases. Once force is done, the remaining requests are aborted.
func (h *Host) Run(ctx, force context.Context) error {
	h.peerGuard = h.newPeerGuard()
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	flush, err := telemetry.StartTracing(ctx, h.Settings.Traces, h.Settings.Name)
	if err != nil {
		return err
	}
	defer func() { _ = flush(context.WithoutCancel(ctx)) }()
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	runnerCtx, stopRunner := context.WithCancel(loopCtx)
	defer stopRunner()
	wg, runnerDone := h.startLoops(loopCtx, runnerCtx)
	serveErrs := h.serve(listeners)
	h.Log.WithFields(logrus.Fields{"event": "host_started", "listen": h.Settings.Listen,
		"admin": h.Settings.AdminListen, "peer": h.Settings.PeerListen}).Info("host started")
	select {
	case <-ctx.Done():
	case err = <-serveErrs:
	}
	h.stop(force, listeners, stopRunner, runnerDone)
	stopLoops()
	wg.Wait()
	h.Client.Close()
	h.Engine.Close()
	h.PeerCalls.Close()
	h.Log.WithField("event", "host_stopped").Info("host stopped")
	return err
}

// startLoops starts the background loops. The batch runner has a context of its own,
// because it is stopped first; the channel is closed when it has returned.
func (h *Host) startLoops(ctx, runnerCtx context.Context) (*sync.WaitGroup, <-chan struct{}) {
	h.Pool.OnFreed(h.Admission.Wake)
	h.Catalog.OnChange(h.Pool.Apply)
	h.Catalog.OnChange(func(s *catalog.Snapshot) { h.Metrics.Revision.Set(float64(s.Revision)) })
	h.Metrics.RegisterKnowledgeAge(func() float64 { return h.Catalog.Age(time.Now()).Seconds() })
	var wg sync.WaitGroup
	wg.Go(func() { h.CatalogSyncer.Run(ctx) })
	wg.Go(func() { h.CatalogGossip.Run(ctx) })
	wg.Go(func() { h.Registry.Run(ctx) })
	wg.Go(func() { h.Rates.Run(ctx) })
	wg.Go(func() { h.Observer.Run(ctx) })
	wg.Go(func() { h.Orderer.Run(ctx) })
	wg.Go(func() { h.LoadGossip.Run(ctx) })
	wg.Go(func() { h.Suspects.Run(ctx) })
	wg.Go(func() { h.Claims.Run(ctx) })
	wg.Go(func() { h.Admission.Run(ctx) })
	wg.Go(func() { h.peerGuard.Run(ctx) })
	runnerDone := make(chan struct{})
	go func() {
		defer close(runnerDone)
		h.Runner.Run(runnerCtx)
	}()
	return &wg, runnerDone
}

func (h *Host) listen() ([]listener, error) {
	public, peers, err := listenerTLSConfigs(h.Settings)
	if err != nil {
		return nil, err
	}
	var listeners []listener
	for _, l := range []struct {
		name, address string
		handler       http.Handler
		tls           *tls.Config
	}{
		{"callers", h.Settings.Listen, h.callerHandler(), public},
		{"operators", h.Settings.AdminListen, h.Admin.Handler(), public},
		{"peers", h.Settings.PeerListen, h.peerHandler(), peers},
	} {
		socket, err := net.Listen("tcp", l.address)
		if err != nil {
			for _, opened := range listeners {
				_ = opened.socket.Close()
			}
			return nil, errors.Wrapf(err, "listen for %s; free the address or choose another", l.name)
		}
		listeners = append(listeners, listener{name: l.name, socket: socket, server: h.newServer(l.handler, l.tls)})
	}
	return listeners, nil
}

// serve accepts connections, with TLS if the server has a TLS configuration.
func (l listener) serve() error {
	if l.server.TLSConfig == nil {
		return l.server.Serve(l.socket)
	}
	return l.server.ServeTLS(l.socket, "", "")
}

// peerHandler returns the handler of all services for peers.
func (h *Host) peerHandler() http.Handler {
	return boundPeerBodies(h.peerGuard, peer.NewHandler(
		h.Peers.Registration(),
		h.Catalogs.Registration(),
		h.RatePeers.Registration(),
		h.Loads.Registration(),
	))
}

func (h *Host) newServer(handler http.Handler, tlsConfig *tls.Config) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h.guard.Handler(handler),
		ConnContext:       httpreset.ConnContext,
		TLSConfig:         tlsConfig.Clone(), // http.Server modifies its configuration
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// callerHandler returns the gateway's handler together with those for health,
// readiness and metrics.
func (h *Host) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", h.serveReadiness)
	mux.Handle("GET /metrics", promhttp.HandlerFor(h.Metrics.Registry, promhttp.HandlerOpts{}))
	mux.Handle("/", h.drainer.track(h.Gateway.Handler()))
	return mux
}

func (h *Host) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if h.drainer.hasBegun() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	if !h.CatalogSyncer.Ready() || !h.CatalogGossip.InitialRoundDone() {
		http.Error(w, "configuration has not been read yet", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (h *Host) serve(listeners []listener) <-chan error {
	serveErrs := make(chan error, len(listeners))
	for _, l := range listeners {
		go func() {
			err := l.serve()
			if !errors.Is(err, http.ErrServerClosed) {
				serveErrs <- errors.Wrapf(err, "serve %s", l.name)
			}
		}()
	}
	return serveErrs
}
