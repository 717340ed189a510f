// Package demo runs a small fleet in one process on loopback: emulators of the
// external systems, three hosts in two data centres, online load together with a
// batch job, a host that is stopped and an engine that crashes. It ends with a report
// on whether each guarantee of the fleet held.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/app"
	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/emulator/engine"
	"github.com/masticscale/masticscale/internal/emulator/objectapi"
	"github.com/masticscale/masticscale/internal/emulator/plainservice"
	"github.com/masticscale/masticscale/internal/load"
	"github.com/masticscale/masticscale/internal/loopback"
)

const (
	operatorToken = "demo-operator"
	model         = "aires-lm"
	engineSlots   = 24
	readyTimeout  = 20 * time.Second
	pollInterval  = 20 * time.Millisecond
	// drainTime covers the time until the load's balancer detects a stopping host, and
	// a margin for requests already sent to the host.
	drainTime = load.MaxReadinessDelay + 400*time.Millisecond
)

// fleet is the set of servers that the demo runs.
type fleet struct {
	platformURL string // base URL
	engines     []*emulatorServer
	serviceURL  string
	hosts       []*host
	log         io.Writer
}

// host is one entry host of the demo.
type host struct {
	settings config.Host
	stop     context.CancelFunc
	done     chan error
	stopped  bool
}

func (h *host) callerURL() string { return "http://" + h.settings.Listen }

func (h *host) adminURL() string { return "http://" + h.settings.AdminListen }

// emulatorServer is the HTTP server of an emulated system.
type emulatorServer struct {
	url    string
	server *http.Server
}

func serve(handler http.Handler) (*emulatorServer, error) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen on loopback")
	}
	s := &emulatorServer{url: "http://" + socket.Addr().String(), server: &http.Server{Handler: handler, ReadHeaderTimeout: readyTimeout}}
	go func() { _ = s.server.Serve(socket) }()
	return s, nil
}

// startEngine starts an emulated engine. Its crash closes its server immediately.
func startEngine(name string) (*emulatorServer, error) {
	var s *emulatorServer
	var ready sync.WaitGroup
	ready.Add(1)
	e := engine.New(engine.Options{Name: name, Slots: engineSlots, Cost: engine.DefaultCost(), Crash: func() {
		ready.Wait()
		_ = s.server.Close()
	}})
	s, err := serve(e.Handler())
	ready.Done()
	return s, err
}

// startFleet starts the emulators and the hosts, and waits until the hosts are ready.
func startFleet(ctx context.Context, log io.Writer) (*fleet, error) {
	f := &fleet{log: log}
	platform, err := serve(objectapi.New().Handler())
	if err != nil {
		return nil, err
	}
	f.platformURL = platform.url
	for _, name := range []string{"engine-1", "engine-2", "engine-3"} {
		e, err := startEngine(name)
		if err != nil {
			return nil, err
		}
		f.engines = append(f.engines, e)
	}
	service, err := serve(new(plainservice.Server).Handler())
	if err != nil {
		return nil, err
	}
	f.serviceURL = service.url
	for i, dataCentre := range []string{"north-1", "north-1", "north-2"} {
		h, err := f.startHost(ctx, fmt.Sprintf("host-%d", i+1), dataCentre)
		if err != nil {
			return nil, err
		}
		f.hosts = append(f.hosts, h)
	}
	return f, f.awaitReady(ctx)
}

func (f *fleet) startHost(ctx context.Context, name, dataCentre string) (*host, error) {
	addresses, err := loopback.FreeAddresses(3)
	if err != nil {
		return nil, err
	}
	settings, err := config.Host{
		Name: name, Site: dataCentre, DataCentre: dataCentre, Listen: addresses[0], AdminListen: addresses[1],
		PeerListen: addresses[2], Platform: f.platformURL, OperatorToken: operatorToken, DrainSeconds: drainTime.Seconds(),
	}.Complete()
	if err != nil {
		return nil, err
	}
	entryHost, err := app.NewHost(settings, app.LogOutput(f.log))
	if err != nil {
		return nil, err
	}
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	h := &host{settings: settings, stop: stop, done: make(chan error, 1)}
	go func() { h.done <- entryHost.Run(runCtx, context.WithoutCancel(ctx)) }()
	return h, nil
}

func (f *fleet) awaitReady(ctx context.Context) error {
	for _, h := range f.hosts {
		if err := pollUntil(ctx, func() bool { return isReady(h.callerURL() + "/readyz") }); err != nil {
			return errors.Wrapf(err, "%s is not ready", h.settings.Name)
		}
	}
	return nil
}

// runningHosts returns the hosts that have not been stopped.
func (f *fleet) runningHosts() []*host {
	var hosts []*host
	for _, h := range f.hosts {
		if !h.stopped {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// stopAll stops every running host.
func (f *fleet) stopAll() {
	for _, h := range f.runningHosts() {
		h.stop()
	}
	for _, h := range f.runningHosts() {
		<-h.done
	}
}

// stopHost stops one host and returns its error.
func (f *fleet) stopHost(i int) error {
	h := f.hosts[i]
	h.stop()
	h.stopped = true
	return <-h.done
}

func isReady(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pollUntil polls condition until it holds or readyTimeout has passed.
func pollUntil(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.New("timed out")
		case <-time.After(pollInterval):
		}
	}
	return nil
}
