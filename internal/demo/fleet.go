// Package demo runs a whole small fleet in one process on loopback: stand-ins
// for the outside systems, three hosts in two data centres, online load with a
// batch job underneath, a host that is stopped and an engine that crashes. It
// ends with an account of what each promise showed.
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
	readyBound    = 20 * time.Second
	pollInterval  = 20 * time.Millisecond
	// drainTime is the time in which the load's balancer notices a host that stops,
	// and some for requests that were on their way.
	drainTime = load.MaxReadinessDelay + 400*time.Millisecond
)

// fleet is all that the demo runs.
type fleet struct {
	platform string // base URL
	engines  []*standIn
	service  string
	hosts    []*host
	log      io.Writer
}

// host is one entry host of the demo.
type host struct {
	settings config.Host
	stop     context.CancelFunc
	done     chan error
	stopped  bool
}

func (h *host) callers() string { return "http://" + h.settings.Listen }

func (h *host) operators() string { return "http://" + h.settings.AdminListen }

// standIn is one server of a stand-in.
type standIn struct {
	url    string
	server *http.Server
}

func serve(handler http.Handler) (*standIn, error) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen on loopback")
	}
	s := &standIn{url: "http://" + socket.Addr().String(), server: &http.Server{Handler: handler, ReadHeaderTimeout: readyBound}}
	go func() { _ = s.server.Serve(socket) }()
	return s, nil
}

// newEngine starts an engine whose crash closes its server at once.
func newEngine(name string) (*standIn, error) {
	var s *standIn
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

// startFleet starts the stand-ins and the hosts, and waits until all are ready.
func startFleet(ctx context.Context, log io.Writer) (*fleet, error) {
	f := &fleet{log: log}
	platform, err := serve(objectapi.New().Handler())
	if err != nil {
		return nil, err
	}
	f.platform = platform.url
	for _, name := range []string{"engine-1", "engine-2", "engine-3"} {
		e, err := newEngine(name)
		if err != nil {
			return nil, err
		}
		f.engines = append(f.engines, e)
	}
	service, err := serve(new(plainservice.Server).Handler())
	if err != nil {
		return nil, err
	}
	f.service = service.url
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
		PeerListen: addresses[2], Platform: f.platform, OperatorToken: operatorToken, DrainSeconds: drainTime.Seconds(),
	}.Complete()
	if err != nil {
		return nil, err
	}
	entry, err := app.NewHost(settings, app.LogOutput(f.log))
	if err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	h := &host{settings: settings, stop: stop, done: make(chan error, 1)}
	go func() { h.done <- entry.Run(running, context.WithoutCancel(ctx)) }()
	return h, nil
}

func (f *fleet) awaitReady(ctx context.Context) error {
	for _, h := range f.hosts {
		if err := await(ctx, func() bool { return answers(h.callers() + "/readyz") }); err != nil {
			return errors.Wrapf(err, "%s is not ready", h.settings.Name)
		}
	}
	return nil
}

// running returns the hosts that have not been stopped.
func (f *fleet) running() []*host {
	var up []*host
	for _, h := range f.hosts {
		if !h.stopped {
			up = append(up, h)
		}
	}
	return up
}

// stopAll stops every host that still runs.
func (f *fleet) stopAll() {
	for _, h := range f.running() {
		h.stop()
	}
	for _, h := range f.running() {
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

func answers(target string) bool {
	resp, err := http.Get(target)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// await polls until the condition holds.
func await(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyBound)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.New("it took too long")
		case <-time.After(pollInterval):
		}
	}
	return nil
}
