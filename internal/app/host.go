// Package app puts the parts of an entry host together and runs them.
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

	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/peer"
	"github.com/masticscale/masticscale/internal/telemetry"
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
	parts

	drain *drain
}

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
	flush, err := telemetry.StartTraces(ctx, h.Settings.Traces, h.Settings.Name)
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
	h.Log.WithFields(logrus.Fields{"event": "host_started", "listen": h.Settings.Listen,
		"admin": h.Settings.AdminListen, "peer": h.Settings.PeerListen}).Info("host started")
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	h.stop(force, listeners, stopRunner, runnerDone)
	stopDuties()
	wg.Wait()
	h.Client.Close()
	h.Engine.Close()
	h.PeerCalls.Close()
	h.Log.WithField("event", "host_stopped").Info("host stopped")
	return err
}

// startDuties starts a goroutine for each duty.
func (h *Host) startDuties(ctx, runnerCtx context.Context) (*sync.WaitGroup, <-chan struct{}) {
	h.Pool.OnFreed(h.Admission.Wake)
	h.Catalog.OnChange(h.Pool.Apply)
	h.Catalog.OnChange(func(s *catalog.Snapshot) { h.Metrics.Revision.Set(float64(s.Revision)) })
	h.Metrics.KnowledgeAge(func() float64 { return h.Catalog.Age(time.Now()).Seconds() })
	var wg sync.WaitGroup
	wg.Go(func() { h.Source.Run(ctx) })
	wg.Go(func() { h.Relay.Run(ctx) })
	wg.Go(func() { h.Registry.Run(ctx) })
	wg.Go(func() { h.Rates.Run(ctx) })
	wg.Go(func() { h.Observer.Run(ctx) })
	wg.Go(func() { h.Orderer.Run(ctx) })
	wg.Go(func() { h.Exchange.Run(ctx) })
	wg.Go(func() { h.Suspects.Run(ctx) })
	wg.Go(func() { h.Claims.Run(ctx) })
	wg.Go(func() { h.Admission.Run(ctx) })
	runnerDone := make(chan struct{})
	go func() {
		defer close(runnerDone)
		h.Runner.Run(runnerCtx)
	}()
	return &wg, runnerDone
}

func (h *Host) listen() ([]listener, error) {
	public, peers, err := listenerTLS(h.Settings)
	if err != nil {
		return nil, err
	}
	var all []listener
	for _, l := range []struct {
		name, address string
		handler       http.Handler
		tls           *tls.Config
	}{
		{"callers", h.Settings.Listen, h.callers(), public},
		{"operators", h.Settings.AdminListen, h.Admin.Handler(), public},
		{"peers", h.Settings.PeerListen, h.peerServices(), peers},
	} {
		socket, err := net.Listen("tcp", l.address)
		if err != nil {
			for _, open := range all {
				_ = open.socket.Close()
			}
			return nil, errors.Wrapf(err, "listen for %s; free the address or choose another", l.name)
		}
		all = append(all, listener{name: l.name, socket: socket, server: h.newServer(l.handler, l.tls)})
	}
	return all, nil
}

// serve accepts connections, with TLS where the server has settings for it.
func (l listener) serve() error {
	if l.server.TLSConfig == nil {
		return l.server.Serve(l.socket)
	}
	return l.server.ServeTLS(l.socket, "", "")
}

// peerServices returns the services of every duty that peers call.
func (h *Host) peerServices() http.Handler {
	return peer.NewHandler(
		h.Peers.Registration(),
		h.Catalogs.Registration(),
		h.RatePeers.Registration(),
		h.Loads.Registration(),
	)
}

func (h *Host) newServer(handler http.Handler, secure *tls.Config) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		TLSConfig:         secure.Clone(), // a server changes its settings
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
	mux.Handle("GET /metrics", promhttp.HandlerFor(h.Metrics.Registry, promhttp.HandlerOpts{}))
	mux.Handle("/", h.drain.track(h.Gateway.Handler()))
	return mux
}

func (h *Host) ready(w http.ResponseWriter, _ *http.Request) {
	if h.drain.stopping() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	if !h.Source.Ready() || !h.Relay.InitialRoundDone() {
		http.Error(w, "configuration has not been read yet", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (h *Host) serve(listeners []listener) <-chan error {
	failed := make(chan error, len(listeners))
	for _, l := range listeners {
		go func() {
			err := l.serve()
			if !errors.Is(err, http.ErrServerClosed) {
				failed <- errors.Wrapf(err, "serve %s", l.name)
			}
		}()
	}
	return failed
}
